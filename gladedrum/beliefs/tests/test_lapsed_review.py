"""Peers' lists that a box takes and that do not vouch for its own: their order, and outages."""

from twisted.internet.task import Clock

from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, TargetKeeper
from gladedrum.beliefs.tests.test_beliefs import ScriptedFeed, answer, entry, pace
from gladedrum.errors import KVUnavailableError
from gladedrum.utils import start

A, B, C = entry("a"), entry("b"), entry("c")


def follower(*listed):
    """Return a box that leaves the list to its peers and has read it once."""
    clock, feed, gone = Clock(), ScriptedFeed(), []
    kept = TargetKeeper(
        clock, feed, 2.0, lambda entry: gone.append(entry.name), pace(clock, follows_list=True)
    )
    start(kept.run())
    answer(clock, feed, list(listed))
    return clock, feed, kept, gone


def test_an_older_list_ends_no_target_of_a_newer_one_that_did_not_vouch():
    """A list with a target that is gone here does not count as read, so an older one came after."""
    clock, _feed, kept, gone = follower(A, B)
    clock.advance(0.5)
    kept.apply_peer_list({"a": A}, 0.4)
    assert gone == ["b"]
    clock.advance(0.6)
    # b is back under its name, and c is new: a list of 1.0.
    kept.apply_peer_list({"a": A, "b": B, "c": C}, 1.0)
    assert kept.may_get_work("c")
    # The list of another reader, of 0.8.
    kept.apply_peer_list({"a": A, "b": B}, 0.8)
    assert kept.may_get_work("c")
    assert gone == ["b"]


def test_a_list_from_before_an_outage_is_not_taken_for_its_end():
    """A list older than the usual pause left the box cut off, and used up the time to return."""
    clock, feed, kept, _gone = follower(A, B)
    clock.advance(1.6)
    feed.pending.errback(KVUnavailableError("down"))
    kept.apply_peer_list({"a": A, "b": B}, 0.05)
    for _ in range(6):
        clock.advance(1.3)
        if not feed.pending.called:
            feed.pending.errback(KVUnavailableError("down"))
    # The store is back; a peer that started in the outage knows a part of the entries.
    kept.apply_peer_list({"a": A}, clock.seconds())
    assert kept.may_get_work("b")
    clock.advance(REAPPEAR_GRACE_S)
    kept.apply_peer_list({"a": A}, clock.seconds())
    assert not kept.may_get_work("b")


def test_a_target_that_has_gone_does_not_stay_while_only_this_box_can_not_read_the_store():
    """Its reads failed in turn with peers' lists, and each list seemed to end another outage."""
    clock, feed, kept, _gone = follower(A, B)
    gone_s = 10.0
    while clock.seconds() < gone_s + 2 * REAPPEAR_GRACE_S:
        clock.advance(0.1)
        if not feed.pending.called:
            feed.pending.errback(KVUnavailableError("cut off"))
        read_s = clock.seconds() - 1.4
        kept.apply_peer_list({"a": A} if read_s >= gone_s else {"a": A, "b": B}, read_s)
    assert not kept.may_get_work("b")
