"""Reading and editing the table in the platform's key-value store.

Each edit takes one compare-and-swap of the head. Older edits are moved to snapshots, from which
the table is rebuilt, and to logs, which keep the history.
"""

import logging
import time
import uuid
from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

import msgspec

from ..errors import GladedrumError, KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import ABSENT, Revision, StoreClient
from ..utils.validation import MAX_INT64
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
    restoring_edits,
    usable_rows,
)

__all__ = [
    "HEAD_KEY",
    "Accepted",
    "Conflicting",
    "EditResult",
    "InDoubt",
    "MalformedTableError",
    "NotApplied",
    "StoredTable",
    "TableStore",
    "TooOldError",
    "decode_head",
]

HEAD_KEY = "gladedrum/table/head"
"""The key of the head, which every edit replaces by a compare-and-swap."""

_SNAPSHOT_PREFIX = "gladedrum/table/snapshot/"
_LOG_PREFIX = "gladedrum/table/log/"
_MAX_HEAD_EDITS = 100
"""The length at which a head is compacted."""

_KEPT_HEAD_EDITS = 50
"""How many of the newest edits stay in a compacted head, for conflict checks and peers."""

_MAX_SWAP_ATTEMPTS = 20

_encode = msgspec.json.Encoder().encode
_head_decoder = msgspec.json.Decoder(Head)
_snapshot_decoder = msgspec.json.Decoder(Snapshot)
_edits_decoder = msgspec.json.Decoder(list[Edit])

_log = logging.getLogger(__name__)


class MalformedTableError(KVUnavailableError):
    """A part of the table in the store is malformed; the last table stays in force."""


class TooOldError(GladedrumError):
    """The edit is based on a revision that is older than the head's edits."""


class Accepted(NamedTuple):
    """The edit is in the table, and comes into force on each box when the box learns of it."""

    revision: int
    edit: Edit


class NotApplied(NamedTuple):
    """The edit is not in the table."""

    reason: str


class Conflicting(NamedTuple):
    """The edit is not in the table, since other edits have changed the same cells."""

    conflicts: list[CellConflict]


class InDoubt(NamedTuple):
    """It is unknown whether the edit is in the table; the history will show it later."""

    edit_id: str
    reason: str


EditResult = Accepted | NotApplied | Conflicting | InDoubt
"""The possible outcomes of an edit."""


class StoredTable(NamedTuple):
    """The newest table, as read from the store.

    Parameters
    ----------
    table : Table
        The table at the newest revision.
    head : Head
        The head with the newest edits in the table.
    kv_revision : Revision
        The store's revision at the time of the read, from which to watch for changes.
    """

    table: Table
    head: Head
    kv_revision: Revision


class TableStore:
    """Reads and edits the table.

    Parameters
    ----------
    kv : StoreClient
        Client of the store that holds the table.
    """

    def __init__(self, kv: StoreClient):
        self._kv = kv

    async def read(self, known: Table, known_edits: Sequence[Edit] = ()) -> StoredTable:
        """Return the newest table.

        Parameters
        ----------
        known : Table
            The table that the caller has. If the head's edits continue from it, the snapshot need
            not be read.
        known_edits : sequence of Edit
            The newest edits in `known`.

        Raises
        ------
        KVUnavailableError
            If the store did not answer, or the snapshot does not exist.
        """
        listing = await self._kv.list(HEAD_KEY)
        era = listing.revision.era
        item = next((i for i in listing.items if i.key == HEAD_KEY), None)
        if item is None:
            return StoredTable(Table(era=era), Head(), listing.revision)
        head = decode_head(item.value)
        can_extend = known.era == era and _is_extended_by(known, known_edits, head)
        base = known if can_extend else replace(await self._snapshot(head.base), era=era)
        return StoredTable(apply_edits(base, head.edits), head, listing.revision)

    async def restore_lost_edits(self, accepted: Sequence[Edit]) -> int:
        """Append accepted edits that the stored table has lost to its head; return how many.

        Several boxes may do so at once: edits are identified by their ids, so each one is
        restored only once.

        Raises
        ------
        KVUnavailableError
            If the store did not answer, or every compare-and-swap met a concurrent edit.
        KVUnknownError
            If it is unknown whether the write was applied.
        """
        for _ in range(_MAX_SWAP_ATTEMPTS):
            item = await self._kv.get(HEAD_KEY)
            head = decode_head(item.value) if item else Head()
            lost = lost_edits(accepted, head)
            if not lost:
                return 0
            restoring = restoring_edits(lost, accepted, head)
            changed = Head(head.base, [*head.edits, *restoring])
            try:
                await self._kv.swap(HEAD_KEY, _encode(changed), item.revision if item else ABSENT)
            except KVConflictError:
                continue
            return len(restoring)
        raise KVUnavailableError("too many concurrent edits of the table")

    async def edit(
        self, cells: Sequence[Cell], seen_revision: int, who: str, why: str
    ) -> EditResult:
        """Change cells of the table.

        Parameters
        ----------
        cells : sequence of Cell
            The new values, already validated by `check_cells`.
        seen_revision : int
            The revision that the author saw.
        who, why : str
            The author and the reason, stored with the edit.
        """
        edit_id = uuid.uuid4().hex
        in_doubt: KVUnknownError | None = None
        for _ in range(_MAX_SWAP_ATTEMPTS):
            try:
                item = await self._kv.get(HEAD_KEY)
                head = decode_head(item.value) if item else Head()
                done = next((e for e in head.edits if e.edit_id == edit_id), None)
                if done is not None:
                    return Accepted(done.revision, done)
                if seen_revision < head.base:
                    return NotApplied("too many edits have been made since you looked")
                conflicts = conflicts_of(cells, seen_revision, head)
                if conflicts:
                    return Conflicting(conflicts)
                edit = Edit(edit_id, head.revision + 1, list(cells), who, why, time.time())
                head = await self._compacted(head)
                changed = Head(head.base, [*head.edits, edit])
                await self._kv.swap(HEAD_KEY, _encode(changed), item.revision if item else ABSENT)
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
        return NotApplied("too many concurrent edits of the table")

    async def history(self, count: int) -> list[Edit]:
        """Return the newest `count` edits, newest first; raises as `read` does."""
        item = await self._kv.get(HEAD_KEY)
        if item is None:
            return []
        edits = decode_head(item.value).edits[::-1]
        if len(edits) < count:
            logs = await self._kv.get_prefix(_LOG_PREFIX)
            older = [
                e for key in sorted(logs, reverse=True) for e in _log_edits(key, logs[key].value)
            ]
            oldest = edits[-1].revision if edits else 0
            edits += [e for e in older if e.revision < oldest]
        return edits[:count]

    async def _snapshot(self, revision: int) -> Table:
        if revision == 0:
            return Table()
        item = await self._kv.get(f"{_SNAPSHOT_PREFIX}{revision:012d}")
        if item is None:
            raise KVUnavailableError(f"the snapshot of revision {revision} does not exist")
        snapshot = _decode(_snapshot_decoder, item.value)
        return Table(snapshot.revision, usable_rows(snapshot.rows))

    async def _compacted(self, head: Head) -> Head:
        """Move the older edits into a snapshot and a log if the head has grown too long.

        The snapshot is written before the head that refers to it, so that readers of the head
        always find it. The writes are idempotent.
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
            # Another box has just written the same value.
            return


def decode_head(raw: bytes | None) -> Head:
    """Decode the head of the table; raises `MalformedTableError`."""
    head = _decode(_head_decoder, raw)
    if not 0 <= head.base <= head.revision <= MAX_INT64:
        raise MalformedTableError("the head of the table has an impossible revision")
    return head


def _decode(decoder: msgspec.json.Decoder, raw: bytes | None):
    try:
        return decoder.decode(raw or b"")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedTableError(f"the table in the store is malformed: {exc}") from exc


def _log_edits(key: str, value: bytes | None) -> list[Edit]:
    """Return the edits of a log, newest first; none if it is malformed."""
    try:
        return _decode(_edits_decoder, value)[::-1]
    except MalformedTableError as exc:
        extra = {"key": ascii(key)[:200], "reason": str(exc)}
        _log.error("malformed log of the table's edits", extra=extra)
        return []


def _is_extended_by(known: Table, known_edits: Sequence[Edit], head: Head) -> bool:
    """Whether a head's edits continue from the known table.

    Writes that overlap with a restore of the store can give two tables the same revision. Then the
    id of the edit that created the revision tells them apart.
    """
    if known.revision < head.base:
        return False
    same_revision = next((edit for edit in head.edits if edit.revision == known.revision), None)
    if same_revision is None:
        return known.revision == head.base
    return bool(known_edits) and known_edits[-1].edit_id == same_revision.edit_id
