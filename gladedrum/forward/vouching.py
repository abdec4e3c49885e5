"""In a large fleet a few boxes read the store often, and vouch to the others for what it says.

A box asks a member of the circle what it has in force. The answer holds versions and ages: if they
agree with the box's own, its belief is as young as the member's plus the time since the question
was sent, whatever happened on the way. A newer configuration is then read from the store; another
list of targets comes with the answer. If no member answers, the box reads the store itself.
"""

import itertools
import random
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from ..fleet import TargetEntry
from ..table import TableFollower, TableInForce
from ..utils import sleep
from .circle import Circle
from .configuration import ConfigurationKeeper
from .gossip import GossipPort
from .store_pace import StorePace
from .target_list import TargetKeeper
from .wire.ttypes import Gossip, ListPart, TargetRow, VouchAsk, VouchNote

__all__ = ["PeerVouching"]

ASK_EVERY_S = 0.5
"""How often a box outside the circle asks, in seconds: several times within the least bound."""

OPEN_ASKS = 16
"""Questions whose answers are still taken."""

ROWS_A_PART = 12
"""Targets in one part of a list: a datagram of about 1,000 bytes."""

MOST_PARTS = 512
"""The most parts of a list that are taken from a peer."""

KEPT_LISTS = 16
"""Earlier lists from which a difference can be told: those of some seconds with many changes."""


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
    """

    def __init__(
        self,
        clock: IReactorTime,
        circle: Circle,
        port: GossipPort,
        configuration: ConfigurationKeeper,
        targets: TargetKeeper,
        table: TableInForce,
        table_follower: TableFollower,
        pace: StorePace,
    ):
        self._clock = clock
        self._circle = circle
        self._port = port
        self._configuration = configuration
        self._targets = targets
        self._table = table
        self._table_follower = table_follower
        self._pace = pace
        self._ids = itertools.count(1)
        self._open: dict[int, _Question] = {}
        self._lists: dict[str, dict[str, TargetEntry]] = {}
        self._rng = random.Random()

    async def run(self) -> None:
        """Ask until cancelled, while this box is not in the circle."""
        while True:
            if not self._circle.includes_me():
                self._ask()
            await sleep(self._clock, ASK_EVERY_S)

    def take(self, told: Gossip, address: tuple[str, int]) -> None:
        """Answer a peer's question; take a peer's answer."""
        for ask in told.vouch_asks or ():
            self._answer(ask, address)
        for note in told.vouches or ():
            self._take_answer(note)
        for part in told.list_parts or ():
            self._take_part(part)

    def _ask(self) -> None:
        ask_id = next(self._ids)
        self._open[ask_id] = _Question(self._clock.seconds(), self._targets.digest)
        self._open.pop(ask_id - OPEN_ASKS, None)
        member = self._rng.choice(self._circle.members())
        ask = VouchAsk(ask_id, self._targets.digest)
        self._port.ask_vouch(self._circle.address(member), ask)

    def _answer(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        table = self._configuration.table
        if table is None or not self._circle.includes_me():
            return
        note = VouchNote(ask.ask_id, table.version, self._configuration.age_s)
        note.table_revision = self._table.table.revision
        certain = self._targets.is_certain and bool(self._targets.entries)
        if certain:
            note.targets_digest = self._targets.digest
            note.targets_age_s = self._targets.age_s
        self._port.vouch(address, note)
        if certain:
            self._keep_list()
            if ask.targets_digest != self._targets.digest:
                for part in self._list_parts(ask):
                    self._port.tell_list(address, part)

    def _keep_list(self) -> None:
        """Remember the list in force, for differences from it."""
        self._lists.setdefault(self._targets.digest, self._targets.entries)
        if len(self._lists) > KEPT_LISTS:
            del self._lists[next(iter(self._lists))]

    def _list_parts(self, ask: VouchAsk) -> list[ListPart]:
        """Return what the asking box lacks, or the whole list if its own is not known."""
        known = self._lists.get(ask.targets_digest or "")
        entries = self._targets.entries
        before = known or {}
        rows = [_row_of(e) for name, e in sorted(entries.items()) if before.get(name) != e]
        gone = sorted(before.keys() - entries.keys())
        starts = range(0, max(1, len(rows)), ROWS_A_PART)
        age_s = self._targets.age_s
        return [
            ListPart(
                ask.ask_id,
                index,
                len(starts),
                age_s,
                rows[first : first + ROWS_A_PART],
                known is not None,
                gone if index == 0 else [],
            )
            for index, first in enumerate(starts)
        ]

    def _take_answer(self, note: VouchNote) -> None:
        question = self._open.get(note.ask_id)
        if question is None:
            return
        sent_s = question.sent_s
        self._pace.note_peer(sent_s)
        self._table_follower.take_peer_revision(note.table_revision or 0)
        self._configuration.take_peer_vouch(note.version or 0, sent_s, note.configuration_age_s)
        if note.targets_digest and note.targets_age_s is not None:
            self._targets.take_peer_vouch(note.targets_digest, sent_s, note.targets_age_s)

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
        rows = {row.name: _entry_of(row) for p in parts for row in p.rows or ()}
        if not any(p.is_difference for p in parts):
            return rows
        if self._targets.digest != question.digest:
            return None
        gone = {name for p in parts for name in p.gone or ()}
        kept = {n: e for n, e in self._targets.entries.items() if n not in gone}
        return {**kept, **rows}


def _row_of(entry: TargetEntry) -> TargetRow:
    return TargetRow(*entry)


def _entry_of(row: TargetRow) -> TargetEntry:
    return TargetEntry(
        row.name or "",
        row.service_name or "",
        row.host or "",
        row.port or 0,
        row.data_hall or "",
        row.slots or 1,
        bool(row.leaving),
    )
