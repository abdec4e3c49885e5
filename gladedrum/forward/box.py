"""A box that forwards requests: builds, connects and supervises its parts."""

import logging
import random
import secrets
import socket
import sys
import time
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from .. import __version__, gossip
from ..beliefs.peer_sync import PeerSync
from ..beliefs.store_beliefs import StoreBeliefs
from ..config import BOX_NAME, DATA_HALL, Settings
from ..config.operator_token import OPERATOR_TOKEN
from ..connections.caller_conn import CallerConnection, CallerFactory
from ..connections.memory_budget import Decision, MemoryBudget
from ..connections.messages import CallerRequest
from ..connections.target_pool import TargetPool
from ..fleet import TargetEntry
from ..gossip.wire.ttypes import Gossip
from ..paths.tunnel_server import CarrierLimits
from ..placing.choosing import Chooser
from ..placing.cold_targets import ColdTargets
from ..placing.condemned_record import CondemnedRecord
from ..placing.fleet_view import FleetView
from ..placing.placer import Placer
from ..placing.reports import ReportReader
from ..placing.retry_pool import RetryPool, sharers_of
from ..placing.retry_shares import RetryShares
from ..placing.statements import TargetStatements
from ..placing.suspicion import Suspicion
from ..placing.target_rates import ColdBounds, TargetRates
from ..platform.store import MAX_ANSWER_BYTES, STORE, StoreClient
from ..scheduling.engine_model import EngineTraits
from ..table import TableState
from ..utils import WebClient, sleep, start
from ..utils.request_memory import RequestMemory
from ..utils.supervisor import Child, Supervisor
from .admission import Admission
from .box_paths import BoxPaths
from .context import ForwardContext
from .drain import drain_callers, drain_tunnels
from .evacuations_page import shown_evacuations
from .metrics import ForwardMetrics
from .ports import BoxPorts
from .request_faults import RequestFaults
from .request_task import RequestTask, start_request
from .settings import forward_settings

if TYPE_CHECKING:
    from twisted.web.resource import IResource

    from ..table.site import TableSite

__all__ = ["ForwardingBox"]

READY_AGE_SHARE = 0.6
"""Share of `key_bound_s` beyond which the age of the configuration makes the box not ready, so that
callers go elsewhere before this box has to refuse their keys."""

SHUTDOWN_NOTICE_INTERVAL_S = 0.02
"""Interval between the two shutdown notices that a stopping box sends to its peers, in seconds.
Datagrams can be lost or reordered; the interval covers several datagram delays and the store call
that deletes the box's entry."""

_log = logging.getLogger(__name__)


class ForwardingBox:
    """A box that forwards requests by the operator's routes.

    Parameters
    ----------
    reactor : reactor
        Provides sockets and timers.
    cfg : Settings
        All settings.
    listening_socket : socket, optional
        The socket for callers, if it is already listening.
    """

    def __init__(
        self, reactor: IReactorTime, cfg: Settings, listening_socket: socket.socket | None = None
    ):
        self._reactor = reactor
        self._settings = settings = forward_settings(cfg)
        self._rng = random.Random()
        self._draining = False
        self._in_flight: set[RequestTask] = set()
        self._faults = RequestFaults(reactor)
        self.name = f"{cfg.get(BOX_NAME)}.{secrets.token_hex(4)}"
        self.metrics = ForwardMetrics()
        self._operator_token = cfg.get(OPERATOR_TOKEN)
        self._pool = TargetPool(reactor)
        self._view = FleetView(self._traits_of)
        self._view.on_restart = self._target_restarted
        self._view.cold_per_s_of = self._cold_per_s_of
        store = StoreClient(cfg.get(STORE), WebClient(reactor, MAX_ANSWER_BYTES))
        self._beliefs = StoreBeliefs(
            reactor,
            store,
            self.name,
            settings,
            self._rng,
            self._forget_target,
            self._note_listed,
            cfg.get(DATA_HALL),
        )
        self._configuration = self._beliefs.configuration
        self._targets = self._beliefs.targets
        self.metrics.unlisted.set_function(lambda: len(self._targets.kept))
        self.metrics.dropped_answers.set_function(lambda: self._pool.dropped_answers)
        self._gossip = self._make_gossip(cfg.get(DATA_HALL))
        self._paths = self._make_paths(cfg.get(DATA_HALL))
        self._rates = self._make_rates()
        self._cold = self._make_cold()
        self._statements = TargetStatements(
            reactor, self._targets, self._view, self._rates, self._gossip, self._cold
        )
        self._pool.gate = self._statements
        self._suspicion = Suspicion(reactor, self._view, self._targets, self._gossip)
        self.metrics.suspected_parts.set_function(lambda: self._suspicion.suspected_part_count)
        # At the first start of a fleet no request is condemned yet, so there are none to learn from
        # peers or the store.
        self._suspicion.is_informed = settings.waits_for_seeds
        self._record = CondemnedRecord(
            reactor, store, self._beliefs.registry, self._suspicion, self._is_reader
        )
        self._export_malformed()
        store.on_restored.append(self._store_restored)
        self._reports = self._make_reports()
        chooser = Chooser(self.name, reactor, self._targets, self._view)
        self._placer = self._make_placer(chooser)
        self._placer.cold_note_for = self._cold.note_for
        self._retry_shares = self._make_retry_shares()
        self._retry_pool = RetryPool(
            reactor, self._beliefs.coordinators, self._gossip, self._retry_shares, self._rng
        )
        self._peer_sync = self._make_peer_sync()
        self._peer_sync.cold_left_s = self._cold.left_s
        self._ctx = self._make_context(cfg.get(DATA_HALL), chooser)
        self._callers = CallerFactory(
            reactor,
            self._beliefs.limits,
            self._handle,
            settings.keep_callers,
            self._make_memory(settings.answer_buffer_bytes),
            RequestMemory(settings.request_memory_bytes),
            settings.connection_limit,
        )
        requests = self._callers.requests
        self.metrics.request_bytes.set_function(lambda: requests.used)
        self.metrics.requests_without_memory.set_function(lambda: requests.refused)
        self.metrics.refused_connections.set_function(lambda: self._callers.refused_connections)
        self._ports = self._make_ports(listening_socket)

    @property
    def cannot_start(self) -> defer.Deferred[None]:
        """Fails with `CannotListenError` if an address cannot be listened on at the start."""
        return self._ports.cannot_start

    def _store_restored(self, _before: int, era: int) -> None:
        """Handle that the store was restored from a copy, which starts a new era."""
        self._record.note_store_restored()
        self.metrics.store_era.set(era)
        self.metrics.store_returns.inc()

    def _export_malformed(self) -> None:
        """Export how many entries of the store this box has skipped in its latest reads."""
        lists = {
            "target": self._beliefs.target_feed.malformed,
            "box": self._beliefs.registry.malformed,
            "condemned request": self._record.malformed,
        }
        for kind, malformed in lists.items():
            gauge = self.metrics.malformed_entries.labels(kind)
            gauge.set_function(lambda malformed=malformed: malformed.count)

    # Construction of the parts.

    def _make_gossip(self, data_hall: str) -> gossip.GossipPort:
        coordinators, registry = self._beliefs.coordinators, self._beliefs.registry
        port = gossip.GossipPort(
            self.name,
            self._reactor,
            coordinators.recipients,
            lambda: [entry.address for entry in registry.entries.values()],
            self._handle_gossip,
            self._settings.capacity,
            data_hall,
        )
        registry.on_listed = port.announce_box
        self._beliefs.evacuations.broadcast = port.broadcast_evacuations
        registry.on_replaced = self._view.forget_work_of
        return port

    def _make_paths(self, data_hall: str) -> BoxPaths:
        paths = BoxPaths(
            self._reactor,
            self.name,
            data_hall,
            self._pool,
            self._targets,
            self._beliefs.registry,
            self._beliefs.coordinators,
            self._gossip,
            lambda: CarrierLimits(self._settings.tunnel_limit, self._settings.link_bytes_per_s),
            lambda: len(self._in_flight),
            self._rng,
        )
        paths.connector.on_silent = self._link_may_be_silent
        return paths

    def _link_may_be_silent(self) -> None:
        for task in tuple(self._in_flight):
            task.on_link_silent()

    def _is_reader(self) -> bool:
        """Whether this box reads the store for the other boxes."""
        return not self._beliefs.coordinators.follows_readers()

    def _make_rates(self) -> TargetRates:
        return TargetRates(
            self._reactor,
            self._targets,
            self._view,
            self._beliefs.coordinators,
            self._gossip,
            lambda: self._beliefs.registry.count,
            self._count_place,
            self._cold_bounds(),
        )

    def _make_cold(self) -> ColdTargets:
        cold = ColdTargets(
            self._reactor,
            self._targets,
            self._view,
            self._beliefs.coordinators,
            self._gossip,
            lambda: self._beliefs.registry.peers.values(),
            self._beliefs.service,
        )
        self._targets.on_cold = cold.note_listed
        return cold

    def _cold_bounds(self) -> ColdBounds:
        return ColdBounds(
            self._settings.cold_overage,
            self._settings.cold_slack,
            lambda: self._beliefs.registry.reach,
            self._is_uninformed,
        )

    def _is_uninformed(self, target: str) -> bool:
        """Whether a target may have become cold without this box's knowledge."""
        return self._cold.may_have_missed(target) or self._beliefs.registry.is_alone

    def _count_place(self, result: str, is_cold: bool) -> None:
        self.metrics.places.labels(result).inc()
        if is_cold:
            self.metrics.cold_places.labels(result).inc()

    def _make_reports(self) -> ReportReader:
        return ReportReader(
            self._reactor,
            self._pool,
            self._view,
            self._beliefs.engines,
            self.name,
            self._report_readers,
            self._gossip.broadcast_report,
            self._targets.is_evacuated,
            self._paths.connector.confirm_failure,
            lambda entry: self._paths.connector.is_cut_off([entry]),
        )

    def _report_readers(self) -> list[str]:
        if not self._beliefs.knows_peers():
            return []
        return self._paths.readers(self._beliefs.coordinators.members())

    def _make_placer(self, chooser: Chooser) -> Placer:
        return Placer(
            self._reactor,
            self._beliefs.coordinators,
            chooser,
            self._targets,
            self._view,
            self._gossip,
            self._beliefs.service,
        )

    def _make_retry_shares(self) -> RetryShares:
        settings, beliefs = self._settings, self._beliefs
        return RetryShares(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            lambda: sharers_of(beliefs.coordinators, beliefs.registry.count),
            self._reactor.seconds(),
        )

    def _make_peer_sync(self) -> PeerSync:
        return PeerSync(
            self._reactor,
            self._beliefs.coordinators,
            self._beliefs.registry,
            self._gossip,
            self._configuration,
            self._targets,
            self._beliefs.table,
            self._beliefs.table_follower,
            self._beliefs.pace,
            self._suspicion,
            self._settings.seeds,
            self._settings.waits_for_seeds,
        )

    def _make_context(self, data_hall: str, chooser: Chooser) -> ForwardContext:
        settings = self._settings
        return ForwardContext(
            box=self.name,
            data_hall=data_hall,
            clock=self._reactor,
            admission=Admission(self._configuration, settings.key_bound_s, settings.keys_expire),
            targets=self._targets,
            chooser=chooser,
            placer=self._placer,
            view=self._view,
            pool=self._pool,
            port=self._gossip,
            retry_pool=self._retry_pool,
            suspicion=self._suspicion,
            rates=self._rates,
            free_bound_s=settings.free_bound_s,
            reservation_most_s=settings.reservation_most_s,
            metrics=self.metrics,
            service_of=self._beliefs.service,
            policy_of=self._beliefs.policy,
            rng=self._rng,
            ranks_of=self._beliefs.ranks,
        )

    def _make_memory(self, limit: int) -> MemoryBudget | None:
        """Return the memory budget of the callers' connections, None if it is off."""

        def count(decision: Decision) -> None:
            self.metrics.memory_decisions.labels(decision).inc()

        if not limit:
            return None
        _log.info("memory budget in force", extra={"limit_bytes": limit})
        return MemoryBudget(limit, count)

    def _make_ports(self, listening_socket: socket.socket | None) -> BoxPorts:
        return BoxPorts(
            self._reactor,
            lambda: self._settings,
            listening_socket,
            self._callers,
            self._gossip,
            self._paths.server,
            self._make_pages,
            lambda: self._beliefs.is_informed,
            self._note_accepting,
        )

    # Called by the process.

    async def run(self) -> None:
        """Run all parts until cancelled."""
        extra = {"version": __version__, "start": self.name, "modules": len(sys.modules)}
        _log.info("started", extra=extra | {"cpu_s": self._note_start_cpu("started")})
        await self._make_supervisor().run()

    def _note_accepting(self, informed: bool) -> None:
        cpu_s = self._note_start_cpu("accepting callers")
        _log.info("accepting callers", extra={"informed": informed, "cpu_s": cpu_s})

    def _note_start_cpu(self, until: str) -> float:
        """Export and return the processor time since the start of the process, in seconds."""
        cpu_s = round(time.process_time(), 3)
        self.metrics.start_cpu_s.labels(until).set(cpu_s)
        return cpu_s

    def drain(self) -> defer.Deferred[None]:
        """Start a planned stop; the deferred fires when the process may end."""
        _log.info("draining", extra={"in_flight": len(self._in_flight)})
        self._draining = self._ctx.is_draining = True
        self._paths.drain()
        for task in tuple(self._in_flight):
            task.end_wait()
        return start(self._drain())

    def reload(self, cfg: Settings) -> None:
        """Apply changed settings, except addresses, which require a restart."""
        before, now = self._settings, forward_settings(cfg)
        changed = [name for name in now._fields if getattr(now, name) != getattr(before, name)]
        if not changed:
            return
        _log.info("settings in force", extra={"changed": changed})
        if {"callers", "ready", "peers"} & set(changed):
            _log.warning("an address has changed; restart to apply")
        self._settings = now
        self._ctx.admission.set_key_bound(now.key_bound_s, now.keys_expire)
        self._beliefs.set_bounds(now)
        self._retry_shares.set_budget(now.retry_ratio, now.retry_slack, now.retry_window_s)
        self._ctx.free_bound_s = now.free_bound_s
        self._ctx.reservation_most_s = now.reservation_most_s
        self._callers.keep = now.keep_callers
        self._set_memory_limit(now.answer_buffer_bytes)
        self._callers.requests.limit = now.request_memory_bytes
        self._callers.connection_limit = now.connection_limit
        self._rates.set_cold_bounds(self._cold_bounds())

    def _set_memory_limit(self, limit: int) -> None:
        """Change the memory budget; turning it on or off applies to new connections."""
        memory = self._callers.memory
        if memory is None or not limit:
            self._callers.memory = self._make_memory(limit)
        else:
            memory.limit = limit

    def not_ready(self) -> list[str]:
        """Return why callers should not be sent to this box, empty if it is ready."""
        settings = self._settings
        max_age_s = READY_AGE_SHARE * settings.key_bound_s if settings.keys_expire else float("inf")
        reasons = {
            "the box is draining": self._draining,
            "no configuration is known": self._configuration.in_force is None,
            "the configuration is old": self._configuration.age_s > max_age_s,
            "the list of targets has not been read": not self._targets.entries,
            "callers are not listened for": not self._ports.accepts_callers,
            "the last requests have failed in this box": self._faults.is_failing,
        }
        return [reason for reason, holds in reasons.items() if holds]

    async def _drain(self) -> None:
        if not self._beliefs.coordinators.is_whole_fleet:
            # Another box takes its place in the coordinator group, and learns of all work in
            # progress while this one still serves.
            self._leave()
        begun_s = self._reactor.seconds()
        await drain_callers(
            self._reactor,
            self._callers,
            self._ports.close_callers,
            self._settings.stop_s,
            self._end_requests,
        )
        await drain_tunnels(self._reactor, self._paths, begun_s + self._settings.stop_s)
        # In a small fleet the entry is kept until now: boxes that started during the drain have
        # found this one only by its entry in the store.
        self._leave()
        self._gossip.announce_shutdown()
        await sleep(self._reactor, SHUTDOWN_NOTICE_INTERVAL_S)
        self._gossip.announce_shutdown()
        _log.info("drained", extra={"in_flight": len(self._in_flight)})

    def _end_requests(self) -> None:
        for task in tuple(self._in_flight):
            task.end_for_stop()

    def _leave(self) -> None:
        start(self._beliefs.registry.leave()).addErrback(_log_leave_failure)

    def _make_supervisor(self) -> Supervisor:
        children = [
            self._ports.pages_child(),
            self._ports.gossip_child(),
            self._ports.tunnels_child(),
            *self._beliefs.children(),
            Child("vouching", self._peer_sync.run),
            Child("condemned", self._record.run),
            Child("reports", self._reports.run),
            self._ports.callers_child(),
        ]
        return Supervisor("box", self._reactor, children, self._count_restart)

    def _count_restart(self, child: str) -> None:
        self.metrics.child_restarts.labels(child).inc()

    # Requests.

    def _handle(self, req: CallerRequest, caller: CallerConnection) -> RequestTask:
        task, ended = start_request(self._ctx, req, caller)
        self._in_flight.add(task)
        self.metrics.in_flight.set(len(self._in_flight))
        ended.addErrback(self._request_failed, caller)
        ended.addBoth(self._request_ended, task)
        return task

    def _request_failed(self, failure, caller: CallerConnection) -> Failure:
        _log.error("request task failed", extra={"reason": failure.getTraceback()})
        caller.abort_answer()
        return failure

    def _request_ended(self, result: object, task: RequestTask) -> None:
        if isinstance(result, Failure) or task.has_failed:
            self._faults.note_failed()
        else:
            self._faults.note_handled()
        self._in_flight.discard(task)
        self.metrics.in_flight.set(len(self._in_flight))

    # Targets and peers.

    def _forget_target(self, entry: TargetEntry) -> None:
        """Drop the state of a target that is not listed any more.

        Its end can be the effect of a request that crashes targets, unless it was leaving.
        """
        if not entry.leaving:
            self._view.note_gone(entry.name, entry.born, self._reactor.seconds())
        self._view.forget(entry.name)
        self._cold.forget(entry.name)
        self._pool.close_idle_to((entry.host, entry.port))

    def _traits_of(self, target: str) -> EngineTraits:
        entry = self._targets.entries.get(target)
        engine = self._beliefs.service(entry.service).engine if entry is not None else None
        return engine or EngineTraits()

    def _cold_per_s_of(self, target: str) -> float:
        """Return the rate limit of a target while it is cold, 0 if there is none."""
        entry = self._targets.entries.get(target)
        if entry is None or not self._settings.cold_overage:
            return 0.0
        return self._beliefs.service(entry.service).cold_per_s

    def _note_listed(self, entry: TargetEntry) -> None:
        self._view.note_start(entry.name, entry.born, self._reactor.seconds())

    def _target_restarted(self, name: str) -> None:
        self._targets.note_start(name, self._view.state(name).born)
        self._cold.note_started(name)
        entry = self._targets.entries.get(name)
        if entry is not None:
            self._pool.close_idle_to((entry.host, entry.port))
        for task in tuple(self._in_flight):
            task.on_target_restarted(name)

    def _handle_gossip(self, message: Gossip, address: tuple[str, int]) -> None:
        if gossip.is_shutdown_notice(message):
            self._beliefs.registry.note_ended(message.box, address)
            return
        self._beliefs.registry.note_datagram(
            message.box, address, message.capacity, message.data_hall
        )
        self._view.receive(message, self._targets.entries.keys(), self._reactor.seconds())
        self._placer.receive(message, address)
        self._peer_sync.receive(message, address)
        self._retry_pool.receive(message, address)
        self._suspicion.receive(message)
        self._rates.receive(message, address)
        self._statements.receive(message)
        self._paths.receive(message, address)

    # Pages.

    def _make_pages(self) -> "IResource":
        # Imported on first use: callers are served before operators.
        from .pages import box_pages

        return box_pages(
            self.not_ready,
            self._make_table_site,
            self.metrics,
            self._configuration,
            self._suspicion,
            self._statements,
            lambda: shown_evacuations(self._targets, self._view),
            self._operator_token,
            lambda: self._callers.memory,
            self._paths.shown,
        )

    def _make_table_site(self) -> "TableSite":
        # Imported on first use, since loading its library delays the start of the box.
        from ..table.site import TableSite

        beliefs = self._beliefs
        return TableSite(
            self._operator_token, beliefs.table, beliefs.table_store, self._table_states
        )

    async def _table_states(self) -> list[TableState]:
        """Return the state of the table of weights and limits, which is known for this box only."""
        table = self._beliefs.table
        return [TableState(box=self.name, revision=table.table.revision, age_s=table.age_s)]


def _log_leave_failure(failure) -> None:
    _log.error("removing the registry entry failed", extra={"reason": failure.getTraceback()})
