"""Edits of the table and the rules by which they are accepted. No I/O.

The table is kept as a head, which holds the last edits, and a snapshot of the revision before
them. An edit names the revision that its author saw; it is refused if one of its cells has
changed since.
"""

from collections.abc import Iterable
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
    "written_again",
]

_ROW_KINDS = ("organisation", "class")
_MAX_ROW_LENGTH = 160


class Cell(msgspec.Struct, frozen=True):
    """A cell and its new value.

    Parameters
    ----------
    row, knob : str
        Its place.
    value : bool, int, float, str or None
        The new value; None empties the cell, so that a weaker row counts.
    """

    row: str
    knob: str
    value: bool | int | float | str | None


class Edit(msgspec.Struct, frozen=True):
    """A change of some cells, accepted as a whole or not at all.

    Parameters
    ----------
    edit_id : str
        Unique, by which a lost answer is settled.
    revision : int
        The revision that it makes.
    cells : list of Cell
        What it changes.
    who, why : str
        Who asked for it, and for what reason.
    at_s : float
        When, in seconds since the epoch.
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
    """The newest edits and where their base is.

    Parameters
    ----------
    base : int
        The revision of the snapshot that the edits go on from.
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
    """A cell that somebody else has changed meanwhile."""

    row: str
    knob: str
    theirs: CellValue | None
    yours: CellValue | None


def check_cells(cells: Iterable[Cell]) -> list[Finding]:
    """Return everything that is wrong with the cells of an edit, each with its place."""
    findings = []
    for cell in cells:
        place = f"{cell.row} {cell.knob}"
        kind, _, name = cell.row.partition(":")
        named = kind in _ROW_KINDS and name and len(cell.row) <= _MAX_ROW_LENGTH
        if cell.row != DEFAULT_ROW and not named:
            message = "the row must be default, organisation:NAME or class:NAME"
            findings.append(Finding(place, message))
        knob = KNOBS.get(cell.knob)
        if knob is None:
            findings.append(Finding(place, f"there is no knob; there are {', '.join(KNOBS)}"))
        elif cell.value is not None:
            try:
                knob.parse(knob.render(cell.value))
            except ValueError as exc:
                findings.append(Finding(place, str(exc)))
    return findings


def conflicts_of(cells: Iterable[Cell], seen_revision: int, head: Head) -> list[CellConflict]:
    """Return the cells that were changed to something else after the author looked."""
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
    """Return the table after the edits that are newer than it."""
    rows = {row: dict(cells) for row, cells in table.rows.items()}
    revision = table.revision
    for edit in edits:
        if edit.revision <= revision:
            continue
        revision = edit.revision
        for cell in edit.cells:
            cells = rows.setdefault(cell.row, {})
            cells.pop(cell.knob, None)
            if cell.value is not None:
                cells[cell.knob] = cell.value
            if not cells:
                del rows[cell.row]
    return Table(revision, rows, table.era)


def lost_edits(held: Iterable[Edit], head: Head) -> list[Edit]:
    """Return the edits that were accepted and that the table has lost, in their order.

    A store that came back from a copy lacks the last ones. Another one may be lost to a write that
    was under way meanwhile, and held by accident.
    """
    kept = {edit.edit_id for edit in head.edits}
    return [edit for edit in held if edit.edit_id not in kept and edit.revision > head.base]


def written_again(lost: Iterable[Edit], held: Iterable[Edit], head: Head) -> list[Edit]:
    """Return the edits that bring back lost ones, to be put after a head.

    An edit that was made meanwhile is not undone: its author did not see the lost one, but has
    decided later. So its cells keep what it has set, and the history says which those are.
    """
    known = {edit.edit_id for edit in held}
    meanwhile = {
        (cell.row, cell.knob): cell.value
        for edit in head.edits
        if edit.edit_id not in known
        for cell in edit.cells
    }
    return [_again(edit, meanwhile, head.revision + n) for n, edit in enumerate(lost, 1)]


def _again(edit: Edit, meanwhile: dict[tuple[str, str], CellValue | None], revision: int) -> Edit:
    places = {(cell.row, cell.knob): cell.value for cell in edit.cells}
    left = [p for p, value in places.items() if p in meanwhile and meanwhile[p] != value]
    cells = [cell for cell in edit.cells if (cell.row, cell.knob) not in left]
    why = f"{edit.why} (written again: the store had lost it)"
    if left:
        why += "; left as set meanwhile: " + ", ".join(f"{row} {knob}" for row, knob in left)
    return Edit(edit.edit_id, revision, cells, edit.who, why, edit.at_s)
