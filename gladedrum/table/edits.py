"""Edits of the table and the rules for accepting them; without I/O.

The table is stored as a head, which holds the newest edits, and a snapshot of the revision before
them (the base). If the head grows too long, its older edits move into a new snapshot.

An edit names the revision that its author saw, and is rejected if one of its cells has been set to
another value since then (optimistic concurrency control).
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..errors import Finding
from .core import DEFAULT_ROW, Table
from .knobs import KNOBS, CellValue

__all__ = [
    "Cell",
    "CellConflict",
    "Edit",
    "Head",
    "Snapshot",
    "apply_edits",
    "check_cells",
    "conflicts_of",
    "lost_edits",
    "restoring_edits",
    "usable_rows",
]

_ROW_KINDS = ("organisation", "class")
_MAX_ROW_LENGTH = 160


class Cell(msgspec.Struct, frozen=True):
    """A cell and its new value.

    Parameters
    ----------
    row, knob : str
        The names of its row and column.
    value : bool, int, float, str or None
        The new value; None clears the cell, so that a row of lower precedence applies.
    """

    row: str
    knob: str
    value: bool | int | float | str | None


class Edit(msgspec.Struct, frozen=True):
    """An atomic change of one or more cells.

    Parameters
    ----------
    edit_id : str
        Unique. After a lost reply it shows whether the edit was applied.
    revision : int
        The revision that the edit creates.
    cells : list of Cell
        The cells that it changes, with their new values.
    who, why : str
        The author, and the reason given.
    at_s : float
        When the edit was made, in seconds since the epoch.
    """

    edit_id: str
    revision: int
    cells: list[Cell]
    who: str
    why: str
    at_s: float


class Snapshot(msgspec.Struct):
    """All cells at one revision."""

    revision: int = 0
    rows: dict[str, dict[str, bool | int | float | str]] = {}


class Head(msgspec.Struct):
    """The newest edits, and the revision that they follow.

    Parameters
    ----------
    base : int
        The revision of the snapshot to which the edits are applied.
    edits : list of Edit
        In order of revision.
    """

    base: int = 0
    edits: list[Edit] = []

    @property
    def revision(self) -> int:
        """The newest revision."""
        return self.edits[-1].revision if self.edits else self.base


class CellConflict(NamedTuple):
    """A cell that another edit has changed since the author looked."""

    row: str
    knob: str
    theirs: CellValue | None
    yours: CellValue | None


def check_cells(cells: Iterable[Cell]) -> list[Finding]:
    """Return all errors in the cells of an edit, each with its row and knob."""
    findings = []
    for cell in cells:
        place = f"{cell.row} {cell.knob}"
        kind, _, name = cell.row.partition(":")
        is_named_row = kind in _ROW_KINDS and name and len(cell.row) <= _MAX_ROW_LENGTH
        if cell.row != DEFAULT_ROW and not is_named_row:
            message = "the row must be default, organisation:NAME or class:NAME"
            findings.append(Finding(place, message))
        knob = KNOBS.get(cell.knob)
        if knob is None:
            findings.append(Finding(place, f"unknown knob; use one of {', '.join(KNOBS)}"))
        elif cell.value is not None:
            try:
                knob.parse(knob.render(cell.value))
            except ValueError as exc:
                findings.append(Finding(place, str(exc)))
    return findings


def usable_rows(rows: Mapping[str, Mapping[str, CellValue]]) -> dict[str, dict[str, CellValue]]:
    """Return the rows of a snapshot without cells that no edit could have set."""
    usable = {
        row: {knob: v for knob, v in cells.items() if not check_cells([Cell(row, knob, v)])}
        for row, cells in rows.items()
    }
    return {row: cells for row, cells in usable.items() if cells}


def conflicts_of(cells: Iterable[Cell], seen_revision: int, head: Head) -> list[CellConflict]:
    """Return the cells that were set to another value after the revision that the author saw."""
    mine = {(c.row, c.knob): c.value for c in cells}
    theirs = {
        (c.row, c.knob): c.value
        for edit in head.edits
        if edit.revision > seen_revision
        for c in edit.cells
    }
    return [
        CellConflict(*place, theirs[place], value)
        for place, value in mine.items()
        if place in theirs and theirs[place] != value
    ]


def apply_edits(table: Table, edits: Iterable[Edit]) -> Table:
    """Apply the edits that are newer than the table, and return the result."""
    rows = {row: dict(cells) for row, cells in table.rows.items()}
    revision = table.revision
    for edit in edits:
        if edit.revision <= revision:
            continue
        revision = edit.revision
        for cell in edit.cells:
            if check_cells([cell]):
                # Not written by a box, which checks edits before it accepts them.
                continue
            cells = rows.setdefault(cell.row, {})
            cells.pop(cell.knob, None)
            if cell.value is not None:
                cells[cell.knob] = cell.value
            if not cells:
                del rows[cell.row]
    return Table(revision, rows, table.era)


def lost_edits(accepted: Iterable[Edit], head: Head) -> list[Edit]:
    """Return the accepted edits that are missing from the stored table, in their order.

    A store that was restored from a copy lacks the newest edits. After a restore, a write that
    was under way may also overwrite newer edits, since revisions are assigned again and its
    compare-and-swap can succeed by accident. Edits up to the head's base are not compared, since
    the head does not list them.
    """
    stored = {edit.edit_id for edit in head.edits}
    return [edit for edit in accepted if edit.edit_id not in stored and edit.revision > head.base]


def restoring_edits(lost: Iterable[Edit], accepted: Iterable[Edit], head: Head) -> list[Edit]:
    """Return edits that restore the lost ones, to be appended to a head.

    A restored edit keeps its id, so that it is not restored twice, but gets a new revision. Cells
    that were set since the loss keep their later values; the reason of the edit lists them.
    """
    known = {edit.edit_id for edit in accepted}
    set_since = {
        (cell.row, cell.knob): cell.value
        for edit in head.edits
        if edit.edit_id not in known
        for cell in edit.cells
    }
    return [_restoring_edit(edit, set_since, head.revision + n) for n, edit in enumerate(lost, 1)]


def _restoring_edit(
    edit: Edit, set_since: dict[tuple[str, str], CellValue | None], revision: int
) -> Edit:
    values = {(cell.row, cell.knob): cell.value for cell in edit.cells}
    skipped = [k for k, value in values.items() if k in set_since and set_since[k] != value]
    cells = [cell for cell in edit.cells if (cell.row, cell.knob) not in skipped]
    why = f"{edit.why} (written again: the store had lost it)"
    if skipped:
        why += "; left as set meanwhile: " + ", ".join(f"{row} {knob}" for row, knob in skipped)
    return Edit(edit.edit_id, revision, cells, edit.who, why, edit.at_s)
