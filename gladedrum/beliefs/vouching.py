"""A few boxes read the store often, and vouch to the others for what it says.

In a large fleet these are the members of the circle; in a small one two of them read the list of
targets for all, and each box follows the configuration itself. The others ask one of them in turn
what it has in force, and a box that can't reach the store asks any member. The answer holds
versions and ages: if they agree with the box's own, its belief is as young as the member's plus the
time since the question was sent, whatever happened on the way. Another list of targets, or of
boxes, and a newer configuration come with the answer; a large configuration is read from the store.
If nobody answers, the box reads the store itself.

What is known of requests that end targets goes along: each side says which losses it knows, by a
checksum, and tells its own if the other's differ.

A box that starts asks the boxes that its settings name. So it serves within milliseconds also while
the store is away, and a fleet that is restarted box by box costs no calls.
"""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol as Interface

from twisted.internet.interfaces import IReactorTime

from ..fleet import TargetEntry
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import BoxRow, Gossip, ListPart, VouchAsk, VouchNote
from ..platform.store import NEVER, Revision
from ..table import TableFollower, TableInForce
from ..utils import sleep
from .circle import Circle
from .configuration import ConfigurationKeeper
from .configuration_parts import HandedConfiguration, configuration_parts
from .list_parts import ToldLists, changed_list, list_parts, whole_list
from .membership import BoxEntry, BoxRegistry, digest_of, sane_capacity
from .store_pace import StorePace
from .target_list import TargetKeeper

__all__ = ["PeerVouching"]

ASK_EVERY_S = 0.5
"""How often a box outside the circle asks, in seconds: several times within the least bound."""

ASK_AGAIN_S = 0.15
"""As `ASK_EVERY_S` for a box whose configuration is too old to go by: callers are turned away until
a member has read the store again. After an outage a fleet of 195 boxes needed a second until the
last one served again, of which most was the wait for the next question."""

OPEN_ASKS = 16
"""Questions whose answers are still taken."""

MOST_PARTS = 512
"""The most parts of a list that are taken from a peer."""


class KnownLosses(Interface):
    """What a box knows of requests that were lost with their targets."""

    @property
    def checksum(self) -> int:
        """What stands for it; equal on boxes that know the same."""

    @property
    def is_informed(self) -> bool:
        """Whether it includes what was known before this box started."""

    def note_compared(self) -> None:
        """Note that it has been compared with that of a box that is informed."""

    def tell_all(self, address: tuple[str, int]) -> None:
        """Tell it to a box."""


@dataclass(slots=True)
class _Question:
    """A question to a member, and the parts of a list that came in answer."""

    sent_s: float
    digest: str
    parts: dict[int, ListPart] = field(default_factory=dict)


class PeerVouching:
    """Asks and answers.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    circle : Circle
        Who reads the store often.
    registry : BoxRegistry
        The list of boxes that keep entries.
    port : GossipPort
        Datagrams to other boxes.
    configuration, targets : ConfigurationKeeper, TargetKeeper
        The beliefs.
    table : TableInForce
        The table of weights and limits.
    table_follower : TableFollower
        Is told which revision peers have.
    pace : StorePace
        Is told that peers answer.
    losses : KnownLosses
        What is known of requests that end targets.
    seeds : sequence of (str, int)
        Where boxes may be asked that do not know this one yet.
    keeps_asking : bool
        Whether the seeds are asked again until they answer.
    """

    def __init__(
        self,
        clock: IReactorTime,
        circle: Circle,
        registry: BoxRegistry,
        port: GossipPort,
        configuration: ConfigurationKeeper,
        targets: TargetKeeper,
        table: TableInForce,
        table_follower: TableFollower,
        pace: StorePace,
        losses: KnownLosses,
        seeds: Sequence[tuple[str, int]] = (),
        keeps_asking: bool = False,
    ):
        self._clock = clock
        self._circle = circle
        self._registry = registry
        self._port = port
        self._configuration = configuration
        self._targets = targets
        self._table = table
        self._table_follower = table_follower
        self._pace = pace
        self._losses = losses
        self._seeds = seeds
        self._keeps_asking = keeps_asking and bool(seeds)
        self._handed = HandedConfiguration()
        self._ids = itertools.count(1)
        self._open: dict[int, _Question] = {}
        self._told_lists = ToldLists()
        self._turns = itertools.count(random.randrange(OPEN_ASKS))

    async def run(self) -> None:
        """Ask until cancelled, while this box reads less than others or can't read at all."""
        for address in self._seeds:
            self._ask_at(address)
        while True:
            if self._keeps_asking and self._registry.revision == NEVER:
                self._ask_at(self._seeds[next(self._turns) % len(self._seeds)])
            if self._circle.leaves_list_to_others() or not self._configuration.is_current:
                self._ask()
            current = self._configuration.is_current
            await sleep(self._clock, ASK_EVERY_S if current else ASK_AGAIN_S)

    def take(self, told: Gossip, address: tuple[str, int]) -> None:
        """Answer a peer's question; take a peer's answer."""
        for ask in told.vouch_asks or ():
            self._answer(ask, address)
        self._handed.take(told.configuration_parts or ())
        for note in told.vouches or ():
            if note.losses is not None:
                self._losses.note_compared()
            self._compare_losses(note.losses, address)
            self._take_answer(note)
        for part in told.list_parts or ():
            self._take_part(part)

    def _ask(self) -> None:
        address = self._address_to_ask()
        if address is not None:
            self._ask_at(address)

    def _ask_at(self, address: tuple[str, int]) -> None:
        ask_id = next(self._ids)
        self._open[ask_id] = _Question(self._clock.seconds(), self._targets.digest)
        self._open.pop(ask_id - OPEN_ASKS, None)
        boxes = None if self._registry.keeps_entry else self._registry.digest
        losses = self._losses.checksum
        ask = VouchAsk(ask_id, self._targets.digest, boxes, self._version, losses)
        self._port.ask_vouch(address, ask)

    @property
    def _version(self) -> int:
        table = self._configuration.table
        return table.version if table is not None else -1

    def _address_to_ask(self) -> tuple[str, int] | None:
        """Return the next box in turn: a reader, or any member while this box knows little."""
        current = self._configuration.is_current
        names = self._circle.readers() if current else self._circle.members()
        others = [name for name in names if name != self._circle.me]
        return self._circle.address(others[next(self._turns) % len(others)]) if others else None

    def _compare_losses(self, theirs: int | None, address: tuple[str, int]) -> None:
        """Tell what is known here if a box knows something else; earlier versions don't say."""
        if theirs is not None and theirs != self._losses.checksum:
            self._losses.tell_all(address)

    def _answer(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        self._compare_losses(ask.losses, address)
        table = self._configuration.table
        if table is None or not self._circle.includes_me():
            self._tell_boxes(ask, address)
            return
        self._hand_on(ask, address)
        note = VouchNote(ask.ask_id, table.version, self._configuration.age_s)
        # Of boxes that have all just started, none is to take the others' ignorance for knowledge.
        note.losses = self._losses.checksum if self._losses.is_informed else None
        note.table_era, note.table_revision = self._table.table.place
        certain = self._targets.is_certain and bool(self._targets.entries)
        if certain:
            note.targets_digest = self._targets.digest
            note.targets_age_s = self._targets.age_s
        note.boxes = self._boxes_for(ask)
        note.boxes_era, note.boxes_revision = self._registry.revision
        self._port.vouch(address, note)
        if certain:
            self._tell_list(ask, address)

    def _tell_boxes(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        """Tell a box that knows no member who they are."""
        boxes = self._boxes_for(ask)
        if boxes:
            era, number = self._registry.revision
            note = VouchNote(ask.ask_id, boxes=boxes, boxes_revision=number, boxes_era=era)
            self._port.vouch(address, note)

    def _hand_on(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        """Send a newer configuration than the asking box has, ahead of the word that vouches."""
        if ask.version is None or ask.version >= self._version:
            return
        for part in configuration_parts(self._version, self._configuration.raw):
            self._port.hand_on(address, part)

    def _boxes_for(self, ask: VouchAsk) -> list[BoxRow] | None:
        """Return the list of boxes if the asking box has another one and keeps no entry itself."""
        if ask.boxes_digest is None or self._registry.revision == NEVER:
            return None
        entries = self._registry.told_entries
        if ask.boxes_digest == digest_of(entries):
            return None
        return [BoxRow(name, *entry) for name, entry in entries.items()]

    def _tell_list(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        """Tell the asking box what its list lacks, if it has another one."""
        digest, entries = self._targets.digest, self._targets.entries
        self._told_lists.keep(digest, entries)
        if ask.targets_digest == digest:
            return
        before = self._told_lists.known(ask.targets_digest or "")
        for part in list_parts(ask.ask_id, before, entries, self._targets.age_s):
            self._port.tell_list(address, part)

    def _take_answer(self, note: VouchNote) -> None:
        question = self._open.get(note.ask_id)
        if question is None:
            return
        sent_s = question.sent_s
        boxes = None if note.boxes is None else _box_entries(note.boxes)
        boxes_at = Revision(note.boxes_era or 0, note.boxes_revision or 0)
        news = self._registry.take_told(boxes, boxes_at)
        if note.version is None:
            if news:
                self._ask()
            return
        self._pace.note_peer(sent_s)
        table_at = Revision(note.table_era or 0, note.table_revision or 0)
        self._table_follower.take_peer_revision(table_at)
        self._take_configuration(note, sent_s)
        if note.targets_digest and note.targets_age_s is not None:
            self._targets.take_peer_vouch(note.targets_digest, sent_s, note.targets_age_s)

    def _take_configuration(self, note: VouchNote, sent_s: float) -> None:
        raw = self._handed.whole(note.version) if note.version > self._version else None
        if raw is not None:
            age_s = note.configuration_age_s or 0.0
            self._configuration.take_peer_configuration(raw, sent_s - age_s)
        self._configuration.take_peer_vouch(note.version, sent_s, note.configuration_age_s)

    def _take_part(self, part: ListPart) -> None:
        question = self._open.get(part.ask_id)
        count = part.parts or 0
        if question is None or not 0 <= (part.part or 0) < count <= MOST_PARTS:
            return
        question.parts[part.part or 0] = part
        if len(question.parts) < count:
            return
        parts, question.parts = list(question.parts.values()), {}
        oldest_s = max(p.age_s or 0.0 for p in parts)
        listed = self._joined(parts, question)
        if listed is not None:
            self._targets.take_peer_list(listed, question.sent_s - oldest_s)

    def _joined(self, parts: list[ListPart], question: _Question) -> dict[str, TargetEntry] | None:
        """Return the list that all parts make; None if it builds on one that is not there now."""
        if not any(p.is_difference for p in parts):
            return whole_list(parts)
        if self._targets.digest != question.digest:
            return None
        return changed_list(self._targets.entries, parts)


def _box_entries(rows: list[BoxRow]) -> dict[str, BoxEntry]:
    return {
        row.name: BoxEntry(row.host or "", row.port or 0, sane_capacity(row.capacity))
        for row in rows
        if row.name
    }
