"""Streams of engines that bring no further piece.

Guards against a stream that is read for as long as its engine sends something, and against work
that grows with the square of an event's length.
"""

import pytest
from twisted.internet.testing import StringTransport
from twisted.trial.unittest import SynchronousTestCase

from gladedrum.errors import TargetBrokenError
from gladedrum.targets.held import HeldStream
from gladedrum.targets.stream import AnswerStream

PARTS = {
    "an event without end": b"x" * 65_536,
    "an event in parts of one byte": b"x",
    "comments": b": \n\n" * 1000,
    "empty events": b"\n\n" * 1000,
    "pieces of another session": (
        b'data: {"id": "other", "offset": 0, "choices": [{"text": "t"}], "held": true}\n\n' * 100
    ),
}
MAX_BYTES, MAX_PARTS = 1_500_000, 5_000
HELD = b'data: {"id": "s", "held": true}\n\n'


def make_answer_stream():
    stream = AnswerStream("s", 0, lambda _pieces: None, lambda _why: None)
    return stream, stream.ended


def make_held_stream():
    stream = HeldStream("s")
    stream.held.addErrback(lambda _failure: None)
    return stream, stream.lost


def send_without_end(stream, part):
    """Send a part until the stream closes its connection; fail if it takes too much."""
    transport = stream.transport = StringTransport()
    sent_bytes = sent_parts = 0
    while not transport.disconnecting:
        assert sent_bytes <= MAX_BYTES
        assert sent_parts <= MAX_PARTS
        stream.dataReceived(part)
        sent_bytes += len(part)
        sent_parts += 1


@pytest.mark.parametrize("name", PARTS)
def test_a_stream_without_pieces_is_not_read_without_end(name):
    stream, ended = make_answer_stream()
    send_without_end(stream, PARTS[name])
    SynchronousTestCase().failureResultOf(ended, TargetBrokenError)


@pytest.mark.parametrize("is_held", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("name", PARTS)
def test_a_stream_of_a_held_segment_is_not_read_without_end(name, is_held):
    stream, lost = make_held_stream()
    if is_held:
        stream.transport = StringTransport()
        stream.dataReceived(HELD)
        assert stream.held.called
    send_without_end(stream, PARTS[name])
    assert isinstance(SynchronousTestCase().successResultOf(lost), TargetBrokenError)


@pytest.mark.parametrize("data", [b"data: {\n\n", b"data: []\n\n", b"data: \xff\n\n"])
def test_a_malformed_event_ends_the_stream_of_a_held_segment(data):
    stream, lost = make_held_stream()
    stream.transport = StringTransport()
    stream.dataReceived(data)
    assert isinstance(SynchronousTestCase().successResultOf(lost), TargetBrokenError)
    assert stream.transport.disconnecting
