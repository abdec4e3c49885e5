"""Entries that lapsed in an outage of the store may come back; a peer's list does not end them.

Seen in a soak: after an outage a box kept five of six targets whose entries had lapsed, as it
should; 0.3 s later it took the list of a peer that had started in the outage and dropped them, and
never took them back: it refused each name that it had counted as gone, but counted the lists that
held these names as its own, so it never read the store again, which alone could bring them back.
It refused nearly all requests until its end.
"""

from twisted.internet.task import Clock

from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, TargetKeeper
from gladedrum.beliefs.tests.test_beliefs import ScriptedFeed, answer, entry, pace
from gladedrum.errors import KVUnavailableError
from gladedrum.utils import start

BOTH = {"a": entry("a"), "b": entry("b")}
SHORT = {"a": entry("a")}


def after_an_outage():
    """Return a box that has read the store again, which lists one of its two targets."""
    clock, feed = Clock(), ScriptedFeed()
    kept = TargetKeeper(clock, feed, 2.0, lambda _entry: None, pace(clock, follows_list=True))
    start(kept.run())
    answer(clock, feed, list(BOTH.values()), 2.0)
    for _ in range(8):
        feed.pending.errback(KVUnavailableError("down"))
        clock.advance(1.0)
    answer(clock, feed, list(SHORT.values()), 0.3)
    assert kept.may_get_work("b")
    return clock, feed, kept


def test_a_peers_shorter_list_does_not_end_what_may_come_back():
    clock, _feed, kept = after_an_outage()
    kept.apply_peer_list(SHORT, clock.seconds())
    assert kept.may_get_work("b")
    assert not kept.is_certain
    clock.advance(REAPPEAR_GRACE_S)
    kept.apply_peer_list(SHORT, clock.seconds())
    assert not kept.may_get_work("b")
    assert kept.is_certain


def test_a_box_that_can_not_read_the_store_yet_keeps_what_a_peers_list_lacks():
    clock, feed = Clock(), ScriptedFeed()
    kept = TargetKeeper(clock, feed, 2.0, lambda _entry: None, pace(clock, follows_list=True))
    start(kept.run())
    answer(clock, feed, list(BOTH.values()), 2.0)
    feed.pending.errback(KVUnavailableError("down"))
    clock.advance(5.0)
    kept.apply_peer_list(SHORT, clock.seconds())
    assert kept.may_get_work("b")
    clock.advance(REAPPEAR_GRACE_S)
    kept.apply_peer_list(SHORT, clock.seconds())
    assert not kept.may_get_work("b")


def test_what_is_gone_here_and_listed_by_peers_is_read_from_the_store():
    clock, feed, kept = after_an_outage()
    clock.advance(REAPPEAR_GRACE_S)
    answer(clock, feed, list(SHORT.values()), 0.1)
    assert not kept.may_get_work("b")
    reads = len(feed.calls)
    for _ in range(5):
        clock.advance(1.0)
        kept.apply_peer_list(BOTH, clock.seconds())
    assert len(feed.calls) > reads
    answer(clock, feed, list(BOTH.values()))
    assert kept.may_get_work("b")
