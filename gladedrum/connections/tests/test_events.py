"""Splitting of event streams."""

import random

import pytest

from gladedrum.connections.events import EventSplitter


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_events_are_the_same_however_their_bytes_are_split(end):
    rng = random.Random(1)
    stream = end.join(b"id: %d\ndata: %d" % (number, number) for number in range(50)) + end + b"id"
    whole = EventSplitter().feed(stream)
    assert len(whole) == 50
    for _ in range(50):
        splitter, events, position = EventSplitter(), [], 0
        while position < len(stream):
            size = rng.choice([1, 1, 2, 3, 20, 100])
            events += splitter.feed(stream[position : position + size])
            position += size
        assert events == whole
        assert splitter.remainder == b"id"


# Guards against a search from the beginning of an event with each part of it, whose time grows with
# the square of the event's length.
def test_bytes_of_an_event_are_searched_once(monkeypatch):
    searched = 0

    class Pattern:
        def search(self, buffer, position=0):
            nonlocal searched
            searched += len(buffer) - position

    monkeypatch.setattr("gladedrum.connections.events._EVENT_END", Pattern())
    splitter = EventSplitter()
    for _ in range(1000):
        splitter.feed(b"x" * 100)
    assert searched <= 1.1 * 100_000
