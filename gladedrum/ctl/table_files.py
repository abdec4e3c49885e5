"""The table of weights and limits as a file, and what has changed between two revisions."""

import csv
import io
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from ..errors import GladedrumError
from ..table import KNOBS, CellValue

__all__ = [
    "CellChange", "Rows", "TableFile", "TableUsageError", "changes_between", "differences",
    "parse_cell", "read_file", "rows_at", "to_file",
]  # fmt: skip

Rows = Mapping[str, Mapping[str, CellValue]]
"""Cells by row and knob."""

_NO_VALUE = ""
_ROW_COLUMN = "row"
_REVISION_MARK = "# revision "
"""The first line of an exported file; an import is refused where others have changed since then
what it changes."""


class TableUsageError(GladedrumError):
    """What was given for the table makes no sense."""


class TableFile(NamedTuple):
    """A file's cells, and the revision that it was exported at, None if it does not say."""

    rows: dict[str, dict[str, CellValue]]
    revision: int | None


class CellChange(TypedDict):
    """A cell that differs; a value of None: it is empty."""

    row: str
    knob: str
    before: CellValue | None
    after: CellValue | None


def to_file(rows: Rows, revision: int | None = None) -> str:
    """Return a table as CSV; with its revision in the first line, if one is given."""
    out = io.StringIO()
    if revision is not None:
        out.write(f"{_REVISION_MARK}{revision}\n")
    writer = csv.DictWriter(out, [_ROW_COLUMN, *KNOBS], lineterminator="\n")
    writer.writeheader()
    for row, cells in sorted(rows.items()):
        texts = {knob: KNOBS[knob].render(value) for knob, value in cells.items()}
        writer.writerow({_ROW_COLUMN: row, **texts})
    return out.getvalue()


def read_file(text: str) -> TableFile:
    """Return what a file says; raises `TableUsageError` with every line that is wrong."""
    revision, first_line = None, 2
    if text.startswith(_REVISION_MARK):
        line, _, text = text.partition("\n")
        revision = _revision_of(line)
        first_line += 1
    rows: dict[str, dict[str, CellValue]] = {}
    problems = []
    for number, fields in enumerate(csv.DictReader(io.StringIO(text)), first_line):
        row = fields.pop(_ROW_COLUMN, None)
        if not row or None in fields:
            problems.append(f"line {number}: there must be a row name and one value a column")
            continue
        try:
            cells = {k: parse_cell(row, k, v) for k, v in fields.items() if v}
            rows[row] = {k: v for k, v in cells.items() if v is not None}
        except TableUsageError as exc:
            problems.append(f"line {number}: {exc}")
    if problems:
        raise TableUsageError("\n".join(problems))
    return TableFile(rows, revision)


def _revision_of(line: str) -> int:
    text = line.removeprefix(_REVISION_MARK).strip()
    if not text.isdecimal():
        raise TableUsageError(f"line 1: {text!r} is no revision; leave the line out to import all")
    return int(text)


def parse_cell(row: str, knob: str, text: str) -> CellValue | None:
    """Return a cell's value, None for an empty text; raises `TableUsageError`."""
    if text == _NO_VALUE:
        return None
    if knob not in KNOBS:
        raise TableUsageError(f"{row} {knob}: there is no knob; there are {', '.join(KNOBS)}")
    try:
        return KNOBS[knob].parse(text)
    except ValueError as exc:
        raise TableUsageError(f"{row} {knob}: {exc}") from exc


def differences(have: Rows, want: Rows) -> Iterable[dict]:
    """Yield the cells that make one table another, as an edit takes them."""
    for change in changes_between(have, want):
        yield {"row": change["row"], "knob": change["knob"], "value": change["after"]}


def changes_between(before: Rows, after: Rows) -> list[CellChange]:
    """Return every cell that differs, by row and in the order of the columns."""
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
        The revision that is asked for.
    newest : int
        The revision of `rows`.
    rows : mapping
        The newest table.
    edits : iterable of dict
        The history, the newest edit first; must go back to before `revision` where a cell was
        last set.

    Raises
    ------
    TableUsageError
        If the revision is not there, or the history does not go back far enough.
    """
    edits = sorted(edits, key=lambda edit: edit["revision"])
    if not 0 <= revision <= newest:
        raise TableUsageError(f"there is no revision {revision}; the newest is {newest}")
    undone = [edit for edit in edits if edit["revision"] > revision]
    if len(undone) < newest - revision:
        oldest = edits[0]["revision"] if edits else newest
        raise TableUsageError(f"the history begins at {oldest}, after revision {revision}")
    touched = {(cell["row"], cell["knob"]) for edit in undone for cell in edit["cells"]}
    earlier = {
        (cell["row"], cell["knob"]): cell["value"]
        for edit in edits
        if edit["revision"] <= revision
        for cell in edit["cells"]
    }
    then = {row: dict(cells) for row, cells in rows.items()}
    for row, knob in touched:
        cells = then.setdefault(row, {})
        cells.pop(knob, None)
        if earlier.get((row, knob)) is not None:
            cells[knob] = earlier[row, knob]
    return {row: cells for row, cells in then.items() if cells}
