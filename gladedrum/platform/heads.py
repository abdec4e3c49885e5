"""Heads of requests and answers: from the platform's names to the product's, and back."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from . import wire

__all__ = ["AnswerMarks", "CallerMarks", "SentMarks", "answer_marks", "caller_marks"]
__all__ += ["answer_headers", "forward_headers", "refusal_headers"]

Headers = Iterable[tuple[bytes, bytes]]

_HOP_BY_HOP = {
    b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
    b"proxy-authorization", b"te", b"trailer", b"transfer-encoding", b"upgrade",
}  # fmt: skip
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

_SET_HERE = {
    wire.DEADLINE_MS, wire.EXPECTED_TARGET, wire.ORGANISATION, wire.AUTHORIZATION, wire.URGENCY,
    wire.HELPERS, wire.EXPECTED_WEIGHTS, b"expect", b"content-length",
}  # fmt: skip
"""Headers of a caller that are dropped or written anew for the target."""


class CallerMarks(NamedTuple):
    """What a caller's headers say about its request.

    Parameters
    ----------
    request_id : str
        Its id; empty if there is none.
    time_left_s : float or None
        How long the caller will wait.
    key : str or None
        The API key; an empty one if the header is there but holds none.
    prompt_tokens, answer_tokens : int
        The size of the prompt, and the most that is to be written; 0 if not said.
    answer_guess : int
        The caller's guess at the length of the answer; 0 if not said.
    last_event_id : bytes or None
        Where a stream is to go on.
    """

    request_id: str
    time_left_s: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    answer_guess: int
    last_event_id: bytes | None


@dataclass(frozen=True, slots=True)
class SentMarks:
    """What is told to a target beside the caller's own headers.

    Parameters
    ----------
    target : str
        The target that alone may run the request.
    time_left_s : float or None
        When it is to stop work.
    organisation : str or None
        Whose key came with the request.
    urgency : int
        0 to 9, 0 first.
    last_event_id : bytes or None
        Where a stream is to go on.
    helpers : tuple of str
        Engines that read with it, as IP:PORT or IP:PORT/RESERVATION.
    """

    target: str
    time_left_s: float | None = None
    organisation: str | None = None
    urgency: int = 5
    last_event_id: bytes | None = None
    helpers: tuple[str, ...] = ()


class AnswerMarks(NamedTuple):
    """What a target's headers say about its answer.

    Parameters
    ----------
    request_id : str
        The request that it belongs to; empty if it does not say.
    not_run : bool
        Whether the target vouches that it did not and will not run the request.
    at_fault : str
        The target for which it did not run, by name or IP:PORT; empty if it does not say. A helping
        engine may be at fault in place of the one that answers.
    closes : bool
        Whether the connection is used no more.
    idle_s : float or None
        How long the target keeps an idle connection, if it says.
    """

    request_id: str
    not_run: bool
    at_fault: str
    closes: bool
    idle_s: float | None


def caller_marks(headers: Headers) -> CallerMarks:
    """Read what a caller's headers say; what is malformed counts as not said."""
    found = dict(headers)
    prompt, _, answer = found.get(wire.TOKENS_IN_OUT, b"").partition(b",")
    deadline_ms = found.get(wire.DEADLINE_MS)
    return CallerMarks(
        request_id=found.get(wire.REQUEST_ID, b"").decode("latin-1"),
        time_left_s=None if deadline_ms is None else _whole(deadline_ms) / 1000,
        key=_key(found.get(wire.AUTHORIZATION)),
        prompt_tokens=_whole(prompt),
        answer_tokens=_whole(answer),
        answer_guess=_whole(found.get(wire.LENGTH_GUESS, b"")),
        last_event_id=found.get(wire.LAST_EVENT_ID),
    )


def forward_headers(
    headers: Sequence[tuple[bytes, bytes]], body_length: int | None, marks: SentMarks
) -> list[tuple[bytes, bytes]]:
    """Return the headers for a target: the caller's, and what is set here.

    `body_length` is None if the request has no body, and its headers claimed none.
    """
    dropped = _HOP_BY_HOP | _SET_HERE | _named_by_connection(headers)
    if marks.last_event_id is not None:
        dropped = dropped | {wire.LAST_EVENT_ID}
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    sent.append((wire.EXPECTED_TARGET, marks.target.encode()))
    if body_length is not None:
        sent.append((b"content-length", b"%d" % body_length))
    if marks.time_left_s is not None:
        sent.append((wire.DEADLINE_MS, b"%d" % max(1, int(marks.time_left_s * 1000))))
    if marks.organisation is not None:
        sent.append((wire.ORGANISATION, marks.organisation.encode()))
    if marks.urgency != SentMarks.urgency:
        sent.append((wire.URGENCY, b"%d" % min(9, max(0, marks.urgency))))
    if marks.last_event_id is not None:
        sent.append((wire.LAST_EVENT_ID, marks.last_event_id))
    if marks.helpers:
        sent.append((wire.HELPERS, ",".join(marks.helpers).encode()))
    return sent


def answer_marks(status: int, headers: Headers) -> AnswerMarks:
    """Read what the head of a target's answer says."""
    found = dict(headers)
    not_run = status == 421 or (status in (400, 429, 503) and wire.NOT_RUN in found)
    return AnswerMarks(
        request_id=found.get(wire.REQUEST_ID, b"").decode("latin-1"),
        not_run=not_run,
        at_fault=found.get(wire.AT_FAULT, b"").decode("latin-1"),
        closes=b"close" in found.get(b"connection", b"").lower(),
        idle_s=_idle_s(found.get(b"keep-alive", b"")),
    )


def answer_headers(headers: Sequence[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return those headers of a target's answer that go to the caller."""
    dropped = _HOP_BY_HOP | _named_by_connection(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def refusal_headers(request_id: str, retry_after_s: float | None) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer of the box's own."""
    headers = [(b"content-type", b"text/plain")]
    if request_id:
        headers.append((wire.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return headers


def _named_by_connection(headers: Headers) -> set[bytes]:
    named = [value for name, value in headers if name.lower() == b"connection"]
    return {part.strip().lower() for value in named for part in value.split(b",")} - {b""}


def _key(value: bytes | None) -> str | None:
    if value is None:
        return None
    if not value.lower().startswith(wire.KEY_SCHEME):
        return ""
    return value[len(wire.KEY_SCHEME) :].strip().decode("latin-1")


def _whole(value: bytes) -> int:
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= 12 else 0


def _idle_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
