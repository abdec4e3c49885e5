"""A body that progresses is read to its end, and one that stalls is given up soon."""

import pytest
from twisted.internet import error, task
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import UNKNOWN_LENGTH

from gladedrum.utils import AnswerTimeoutError, LostAnswerError, WebClient, start

TIMEOUT_S = 0.7
MAX_S = 10.0


class SlowResponse:
    """A response whose body the test delivers."""

    length = UNKNOWN_LENGTH

    def deliverBody(self, protocol):
        self.protocol = protocol

    def end(self, reason):
        self.protocol.connectionLost(Failure(reason))


@pytest.fixture
def clock():
    return task.Clock()


def begin(clock, max_s=MAX_S):
    """Return a response and the results of reading it."""
    response, results = SlowResponse(), []
    start(WebClient(clock).read(response, TIMEOUT_S, max_s)).addBoth(results.append)
    return response, results


def test_a_body_that_progresses_may_take_longer_than_the_timeout(clock):
    """A large answer on a narrow link must not be cut off and read again for ever."""
    response, results = begin(clock)
    for _ in range(8):
        clock.advance(0.5)
        response.protocol.dataReceived(b"x" * 1000)
    response.end(ResponseDone())
    assert results == [b"x" * 8000]
    assert not clock.getDelayedCalls()


def test_a_body_that_stalls_is_given_up_and_the_error_names_the_bytes_received(clock):
    response, results = begin(clock)
    clock.advance(0.5)
    response.protocol.dataReceived(b"x" * 1000)
    clock.advance(0.6)
    assert not results
    clock.advance(0.2)
    assert results[0].check(AnswerTimeoutError)
    assert "1000 bytes" in results[0].getErrorMessage()
    assert not clock.getDelayedCalls()


@pytest.mark.parametrize("max_s, ends_after_s", [(MAX_S, MAX_S), (None, TIMEOUT_S)])
def test_a_body_that_progresses_without_end_is_given_up(clock, max_s, ends_after_s):
    response, results = begin(clock, max_s)
    while clock.seconds() + 0.1 < ends_after_s:
        clock.advance(0.1)
        response.protocol.dataReceived(b"x")
    assert not results
    clock.advance(0.2)
    assert results[0].check(AnswerTimeoutError)


def test_a_body_that_breaks_off_is_no_timeout(clock):
    response, results = begin(clock)
    response.protocol.dataReceived(b"x")
    response.end(error.ConnectionLost())
    assert results[0].check(LostAnswerError)
    assert not results[0].check(AnswerTimeoutError)
