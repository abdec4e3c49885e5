"""``gladedrumctl explain``: a request's story, put together from the logs of boxes."""

import argparse
import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

from .command import Command, ExitCode, print_json

__all__ = ["COMMANDS", "LogRow", "Story", "read_rows", "tell"]

AROUND_S = 2.0
"""How long before and after a request what happened to its targets is part of its story, in
seconds."""

_ABOUT_TARGETS = {"target listed", "target gone", "target reports", "target failed a request"}
_ABOUT_BOX = {
    "configuration not read", "configuration read again", "list of targets not read",
    "list of targets read again", "draining", "drained", "started", "stopped",
    "stopping with open connections",
}  # fmt: skip
_COMMON = {"time", "level", "logger", "message", "box", "request_id"}


@dataclass(frozen=True)
class LogRow:
    """A line of a box's log.

    Parameters
    ----------
    time : str
        Its time of day, as the box wrote it.
    box : str
        The box.
    message : str
        What it says.
    fields : dict
        Everything else.
    """

    time: str
    box: str
    message: str
    request_id: str
    fields: dict[str, Any]


@dataclass
class Story:
    """What the logs say of one request.

    Parameters
    ----------
    rows : list of LogRow
        Its own lines, and those of its targets and boxes around it, in order of time.
    summary : str
        How it ended, in a sentence.
    missing : list of str
        What should be there and is not.
    """

    rows: list[LogRow] = field(default_factory=list)
    summary: str = ""
    missing: list[str] = field(default_factory=list)


def read_rows(lines: Iterable[str]) -> list[LogRow]:
    """Return the lines that are rows of a log; others are passed over.

    What stands in front of the JSON, as collectors of logs put it there, is ignored.
    """
    rows = []
    for line in lines:
        begin = line.find("{")
        try:
            row = json.loads(line[begin:]) if begin >= 0 else None
        except ValueError:
            continue
        if isinstance(row, dict) and "message" in row:
            rest = {name: value for name, value in row.items() if name not in _COMMON}
            rows.append(
                LogRow(
                    str(row.get("time", "")),
                    str(row.get("box", "")),
                    row["message"],
                    str(row.get("request_id", "")),
                    rest,
                )
            )
    return rows


def tell(request_id: str, rows: Iterable[LogRow]) -> Story:
    """Put a request's story together."""
    rows = sorted(rows, key=lambda row: row.time)
    own = [row for row in rows if row.request_id == request_id]
    story = Story()
    if not own:
        story.missing.append("no line of this request; is the log of its box among the files?")
        return story
    boxes = {row.box for row in own}
    targets = {row.fields["target"] for row in own if "target" in row.fields}
    targets |= {name for row in own for name in row.fields.get("helper_names", ())}
    begin_s, end_s = _seconds(own[0].time) - AROUND_S, _seconds(own[-1].time) + AROUND_S
    story.rows = [
        row
        for row in rows
        if row.request_id == request_id
        or (begin_s <= _seconds(row.time) <= end_s and _is_around(row, boxes, targets))
    ]
    story.summary = _summary(own)
    story.missing = _missing(own)
    return story


def _is_around(row: LogRow, boxes: set[str], targets: set[str]) -> bool:
    if row.message in _ABOUT_TARGETS:
        return row.fields.get("target") in targets
    return row.message in _ABOUT_BOX and row.box in boxes


def _summary(own: list[LogRow]) -> str:
    ended = next((row for row in reversed(own) if row.message == "request ended"), None)
    if ended is None:
        return "it has not ended, or its last line is missing"
    fields = ended.fields
    reason = f": {fields['reason']}" if fields.get("reason") else ""
    tries = sum(row.message == "request placed" for row in own)
    first_s = fields.get("first_event_s")
    first = f", first event after {first_s} s" if first_s is not None else ""
    return (
        f"{fields.get('outcome')} with status {fields.get('status')}{reason}, after "
        f"{fields.get('took_s')} s and {tries} tries at targets{first}"
    )


def _missing(own: list[LogRow]) -> list[str]:
    missing = []
    ended = [row for row in own if row.message == "request ended"]
    placed = sum(row.message == "request placed" for row in own)
    if not ended:
        missing.append("no line of its end: the box was killed, or the log ends before")
    elif placed < int(ended[-1].fields.get("offers", 0)):
        missing.append(f"{placed} of {ended[-1].fields['offers']} lines of its tries")
    return missing


def _seconds(time: str) -> float:
    """Return the time of day in seconds; log times look like ``2026-05-09 14:27:27,279``."""
    clock = time.rpartition(" ")[2].replace(",", ".").split(":")
    try:
        hours, minutes, seconds = (float(part) for part in clock)
    except ValueError:
        return 0.0
    return hours * 3600 + minutes * 60 + seconds


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request_id", metavar="ID", help="the request's id")
    parser.add_argument(
        "--logs", nargs="+", metavar="FILE", default=["-"],
        help="logs of boxes, one or more; - is standard input",
    )  # fmt: skip


async def _explain(args: argparse.Namespace, reactor) -> ExitCode:
    rows = []
    for name in args.logs:
        if name == "-":
            rows += read_rows(sys.stdin)
            continue
        try:
            with Path(name).open(errors="replace") as file:
                rows += read_rows(file)
        except OSError as exc:
            print(f"gladedrumctl: {name}: {exc.strerror}", file=sys.stderr)
            return ExitCode.USAGE
    story = tell(args.request_id, rows)
    if args.json:
        print_json(
            {
                "request_id": args.request_id,
                "summary": story.summary,
                "missing": story.missing,
                "rows": [vars(row) for row in story.rows],
            }
        )
    else:
        _print_story(story, sys.stdout)
    return ExitCode.OK if story.rows else ExitCode.FAILED


def _print_story(story: Story, out: TextIO) -> None:
    for row in story.rows:
        mark = "*" if row.request_id else " "
        fields = " ".join(f"{name}={value}" for name, value in row.fields.items())
        print(f"{mark} {row.time} {row.box}  {row.message}  {fields}", file=out)
    if story.summary:
        print(f"\nThe request: {story.summary}.", file=out)
    for text in story.missing:
        print(f"Missing: {text}.", file=out)


COMMANDS = [
    Command(
        "explain",
        "Tell a request's story from the logs of boxes: its lines (*), and around them what "
        "happened to its targets and boxes.",
        _add_arguments,
        _explain,
    )
]
