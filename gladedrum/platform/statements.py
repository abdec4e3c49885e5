"""Statements: what the headers of a target's answer say about the target itself.

A statement applies beyond the request that is answered. `Statements` lists the kinds.
"""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

from ..fleet import MAX_COLD_S
from . import wire

__all__ = ["MalformedStatement", "Statements", "parse_statements"]

Headers = Iterable[tuple[bytes, bytes]]

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?([eE][+-]?[0-9]{1,2})?")
"""Syntax of a rate. Excludes other inputs that `float` accepts (``nan``, ``inf``, ``1_0``)."""

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
"""Syntax of a backoff time in seconds. HTTP dates are not accepted."""

_MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
"""Syntax of a remaining cold time in milliseconds."""

_TRUE = re.compile(rb"1")

_MAX_TEXT_BYTES = 40
"""The maximum length of a malformed header's text that is kept for logs."""


class MalformedStatement(NamedTuple):
    """A statement that cannot be parsed.

    Parameters
    ----------
    kind : str
        The kind of statement: the name of a field of `Statements`.
    text : str
        The header's text, truncated.
    """

    kind: str
    text: str


class Statements(NamedTuple):
    """The statements in the headers of one answer.

    Parameters
    ----------
    rate_per_s : float or None
        The target's rate limit in requests per second, for all boxes together. It applies until a
        later answer of the target names another limit or none. None if there is no limit.
    leaves : bool
        Whether the target is leaving; a leaving target does not return before it restarts.
    rest_s : float or None
        Backoff: the time in seconds during which the target wants no calls from the box that gets
        this answer. None if it asks for no backoff.
    malformed : tuple of MalformedStatement
        Statements that cannot be parsed; they have no effect.
    cold_s : float or None
        Remaining time in seconds for which the target is cold, 0 if it is not cold. None if the
        answer says nothing about it.
    """

    rate_per_s: float | None = None
    leaves: bool = False
    rest_s: float | None = None
    malformed: tuple[MalformedStatement, ...] = ()
    cold_s: float | None = None


def parse_statements(status: int, headers: Headers) -> Statements:
    """Extract the statements from the status and headers of an answer.

    ``retry-after`` asks for backoff only with status 503. With 429 it concerns the organisation
    that sent the request, and with other statuses the requested resource.

    Examples
    --------
    >>> parse_statements(503, [(b"retry-after", b"3"), (b"server-leaving", b"1")])
    Statements(rate_per_s=None, leaves=True, rest_s=3.0, malformed=(), cold_s=None)
    """
    headers = list(headers)
    rate, malformed_rate = _read_header(headers, wire.RATE_LIMIT, _DECIMAL)
    leaves, malformed_leaves = _read_header(headers, wire.LEAVING, _TRUE)
    allows_backoff = status == HTTPStatus.SERVICE_UNAVAILABLE
    backoff, malformed_backoff = (
        _read_header(headers, wire.RETRY_AFTER, _SECONDS) if allows_backoff else (None, "")
    )
    cold_s, malformed_cold = _read_cold(headers)
    malformed = {
        "rate_per_s": malformed_rate,
        "leaves": malformed_leaves,
        "rest_s": malformed_backoff,
        "cold_s": malformed_cold,
    }
    return Statements(
        None if rate is None else float(rate),
        leaves is not None,
        None if backoff is None else float(backoff),
        tuple(MalformedStatement(kind, text) for kind, text in malformed.items() if text),
        cold_s,
    )


def _read_cold(headers: list[tuple[bytes, bytes]]) -> tuple[float | None, str]:
    """Return the remaining cold time in seconds, and its text if malformed or implausible."""
    text, malformed = _read_header(headers, wire.COLD_MS, _MILLISECONDS)
    if text is None:
        return None, malformed
    cold_s = float(text) / 1000
    return (cold_s, "") if cold_s <= MAX_COLD_S else (None, text.decode("latin-1"))


def _read_header(
    headers: list[tuple[bytes, bytes]], name: bytes, pattern: re.Pattern[bytes]
) -> tuple[bytes | None, str]:
    """Return a header's value, None if missing or malformed, and its text if malformed.

    Repeated headers with different values count as malformed.
    """
    match sorted({value.strip() for header, value in headers if header == name}):
        case []:
            return None, ""
        case [text] if pattern.fullmatch(text):
            return text, ""
        case texts:
            return None, b", ".join(texts)[:_MAX_TEXT_BYTES].decode("latin-1") or "(empty)"
