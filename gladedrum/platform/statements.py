"""What a target says of itself in the head of an answer, beside what it says of that answer.

Such a statement concerns more than the request that is answered: `Statements` lists the kinds.
"""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

from . import wire

__all__ = ["OddStatement", "Statements", "statements_of"]

Headers = Iterable[tuple[bytes, bytes]]

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?([eE][+-]?[0-9]{1,2})?")
"""How a rate may be written; what else `float` takes (``nan``, ``inf``, ``1_0``) is none."""

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
"""How a time of rest may be written; a date is none."""

_LEAVES = re.compile(rb"1")

_SHOWN_BYTES = 40
"""How much is kept of a header that can't be read, in bytes."""


class OddStatement(NamedTuple):
    """What stands in the place of a statement and is none.

    Parameters
    ----------
    kind : str
        What it would be: the name of a field of `Statements`.
    text : str
        What stands there, cut short.
    """

    kind: str
    text: str


class Statements(NamedTuple):
    """What a target says of itself in one answer.

    Parameters
    ----------
    rate_per_s : float or None
        The requests a second that it takes from all boxes together, for as long as its answers say
        so; None if it names no rate.
    leaves : bool
        Whether it leaves; it then does so for as long as it lives.
    rest_s : float or None
        For how many seconds it wants nothing from the box that it answers; None if it asks for no
        rest.
    odd : tuple of OddStatement
        What can't be read, and says nothing.
    """

    rate_per_s: float | None = None
    leaves: bool = False
    rest_s: float | None = None
    odd: tuple[OddStatement, ...] = ()


def statements_of(status: int, headers: Headers) -> Statements:
    """Read what the head of an answer says of its target.

    Only a target that turns a request away asks for rest, with the status 503: 429 speaks of whose
    request it is, and another status with that header of where or when an answer is to be had.

    Examples
    --------
    >>> statements_of(503, [(b"retry-after", b"3"), (b"server-leaving", b"1")])
    Statements(rate_per_s=None, leaves=True, rest_s=3.0, odd=())
    """
    headers = list(headers)
    rate, odd_rate = _read(headers, wire.RATE_LIMIT, _DECIMAL)
    leaves, odd_leaves = _read(headers, wire.LEAVING, _LEAVES)
    asks_rest = status == HTTPStatus.SERVICE_UNAVAILABLE
    rest, odd_rest = _read(headers, wire.REST, _SECONDS) if asks_rest else (None, "")
    odd = {"rate_per_s": odd_rate, "leaves": odd_leaves, "rest_s": odd_rest}
    return Statements(
        None if rate is None else float(rate),
        leaves is not None,
        None if rest is None else float(rest),
        tuple(OddStatement(kind, text) for kind, text in odd.items() if text),
    )


def _read(
    headers: list[tuple[bytes, bytes]], name: bytes, form: re.Pattern[bytes]
) -> tuple[bytes | None, str]:
    """Return what a header holds, and what stands in its place if that can't be read.

    One that stands there twice and differs says nothing.
    """
    match sorted({value.strip() for found, value in headers if found == name}):
        case []:
            return None, ""
        case [text] if form.fullmatch(text):
            return text, ""
        case texts:
            return None, b", ".join(texts)[:_SHOWN_BYTES].decode("latin-1") or "(empty)"
