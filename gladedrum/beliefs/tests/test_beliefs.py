"""Configuration and target list: versions never decrease, ages count from the confirming call."""

import random

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from gladedrum.beliefs.configuration import WATCH_S, Activity, ConfigurationFollower
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.errors import KVUnavailableError
from gladedrum.fleet import TargetEntry
from gladedrum.platform.feeds import ConfigurationUpdate
from gladedrum.platform.store import HistoryGoneError
from gladedrum.routes import Configuration
from gladedrum.utils import start

CHANGE_BOUND_S = 2.0
LEAVE_BOUND_S = 2.0


class ScriptedFeed:
    """Records each call; the test resolves it."""

    def __init__(self):
        self.calls = []

    async def read(self, _timeout_s):
        return await self._call("read")

    async def watch(self, after_revision, _wait_s):
        return await self._call(after_revision)

    def decode(self, raw):
        return Configuration(int(raw))

    def _call(self, what):
        self.calls.append(what)
        self.pending = defer.Deferred()
        return self.pending


def pace(clock, follows=False, follows_list=False):
    return StorePace(clock, random.Random(1), lambda: follows, lambda: follows_list)


def configuration_follower():
    clock, feed = Clock(), ScriptedFeed()
    configuration = ConfigurationFollower(clock, feed, CHANGE_BOUND_S, pace(clock))
    start(configuration.run())
    return clock, feed, configuration


def test_age_counts_from_when_the_call_was_sent():
    clock, feed, configuration = configuration_follower()
    clock.advance(0.7)
    feed.pending.callback(ConfigurationUpdate(Configuration(1), 10))
    assert configuration.in_force.version == 1
    assert configuration.age_s == 0.7


def test_a_lower_version_is_never_applied():
    _clock, feed, configuration = configuration_follower()
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 10))
    feed.pending.callback(ConfigurationUpdate(Configuration(4), 11))
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 12))
    assert configuration.in_force.version == 5
    assert feed.calls == ["read", 10, 11, 12]


def test_a_failed_call_confirms_nothing_and_is_followed_by_a_full_read():
    clock, feed, configuration = configuration_follower()
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 10))
    clock.advance(1.0)
    feed.pending.errback(KVUnavailableError("cut"))
    clock.advance(1.0)
    assert configuration.age_s == 2.0
    assert feed.calls == ["read", 10, "read"]


def test_a_configuration_is_current_while_a_watch_is_open_but_not_when_it_is_late():
    clock, feed, configuration = configuration_follower()
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 10))
    clock.advance(WATCH_S)
    feed.pending.callback(ConfigurationUpdate(None, 11))
    clock.advance(WATCH_S - 0.1)
    assert configuration.age_s > CHANGE_BOUND_S
    assert configuration.is_current
    clock.advance(0.3)
    assert not configuration.is_current
    feed.pending.errback(KVUnavailableError("cut"))
    assert not configuration.is_current


def test_an_open_watch_does_not_make_an_old_configuration_current():
    """An unknown route must not be refused for good if a change may have been missed long ago."""
    clock, feed, configuration = configuration_follower()
    clock.advance(1.4)
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 10))
    clock.advance(CHANGE_BOUND_S - 1.4 - 0.1)
    assert configuration.is_current
    clock.advance(0.2)
    assert not configuration.is_current


def test_a_full_read_follows_when_the_history_was_dropped():
    _clock, feed, configuration = configuration_follower()
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 10))
    feed.pending.errback(HistoryGoneError("gone"))
    feed.pending.callback(ConfigurationUpdate(Configuration(6), 99))
    assert configuration.in_force.version == 6
    assert feed.calls == ["read", 10, "read", 99]


def peer_reliant_follower():
    clock, feed = Clock(), ScriptedFeed()
    configuration = ConfigurationFollower(clock, feed, CHANGE_BOUND_S, pace(clock, follows=True))
    running = start(configuration.run())
    feed.pending.callback(ConfigurationUpdate(Configuration(5), 10))
    return clock, feed, configuration, running


def test_a_box_does_not_call_the_store_while_peers_confirm():
    clock, feed, configuration, _running = peer_reliant_follower()
    for _ in range(40):
        clock.advance(0.5)
        configuration.confirm_from_peer(5, clock.seconds(), 0.3)
    assert feed.calls == ["read"]
    assert configuration.age_s <= 0.3 + 1e-9


def test_a_box_reads_within_the_bound_after_peers_stop_confirming():
    """Otherwise keys are refused after a restart of all boxes."""
    clock, feed, configuration, _running = peer_reliant_follower()
    for _ in range(8):
        clock.advance(0.5)
        configuration.confirm_from_peer(5, clock.seconds(), 0.0)
    assert feed.calls == ["read"]
    clock.pump([0.1] * 19)
    assert feed.calls == ["read", "read"]
    feed.pending.callback(ConfigurationUpdate(Configuration(7), 20))
    assert configuration.in_force.version == 7


def test_stale_confirmations_do_not_keep_a_box_from_reading():
    clock, feed, configuration, _running = peer_reliant_follower()
    for _ in range(8):
        clock.advance(0.25)
        configuration.confirm_from_peer(5, clock.seconds(), 60.0)
    assert feed.calls == ["read", "read"]


def test_a_box_reads_at_once_if_a_peer_has_a_newer_version_and_can_be_cancelled():
    _clock, feed, configuration, running = peer_reliant_follower()
    configuration.confirm_from_peer(6, 0.0, 0.0)
    assert feed.calls == ["read", "read"]
    feed.pending.callback(ConfigurationUpdate(Configuration(6), 11))
    assert configuration.in_force.version == 6
    ended = []
    running.addBoth(ended.append)
    running.cancel()
    assert ended


def test_the_status_tells_why_a_newer_version_is_not_in_force():
    clock, feed, configuration, _running = peer_reliant_follower()
    assert configuration.status == (5, 5, 0.0, 0.0, Activity.RELYING_ON_PEERS, 0, "")
    configuration.confirm_from_peer(8, 0.0, 0.0)
    clock.advance(0.25)
    assert configuration.status == (5, 8, 0.25, 0.25, Activity.READING, 0, "")
    feed.pending.errback(KVUnavailableError("status 503"))
    status = configuration.status
    assert status.activity == Activity.PAUSING
    assert (status.failed_reads, status.last_failure) == (1, "status 503")
    configuration.apply_peer_configuration(b"8", 0.25)
    assert configuration.status[:2] == (8, 8)
    assert configuration.status.behind_s == 0.0


def test_each_failed_read_is_logged_while_a_newer_version_is_known(caplog):
    clock, feed, configuration, _running = peer_reliant_follower()
    configuration.confirm_from_peer(8, 0.0, 0.0)
    for _ in range(3):
        feed.pending.errback(KVUnavailableError("status 503"))
        clock.pump([0.1] * 50)
    rows = [r for r in caplog.records if r.message == "configuration not read"]
    assert [(r.in_force, r.newest, r.failed_reads) for r in rows] == [
        (5, 8, 1),
        (5, 8, 2),
        (5, 8, 3),
    ]
    assert all(r.pause_s > 0 and r.reason == "status 503" for r in rows)


def test_in_an_outage_a_box_retries_slowly_while_peers_answer():
    clock, feed, configuration, _running = peer_reliant_follower()
    for _ in range(40):
        clock.advance(0.25)
        configuration._pace.note_peer_answer(clock.seconds())
        configuration.confirm_from_peer(5, clock.seconds(), clock.seconds())
        if not feed.pending.called:
            feed.pending.errback(KVUnavailableError("down"))
    assert 4 <= len(feed.calls) <= 9


def entry(name, leaving=False):
    return TargetEntry(name, "s", "10.0.0.1", 9000, "hall", 6, leaving)


def target_follower():
    clock, feed, gone = Clock(), ScriptedFeed(), []
    targets = TargetListFollower(clock, feed, 2.0, lambda e: gone.append(e.name), pace(clock))
    start(targets.run())
    return clock, feed, targets, gone


def answer(clock, feed, entries, after_s=1.0):
    feed.pending.callback({e.name: e for e in entries})
    clock.advance(after_s)


def test_the_first_list_is_one_log_line_and_later_changes_one_per_target(caplog):
    """Thundering herd: a line per target and box floods the log when a fleet starts."""
    caplog.set_level("INFO")
    _clock, _feed, targets, _gone = target_follower()
    targets._apply_read({f"t{i}": entry(f"t{i}") for i in range(155)}, 0.0)
    assert [record.message for record in caplog.records] == ["targets listed"]
    caplog.clear()
    targets._apply_read({f"t{i}": entry(f"t{i}") for i in range(1, 156)}, 1.0)
    assert sorted(record.message for record in caplog.records) == ["target gone", "target listed"]


def test_leaving_and_gone_targets_accept_no_requests():
    clock, feed, targets, gone = target_follower()
    for _ in range(4):
        answer(clock, feed, [entry("a"), entry("b"), entry("c")])
    answer(clock, feed, [entry("a"), entry("b", leaving=True)])
    assert [e.name for e in targets.usable("s")] == ["a"]
    assert not targets.accepts_requests("b")
    assert gone == ["c"]


def test_a_box_that_has_just_started_does_not_keep_missing_entries():
    """The first read must not count as the end of an outage."""
    clock, feed, targets, gone = target_follower()
    answer(clock, feed, [entry("a"), entry("b")])
    answer(clock, feed, [entry("a")])
    assert not targets.accepts_requests("b")
    assert gone == ["b"]


def test_entries_that_expired_in_an_outage_have_time_to_reappear():
    clock, feed, targets, gone = target_follower()
    answer(clock, feed, [entry("a"), entry("b")])
    for _ in range(8):
        feed.pending.errback(KVUnavailableError("down"))
        clock.advance(1.0)
    answer(clock, feed, [entry("a")])
    assert targets.accepts_requests("b")
    for _ in range(3):
        answer(clock, feed, [entry("a")])
    assert not targets.accepts_requests("b")
    assert gone == ["b"]


def test_a_leaving_target_stays_leaving_whatever_its_entry_says_later():
    clock, feed, targets, _gone = target_follower()
    answer(clock, feed, [entry("a", leaving=True)])
    answer(clock, feed, [entry("a")])
    assert not targets.accepts_requests("a")


def test_a_peers_list_is_applied_but_brings_back_no_gone_target():
    clock, feed, targets, gone = target_follower()
    answer(clock, feed, [entry("a"), entry("b"), entry("c")])
    answer(clock, feed, [entry("a"), entry("b")])
    assert gone == ["c"]
    listed = {e.name: e for e in (entry("a"), entry("c"), entry("d"))}
    targets.apply_peer_list(listed, clock.seconds())
    assert sorted(targets.entries) == ["a", "d"]
    assert gone == ["c", "b"]
    targets.apply_peer_list({"b": entry("b")}, clock.seconds() - 5.0)
    assert sorted(targets.entries) == ["a", "d"]


def test_a_read_of_the_store_brings_back_a_gone_target():
    clock, feed, targets, _gone = target_follower()
    answer(clock, feed, [entry("a"), entry("b")])
    answer(clock, feed, [entry("a")])
    answer(clock, feed, [entry("a"), entry("b")])
    assert targets.accepts_requests("b")
    targets.apply_peer_list({e.name: e for e in (entry("a"), entry("b"))}, clock.seconds())
    assert targets.accepts_requests("b")


@pytest.mark.parametrize("confirmed, reads", [(True, 1), (False, 4)])
def test_a_box_reads_the_list_itself_only_if_no_reader_confirms_it(confirmed, reads):
    clock, feed = Clock(), ScriptedFeed()
    targets = TargetListFollower(
        clock, feed, LEAVE_BOUND_S, lambda _entry: None, pace(clock, follows_list=True)
    )
    start(targets.run())
    feed.pending.callback({"t": entry("t")})
    for _ in range(50):
        clock.advance(0.1)
        if confirmed:
            targets.confirm_from_peer(targets.digest, clock.seconds(), 0.8)
        if not feed.pending.called:
            feed.pending.callback({"t": entry("t")})
        assert targets.age_s < LEAVE_BOUND_S
    assert len(feed.calls) == reads
