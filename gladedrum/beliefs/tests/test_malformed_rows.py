"""Rows of targets that a peer of an earlier version may have believed and passed on."""

import pytest

from gladedrum.beliefs.list_parts import apply_difference, entries_in
from gladedrum.fleet import TargetEntry
from gladedrum.gossip.wire.ttypes import ListPart, TargetRow

SOUND = TargetEntry("t", "s", "10.9.0.7", 8080, "hall", 6, False)

ODD = [
    {"host": "odd"}, {"host": "224.0.0.1"}, {"host": None}, {"port": 70_000}, {"port": None},
    {"name": None}, {"name": "a b"}, {"service": None}, {"service": "s" * 1000},
    {"data_hall": "z" * 100_000}, {"slots": -1}, {"slots": 10**6}, {"born": -1}, {"born": 10**18},
]  # fmt: skip


# Guards against a target that can't exist, learned from a peer instead of the store.
@pytest.mark.parametrize("fields", ODD, ids=str)
def test_row_that_names_no_target_is_skipped(fields):
    rows = [TargetRow(*SOUND), TargetRow(*SOUND._replace(**{"name": "odd", **fields}))]
    assert entries_in([ListPart(1, 0, 1, 0.0, rows)]) == {"t": SOUND}
    assert apply_difference({}, [ListPart(1, 0, 1, 0.0, rows, True)]) == {"t": SOUND}
