"""Timeouts expire in time, a cancelled wait raises `CancelledError`, and waits can be shortened."""

import pytest
from twisted.internet import defer, task

from gladedrum.utils import Wait, start, with_timeout


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


@pytest.mark.parametrize(
    "shortened_to_s, ends_after_s", [(None, 3.0), (0.0, 0.0), (0.5, 0.5), (9.0, 3.0)]
)
def test_a_wait_ends_after_its_delay_or_earlier_if_it_is_shortened(shortened_to_s, ends_after_s):
    clock = task.Clock()
    wait = Wait(clock)
    results = _result(start(wait.wait(3.0)))
    if shortened_to_s is not None:
        wait.end_within(shortened_to_s)
    clock.advance(max(0.0, ends_after_s - 0.1))
    assert bool(results) == (ends_after_s == 0.0)
    clock.advance(0.2)
    assert results == [None]
    assert not clock.getDelayedCalls()
    wait.end_within()


def test_a_cancelled_wait_leaves_no_timer():
    clock = task.Clock()
    waiting = start(Wait(clock).wait(3.0))
    results = _result(waiting)
    waiting.cancel()
    assert results[0].check(defer.CancelledError)
    assert not clock.getDelayedCalls()
