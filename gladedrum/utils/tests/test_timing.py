"""Timeouts expire in time, and a cancelled wait raises `CancelledError`."""

import pytest
from twisted.internet import defer, task

from gladedrum.utils import start, with_timeout


def _result(deferred):
    results = []
    deferred.addBoth(results.append)
    return results


def test_timeout_expires():
    clock = task.Clock()
    results = _result(start(with_timeout(clock, 2.0, defer.Deferred())))
    clock.advance(1.9)
    assert results == []
    clock.advance(0.2)
    assert results[0].check(TimeoutError)


def test_cancelled_wait_raises_cancelled_error_though_the_awaitable_fails_otherwise():
    """Guards against a cancelled HTTP call that looks like a broken connection and is retried."""
    awaited = defer.Deferred(lambda d: d.errback(ConnectionError("aborted")))
    waiting = start(with_timeout(task.Clock(), 2.0, awaited))
    results = _result(waiting)
    waiting.cancel()
    assert results[0].check(defer.CancelledError)


@pytest.mark.parametrize("value", [None, 3])
def test_result_before_the_timeout_is_returned(value):
    clock = task.Clock()
    awaited = defer.Deferred()
    results = _result(start(with_timeout(clock, 2.0, awaited)))
    awaited.callback(value)
    assert results == [value]
    assert not clock.getDelayedCalls()
