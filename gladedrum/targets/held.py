"""Parser for the event stream of a held session.

An engine holds a session when it has prefilled a segment of a long prompt and keeps the result
in memory for the engines of the later segments to read.
"""

import json

from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..errors import TargetBrokenError

__all__ = ["HeldStream"]

_DATA_PREFIX = b"data:"


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
        self._buffer = b""
        self._closed = False

    def abort(self) -> None:
        """Close the connection without firing `held` or `lost`."""
        self._closed = True
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Look for the event that confirms the session is held."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in filter(lambda e: e.startswith(_DATA_PREFIX), events):
            body = json.loads(event[len(_DATA_PREFIX) :])
            confirmed = body.get("id") == self._session_id and body.get("held") is True
            if confirmed and not self.held.called:
                self.held.callback(None)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Fire `held` and `lost` with an error, unless the stream was aborted."""
        if self._closed:
            return
        self._closed = True
        exc = TargetBrokenError("an engine that holds a segment was lost")
        if not self.held.called:
            self.held.errback(exc)
        if not self.lost.called:
            self.lost.callback(exc)
