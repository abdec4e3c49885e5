"""A forwarding box: its parts, put together and supervised."""

import logging
import random
import secrets
import socket
from typing import TYPE_CHECKING

from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Site

from .. import __version__
from ..config import BOX_NAME, DATA_HALL, Settings
from ..daemon.listening import BACKLOG, CannotListenError, Listener
from ..daemon.operator_token import OPERATOR_TOKEN
from ..daemon.supervisor import Child, Supervisor
from ..fleet import TargetEntry
from ..platform.feeds import ConfigurationFeed, TargetFeed
from ..platform.store import STORE, StoreClient
from ..routes import CallerLimits, Service
from ..table import TableFollower, TableInForce, TableState, TableStore
from ..utils import WebClient, sleep, start
from . import gossip
from .admission import Admission
from .caller_conn import CallerConnection, CallerFactory
from .choosing import Chooser
from .configuration import ConfigurationKeeper
from .context import ForwardContext
from .drain import drain_callers
from .fleet_view import FleetView
from .life import RequestTask, start_request
from .measures import ForwardMetrics
from .membership import BoxRegistry
from .messages import CallerRequest
from .pages import box_pages
from .placing import Circle, Placer
from .repeat_pool import RepeatPool, sharers_of
from .repeats import RepeatShares
from .reports import ReportReader
from .settings import forward_settings
from .store_pace import StorePace
from .target_list import TargetKeeper
from .target_pool import TargetPool
from .vouching import PeerVouching

if TYPE_CHECKING:
    from ..daemon.table_site import TableSite

__all__ = ["ForwardingBox"]

READY_SHARE = 0.6
"""Not ready when the configuration is older than this share of the bound on keys: callers are
better served elsewhere before this box must refuse them."""

INFORMED_WITHIN_S = 0.5
"""How long after its start a box waits for configuration and targets before it accepts callers, in
seconds: half of what a caller gives a connection."""

INFORMED_CHECK_S = 0.005
"""How often it looks for them, in seconds."""

_log = logging.getLogger(__name__)


class ForwardingBox:
    """One box that forwards requests by the operator's routes.

    Parameters
    ----------
    reactor : reactor
        Where sockets and timers live.
    cfg : Settings
        All settings.
    early : socket, optional
        The callers' socket, if it listens already.

    Attributes
    ----------
    cannot_start : Deferred
        Fails with `CannotListenError` if an address cannot be listened on at the start.
    """

    def __init__(self, reactor: IReactorTime, cfg: Settings, early: socket.socket | None = None):
        self.cannot_start: defer.Deferred[None] = defer.Deferred()
        self._reactor = reactor
        self._early = early
        self._settings = settings = forward_settings(cfg)
        self._rng = random.Random()
        self._draining = False
        self._in_flight: set[RequestTask] = set()
        self.name = f"{cfg.get(BOX_NAME)}.{secrets.token_hex(4)}"
        self.metrics = ForwardMetrics()
        store = StoreClient(cfg.get(STORE), WebClient(reactor))
        self._table = TableInForce(reactor)
        self._table_store = TableStore(store)
        self._operator_token = cfg.get(OPERATOR_TOKEN)
        self._pool = TargetPool(reactor)
        self._view = FleetView()
        self._registry = BoxRegistry(reactor, store, self.name, settings.peers, self._rng)
        self._registry.on_listed = lambda: self._gossip.say_hello()
        self._circle = Circle(self.name, lambda: self._registry.peers)
        self._table_follower = TableFollower(reactor, store, self._table, self._circle.excludes_me)
        pace = StorePace(reactor, self._rng, self._circle.excludes_me)
        self._configuration = ConfigurationKeeper(
            reactor,
            ConfigurationFeed(store),
            settings.change_bound_s,
            pace,
        )
        self._targets = TargetKeeper(
            reactor,
            TargetFeed(store),
            settings.leave_bound_s,
            self._forget_target,
            pace,
        )
        self._gossip = gossip.GossipPort(
            self.name,
            reactor,
            self._circle.audience,
            lambda: self._registry.peers.values(),
            self._take_gossip,
        )
        self._reports = ReportReader(
            reactor,
            self._pool,
            self._view,
            self._engines,
            self.name,
            self._circle.members,
            self._gossip.tell_report,
        )
        chooser = Chooser(self.name, reactor, self._targets, self._view)
        self._placer = Placer(
            reactor, self._circle, chooser, self._targets, self._view, self._gossip, self._service
        )
        self._repeat_shares = RepeatShares(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            lambda: sharers_of(self._circle, self._registry.count),
        )
        self._repeats = RepeatPool(
            reactor, self._circle, self._gossip, self._repeat_shares, self._rng
        )
        self._vouching = PeerVouching(
            reactor,
            self._circle,
            self._gossip,
            self._configuration,
            self._targets,
            self._table,
            self._table_follower,
            pace,
        )
        self._ctx = self._make_context(cfg.get(DATA_HALL), chooser)
        self._callers = CallerFactory(reactor, self._limits, self._handle, settings.keep_callers)
        self._caller_port = Listener("callers", self._listen_callers, self._cannot_listen)
        self._ready_port = Listener("readiness", self._listen_ready, self._cannot_listen)

    def _make_context(self, data_hall: str, chooser: Chooser) -> ForwardContext:
        settings = self._settings
        return ForwardContext(
            box=self.name,
            data_hall=data_hall,
            clock=self._reactor,
            admission=Admission(self._configuration, settings.key_bound_s),
            targets=self._targets,
            chooser=chooser,
            placer=self._placer,
            view=self._view,
            pool=self._pool,
            port=self._gossip,
            repeats=self._repeats,
            free_bound_s=settings.free_bound_s,
            reservation_most_s=settings.reservation_most_s,
            metrics=self.metrics,
            service_of=self._service,
            policy_of=self._policy,
            rng=self._rng,
        )

    async def run(self) -> None:
        """Run all parts until cancelled."""
        _log.info("started", extra={"version": __version__, "start": self.name})
        await self._tree().run()

    def drain(self) -> defer.Deferred[None]:
        """Take no new work; fires when the box may stop."""
        _log.info("draining", extra={"in_flight": len(self._in_flight)})
        self._draining = True
        self._gossip.tell_leaving()
        return start(self._drain())

    def reload(self, cfg: Settings) -> None:
        """Take over changed settings; addresses take a restart."""
        before, now = self._settings, forward_settings(cfg)
        changed = [name for name in now._fields if getattr(now, name) != getattr(before, name)]
        if not changed:
            return
        _log.info("settings in force", extra={"changed": changed})
        if {"callers", "ready", "peers"} & set(changed):
            _log.warning("an address has changed; it counts from the next start")
        self._settings = now
        self._ctx.admission.set_key_bound(now.key_bound_s)
        self._configuration.set_change_bound(now.change_bound_s)
        self._targets.set_leave_bound(now.leave_bound_s)
        self._repeat_shares.set_bound(now.retry_ratio, now.retry_slack, now.retry_window_s)
        self._ctx.free_bound_s = now.free_bound_s
        self._ctx.reservation_most_s = now.reservation_most_s
        self._callers.keep = now.keep_callers

    def not_ready(self) -> list[str]:
        """Return the reasons why callers should not be sent here."""
        most_s = READY_SHARE * self._settings.key_bound_s
        reasons = {
            "the box is draining": self._draining,
            "no configuration is known": self._configuration.table is None,
            "the configuration is old": self._configuration.age_s > most_s,
            "the list of targets has not been read": not self._targets.entries,
            "callers are not listened for": not self._caller_port.port,
        }
        return [reason for reason, holds in reasons.items() if holds]

    async def _drain(self) -> None:
        start(self._registry.leave()).addErrback(_log_failure)
        await drain_callers(
            self._reactor, self._callers, self._caller_port.close, self._settings.stop_s
        )
        _log.info("drained", extra={"in_flight": len(self._in_flight)})

    def _tree(self) -> Supervisor:
        children = [
            Child("readiness", self._ready_port.run),
            Child("gossip", self._run_gossip),
            Child("configuration", self._configuration.run),
            Child("targets", self._targets.run),
            Child("table", self._table_follower.run),
            Child("registry", self._registry.run),
            Child("vouching", self._vouching.run),
            Child("reports", self._reports.run),
            Child("callers", self._serve_callers),
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

    def _request_failed(self, failure, caller: CallerConnection) -> None:
        _log.error("request's task failed", extra={"reason": failure.getTraceback()})
        caller.abort_answer()

    def _request_ended(self, _result: object, task: RequestTask) -> None:
        self._in_flight.discard(task)
        self.metrics.in_flight.set(len(self._in_flight))

    def _limits(self) -> CallerLimits:
        table = self._configuration.table
        return table.limits if table is not None else CallerLimits()

    def _service(self, name: str) -> Service:
        table = self._configuration.table
        known = table.services.get(name) if table is not None else None
        return known or Service(name)

    def _policy(self, organisation: str, route: str) -> str:
        return self._table.table.effective(organisation, route).name("policy")

    # Targets and peers.

    def _engines(self) -> list[TargetEntry]:
        entries = self._targets.entries.values()
        return [entry for entry in entries if self._service(entry.service).engine is not None]

    def _forget_target(self, entry: TargetEntry) -> None:
        self._view.forget(entry.name)
        self._pool.forget_place((entry.host, entry.port))

    def _take_gossip(self, told: gossip.Gossip, address: tuple[str, int]) -> None:
        self._registry.note_heard(told.box, address)
        self._view.take(told, self._targets.entries.keys(), self._reactor.seconds())
        self._placer.take(told, address)
        self._vouching.take(told, address)
        self._repeats.take_told(told, address)

    # Sockets.

    async def _run_gossip(self) -> None:
        host, port = self._settings.peers
        listening = self._reactor.listenUDP(port, self._gossip, interface=host)
        try:
            await defer.Deferred()
        finally:
            await listening.stopListening()

    async def _serve_callers(self) -> None:
        """Accept callers as soon as it is known where requests go, or after a while anyway.

        Until then callers wait in the kernel's queue: they would only be told to come back.
        """
        give_up_s = self._reactor.seconds() + INFORMED_WITHIN_S
        while not self._is_informed() and self._reactor.seconds() < give_up_s:
            await sleep(self._reactor, INFORMED_CHECK_S)
        await self._caller_port.run()

    def _is_informed(self) -> bool:
        return self._configuration.table is not None and bool(self._targets.entries)

    def _listen_callers(self):
        early, self._early = self._early, None
        if early is None:
            return self._listen(self._settings.callers, self._callers)
        # The reactor works on a copy of the descriptor.
        with early:
            port = self._reactor.adoptStreamPort(early.fileno(), socket.AF_INET, self._callers)
        return defer.succeed(port)

    def _listen_ready(self):
        pages = box_pages(self.not_ready, self._make_table_site, self.metrics, self._configuration)
        site = Site(pages)
        site.noisy = False
        return self._listen(self._settings.ready, site)

    def _listen(self, address: tuple[str, int], factory):
        host, port = address
        return endpoints.TCP4ServerEndpoint(
            self._reactor, port, backlog=BACKLOG, interface=host
        ).listen(factory)

    def _make_table_site(self) -> "TableSite":
        # Imported on first use: its library takes a fifth of a start.
        from ..daemon.table_site import TableSite

        return TableSite(self._operator_token, self._table, self._table_store, self._table_states)

    async def _table_states(self) -> list[TableState]:
        table = self._table
        return [TableState(box=self.name, revision=table.table.revision, age_s=table.age_s)]

    def _cannot_listen(self, problem: CannotListenError) -> None:
        if not self.cannot_start.called:
            self.cannot_start.errback(problem)


def _log_failure(failure) -> None:
    _log.error("task failed", extra={"reason": failure.getTraceback()})
