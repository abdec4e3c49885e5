"""A request's story, put together from the logs of boxes.

It holds the request's own lines, and what happened around them to the targets and boxes that they
name.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogRow", "Story", "read_rows", "seconds_of", "tell"]

AROUND_S = 2.0
"""How long before and after a request what happened to its targets is part of its story, in
seconds."""

_PLACED, _ENDED = "request placed", "request ended"
"""Messages of the lines that tell where a try goes, and how all ends."""

_ABOUT_TARGETS = {"target listed", "target gone", "target reports", "target failed a request"}
_ABOUT_BOX = {
    "configuration not read", "configuration read again", "list of targets not read",
    "list of targets read again", "draining", "drained", "started", "stopped",
    "stopping with open connections",
}  # fmt: skip
"""Messages about targets and boxes that may have to do with a request at the same time."""

_COMMON = {"time", "level", "logger", "message", "box", "request_id"}
"""What every line may have; the rest is a line's own."""


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
    request_id : str
        The request that it is about, empty if none.
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
            rows.append(_row(row))
    return rows


def _row(parsed: dict[str, Any]) -> LogRow:
    return LogRow(
        str(parsed.get("time", "")),
        str(parsed.get("box", "")),
        parsed["message"],
        str(parsed.get("request_id", "")),
        {name: value for name, value in parsed.items() if name not in _COMMON},
    )


def tell(request_id: str, rows: Iterable[LogRow]) -> Story:
    """Put a request's story together."""
    rows = sorted(rows, key=lambda row: row.time)
    own = [row for row in rows if row.request_id == request_id]
    story = Story()
    if not own:
        story.missing.append("no line of this request; is the log of its box among the files?")
        return story
    story.rows = _with_surroundings(own, rows)
    story.summary = _summary(own)
    story.missing = _missing(own)
    return story


def _with_surroundings(own: list[LogRow], rows: list[LogRow]) -> list[LogRow]:
    """Return a request's own lines, and those of its targets and boxes around them."""
    request_id = own[0].request_id
    boxes = {row.box for row in own}
    targets = {row.fields["target"] for row in own if "target" in row.fields}
    targets |= {name for row in own for name in row.fields.get("helper_names", ())}
    begin_s, end_s = seconds_of(own[0].time) - AROUND_S, seconds_of(own[-1].time) + AROUND_S
    return [
        row
        for row in rows
        if row.request_id == request_id
        or (begin_s <= seconds_of(row.time) <= end_s and _is_around(row, boxes, targets))
    ]


def _is_around(row: LogRow, boxes: set[str], targets: set[str]) -> bool:
    if row.message in _ABOUT_TARGETS:
        return row.fields.get("target") in targets
    return row.message in _ABOUT_BOX and row.box in boxes


def _summary(own: list[LogRow]) -> str:
    ended = next((row for row in reversed(own) if row.message == _ENDED), None)
    if ended is None:
        return "it has not ended, or its last line is missing"
    fields = ended.fields
    reason = f": {fields['reason']}" if fields.get("reason") else ""
    tries = sum(row.message == _PLACED for row in own)
    first_s = fields.get("first_event_s")
    first = f", first event after {first_s} s" if first_s is not None else ""
    return (
        f"{fields.get('outcome')} with status {fields.get('status')}{reason}, after "
        f"{fields.get('took_s')} s and {tries} tries at targets{first}"
    )


def _missing(own: list[LogRow]) -> list[str]:
    missing = []
    ended = [row for row in own if row.message == _ENDED]
    placed = sum(row.message == _PLACED for row in own)
    if not ended:
        missing.append("no line of its end: the box was killed, or the log ends before")
    elif placed < int(ended[-1].fields.get("offers", 0)):
        missing.append(f"{placed} of {ended[-1].fields['offers']} lines of its tries")
    return missing


def seconds_of(time: str) -> float:
    """Return the time of day in seconds; log times look like ``2026-05-09 14:27:27,279``."""
    clock = time.rpartition(" ")[2].replace(",", ".").split(":")
    try:
        hours, minutes, seconds = (float(part) for part in clock)
    except ValueError:
        return 0.0
    return hours * 3600 + minutes * 60 + seconds
