"""Parser for the event stream of a held session.

An engine holds a session when it has prefilled a segment of a long prompt and keeps the result
in memory for the engines of the later segments to read.
"""

import json

from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..connections.events import EventSplitter
from ..errors import TargetBrokenError
from ..utils.pacing import is_too_fine

__all__ = ["HeldStream"]

_DATA_PREFIX = b"data:"
_MAX_EVENTS, _MAX_EVENT_BYTES = 10_000, 1_000_000
"""The most events of one stream, and the longest one; a sound stream holds one event, and some that
keep its connection alive."""


class HeldStream(Protocol):
    """Waits until an engine confirms that it holds a session, then watches the connection.

    Parameters
    ----------
    session_id : str
        Session id that the confirming event must carry.

    Attributes
    ----------
    held : Deferred
        Fires with None once the session is held. Fails with `TargetBrokenError` if the
        connection ends before that.
    lost : Deferred
        Fires with a `TargetBrokenError` if the connection ends before `abort` is called.
    """

    def __init__(self, session_id: str):
        self.held: defer.Deferred[None] = defer.Deferred()
        self.lost: defer.Deferred[TargetBrokenError] = defer.Deferred()
        self._session_id = session_id
        self._splitter = EventSplitter()
        self._events = self._parts = 0
        self._closed = False

    def abort(self) -> None:
        """Close the connection without firing `held` or `lost`."""
        self._closed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Look for the event that confirms the session is held."""
        if self._closed:
            return
        events = self._splitter.feed(data)
        try:
            for event in events:
                self._handle_event(event.raw)
        except (ValueError, AttributeError):
            self._fail("an event of an engine that holds a segment makes no sense")
        self._events += len(events)
        self._parts = 0 if events else self._parts + 1
        held_bytes = self._splitter.held_bytes
        is_too_long = held_bytes > _MAX_EVENT_BYTES or is_too_fine(self._parts, held_bytes)
        if is_too_long or self._events > _MAX_EVENTS:
            self._fail("the stream of an engine that holds a segment is too long")

    def _handle_event(self, event: bytes) -> None:
        if not event.startswith(_DATA_PREFIX):
            return
        body = json.loads(event[len(_DATA_PREFIX) :])
        confirmed = body.get("id") == self._session_id and body.get("held") is True
        if confirmed and not self.held.called:
            self.held.callback(None)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Fire `held` and `lost` with an error, unless the stream was aborted."""
        if not self._closed:
            self._fail("an engine that holds a segment was lost")

    def _fail(self, why: str) -> None:
        if self._closed:
            return
        self.abort()
        exc = TargetBrokenError(why)
        if not self.held.called:
            self.held.errback(exc)
        if not self.lost.called:
            self.lost.callback(exc)
