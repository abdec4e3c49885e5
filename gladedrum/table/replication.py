"""The table in force on a box, and its replication to all boxes.

A few boxes of each data hall (the watchers) read the table from the store and watch it there. All
other boxes regularly pull it from a watcher or another peer. A box accepts only newer tables than
its own, so a change never reverts, whatever the order in which messages arrive.
"""

import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypedDict

import msgspec
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..config import Item, Settings
from ..errors import KVUnavailableError, KVUnknownError
from ..platform import Box, HistoryGoneError, StoreClient, StoredItem
from ..utils import sleep
from .core import Table
from .edits import Edit, Snapshot, apply_edits, lost_edits, usable_rows
from .store import HEAD_KEY, TableStore, decode_head

__all__ = ["PULL_INTERVAL", "WATCHERS", "TableInForce", "TableReplicator", "TableState"]

WATCHERS = Item(
    "table", "watchers", 2, "How many boxes of each data hall watch the key-value service.",
    minimum=1, maximum=100,
)  # fmt: skip
PULL_INTERVAL = Item(
    "table", "pull_interval_s", 1.0, "How often a box asks a peer for a newer table.",
    unit="s", minimum=0.05, maximum=10,
)  # fmt: skip

_ANY_PEER_PROBABILITY = 0.25
"""The probability that a box pulls from any peer of its data hall instead of a watcher."""

_WATCH_TIMEOUT_S = 25.0
"""How long one watch of the table waits, in seconds; the store allows 30."""

_WATCHER_KEY = "watchers of the table"
"""The key by which rendezvous hashing chooses the watchers; equal on all boxes."""

_log = logging.getLogger(__name__)
_encode = msgspec.json.Encoder().encode


class _Message(msgspec.Struct):
    """An update for a peer: the edits after its revision, or a snapshot with the newest edits."""

    edits: list[Edit] = []
    snapshot: Snapshot | None = None


_decode = msgspec.json.Decoder(_Message).decode


class TableState(TypedDict):
    """The revision of a box's table and the time since it was confirmed; None without an answer."""

    box: str
    revision: int | None
    age_s: float | None


class TableInForce:
    """The table that this box applies to requests, and the edits that it must not lose.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock, for the age of the table.

    Attributes
    ----------
    table : Table
        The newest table that this box knows.
    known : bool
        False until the table has been received from the store or a peer.
    """

    def __init__(self, clock: IReactorTime):
        self.table = Table()
        self.known = False
        self._edits: list[Edit] = []
        self._accepted: dict[str, Edit] = {}
        self._clock = clock
        self._confirmed_s = clock.seconds()

    @property
    def age_s(self) -> float:
        """The time since the store or a peer last confirmed or changed the table, in seconds."""
        return self._clock.seconds() - self._confirmed_s

    @property
    def accepted_edits(self) -> list[Edit]:
        """The newest edits known to be accepted: those in the table, then those not in it yet."""
        return [*self._edits, *self._accepted.values()]

    @property
    def edits(self) -> Sequence[Edit]:
        """The newest edits in the table, in order of revision."""
        return self._edits

    def note_empty(self, era: int) -> None:
        """Adopt the empty table of an era that a peer has named, if no table is known yet.

        This saves boxes that start at the same time from reading an empty table from the store.
        """
        if self.table == Table():
            self.table = Table(era=era)

    def keep_accepted(self, edit: Edit) -> None:
        """Keep an edit that was accepted through this box until it is in the table in force."""
        if all(known.edit_id != edit.edit_id for known in self._edits):
            self._accepted[edit.edit_id] = edit

    def adopt(self, table: Table, edits: Sequence[Edit]) -> None:
        """Bring a table into force if it is newer, with the newest edits in it."""
        self.mark_confirmed()
        if table.full_revision > self.table.full_revision:
            self.table = table
            self._edits = list(edits)
            for edit in edits:
                self._accepted.pop(edit.edit_id, None)
            _log.info("table in force", extra={"revision": table.revision, "era": table.era})

    def mark_confirmed(self) -> None:
        """Record that the store or a peer has confirmed the table now."""
        self.known = True
        self._confirmed_s = self._clock.seconds()

    def message_for(self, revision: int) -> bytes:
        """Return the message that brings a peer at `revision` up to date; empty if it is."""
        if revision >= self.table.revision:
            return b""
        newer = [edit for edit in self._edits if edit.revision > revision]
        if newer and newer[0].revision == revision + 1:
            return _encode(_Message(edits=newer))
        rows = {row: dict(cells) for row, cells in self.table.rows.items()}
        snapshot = Snapshot(self.table.revision, rows)
        return _encode(_Message(edits=self._edits, snapshot=snapshot))

    def apply_message(self, message: bytes) -> None:
        """Apply a peer's message, as made by `message_for`."""
        if not message:
            self.mark_confirmed()
            return
        try:
            update = _decode(message)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            _log.warning("a peer's table cannot be decoded", extra={"reason": str(exc)})
            return
        if update.snapshot is not None:
            rows = usable_rows(update.snapshot.rows)
            self.adopt(Table(update.snapshot.revision, rows, self.table.era), update.edits)
        elif update.edits and update.edits[0].revision > self.table.revision + 1:
            # An answer to an outdated request: applying it would skip edits.
            _log.warning("table update dropped: it skips revisions")
        else:
            # Keep as many edits as a head can hold.
            self.adopt(apply_edits(self.table, update.edits), [*self._edits, *update.edits][-100:])


class TableReplicator:
    """Keeps a `TableInForce` up to date, by watching the store or by pulling from peers.

    Parameters
    ----------
    cfg : Settings
        Read for the ``[table]`` section.
    clock : IReactorTime
        Times the pauses.
    kv : StoreClient
        Client of the store; used only while this box is a watcher.
    in_force : TableInForce
        Kept up to date.
    live_boxes : callable
        Returns the live boxes, including this one.
    me : callable
        Returns this box.
    ask : callable
        Pulls from a peer: called with its `Box` and this box's revision, it returns the peer's
        message (see `TableInForce.message_for`).
    """

    def __init__(
        self,
        cfg: Settings,
        clock: IReactorTime,
        kv: StoreClient,
        in_force: TableInForce,
        live_boxes: Callable[[], list[Box]],
        me: Callable[[], Box],
        ask: Callable[[Box, int], Awaitable[bytes]],
    ):
        self._clock = clock
        self._kv = kv
        self._store = TableStore(kv)
        self._in_force = in_force
        self._live_boxes = live_boxes
        self._me = me
        self._ask = ask
        self._watchers = cfg.get(WATCHERS)
        self._interval_s = cfg.get(PULL_INTERVAL)
        self._rng = random.Random()

    async def run(self) -> None:
        """Watch or pull, until cancelled."""
        while True:
            if self._is_watcher():
                await self._watch()
            await self._pull()
            await sleep(self._clock, self._interval_s * self._rng.uniform(0.8, 1.2))

    def _hall_watchers(self) -> list[str]:
        # Imported on first use: a forwarding box imports this module and replicates no table.
        from ..scheduling.policies.rendezvous import rendezvous_order

        hall = self._me().data_hall
        names = [b.name for b in self._live_boxes() if b.data_hall == hall]
        return rendezvous_order(_WATCHER_KEY, names)[: self._watchers]

    def _is_watcher(self) -> bool:
        return self._me().name in self._hall_watchers()

    async def _watch(self) -> None:
        """Read the table, and watch it for as long as this box is a watcher."""
        try:
            stored = await self._store.read(self._in_force.table, self._in_force.edits)
            if lost_edits(self._in_force.accepted_edits, stored.head):
                await self._store.restore_lost_edits(self._in_force.accepted_edits)
                return
            self._in_force.adopt(stored.table, stored.head.edits)
            revision = stored.kv_revision
            while self._is_watcher():
                answer = await self._kv.watch(HEAD_KEY, revision, _WATCH_TIMEOUT_S)
                revision = answer.revision
                for change in answer.changes:
                    self._apply_change(change)
        except (KVUnavailableError, KVUnknownError, HistoryGoneError) as exc:
            _log.warning("watching the table failed", extra={"reason": str(exc)})

    def _apply_change(self, change: StoredItem) -> None:
        if change.key != HEAD_KEY or change.value is None:
            return
        head = decode_head(change.value)
        known = self._in_force.table
        if known.revision >= head.base:
            self._in_force.adopt(apply_edits(known, head.edits), head.edits)

    async def _pull(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        try:
            message = await self._ask(peer, self._in_force.table.revision)
        except defer.CancelledError:
            raise
        except Exception as exc:
            # Whatever the cause, the next round may choose another peer.
            _log.debug("pulling the table failed", extra={"peer": peer.name, "reason": repr(exc)})
            return
        # An empty message confirms the table only if this box has one to compare.
        if message or self._in_force.known:
            self._in_force.apply_message(message)

    def _choose_peer(self) -> Box | None:
        me = self._me()
        peers = [b for b in self._live_boxes() if b.name != me.name]
        hall_peers = [b for b in peers if b.data_hall == me.data_hall] or peers
        watchers = set(self._hall_watchers())
        candidates = [b for b in hall_peers if b.name in watchers]
        if self._rng.random() < _ANY_PEER_PROBABILITY or not candidates:
            candidates = hall_peers
        return self._rng.choice(candidates) if candidates else None
