"""``gladedrumctl table``: shows and edits the table of weights and limits.

A row of the table holds for an organisation, a class of requests or all; a knob is a column. Each
accepted edit makes a new revision. An edit names the revision that its author has seen, and
conflicts with later changes of the same cells.
"""

import argparse
import getpass
import sys
from collections.abc import Iterable
from http import HTTPStatus
from pathlib import Path

from ..table import KNOBS, CellValue
from ..utils import JsonReply
from .calls import UnreachableError, add_operators, call_operators
from .command import Command, ExitCode, print_json, print_table
from .table_files import (
    Rows,
    TableUsageError,
    cells_to_edit,
    changes_between,
    parse_cell,
    read_file,
    rows_at,
    to_file,
)

__all__ = ["COMMANDS", "TableUsageError"]

MAX_HISTORY_EDITS = 1000
"""Maximum number of edits read from the history."""


def _add_edit(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument("--why", default="", help="reason, stored with the edit")
    parser.add_argument("--who", default=getpass.getuser(), help="author of the edit")
    parser.add_argument(
        "--dry-run", action="store_true", help="show the changes without applying them"
    )
    parser.add_argument(
        "--seen", type=int, help="revision that the edit is based on; default: newest"
    )


async def _call(
    args: argparse.Namespace, reactor, method: str, path: str, body: object = None
) -> JsonReply:
    return await call_operators(args, reactor, method, f"table/{path}", body)


# Reading.


def _add_show(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument(
        "--row", default="", metavar="TEXT", help="only rows whose name contains TEXT"
    )
    parser.add_argument("--csv", action="store_true", help="print CSV, for spreadsheets")


async def _show(args: argparse.Namespace, reactor) -> ExitCode:
    body = (await _call(args, reactor, "GET", "rows")).body
    rows = {row: cells for row, cells in sorted(body["rows"].items()) if args.row in row}
    if args.json:
        print_json({"revision": body["revision"], "rows": rows})
    elif args.csv:
        print(to_file(rows), end="")
    else:
        print_table(
            ["ROW", *KNOBS], [[row, *(cells.get(k) for k in KNOBS)] for row, cells in rows.items()]
        )
        print(f"revision {body['revision']}")
    return ExitCode.OK


def _add_get(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument("row")
    parser.add_argument("knob", choices=list(KNOBS))


async def _get(args: argparse.Namespace, reactor) -> ExitCode:
    body = (await _call(args, reactor, "GET", "rows")).body
    value = body["rows"].get(args.row, {}).get(args.knob)
    if args.json:
        print_json({"row": args.row, "knob": args.knob, "value": value})
    else:
        print("" if value is None else KNOBS[args.knob].render(value))
    return ExitCode.OK if value is not None else ExitCode.FAILED


async def _knobs(args: argparse.Namespace, reactor) -> ExitCode:
    rows = [[k.name, k.render(k.default), k.unit, k.description] for k in KNOBS.values()]
    if args.json:
        heading = ("name", "default", "unit", "description")
        print_json([dict(zip(heading, row, strict=True)) for row in rows])
    else:
        print_table(["KNOB", "DEFAULT", "UNIT", "MEANING"], rows)
    return ExitCode.OK


async def _status(args: argparse.Namespace, reactor) -> ExitCode:
    boxes = (await _call(args, reactor, "GET", "status")).body["boxes"]
    if args.json:
        print_json(boxes)
    else:
        print_table(
            ["BOX", "REVISION", "AGE S"], [[b["box"], b["revision"], b["age_s"]] for b in boxes]
        )
    agreed = len({b["revision"] for b in boxes}) == 1
    return ExitCode.OK if agreed else ExitCode.FAILED


def _add_history(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument("--count", type=int, default=20, help="number of edits")


async def _history(args: argparse.Namespace, reactor) -> ExitCode:
    reply = await _call(args, reactor, "GET", f"history?count={args.count}")
    if reply.status != 200:
        return _print_reply(args, reply)
    edits = reply.body["edits"]
    if args.json:
        print_json(edits)
        return ExitCode.OK
    print_table(
        ["REVISION", "WHO", "WHY", "ROW", "KNOB", "VALUE"],
        [
            [e["revision"], e["who"], e["why"], c["row"], c["knob"], c["value"]]
            for e in edits
            for c in e["cells"]
        ],
    )
    return ExitCode.OK


def _add_export(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument("--at", type=int, metavar="REV", help="revision to export; default: newest")


async def _export(args: argparse.Namespace, reactor) -> ExitCode:
    body = (await _call(args, reactor, "GET", "rows")).body
    revision = body["revision"] if args.at is None else args.at
    rows = await _fetch_rows_at(args, reactor, revision, body)
    if args.json:
        print_json({"revision": revision, "rows": rows})
    else:
        print(to_file(rows, revision), end="")
    return ExitCode.OK


def _add_diff(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument("before", type=int, metavar="REV", help="the older revision")
    parser.add_argument(
        "after", type=int, nargs="?", metavar="REV", help="the newer revision; default: newest"
    )


async def _diff(args: argparse.Namespace, reactor) -> ExitCode:
    body = (await _call(args, reactor, "GET", "rows")).body
    before = await _fetch_rows_at(args, reactor, args.before, body)
    after = await _fetch_rows_at(args, reactor, args.after, body)
    changes = changes_between(before, after)
    if args.json:
        print_json(changes)
    else:
        print_table(["ROW", "KNOB", "BEFORE", "AFTER"], [list(row.values()) for row in changes])
    return ExitCode.OK


async def _fetch_rows_at(
    args: argparse.Namespace, reactor, revision: int | None, newest: dict
) -> Rows:
    if revision is None or revision == newest["revision"]:
        return newest["rows"]
    edits = await _fetch_edits(args, reactor)
    return rows_at(revision, newest["revision"], newest["rows"], edits)


async def _fetch_edits(args: argparse.Namespace, reactor) -> list[dict]:
    """Return the history, the newest edit first."""
    reply = await _call(args, reactor, "GET", f"history?count={MAX_HISTORY_EDITS}")
    if reply.status != HTTPStatus.OK:
        raise UnreachableError(reply.body.get("reason", f"status {reply.status}"))
    return reply.body["edits"]


# Editing.


def _add_set(parser: argparse.ArgumentParser) -> None:
    _add_edit(parser)
    parser.add_argument(
        "cells", nargs="+", metavar="ROW KNOB=VALUE",
        help="a row and its new cells; an empty value clears the cell",
    )  # fmt: skip


async def _set(args: argparse.Namespace, reactor) -> ExitCode:
    row, *pairs = args.cells
    if not pairs:
        raise TableUsageError("give a row and at least one KNOB=VALUE")
    cells = []
    for pair in pairs:
        knob, equals, text = pair.partition("=")
        if not equals:
            raise TableUsageError(f"{pair!r} is not of the form KNOB=VALUE")
        cells.append({"row": row, "knob": knob, "value": parse_cell(row, knob, text)})
    return await _edit(args, reactor, cells)


def _add_import(parser: argparse.ArgumentParser) -> None:
    _add_edit(parser)
    parser.add_argument("file", metavar="FILE.csv", help="as `table export` prints it")


async def _import(args: argparse.Namespace, reactor) -> ExitCode:
    file = read_file(Path(args.file).read_text(encoding="utf-8"))
    body = (await _call(args, reactor, "GET", "rows")).body
    revision = body["revision"]
    base = body["rows"]
    if args.seen is None:
        args.seen = revision if file.revision is None else file.revision
    if file.revision is not None and file.revision != revision:
        # Import only the cells that the author has changed, not those that others changed since.
        base = rows_at(file.revision, revision, base, await _fetch_edits(args, reactor))
    cells = list(cells_to_edit(base, file.rows))
    if not cells:
        print("nothing differs")
        return ExitCode.OK
    return await _edit(args, reactor, cells)


def _add_undo(parser: argparse.ArgumentParser) -> None:
    _add_edit(parser)
    parser.add_argument("revision", type=int, help="the edit to undo")


async def _undo(args: argparse.Namespace, reactor) -> ExitCode:
    edits = await _fetch_edits(args, reactor)
    edit = next((e for e in edits if e["revision"] == args.revision), None)
    if edit is None:
        raise TableUsageError(f"the history does not hold revision {args.revision}")
    older = [e for e in edits if e["revision"] < args.revision]
    cells = [{**cell, "value": _value_before(older, cell)} for cell in edit["cells"]]
    args.seen = args.revision if args.seen is None else args.seen
    args.why = args.why or f"undo of revision {args.revision}"
    return await _edit(args, reactor, cells)


def _value_before(older: Iterable[dict], cell: dict) -> CellValue | None:
    for edit in older:
        for other in edit["cells"]:
            if (other["row"], other["knob"]) == (cell["row"], cell["knob"]):
                return other["value"]
    return None


async def _edit(args: argparse.Namespace, reactor, cells: list[dict]) -> ExitCode:
    seen = args.seen
    if seen is None:
        seen = (await _call(args, reactor, "GET", "rows")).body["revision"]
    if args.dry_run and not args.json:
        rows = [[c["row"], c["knob"], c["value"]] for c in cells]
        print_table(["ROW", "KNOB", "NEW VALUE"], rows)
    body = {
        "cells": cells,
        "seen_revision": seen,
        "who": args.who,
        "why": args.why,
        "dry_run": args.dry_run,
    }
    return _print_reply(args, await _call(args, reactor, "POST", "edits", body))


def _print_reply(args: argparse.Namespace, reply: JsonReply) -> ExitCode:
    body = reply.body
    if args.json:
        print_json(body)
    match body["result"]:
        case "accepted":
            text, code = f"accepted at revision {body['revision']}", ExitCode.OK
        case "dry-run":
            text, code = f"would change {body['cells']} cells", ExitCode.OK
        case "conflict":
            lines = [
                f"{c['row']} {c['knob']}: theirs {c['theirs']}, yours {c['yours']}"
                for c in body["conflicts"]
            ]
            text, code = "not applied, others changed:\n" + "\n".join(lines), ExitCode.CONFLICT
        case "unknown":
            text = f"unknown whether it was applied (edit {body['edit_id']}): {body['reason']}"
            code = ExitCode.UNKNOWN
        case "not-applied":
            text, code = f"not applied: {body['reason']}", ExitCode.UNAVAILABLE
        case _:
            places = [f"{f['place']}: {f['message']}" for f in body.get("findings", [])]
            text = "refused: " + "\n".join(places or [body.get("reason", "")])
            code = ExitCode.USAGE
    if not args.json:
        print(text, file=sys.stdout if code == ExitCode.OK else sys.stderr)
    return code


COMMANDS = [
    Command("table show", "Show the table.", _add_show, _show),
    Command("table get", "Print one cell.", _add_get, _get),
    Command("table set", "Change cells of a row.", _add_set, _set),
    Command("table export", "Print the table as a file to edit and import.", _add_export, _export),
    Command("table diff", "Show the changes between two revisions.", _add_diff, _diff),
    Command(
        "table import", "Change the table to the contents of a CSV file.", _add_import, _import
    ),
    Command("table undo", "Undo an edit.", _add_undo, _undo),
    Command("table history", "Show the last edits.", _add_history, _history),
    Command("table status", "Show the revision at each box.", add_operators, _status),
    Command("table knobs", "Explain the columns.", lambda _parser: None, _knobs),
]
"""The commands of this module."""
