"""The paths of a box to targets: opens connections, and judges failures.

`opening` opens one connection over the box's own link or through a peer. `PathConnector` keeps what
is learned from them, looks for the way back while anything is impaired (see `evidence`), tells the
peers, and says which failures may count against a target.
"""

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from http import HTTPStatus
from typing import TypedDict

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure

from ..connections.target_conn import TargetConnection
from ..connections.target_pool import MakeConnection
from ..fleet import TargetEntry
from ..gossip.wire.ttypes import LinkNote, TargetGroup
from ..utils import sleep, start
from .carriers import Carrier, Carriers
from .evidence import MIN_FAILED_TARGETS, SILENCE_S, Address, Group, LinkEvidence
from .opening import Opening, OwnLink
from .tunnel_client import TunnelFailedError

__all__ = ["PathConnector", "ShownLinks"]

PROBE_INTERVAL_S = 0.4
"""Interval between the connections that look for the way back, in seconds: the own link is used
again within a second of its return."""

PROBE_TIMEOUT_S = 0.35
"""Timeout of these connections, in seconds."""

NOTE_INTERVAL_S = 1.0
"""Interval between notes to peers while anything is impaired, in seconds."""

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
    """A impaired group of targets, and for how many seconds it has been impaired."""

    service: str
    data_hall: str
    for_s: float


class ShownLinks(TypedDict):
    """What the box's own link reaches, as shown to operators.

    `connections` counts what came of connections, by path and result, and `unconfirmed` failures
    that were not counted against a target since the link was not proven sound.
    """

    impaired: list[_ShownGroup]
    impaired_targets: list[str]
    tunnels_open: int
    connections: dict[str, int]
    unconfirmed: int


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
    unconfirmed : int
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
        self.unconfirmed = 0
        self.keep: Callable[[TargetConnection], None] = lambda conn: conn.abort()
        self.make_idle: MakeConnection
        self.on_silent: Callable[[], None] = lambda: None
        self.carries: Callable[[], bool] = lambda: True
        self._ticking: IDelayedCall | None = None
        self._noted_s = float("-inf")
        self._noted: frozenset[Group] = frozenset()
        self._impaired_since_s: float | None = None
        self._probe_turn = 0
        self._answering: set[TargetConnection] = set()
        self._checking_silence: IDelayedCall | None = None

    # For the pool.

    def open(
        self, entry: TargetEntry, request_id: str, make_conn: MakeConnection
    ) -> defer.Deferred[TargetConnection]:
        """Open a connection to a target; see `TargetPaths.open`."""
        return Opening(self, entry, request_id, make_conn).begin()

    def may_reuse(self, conn: TargetConnection) -> bool:
        """Whether an idle connection may be used now: not over a link that seems dead or lossy."""
        if conn.carrier or not self._has_carriers():
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
        return is_leaving or not self.evidence.is_impaired(conn.address)

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

    def confirm_failure(
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
        if not self._has_carriers():
            act()
            return
        if self.evidence.is_proven(address, since_s, by_connection) is None:
            act()
            return
        start(self._await_confirmation(entry, since_s, by_connection)).addCallbacks(
            lambda proven: act() if proven else otherwise(), _log_failure
        )

    async def _await_confirmation(
        self, entry: TargetEntry, since_s: float, by_connection: bool
    ) -> bool:
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
                self._log_unconfirmed(entry)
                return False
            if not probed and now_s - since_s >= PROOF_WAIT_S:
                probed = True
                for other in self.evidence.proof_candidates(address):
                    self._probe(other)
            await sleep(self.reactor, _CHECK_INTERVAL_S)

    def _log_unconfirmed(self, entry: TargetEntry) -> None:
        self.unconfirmed += 1
        address = (entry.host, entry.port)
        extra = {
            "target": entry.name,
            "impaired": self.evidence.is_impaired(address),
            "reached_by_peer": self.evidence.is_carried(address),
        }
        _log.info("failure not counted against target", extra=extra)

    def is_impaired(self, entry: TargetEntry) -> bool:
        """Whether the own link is thought not to open connections to a target."""
        return self.evidence.is_impaired((entry.host, entry.port))

    def is_silent(self, entry: TargetEntry) -> bool:
        """Whether open connections to a target over the own link are thought to be dead."""
        now_s = self.reactor.seconds()
        return self._has_carriers() and self.evidence.is_silent((entry.host, entry.port), now_s)

    def is_cut_off(self, entries: Iterable[TargetEntry]) -> bool:
        """Whether neither this box nor any peer is known to reach one of these targets."""
        if not self._has_carriers():
            return False
        now_s = self.reactor.seconds()
        entries = list(entries)
        return self.evidence.have_failed([(entry.host, entry.port) for entry in entries]) and all(
            self.is_impaired(entry) and not self.carriers.reachable_by_peers(entry, now_s)
            for entry in entries
        )

    def _has_carriers(self) -> bool:
        """Whether there is any path but the own link; else evidence on the link changes nothing."""
        return self._is_enabled() and self.carriers.has_peers()

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
        before = set(self.evidence.impaired_groups)
        self.evidence.note_failed(address, self.reactor.seconds())
        for group in set(self.evidence.impaired_groups) - before:
            extra = {**group._asdict(), "reason": reason}
            _log.warning("own link impaired", extra=extra)
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
        is_impaired = bool(self.evidence.impaired_groups or self.evidence.impaired_targets)
        if is_impaired and self._impaired_since_s is None:
            self._impaired_since_s = self.reactor.seconds()
        elif not is_impaired and self._impaired_since_s is not None:
            after_s = round(self.reactor.seconds() - self._impaired_since_s, 3)
            _log.warning("own link restored", extra={"after_s": after_s})
            self._impaired_since_s = None
        if self.evidence.impaired_groups.keys() != self._noted:
            self._tell_peers()
        if is_impaired and self._ticking is None:
            self._ticking = self.reactor.callLater(PROBE_INTERVAL_S, self._tick)

    def _tell_peers(self) -> None:
        self._noted, self._noted_s = (
            frozenset(self.evidence.impaired_groups),
            self.reactor.seconds(),
        )
        rows = [TargetGroup(*group) for group in sorted(self._noted)]
        self._send_note(LinkNote(rows, self.carries()))

    def tell_leaving(self) -> None:
        """Tell the peers that this box carries no further connections, until the process ends."""
        self._tell_peers()
        self.reactor.callLater(NOTE_INTERVAL_S, self.tell_leaving)

    def _tick(self) -> None:
        self._ticking = None
        if self._impaired_since_s is None:
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
            OwnLink(self, entry, PROBE_TIMEOUT_S, None).begin().addCallbacks(
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
            impaired=[
                _ShownGroup(**group._asdict(), for_s=round(now_s - since_s, 3))
                for group, since_s in sorted(self.evidence.impaired_groups.items())
            ],
            impaired_targets=sorted(names.get(a, "") for a in self.evidence.impaired_targets),
            tunnels_open=self.carriers.open_tunnels,
            connections=dict(self.counts),
            unconfirmed=self.unconfirmed,
        )


def _log_failure(failure: Failure) -> None:
    _log.error("judging a failure failed", extra={"reason": failure.getTraceback()})
