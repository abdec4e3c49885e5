"""Waits end in time, and a cancelled wait is cancelled, whatever it waited for."""

import pytest
from twisted.internet import defer, task

from gladedrum.utils import start, with_timeout


def _result(deferred):
    results = []
    deferred.addBoth(results.append)
    return results


def test_the_time_is_up():
    clock = task.Clock()
    results = _result(start(with_timeout(clock, 2.0, defer.Deferred())))
    clock.advance(1.9)
    assert results == []
    clock.advance(0.2)
    assert results[0].check(TimeoutError)


def test_a_cancelled_wait_is_cancelled_though_its_subject_fails_otherwise():
    """An HTTP call that was cancelled looked like a broken connection and was tried again."""
    subject = defer.Deferred(lambda d: d.errback(ConnectionError("aborted")))
    waiting = start(with_timeout(task.Clock(), 2.0, subject))
    results = _result(waiting)
    waiting.cancel()
    assert results[0].check(defer.CancelledError)


@pytest.mark.parametrize("value", [None, 3])
def test_a_result_in_time_is_passed_on(value):
    clock = task.Clock()
    subject = defer.Deferred()
    results = _result(start(with_timeout(clock, 2.0, subject)))
    subject.callback(value)
    assert results == [value]
    assert not clock.getDelayedCalls()
