"""Parser for the streamed answer of a model engine.

An answer arrives as server-sent events, one piece (token) per event. Every piece must carry its
session id and the next offset. Pieces of other sessions and duplicates are dropped and counted. A
gap, a malformed event or an early end fails the stream.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..connections.events import EventSplitter
from ..errors import TargetBrokenError
from ..utils.pacing import is_too_fine

__all__ = ["AnswerStream", "Piece"]

_DATA_PREFIX = b"data:"
_DONE_MARKER = b"[DONE]"
_MAX_EVENT_BYTES = 1_000_000
_MAX_EMPTY_EVENTS = 10_000
"""The most events in a row that hold no piece of the answer; engines keep connections alive with
one every few seconds."""


class Piece(NamedTuple):
    """One token of an answer.

    Parameters
    ----------
    offset : int
        Number of answer tokens before this one.
    text : str
        Text of the token.
    finish_reason : str or None
        Set on the last piece only.
    """

    offset: int
    text: str
    finish_reason: str | None


class _Choice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    """Payload of an event; unknown fields are ignored."""

    id: str
    offset: int
    choices: list[_Choice]


_decode = msgspec.json.Decoder(_Event).decode


class AnswerStream(Protocol):
    """Reads server-sent events from an engine and delivers the valid pieces in order.

    Parameters
    ----------
    session_id : str
        Session id that every piece must carry.
    offset : int
        Offset of the first piece to deliver.
    on_pieces : callable
        Called with the list of valid pieces of each received chunk.
    on_dropped : callable
        Called with the reason for each dropped piece: ``crossed`` if it belongs to another session,
        ``duplicate`` if its offset was received before or it follows the last piece.

    Attributes
    ----------
    ended : Deferred
        Fires with None after the last piece and the end marker. Fails with
        `TargetBrokenError` if the stream ends in any other way.
    """

    def __init__(
        self,
        session_id: str,
        offset: int,
        on_pieces: Callable[[list[Piece]], None],
        on_dropped: Callable[[str], None],
    ):
        self.ended: defer.Deferred[None] = defer.Deferred(lambda _ended: self.abort())
        self.next_offset = offset
        self._session_id = session_id
        self._on_pieces = on_pieces
        self._accepted: list[Piece] = []
        self._on_dropped = on_dropped
        self._splitter = EventSplitter()
        self._parts = self._empty_events = 0
        self._last_received = False
        self._closed = False

    @property
    def is_last_received(self) -> bool:
        """Whether the last piece of the answer, which names why it ends, has come."""
        return self._last_received

    def pause(self) -> None:
        """Stop reading until `resume`; used when the caller reads slowly."""
        if self.transport is not None and not self._closed:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading."""
        if self.transport is not None and not self._closed:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Close the connection and ignore any further data."""
        self._closed = True
        transport = self.transport
        if transport is not None:
            # The transport of a response body has no abort. `loseConnection` closes it, but only
            # if it is not paused.
            transport.resumeProducing()
            transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse the complete events, and deliver their valid pieces in one call."""
        events = self._splitter.feed(data)
        for event in events:
            if not self._closed:
                self._handle_event(event.raw)
        self._parts = 0 if events else self._parts + 1
        held_bytes = self._splitter.held_bytes
        if held_bytes > _MAX_EVENT_BYTES or is_too_fine(self._parts, held_bytes):
            self._fail("an event is too long")
        if not self._accepted:
            self._empty_events += len(events)
            if self._empty_events > _MAX_EMPTY_EVENTS:
                self._fail("too many events without a piece")
        else:
            self._empty_events = 0
        self._deliver_accepted()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Fail the stream if its connection ends before the end marker."""
        if not self._closed:
            self._fail(f"the connection ended early: {reason.getErrorMessage()}")

    def _handle_event(self, event: bytes) -> None:
        if not event.startswith(_DATA_PREFIX):
            return
        payload = event[len(_DATA_PREFIX) :].strip()
        if payload == _DONE_MARKER:
            self._finish()
            return
        try:
            body = _decode(payload)
        except msgspec.MsgspecError:
            self._fail("an event makes no sense")
            return
        if not body.choices:
            self._fail("an event holds no piece")
            return
        choice = body.choices[0]
        self._handle_piece(body.id, Piece(body.offset, choice.text, choice.finish_reason))

    def _handle_piece(self, session_id: str, piece: Piece) -> None:
        if session_id != self._session_id:
            self._on_dropped("crossed")
        elif piece.offset < self.next_offset or self._last_received:
            self._on_dropped("duplicate")
        elif piece.offset > self.next_offset:
            self._fail(f"offset {piece.offset} came instead of {self.next_offset}")
        else:
            self.next_offset += 1
            self._last_received = piece.finish_reason is not None
            self._accepted.append(piece)

    def _deliver_accepted(self) -> None:
        if self._accepted:
            pieces, self._accepted = self._accepted, []
            self._on_pieces(pieces)

    def _finish(self) -> None:
        if not self._last_received:
            self._fail("the end marker came before the last piece")
            return
        self._deliver_accepted()
        # The connection is reusable only once the rest of the body has been read.
        self.resume()
        self._closed = True
        self.ended.callback(None)

    def _fail(self, why: str) -> None:
        if self._closed:
            return
        self._deliver_accepted()
        self.abort()
        if not self.ended.called:
            self.ended.errback(TargetBrokenError(why))
