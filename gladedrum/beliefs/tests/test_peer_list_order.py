"""Peers' lists that arrive out of order or around an outage, to a box that relies on them."""

from twisted.internet.task import Clock

from gladedrum.beliefs.target_list import (
    MAX_KEPT_S,
    PEER_LIST_DELAY_S,
    REAPPEAR_GRACE_S,
    TargetListFollower,
)
from gladedrum.beliefs.tests.test_beliefs import ScriptedFeed, answer, entry, pace
from gladedrum.errors import KVUnavailableError
from gladedrum.utils import start

A, B, C = entry("a"), entry("b"), entry("c")


def follower(*listed):
    """Return the list of a box that relies on peers, after one read of `listed` from the store."""
    clock, feed, gone = Clock(), ScriptedFeed(), []
    targets = TargetListFollower(
        clock, feed, 2.0, lambda entry: gone.append(entry.name), pace(clock, follows_list=True)
    )
    start(targets.run())
    answer(clock, feed, list(listed))
    return clock, feed, targets, gone


def test_an_older_list_removes_no_target_of_a_newer_one_that_confirmed_nothing():
    """A list with a gone target confirms nothing; an older list must still not replace it."""
    clock, _feed, targets, gone = follower(A, B)
    clock.advance(0.5)
    targets.apply_peer_list({"a": A}, 0.4)
    assert gone == ["b"]
    clock.advance(0.6)
    # b is listed again and c is new, in a list confirmed at 1.0.
    targets.apply_peer_list({"a": A, "b": B, "c": C}, 1.0)
    assert targets.accepts_requests("c")
    # A list of another reader, confirmed at 0.8.
    targets.apply_peer_list({"a": A, "b": B}, 0.8)
    assert targets.accepts_requests("c")
    assert gone == ["b"]


def test_a_list_from_before_an_outage_does_not_count_as_its_end():
    """Otherwise the grace period ends before the store is available again."""
    clock, feed, targets, _gone = follower(A, B)
    clock.advance(1.6)
    feed.pending.errback(KVUnavailableError("down"))
    targets.apply_peer_list({"a": A, "b": B}, 0.05)
    for _ in range(6):
        clock.advance(1.3)
        if not feed.pending.called:
            feed.pending.errback(KVUnavailableError("down"))
    # The store is back; a peer that started in the outage lacks some entries.
    targets.apply_peer_list({"a": A}, clock.seconds())
    assert targets.accepts_requests("b")
    clock.advance(MAX_KEPT_S + PEER_LIST_DELAY_S)
    targets.apply_peer_list({"a": A}, clock.seconds())
    assert not targets.accepts_requests("b")


def test_a_gone_target_is_removed_while_only_this_box_cannot_read_the_store():
    """Failed reads alternate with peers' lists; a list must not start another grace period."""
    clock, feed, targets, _gone = follower(A, B)
    gone_s = 10.0
    while clock.seconds() < gone_s + 2 * REAPPEAR_GRACE_S:
        clock.advance(0.1)
        if not feed.pending.called:
            feed.pending.errback(KVUnavailableError("cut off"))
        read_s = clock.seconds() - 1.4
        targets.apply_peer_list({"a": A} if read_s >= gone_s else {"a": A, "b": B}, read_s)
    assert not targets.accepts_requests("b")
