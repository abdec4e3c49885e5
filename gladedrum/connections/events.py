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

__all__ = ["Event", "EventSplitter", "is_newer"]

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class Event(NamedTuple):
    """An event's id (None if it has none), and its bytes including the blank line at the end."""

    event_id: bytes | None
    raw: bytes


class EventSplitter:
    """Buffers the bytes of a stream and returns events once they are complete."""

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are now complete."""
        self.remainder += data
        events = []
        while end := _EVENT_END.search(self.remainder):
            raw, self.remainder = self.remainder[: end.end()], self.remainder[end.end() :]
            found = _ID.search(raw)
            events.append(Event(found.group(1) if found else None, raw))
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
