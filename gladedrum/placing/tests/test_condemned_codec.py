"""Records of condemned requests that other programs may have written."""

import json

import pytest

from gladedrum.placing.condemned_codec import Record, decode_record, encode_record
from gladedrum.platform.codecs import MalformedError
from gladedrum.scheduling.suspects import TargetStart

KEY = "01" * 16
VALID = {"route": "r", "organisation": "o", "starts": [["t1", 4]], "part": "", "tests": []}

INVALID_FIELDS = [
    ("route", 7), ("route", "r" * 3000), ("organisation", None), ("starts", 3), ("starts", [[]]),
    ("starts", [["t1"]]), ("starts", [["t1", -1]]), ("starts", [["t1", 10**30]]),
    ("starts", [["t1", 1.5]]), ("starts", [["t" * 500, 1]]), ("starts", [["t", 1]] * 5000),
    ("tests", 3), ("part", 7), ("part", "p" * 3000),
]  # fmt: skip


def test_record_keeps_its_values():
    start = TargetStart("t1", 4)
    record = Record(bytes.fromhex(KEY), "r", "o", (start,), "p", frozenset({start}))
    assert decode_record(KEY, encode_record(record)) == record


@pytest.mark.parametrize(("field", "value"), INVALID_FIELDS)
def test_record_with_an_invalid_field_is_rejected(field, value):
    with pytest.raises(MalformedError):
        decode_record(KEY, json.dumps({**VALID, field: value}).encode())


# Guards against a record that ends the task which reads all of them.
@pytest.mark.parametrize(
    "raw",
    [b"", b"[]", b"{}", b"\xff", b"[" * 100_000, b'{"starts": [["t", 1e400]]}',
     b'{"starts": [["t", ' + b"9" * 5000 + b"]]}", b'{"route": "\\ud800"}'],
)  # fmt: skip
def test_bytes_that_are_no_record_are_rejected(raw):
    with pytest.raises(MalformedError):
        decode_record(KEY, raw)


@pytest.mark.parametrize("key", ["", "no digest", "ab" * 1000, "0" * 5, "\ud800"])
def test_key_that_is_no_digest_is_rejected(key):
    with pytest.raises(MalformedError):
        decode_record(key, json.dumps(VALID).encode())
