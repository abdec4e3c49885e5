"""Classifies how each request was served, and why it was not in time, from the logs of boxes.

A request is in time if its answer is complete, its first event (or its plain answer) came within
the objective of its route, and no pause of its stream exceeded the limit of the route. A caller's
retry has a new id and counts as a separate request.

The worth of a request, as scheduling defines it, weighs how much a late or lost answer costs.
"""

import itertools
import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from ..scheduling.expected_loss import LATE_LOSS, worth_of
from .timeline import LogRow, time_of_day_s

__all__ = ["ServedRequest", "Verdict", "served_requests"]

LONG_PROMPT_TOKENS = 8_000
"""A prompt of at least this many tokens on a target can be the cause of a stream's pause there."""

WAIT_SHARE = 0.25
"""Share of its objective after which a request without an attempt counts as waiting for a place."""

LATE_PREDICTION_FACTOR = 1.5
"""Factor of the predicted time from which a first event counts as later than predicted."""

_WORD_WITH_DIGITS = re.compile(r"[\w.-]*\d[\w.-]*")
_PLACEHOLDER_LIST = re.compile(r"N(, N)+")
"""Matches lists of placeholders that `_WORD_WITH_DIGITS` has left for numbers and names."""


class Verdict(StrEnum):
    """How a request was served."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class ServedRequest(NamedTuple):
    """A request that has ended, and how it was served.

    Parameters
    ----------
    at_s : float
        Time of its arrival, in seconds since midnight.
    request_id, box, data_hall, organisation, kind : str
        Identify the request and its origin; the kind is the route.
    verdict : Verdict
        How it was served.
    cause : str
        Why the request was not in time; empty if it was.
    worth : float
        Worth of an answer in time, in units of the smallest request's worth.
    first_s : float or None
        Time from its arrival to its first event or plain answer; None if none came.
    predicted_s : float or None
        Predicted value of `first_s`; None if there was no prediction.
    held_s : float
        Time from its arrival to its end if no attempt was made; else 0.
    about : str
        Description of its kind: stream or plain answer, and the objective.
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
        """The worth lost by a late or missing answer."""
        match self.verdict:
            case Verdict.IN_TIME:
                return 0.0
            case Verdict.LATE:
                return LATE_LOSS * self.worth
            case _:
                return self.worth


class _PlacedPrompt(NamedTuple):
    """A prompt, or a part of one, that was placed on a target."""

    at_s: float
    request_id: str
    part_tokens: float


def served_requests(rows: Iterable[LogRow]) -> list[ServedRequest]:
    """Return the requests that end within the rows, in order of arrival.

    Requests without an objective are left out: those that were not admitted, and those of boxes
    with the OpenAI interface.
    """
    by_request: dict[str, list[LogRow]] = defaultdict(list)
    for row in rows:
        if row.request_id:
            by_request[row.request_id].append(row)
    long_prompts = _long_prompts_by_target(itertools.chain.from_iterable(by_request.values()))
    served = [
        _served_request(row, by_request[row.request_id], long_prompts)
        for row in itertools.chain.from_iterable(by_request.values())
        if row.message == "request ended" and row.fields.get("objective_s")
    ]
    return sorted(served)


def _long_prompts_by_target(rows: Iterable[LogRow]) -> dict[str, list[_PlacedPrompt]]:
    long_prompts: dict[str, list[_PlacedPrompt]] = defaultdict(list)
    for row in rows:
        if row.message != "request placed":
            continue
        names = [row.fields.get("target", ""), *row.fields.get("helper_names", ())]
        part = row.fields.get("prompt_tokens", 0) / len(names)
        for name in names if part >= LONG_PROMPT_TOKENS else ():
            long_prompts[name].append(_PlacedPrompt(time_of_day_s(row.time), row.request_id, part))
    return long_prompts


def _served_request(
    ended: LogRow, own: Sequence[LogRow], long_prompts: dict[str, list[_PlacedPrompt]]
) -> ServedRequest:
    fields = ended.fields
    took_s = fields.get("took_s", 0.0)
    at_s = time_of_day_s(ended.time) - took_s
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
        _cause(verdict, fields, at_s, own, placed, long_prompts),
        worth_of(fields.get("prompt_tokens", 0)),
        first_s,
        predicted_s or None,
        took_s if fields.get("offered_s") is None else 0.0,
        _describe_kind(fields),
    )


def _describe_kind(fields: dict[str, Any]) -> str:
    """Describe a kind of request by what its log lines tell about its route."""
    what = "stream" if fields.get("pause_limit_s") else "plain"
    return f"{what}, {fields['objective_s']:g} s"


def _first_s(fields: dict[str, Any]) -> float | None:
    if fields.get("first_event_s") is not None:
        return fields["first_event_s"]
    return fields.get("took_s") if fields.get("outcome") == "completed" else None


def _verdict(fields: dict[str, Any], first_s: float | None) -> Verdict:
    match fields.get("outcome"), fields.get("reason"):
        case "completed", _:
            late = _exceeds_pause_limit(fields) or first_s > fields["objective_s"]
            return Verdict.LATE if late else Verdict.IN_TIME
        case "not-run", _:
            return Verdict.REFUSED
        case _, "the caller has left":
            return Verdict.LEFT
        case _:
            return Verdict.FAILED


def _exceeds_pause_limit(fields: dict[str, Any]) -> bool:
    """Whether a stream paused for longer than the limit of its route."""
    limit_s = fields.get("pause_limit_s") or float("inf")
    return fields.get("longest_pause_s", 0.0) > limit_s


def _cause(
    verdict: Verdict,
    fields: dict[str, Any],
    at_s: float,
    own: Sequence[LogRow],
    placed: Sequence[LogRow],
    long_prompts: dict[str, list[_PlacedPrompt]],
) -> str:
    if verdict is Verdict.IN_TIME:
        return ""
    if verdict in (Verdict.REFUSED, Verdict.FAILED):
        return _normalize_reason(fields.get("reason", ""))
    objective_s = fields["objective_s"]
    if (fields.get("offered_s") or 0.0) > WAIT_SHARE * objective_s:
        return "waited for a place"
    failed = [row for row in own if row.message == "try failed"]
    silent = any(row.fields.get("reason") == "the target has fallen silent" for row in failed)
    if failed and not silent:
        return f"a try failed: {_normalize_reason(failed[0].fields.get('reason', ''))}"
    if (fields.get("first_event_s") or 0.0) > objective_s:
        return _cause_of_late_start(fields, placed)
    if verdict is Verdict.LEFT and fields.get("first_event_s") and not _exceeds_pause_limit(fields):
        return "it was being served in time"
    if _long_prompt_during_pause(fields, at_s, placed, long_prompts):
        return "a long prompt came to its target while it wrote"
    return "its target paused without a known reason"


def _cause_of_late_start(fields: dict[str, Any], placed: Sequence[LogRow]) -> str:
    predicted_s = placed[0].fields.get("predicted_s", 0.0) if placed else 0.0
    if predicted_s > fields["objective_s"]:
        return "late as predicted: all targets were busy"
    if fields["first_event_s"] > LATE_PREDICTION_FACTOR * predicted_s:
        return "first event later than predicted"
    return "first event just late"


def _long_prompt_during_pause(
    fields: dict[str, Any],
    at_s: float,
    placed: Sequence[LogRow],
    long_prompts: dict[str, list[_PlacedPrompt]],
) -> bool:
    """Whether a long prompt was placed on the first target before the longest pause ended."""
    if not placed:
        return False
    paused_s = fields.get("pause_began_s", 0.0) + fields.get("longest_pause_s", 0.0)
    until_s = at_s + (paused_s or fields.get("took_s", 0.0))
    return any(
        at_s < prompt.at_s < until_s and prompt.request_id != placed[0].request_id
        for prompt in long_prompts.get(placed[0].fields.get("target", ""), ())
    )


def _normalize_reason(text: str) -> str:
    """Replace numbers and names in a reason, so that similar reasons are counted together.

    Examples
    --------
    >>> _normalize_reason("no memory at i-40b55510cb, i-a56e09b57f")
    'no memory at N'
    >>> _normalize_reason("the configuration is 5.3 s old")
    'the configuration is N s old'
    """
    return _PLACEHOLDER_LIST.sub("N", _WORD_WITH_DIGITS.sub("N", text))
