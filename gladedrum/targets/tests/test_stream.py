"""A stream delivers only valid pieces and never reports a broken answer as complete."""

import json

import pytest
from twisted.internet.testing import StringTransport

from gladedrum.errors import TargetBrokenError
from gladedrum.targets import AnswerStream


def _event(offset, session="s", reason=None):
    choice = {"text": f"t{offset}", "index": 0, "finish_reason": reason}
    body = {"id": session, "offset": offset, "choices": [choice]}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


class _Reader:
    def __init__(self, offset=0):
        self.pieces, self.dropped, self.results = [], [], []
        self.stream = AnswerStream("s", offset, self.pieces.extend, self.dropped.append)
        self.stream.ended.addBoth(self.results.append)

    def feed(self, *events):
        for event in events:
            self.stream.dataReceived(event)

    @property
    def broken(self):
        return self.results and self.results[0].check(TargetBrokenError)


def test_a_complete_answer():
    reader = _Reader()
    reader.feed(_event(0), _event(1, reason="length"), b"data: [DONE]\n\n")
    assert [p.text for p in reader.pieces] == ["t0", "t1"]
    assert reader.results == [None]


def test_pieces_split_at_any_byte():
    raw = _event(0) + _event(1, reason="stop") + b"data: [DONE]\n\n"
    reader = _Reader()
    reader.feed(*(raw[n : n + 1] for n in range(len(raw))))
    assert reader.results == [None]


def test_crossed_and_duplicate_pieces_are_dropped_and_counted():
    reader = _Reader()
    reader.feed(_event(0), _event(0), _event(1, session="other"), _event(1, reason="stop"))
    assert [p.offset for p in reader.pieces] == [0, 1]
    assert reader.dropped == ["duplicate", "crossed"]


@pytest.mark.parametrize(
    "events",
    [
        [_event(0), _event(2)],
        [_event(0), b"data: [DONE]\n\n"],
        [_event(0), b"data: {no json\n\n"],
        [b'data: {"id": "s"}\n\n'],
        [b"data: " + b"x" * 2_000_000],
    ],
)
def test_gaps_early_ends_and_malformed_events_fail_the_stream(events):
    reader = _Reader()
    reader.feed(*events)
    assert reader.broken


def test_a_resumed_stream_starts_at_its_offset():
    reader = _Reader(offset=3)
    reader.feed(_event(2), _event(3, reason="stop"), b"data: [DONE]\n\n")
    assert [p.offset for p in reader.pieces] == [3]
    assert reader.results == [None]


def test_a_stream_that_was_paused_is_read_to_its_end():
    """Otherwise a paused connection would stay unread after the end marker and never be reused."""
    transport = StringTransport()
    stream = AnswerStream("s", 0, lambda _pieces: stream.pause(), lambda _why: None)
    stream.makeConnection(transport)
    stream.dataReceived(_event(0, reason="stop"))
    assert transport.producerState == "paused"
    stream.dataReceived(b"data: [DONE]\n\n")
    stream.resume()
    assert stream.ended.called
    assert transport.producerState == "producing"
