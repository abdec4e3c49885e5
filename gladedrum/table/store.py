"""The table in the key-value service: reading, and edits of one compare-and-swap each."""

import time
import uuid
from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

import msgspec

from ..errors import GladedrumError, KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import ABSENT, Revision, StoreClient
from .core import Table
from .edits import (
    Cell,
    CellConflict,
    Edit,
    Head,
    Snapshot,
    apply_edits,
    conflicts_of,
    lost_edits,
    written_again,
)

__all__ = [
    "HEAD_KEY",
    "Accepted",
    "Conflicting",
    "EditResult",
    "InDoubt",
    "NotApplied",
    "TableNews",
    "TableStore",
    "TooOldError",
]

HEAD_KEY = "gladedrum/table/head"
"""The key of the head, which every edit swaps."""

_SNAPSHOT_PREFIX = "gladedrum/table/snapshot/"
_LOG_PREFIX = "gladedrum/table/log/"
_MAX_HEAD_EDITS = 100
_KEPT_HEAD_EDITS = 50
_TRIES = 20

_encode = msgspec.json.Encoder().encode
_decode_head = msgspec.json.Decoder(Head).decode
_decode_snapshot = msgspec.json.Decoder(Snapshot).decode
_decode_edits = msgspec.json.Decoder(list[Edit]).decode


class TooOldError(GladedrumError):
    """The revision that an edit's author saw is older than the head's edits."""


class Accepted(NamedTuple):
    """The edit is in the table, and will be in force everywhere."""

    revision: int
    edit: Edit


class NotApplied(NamedTuple):
    """The edit is not in the table."""

    reason: str


class Conflicting(NamedTuple):
    """The edit is not in the table, since others changed the same cells."""

    conflicts: list[CellConflict]


class InDoubt(NamedTuple):
    """Nobody can say whether the edit is in the table; look again later."""

    edit_id: str
    reason: str


EditResult = Accepted | NotApplied | Conflicting | InDoubt
"""What an edit can lead to."""


class TableNews(NamedTuple):
    """The table and its newest edits.

    Parameters
    ----------
    table : Table
        The table.
    head : Head
        The edits that led to it.
    kv_revision : int
        The revision of the head's key, to watch from.
    """

    table: Table
    head: Head
    kv_revision: Revision


class TableStore:
    """Reads and edits the table.

    Parameters
    ----------
    kv : StoreClient
        The service.
    """

    def __init__(self, kv: StoreClient):
        self._kv = kv

    async def read(self, known: Table, held: Sequence[Edit] = ()) -> TableNews:
        """Return the newest table.

        Parameters
        ----------
        known, held : Table, sequence of Edit
            What the caller has, and the last edits that led to it; spares reading the snapshot if
            the edits go on from it.

        Raises
        ------
        KVUnavailableError
            If no answer came.
        """
        listing = await self._kv.list(HEAD_KEY)
        era = listing.revision.era
        row = next((item for item in listing.items if item.key == HEAD_KEY), None)
        if row is None:
            return TableNews(Table(era=era), Head(), listing.revision)
        head = _decode_head(row.value)
        goes_on = known.era == era and _goes_on_from(known, held, head)
        base = known if goes_on else replace(await self._snapshot(head.base), era=era)
        return TableNews(apply_edits(base, head.edits), head, listing.revision)

    async def write_again(self, held: Sequence[Edit]) -> int:
        """Bring back what the table has lost of the edits that a box holds; return how many.

        Several boxes may try at once: each edit is known by its id, and is in the table once.
        Raises as `read` does, or `KVUnknownError`.
        """
        for _ in range(_TRIES):
            row = await self._kv.get(HEAD_KEY)
            head = _decode_head(row.value) if row else Head()
            lost = lost_edits(held, head)
            if not lost:
                return 0
            again = written_again(lost, held, head)
            changed = Head(head.base, [*head.edits, *again])
            try:
                await self._kv.swap(HEAD_KEY, _encode(changed), row.revision if row else ABSENT)
            except KVConflictError:
                continue
            return len(again)
        raise KVUnavailableError("too many others edit the table at this moment")

    async def edit(
        self, cells: Sequence[Cell], seen_revision: int, who: str, why: str
    ) -> EditResult:
        """Change cells of the table; the cells must have been checked.

        Parameters
        ----------
        cells : sequence of Cell
            What to change.
        seen_revision : int
            The revision that the author looked at.
        who, why : str
            Kept with the edit.
        """
        edit_id = uuid.uuid4().hex
        in_doubt: KVUnknownError | None = None
        for _ in range(_TRIES):
            try:
                row = await self._kv.get(HEAD_KEY)
                head = _decode_head(row.value) if row else Head()
                done = next((e for e in head.edits if e.edit_id == edit_id), None)
                if done is not None:
                    return Accepted(done.revision, done)
                if seen_revision < head.base:
                    return NotApplied("too many edits have been made since you looked")
                conflicts = conflicts_of(cells, seen_revision, head)
                if conflicts:
                    return Conflicting(conflicts)
                edit = Edit(edit_id, head.revision + 1, list(cells), who, why, time.time())
                head = await self._shortened(head)
                changed = Head(head.base, [*head.edits, edit])
                await self._kv.swap(HEAD_KEY, _encode(changed), row.revision if row else ABSENT)
                return Accepted(edit.revision, edit)
            except KVConflictError:
                continue
            except KVUnknownError as exc:
                in_doubt = exc
            except KVUnavailableError as exc:
                if in_doubt is None:
                    return NotApplied(str(exc))
                return InDoubt(edit_id, str(in_doubt))
        if in_doubt is not None:
            return InDoubt(edit_id, str(in_doubt))
        return NotApplied("too many others edit the table at this moment")

    async def history(self, count: int) -> list[Edit]:
        """Return the last edits, the newest first; raises as `read` does."""
        row = await self._kv.get(HEAD_KEY)
        if row is None:
            return []
        edits = _decode_head(row.value).edits[::-1]
        if len(edits) < count:
            rows = await self._kv.get_prefix(_LOG_PREFIX)
            older = [e for key in sorted(rows, reverse=True) for e in _log_edits(rows[key].value)]
            oldest = edits[-1].revision if edits else 0
            edits += [e for e in older if e.revision < oldest]
        return edits[:count]

    async def _snapshot(self, revision: int) -> Table:
        if revision == 0:
            return Table()
        row = await self._kv.get(f"{_SNAPSHOT_PREFIX}{revision:012d}")
        if row is None:
            raise KVUnavailableError(f"the snapshot of revision {revision} is not there")
        snapshot = _decode_snapshot(row.value)
        return Table(snapshot.revision, snapshot.rows)

    async def _shortened(self, head: Head) -> Head:
        """Move the older edits into a snapshot and a log once there are many.

        The snapshot is written before the head that names it, so that a reader of the head
        always finds it. Writing it twice writes the same.
        """
        if len(head.edits) < _MAX_HEAD_EDITS:
            return head
        moved, kept = head.edits[:-_KEPT_HEAD_EDITS], head.edits[-_KEPT_HEAD_EDITS:]
        base = apply_edits(await self._snapshot(head.base), moved)
        rows = {row: dict(cells) for row, cells in base.rows.items()}
        suffix = f"{base.revision:012d}"
        await self._write_once(_SNAPSHOT_PREFIX + suffix, _encode(Snapshot(base.revision, rows)))
        await self._write_once(_LOG_PREFIX + suffix, _encode(moved))
        return Head(base.revision, kept)

    async def _write_once(self, key: str, value: bytes) -> None:
        try:
            await self._kv.swap(key, value, ABSENT)
        except KVConflictError:
            # Somebody else has just written the same.
            return


def _log_edits(value: bytes) -> list[Edit]:
    return _decode_edits(value)[::-1]


def _goes_on_from(known: Table, held: Sequence[Edit], head: Head) -> bool:
    """Whether a head's edits go on from a table, and not from another of the same revision."""
    if known.revision < head.base:
        return False
    at = next((edit for edit in head.edits if edit.revision == known.revision), None)
    if at is None:
        return known.revision == head.base
    return bool(held) and held[-1].edit_id == at.edit_id
