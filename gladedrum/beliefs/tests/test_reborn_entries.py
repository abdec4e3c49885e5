"""A target that starts again under its name, in the list: read from the store or told by a peer.

The name of a target that was gone, or leaving, may come back with a later start: it is a new
process, and what was seen of the old one says nothing about it.
"""

import random

from twisted.internet.task import Clock

from gladedrum.beliefs.list_parts import changed_list, list_parts, whole_list
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetKeeper
from gladedrum.fleet import TargetEntry

OLD, NEW = 1_000_000, 1_004_000


def entry(born, leaving=False, name="t1"):
    return TargetEntry(name, "s", "10.0.0.1", 9000, "hall", 6, leaving, born)


class Listed:
    """A list of targets on a clock."""

    def __init__(self, *entries):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.listed = []
        pace = StorePace(self.clock, random.Random(1))
        self.keeper = TargetKeeper(
            self.clock, None, 2.0, lambda _entry: None, pace, self.listed.append
        )
        self.read(*entries)

    def read(self, *entries):
        self.clock.advance(0.5)
        self.keeper._apply_read({e.name: e for e in entries}, self.clock.seconds())

    def told(self, *entries):
        self.clock.advance(0.5)
        self.keeper.apply_peer_list({e.name: e for e in entries}, self.clock.seconds())

    def now(self, name="t1"):
        return self.keeper.entries.get(name)


def test_a_later_start_of_a_leaving_target_may_get_work():
    listed = Listed(entry(OLD, leaving=True))
    listed.read(entry(NEW))
    assert listed.keeper.may_get_work("t1")


def test_an_earlier_start_that_is_told_late_changes_nothing():
    listed = Listed(entry(NEW))
    listed.told(entry(OLD, leaving=True))
    assert listed.now() == entry(NEW)


def test_the_same_start_goes_on_leaving():
    listed = Listed(entry(OLD, leaving=True))
    listed.read(entry(OLD))
    assert not listed.keeper.may_get_work("t1")


def test_a_later_start_of_a_target_that_was_gone_is_taken_from_a_peer_and_the_earlier_is_not():
    listed = Listed(entry(OLD), entry(OLD, name="t2"))
    listed.read(entry(OLD, name="t2"))
    assert listed.now() is None
    listed.told(entry(OLD), entry(OLD, name="t2"))
    assert listed.now() is None
    listed.told(entry(NEW), entry(OLD, name="t2"))
    assert listed.now() == entry(NEW)
    assert listed.keeper.age_s == 0


def test_each_entry_that_is_new_or_has_started_again_is_told():
    listed = Listed(entry(OLD), entry(OLD, name="t2"))
    listed.listed.clear()
    listed.read(entry(NEW), entry(OLD, name="t2"))
    assert listed.listed == [entry(NEW)]


def test_peers_hand_the_start_on():
    before, now = {"t1": entry(OLD)}, {"t1": entry(NEW)}
    assert whole_list(list_parts(1, None, now, 0.1)) == now
    assert changed_list(before, list_parts(1, before, now, 0.1)) == now
