"""Malformed entries in the list of targets are rejected and never used as targets.

Examples are entries without a state, with port 0 or 70000, without slots, with text for a number,
or with digits of another script.
"""

import json
import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladedrum.platform import wire
from gladedrum.platform.codecs import MalformedError, decode_target
from gladedrum.platform.feeds import TargetFeed
from gladedrum.platform.store import Listing, StoredItem
from gladedrum.utils import start

VALID = {
    "service": "s1", "address": "10.9.0.7:8080", "zone": "hall", "version": "v1", "slots": 6,
    "state": "ready", "coldLeftMs": 0, "seq": 4, "born": 1_764_720_000_000,
}  # fmt: skip

INVALID_FIELDS = [
    ("service", ""), ("service", 4), ("service", None), ("service", ["s1"]),
    ("address", ""), ("address", "10.9.0.7"), ("address", "10.9.0.7:0"), ("address", ":8080"),
    ("address", "10.9.0.7:70000"), ("address", "10.9.0.7:-1"), ("address", "engine-1:8080"),
    ("address", "10.9.0.7:٨٠٨٠"), ("address", "10.9.0.7: 80"), ("address", "1.2.3.4.5:80"),
    ("address", "[::1]:80"), ("address", 8080), ("zone", 3),
    ("address", "0.0.0.0:80"), ("address", "224.0.0.1:80"), ("address", "255.255.255.255:80"),
    ("zone", "z" * 1000), ("zone", "a\nb"), ("service", "s" * 1000), ("service", "s\0"),
    ("address", "10.9.0.7:" + "9" * 5000), ("address", "10.9.0.7:" + "0" * 5000 + "80"),
    ("slots", 0), ("slots", -1), ("slots", 10**9), ("slots", True), ("slots", "6"),
    ("slots", 1.5), ("state", "gone"), ("state", ""), ("state", 1), ("state", None),
    ("seq", "4"), ("seq", True), ("seq", 1.5), ("coldLeftMs", "0"), ("version", 1),
    ("coldLeftMs", -1), ("coldLeftMs", None),
    ("coldLeftMs", float("nan")), ("coldLeftMs", float("inf")), ("coldLeftMs", True),
    ("born", "now"), ("born", 1.5), ("born", True), ("born", -4), ("born", 10**18),
]  # fmt: skip

INVALID_NAMES = ["", "a/b", "a b", "a\r\nx-evil: 1", "a,b", "ä", "x" * 201, "\0"]


def raw(row) -> bytes:
    return json.dumps(row).encode()


def make_feed(items):
    """Return a feed of a store with these items, and a function that reads it."""

    class Store:
        async def list(self, _prefix, timeout_s=None):
            rows = [StoredItem(wire.TARGETS_PREFIX + n, v, 1) for n, v in items]
            return Listing(tuple(rows), 1)

    feed = TargetFeed(Store())
    return feed, lambda: start(feed.read()).result


def test_valid_entry_is_decoded():
    entry = decode_target("t", raw(VALID))
    assert (entry.name, entry.service, entry.host, entry.port) == ("t", "s1", "10.9.0.7", 8080)
    assert (entry.slots, entry.leaving, entry.born) == (6, False, VALID["born"])
    assert decode_target("t", raw({**VALID, "new": {"a": [1]}})) == entry
    assert decode_target("t", raw({**VALID, "state": "draining"})).leaving


def test_remaining_cold_time_is_decoded_and_an_impossible_one_keeps_the_target_listed():
    assert decode_target("t", raw({**VALID, "coldLeftMs": 1250.5})).cold_left_s == 1.2505
    for impossible in (10**9, 1e300):
        entry = decode_target("t", raw({**VALID, "coldLeftMs": impossible}))
        assert entry.cold_left_s is None and not entry.leaving


def test_entry_without_a_start_time_is_decoded():
    row = {name: value for name, value in VALID.items() if name != "born"}
    assert decode_target("t", raw(row)).born == 0


@pytest.mark.parametrize(("name", "value"), INVALID_FIELDS)
def test_entry_with_an_invalid_field_is_rejected(name, value):
    with pytest.raises(MalformedError):
        decode_target("t", raw({**VALID, name: value}))


@pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state", "seq"])
def test_entry_without_a_required_field_is_rejected(name):
    row = {key: value for key, value in VALID.items() if key != name}
    with pytest.raises(MalformedError):
        decode_target("t", raw(row))


@pytest.mark.parametrize("name", INVALID_NAMES)
def test_invalid_name_is_rejected(name):
    with pytest.raises(MalformedError):
        decode_target(name, raw(VALID))


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"{", b"[]", b"null", b"7", b"[" * 100_000, raw("x")]
)
def test_bytes_that_are_not_an_entry_are_rejected(value):
    with pytest.raises(MalformedError):
        decode_target("t", value)


@given(st.lists(st.tuples(st.sampled_from(INVALID_FIELDS), st.booleans()), max_size=8))
def test_valid_entries_are_read_beside_malformed_ones(invalid):
    items = [("valid-1", raw(VALID))]
    items += [(f"malformed-{i}", raw({**VALID, f: v})) for i, ((f, v), _) in enumerate(invalid)]
    items += [(f"valid-{i + 2}", raw(VALID)) for i, (_, valid) in enumerate(invalid) if valid]
    _feed, read = make_feed(items)
    assert set(read()) == {name for name, _ in items if name.startswith("valid")}


def test_malformed_entry_is_logged_once(caplog):
    caplog.set_level(logging.ERROR)
    malformed = [(f"malformed-{i}", b"{") for i in range(500)]
    _feed, read = make_feed([*malformed, ("valid", raw(VALID))])
    read()
    first = len(caplog.records)
    for _ in range(5):
        read()
    assert 1 <= first <= 50
    assert len(caplog.records) == first
