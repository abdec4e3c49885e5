"""Translation of HTTP headers of requests and answers.

The types here hold the metadata that the platform's headers carry, under this package's own names
and units.
"""

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from . import wire

__all__ = [
    "AnswerMetadata",
    "CallerMetadata",
    "ForwardMetadata",
    "parse_answer_headers",
    "parse_caller_headers",
]
__all__ += ["answer_headers", "forward_headers", "refusal_headers", "shared_prompt_parts"]

Headers = Iterable[tuple[bytes, bytes]]

_HOP_BY_HOP = {
    b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
    b"proxy-authorization", b"te", b"trailer", b"transfer-encoding", b"upgrade",
}  # fmt: skip
"""Headers that apply to a single connection only (RFC 9110, section 7.6.1)."""

_REPLACED = {
    wire.DEADLINE_MS, wire.EXPECTED_TARGET, wire.ORGANISATION, wire.AUTHORIZATION, wire.PRIORITY,
    wire.HELPERS, wire.EXPECTED_VERSION, b"expect", b"content-length",
}  # fmt: skip
"""Headers of a caller that are not forwarded, or replaced by the box's own."""


MAX_PROMPT_PARTS = 16
"""Maximum number of parts of a prompt that are looked at; a caller could name thousands."""


class CallerMetadata(NamedTuple):
    """Metadata of a caller's request, from its headers.

    Parameters
    ----------
    request_id : str
        The request's id; empty if missing.
    time_left_s : float or None
        How long the caller waits for the answer.
    key : str or None
        The API key; None without the header, empty if the header holds no key.
    prompt_tokens, answer_tokens : int
        The length of the prompt and the maximum length of the answer; 0 if unknown.
    answer_length_hint : int
        The caller's estimate of the answer's length, in tokens; 0 if unknown.
    last_event_id : bytes or None
        The event after which an interrupted stream resumes.
    prompt_parts : bytes
        The parts of its prompt as the caller names them, see `shared_prompt_parts`.
    """

    request_id: str
    time_left_s: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    answer_length_hint: int
    last_event_id: bytes | None
    prompt_parts: bytes = b""


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """Metadata that a box adds to the caller's headers for the target.

    Parameters
    ----------
    target : str
        The only target that may run the request.
    time_left_s : float or None
        The time after which the target stops working on the request.
    organisation : str or None
        The organisation whose API key the request carries.
    urgency : int
        The request's priority, from 0 (most urgent) to 9.
    last_event_id : bytes or None
        The event after which an interrupted stream resumes.
    helpers : tuple of str
        Engines that share the prefill with the target, as IP:PORT or IP:PORT/RESERVATION.
    """

    target: str
    time_left_s: float | None = None
    organisation: str | None = None
    urgency: int = 5
    last_event_id: bytes | None = None
    helpers: tuple[str, ...] = ()


class AnswerMetadata(NamedTuple):
    """Metadata of a target's answer, from its status and headers.

    Parameters
    ----------
    request_id : str
        The request that it answers; empty if the target names none.
    signed : bool
        Whether it bears the target's signature.
    not_run : bool
        True if the target guarantees that it did not and will not run the request.
    at_fault : str
        The target because of which the request did not run, by name or IP:PORT; empty if not named.
        It may be a helper of the target that answers.
    closes : bool
        Whether the connection closes after the answer.
    idle_s : float or None
        How long the target keeps an idle connection open; None if unknown.
    """

    request_id: str
    signed: bool
    not_run: bool
    at_fault: str
    closes: bool
    idle_s: float | None


def parse_caller_headers(headers: Headers) -> CallerMetadata:
    """Extract the metadata from a caller's headers; ignores malformed values."""
    found = dict(headers)
    prompt, _, answer = found.get(wire.TOKEN_USAGE, b"").partition(b",")
    deadline_ms = found.get(wire.DEADLINE_MS)
    return CallerMetadata(
        request_id=found.get(wire.REQUEST_ID, b"").decode("latin-1"),
        time_left_s=None if deadline_ms is None else _parse_int(deadline_ms) / 1000,
        key=_api_key(found.get(wire.AUTHORIZATION)),
        prompt_tokens=_parse_int(prompt),
        answer_tokens=_parse_int(answer),
        answer_length_hint=_parse_int(found.get(wire.LENGTH_HINT, b"")),
        last_event_id=found.get(wire.LAST_EVENT_ID),
        prompt_parts=found.get(wire.PROMPT_PARTS, b""),
    )


def shared_prompt_parts(prompt_parts: bytes) -> tuple[str, ...]:
    """Return the names of the parts of a prompt that other requests may share, in order.

    Left out are the last part, which belongs to the request or its session, empty names, and what
    exceeds `MAX_PROMPT_PARTS`.
    """
    names = [row.partition(b":")[0].strip() for row in prompt_parts.split(b",")]
    shared = dict.fromkeys(name.decode("latin-1") for name in names[:-1] if name)
    return tuple(itertools.islice(shared, MAX_PROMPT_PARTS))


def forward_headers(
    headers: Sequence[tuple[bytes, bytes]], body_length: int | None, metadata: ForwardMetadata
) -> list[tuple[bytes, bytes]]:
    """Return the headers for a target: the caller's, with the metadata in `metadata`.

    `body_length` is None if the caller's headers announced no body.
    """
    dropped = _HOP_BY_HOP | _REPLACED | _named_by_connection(headers)
    if metadata.last_event_id is not None:
        dropped = dropped | {wire.LAST_EVENT_ID}
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    sent.append((wire.EXPECTED_TARGET, metadata.target.encode()))
    if body_length is not None:
        sent.append((b"content-length", b"%d" % body_length))
    if metadata.time_left_s is not None:
        sent.append((wire.DEADLINE_MS, b"%d" % max(1, int(metadata.time_left_s * 1000))))
    if metadata.organisation is not None:
        sent.append((wire.ORGANISATION, metadata.organisation.encode()))
    if metadata.urgency != ForwardMetadata.urgency:
        sent.append((wire.PRIORITY, b"%d" % min(9, max(0, metadata.urgency))))
    if metadata.last_event_id is not None:
        sent.append((wire.LAST_EVENT_ID, metadata.last_event_id))
    if metadata.helpers:
        sent.append((wire.HELPERS, ",".join(metadata.helpers).encode()))
    return sent


def parse_answer_headers(status: int, headers: Headers) -> AnswerMetadata:
    """Extract the metadata from a target's answer."""
    found = dict(headers)
    not_run = status == 421 or (status in (400, 429, 503) and wire.NOT_RUN in found)
    return AnswerMetadata(
        request_id=found.get(wire.REQUEST_ID, b"").decode("latin-1"),
        signed=wire.SIGNATURE in found,
        not_run=not_run,
        at_fault=found.get(wire.AT_FAULT, b"").decode("latin-1"),
        closes=b"close" in found.get(b"connection", b"").lower(),
        idle_s=_keep_alive_s(found.get(b"keep-alive", b"")),
    )


def answer_headers(headers: Sequence[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers of a target's answer that are forwarded to the caller."""
    dropped = _HOP_BY_HOP | _named_by_connection(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def refusal_headers(request_id: str, retry_after_s: float | None) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error answer that the box itself generates."""
    headers = [(b"content-type", b"text/plain")]
    if request_id:
        headers.append((wire.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return headers


def _named_by_connection(headers: Headers) -> set[bytes]:
    named = [value for name, value in headers if name.lower() == b"connection"]
    return {part.strip().lower() for value in named for part in value.split(b",")} - {b""}


def _api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    if not value.lower().startswith(wire.KEY_SCHEME):
        return ""
    return value[len(wire.KEY_SCHEME) :].strip().decode("latin-1")


def _parse_int(value: bytes) -> int:
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= 12 else 0


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
