"""Malformed entries in the list of boxes, from the store or from a peer, are skipped."""

import json
import logging

import pytest
from twisted.internet import reactor

from gladedrum.beliefs import membership
from gladedrum.beliefs.box_entries import BoxEntry, decode_entry, encode_entry, entries_in
from gladedrum.beliefs.tests.test_membership import RegistryCase
from gladedrum.gossip.wire.ttypes import BoxRow
from gladedrum.platform.codecs import MalformedError
from gladedrum.utils import sleep

VALID = {"host": "127.0.0.1", "port": 9, "capacity": 1.0, "data_hall": "hall-1"}

INVALID_FIELDS = [
    ("host", "odd"), ("host", ""), ("host", 7), ("host", None), ("host", "127.0.0.1:9"),
    ("port", 0), ("port", -1), ("port", 70_000), ("port", "9"), ("port", 1.5), ("port", True),
    ("port", 10**30), ("port", None), ("data_hall", 7), ("data_hall", "h" * 3000),
    ("data_hall", "a\nb"),
]  # fmt: skip

INVALID_VALUES = [
    b"", b"{}", b"[]", b"7", b"null", b"\xff\xfe", b"[" * 100_000, b'{"port": 9}',
    b'{"host": "127.0.0.1"}', b'{"host": "127.0.0.1", "port": 1e400}',
    b'{"host": "127.0.0.1", "port": ' + b"9" * 5000 + b"}",
    b'{"host": "127.0.0.1", "port": 9, "data_hall": "\\ud800"}',
]  # fmt: skip


def test_entry_keeps_its_values():
    entry = BoxEntry("127.0.0.1", 9, 1.0, "hall-1")
    assert decode_entry("x.1", encode_entry(entry)) == entry


# Guards against an entry of another writer that raises where a datagram is sent.
@pytest.mark.parametrize(("field", "value"), INVALID_FIELDS)
def test_entry_with_an_invalid_field_is_rejected(field, value):
    with pytest.raises(MalformedError):
        decode_entry("x.1", json.dumps({**VALID, field: value}).encode())


@pytest.mark.parametrize("value", INVALID_VALUES)
def test_bytes_that_are_no_entry_are_rejected(value):
    with pytest.raises(MalformedError):
        decode_entry("x.1", value)


@pytest.mark.parametrize("name", ["", "a\nb", "x" * 5000, "\ud800", "\0"])
def test_name_that_is_none_of_a_box_is_rejected(name):
    with pytest.raises(MalformedError):
        decode_entry(name, json.dumps(VALID).encode())


# Guards against a box that believes, or passes on, an odd row of a peer that has believed it.
def test_unusable_rows_of_a_peer_are_skipped():
    rows = [
        BoxRow("x.1", "odd", 9, 1.0, ""), BoxRow("x.2", "127.0.0.1", 70_000, 1.0, ""),
        BoxRow(None, "127.0.0.1", 9, 1.0, ""), BoxRow("x.3", None, None, None, None),
        BoxRow("y.1", "127.0.0.1", 9, float("nan"), None),
    ]  # fmt: skip
    assert entries_in(rows) == {"y.1": BoxEntry("127.0.0.1", 9)}


class MalformedBoxTest(RegistryCase):
    # Guards against one odd entry that ends the reading of the list of boxes.
    async def test_boxes_are_listed_beside_malformed_entries(self):
        for number, value in enumerate(INVALID_VALUES):
            self.service.write(f"{membership.BOXES_PREFIX}odd-{number}.1", value)
        self.service.write(membership.BOXES_PREFIX + "b.1", encode_entry(BoxEntry("127.0.0.1", 2)))
        with self.assertLogs(level=logging.ERROR) as logs:
            first = self.box("a.1", 1)
            while not first.is_registered:
                await sleep(reactor, 0.01)
        assert set(first.peers) == {"b.1"}
        assert first.malformed.count == len(logs.records) == len(INVALID_VALUES)
