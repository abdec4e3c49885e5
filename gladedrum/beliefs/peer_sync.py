"""Synchronisation between peers: few boxes read the store and keep the others up to date.

In a large fleet the members of the coordinator group read the store and are called readers. In a
small one, two readers read the list of targets for all, and each box follows the configuration
itself. A box that is no reader asks the readers one after another, with one question per interval;
a box whose configuration is stale asks all members in this way. An answer names versions and their
ages. If a version equals the box's own, the answer confirms it: its age becomes the peer's age plus
the time since the question was sent, regardless of delays. Different lists of targets or boxes and
a newer configuration are sent with the answer, the latter as the difference from the box's own if
the peer remembers it; what is too large for datagrams is read from the store. If nobody answers,
the box reads the store itself. Each answer also names the evacuated data halls. On the wire, a
question is a `VouchAsk` and an answer a `VouchNote`.

Both sides also compare checksums of the losses that they know (see `KnownLosses`), and send theirs
if they differ.

A starting box asks its seeds, a few boxes that its settings name. So it serves within milliseconds
even during an outage of the store, and a rolling restart of the fleet costs no store calls.
"""

import itertools
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.interfaces import IReactorTime

from ..fleet import TargetEntry
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import BoxRow, Gossip, ListPart, VouchAsk, VouchNote
from ..platform.store import NEVER, Revision
from ..table import TableFollower, TableInForce
from ..utils import sleep
from .box_entries import entries_in as box_entries_in
from .configuration import ConfigurationFollower
from .configuration_parts import ConfigurationSender, ReceivedConfiguration
from .coordinators import CoordinatorGroup
from .list_parts import SentLists, apply_difference, entries_in, list_parts
from .membership import BoxRegistry, digest_of
from .store_pace import StorePace
from .target_list import TargetListFollower

__all__ = ["PeerSync"]

ASK_INTERVAL_S = 0.5
"""Interval between questions, in seconds: several questions within the shortest bound."""

STALE_ASK_INTERVAL_S = 0.15
"""As `ASK_INTERVAL_S` while the configuration is too old to use, or while targets are kept that the
list lacks. In the first case the box refuses callers until an answer shows that a member has read
the store. After an outage, a fleet of 195 boxes needed a second until the last one served again,
most of it the wait for the next question."""

MAX_OPEN_QUESTIONS = 16
"""Number of latest questions whose answers are accepted."""

MAX_LIST_PARTS = 512
"""Maximum number of parts of a peer's list."""


class KnownLosses(Protocol):
    """The losses that a box knows; a loss is a request that was lost together with its target."""

    @property
    def checksum(self) -> int:
        """Checksum of these losses; equal on boxes that know the same ones."""

    @property
    def is_informed(self) -> bool:
        """Whether losses from before the start of this box are included."""

    def note_compared(self) -> None:
        """Record a comparison with a box that is informed."""

    def send_all(self, address: tuple[str, int]) -> None:
        """Send all known losses to a box."""


_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Question:
    """A question to a peer, and the parts of a list received in answer."""

    sent_s: float
    digest: str
    parts: dict[int, ListPart] = field(default_factory=dict)


class PeerSync:
    """Asks peers for newer state and answers their questions.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    coordinators : CoordinatorGroup
        The coordinator group, whose members answer.
    registry : BoxRegistry
        Membership of the fleet.
    port : GossipPort
        Sends datagrams to other boxes.
    configuration, targets : ConfigurationFollower, TargetListFollower
        The copies to keep up to date.
    table : TableInForce
        The table of weights and limits.
    table_follower : TableFollower
        Notified of the revision of the table that peers have.
    pace : StorePace
        Notified of peers' answers.
    losses : KnownLosses
        The losses that this box knows.
    seeds : sequence of (str, int)
        Boxes to ask at the start.
    keeps_asking : bool
        Whether to ask the seeds again until one answers.

    Attributes
    ----------
    cold_left_s : callable
        Returns the remaining cold time of a target, by its name, as of a time; None if it is not
        known.
    """

    def __init__(
        self,
        clock: IReactorTime,
        coordinators: CoordinatorGroup,
        registry: BoxRegistry,
        port: GossipPort,
        configuration: ConfigurationFollower,
        targets: TargetListFollower,
        table: TableInForce,
        table_follower: TableFollower,
        pace: StorePace,
        losses: KnownLosses,
        seeds: Sequence[tuple[str, int]] = (),
        keeps_asking: bool = False,
    ):
        self._clock = clock
        self._coordinators = coordinators
        self._registry = registry
        self._port = port
        self._configuration = configuration
        self._targets = targets
        self._evacuations = targets.evacuations
        self._table = table
        self._table_follower = table_follower
        self._pace = pace
        self._losses = losses
        self._seeds = seeds
        self._keeps_asking = keeps_asking and bool(seeds)
        self._sent_configurations = ConfigurationSender()
        self._received_configuration = ReceivedConfiguration()
        self._ids = itertools.count(1)
        self._open_questions: dict[int, _Question] = {}
        self._sent_lists = SentLists()
        self.cold_left_s: Callable[[str, float], float | None] = lambda _name, _as_of_s: None
        # Starts anywhere, so that the questions of boxes that start together are spread.
        self._rotation = itertools.count(random.randrange(MAX_OPEN_QUESTIONS))

    async def run(self) -> None:
        """Ask until cancelled while this box relies on peers or its configuration is too old."""
        for address in self._seeds:
            self._ask_address(address)
        while True:
            if self._keeps_asking and self._registry.revision == NEVER:
                self._ask_address(self._seeds[next(self._rotation) % len(self._seeds)])
            if self._coordinators.follows_readers() or not self._configuration.is_current:
                self._ask()
            is_settled = self._configuration.is_current and self._targets.is_certain
            await sleep(self._clock, ASK_INTERVAL_S if is_settled else STALE_ASK_INTERVAL_S)

    def receive(self, received: Gossip, address: tuple[str, int]) -> None:
        """Answer the questions and apply the answers in a datagram."""
        for ask in received.vouch_asks or ():
            self._answer(ask, address)
        self._received_configuration.add(received.configuration_parts or ())
        self._evacuations.receive(received.evacuations, received.box or "")
        for answer in received.vouches or ():
            # First, so that a box that has just started knows the evacuated data halls before it
            # has a configuration, and with it its first placement.
            self._evacuations.receive(answer.evacuations, received.box or "")
            if answer.losses is not None:
                self._losses.note_compared()
            self._compare_losses(answer.losses, address)
            self._receive_answer(answer)
        for part in received.list_parts or ():
            self._receive_part(part)

    def _ask(self) -> None:
        address = self._address_to_ask()
        if address is not None:
            self._ask_address(address)

    def _ask_address(self, address: tuple[str, int]) -> None:
        ask_id = next(self._ids)
        self._open_questions[ask_id] = _Question(self._clock.seconds(), self._targets.digest)
        self._open_questions.pop(ask_id - MAX_OPEN_QUESTIONS, None)
        boxes = None if self._registry.is_registered else self._registry.digest
        losses = self._losses.checksum
        ask = VouchAsk(ask_id, self._targets.digest, boxes, self._version, losses, True)
        self._port.ask_vouch(address, ask)

    @property
    def _version(self) -> int:
        configuration = self._configuration.in_force
        return configuration.version if configuration is not None else -1

    def _address_to_ask(self) -> tuple[str, int] | None:
        """Return the next box to ask: a reader, or any member if the configuration is stale."""
        current = self._configuration.is_current
        names = self._coordinators.readers() if current else self._coordinators.members()
        others = [name for name in names if name != self._coordinators.me]
        return (
            self._coordinators.address(others[next(self._rotation) % len(others)])
            if others
            else None
        )

    def _compare_losses(self, theirs: int | None, address: tuple[str, int]) -> None:
        """Send known losses if the checksums differ; earlier versions send no checksum."""
        if theirs is not None and theirs != self._losses.checksum:
            self._losses.send_all(address)

    def _answer(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        self._compare_losses(ask.losses, address)
        configuration = self._configuration.in_force
        if configuration is None or not self._coordinators.includes_me():
            self._send_boxes(ask, address)
            return
        self._send_configuration(ask, address)
        answer = VouchNote(ask.ask_id, configuration.version, self._configuration.age_s)
        # Boxes that have all just started must not take each other's empty state for complete.
        answer.losses = self._losses.checksum if self._losses.is_informed else None
        answer.evacuations = self._evacuations.note()
        answer.table_era, answer.table_revision = self._table.table.full_revision
        certain = self._targets.is_certain and bool(self._targets.entries)
        if certain:
            answer.targets_digest = self._targets.digest
            answer.targets_age_s = self._targets.age_s
        answer.targets_failed_s = self._failed_s_to_tell()
        answer.boxes = self._boxes_to_send(ask)
        answer.boxes_era, answer.boxes_revision = self._registry.revision
        self._port.vouch(address, answer)
        if certain:
            self._send_list(ask, address)

    def _send_boxes(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        """Send the list of boxes to a box that may know no member."""
        boxes = self._boxes_to_send(ask)
        if boxes:
            era, number = self._registry.revision
            answer = VouchNote(ask.ask_id, boxes=boxes, boxes_revision=number, boxes_era=era)
            self._port.vouch(address, answer)

    def _send_configuration(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        """Send the configuration if it is newer than the asking box's, before the answer."""
        if ask.version is None or ask.version >= self._version:
            return
        parts = self._sent_configurations.parts(
            self._version, self._configuration.raw, ask.version, bool(ask.accepts_differences)
        )
        for part in parts:
            self._port.send_configuration_part(address, part)

    def _boxes_to_send(self, ask: VouchAsk) -> list[BoxRow] | None:
        """Return the list of boxes if the asking box is unregistered and has a different one."""
        if ask.boxes_digest is None or self._registry.revision == NEVER:
            return None
        entries = self._registry.entries_to_send
        if ask.boxes_digest == digest_of(entries):
            return None
        return [BoxRow(name, *entry) for name, entry in entries.items()]

    def _send_list(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        """Send the difference between the asking box's list of targets and this box's."""
        digest, entries = self._targets.digest, self._targets.entries
        self._sent_lists.remember(digest, entries)
        if ask.targets_digest == digest:
            return
        before = self._sent_lists.get(ask.targets_digest or "")
        age_s = self._targets.age_s
        as_of_s = self._clock.seconds() - age_s
        parts = list_parts(
            ask.ask_id,
            before,
            entries,
            age_s,
            lambda name: self.cold_left_s(name, as_of_s),
            self._targets.followed_s,
        )
        for part in parts:
            self._port.send_list_part(address, part)

    def _receive_answer(self, answer: VouchNote) -> None:
        question = self._open_questions.get(answer.ask_id)
        if question is None:
            return
        sent_s = question.sent_s
        boxes = None if answer.boxes is None else box_entries_in(answer.boxes)
        boxes_revision = Revision(answer.boxes_era or 0, answer.boxes_revision or 0)
        is_newer = self._registry.receive_entries(boxes, boxes_revision)
        if answer.version is None:
            # Sent by a box that is no member or has no configuration: it only names boxes. If they
            # are news, a member may be among them, so ask again.
            if is_newer:
                self._ask()
            return
        self._pace.note_peer_answer(sent_s)
        self._note_failure(answer.targets_failed_s, sent_s)
        table_revision = Revision(answer.table_era or 0, answer.table_revision or 0)
        self._table_follower.note_peer_revision(table_revision)
        self._apply_configuration(answer, sent_s)
        if answer.targets_digest and answer.targets_age_s is not None:
            self._targets.confirm_from_peer(answer.targets_digest, sent_s, answer.targets_age_s)

    def _failed_s_to_tell(self) -> float | None:
        """Return the age of the latest failed read, None if this box's own link may be at fault."""
        failed_s = self._targets.failed_s
        if failed_s is None or self._pace.in_contact_since_s > self._clock.seconds() - failed_s:
            return None
        return failed_s

    def _note_failure(self, failed_s: float | None, sent_s: float) -> None:
        """Use a peer's latest failed read of the list, unless this box was cut off meanwhile."""
        if failed_s is not None and self._pace.in_contact_since_s <= self._targets.confirmed_s:
            self._targets.note_peer_failure(sent_s - failed_s)

    def _apply_configuration(self, answer: VouchNote, sent_s: float) -> None:
        raw = self._received_raw(answer.version) if answer.version > self._version else None
        age_s = answer.configuration_age_s
        if age_s is None:
            age_s = float("inf")
        if raw is not None:
            self._configuration.apply_peer_configuration(raw, sent_s - age_s)
        self._configuration.confirm_from_peer(answer.version, sent_s, age_s)

    def _received_raw(self, version: int) -> bytes | None:
        """Return a newer version that peers have sent, None if it must be read from the store."""
        received = self._received_configuration.assemble(version)
        if received is None:
            return None
        try:
            return received.decode(self._version, self._configuration.raw)
        except ValueError as exc:
            _log.warning("cannot decode a peer's configuration", extra={"reason": str(exc)})
            return None

    def _receive_part(self, part: ListPart) -> None:
        question = self._open_questions.get(part.ask_id)
        count = part.parts or 0
        if question is None or not 0 <= (part.part or 0) < count <= MAX_LIST_PARTS:
            return
        question.parts[part.part or 0] = part
        if len(question.parts) < count:
            return
        parts, question.parts = list(question.parts.values()), {}
        oldest_s = max(p.age_s or 0.0 for p in parts)
        followed_s = min(p.followed_s or 0.0 for p in parts)
        listed = self._assemble(parts, question)
        if listed is not None:
            self._targets.apply_peer_list(listed, question.sent_s - oldest_s, followed_s)

    def _assemble(
        self, parts: list[ListPart], question: _Question
    ) -> dict[str, TargetEntry] | None:
        """Return the complete list; None for a difference if this box's list has changed since."""
        if not any(p.is_difference for p in parts):
            return entries_in(parts)
        if self._targets.digest != question.digest:
            return None
        return apply_difference(self._targets.entries, parts)
