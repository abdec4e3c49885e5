"""CSV files of the table of weights and limits, and the differences between its revisions."""

import csv
import io
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from ..errors import GladedrumError
from ..table import KNOBS, CellValue

__all__ = [
    "CellChange",
    "Rows",
    "TableFile",
    "TableUsageError",
    "cells_to_edit",
    "changes_between",
    "parse_cell",
    "read_file",
    "rows_at",
    "to_file",
]  # fmt: skip

Rows = Mapping[str, Mapping[str, CellValue]]
"""Cells by row and knob."""

_NO_VALUE = ""
_ROW_COLUMN = "row"
_REVISION_PREFIX = "# revision "
"""Prefix of the first line of an exported file, which holds its revision. An import conflicts
if others have changed one of the imported cells since then."""

_END_LINE = "# end"
"""Last line of an exported file. An import clears the cells that a file lacks, so the end of a file
that was cut must not be taken for the end of its table."""


class TableUsageError(GladedrumError):
    """Invalid arguments or an invalid file for a command on the table."""


class TableFile(NamedTuple):
    """The cells of a file, and the revision it was exported at; None if the file has none."""

    rows: dict[str, dict[str, CellValue]]
    revision: int | None


class CellChange(TypedDict):
    """A cell that differs; a value of None means an empty cell."""

    row: str
    knob: str
    before: CellValue | None
    after: CellValue | None


def to_file(rows: Rows, revision: int | None = None) -> str:
    """Return a table as CSV; with a revision, the first line holds it, and the last one the end."""
    out = io.StringIO()
    if revision is not None:
        out.write(f"{_REVISION_PREFIX}{revision}\n")
    writer = csv.DictWriter(out, [_ROW_COLUMN, *KNOBS], lineterminator="\n")
    writer.writeheader()
    for row, cells in sorted(rows.items()):
        texts = {knob: KNOBS[knob].render(value) for knob, value in cells.items()}
        writer.writerow({_ROW_COLUMN: row, **texts})
    if revision is not None:
        out.write(f"{_END_LINE}\n")
    return out.getvalue()


def read_file(text: str) -> TableFile:
    """Parse a file; raises `TableUsageError` with all invalid lines, or if it is cut."""
    revision, first_row_line = None, 2
    if text.startswith(_REVISION_PREFIX):
        line, _, text = text.partition("\n")
        revision = _revision_of(line)
        first_row_line += 1
    rows: dict[str, dict[str, CellValue]] = {}
    problems = []
    reader = csv.DictReader(io.StringIO(text))
    if _ROW_COLUMN not in (reader.fieldnames or ()):
        raise TableUsageError(f"line {first_row_line - 1}: expected a heading with a column 'row'")
    number = end_line = 0
    for number, fields in enumerate(reader, first_row_line):
        row = fields.pop(_ROW_COLUMN, None)
        if row == _END_LINE and not end_line:
            end_line = number
            continue
        if not row or None in fields:
            problems.append(f"line {number}: expected a row name and one value per column")
            continue
        try:
            cells = {k: parse_cell(row, k, v) for k, v in fields.items() if v}
            rows[row] = {k: v for k, v in cells.items() if v is not None}
        except TableUsageError as exc:
            problems.append(f"line {number}: {exc}")
    if 0 < end_line < number:
        problems.append(f"line {end_line}: {_END_LINE!r} is not the last line")
    if revision is not None and not end_line:
        problems.append(
            f"the last line is not {_END_LINE!r}, so the file may be cut; add it if not"
        )
    if problems:
        raise TableUsageError("\n".join(problems))
    return TableFile(rows, revision)


def _revision_of(line: str) -> int:
    text = line.removeprefix(_REVISION_PREFIX).strip()
    if not text.isdecimal():
        raise TableUsageError(
            f"line 1: {text!r} is not a revision; remove the line to import all cells"
        )
    return int(text)


def parse_cell(row: str, knob: str, text: str) -> CellValue | None:
    """Parse the value of a cell, None for an empty text; raises `TableUsageError`."""
    if text == _NO_VALUE:
        return None
    if knob not in KNOBS:
        raise TableUsageError(f"{row} {knob}: unknown knob; use one of {', '.join(KNOBS)}")
    try:
        return KNOBS[knob].parse(text)
    except ValueError as exc:
        raise TableUsageError(f"{row} {knob}: {exc}") from exc


def cells_to_edit(before: Rows, after: Rows) -> Iterable[dict]:
    """Yield the cells of an edit that changes the table `before` to `after`."""
    for change in changes_between(before, after):
        yield {"row": change["row"], "knob": change["knob"], "value": change["after"]}


def changes_between(before: Rows, after: Rows) -> list[CellChange]:
    """Return all cells that differ, sorted by row and in the order of the columns."""
    changes = []
    for row in sorted(before.keys() | after.keys()):
        old, new = before.get(row, {}), after.get(row, {})
        changes += [
            CellChange(row=row, knob=knob, before=old.get(knob), after=new.get(knob))
            for knob in KNOBS
            if old.get(knob) != new.get(knob)
        ]
    return changes


def rows_at(revision: int, newest: int, rows: Rows, edits: Iterable[dict]) -> Rows:
    """Return the table as it was at a revision.

    Parameters
    ----------
    revision : int
        The requested revision.
    newest : int
        The revision of `rows`.
    rows : mapping
        The newest table.
    edits : iterable of dict
        The history, newest edit first. For each cell changed after `revision`, it must also
        contain the last edit of the cell up to `revision`.

    Raises
    ------
    TableUsageError
        If the revision does not exist, or the history does not reach back far enough.
    """
    edits = sorted(edits, key=lambda edit: edit["revision"])
    if not 0 <= revision <= newest:
        raise TableUsageError(f"there is no revision {revision}; the newest is {newest}")
    undone = [edit for edit in edits if edit["revision"] > revision]
    if len(undone) < newest - revision:
        oldest = edits[0]["revision"] if edits else newest
        raise TableUsageError(f"the history begins at {oldest}, after revision {revision}")
    changed_since = {(cell["row"], cell["knob"]) for edit in undone for cell in edit["cells"]}
    earlier = {
        (cell["row"], cell["knob"]): cell["value"]
        for edit in edits
        if edit["revision"] <= revision
        for cell in edit["cells"]
    }
    earlier_rows = {row: dict(cells) for row, cells in rows.items()}
    for row, knob in changed_since:
        cells = earlier_rows.setdefault(row, {})
        cells.pop(knob, None)
        if earlier.get((row, knob)) is not None:
            cells[knob] = earlier[row, knob]
    return {row: cells for row, cells in earlier_rows.items() if cells}
