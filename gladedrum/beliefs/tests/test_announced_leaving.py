"""Targets that have announced that they are leaving, and lists that do not show it.

The announcement holds for the lifetime of that start: the list may be outdated in an outage or
after a restore of the store.
"""

from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, RESTORE_HOLD_S
from gladedrum.beliefs.tests.test_restarted_targets import NEW, OLD, FollowedTargets, entry


def announced(born=OLD, announced_start=OLD):
    """Return a list of t1 and t2 after a start of t1 has announced that it is leaving."""
    listed = FollowedTargets(entry(born), entry(born, name="t2"))
    assert listed.follower.note_leaving("t1", announced_start)
    assert not listed.follower.note_leaving("t1", announced_start)
    return listed


def test_no_list_reverts_the_announcement():
    listed = announced()
    listed.read(entry(OLD), entry(OLD, name="t2"))
    assert not listed.follower.accepts_requests("t1")
    listed.receive(entry(OLD), entry(OLD, name="t2"))
    assert not listed.follower.accepts_requests("t1")
    assert [e.name for e in listed.follower.usable("s")] == ["t2"]


def test_an_entry_that_expires_and_reappears_is_still_leaving():
    listed = announced()
    listed.read(entry(OLD, name="t2"))
    assert listed.current() is None
    listed.read(entry(OLD), entry(OLD, name="t2"))
    assert not listed.follower.accepts_requests("t1")


def test_a_restored_store_does_not_revert_it():
    listed = announced()
    listed.follower.note_store_restored()
    listed.read(entry(OLD, name="t2"))
    for pause_s in (REAPPEAR_GRACE_S, RESTORE_HOLD_S, 10.0):
        listed.clock.advance(pause_s)
        listed.read(entry(OLD), entry(OLD, name="t2"))
        assert not listed.follower.accepts_requests("t1")


def test_it_does_not_apply_to_a_later_start():
    listed = announced()
    listed.read(entry(NEW), entry(OLD, name="t2"))
    assert listed.follower.accepts_requests("t1")


def test_it_does_not_apply_to_a_later_start_known_only_from_reports():
    listed = announced()
    listed.follower.note_start("t1", NEW)
    assert listed.follower.accepts_requests("t1")
    listed.read(entry(OLD), entry(OLD, name="t2"))
    assert listed.current() == entry(NEW)


def test_an_earlier_starts_announcement_does_not_apply_to_the_listed_start():
    listed = FollowedTargets(entry(NEW))
    assert not listed.follower.note_leaving("t1", OLD)
    assert listed.follower.accepts_requests("t1")


def test_an_announcement_ahead_of_the_list_applies_once_the_start_is_listed():
    listed = announced(OLD, NEW)
    listed.read(entry(NEW), entry(OLD, name="t2"))
    assert not listed.follower.accepts_requests("t1")


def test_a_target_without_a_start_time_may_be_listed_again_after_it_was_gone():
    listed = announced(0, 0)
    listed.read(entry(0), entry(0, name="t2"))
    assert not listed.follower.accepts_requests("t1")
    listed.read(entry(0, name="t2"))
    listed.read(entry(0), entry(0, name="t2"))
    assert listed.follower.accepts_requests("t1")


def test_it_is_taken_from_a_peers_list_of_any_age():
    listed = FollowedTargets(entry(OLD), entry(OLD, name="t2"))
    old_s = listed.clock.seconds() - 5.0
    peers = (entry(OLD, leaving=True), entry(OLD, name="t2"))
    listed.follower.apply_peer_list({e.name: e for e in peers}, old_s)
    assert not listed.follower.accepts_requests("t1")
    assert listed.follower.accepts_requests("t2")
    assert listed.follower.age_s < 5.0


def test_a_target_that_goes_after_its_announcement_is_reported_as_leaving():
    gone = []
    listed = announced()
    listed.follower._on_gone = gone.append
    listed.read(entry(OLD, name="t2"))
    assert [e.leaving for e in gone] == [True]
