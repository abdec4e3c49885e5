"""Datagrams by which boxes inform each other of the work and the state of targets.

They are hints for placement, so a lost, late or duplicated datagram does no harm. Each datagram
is a Thrift `Gossip` struct in the compact protocol; its lists hold notes (statements), asks
(questions) and grants or other answers to these. Terms:

- *members*: the members of the coordinator group, which track the work of all targets and decide on
  placements for the other boxes (deciders).
- *work*: one attempt of a request on its targets, from its placement to its end.
- *repeat*: a retry, taken from the fleet's retry budget.
- *place*: a permit to send one request to a target with a rate limit. One box grants the permits
  for all boxes.
- *vouch*: name the versions of the target list, the configuration and the table that a box knows
  from the store, so that the asking box can confirm its own.
- *loss*: a request that was lost on a target, and may have crashed it.
"""

import logging
import struct
from collections.abc import Callable, Iterable

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer
from twisted.internet import protocol
from twisted.internet.interfaces import IReactorTime

from ..utils.validation import is_box_name
from .wire.ttypes import (
    AskNote,
    BoxRow,
    ChoiceNote,
    ColdNote,
    ConfigurationPart,
    EvacuationsNote,
    Gossip,
    LeavingNote,
    LinkNote,
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
__all__ += ["GossipPort", "decode", "encode", "is_shutdown_notice"]

PLACED, FIRST_EVENT, ENDED, FAILED, WITHDRAWN, OVERDUE = 1, 2, 3, 4, 5, 6
"""The changes of state that a `WorkNote` reports. `WITHDRAWN` ends work that counts neither
as a success nor as a failure of its target. `OVERDUE` work still runs but has missed the objective
for its answer."""

BATCH_DELAY_S = 0.004
"""How long notes are collected into one datagram, in seconds; placements are sent at once."""

LOSSES_PER_DATAGRAM = 12
"""At some 80 bytes each, they fit into one IP packet on any link, without fragmentation."""

MAX_FAILING = 1000
"""Maximum number of addresses to which the latest datagram could not be sent that are remembered;
failures at further ones are not logged."""

MAX_REASON_LENGTH = 300
"""Characters of an exception's text that a log line shows."""

_UNREADABLE = (
    TException, EOFError, ValueError, LookupError, TypeError, AssertionError, struct.error,
    OverflowError, RecursionError,
)  # fmt: skip
"""The exceptions that the Thrift library raises on bytes that are not a valid `Gossip`."""

_log = logging.getLogger(__name__)


def encode(gossip: Gossip) -> bytes:
    """Return the bytes of a datagram."""
    buffer = TMemoryBuffer()
    gossip.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def decode(data: bytes) -> Gossip | None:
    """Return the message of a datagram, or None if it cannot be decoded."""
    gossip = Gossip()
    try:
        gossip.read(TCompactProtocol(TMemoryBuffer(data)))
    except _UNREADABLE as exc:
        _log.warning("datagram cannot be decoded", extra={"reason": repr(exc)})
        return None
    return gossip


def is_shutdown_notice(gossip: Gossip) -> bool:
    """Whether the sender shuts down now and this is its last message.

    A message that is marked as leaving but has lists of notes, even empty ones, is no such notice:
    boxes of earlier versions send it seconds before they shut down.
    """
    return bool(gossip.leaving) and gossip.work is None and gossip.reports is None


class GossipPort(protocol.DatagramProtocol):
    """Sends messages to other boxes, and receives theirs.

    Parameters
    ----------
    box : str
        This box's name.
    clock : IReactorTime
        Times the batches of notes.
    members : callable
        Returns the addresses of the other members of the coordinator group.
    all_boxes : callable
        Returns the addresses of all listed boxes; this box announces itself to them.
    receive : callable
        Called with each `Gossip` of another box, and its address.
    capacity : float
        The number of cores that this box may use.
    data_hall : str
        The data hall of this box.
    """

    def __init__(
        self,
        box: str,
        clock: IReactorTime,
        members: Callable[[], Iterable[tuple[str, int]]],
        all_boxes: Callable[[], Iterable[tuple[str, int]]],
        receive: Callable[[Gossip, tuple[str, int]], None],
        capacity: float = 0.0,
        data_hall: str = "",
    ):
        self._box = box
        self._data_hall = data_hall
        self._clock = clock
        self._members = members
        self._all_boxes = all_boxes
        self._receive = receive
        self._capacity = capacity
        self._work: list[WorkNote] = []
        self._reports: list[ReportNote] = []
        self._shutting_down = False
        self._flush_scheduled = False
        self._failing: set[tuple[str, int]] = set()

    def broadcast_work(self, note: WorkNote) -> None:
        """Send a note of a change of work to all members.

        Placements are sent at once, since members make their own decisions meanwhile; other changes
        are batched.
        """
        self._work.append(note)
        if note.change == PLACED:
            self._flush()
        else:
            self._flush_soon()

    def broadcast_report(self, note: ReportNote) -> None:
        """Send a target's report to all members, batched with other notes."""
        self._reports.append(note)
        self._flush_soon()

    def send_losses(self, notes: list[LossNote], address: tuple[str, int] | None = None) -> None:
        """Send losses and their verdicts to one box or to all members."""
        for first in range(0, len(notes), LOSSES_PER_DATAGRAM):
            part = Gossip(self._box, losses=notes[first : first + LOSSES_PER_DATAGRAM])
            for peer in self._members() if address is None else [address]:
                self._send(peer, part)

    def broadcast_rate(self, note: RateNote) -> None:
        """Send the rate limit that a target names to all members."""
        for address in self._members():
            self._send(address, Gossip(self._box, rates=[note]))

    def broadcast_leaving(self, note: LeavingNote) -> None:
        """Tell all boxes that a target is leaving.

        This includes boxes that receive no notes of work, since these place requests themselves
        when no member of the coordinator group answers.
        """
        for address in {*self._members(), *self._all_boxes()}:
            self._send(address, Gossip(self._box, leaving_targets=[note]))

    def broadcast_evacuations(self, note: EvacuationsNote) -> None:
        """Tell all known boxes which data halls are evacuated; see `broadcast_leaving`."""
        for address in {*self._members(), *self._all_boxes()}:
            self._send(address, Gossip(self._box, evacuations=note))

    def broadcast_link(self, note: LinkNote) -> None:
        """Tell all known boxes what this box's own link does not reach; see `broadcast_leaving`."""
        for address in {*self._members(), *self._all_boxes()}:
            self._send(address, Gossip(self._box, link=note))

    def send_carriers(self, address: tuple[str, int], rows: list[BoxRow]) -> None:
        """Name boxes that may carry connections to a box whose own link is impaired."""
        self._send(address, Gossip(self._box, carriers=rows))

    def send_cold(self, addresses: Iterable[tuple[str, int]], notes: list[ColdNote]) -> None:
        """Tell boxes how long targets are cold."""
        message = Gossip(self._box, cold_targets=notes)
        for address in addresses:
            self._send(address, message)

    def send_spent(self, address: tuple[str, int], note: SpentNote) -> None:
        """Report a call sent without a place to the box that enforces the target's rate limit."""
        self._send(address, Gossip(self._box, spent=[note]))

    def announce_box(self) -> None:
        """Announce this box to all listed boxes.

        Boxes that read the list before this one was listed learn of it this way.
        """
        if self._shutting_down:
            return
        message = Gossip(self._box, capacity=self._capacity, data_hall=self._data_hall)
        self._write(self._all_boxes(), message)

    def announce_shutdown(self) -> None:
        """Announce to all members that this box shuts down now, and send nothing else afterwards.

        Otherwise boxes would go on asking it for placements, each time until the timeout, and
        rely on it to read reports. That would go on for 6 s (`PEER_TIMEOUT_S` in
        `beliefs.membership`), at 40 ms for each question.
        """
        if not self._shutting_down:
            self._flush()
            self._shutting_down = True
        self._write(self._members(), Gossip(self._box, leaving=True))

    def ask(self, address: tuple[str, int], note: AskNote) -> None:
        """Ask one box for a placement."""
        self._send(address, Gossip(self._box, asks=[note]))

    def answer(
        self, address: tuple[str, int], note: ChoiceNote, cold: ColdNote | None = None
    ) -> None:
        """Answer a box that asked for a placement; `cold` is on the chosen target if it is cold."""
        cold_targets = None if cold is None else [cold]
        self._send(address, Gossip(self._box, choices=[note], cold_targets=cold_targets))

    def ask_vouch(self, address: tuple[str, int], note: VouchAsk) -> None:
        """Ask one box for the versions that it knows from the store, and their ages."""
        self._send(address, Gossip(self._box, vouch_asks=[note]))

    def vouch(self, address: tuple[str, int], note: VouchNote) -> None:
        """Answer a box that asked for the versions that this one knows from the store."""
        self._send(address, Gossip(self._box, vouches=[note]))

    def send_list_part(self, address: tuple[str, int], part: ListPart) -> None:
        """Send a part of the list of targets to a box that asked for it."""
        self._send(address, Gossip(self._box, list_parts=[part]))

    def send_configuration_part(self, address: tuple[str, int], part: ConfigurationPart) -> None:
        """Send a part of the configuration to a box that asked for it."""
        self._send(address, Gossip(self._box, configuration_parts=[part]))

    def ask_repeat(self, address: tuple[str, int], ask: RepeatAsk) -> None:
        """Ask one box for a retry from the fleet's retry budget."""
        self._send(address, Gossip(self._box, repeat_asks=[ask]))

    def grant_repeat(self, address: tuple[str, int], grant: RepeatGrant) -> None:
        """Answer a box that asked for a retry."""
        self._send(address, Gossip(self._box, repeat_grants=[grant]))

    def ask_place(self, address: tuple[str, int], ask: PlaceAsk) -> None:
        """Ask one box for a place at a target that names a rate limit."""
        self._send(address, Gossip(self._box, place_asks=[ask]))

    def grant_place(self, address: tuple[str, int], grant: PlaceGrant) -> None:
        """Answer a box that asked for a place."""
        self._send(address, Gossip(self._box, place_grants=[grant]))

    def datagramReceived(self, data: bytes, addr) -> None:
        """Decode a datagram and pass it on, unless it is this box's own or names no box.

        Bytes of another program may decode: a single zero is an empty message.
        """
        gossip = decode(data)
        if gossip is not None and gossip.box != self._box and is_box_name(gossip.box):
            self._receive(gossip, addr)

    def _flush_soon(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.callLater(BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self._work and not self._reports:
            return
        message = Gossip(self._box, self._work, self._reports)
        # Emptied first, so that notes that can't be encoded are not kept for the next datagram.
        self._work, self._reports = [], []
        if not self._shutting_down:
            self._write(self._members(), message)

    def _send(self, address: tuple[str, int], message: Gossip) -> None:
        if not self._shutting_down:
            self._write([address], message)

    def _write(self, addresses: Iterable[tuple[str, int]], message: Gossip) -> None:
        """Send a message to some boxes.

        No failure is raised, whatever its kind: a datagram may be lost anyway, and its sender has
        other things to do.
        """
        if self.transport is None:
            return
        try:
            data = encode(message)
        except Exception:
            _log.exception("datagram cannot be encoded")
            return
        for address in addresses:
            try:
                self.transport.write(data, address)
            except Exception as exc:
                self._note_failure(address, exc)
            else:
                self._failing.discard(address)

    def _note_failure(self, address: tuple[str, int], exc: Exception) -> None:
        """Log the first failure since the last datagram that was sent to an address."""
        if address not in self._failing and len(self._failing) < MAX_FAILING:
            self._failing.add(address)
            reason = f"{type(exc).__name__}: {exc}"[:MAX_REASON_LENGTH]
            _log.warning("datagram not sent", extra={"peer": address[0], "reason": reason})
