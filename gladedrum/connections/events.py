"""Splitting of a server-sent event stream into complete events.

Examples
--------
>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
[Event(event_id=b'1', raw=b'id: 1\\ndata: a\\n\\n')]
>>> splitter.remainder
b'id: 2\\nda'
"""

import re
from typing import NamedTuple

__all__ = ["MAX_EVENT_BYTES", "Event", "EventSplitter", "StreamPosition", "is_newer"]

MAX_EVENT_BYTES = 4_194_304
"""The longest event that is waited for, as long as the longest body that callers usually may send.
An event that does not end by then has no use for its caller."""

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LONGEST_END = 4
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)


class Event(NamedTuple):
    """An event's id (None if it has none), and its bytes including the blank line at the end."""

    event_id: bytes | None
    raw: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has no field and only keeps the stream open, however often it comes."""
        return _FIELD.search(self.raw) is None


class StreamPosition(NamedTuple):
    """How far a stream has come: its last id, and how many events without an id have followed.

    Comments are not counted: runs send them at any time.

    Examples
    --------
    >>> begin = StreamPosition()
    >>> first = begin.after(Event(b"1", b"id: 1\\ndata: a\\n\\n"))
    >>> done = first.after(Event(None, b"data: [DONE]\\n\\n"))
    >>> done, done.is_ahead_of(first), first.is_ahead_of(done), first.is_ahead_of(first)
    (StreamPosition(event_id=b'1', unnumbered=1), True, False, False)
    """

    event_id: bytes | None = None
    unnumbered: int = 0

    def after(self, event: Event) -> "StreamPosition":
        """Return the position after an event."""
        if event.event_id:
            return StreamPosition(event.event_id)
        return self._replace(unnumbered=self.unnumbered + (not event.is_comment))

    def is_ahead_of(self, other: "StreamPosition") -> bool:
        """Whether the stream has come further; a run without an id yet has begun at the other's."""
        if self.event_id is None or self.event_id == other.event_id:
            return self.unnumbered > other.unnumbered
        return is_newer(self.event_id, other.event_id)


class EventSplitter:
    """Buffers the bytes of a stream and returns events once they are complete.

    The time that `feed` takes grows with the bytes that it is given, not with those buffered.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def remainder(self) -> bytes:
        """The bytes of an event that is not complete yet."""
        return bytes(self._buffer)

    @property
    def held_bytes(self) -> int:
        """The number of bytes of an event that is not complete yet."""
        return len(self._buffer)

    @property
    def is_too_long(self) -> bool:
        """Whether the event that is not complete yet exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are now complete."""
        events, begin = [], 0
        # An end may have begun in the last bytes that were searched before.
        position = max(0, len(self._buffer) - _LONGEST_END + 1)
        self._buffer += data
        while end := _EVENT_END.search(self._buffer, position):
            raw = bytes(self._buffer[begin : end.end()])
            begin = position = end.end()
            found = _ID.search(raw)
            events.append(Event(found.group(1) if found else None, raw))
        del self._buffer[:begin]
        return events


def is_newer(event_id: bytes | None, than: bytes | None) -> bool:
    """Whether an event follows another by its id; an event without a numeric id counts as newer.

    Examples
    --------
    >>> is_newer(b"10", b"9"), is_newer(b"9", b"9"), is_newer(None, b"1")
    (True, False, True)
    """
    if event_id is None or than is None or not (event_id.isdigit() and than.isdigit()):
        return True
    return int(event_id) > int(than)
