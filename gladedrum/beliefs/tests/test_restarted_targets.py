"""A target that restarts under its name, as listed by the store or by a peer.

A later start is a new process: what is known of the earlier one does not apply to it.
"""

import random

from twisted.internet.task import Clock

from gladedrum.beliefs.list_parts import apply_difference, entries_in, list_parts
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.fleet import TargetEntry

OLD, NEW = 1_000_000, 1_004_000


def entry(born, leaving=False, name="t1"):
    return TargetEntry(name, "s", "10.0.0.1", 9000, "hall", 6, leaving, born)


class FollowedTargets:
    """A target list follower on a virtual clock; `reported` holds new and restarted targets."""

    def __init__(self, *entries):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.reported = []
        pace = StorePace(self.clock, random.Random(1))
        self.follower = TargetListFollower(
            self.clock, None, 2.0, lambda _entry: None, pace, self.reported.append
        )
        self.read(*entries)

    def read(self, *entries):
        self.clock.advance(0.5)
        self.follower._apply_read({e.name: e for e in entries}, self.clock.seconds())

    def receive(self, *entries):
        self.clock.advance(0.5)
        self.follower.apply_peer_list({e.name: e for e in entries}, self.clock.seconds())

    def current(self, name="t1"):
        return self.follower.entries.get(name)


def test_a_later_start_of_a_leaving_target_accepts_requests():
    listed = FollowedTargets(entry(OLD, leaving=True))
    listed.read(entry(NEW))
    assert listed.follower.accepts_requests("t1")


def test_a_late_list_with_an_earlier_start_changes_nothing():
    listed = FollowedTargets(entry(NEW))
    listed.receive(entry(OLD, leaving=True))
    assert listed.current() == entry(NEW)


def test_the_same_start_stays_leaving():
    listed = FollowedTargets(entry(OLD, leaving=True))
    listed.read(entry(OLD))
    assert not listed.follower.accepts_requests("t1")


def test_a_peers_list_brings_back_a_later_start_of_a_gone_target_but_not_the_same_one():
    listed = FollowedTargets(entry(OLD), entry(OLD, name="t2"))
    listed.read(entry(OLD, name="t2"))
    assert listed.current() is None
    listed.receive(entry(OLD), entry(OLD, name="t2"))
    assert listed.current() is None
    listed.receive(entry(NEW), entry(OLD, name="t2"))
    assert listed.current() == entry(NEW)
    assert listed.follower.age_s == 0


def test_new_and_restarted_targets_are_reported():
    listed = FollowedTargets(entry(OLD), entry(OLD, name="t2"))
    listed.reported.clear()
    listed.read(entry(NEW), entry(OLD, name="t2"))
    assert listed.reported == [entry(NEW)]


def test_lists_from_peers_include_the_start():
    before, now = {"t1": entry(OLD)}, {"t1": entry(NEW)}
    assert entries_in(list_parts(1, None, now, 0.1)) == now
    assert apply_difference(before, list_parts(1, before, now, 0.1)) == now
