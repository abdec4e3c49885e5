"""Opens connections to targets, over the box's own link or through a peer.

The own link goes first, with a head start; if it isn't open by then, tunnels are opened beside it.
For a doubted target (see `evidence`) the tunnels go first. While anything is doubted, the connector
looks for the way back and tells the peers.
"""

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from http import HTTPStatus
from typing import TypedDict

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure

from ..connections.target_conn import TargetConnection
from ..connections.target_pool import CONNECT_TIMEOUT_S, ConnectFailedError, MakeConnection
from ..fleet import TargetEntry
from ..gossip.wire.ttypes import LinkNote, TargetGroup
from ..utils import MAX_TIMER_LAG_S, sleep, start
from .carriers import Carrier, Carriers
from .evidence import MIN_FAILED_TARGETS, SILENCE_S, Address, Group, LinkEvidence
from .tunnel_client import TunnelFailedError, TunnelRequest, open_tunnel

__all__ = ["PathConnector", "ShownLinks"]

HEAD_START_S = 0.1
"""Time for the own link before a tunnel is opened beside it, in seconds: the least that RFC 8305
allows between connection attempts. Targets accept within milliseconds."""

CARRIER_INTERVAL_S = 0.15
"""Time until the next carrier is tried beside a silent one, in seconds."""

MAX_CARRIERS = 3
"""The most carriers that are tried for one connection."""

PROBE_INTERVAL_S = 0.4
"""Interval between the connections that look for the way back, in seconds: the own link is used
again within a second of its return."""

PROBE_TIMEOUT_S = 0.35
"""Timeout of these connections, in seconds."""

NOTE_INTERVAL_S = 1.0
"""Interval between notes to peers while anything is doubted, in seconds."""

PROOF_WAIT_S = 0.05
"""How long proof of a sound link is awaited from other connections before one is opened for it, in
seconds."""

PROOF_TIMEOUT_S = 0.5
"""How long proof of a sound link is awaited in all, in seconds."""

SILENCE_CHECK_S = 0.1
"""Interval between checks whether answers have stopped to arrive, in seconds."""

_CHECK_INTERVAL_S = 0.025

_log = logging.getLogger(__name__)


class _ShownGroup(TypedDict):
    """A doubted group of targets, and for how many seconds it has been doubted."""

    service: str
    data_hall: str
    for_s: float


class ShownLinks(TypedDict):
    """What the box's own link reaches, as shown to operators.

    `connections` counts what came of connections, by path and result, and `withheld` failures that
    were not counted against a target since the link was not proven sound.
    """

    doubted: list[_ShownGroup]
    doubted_targets: list[str]
    tunnels_open: int
    connections: dict[str, int]
    withheld: int


class PathConnector:
    """Opens connections to targets by the best path; see the module.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections, and times them.
    box : str
        This box's name.
    evidence : LinkEvidence
        What is known of the own link.
    carriers : Carriers
        Chooses peers.
    entries : callable
        Returns the list of targets by name.
    send_note : callable
        Sends a `LinkNote` to the peers.
    is_enabled : callable
        Whether tunnels may be used.

    Attributes
    ----------
    counts : dict of str to int
        What came of connections, by path and result.
    withheld : int
        Failures that were not counted against a target.
    keep : callable
        Takes a connection that no request waits for.
    make_idle : callable
        Returns the protocol of such a connection, as `MakeConnection`.
    on_silent : callable
        Called when open connections over the own link have turned out to be silent.
    carries : callable
        Whether this box carries connections for others.
    """

    def __init__(
        self,
        reactor,
        box: str,
        evidence: LinkEvidence,
        carriers: Carriers,
        entries: Callable[[], Mapping[str, TargetEntry]],
        send_note: Callable[[LinkNote], None],
        is_enabled: Callable[[], bool] = lambda: True,
    ):
        self.reactor = reactor
        self.box = box
        self.evidence = evidence
        self.carriers = carriers
        self._entries = entries
        self._send_note = send_note
        self._is_enabled = is_enabled
        self.counts = dict.fromkeys(
            ["own open", "own late", "own failed", "peer open", "peer failed", "all failed"], 0
        )
        self.withheld = 0
        self.keep: Callable[[TargetConnection], None] = lambda conn: conn.abort()
        self.make_idle: MakeConnection
        self.on_silent: Callable[[], None] = lambda: None
        self.carries: Callable[[], bool] = lambda: True
        self._ticking: IDelayedCall | None = None
        self._noted_s = float("-inf")
        self._noted: frozenset[Group] = frozenset()
        self._doubted_since_s: float | None = None
        self._probe_turn = 0
        self._answering: set[TargetConnection] = set()
        self._checking_silence: IDelayedCall | None = None

    # For the pool.

    def open(
        self, entry: TargetEntry, request_id: str, make_conn: MakeConnection
    ) -> defer.Deferred[TargetConnection]:
        """Open a connection to a target; see `TargetPaths.open`."""
        return _Opening(self, entry, request_id, make_conn).begin()

    def may_reuse(self, conn: TargetConnection) -> bool:
        """Whether an idle connection may be used now: not over a link that seems dead or lossy."""
        if conn.carrier:
            return True
        now_s = self.reactor.seconds()
        return not (
            self.evidence.is_lossy(conn.address) or self.evidence.is_silent(conn.address, now_s)
        )

    def is_obsolete(self, conn: TargetConnection) -> bool:
        """Whether an idle connection should be closed: a tunnel that is not needed, or may not be.

        That is, since the own link works again, or the carrier is about to stop.
        """
        if not conn.carrier:
            return False
        is_leaving = self.carriers.is_leaving(conn.carrier, self.reactor.seconds())
        return is_leaving or not self.evidence.is_doubted(conn.address)

    def note_received(self, conn: TargetConnection) -> None:
        """Record that bytes have arrived on a connection."""
        if conn.carrier:
            return
        conn.heard_s = self.reactor.seconds()
        self.evidence.note_heard(conn.address, conn.heard_s)
        if conn.is_busy:
            self._answering.add(conn)
            if self._checking_silence is None:
                self._checking_silence = self.reactor.callLater(
                    SILENCE_CHECK_S, self._check_silence
                )

    # For those who judge targets.

    def testify(
        self,
        entry: TargetEntry,
        by_connection: bool,
        act: Callable[[], None],
        otherwise: Callable[[], None] = lambda: None,
    ) -> None:
        """Call `act` if a failure at a target is not that of the box's own link.

        Parameters
        ----------
        entry : TargetEntry
            The target that has failed just now.
        by_connection : bool
            Whether it failed to accept a connection; proof is then another connection, not bytes on
            an open one.
        act : callable
            Counts the failure against the target. Called at once if there is nothing to prove the
            link by (no peers, no other target), else within `PROOF_TIMEOUT_S` or not at all.
        otherwise : callable
            Called in place of `act`.
        """
        address, since_s = (entry.host, entry.port), self.reactor.seconds()
        if not self.carriers.has_peers() or not self._is_enabled():
            act()
            return
        if self.evidence.is_proven(address, since_s, by_connection) is None:
            act()
            return
        start(self._await_proof(entry, since_s, by_connection)).addCallbacks(
            lambda proven: act() if proven else otherwise(), _log_failure
        )

    async def _await_proof(self, entry: TargetEntry, since_s: float, by_connection: bool) -> bool:
        """Return whether a failure at a target is not that of the box's own link."""
        address, probed = (entry.host, entry.port), False
        while True:
            now_s = self.reactor.seconds()
            if self.evidence.is_proven(address, since_s, by_connection) is not False:
                return True
            if not self.carriers.reachable_by_peers(entry, now_s):
                # It answers none of the peers that were asked: not the fault of one link.
                return True
            if self.evidence.is_carried(address) or now_s - since_s > PROOF_TIMEOUT_S:
                self._log_withheld(entry)
                return False
            if not probed and now_s - since_s >= PROOF_WAIT_S:
                probed = True
                for other in self.evidence.proof_candidates(address):
                    self._probe(other)
            await sleep(self.reactor, _CHECK_INTERVAL_S)

    def _log_withheld(self, entry: TargetEntry) -> None:
        self.withheld += 1
        address = (entry.host, entry.port)
        extra = {
            "target": entry.name,
            "doubted": self.evidence.is_doubted(address),
            "reached_by_peer": self.evidence.is_carried(address),
        }
        _log.info("failure not counted against target", extra=extra)

    def is_doubted(self, entry: TargetEntry) -> bool:
        """Whether the own link is thought not to open connections to a target."""
        return self.evidence.is_doubted((entry.host, entry.port))

    def is_silent(self, entry: TargetEntry) -> bool:
        """Whether open connections to a target over the own link are thought to be dead."""
        return self.evidence.is_silent((entry.host, entry.port), self.reactor.seconds())

    def is_cut_off(self, entries: Iterable[TargetEntry]) -> bool:
        """Whether neither this box nor any peer is known to reach one of these targets."""
        now_s = self.reactor.seconds()
        entries = list(entries)
        return bool(entries) and all(
            self.is_doubted(entry) and not self.carriers.reachable_by_peers(entry, now_s)
            for entry in entries
        )

    # Evidence.

    def next_carrier(self, entry: TargetEntry, tried: Collection[str]) -> Carrier | None:
        """Return the best carrier to a target that is not in `tried`, None if there is none."""
        if not self._is_enabled():
            return None
        return next(iter(self.carriers.ranked(entry, self.reactor.seconds(), tried)), None)

    def note_tunnel_failed(
        self, entry: TargetEntry, carrier: Carrier, exc: TunnelFailedError
    ) -> None:
        """Record that a carrier has not opened a tunnel."""
        now_s = self.reactor.seconds()
        if exc.status == HTTPStatus.BAD_GATEWAY:
            self.carriers.note_negative(entry, carrier.name, now_s)
        else:
            self.carriers.note_failed(carrier.name, now_s)

    def note_connected(self, address: Address) -> None:
        """Record that the own link has opened a connection."""
        self.evidence.note_connected(address, self.reactor.seconds())
        self._update()

    def note_failed(self, address: Address, reason: str) -> None:
        """Record that the own link has not opened a connection in time."""
        before = set(self.evidence.doubted_groups)
        self.evidence.note_failed(address, self.reactor.seconds())
        for group in set(self.evidence.doubted_groups) - before:
            extra = {**group._asdict(), "reason": reason}
            _log.warning("own link doubted", extra=extra)
            self.on_silent()
            # Bytes that are on their way show by then whether open connections go on.
            self.reactor.callLater(SILENCE_S, self.on_silent)
        self._update()

    def note_carried(self, entry: TargetEntry) -> None:
        """Record that a peer has opened a connection."""
        self.evidence.note_carried((entry.host, entry.port))
        self.carriers.note_positive(entry)
        self._update()

    def _update(self) -> None:
        """Start or stop looking for the way back, and tell the peers of a change."""
        doubts = bool(self.evidence.doubted_groups or self.evidence.doubted_targets)
        if doubts and self._doubted_since_s is None:
            self._doubted_since_s = self.reactor.seconds()
        elif not doubts and self._doubted_since_s is not None:
            after_s = round(self.reactor.seconds() - self._doubted_since_s, 3)
            _log.warning("own link restored", extra={"after_s": after_s})
            self._doubted_since_s = None
        if self.evidence.doubted_groups.keys() != self._noted:
            self._tell_peers()
        if doubts and self._ticking is None:
            self._ticking = self.reactor.callLater(PROBE_INTERVAL_S, self._tick)

    def _tell_peers(self) -> None:
        self._noted, self._noted_s = frozenset(self.evidence.doubted_groups), self.reactor.seconds()
        rows = [TargetGroup(*group) for group in sorted(self._noted)]
        self._send_note(LinkNote(rows, self.carries()))

    def tell_leaving(self) -> None:
        """Tell the peers that this box carries no further connections, until the process ends."""
        self._tell_peers()
        self.reactor.callLater(NOTE_INTERVAL_S, self.tell_leaving)

    def _tick(self) -> None:
        self._ticking = None
        if self._doubted_since_s is None:
            return
        self._ticking = self.reactor.callLater(PROBE_INTERVAL_S, self._tick)
        self._probe_turn += 1
        candidates = self.evidence.probe_candidates()
        for address in {rows[self._probe_turn % len(rows)] for rows in candidates}:
            self._probe(address)
        self._update()
        if self._noted and self.reactor.seconds() - self._noted_s >= NOTE_INTERVAL_S:
            self._tell_peers()

    def _probe(self, address: Address | None) -> None:
        """Try a connection over the own link; one that opens is kept for the next request."""
        entry = next((e for e in self._entries().values() if (e.host, e.port) == address), None)
        if entry is not None:
            _OwnLink(self, entry, PROBE_TIMEOUT_S, None).begin().addCallbacks(
                self.keep, lambda _failure: None
            )

    def _check_silence(self) -> None:
        """Try the link to a group where all answers over it have stopped at once."""
        self._checking_silence = None
        self._answering = {conn for conn in self._answering if conn.is_busy}
        if not self._answering:
            return
        self._checking_silence = self.reactor.callLater(SILENCE_CHECK_S, self._check_silence)
        groups: dict[Group | None, set[TargetConnection]] = defaultdict(set)
        for conn in self._answering:
            groups[self.evidence.local_group(conn.address)].add(conn)
        silent_since_s = self.reactor.seconds() - SILENCE_S
        for group, conns in groups.items():
            if max(conn.heard_s for conn in conns) <= silent_since_s:
                # Tried once for each silence: `note_received` adds them again.
                self._answering -= conns
                self._probe_group(group, {conn.address for conn in conns})

    def _probe_group(self, group: Group | None, silent: set[Address]) -> None:
        """Try connections to some targets of a group, preferably not to the silent ones."""
        members = self.evidence.members(group) if group is not None else set()
        for address in [*sorted(members - silent), *sorted(members & silent)][:MIN_FAILED_TARGETS]:
            self._probe(address)

    # For operators.

    def shown(self) -> ShownLinks:
        """Return what the own link reaches."""
        now_s = self.reactor.seconds()
        names = {(e.host, e.port): e.name for e in self._entries().values()}
        return ShownLinks(
            doubted=[
                _ShownGroup(**group._asdict(), for_s=round(now_s - since_s, 3))
                for group, since_s in sorted(self.evidence.doubted_groups.items())
            ],
            doubted_targets=sorted(names.get(a, "") for a in self.evidence.doubted_targets),
            tunnels_open=self.carriers.open_tunnels,
            connections=dict(self.counts),
            withheld=self.withheld,
        )


class _OwnLink:
    """A connection to a target over the own link, and the evidence that it gives.

    Parameters
    ----------
    paths : PathConnector
        Records the evidence.
    entry : TargetEntry
        The target.
    timeout_s : float
        How long to wait for the connection, in seconds.
    on_late : callable or None
        Called once if the connection is not open after `HEAD_START_S`, or has failed before.
    make_conn : callable
        Returns the protocol of the connection.
    """

    def __init__(
        self,
        paths: PathConnector,
        entry: TargetEntry,
        timeout_s: float,
        on_late: Callable[[], None] | None,
        make_conn: MakeConnection | None = None,
    ):
        self._paths = paths
        self._address = (entry.host, entry.port)
        self._timeout_s = timeout_s
        self._on_late = on_late
        self._make_conn = make_conn or paths.make_idle
        self._timer: IDelayedCall | None = None
        self._is_late = False

    def begin(self) -> defer.Deferred[TargetConnection]:
        """Start to connect; the deferred fires with the connection or the failure."""
        reactor = self._paths.reactor
        factory = protocol.Factory.forProtocol(lambda: self._make_conn(self._address, ""))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(reactor, *self._address, timeout=self._timeout_s)
        self._start_timer()
        return endpoint.connect(factory).addCallbacks(self._connected, self._failed)

    def _start_timer(self) -> None:
        due_s = self._paths.reactor.seconds() + HEAD_START_S
        self._timer = self._paths.reactor.callLater(HEAD_START_S, self._head_start_over, due_s)

    def _head_start_over(self, due_s: float) -> None:
        if self._paths.reactor.seconds() - due_s > MAX_TIMER_LAG_S:
            self._start_timer()
            return
        self._paths.counts["own late"] += 1
        self._note_late("not open in time")

    def _connected(self, conn: TargetConnection) -> TargetConnection:
        self._stop_timer()
        self._paths.counts["own open"] += 1
        self._paths.note_connected(self._address)
        return conn

    def _failed(self, failure: Failure) -> Failure:
        self._stop_timer()
        self._paths.counts["own failed"] += 1
        self._note_late(failure.getErrorMessage())
        return failure

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _note_late(self, reason: str) -> None:
        if self._is_late:
            return
        self._is_late = True
        self._paths.note_failed(self._address, reason)
        if self._on_late is not None:
            self._on_late()


class _Opening:
    """One connection to a target that is being opened, by several paths at once."""

    def __init__(
        self, paths: PathConnector, entry: TargetEntry, request_id: str, make_conn: MakeConnection
    ):
        self._paths = paths
        self._entry = entry
        self._address = (entry.host, entry.port)
        self._request_id = request_id
        self._make_conn = make_conn
        self._result: defer.Deferred[TargetConnection] = defer.Deferred()
        self._is_over = False
        self._own_failure: Failure | None = None
        self._own_begun = False
        self._last_reason = ""
        self._tunnels: dict[str, defer.Deferred[TargetConnection]] = {}
        self._tried: list[str] = []
        self._timers: list[IDelayedCall] = []

    def begin(self) -> defer.Deferred[TargetConnection]:
        """Start to connect; the deferred fires with the connection or `ConnectFailedError`."""
        reactor = self._paths.reactor
        self._timers.append(reactor.callLater(CONNECT_TIMEOUT_S, self._time_out))
        if not self._paths.is_doubted(self._entry) or not self._try_carrier():
            self._try_own_link()
        return self._result

    def _try_own_link(self) -> None:
        self._own_begun = True
        own = _OwnLink(
            self._paths, self._entry, CONNECT_TIMEOUT_S, self._own_is_late, self._make_conn
        )
        own.begin().addCallbacks(self._own_connected, self._own_failed)

    def _own_connected(self, conn: TargetConnection) -> None:
        if self._is_over:
            self._paths.keep(conn)
        else:
            self._succeed(conn)

    def _own_is_late(self) -> None:
        if not self._is_over and not self._tried:
            self._try_carrier()

    def _own_failed(self, failure: Failure) -> None:
        self._own_failure = failure
        self._fail_if_nothing_is_left()

    def _try_carrier(self) -> bool:
        """Open a tunnel through the next carrier; return whether there is one."""
        if self._is_over or len(self._tried) >= MAX_CARRIERS:
            return False
        carrier = self._paths.next_carrier(self._entry, self._tried)
        if carrier is None:
            return False
        self._tried.append(carrier.name)
        req = TunnelRequest(self._paths.box, self._entry.name, self._address, self._request_id)
        carriers, clock = self._paths.carriers, self._paths.reactor
        opening = open_tunnel(
            clock,
            carrier,
            req,
            lambda: self._make_tunnel(carrier),
            lambda load: carriers.note_load(carrier.name, load, clock.seconds()),
            lambda: carriers.note_closed(carrier.name),
        )
        self._tunnels[carrier.name] = opening
        opening.addCallbacks(
            self._tunnel_opened,
            self._tunnel_failed,
            callbackArgs=(carrier,),
            errbackArgs=(carrier,),
        )
        if not self._is_over and carrier.name in self._tunnels:
            self._timers.append(clock.callLater(CARRIER_INTERVAL_S, self._try_carrier))
        return True

    def _make_tunnel(self, carrier: Carrier) -> TargetConnection:
        self._paths.carriers.note_opened(carrier.name)
        return self._make_conn(self._address, carrier.name)

    def _tunnel_opened(self, conn: TargetConnection, carrier: Carrier) -> None:
        self._tunnels.pop(carrier.name, None)
        self._paths.note_carried(self._entry)
        if self._is_over:
            conn.abort()
            return
        self._paths.counts["peer open"] += 1
        extra = {
            "request_id": self._request_id,
            "target": self._entry.name,
            "carrier": carrier.name,
            "tunnel": conn.tunnel_id,
        }
        _log.info("tunnel opened", extra=extra)
        self._succeed(conn)

    def _tunnel_failed(self, failure: Failure, carrier: Carrier) -> None:
        self._tunnels.pop(carrier.name, None)
        if self._is_over:
            return
        failure.trap(TunnelFailedError)
        self._paths.counts["peer failed"] += 1
        self._last_reason = f"{carrier.name}: {failure.getErrorMessage()}"
        self._paths.note_tunnel_failed(self._entry, carrier, failure.value)
        if not self._try_carrier() and not self._own_begun:
            self._try_own_link()
        self._fail_if_nothing_is_left()

    def _time_out(self) -> None:
        if not self._is_over:
            self._fail("not connected in time")

    def _succeed(self, conn: TargetConnection) -> None:
        self._end()
        self._result.callback(conn)

    def _fail_if_nothing_is_left(self) -> None:
        if self._is_over or self._tunnels or self._own_failure is None:
            return
        if self._try_carrier():
            return
        reason = self._own_failure.getErrorMessage()
        if self._last_reason:
            reason = f"{reason}; through peers: {self._last_reason}"
        self._fail(reason, bool(self._own_failure.check(ConnectionRefusedError)))

    def _fail(self, reason: str, refused: bool = False) -> None:
        self._paths.counts["all failed"] += 1
        self._end()
        self._result.errback(ConnectFailedError(reason, refused))

    def _end(self) -> None:
        self._is_over = True
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        tunnels, self._tunnels = self._tunnels, {}
        for opening in tunnels.values():
            opening.cancel()


def _log_failure(failure: Failure) -> None:
    _log.error("judging a failure failed", extra={"reason": failure.getTraceback()})
