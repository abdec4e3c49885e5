"""Connections to targets: one exchange at a time on each, kept for the next where that is safe."""

import itertools
import logging
import socket
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import h11
from twisted.internet import error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTime

from ..errors import GladedrumError
from ..platform.heads import answer_marks
from .messages import AnswerBroken, AnswerData, AnswerEnd, AnswerHead, Message

__all__ = ["Exchange", "NotNowError", "RequestHead", "TargetPool"]

CONNECT_TIMEOUT_S = 0.8
"""How long a connection to a target may take, in seconds; a sound one takes milliseconds."""

KEPT_IDLE_S = 3.0
"""How long an idle connection is used again, in seconds, if the target does not say."""

KEPT_IDLE_MARGIN_S = 1.0
"""How much sooner than the target says an idle connection is given up, in seconds."""

KEPT_IDLE_ONCE_S = 0.25
"""As `KEPT_IDLE_S`, for requests that can't be sent again if the connection proves closed."""

KEPT_A_TARGET = 12
"""The most idle connections that are kept to one target."""

_PROBE_AFTER_S, _PROBES = 1, 2
"""Keepalive probes of TCP: after so many idle seconds, and how many may go unanswered."""

_USER_TIMEOUT_MS = 2500
"""How long sent bytes may stay unacknowledged, in milliseconds, before a connection fails."""

_HEAD_BYTES = 65_536

_log = logging.getLogger(__name__)


class NotNowError(GladedrumError):
    """What allowed a request to be sent does not hold any more."""


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
    tell : callable
        Takes the messages.
    """

    def __init__(self, attempt: int, request_id: str, tell: Callable[[Message], None]):
        self.attempt = attempt
        self.request_id = request_id
        self._tell = tell
        self._conn: _TargetConnection | None = None
        self.over = False

    def bind(self, conn: "_TargetConnection") -> None:
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


class _TargetConnection(protocol.Protocol):
    """Client side of HTTP/1.1 on one connection."""

    def __init__(self, pool: "TargetPool", place: tuple[str, int]):
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
            data = self._send_request(self._http, head, body)
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

    def _send_request(self, http: h11.Connection, head: RequestHead, body: bytes) -> bytes:
        parts = [http.send(h11.Request(method=head.method, target=head.target, headers=head[2]))]
        if body:
            parts.append(http.send(h11.Data(data=body)))
        parts.append(http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

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
        self._answer_begun = True
        exchange.tell(AnswerHead(exchange.attempt, event.status_code, headers))

    def _await_own_answer(self) -> None:
        """Go on after an answer to an earlier request, which came in the place of this one's."""
        rest, closed = self._http.trailing_data
        http = h11.Connection(h11.CLIENT, _HEAD_BYTES)
        self._send_request(http, self._head, b"\0" * self._body_length())
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


class TargetPool:
    """Opens connections to targets and keeps idle ones.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Where connections and timers live.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._idle: dict[tuple[str, int], list[_TargetConnection]] = defaultdict(list)
        self._attempts = itertools.count(1)
        self.opened = 0

    def begin(
        self,
        place: tuple[str, int],
        make_head: Callable[[], RequestHead],
        body: bytes,
        request_id: str,
        repeatable: bool,
        tell: Callable[[Message], None],
    ) -> Exchange:
        """Send a request on an idle connection or a new one.

        Parameters
        ----------
        place : (str, int)
            IP number and port.
        make_head : callable
            Called right before the bytes go out, since the process may have stood still after
            the decision; returns the head or raises `NotNowError`.
        body : bytes
            The request's body.
        request_id : str
            Its id.
        repeatable : bool
            Whether it may be sent again if a kept connection proves to be closed.
        tell : callable
            Takes the messages of the answer.
        """
        exchange = Exchange(next(self._attempts), request_id, tell)
        conn = self._take_idle(place, repeatable)
        if conn is not None:
            self._send(conn, exchange, make_head, body)
            return exchange
        self.opened += 1
        endpoint = TCP4ClientEndpoint(self._reactor, *place, timeout=CONNECT_TIMEOUT_S)
        factory = protocol.Factory.forProtocol(lambda: _TargetConnection(self, place))
        factory.noisy = False
        connecting = endpoint.connect(factory)

        def connected(conn: _TargetConnection) -> None:
            if exchange.over:
                conn.abort()
            else:
                self._send(conn, exchange, make_head, body)

        def failed(failure) -> None:
            reason = f"cannot connect: {failure.getErrorMessage()}"
            broken = AnswerBroken(exchange.attempt, reason, sent=False, unreachable=True)
            exchange.tell(broken)

        connecting.addCallbacks(connected, failed)
        return exchange

    def _send(
        self,
        conn: _TargetConnection,
        exchange: Exchange,
        make_head: Callable[[], RequestHead],
        body: bytes,
    ) -> None:
        try:
            head = make_head()
        except NotNowError as exc:
            conn.abort()
            # Told in a later turn, as all messages are: the caller of `begin` has no exchange yet.
            broken = AnswerBroken(exchange.attempt, str(exc), sent=False)
            self._reactor.callLater(0, exchange.tell, broken)
            return
        conn.begin(exchange, head, body)

    def keep(self, place: tuple[str, int], conn: _TargetConnection) -> None:
        """Keep a connection for the next request."""
        conn.idle_since_s = self._reactor.seconds()
        idle = self._idle[place]
        idle.append(conn)
        if len(idle) > KEPT_A_TARGET:
            idle.pop(0).abort()

    def forget(self, place: tuple[str, int], conn: _TargetConnection) -> None:
        """Drop a connection that can't be used."""
        if conn in self._idle.get(place, ()):
            self._idle[place].remove(conn)

    def forget_place(self, place: tuple[str, int]) -> None:
        """Close the idle connections to a target that is gone."""
        for conn in self._idle.pop(place, []):
            conn.abort()

    def _take_idle(self, place: tuple[str, int], repeatable: bool) -> _TargetConnection | None:
        idle = self._idle[place]
        now_s = self._reactor.seconds()
        while idle:
            conn = idle.pop()
            limit_s = conn.idle_limit_s if repeatable else min(KEPT_IDLE_ONCE_S, conn.idle_limit_s)
            if now_s - conn.idle_since_s <= limit_s:
                return conn
            if repeatable:
                conn.abort()
            else:
                # Still good for a request that may be sent again.
                idle.append(conn)
                return None
        return None
