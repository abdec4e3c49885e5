"""Client side of connections to targets.

A connection carries one exchange at a time: a request or call to a target and its answer. An answer
to another one is dropped (see `TargetConnection`).
"""

import logging
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple
from typing import Protocol as Interface

import h11
from twisted.internet import error, protocol
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..platform.headers import parse_answer_headers
from ..platform.statements import Statements, parse_statements
from ..utils.pacing import PartPacer
from .messages import AnswerBroken, AnswerData, AnswerEnd, AnswerHead, EndMark, Message
from .second_answers import SecondAnswerFinder

__all__ = ["Exchange", "Pool", "RequestHead", "TargetConnection", "set_socket_options"]

IDLE_LIMIT_S = 3.0
"""How long an idle connection is reused, in seconds, if the target names no keep-alive time."""

IDLE_MARGIN_S = 1.0
"""An idle connection is discarded this many seconds before the target's keep-alive time ends."""

_PROBE_INTERVAL_S, _PROBE_COUNT = 1, 2
"""TCP keepalive: idle seconds before each probe, and the number of lost probes allowed."""

_USER_TIMEOUT_MS = 2500
"""TCP user timeout: a connection fails when sent bytes stay unacknowledged for this long."""

_MAX_HEAD_BYTES = 65_536
"""The maximum size of an answer's head."""

_MAX_INTERIM_ANSWERS = 16
"""The most answers with a status of 1xx before the final one."""

_MAX_DROPPED_ANSWERS, _MAX_DROPPED_BYTES = 8, 1_048_576
"""The most answers to other requests, and bytes of their bodies, that are dropped in wait for one
answer. A target that repeats one answer stays below both."""

_MAX_EARLIER_IDS = 8
"""The most requests of a connection whose late answers are known by their ids; a target that
repeats one answer is behind by one."""

_MAX_STATUS = 599
"""The highest status of an answer in RFC 9110."""


_log = logging.getLogger(__name__)


class RequestHead(NamedTuple):
    """The method, path with query, and headers of a request to a target."""

    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]


class Exchange:
    """One request to a target; delivers the answer as messages.

    Parameters
    ----------
    attempt : int
        A number that is unique within the pool, also for calls other than requests; repeated in
        each message.
    request_id : str
        The request's id, empty for calls. Answers that do not name exactly this id are dropped.
    target : str
        The target's name.
    deliver : callable
        Called with each message.

    Attributes
    ----------
    born : int
        The target's start time as known when the request was sent; see `TargetEntry`.
    sent_s : float
        When the request was sent, by the pool's clock.
    over : bool
        Whether the answer has ended or the exchange was cancelled; nothing is delivered then.
    """

    def __init__(
        self, attempt: int, request_id: str, target: str, deliver: Callable[[Message], None]
    ):
        self.attempt = attempt
        self.born = 0
        self.sent_s = float("-inf")
        self.request_id = request_id
        self.target = target
        self._deliver = deliver
        self._conn: TargetConnection | None = None
        self.over = False

    @property
    def carrier(self) -> str:
        """Name of the peer that carries it; empty for the box's own link, or before it is sent."""
        return self._conn.carrier if self._conn is not None else ""

    @property
    def tunnel_id(self) -> str:
        """The number of the carrier's tunnel, empty without a carrier."""
        return self._conn.tunnel_id if self._conn is not None else ""

    def is_conn_open(self) -> bool:
        """Whether the connection that carries it, or has carried it, is open."""
        return self._conn is not None and self._conn.is_open

    def matches(self, answer_id: str) -> bool:
        """Whether an answer that names this request id, or none, is that of the exchange."""
        return answer_id == self.request_id

    def bind(self, conn: "TargetConnection") -> None:
        """Set the connection that carries the exchange."""
        self._conn = conn

    def deliver(self, message: Message) -> None:
        """Deliver a message unless the exchange is over."""
        if self.over:
            return
        if isinstance(message, AnswerEnd | AnswerBroken):
            self.over = True
        self._deliver(message)

    def cancel(self) -> None:
        """Cancel the exchange and abort its connection, which signals the target to stop."""
        if self.over:
            return
        self.over = True
        if self._conn is not None:
            self._conn.abort()

    def note_events(self, count: int) -> None:
        """Count events that the answer's last part held; many small ones slow down its reading."""
        if self._conn is not None and not self.over:
            self._conn.note_events(count)

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading the answer."""
        if self._conn is not None and not self.over:
            self._conn.set_reading(on)


class Pool(Interface):
    """What a connection needs of the pool that owns it."""

    @property
    def clock(self) -> IReactorTime:
        """A monotonic clock."""

    def keep(self, address: tuple[str, int], conn: "TargetConnection") -> None:
        """Keep an idle connection for the next request."""

    def forget(self, address: tuple[str, int], conn: "TargetConnection") -> None:
        """Remove a connection that cannot be reused."""

    def note_answer(self, exchange: Exchange, statements: Statements) -> None:
        """Process what an answer's headers state about its target."""

    def note_dropped(self, exchange: Exchange, answer_to: str, status: int) -> None:
        """Record an answer that was dropped since it names another request, or none."""

    def note_received(self, conn: "TargetConnection") -> None:
        """Record that bytes have arrived on a connection."""


class TargetConnection(protocol.Protocol):
    """A connection to one target.

    Answers to requests name the request that they belong to, and answers to calls name none. Any
    other answer, such as a late one to an earlier request or call, is dropped; the connection then
    waits for the right one and is not reused.

    Parameters
    ----------
    pool : Pool
        Keeps the connection while it is idle.
    address : (str, int)
        IP address and port of the target.
    carrier : str
        Name of the peer through which it goes, empty for the box's own link.

    Attributes
    ----------
    tunnel_id : str
        The number of the tunnel in the carrier's log, empty without a carrier.
    heard_s : float
        When bytes last arrived over the box's own link.
    idle_limit_s : float
        How long the connection may be idle and still be reused, in seconds.
    idle_since_s : float
        When it became idle, by the pool's clock.
    is_open : bool
        Whether it can carry an exchange: neither end has closed it.
    """

    def __init__(self, pool: Pool, address: tuple[str, int], carrier: str = ""):
        self._pool = pool
        self.address = address
        self.carrier = carrier
        self.tunnel_id = ""
        self.heard_s = float("-inf")
        self._http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._exchange: Exchange | None = None
        self._head: RequestHead | None = None
        self._mismatched = False
        self._dropped_answers = self._dropped_bytes = self._interim_answers = 0
        self._request_ids: deque[bytes] = deque(maxlen=_MAX_EARLIER_IDS)
        self._failed_ids: deque[str] = deque(maxlen=_MAX_EARLIER_IDS)
        self._second: SecondAnswerFinder | None = None
        self._reusable = True
        self._answer_started = False
        self._pacer = PartPacer()
        self._resumption: IDelayedCall | None = None
        self._is_read = True
        self._pause_logged = False
        self.idle_limit_s = IDLE_LIMIT_S
        self.idle_since_s = 0.0
        self.is_open = True

    def connectionMade(self) -> None:
        """Set TCP timeouts that detect an unresponsive peer."""
        set_socket_options(self.transport)

    @property
    def is_busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._exchange is not None

    def has_failed(self, request_id: str) -> bool:
        """Whether the target answered here lately that a run of this request has failed."""
        return request_id in self._failed_ids

    def begin(self, exchange: Exchange, head: RequestHead, body: bytes) -> None:
        """Send a request."""
        self._exchange, self._head = exchange, head
        self._answer_started = False
        self._dropped_answers = self._dropped_bytes = self._interim_answers = 0
        exchange.bind(self)
        if exchange.request_id:
            self._request_ids.append(exchange.request_id.encode("latin-1", "replace"))
        try:
            data = _encode_request(self._http, head, body)
        except h11.LocalProtocolError as exc:
            self._fail(f"the request cannot be sent: {exc}", sent=False)
            return
        self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection and any exchange in progress."""
        self.is_open = False
        self._exchange = None
        self._reusable = False
        self._stop_pause()
        self.transport.abortConnection()

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading."""
        self._is_read = on
        if not on:
            self.transport.pauseProducing()
        elif self._resumption is None:
            self.transport.resumeProducing()

    def note_events(self, count: int) -> None:
        """Count events that the last part of the answer held, as parts of their own."""
        self._pacer.add(count)

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of an answer."""
        self._pool.note_received(self)
        if self._exchange is None:
            # Unsolicited bytes: nothing else on this connection can be trusted.
            self._reusable = self.is_open = False
            self._pool.forget(self.address, self)
            self.transport.abortConnection()
            return
        self._parse(data)

    def connectionLost(self, reason=None) -> None:
        """Complete or fail the current exchange."""
        self.is_open = False
        self._pool.forget(self.address, self)
        self._stop_pause()
        if self._exchange is None:
            return
        # An orderly close of the connection ends an answer without a length.
        if reason is not None and reason.check(error.ConnectionDone):
            self._parse(b"")
        if self._exchange is not None:
            text = reason.getErrorMessage() if reason is not None else "closed"
            self._fail(f"connection lost: {text}", sent=True)

    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            if self._resumption is None:
                self._handle_events(may_pause=bool(data))
        except h11.RemoteProtocolError as exc:
            self._fail(f"not an answer in the protocol: {exc}", sent=True)

    def _handle_events(self, may_pause: bool = True) -> None:
        while self._exchange is not None:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            self._handle_event(event)
            asks_for_pause = isinstance(event, h11.Data) and self._pacer.note(len(event.data))
            if asks_for_pause and may_pause and self._exchange is not None and self._pause():
                return

    def _pause(self) -> bool:
        """Pause reading and parsing if the answer's parts are too small; return whether it did."""
        pause_s = self._pacer.pause_s(self._pool.clock.seconds())
        if pause_s:
            self._log_first_pause()
            self.transport.pauseProducing()
            self._resumption = self._pool.clock.callLater(pause_s, self._resume)
        return bool(pause_s)

    def _log_first_pause(self) -> None:
        if not self._pause_logged:
            self._pause_logged = True
            extra = {"request_id": self._exchange.request_id, "target": self._exchange.target}
            _log.info("answer in many small parts paced", extra=extra)

    def _resume(self) -> None:
        self._resumption = None
        try:
            self._handle_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"not an answer in the protocol: {exc}", sent=True)
        if self._resumption is None and self._is_read:
            self.transport.resumeProducing()

    def _stop_pause(self) -> None:
        if self._resumption is not None:
            self._resumption.cancel()
            self._resumption = None

    def _handle_event(self, event) -> None:
        exchange = self._exchange
        match event:
            case h11.Data(data=data) if self._second is not None:
                self._handle_unframed(exchange, self._second.feed(bytes(data)))
            case h11.EndOfMessage() if self._second is not None:
                self._handle_unframed(exchange, self._second.end())
                self._second = None
                if self._exchange is not None:
                    self._handle_event(event)
            case h11.InformationalResponse():
                self._interim_answers += 1
                if self._interim_answers > _MAX_INTERIM_ANSWERS:
                    self._fail("too many interim answers", sent=True)
            case h11.Response():
                self._handle_head(exchange, event)
            case h11.Data(data=data):
                self._handle_data(exchange, bytes(data))
            case h11.EndOfMessage() if self._mismatched:
                self._await_matching_answer()
            case h11.EndOfMessage():
                self._complete(exchange)
            case h11.ConnectionClosed():
                self._fail("closed by the target", sent=True)

    def _handle_unframed(self, exchange: Exchange, data: bytes) -> None:
        """Handle a part of a body that ends with the connection, up to a second answer."""
        is_found = self._second.is_found
        if data:
            self._handle_data(exchange, data)
        if is_found and self._exchange is not None:
            self._fail("another answer follows before a close has ended this one", sent=True)

    def _handle_data(self, exchange: Exchange, data: bytes) -> None:
        """Deliver a part of a body, or drop it with the answer to another request."""
        if not self._mismatched:
            exchange.deliver(AnswerData(exchange.attempt, data))
            return
        self._dropped_bytes += len(data)
        if self._dropped_bytes > _MAX_DROPPED_BYTES:
            self._fail("an answer to another request does not end", sent=True)

    def _handle_head(self, exchange: Exchange, event: h11.Response) -> None:
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        if reason := _malformed_head(event.status_code, headers):
            self._fail(f"not an answer in the protocol: {reason}", sent=True)
            return
        metadata = parse_answer_headers(event.status_code, headers)
        self._reusable = self._reusable and not metadata.closes
        if metadata.idle_s is not None:
            self.idle_limit_s = max(0.0, metadata.idle_s - IDLE_MARGIN_S)
        self._mismatched = not exchange.matches(metadata.request_id)
        mark = _end_mark(self._head.method, event.status_code, headers)
        self._second = self._second_finder() if mark is EndMark.CLOSE else None
        if self._mismatched:
            self._pool.note_dropped(exchange, metadata.request_id, event.status_code)
            self._dropped_answers += 1
            if self._dropped_answers > _MAX_DROPPED_ANSWERS:
                self._fail("too many answers to other requests", sent=True)
            return
        if event.status_code != HTTPStatus.MISDIRECTED_REQUEST:
            # This status means that another target now listens at the address; its statements do
            # not apply to the target of the request.
            self._pool.note_answer(exchange, parse_statements(event.status_code, headers))
        self._answer_started = True
        if exchange.request_id and event.status_code >= HTTPStatus.BAD_REQUEST:
            self._failed_ids.append(exchange.request_id)
        exchange.deliver(AnswerHead(exchange.attempt, event.status_code, headers, mark))

    def _second_finder(self) -> SecondAnswerFinder:
        """Return what finds a second answer behind one that only a close ends."""
        # What is dropped may quote heads of answers: it reaches nobody.
        return SecondAnswerFinder(None if self._mismatched else frozenset(self._request_ids))

    def _await_matching_answer(self) -> None:
        """Wait for the right answer after one to an earlier request has been dropped.

        A new h11 connection parses an answer only after it has encoded a request. The result is not
        sent; only the length of the body matters.
        """
        remaining, closed = self._http.trailing_data
        http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        _encode_request(http, self._head, b"\0" * self._body_length())
        self._http, self._mismatched = http, False
        self._reusable = False
        if remaining:
            self._http.receive_data(remaining)
        if closed:
            self._fail("closed after an answer to another request", sent=True)

    def _body_length(self) -> int:
        return int(dict(self._head.headers).get(b"content-length", b"0"))

    def _complete(self, exchange: Exchange) -> None:
        self._exchange = None
        extra_bytes, closed = self._http.trailing_data
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._reusable = False
        if self._reusable and not extra_bytes and not closed:
            # The last data delivered may have paused reading for a slow caller. Its handler cannot
            # resume a finished exchange, and the next answer would never be read.
            self._is_read = True
            self.transport.resumeProducing()
            self._pool.keep(self.address, self)
        else:
            self.transport.loseConnection()
        exchange.deliver(AnswerEnd(exchange.attempt))

    def _fail(self, reason: str, sent: bool) -> None:
        exchange, self._exchange = self._exchange, None
        self._reusable = False
        self._stop_pause()
        self._pool.forget(self.address, self)
        self.transport.abortConnection()
        if exchange is not None:
            exchange.deliver(AnswerBroken(exchange.attempt, reason, sent))


def set_socket_options(transport) -> None:
    """Set the TCP options of a connection to a target or through a tunnel.

    A connection on which nothing arrives is ended after 3 s: probes are sent after 1 s and 2 s, and
    at 3 s the user timeout, which counts from the last bytes that arrived, has passed. Bytes that
    stay unacknowledged end it after the user timeout.
    """
    transport.setTcpNoDelay(True)
    sock = transport.getHandle()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def _malformed_head(status: int, headers: list[tuple[bytes, bytes]]) -> str:
    """Return why an answer with this head can't be passed on, empty if it can."""
    if status > _MAX_STATUS:
        return f"status {status}"
    names = {name for name, _value in headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        return "both a length and chunks"
    return ""


def _end_mark(method: bytes, status: int, headers: list[tuple[bytes, bytes]]) -> EndMark:
    """Return what marks the end of the answer with this head."""
    names = {name for name, _value in headers}
    if method == b"HEAD" or status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return EndMark.NO_BODY
    if b"transfer-encoding" in names:
        return EndMark.CHUNKS
    return EndMark.LENGTH if b"content-length" in names else EndMark.CLOSE


def _encode_request(http: h11.Connection, head: RequestHead, body: bytes) -> bytes:
    """Encode a complete request with `http`; return the bytes to send."""
    parts = [http.send(h11.Request(method=head.method, target=head.path, headers=head.headers))]
    if body:
        parts.append(http.send(h11.Data(data=body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
