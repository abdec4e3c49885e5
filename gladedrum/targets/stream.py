"""The stream of pieces that a model engine answers with.

Every piece must carry the id of its session and the next offset. What does not fit is
dropped and counted; a gap or an early end makes the stream broken, never complete.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..errors import TargetBrokenError

__all__ = ["AnswerStream", "Piece"]

_DATA = b"data:"
_DONE = b"[DONE]"
_MAX_EVENT_BYTES = 1_000_000


class Piece(NamedTuple):
    """A part of an answer.

    Parameters
    ----------
    offset : int
        The number of tokens before it.
    text : str
        Its text.
    finish_reason : str or None
        Set on the last piece.
    """

    offset: int
    text: str
    finish_reason: str | None


class _Choice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    """What an engine puts into an event; other fields are passed over."""

    id: str
    offset: int
    choices: list[_Choice]


_decode = msgspec.json.Decoder(_Event).decode


class AnswerStream(Protocol):
    """Reads server-sent events from an engine and hands on the pieces that fit.

    Parameters
    ----------
    session_id : str
        The id that every piece must carry.
    offset : int
        The offset of the first piece that is wanted.
    on_pieces : callable
        Called with a list of each `Piece` that fits, in order, as they come together.
    on_dropped : callable
        Called with the reason for each piece that does not fit.

    Attributes
    ----------
    ended : Deferred
        Fires with None after the last piece and the end marker, and fails with
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
        self._fitting: list[Piece] = []
        self._on_dropped = on_dropped
        self._buffer = b""
        self._last_seen = False
        self._over = False

    def pause(self) -> None:
        """Stop reading until `resume`, because the caller reads slowly."""
        if self.transport is not None and not self._over:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None and not self._over:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Close the connection; whatever still comes is ignored."""
        self._over = True
        transport = self.transport
        if transport is not None:
            # The transport of a response body cannot be aborted, but losing it closes the
            # connection once it is not paused.
            transport.resumeProducing()
            transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Split what came into events and hand on what fits, all at once."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if not self._over:
                self._take_event(event)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self._break("an event is too long")
        self._hand_on()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Find out whether the stream had ended before its connection did."""
        if not self._over:
            self._break(f"the connection ended early: {reason.getErrorMessage()}")

    def _take_event(self, event: bytes) -> None:
        if not event.startswith(_DATA):
            return
        payload = event[len(_DATA) :].strip()
        if payload == _DONE:
            self._finish()
            return
        try:
            body = _decode(payload)
        except msgspec.MsgspecError:
            self._break("an event makes no sense")
            return
        if not body.choices:
            self._break("an event holds no piece")
            return
        choice = body.choices[0]
        self._take_piece(body.id, Piece(body.offset, choice.text, choice.finish_reason))

    def _take_piece(self, session_id: str, piece: Piece) -> None:
        if session_id != self._session_id:
            self._on_dropped("crossed")
        elif piece.offset < self.next_offset or self._last_seen:
            self._on_dropped("duplicate")
        elif piece.offset > self.next_offset:
            self._break(f"offset {piece.offset} came instead of {self.next_offset}")
        else:
            self.next_offset += 1
            self._last_seen = piece.finish_reason is not None
            self._fitting.append(piece)

    def _hand_on(self) -> None:
        if self._fitting:
            pieces, self._fitting = self._fitting, []
            self._on_pieces(pieces)

    def _finish(self) -> None:
        if not self._last_seen:
            self._break("the end marker came before the last piece")
            return
        self._hand_on()
        # The rest of the body must be read, or the connection is never free for another request.
        self.resume()
        self._over = True
        self.ended.callback(None)

    def _break(self, why: str) -> None:
        if self._over:
            return
        self._hand_on()
        self.abort()
        if not self.ended.called:
            self.ended.errback(TargetBrokenError(why))
