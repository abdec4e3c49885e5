"""Encoding of a condemned request in the store's record.

Other programs may write under the same prefix. Boxes send each other the losses that they have read
here, so the fields are limited to what their datagrams can carry.
"""

import json
from typing import Annotated, NamedTuple

import msgspec

from ..platform.codecs import MalformedError
from ..scheduling.suspects import TargetStart
from ..utils.validation import MAX_INT64

__all__ = ["Record", "decode_record", "encode_record"]

MAX_DIGEST_BYTES = 64
"""Maximum length of a request's digest; boxes make digests of 16 bytes."""

MAX_STARTS = 1000
"""Maximum number of targets that one condemned request has ended."""

_Text = Annotated[str, msgspec.Meta(max_length=1000)]
_Start = tuple[
    Annotated[str, msgspec.Meta(min_length=1, max_length=200)],
    Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)],
]
_Starts = Annotated[list[_Start], msgspec.Meta(max_length=MAX_STARTS)]


class Record(NamedTuple):
    """A condemned request or part of prompts; the fields are those of `Condemned`."""

    digest: bytes
    route: str
    organisation: str
    starts: tuple[TargetStart, ...]
    part: str = ""
    tests: frozenset[TargetStart] = frozenset()


class _Row(msgspec.Struct):
    route: _Text
    organisation: _Text
    starts: _Starts
    part: _Text = ""
    tests: _Starts = []


_decoder = msgspec.json.Decoder(_Row)


def encode_record(record: Record) -> bytes:
    """Return the value of a record in the store; its digest is in the key."""
    fields = {**record._asdict(), "tests": sorted(record.tests)}
    return json.dumps({name: value for name, value in fields.items() if name != "digest"}).encode()


def decode_record(key: str, raw: bytes) -> Record:
    """Decode a record, whose digest is the key in hex; raises `MalformedError`."""
    if not 0 < len(key) <= 2 * MAX_DIGEST_BYTES:
        raise MalformedError("its key is no digest")
    try:
        digest = bytes.fromhex(key)
        row = _decoder.decode(raw)
    except (ValueError, RecursionError) as exc:
        # The errors of msgspec and of Unicode are ValueErrors.
        raise MalformedError(str(exc)) from exc
    starts, tests = ([TargetStart(*pair) for pair in rows] for rows in (row.starts, row.tests))
    return Record(digest, row.route, row.organisation, tuple(starts), row.part, frozenset(tests))
