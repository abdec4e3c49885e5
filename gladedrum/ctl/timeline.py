"""Timeline of a request, built from the logs of boxes.

It holds the request's own log lines, and events of its targets and boxes at about the same time.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogRow", "Timeline", "build_timeline", "parse_log_lines", "time_of_day_s"]

CONTEXT_S = 2.0
"""Events up to this long before and after a request are part of its timeline."""

_PLACED, _ENDED = "request placed", "request ended"
"""Messages logged for each attempt at a target and for the end of a request; the field ``offers``
of the latter is the number of attempts."""

_TARGET_EVENTS = {
    "target listed", "target gone", "target reports", "target failed a request",
    "failure not counted against target",
}  # fmt: skip
_BOX_EVENTS = {
    "configuration not read", "configuration read again", "list of targets not read",
    "list of targets read again", "draining", "drained", "started", "stopped",
    "stopping with open connections", "own link impaired", "own link restored",
    "stopping with open tunnels",
}  # fmt: skip
"""Messages about targets and boxes that may explain what happened to a request."""

_COMMON_FIELDS = {"time", "level", "logger", "message", "box", "request_id"}
"""Fields that any line may have; other fields depend on the message."""


@dataclass(frozen=True)
class LogRow:
    """A parsed line of a box's log.

    Parameters
    ----------
    time : str
        Date and time of day, as logged.
    box : str
        The box that wrote the line.
    message : str
        The message.
    request_id : str
        The request that the line is about; empty if none.
    fields : dict
        All other fields.
    """

    time: str
    box: str
    message: str
    request_id: str
    fields: dict[str, Any]


@dataclass
class Timeline:
    """What the logs hold about one request.

    Parameters
    ----------
    rows : list of LogRow
        The lines of the request and of its targets and boxes, in order of time.
    summary : str
        How the request ended, in a sentence.
    missing : list of str
        Lines that are expected but absent from the logs.
    """

    rows: list[LogRow] = field(default_factory=list)
    summary: str = ""
    missing: list[str] = field(default_factory=list)


def parse_log_lines(lines: Iterable[str]) -> list[LogRow]:
    """Parse the lines of a log; lines without a JSON object are skipped.

    Text in front of the JSON is ignored, as log collectors add prefixes.
    """
    rows = []
    for line in lines:
        start = line.find("{")
        try:
            row = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(row, dict) and "message" in row:
            rows.append(_parse_row(row))
    return rows


def _parse_row(parsed: dict[str, Any]) -> LogRow:
    return LogRow(
        str(parsed.get("time", "")),
        str(parsed.get("box", "")),
        parsed["message"],
        str(parsed.get("request_id", "")),
        {name: value for name, value in parsed.items() if name not in _COMMON_FIELDS},
    )


def build_timeline(request_id: str, rows: Iterable[LogRow]) -> Timeline:
    """Build the timeline of a request."""
    rows = sorted(rows, key=lambda row: row.time)
    own = [row for row in rows if row.request_id == request_id]
    timeline = Timeline()
    if not own:
        timeline.missing.append("no line of this request; is the log of its box among the files?")
        return timeline
    timeline.rows = _with_context(own, rows)
    timeline.summary = _summary(own)
    timeline.missing = _missing(own)
    return timeline


def _with_context(own: list[LogRow], rows: list[LogRow]) -> list[LogRow]:
    """Return a request's own lines and the events of its targets and boxes around them."""
    request_id = own[0].request_id
    boxes = {row.box for row in own} | {carrier for row in own if (carrier := _carrier(row))}
    targets = {row.fields["target"] for row in own if "target" in row.fields}
    targets |= {name for row in own for name in row.fields.get("helper_names", ())}
    begin_s, end_s = time_of_day_s(own[0].time) - CONTEXT_S, time_of_day_s(own[-1].time) + CONTEXT_S
    return [
        row
        for row in rows
        if row.request_id == request_id
        or (begin_s <= time_of_day_s(row.time) <= end_s and _is_context(row, boxes, targets))
    ]


def _carrier(row: LogRow) -> str:
    """Return the box that carried an attempt, empty for the box's own link."""
    # The name of a start of a box: the box's name and a suffix.
    return str(row.fields.get("carrier", "")).rpartition(".")[0]


def _is_context(row: LogRow, boxes: set[str], targets: set[str]) -> bool:
    if row.message in _TARGET_EVENTS:
        return row.fields.get("target") in targets
    return row.message in _BOX_EVENTS and row.box in boxes


def _summary(own: list[LogRow]) -> str:
    ended = next((row for row in reversed(own) if row.message == _ENDED), None)
    if ended is None:
        return "it has not ended, or its last line is missing"
    fields = ended.fields
    reason = f": {fields['reason']}" if fields.get("reason") else ""
    attempts = sum(row.message == _PLACED for row in own)
    first_s = fields.get("first_event_s")
    first = f", first event after {first_s} s" if first_s is not None else ""
    carrier = _carrier(ended)
    through = f", the last through {carrier}" if carrier else ""
    return (
        f"{fields.get('outcome')} with status {fields.get('status')}{reason}, after "
        f"{fields.get('took_s')} s and {attempts} tries at targets{through}{first}"
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


def time_of_day_s(time: str) -> float:
    """Return seconds since midnight for a log time such as ``2026-05-09 14:27:27,279``.

    A time that cannot be parsed counts as midnight.
    """
    clock = time.rpartition(" ")[2].replace(",", ".").split(":")
    try:
        hours, minutes, seconds = (float(part) for part in clock)
    except ValueError:
        return 0.0
    return hours * 3600 + minutes * 60 + seconds
