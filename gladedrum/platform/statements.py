"""Statements: what the headers of a target's answer say about the target itself.

A statement applies beyond the request that is answered. `Statements` lists the kinds.
"""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

from . import wire

__all__ = ["MalformedStatement", "Statements", "parse_statements"]

Headers = Iterable[tuple[bytes, bytes]]

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?([eE][+-]?[0-9]{1,2})?")
"""Syntax of a rate. Excludes other inputs that `float` accepts (``nan``, ``inf``, ``1_0``)."""

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
"""Syntax of a backoff time in seconds. HTTP dates are not accepted."""

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
    """

    rate_per_s: float | None = None
    leaves: bool = False
    rest_s: float | None = None
    malformed: tuple[MalformedStatement, ...] = ()


def parse_statements(status: int, headers: Headers) -> Statements:
    """Extract the statements from the status and headers of an answer.

    ``retry-after`` asks for backoff only with status 503. With 429 it concerns the organisation
    that sent the request, and with other statuses the requested resource.

    Examples
    --------
    >>> parse_statements(503, [(b"retry-after", b"3"), (b"server-leaving", b"1")])
    Statements(rate_per_s=None, leaves=True, rest_s=3.0, malformed=())
    """
    headers = list(headers)
    rate, malformed_rate = _read_header(headers, wire.RATE_LIMIT, _DECIMAL)
    leaves, malformed_leaves = _read_header(headers, wire.LEAVING, _TRUE)
    allows_backoff = status == HTTPStatus.SERVICE_UNAVAILABLE
    backoff, malformed_backoff = (
        _read_header(headers, wire.RETRY_AFTER, _SECONDS) if allows_backoff else (None, "")
    )
    malformed = {
        "rate_per_s": malformed_rate,
        "leaves": malformed_leaves,
        "rest_s": malformed_backoff,
    }
    return Statements(
        None if rate is None else float(rate),
        leaves is not None,
        None if backoff is None else float(backoff),
        tuple(MalformedStatement(kind, text) for kind, text in malformed.items() if text),
    )


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
