"""Entries that expired in an outage of the store may reappear; a peer's list does not remove them.

Guards against a box that drops such targets because the list of a peer that started in the outage
lacks them. Also guards against a box that never reads the store again, and so never gets dropped
targets back, because later lists of peers that name them confirm its own list.
"""

from twisted.internet.task import Clock

from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, TargetListFollower
from gladedrum.beliefs.tests.test_beliefs import ScriptedFeed, answer, entry, pace
from gladedrum.errors import KVUnavailableError
from gladedrum.utils import start

BOTH = {"a": entry("a"), "b": entry("b")}
SHORT = {"a": entry("a")}


def after_an_outage():
    """Return a box whose first read after an outage lists one of its two targets."""
    clock, feed = Clock(), ScriptedFeed()
    targets = TargetListFollower(
        clock, feed, 2.0, lambda _entry: None, pace(clock, follows_list=True)
    )
    start(targets.run())
    answer(clock, feed, list(BOTH.values()), 2.0)
    for _ in range(8):
        feed.pending.errback(KVUnavailableError("down"))
        clock.advance(1.0)
    answer(clock, feed, list(SHORT.values()), 0.3)
    assert targets.accepts_requests("b")
    return clock, feed, targets


def test_a_peers_shorter_list_does_not_remove_entries_that_may_reappear():
    clock, _feed, targets = after_an_outage()
    targets.apply_peer_list(SHORT, clock.seconds())
    assert targets.accepts_requests("b")
    assert not targets.is_certain
    clock.advance(REAPPEAR_GRACE_S)
    targets.apply_peer_list(SHORT, clock.seconds())
    assert not targets.accepts_requests("b")
    assert targets.is_certain


def test_a_box_that_cannot_read_the_store_yet_keeps_entries_that_a_peers_list_lacks():
    clock, feed = Clock(), ScriptedFeed()
    targets = TargetListFollower(
        clock, feed, 2.0, lambda _entry: None, pace(clock, follows_list=True)
    )
    start(targets.run())
    answer(clock, feed, list(BOTH.values()), 2.0)
    for _ in range(5):
        feed.pending.errback(KVUnavailableError("down"))
        clock.advance(1.0)
    targets.apply_peer_list(SHORT, clock.seconds())
    assert targets.accepts_requests("b")
    clock.advance(REAPPEAR_GRACE_S)
    targets.apply_peer_list(SHORT, clock.seconds())
    assert not targets.accepts_requests("b")


def test_the_store_is_read_if_peers_list_a_target_that_is_gone_here():
    clock, feed, targets = after_an_outage()
    clock.advance(REAPPEAR_GRACE_S)
    answer(clock, feed, list(SHORT.values()), 0.1)
    assert not targets.accepts_requests("b")
    reads = len(feed.calls)
    for _ in range(5):
        clock.advance(1.0)
        targets.apply_peer_list(BOTH, clock.seconds())
    assert len(feed.calls) > reads
    answer(clock, feed, list(BOTH.values()))
    assert targets.accepts_requests("b")
