"""A stopping box waits a bounded time for outcomes to be recorded."""

from twisted.internet import defer
from twisted.internet.task import Clock

from gladedrum.claims import Applied, Claims
from gladedrum.config import parse_settings
from gladedrum.errors import KVUnavailableError
from gladedrum.outcome import Completed


class _Shard:
    """A shard whose operations complete when the test fires them."""

    def __init__(self):
        self.answers = []

    def submit(self, _operation):
        self.answers.append(defer.Deferred())
        return self.answers[-1]


def recording(within_s=5.0):
    clock, shard, ended = Clock(), _Shard(), []
    claims = Claims(parse_settings(""), None, clock, "me", lambda: 0.0)
    claims._shard = lambda _digest: shard
    claims.record_outcome("org", "key", b"body", "request", Completed())
    claims.wait_until_recorded(within_s).addCallback(lambda _none: ended.append(1))
    return clock, shard, ended


def test_a_stop_waits_until_an_outcome_is_recorded():
    """Otherwise the claim of a completed request would stay in state RUNNING, and its outcome
    would be reported as unknown."""
    clock, shard, ended = recording()
    assert not ended
    shard.answers[0].errback(KVUnavailableError("busy"))
    clock.advance(0.5)
    assert not ended
    shard.answers[1].callback(Applied())
    assert ended


def test_a_stop_waits_only_a_bounded_time_for_an_unavailable_store():
    clock, _shard, ended = recording(within_s=5.0)
    clock.advance(5.0)
    assert ended


def test_a_stop_does_not_wait_if_all_outcomes_are_recorded():
    clock, shard, _ended = recording()
    shard.answers[0].callback(Applied())
    claims = Claims(parse_settings(""), None, clock, "me", lambda: 0.0)
    assert claims.wait_until_recorded(5.0).called
