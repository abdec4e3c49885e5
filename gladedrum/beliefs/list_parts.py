"""Encoding of the list of targets in datagrams: whole, or as a difference from a known list."""

import math
from collections.abc import Callable, Iterable, Mapping

from ..fleet import MAX_COLD_S, TargetEntry
from ..fleet.checks import fault_of
from ..gossip.wire.ttypes import ListPart, TargetRow

__all__ = ["SentLists", "apply_difference", "entries_in", "list_parts"]

ROWS_PER_PART = 12
"""Targets per part, so that a part fits in one datagram of about 1,000 bytes."""

MAX_SENT_LISTS = 16
"""Number of lists that are kept as bases for differences: several seconds of frequent changes."""


class SentLists:
    """The latest lists of this box by digest, as bases for differences."""

    def __init__(self):
        self._lists: dict[str, Mapping[str, TargetEntry]] = {}

    def remember(self, digest: str, entries: Mapping[str, TargetEntry]) -> None:
        """Add a list; the oldest one is dropped beyond `MAX_SENT_LISTS`."""
        self._lists.setdefault(digest, entries)
        if len(self._lists) > MAX_SENT_LISTS:
            del self._lists[next(iter(self._lists))]

    def get(self, digest: str) -> Mapping[str, TargetEntry] | None:
        """Return the list with this digest, or None if it was dropped."""
        return self._lists.get(digest)


def list_parts(
    ask_id: int | None,
    before: Mapping[str, TargetEntry] | None,
    entries: Mapping[str, TargetEntry],
    age_s: float,
    cold_left_s: Callable[[str], float | None] = lambda _name: None,
    followed_s: float = 0.0,
) -> list[ListPart]:
    """Return the parts that turn `before` into `entries`, or all of `entries` if `before` is None.

    `ask_id` is the question that they answer, `age_s` the age of `entries`. `cold_left_s` returns
    the remaining cold time of a target as of that age, by its name; None if it is not known.
    `followed_s` is how long the sender had followed the list without a gap at that age.
    """
    known = before or {}
    rows = [
        TargetRow(*e._replace(cold_left_s=cold_left_s(name)))
        for name, e in sorted(entries.items())
        if known.get(name) != e
    ]
    gone = sorted(known.keys() - entries.keys())
    starts = range(0, max(1, len(rows)), ROWS_PER_PART)
    return [
        ListPart(
            ask_id,
            index,
            len(starts),
            age_s,
            rows[first : first + ROWS_PER_PART],
            before is not None,
            gone if index == 0 else [],
            followed_s,
        )
        for index, first in enumerate(starts)
    ]


def entries_in(parts: Iterable[ListPart]) -> dict[str, TargetEntry]:
    """Return the entries of all parts, without those that name no target to use."""
    entries = (_entry_of(row) for part in parts for row in part.rows or ())
    return {entry.name: entry for entry in entries if not fault_of(entry)}


def apply_difference(
    before: Mapping[str, TargetEntry], parts: Iterable[ListPart]
) -> dict[str, TargetEntry]:
    """Return `before` with the differences in `parts` applied."""
    parts = list(parts)
    gone = {name for part in parts for name in part.gone or ()}
    kept = {name: entry for name, entry in before.items() if name not in gone}
    return {**kept, **entries_in(parts)}


def _entry_of(row: TargetRow) -> TargetEntry:
    return TargetEntry(
        row.name or "",
        row.service_name or "",
        row.host or "",
        row.port or 0,
        row.data_hall or "",
        row.slots or 1,
        bool(row.leaving),
        row.born or 0,
        _cold_left_s(row),
    )


def _cold_left_s(row: TargetRow) -> float | None:
    """Return the remaining cold time in a peer's row, None if it has none or an impossible one."""
    left_s = row.cold_left_s
    if left_s is None or math.isnan(left_s) or not 0 <= left_s <= MAX_COLD_S:
        return None
    return left_s
