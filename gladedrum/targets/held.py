"""The stream of a session that an engine has prefilled and holds for other engines to read."""

import json

from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..errors import TargetBrokenError

__all__ = ["HeldStream"]

_DATA = b"data:"


class HeldStream(Protocol):
    """Waits for an engine's word that a session is held, and then watches over it.

    Parameters
    ----------
    session_id : str
        The id that the event must carry.

    Attributes
    ----------
    held : Deferred
        Fires with None once the session is held; fails with `TargetBrokenError` if the
        connection ends before.
    lost : Deferred
        Fires with a `TargetBrokenError` if the connection ends at any time before `abort`.
    """

    def __init__(self, session_id: str):
        self.held: defer.Deferred[None] = defer.Deferred()
        self.lost: defer.Deferred[TargetBrokenError] = defer.Deferred()
        self._session_id = session_id
        self._buffer = b""
        self._over = False

    def abort(self) -> None:
        """Close the connection without a failure."""
        self._over = True
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Look for the event that says the session is held."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in filter(lambda e: e.startswith(_DATA), events):
            body = json.loads(event[len(_DATA) :])
            fits = body.get("id") == self._session_id and body.get("held") is True
            if fits and not self.held.called:
                self.held.callback(None)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Fail whatever still waits, unless the end was asked for."""
        if self._over:
            return
        self._over = True
        exc = TargetBrokenError("an engine that holds a segment was lost")
        if not self.held.called:
            self.held.errback(exc)
        if not self.lost.called:
            self.lost.callback(exc)
