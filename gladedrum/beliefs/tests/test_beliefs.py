"""Beliefs only move forward, and their age counts from the call that vouches for them."""

import random

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from gladedrum.beliefs.configuration import WATCH_S, ConfigurationKeeper
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetKeeper
from gladedrum.errors import KVUnavailableError
from gladedrum.fleet import TargetEntry
from gladedrum.platform.feeds import ConfigurationNews
from gladedrum.platform.store import HistoryGoneError
from gladedrum.routes import RouteTable
from gladedrum.utils import start

CHANGE_BOUND_S = 2.0
LEAVE_BOUND_S = 2.0


class ScriptedFeed:
    """Notes each call; the test answers it."""

    def __init__(self):
        self.calls = []

    async def read(self, probe=False):
        return await self._call("read")

    async def watch(self, after_revision, _wait_s):
        return await self._call(after_revision)

    def _call(self, what):
        self.calls.append(what)
        self.pending = defer.Deferred()
        return self.pending


def pace(clock, follows=False, follows_list=False):
    return StorePace(clock, random.Random(1), lambda: follows, lambda: follows_list)


def keeper():
    clock, feed = Clock(), ScriptedFeed()
    kept = ConfigurationKeeper(clock, feed, CHANGE_BOUND_S, pace(clock))
    start(kept.run())
    return clock, feed, kept


def test_age_counts_from_the_sending_of_the_call():
    clock, feed, kept = keeper()
    clock.advance(0.7)
    feed.pending.callback(ConfigurationNews(RouteTable(1), 10))
    assert kept.table.version == 1
    assert kept.age_s == 0.7


def test_a_lower_version_never_comes_into_force():
    _clock, feed, kept = keeper()
    feed.pending.callback(ConfigurationNews(RouteTable(5), 10))
    feed.pending.callback(ConfigurationNews(RouteTable(4), 11))
    feed.pending.callback(ConfigurationNews(RouteTable(5), 12))
    assert kept.table.version == 5
    assert feed.calls == ["read", 10, 11, 12]


def test_a_failed_call_vouches_for_nothing_and_all_is_read_again():
    clock, feed, kept = keeper()
    feed.pending.callback(ConfigurationNews(RouteTable(5), 10))
    clock.advance(1.0)
    feed.pending.errback(KVUnavailableError("cut"))
    clock.advance(1.0)
    assert kept.age_s == 2.0
    assert feed.calls == ["read", 10, "read"]


def test_a_configuration_is_current_while_a_watch_waits_and_not_when_it_stays_away():
    clock, feed, kept = keeper()
    feed.pending.callback(ConfigurationNews(RouteTable(5), 10))
    clock.advance(WATCH_S)
    feed.pending.callback(ConfigurationNews(None, 11))
    clock.advance(WATCH_S - 0.1)
    assert kept.age_s > CHANGE_BOUND_S
    assert kept.is_current
    clock.advance(0.3)
    assert not kept.is_current
    feed.pending.errback(KVUnavailableError("cut"))
    assert not kept.is_current


def test_a_forgotten_history_is_read_whole():
    _clock, feed, kept = keeper()
    feed.pending.callback(ConfigurationNews(RouteTable(5), 10))
    feed.pending.errback(HistoryGoneError("gone"))
    feed.pending.callback(ConfigurationNews(RouteTable(6), 99))
    assert kept.table.version == 6
    assert feed.calls == ["read", 10, "read", 99]


def follower():
    clock, feed = Clock(), ScriptedFeed()
    kept = ConfigurationKeeper(clock, feed, CHANGE_BOUND_S, pace(clock, follows=True))
    running = start(kept.run())
    feed.pending.callback(ConfigurationNews(RouteTable(5), 10))
    return clock, feed, kept, running


def test_a_box_whose_peers_vouch_does_not_call_the_store():
    clock, feed, kept, _running = follower()
    for _ in range(40):
        clock.advance(0.5)
        kept.confirm_from_peer(5, clock.seconds(), 0.3)
    assert feed.calls == ["read"]
    assert kept.age_s <= 0.3 + 1e-9


def test_a_box_whose_peers_stop_vouching_reads_within_the_bound():
    """Found on a standard day: keys were refused for 8 s after a restart of all boxes."""
    clock, feed, kept, _running = follower()
    for _ in range(8):
        clock.advance(0.5)
        kept.confirm_from_peer(5, clock.seconds(), 0.0)
    assert feed.calls == ["read"]
    clock.pump([0.1] * 19)
    assert feed.calls == ["read", "read"]
    feed.pending.callback(ConfigurationNews(RouteTable(7), 20))
    assert kept.table.version == 7


def test_peers_whose_belief_is_old_do_not_keep_a_box_from_reading():
    clock, feed, kept, _running = follower()
    for _ in range(8):
        clock.advance(0.25)
        kept.confirm_from_peer(5, clock.seconds(), 60.0)
    assert feed.calls == ["read", "read"]


def test_a_box_reads_at_once_what_a_peer_knows_newer_and_a_stop_ends_the_task():
    _clock, feed, kept, running = follower()
    kept.confirm_from_peer(6, 0.0, 0.0)
    assert feed.calls == ["read", "read"]
    feed.pending.callback(ConfigurationNews(RouteTable(6), 11))
    assert kept.table.version == 6
    ended = []
    running.addBoth(ended.append)
    running.cancel()
    assert ended


def test_in_an_outage_a_box_whose_peers_answer_calls_the_store_seldom():
    clock, feed, kept, _running = follower()
    for _ in range(40):
        clock.advance(0.25)
        kept._pace.note_peer_answer(clock.seconds())
        kept.confirm_from_peer(5, clock.seconds(), clock.seconds())
        if not feed.pending.called:
            feed.pending.errback(KVUnavailableError("down"))
    assert 4 <= len(feed.calls) <= 9


def entry(name, leaving=False):
    return TargetEntry(name, "s", "10.0.0.1", 9000, "hall", 6, leaving)


def target_keeper():
    clock, feed, gone = Clock(), ScriptedFeed(), []
    kept = TargetKeeper(clock, feed, 2.0, lambda e: gone.append(e.name), pace(clock))
    start(kept.run())
    return clock, feed, kept, gone


def answer(clock, feed, entries, after_s=1.0):
    feed.pending.callback({e.name: e for e in entries})
    clock.advance(after_s)


def test_a_first_list_is_one_log_line_and_a_change_one_a_target(caplog):
    """Thundering herd: 195 boxes that started together wrote 41,000 lines about 155 targets."""
    caplog.set_level("INFO")
    _clock, _feed, kept, _gone = target_keeper()
    kept._apply_read({f"t{i}": entry(f"t{i}") for i in range(155)}, 0.0)
    assert [record.message for record in caplog.records] == ["targets listed"]
    caplog.clear()
    kept._apply_read({f"t{i}": entry(f"t{i}") for i in range(1, 156)}, 1.0)
    assert sorted(record.message for record in caplog.records) == ["target gone", "target listed"]


def test_a_target_that_leaves_or_goes_gets_no_work():
    clock, feed, kept, gone = target_keeper()
    for _ in range(4):
        answer(clock, feed, [entry("a"), entry("b"), entry("c")])
    answer(clock, feed, [entry("a"), entry("b", leaving=True)])
    assert [e.name for e in kept.usable("s")] == ["a"]
    assert not kept.may_get_work("b")
    assert gone == ["c"]


def test_a_box_that_has_just_started_does_not_keep_entries_that_go():
    """Found by a hunt: its first read counted as the end of an outage."""
    clock, feed, kept, gone = target_keeper()
    answer(clock, feed, [entry("a"), entry("b")])
    answer(clock, feed, [entry("a")])
    assert not kept.may_get_work("b")
    assert gone == ["b"]


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
    clock, feed, kept, gone = target_keeper()
    answer(clock, feed, [entry("a"), entry("b")])
    for _ in range(8):
        feed.pending.errback(KVUnavailableError("down"))
        clock.advance(1.0)
    answer(clock, feed, [entry("a")])
    assert kept.may_get_work("b")
    for _ in range(3):
        answer(clock, feed, [entry("a")])
    assert not kept.may_get_work("b")
    assert gone == ["b"]


def test_a_target_that_has_left_stays_so_whatever_its_entry_says_later():
    clock, feed, kept, _gone = target_keeper()
    answer(clock, feed, [entry("a", leaving=True)])
    answer(clock, feed, [entry("a")])
    assert not kept.may_get_work("a")


def test_a_peers_list_is_taken_but_brings_back_nothing_that_has_gone():
    clock, feed, kept, gone = target_keeper()
    answer(clock, feed, [entry("a"), entry("b"), entry("c")])
    answer(clock, feed, [entry("a"), entry("b")])
    assert gone == ["c"]
    listed = {e.name: e for e in (entry("a"), entry("c"), entry("d"))}
    kept.apply_peer_list(listed, clock.seconds())
    assert sorted(kept.entries) == ["a", "d"]
    assert gone == ["c", "b"]
    kept.apply_peer_list({"b": entry("b")}, clock.seconds() - 5.0)
    assert sorted(kept.entries) == ["a", "d"]


def test_a_read_of_the_store_brings_back_what_had_gone():
    clock, feed, kept, _gone = target_keeper()
    answer(clock, feed, [entry("a"), entry("b")])
    answer(clock, feed, [entry("a")])
    answer(clock, feed, [entry("a"), entry("b")])
    assert kept.may_get_work("b")
    kept.apply_peer_list({e.name: e for e in (entry("a"), entry("b"))}, clock.seconds())
    assert kept.may_get_work("b")


@pytest.mark.parametrize("vouched, reads", [(True, 1), (False, 4)])
def test_a_box_reads_the_list_itself_only_if_no_reader_vouches_for_it(vouched, reads):
    clock, feed = Clock(), ScriptedFeed()
    kept = TargetKeeper(
        clock, feed, LEAVE_BOUND_S, lambda _entry: None, pace(clock, follows_list=True)
    )
    start(kept.run())
    feed.pending.callback({"t": entry("t")})
    for _ in range(50):
        clock.advance(0.1)
        if vouched:
            kept.confirm_from_peer(kept.digest, clock.seconds(), 0.8)
        if not feed.pending.called:
            feed.pending.callback({"t": entry("t")})
        assert kept.age_s < LEAVE_BOUND_S
    assert len(feed.calls) == reads
