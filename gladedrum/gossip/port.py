"""Datagrams in which boxes tell each other of the work and the state of targets.

They are hints for placement: a lost, late or doubled one does no harm. Each is a thrift struct
in the compact protocol.
"""

import logging
import struct
from collections.abc import Callable, Iterable

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer
from twisted.internet import protocol
from twisted.internet.interfaces import IReactorTime

from .wire.ttypes import (
    AskNote,
    ChoiceNote,
    ConfigurationPart,
    Gossip,
    LeavingNote,
    ListPart,
    LossNote,
    PlaceAsk,
    PlaceGrant,
    RateNote,
    RepeatAsk,
    RepeatGrant,
    ReportNote,
    SpentNote,
    VouchAsk,
    VouchNote,
    WorkNote,
)

__all__ = ["ENDED", "FAILED", "FIRST_EVENT", "OVERDUE", "PLACED", "WITHDRAWN"]
__all__ += ["GossipPort", "decode", "encode", "is_farewell"]

PLACED, FIRST_EVENT, ENDED, FAILED, WITHDRAWN, OVERDUE = 1, 2, 3, 4, 5, 6
"""The changes that a `WorkNote` tells; work is withdrawn if that says nothing about its target, and
overdue if it has not been answered within its objective and is still under way."""

GATHER_S = 0.004
"""How long notes other than of a placement are gathered into one datagram, in seconds."""

LOSSES_A_DATAGRAM = 12
"""Losses in one datagram, of some 80 bytes each: it passes any link in one piece."""

_UNREADABLE = (
    TException, EOFError, ValueError, LookupError, TypeError, AssertionError, struct.error,
    OverflowError, RecursionError,
)  # fmt: skip
"""What the thrift library raises on bytes that are no struct of ours."""

_log = logging.getLogger(__name__)


def encode(gossip: Gossip) -> bytes:
    """Return the bytes of a datagram."""
    buffer = TMemoryBuffer()
    gossip.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def decode(data: bytes) -> Gossip | None:
    """Return what a datagram says, None if it is none of ours."""
    gossip = Gossip()
    try:
        gossip.read(TCompactProtocol(TMemoryBuffer(data)))
    except _UNREADABLE as exc:
        _log.warning("datagram not understood", extra={"reason": repr(exc)})
        return None
    return gossip


def is_farewell(told: Gossip) -> bool:
    """Whether the sender ends now, and says nothing more.

    Boxes of earlier versions say that they are leaving seconds before, always beside lists of
    notes, which may be empty.
    """
    return bool(told.leaving) and told.work is None and told.reports is None


class GossipPort(protocol.DatagramProtocol):
    """Sends notes to all peers and takes theirs.

    Parameters
    ----------
    box : str
        This box's name.
    clock : IReactorTime
        For gathering.
    peers : callable
        Returns the addresses of the boxes that hear of all work.
    greeted : callable
        Returns the addresses of the boxes that this one makes itself known to.
    take : callable
        Takes a `Gossip` of another box, and its address.
    capacity : float
        The cores that this box may use.
    """

    def __init__(
        self,
        box: str,
        clock: IReactorTime,
        peers: Callable[[], Iterable[tuple[str, int]]],
        greeted: Callable[[], Iterable[tuple[str, int]]],
        take: Callable[[Gossip, tuple[str, int]], None],
        capacity: float = 0.0,
    ):
        self._box = box
        self._clock = clock
        self._peers = peers
        self._greeted = greeted
        self._take = take
        self._capacity = capacity
        self._work: list[WorkNote] = []
        self._reports: list[ReportNote] = []
        self._ends = False
        self._flush_due = False

    def tell_work(self, note: WorkNote) -> None:
        """Tell of a change of work; of a placement at once, since others decide meanwhile."""
        self._work.append(note)
        if note.change == PLACED:
            self._flush()
        else:
            self._flush_soon()

    def tell_report(self, note: ReportNote) -> None:
        """Tell of a target's report."""
        self._reports.append(note)
        self._flush_soon()

    def tell_losses(self, notes: list[LossNote], address: tuple[str, int] | None = None) -> None:
        """Tell at once with which targets requests were lost, one box or all peers."""
        for first in range(0, len(notes), LOSSES_A_DATAGRAM):
            part = Gossip(self._box, losses=notes[first : first + LOSSES_A_DATAGRAM])
            for peer in self._peers() if address is None else [address]:
                self._send(peer, part)

    def tell_rate(self, note: RateNote) -> None:
        """Tell at once which rate a target names."""
        for address in self._peers():
            self._send(address, Gossip(self._box, rates=[note]))

    def tell_leaving(self, note: LeavingNote) -> None:
        """Tell all boxes at once that a target leaves.

        Also those that hear of no work: a box decides alone when nobody answers it.
        """
        for address in {*self._peers(), *self._greeted()}:
            self._send(address, Gossip(self._box, leaving_targets=[note]))

    def tell_spent(self, address: tuple[str, int], note: SpentNote) -> None:
        """Tell the box that adds it up what was sent to a target without a place there."""
        self._send(address, Gossip(self._box, spent=[note]))

    def say_hello(self) -> None:
        """Make this box known to those that keep entries.

        A box that starts hears so of those that have started since it read the list.
        """
        if self._ends:
            return
        data = encode(Gossip(self._box, capacity=self._capacity))
        for address in self._greeted():
            self._write(address, data)

    def say_farewell(self) -> None:
        """Tell that this box ends now, and say nothing else from now on.

        Peers would ask it for placements for 6 s more, 40 ms each, and have it read reports.
        """
        if not self._ends:
            self._flush()
            self._ends = True
        data = encode(Gossip(self._box, leaving=True))
        for address in self._peers():
            self._write(address, data)

    def ask(self, address: tuple[str, int], note: AskNote) -> None:
        """Ask one box for a placement."""
        self._send(address, Gossip(self._box, asks=[note]))

    def answer(self, address: tuple[str, int], note: ChoiceNote) -> None:
        """Answer a box that has asked."""
        self._send(address, Gossip(self._box, choices=[note]))

    def ask_vouch(self, address: tuple[str, int], note: VouchAsk) -> None:
        """Ask one box what it knows from the store."""
        self._send(address, Gossip(self._box, vouch_asks=[note]))

    def vouch(self, address: tuple[str, int], note: VouchNote) -> None:
        """Tell a box that has asked."""
        self._send(address, Gossip(self._box, vouches=[note]))

    def tell_list(self, address: tuple[str, int], part: ListPart) -> None:
        """Tell a box that has asked a part of the list of targets."""
        self._send(address, Gossip(self._box, list_parts=[part]))

    def hand_on(self, address: tuple[str, int], part: ConfigurationPart) -> None:
        """Tell a box that has asked a part of the configuration."""
        self._send(address, Gossip(self._box, configuration_parts=[part]))

    def ask_repeat(self, address: tuple[str, int], ask: RepeatAsk) -> None:
        """Ask one box for one of the fleet's repeats."""
        self._send(address, Gossip(self._box, repeat_asks=[ask]))

    def grant_repeat(self, address: tuple[str, int], grant: RepeatGrant) -> None:
        """Tell a box that has asked."""
        self._send(address, Gossip(self._box, repeat_grants=[grant]))

    def ask_place(self, address: tuple[str, int], ask: PlaceAsk) -> None:
        """Ask one box for a place at a target that names a rate."""
        self._send(address, Gossip(self._box, place_asks=[ask]))

    def grant_place(self, address: tuple[str, int], grant: PlaceGrant) -> None:
        """Tell a box that has asked."""
        self._send(address, Gossip(self._box, place_grants=[grant]))

    def datagramReceived(self, data: bytes, addr) -> None:
        """Take a datagram of another box."""
        gossip = decode(data)
        if gossip is not None and gossip.box != self._box:
            self._take(gossip, addr)

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            self._clock.callLater(GATHER_S, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        if not self._work and not self._reports:
            return
        data = encode(Gossip(self._box, self._work, self._reports))
        self._work, self._reports = [], []
        if self._ends:
            return
        for address in self._peers():
            self._write(address, data)

    def _send(self, address: tuple[str, int], gossip: Gossip) -> None:
        if not self._ends:
            self._write(address, encode(gossip))

    def _write(self, address: tuple[str, int], data: bytes) -> None:
        if self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except OSError as exc:
            _log.warning("peer not told", extra={"peer": address[0], "reason": str(exc)})
