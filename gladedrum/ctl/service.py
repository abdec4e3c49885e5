"""How each request was served, and why not better, from the logs of boxes alone.

A request counts as in time if it was answered whole, its first event (or its plain answer) came
within the objective of its route, and no pause was longer than the route aims at. Each try of a
caller is a request of its own: a caller that comes back has a new id.
"""

import itertools
import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from ..scheduling.credit import LATE_LOSS, worth_of
from .story import LogRow, seconds_of

__all__ = ["ServedRequest", "Verdict", "served_requests"]

LONG_READ_TOKENS = 8_000
"""A part of a prompt of so many tokens, placed beside a stream, counts as a cause of its pause."""

WAITED_SHARE = 0.25
"""A request that was offered only after this share of its objective waited for a place."""

MISJUDGED_X = 1.5
"""A first event later than predicted by this factor was misjudged."""


_WITH_DIGITS = re.compile(r"[\w.-]*\d[\w.-]*")
_LISTED = re.compile(r"N(, N)+")
"""Numbers and names of targets in a reason; several of them in a row."""


class Verdict(StrEnum):
    """How a request was served."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class ServedRequest(NamedTuple):
    """A request that has ended.

    Parameters
    ----------
    at_s : float
        When it arrived, in seconds of the day.
    request_id, box, data_hall, organisation, kind : str
        Whose it was; the kind is its route.
    verdict : Verdict
        How it was served.
    cause : str
        Why it was not in time; empty if it was.
    worth : float
        What it was worth in time, in units of the smallest request's.
    first_s : float or None
        When its first event came, or its plain answer, in seconds from its arrival.
    predicted_s : float or None
        When that was predicted; None if nothing was.
    held_s : float
        Seconds for which it was held without an offer, if it was not served; else 0.
    about : str
        What its kind is: a stream or a plain answer, and its objective.
    """

    at_s: float
    request_id: str
    box: str
    data_hall: str
    organisation: str
    kind: str
    verdict: Verdict
    cause: str
    worth: float
    first_s: float | None
    predicted_s: float | None
    held_s: float
    about: str = ""

    @property
    def lost(self) -> float:
        """The worth that was lost."""
        match self.verdict:
            case Verdict.IN_TIME:
                return 0.0
            case Verdict.LATE:
                return LATE_LOSS * self.worth
            case _:
                return self.worth


class _Placed(NamedTuple):
    """A prompt, or a part of one, that came to a target."""

    at_s: float
    request_id: str
    part_tokens: float


def served_requests(rows: Iterable[LogRow]) -> list[ServedRequest]:
    """Return the requests whose ends are among the rows, in the order of their arrivals."""
    by_request: dict[str, list[LogRow]] = defaultdict(list)
    for row in rows:
        if row.request_id:
            by_request[row.request_id].append(row)
    reads = _reads_by_target(itertools.chain.from_iterable(by_request.values()))
    served = [
        _served(row, by_request[row.request_id], reads)
        for row in itertools.chain.from_iterable(by_request.values())
        if row.message == "request ended" and row.fields.get("objective_s")
    ]
    return sorted(served)


def _reads_by_target(rows: Iterable[LogRow]) -> dict[str, list[_Placed]]:
    reads: dict[str, list[_Placed]] = defaultdict(list)
    for row in rows:
        if row.message != "request placed":
            continue
        names = [row.fields.get("target", ""), *row.fields.get("helper_names", ())]
        part = row.fields.get("prompt_tokens", 0) / len(names)
        for name in names if part >= LONG_READ_TOKENS else ():
            reads[name].append(_Placed(seconds_of(row.time), row.request_id, part))
    return reads


def _served(ended: LogRow, own: Sequence[LogRow], reads: dict[str, list[_Placed]]) -> ServedRequest:
    fields = ended.fields
    took_s = fields.get("took_s", 0.0)
    at_s = seconds_of(ended.time) - took_s
    placed = [row for row in own if row.message == "request placed"]
    first_s = _first_s(fields)
    verdict = _verdict(fields, first_s)
    predicted_s = placed[0].fields.get("predicted_s") if placed else None
    return ServedRequest(
        at_s,
        ended.request_id,
        ended.box,
        fields.get("data_hall", ""),
        fields.get("organisation", ""),
        fields.get("route", ""),
        verdict,
        _cause(verdict, fields, at_s, own, placed, reads),
        worth_of(fields.get("prompt_tokens", 0)),
        first_s,
        predicted_s or None,
        took_s if fields.get("offered_s") is None else 0.0,
        _about(fields),
    )


def _about(fields: dict[str, Any]) -> str:
    """Return what a kind of request is, as far as its lines tell: routes have names only."""
    what = "stream" if fields.get("pause_limit_s") else "plain"
    return f"{what}, {fields['objective_s']:g} s"


def _first_s(fields: dict[str, Any]) -> float | None:
    if fields.get("first_event_s") is not None:
        return fields["first_event_s"]
    return fields.get("took_s") if fields.get("outcome") == "completed" else None


def _verdict(fields: dict[str, Any], first_s: float | None) -> Verdict:
    match fields.get("outcome"), fields.get("reason"):
        case "completed", _:
            late = _paused(fields) or first_s > fields["objective_s"]
            return Verdict.LATE if late else Verdict.IN_TIME
        case "not-run", _:
            return Verdict.REFUSED
        case _, "the caller has left":
            return Verdict.LEFT
        case _:
            return Verdict.FAILED


def _paused(fields: dict[str, Any]) -> bool:
    """Whether a stream paused for longer than its route aims at."""
    limit_s = fields.get("pause_limit_s") or float("inf")
    return fields.get("longest_pause_s", 0.0) > limit_s


def _cause(
    verdict: Verdict,
    fields: dict[str, Any],
    at_s: float,
    own: Sequence[LogRow],
    placed: Sequence[LogRow],
    reads: dict[str, list[_Placed]],
) -> str:
    if verdict is Verdict.IN_TIME:
        return ""
    if verdict in (Verdict.REFUSED, Verdict.FAILED):
        return _without_figures(fields.get("reason", ""))
    objective_s = fields["objective_s"]
    if (fields.get("offered_s") or 0.0) > WAITED_SHARE * objective_s:
        return "waited for a place"
    failed = [row for row in own if row.message == "try failed"]
    silent = any(row.fields.get("reason") == "the target has fallen silent" for row in failed)
    if failed and not silent:
        return f"a try failed: {_without_figures(failed[0].fields.get('reason', ''))}"
    if (fields.get("first_event_s") or 0.0) > objective_s:
        return _cause_of_late_start(fields, placed)
    if verdict is Verdict.LEFT and fields.get("first_event_s") and not _paused(fields):
        return "it was being served in time"
    if _read_beside(fields, at_s, placed, reads):
        return "a long prompt came to its target while it wrote"
    return "its target paused without a known reason"


def _cause_of_late_start(fields: dict[str, Any], placed: Sequence[LogRow]) -> str:
    predicted_s = placed[0].fields.get("predicted_s", 0.0) if placed else 0.0
    if predicted_s > fields["objective_s"]:
        return "late as predicted: all targets were busy"
    if fields["first_event_s"] > MISJUDGED_X * predicted_s:
        return "first event later than predicted"
    return "first event just late"


def _read_beside(
    fields: dict[str, Any],
    at_s: float,
    placed: Sequence[LogRow],
    reads: dict[str, list[_Placed]],
) -> bool:
    """Whether a long prompt came to its first target before its longest pause had ended."""
    if not placed:
        return False
    paused_s = fields.get("pause_began_s", 0.0) + fields.get("longest_pause_s", 0.0)
    until_s = at_s + (paused_s or fields.get("took_s", 0.0))
    return any(
        at_s < read.at_s < until_s and read.request_id != placed[0].request_id
        for read in reads.get(placed[0].fields.get("target", ""), ())
    )


def _without_figures(text: str) -> str:
    """Return a reason with its numbers and names left out, so that alike ones count together.

    Examples
    --------
    >>> _without_figures("no memory at i-40b55510cb, i-a56e09b57f")
    'no memory at N'
    >>> _without_figures("the configuration is 5.3 s old")
    'the configuration is N s old'
    """
    return _LISTED.sub("N", _WITH_DIGITS.sub("N", text))
