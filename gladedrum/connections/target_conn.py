"""One connection to a target: carries one exchange at a time."""

import logging
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple
from typing import Protocol as Interface

import h11
from twisted.internet import error, protocol

from ..platform.heads import answer_marks
from ..platform.statements import Statements, statements_of
from .messages import AnswerBroken, AnswerData, AnswerEnd, AnswerHead, Message

__all__ = ["Exchange", "Pool", "RequestHead", "TargetConnection"]

KEPT_IDLE_S = 3.0
"""How long an idle connection is used again, in seconds, if the target does not say."""

KEPT_IDLE_MARGIN_S = 1.0
"""How much sooner than the target says an idle connection is given up, in seconds."""

_PROBE_AFTER_S, _PROBES = 1, 2
"""Keepalive probes of TCP: after so many idle seconds, and how many may go unanswered."""

_USER_TIMEOUT_MS = 2500
"""How long sent bytes may stay unacknowledged, in milliseconds, before a connection fails."""

_HEAD_BYTES = 65_536
"""The longest head of an answer that is read, in bytes."""

_log = logging.getLogger(__name__)


class RequestHead(NamedTuple):
    """The head of a request as it goes to a target."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]


class Exchange:
    """One request to a target and its answer, told as messages.

    Parameters
    ----------
    attempt : int
        Stands in each message.
    request_id : str
        Answers with another id are dropped.
    target : str
        The target that it is for, by its name.
    tell : callable
        Takes the messages.

    Attributes
    ----------
    born : int
        The start of the target that was known when the request went out; see `TargetEntry`.
    sent_s : float
        When that was, by the pool's clock.
    """

    def __init__(self, attempt: int, request_id: str, target: str, tell: Callable[[Message], None]):
        self.attempt = attempt
        self.born = 0
        self.sent_s = float("-inf")
        self.request_id = request_id
        self.target = target
        self._tell = tell
        self._conn: TargetConnection | None = None
        self.over = False

    def bind(self, conn: "TargetConnection") -> None:
        """Note the connection that carries it."""
        self._conn = conn

    def tell(self, message: Message) -> None:
        """Pass a message on, unless the exchange was given up."""
        if self.over:
            return
        if isinstance(message, AnswerEnd | AnswerBroken):
            self.over = True
        self._tell(message)

    def give_up(self) -> None:
        """End it: the target sees its connection close."""
        if self.over:
            return
        self.over = True
        if self._conn is not None:
            self._conn.abort()

    def set_reading(self, on: bool) -> None:
        """Stop or go on reading the answer."""
        if self._conn is not None and not self.over:
            self._conn.set_reading(on)


class Pool(Interface):
    """Where connections are kept while they are idle."""

    def keep(self, place: tuple[str, int], conn: "TargetConnection") -> None:
        """Keep a connection for the next request."""

    def forget(self, place: tuple[str, int], conn: "TargetConnection") -> None:
        """Drop a connection that can't be used."""

    def note_answer(self, exchange: Exchange, said: Statements) -> None:
        """Take what the head of an answer says of its target."""


class TargetConnection(protocol.Protocol):
    """Client side of HTTP/1.1 on one connection.

    Parameters
    ----------
    pool : Pool
        Keeps it while it is idle.
    place : (str, int)
        IP number and port of the target.

    Attributes
    ----------
    idle_limit_s : float
        How long it may be idle before it is used no more, in seconds.
    idle_since_s : float
        Since when it is idle, by the pool's clock.
    """

    def __init__(self, pool: Pool, place: tuple[str, int]):
        self._pool = pool
        self._place = place
        self._http = h11.Connection(h11.CLIENT, _HEAD_BYTES)
        self._exchange: Exchange | None = None
        self._head: RequestHead | None = None
        self._foreign = False
        self._reusable = True
        self._answer_begun = False
        self.idle_limit_s = KEPT_IDLE_S
        self.idle_since_s = 0.0

    def connectionMade(self) -> None:
        """Ask the kernel to notice a silent other side."""
        self.transport.setTcpNoDelay(True)
        sock = self.transport.getHandle()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_AFTER_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def begin(self, exchange: Exchange, head: RequestHead, body: bytes) -> None:
        """Send a request."""
        self._exchange, self._head = exchange, head
        self._answer_begun = False
        exchange.bind(self)
        try:
            data = _send_request(self._http, head, body)
        except h11.LocalProtocolError as exc:
            self._fail(f"the request cannot be sent: {exc}", sent=False)
            return
        self.transport.write(data)

    def abort(self) -> None:
        """Close at once, whatever is under way."""
        self._exchange = None
        self._reusable = False
        self.transport.abortConnection()

    def set_reading(self, on: bool) -> None:
        """Stop or go on reading."""
        if on:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._exchange is None:
            # Bytes that no request asked for: nothing on this connection can be trusted.
            self._reusable = False
            self._pool.forget(self._place, self)
            self.transport.abortConnection()
            return
        self._feed(data)

    def connectionLost(self, reason=None) -> None:
        """End the answer, whole or broken."""
        self._pool.forget(self._place, self)
        if self._exchange is None:
            return
        # An answer without a length ends with its connection, but only with an orderly close.
        if reason is not None and reason.check(error.ConnectionDone):
            self._feed(b"")
        if self._exchange is not None:
            text = reason.getErrorMessage() if reason is not None else "closed"
            self._fail(f"connection lost: {text}", sent=True)

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._exchange is not None:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._take(event)
        except h11.RemoteProtocolError as exc:
            self._fail(f"not an answer in the protocol: {exc}", sent=True)

    def _take(self, event) -> None:
        exchange = self._exchange
        match event:
            case h11.InformationalResponse():
                pass
            case h11.Response():
                self._take_head(exchange, event)
            case h11.Data(data=data) if not self._foreign:
                exchange.tell(AnswerData(exchange.attempt, bytes(data)))
            case h11.EndOfMessage() if self._foreign:
                self._await_own_answer()
            case h11.EndOfMessage():
                self._complete(exchange)
            case h11.ConnectionClosed():
                self._fail("closed by the target", sent=True)

    def _take_head(self, exchange: Exchange, event: h11.Response) -> None:
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        marks = answer_marks(event.status_code, headers)
        self._reusable = self._reusable and not marks.closes
        if marks.idle_s is not None:
            self.idle_limit_s = max(0.0, marks.idle_s - KEPT_IDLE_MARGIN_S)
        self._foreign = bool(marks.request_id) and marks.request_id != exchange.request_id
        if self._foreign:
            _log.warning(
                "answer to another request dropped",
                extra={"request_id": exchange.request_id, "answer_to": marks.request_id},
            )
            return
        if event.status_code != HTTPStatus.MISDIRECTED_REQUEST:
            # Else another target answers at this address, and speaks for itself.
            self._pool.note_answer(exchange, statements_of(event.status_code, headers))
        self._answer_begun = True
        exchange.tell(AnswerHead(exchange.attempt, event.status_code, headers))

    def _await_own_answer(self) -> None:
        """Go on after an answer to an earlier request, which came in the place of this one's."""
        rest, closed = self._http.trailing_data
        http = h11.Connection(h11.CLIENT, _HEAD_BYTES)
        _send_request(http, self._head, b"\0" * self._body_length())
        self._http, self._foreign = http, False
        self._reusable = False
        if rest:
            self._http.receive_data(rest)
        if closed:
            self._fail("closed after an answer to another request", sent=True)

    def _body_length(self) -> int:
        return int(dict(self._head.headers).get(b"content-length", b"0"))

    def _complete(self, exchange: Exchange) -> None:
        self._exchange = None
        surplus, closed = self._http.trailing_data
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._reusable = False
        if self._reusable and not surplus and not closed:
            # A slow caller may have stopped the reading in this very call, and its handler can't
            # go on with an exchange that is over: the next answer would never be read.
            self.transport.resumeProducing()
            self._pool.keep(self._place, self)
        else:
            self.transport.loseConnection()
        exchange.tell(AnswerEnd(exchange.attempt))

    def _fail(self, reason: str, sent: bool) -> None:
        exchange, self._exchange = self._exchange, None
        self._reusable = False
        self._pool.forget(self._place, self)
        self.transport.abortConnection()
        if exchange is not None:
            exchange.tell(AnswerBroken(exchange.attempt, reason, sent))


def _send_request(http: h11.Connection, head: RequestHead, body: bytes) -> bytes:
    """Take a whole request through `http`; return the bytes that go out."""
    parts = [http.send(h11.Request(method=head.method, target=head.target, headers=head.headers))]
    if body:
        parts.append(http.send(h11.Data(data=body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
