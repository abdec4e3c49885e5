"""Bringing the table into force on every box.

A few boxes of each data hall read the key-value service and watch it; all others ask one of
these, or any other peer, from time to time. A box takes over only a higher revision, so that
no change ever reverts, in whatever order news arrive.
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
from ..scheduling.policies.rendezvous import rendezvous_order
from ..utils import sleep
from .core import Table
from .edits import Edit, Head, Snapshot, apply_edits, lost_edits
from .store import HEAD_KEY, TableStore

__all__ = ["PULL_INTERVAL", "WATCHERS", "TableInForce", "TableSpread", "TableState"]

WATCHERS = Item(
    "table", "watchers", 2, "How many boxes of each data hall watch the key-value service.",
    minimum=1, maximum=100,
)  # fmt: skip
PULL_INTERVAL = Item(
    "table", "pull_interval_s", 1.0, "How often a box asks a peer for a newer table.",
    unit="s", minimum=0.05, maximum=10,
)  # fmt: skip

_ANY_PEER_SHARE = 0.25
_WATCH_S = 25.0
"""How long one watch of the table waits, in seconds; the store allows 30."""
_WATCHER_KEY = "watchers of the table"

_log = logging.getLogger(__name__)
_encode = msgspec.json.Encoder().encode


class _Message(msgspec.Struct):
    """What a box tells a peer: edits that go on from the peer's revision, or everything."""

    edits: list[Edit] = []
    snapshot: Snapshot | None = None


_decode = msgspec.json.Decoder(_Message).decode
_decode_head = msgspec.json.Decoder(Head).decode


class TableState(TypedDict):
    """Which revision of the table a box has, and how old its news are."""

    box: str
    revision: int | None
    age_s: float | None


class TableInForce:
    """The table that counts on this box.

    Parameters
    ----------
    clock : IReactorTime
        Tells how old news are.

    Attributes
    ----------
    table : Table
        The table.
    known : bool
        False until the service or a peer has told the table.
    """

    def __init__(self, clock: IReactorTime):
        self.table = Table()
        self.known = False
        self._edits: list[Edit] = []
        self._accepted: dict[str, Edit] = {}
        self._clock = clock
        self._heard_s = clock.seconds()

    @property
    def age_s(self) -> float:
        """The time since the service or a peer last confirmed or changed the table, seconds."""
        return self._clock.seconds() - self._heard_s

    @property
    def held(self) -> list[Edit]:
        """The last edits that are known to be accepted, in order; those that led to the table."""
        return [*self._edits, *self._accepted.values()]

    @property
    def edits(self) -> Sequence[Edit]:
        """The last edits that led to the table."""
        return self._edits

    def note_empty(self, era: int) -> None:
        """Note a peer's word that the table is empty; a box that knows none needs no read of it.

        Boxes that start at once would else each read the store for it.
        """
        if self.table == Table():
            self.table = Table(era=era)

    def hold(self, edit: Edit) -> None:
        """Keep an edit that was accepted here until the table that has it is in force."""
        if all(known.edit_id != edit.edit_id for known in self._edits):
            self._accepted[edit.edit_id] = edit

    def take(self, table: Table, edits: Sequence[Edit]) -> None:
        """Take over a table if it is newer, with the edits that led to it."""
        self.heard()
        if table.place > self.table.place:
            self.table = table
            self._edits = list(edits)
            for edit in edits:
                self._accepted.pop(edit.edit_id, None)
            _log.info("table in force", extra={"revision": table.revision, "era": table.era})

    def heard(self) -> None:
        """Note that the table was confirmed."""
        self.known = True
        self._heard_s = self._clock.seconds()

    def message_for(self, revision: int) -> bytes:
        """Return what a peer at `revision` lacks; empty if nothing."""
        if revision >= self.table.revision:
            return b""
        newer = [edit for edit in self._edits if edit.revision > revision]
        if newer and newer[0].revision == revision + 1:
            return _encode(_Message(edits=newer))
        rows = {row: dict(cells) for row, cells in self.table.rows.items()}
        snapshot = Snapshot(self.table.revision, rows)
        return _encode(_Message(edits=self._edits, snapshot=snapshot))

    def take_message(self, message: bytes) -> None:
        """Take over what a peer has sent."""
        if not message:
            self.heard()
            return
        news = _decode(message)
        if news.snapshot is not None:
            rows = news.snapshot.rows
            self.take(Table(news.snapshot.revision, rows, self.table.era), news.edits)
        elif news.edits and news.edits[0].revision > self.table.revision + 1:
            # The answer to an older question; with a gap it would make a wrong table.
            _log.warning("table edits with a gap dropped")
        else:
            self.take(apply_edits(self.table, news.edits), [*self._edits, *news.edits][-100:])


class TableSpread:
    """Keeps a `TableInForce` up to date.

    Parameters
    ----------
    cfg : Settings
        Read for the ``[table]`` section.
    clock : IReactorTime
        Where pauses are waited for.
    kv : StoreClient
        Watched if this box is one of the watchers.
    in_force : TableInForce
        Kept up to date.
    live_boxes : callable
        Returns the live boxes, this one included.
    me : callable
        Returns this box.
    ask : callable
        Asks a box for what this one lacks: takes a `Box` and a revision.
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
        """Watch or ask, until cancelled."""
        while True:
            if self._is_watcher():
                await self._watch()
            await self._pull()
            await sleep(self._clock, self._interval_s * self._rng.uniform(0.8, 1.2))

    def _hall_watchers(self) -> list[str]:
        hall = self._me().data_hall
        names = [b.name for b in self._live_boxes() if b.data_hall == hall]
        return rendezvous_order(_WATCHER_KEY, names)[: self._watchers]

    def _is_watcher(self) -> bool:
        return self._me().name in self._hall_watchers()

    async def _watch(self) -> None:
        """Read the table and watch it for as long as this box is a watcher."""
        try:
            news = await self._store.read(self._in_force.table, self._in_force.edits)
            if lost_edits(self._in_force.held, news.head):
                await self._store.write_again(self._in_force.held)
                return
            self._in_force.take(news.table, news.head.edits)
            revision = news.kv_revision
            while self._is_watcher():
                answer = await self._kv.watch(HEAD_KEY, revision, _WATCH_S)
                revision = answer.revision
                for change in answer.changes:
                    self._changed(change)
        except (KVUnavailableError, KVUnknownError, HistoryGoneError) as exc:
            _log.warning("table not watched", extra={"reason": str(exc)})

    def _changed(self, change: StoredItem) -> None:
        if change.key != HEAD_KEY or change.value is None:
            return
        head = _decode_head(change.value)
        known = self._in_force.table
        if known.revision >= head.base:
            self._in_force.take(apply_edits(known, head.edits), head.edits)

    async def _pull(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        try:
            message = await self._ask(peer, self._in_force.table.revision)
        except defer.CancelledError:
            raise
        except Exception as exc:
            # Whatever is wrong with one peer, the next round asks another.
            _log.debug("no table from peer", extra={"peer": peer.name, "reason": repr(exc)})
            return
        if message or self._in_force.known:
            self._in_force.take_message(message)

    def _choose_peer(self) -> Box | None:
        me = self._me()
        peers = [b for b in self._live_boxes() if b.name != me.name]
        near = [b for b in peers if b.data_hall == me.data_hall] or peers
        watchers = set(self._hall_watchers())
        best = [b for b in near if b.name in watchers]
        if self._rng.random() < _ANY_PEER_SHARE or not best:
            best = near
        return self._rng.choice(best) if best else None
