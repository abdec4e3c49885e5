"""What became of a request is written before its box ends, where the store lets it."""

from twisted.internet import defer
from twisted.internet.task import Clock

from gladedrum.claims import Claims, Taken
from gladedrum.config import parse_settings
from gladedrum.errors import KVUnavailableError
from gladedrum.outcome import Completed


class _Shard:
    """A shard whose answers come when a test gives them."""

    def __init__(self):
        self.answers = []

    def submit(self, _operation):
        self.answers.append(defer.Deferred())
        return self.answers[-1]


def settling(within_s=5.0):
    clock, shard, ended = Clock(), _Shard(), []
    claims = Claims(parse_settings(""), None, clock, "me", lambda: 0.0)
    claims._shard = lambda _digest: shard
    claims.settle("org", "key", b"body", "request", Completed())
    claims.settled(within_s).addCallback(lambda _none: ended.append(1))
    return clock, shard, ended


def test_a_stop_waits_until_an_outcome_is_written():
    """The process ended meanwhile: the same key was told for a day that nobody can say whether
    its request has run, though its answer had gone out whole."""
    clock, shard, ended = settling()
    assert not ended
    shard.answers[0].errback(KVUnavailableError("busy"))
    clock.advance(0.5)
    assert not ended
    shard.answers[1].callback(Taken())
    assert ended


def test_a_stop_does_not_wait_for_a_store_that_is_away():
    clock, _shard, ended = settling(within_s=5.0)
    clock.advance(5.0)
    assert ended


def test_a_stop_waits_for_nothing_where_all_is_written():
    clock, shard, _ended = settling()
    shard.answers[0].callback(Taken())
    claims = Claims(parse_settings(""), None, clock, "me", lambda: 0.0)
    assert claims.settled(5.0).called
