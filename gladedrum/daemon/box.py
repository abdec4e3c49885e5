"""The box that serves the OpenAI interface: creates its components and supervises them."""

import logging

from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IProtocolFactory, IReactorTime

from .. import __version__
from ..claims import Claims
from ..config import Settings
from ..config.operator_token import OPERATOR_TOKEN
from ..entry import CallerRoutes, Placer, RunContext
from ..entry.body import make_site, request_memory
from ..entry.connections import TrackedConnections
from ..entry.retries import RetryBudget
from ..entry.services import ServiceRouter
from ..entry.site import CALLER_HOST, CALLER_PORT
from ..peers import (
    PEER_HOST,
    PEER_PORT,
    Membership,
    OwnerGateway,
    PeerHandler,
    PeerLimits,
    PeerLostError,
    Peers,
    listen_for_peers,
    own_box,
)
from ..platform import (
    DIRECTORY_INTERVAL,
    STORE,
    Box,
    DirectoryClient,
    DirectoryUnavailableError,
    StoreClient,
    Target,
)
from ..table import TableInForce, TableReplicator, TableState, TableStore
from ..table.site import TableSite
from ..targets import ServiceClient
from ..targets.owners import TargetOwners
from ..telemetry import Metrics
from ..telemetry.traces import Traces
from ..utils import WebClient, repeat, start
from ..utils.connection_limit import LimitedConnections
from ..utils.listening import CannotListenError, Listener
from ..utils.machine import descriptor_limit
from ..utils.supervisor import Child, Supervisor
from .operators import (
    OPERATOR_HOST,
    OPERATOR_PORT,
    BoxStatus,
    ListedTarget,
    OperatorSite,
    TargetStatus,
)

__all__ = ["OpenAIBox"]

PEER_TIMEOUT_S = 1.0
"""Timeout of calls that ask a peer for its table, or for the table's revision."""

CALLERS_SHARE, OPERATORS_SHARE, PEERS_SHARE = 0.5, 0.1, 0.15
"""Shares of the process's descriptors for the connections at each port. The rest is for those to
targets, other boxes and the platform."""

_log = logging.getLogger(__name__)


class OpenAIBox:
    """A box that serves the OpenAI interface.

    Parameters
    ----------
    reactor : reactor
        Used for all sockets and timers.
    cfg : Settings
        All settings.

    Attributes
    ----------
    cannot_start : Deferred
        Fails with `CannotListenError` if a listening socket cannot be opened at the start.
    """

    def __init__(self, reactor: IReactorTime, cfg: Settings):
        self.cannot_start: defer.Deferred[None] = defer.Deferred()
        self._reactor = reactor
        self._cfg = cfg
        self._draining = False
        self.metrics = Metrics()
        self.membership = Membership(own_box(cfg, cfg.get(PEER_PORT)))
        name = self.membership.me.name
        self._traces = Traces(cfg, "gladedrumd", name)
        self._web = WebClient(reactor)
        self.kv = StoreClient(cfg.get(STORE), self._web)
        self.table = TableInForce(reactor)
        self.table_store = TableStore(self.kv)
        self._directory = DirectoryClient(cfg, self._web)
        self._peers = Peers(reactor, cfg, self.membership)
        self.owners = TargetOwners(
            reactor, cfg, self._web, self.metrics, self._find_target, self._live_sessions
        )
        self._gateway = OwnerGateway(self.membership, self._peers, self.owners, self.metrics)
        self._table_replicator = TableReplicator(
            cfg,
            reactor,
            self.kv,
            self.table,
            self.membership.live_boxes,
            lambda: self.membership.me,
            self._ask_table,
        )
        self._placer = Placer(reactor, cfg, self.membership, self._gateway)
        self.membership.on_change = self._placer.schedule_hand_over
        self.entry = self._make_entry(cfg)
        site = make_site(reactor, self.entry.app.resource(), cfg)
        limited = LimitedConnections(site, reactor, _share_of_descriptors(CALLERS_SHARE))
        self._caller_connections = TrackedConnections(limited, reactor)
        self._callers = Listener("callers", self._listen_callers, self._cannot_listen)
        self._operators = Listener("operators", self._listen_operators, self._cannot_listen)
        self._peer_server = Listener("peers", self._listen_peers, self._cannot_listen)

    async def run(self) -> None:
        """Run all components until cancelled."""
        try:
            await self._tree().run()
        finally:
            self._traces.shutdown()

    def drain(self) -> defer.Deferred[None]:
        """Stop accepting requests; fires once no request is in flight."""
        _log.info("draining")
        self._draining = True
        self.owners.leave()
        self.membership.note_leaving(self.membership.me.name)
        ended = self.entry.drain()
        return ended.addCallback(lambda _none: self._caller_connections.close())

    def reload(self, cfg: Settings) -> None:
        """Log that changed settings need a restart."""
        _log.warning("the settings file has changed; restart to apply")

    def not_ready(self) -> list[str]:
        """Return the reasons why the box is not ready for callers; empty if it is."""
        reasons = {
            "the box is draining": self._draining,
            "the list of boxes and targets has not been read": not self.membership.directory_read,
            "neither the service nor a peer has told the table": not self.table.known,
            "callers are not listened for": not self._callers.port,
            "other boxes are not listened for": not self._peer_server.port,
        }
        return [reason for reason, holds in reasons.items() if holds]

    def status(self) -> BoxStatus:
        """Return the state of the box, its peers and its targets."""
        me = self.membership.me
        return BoxStatus(
            box=me.name,
            data_hall=me.data_hall,
            version=__version__,
            state="draining" if self._draining else "serving",
            table_revision=self.table.table.revision,
            table_age_s=round(self.table.age_s, 3),
            peers=sorted(b.name for b in self.membership.directory.boxes if b.name != me.name),
            suspected=sorted(self.membership.suspected),
            listed_targets=[
                ListedTarget(
                    name=t.name,
                    kind=t.kind,
                    owner=self.membership.owner_of(t).name if t.kind == "engine" else "",
                    leaving=t.leaving,
                )
                for t in self.membership.directory.targets
            ],
            targets=[
                TargetStatus(
                    target=owner.target.name,
                    running=len(owner.queue.running),
                    waiting=len(owner.queue.waiting),
                    reserved_tokens=owner.queue.reserved_tokens,
                    memory_tokens=owner.queue.traits.memory_tokens,
                    sessions_known=owner.sessions_known,
                    distrusted=owner.distrusted,
                )
                for owner in self.owners.all_owners()
            ],
        )

    def _tree(self) -> Supervisor:
        platform = [
            Child("directory", self._read_directory),
            Child("table", self._table_replicator.run),
        ]
        peers = [Child("peer server", self._peer_server.run), Child("peers", self._peers.run)]
        targets = [
            Child("decisions", self.owners.tick),
            Child("polls", lambda: self.owners.poll(self._owned_targets)),
        ]
        entry = [Child("renewals", self._placer.run), Child("callers", self._callers.run)]
        groups = {"platform": platform, "peers": peers, "targets": targets, "entry": entry}
        children = [
            Child(name, self._supervisor(name, group).run) for name, group in groups.items()
        ]
        children.insert(0, Child("operators", self._operators.run))
        return self._supervisor("box", children)

    def _supervisor(self, name: str, children: list[Child]) -> Supervisor:
        return Supervisor(name, self._reactor, children, self._count_restart)

    def _count_restart(self, child: str) -> None:
        self.metrics.child_restarts.labels(child).inc()

    def _make_entry(self, cfg: Settings) -> CallerRoutes:
        ctx = RunContext(
            box=self.membership.me.name,
            clock=self._reactor,
            now_s=self.owners.now_s,
            placer=self._placer,
            web=self._web,
            metrics=self.metrics,
            traces=self._traces,
            retries=RetryBudget(),
            own_sessions=self.owners.own_sessions,
        )
        services = ServiceRouter(
            self.membership,
            ServiceClient(self._web, self._reactor),
            self.metrics,
            self._traces,
        )
        claims = Claims(cfg, self.kv, self._reactor, self.membership.me.name, self.owners.now_s)
        return CallerRoutes(
            cfg,
            ctx,
            self.membership,
            services,
            claims,
            self._live_sessions,
            lambda: self.table.table,
        )

    # Supervised tasks.

    async def _read_directory(self) -> None:
        interval_s = self._cfg.get(DIRECTORY_INTERVAL)
        await repeat(self._reactor, interval_s, lambda: start(self._read_directory_once()))

    async def _read_directory_once(self) -> None:
        try:
            self.membership.update(await self._directory.read())
        except DirectoryUnavailableError as exc:
            # Keep the last list. Listed boxes that no longer answer are suspected and skipped.
            _log.warning("list of boxes and targets not read", extra={"reason": str(exc)})

    def _listen_callers(self):
        host, port = self._cfg.get(CALLER_HOST), self._cfg.get(CALLER_PORT)
        return self._listen(host, port, self._caller_connections)

    def _listen_operators(self):
        table = TableSite(
            self._cfg.get(OPERATOR_TOKEN), self.table, self.table_store, self.table_states
        )
        routes = OperatorSite(self.metrics, self.not_ready, self.status, table.app.resource())
        site = make_site(self._reactor, routes.app.resource(), self._cfg)
        site = LimitedConnections(site, self._reactor, _share_of_descriptors(OPERATORS_SHARE))
        return self._listen(self._cfg.get(OPERATOR_HOST), self._cfg.get(OPERATOR_PORT), site)

    def _listen(self, host: str, port: int, site: IProtocolFactory):
        site.noisy = False
        return endpoints.TCP4ServerEndpoint(self._reactor, port, interface=host).listen(site)

    async def _listen_peers(self):
        handler = PeerHandler(self.membership.me.name, self.owners, self.table, self._traces)
        host, port = self._cfg.get(PEER_HOST), self._cfg.get(PEER_PORT)
        limits = PeerLimits(request_memory(self._cfg), _share_of_descriptors(PEERS_SHARE))
        listening = await listen_for_peers(self._reactor, host, port, handler, limits)
        self.membership.me = own_box(self._cfg, listening.getHost().port)
        return listening

    def _cannot_listen(self, problem: CannotListenError) -> None:
        if not self.cannot_start.called:
            self.cannot_start.errback(problem)

    # Lookups and calls to peers for the components that `__init__` creates.

    def _find_target(self, name: str) -> Target | None:
        targets = self.membership.directory.targets
        return next((t for t in targets if t.name == name and t.kind == "engine"), None)

    def _owned_targets(self) -> list[Target]:
        me = self.membership.me.name
        return [
            t
            for t in self.membership.directory.targets
            if t.kind == "engine" and self.membership.owner_of(t).name == me
        ]

    async def _ask_table(self, box: Box, revision: int) -> bytes:
        link = self._peers.link(box)
        return await link.call("table_since", revision, timeout_s=PEER_TIMEOUT_S)

    async def table_states(self) -> list[TableState]:
        """Return the revision of the table at each listed box; None if a box does not answer."""
        me = self.membership.me.name
        boxes = [b for b in self.membership.directory.boxes if b.name != me]
        states = [start(self._table_state(box)) for box in boxes]
        own = TableState(box=me, revision=self.table.table.revision, age_s=self.table.age_s)
        return [own, *await defer.gatherResults(states)]

    async def _table_state(self, box: Box) -> TableState:
        try:
            link = self._peers.link(box)
            record = await link.call("table_state", timeout_s=PEER_TIMEOUT_S)
        except PeerLostError:
            return TableState(box=box.name, revision=None, age_s=None)
        return TableState(box=box.name, revision=record.revision, age_s=record.age_s)

    async def _live_sessions(self, box: str, session_ids: list[str]) -> list[str] | None:
        return await self._gateway.live_sessions(box, session_ids)


def _share_of_descriptors(share: float) -> int:
    return int(share * descriptor_limit())
