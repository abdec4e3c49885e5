"""Bytes of a target that come without end and can't become an answer.

Guards against an attempt that reads on for as long as its target writes: it takes the memory or the
processor of the box, and its caller gets nothing before its time is up.
"""

import pytest

from gladedrum.connections.events import MAX_EVENT_BYTES
from gladedrum.forward.relaying import MAX_ERROR_BYTES
from gladedrum.forward.tests.support import World, answer, chunk, event, stream_head
from gladedrum.platform import wire

PART = b"x" * 65_536
KINDS = {
    "unsafe": {},
    "safe": {"repeatable": True, "max_targets": 2},
    "stream": {"streaming": True},
    "resumable stream": {"streaming": True, "resumable": True, "max_targets": 2},
}
"""Fields of routes."""

all_kinds = pytest.mark.parametrize("kind", KINDS)
streams = pytest.mark.parametrize("kind", ["stream", "resumable stream"])


class Endless:
    """A request whose first target sends the same part again and again, until the box closes."""

    def __init__(self, kind):
        self.world = World(targets=2, **KINDS[kind])
        self.is_idempotent = KINDS[kind].get("max_targets") == 2
        self.caller = self.world.caller()
        self.caller.send_request(b"body")
        self.side = self.world.attempt()
        self.sent_bytes = 0

    def send(self, head, part, limit_bytes):
        """Send a head, and parts until the box closes; fail if it reads more than the limit."""
        self.side.reply(head)
        while not self.side.closed:
            assert self.sent_bytes <= limit_bytes
            self.side.reply(part)
            self.sent_bytes += len(part)
        self.world.run(0.5)

    @property
    def distrust(self):
        """How much the first target is distrusted."""
        name = f"t{self.side.address[1] - 9000}"
        return self.world.view.state(name).distrust_at(self.world.net.seconds())

    def check_served_elsewhere_or_told(self):
        """Check what the caller gets, half a second after the connection was closed."""
        assert self.distrust > 0
        if not self.is_idempotent:
            assert len(self.world.net.opened) == 1
            assert self.caller.received.startswith(b"HTTP/1.1 502") or self.caller.transport.closed
            return
        assert len(self.world.net.opened) == 2
        self.world.attempt().reply(answer(body=b"right"))
        assert self.caller.status == 200
        assert b"right" in self.caller.received
        assert not self.caller.transport.closed


# Guards against the text of a failure that is kept, or passed on, without a limit.
@all_kinds
@pytest.mark.parametrize("status", [404, 500, 503])
def test_the_text_of_a_failure_is_not_read_without_end(kind, status):
    req = Endless(kind)
    head = b"HTTP/1.1 %d X\r\n%s: id-1\r\n%s: seal\r\n" % (status, wire.REQUEST_ID, wire.SIGNATURE)
    req.send(head + b"Transfer-Encoding: chunked\r\n\r\n", chunk(PART), 1.1 * MAX_ERROR_BYTES)
    req.check_served_elsewhere_or_told()


# Guards against a stream that is kept, and searched from its beginning with each part, without end.
@streams
@pytest.mark.parametrize("extra", [b"Transfer-Encoding: chunked\r\n", b""], ids=["chunks", "close"])
def test_an_event_is_not_read_without_end(kind, extra):
    req = Endless(kind)
    part = chunk(PART) if extra else PART
    req.send(stream_head(extra), part, 1.1 * MAX_EVENT_BYTES)
    req.check_served_elsewhere_or_told()


def test_a_stream_with_an_endless_event_goes_on_at_another_target():
    req = Endless("resumable stream")
    req.send(stream_head() + chunk(event(1)), chunk(PART), 1.1 * MAX_EVENT_BYTES)
    assert event(1) in req.caller.received
    assert b"Last-Event-Id: 1".lower() in req.world.attempt().sent.lower()
    req.world.attempt().reply(stream_head() + chunk(event(2)) + chunk(b""))
    assert event(2) in req.caller.received
    assert req.caller.received.endswith(b"0\r\n\r\n")


# Guards against interim heads that are read until the time of the request is up.
@all_kinds
@pytest.mark.parametrize("status", [100, 102, 103])
def test_interim_answers_are_not_read_without_end(kind, status):
    req = Endless(kind)
    part = b"HTTP/1.1 %d X\r\nA: b\r\n\r\n" % status
    req.send(part, part, 100_000)
    req.check_served_elsewhere_or_told()


@all_kinds
def test_a_few_interim_answers_precede_the_answer(kind):
    req = Endless(kind)
    req.side.reply(b"HTTP/1.1 102 X\r\n\r\n" * 8 + answer(body=b"right"))
    assert req.caller.status == 200


# Guards against an answer to another request that is read and dropped until the time is up.
@all_kinds
def test_an_answer_to_another_request_is_not_read_without_end(kind):
    req = Endless(kind)
    head = b"HTTP/1.1 200 X\r\n%s: id-0\r\nTransfer-Encoding: chunked\r\n\r\n" % wire.REQUEST_ID
    req.send(head, chunk(PART), 1.2e6)
    req.check_served_elsewhere_or_told()


@all_kinds
def test_answers_to_other_requests_are_not_read_without_end(kind):
    req = Endless(kind)
    part = answer(body=b"old", request_id=b"id-0")
    req.send(part, part, 1.2e6)
    req.check_served_elsewhere_or_told()


@all_kinds
def test_an_answer_follows_a_few_long_ones_to_another_request(kind):
    req = Endless(kind)
    old = answer(body=b"old" * 100_000, request_id=b"id-0")
    req.side.reply(old * 3 + answer(body=b"right"))
    assert req.caller.status == 200


def reply_slowly(req, status, seconds):
    """Answer with the head of an error, and a byte of its text every tenth of a second."""
    head = b"HTTP/1.1 %d X\r\n%s: id-1\r\n%s: seal\r\n" % (status, wire.REQUEST_ID, wire.SIGNATURE)
    req.side.reply(head + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(round(seconds / 0.1)):
        if not req.side.closed:
            req.side.reply(chunk(b"x"))
        req.world.run(0.1)


# Guards against callers that wait for their whole time limit, as a failure's text does not end.
@all_kinds
@pytest.mark.parametrize("status", [500, 503])
def test_the_slow_text_of_a_failure_does_not_hold_its_caller(kind, status):
    req = Endless(kind)
    reply_slowly(req, status, 2.2)
    assert req.side.closed
    req.check_served_elsewhere_or_told()


# Guards against a wait for a text that the caller can't get.
@pytest.mark.parametrize("kind", ["unsafe", "stream"])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_the_slow_text_of_a_status_that_is_not_passed_on_is_not_awaited(kind, status):
    req = Endless(kind)
    reply_slowly(req, status, 0.2)
    assert req.caller.status == 502
    assert req.side.closed


@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_the_text_of_a_failure_may_pause_for_a_second(kind):
    req = Endless(kind)
    body = b"x" * 100
    head = b"HTTP/1.1 500 X\r\n%s: id-1\r\n%s: seal\r\n" % (wire.REQUEST_ID, wire.SIGNATURE)
    req.side.reply(head + b"Content-Length: 200\r\n\r\n" + body)
    req.world.run(1.2)
    assert not req.side.closed
    req.side.reply(body)
    assert req.caller.status == 500
    assert req.caller.received.endswith(body + body)
