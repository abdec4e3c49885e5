"""One caller's connection: reads requests, one at a time, and writes the answers."""

import logging
from collections.abc import Callable
from typing import Protocol as Interface

import h11
from twisted.internet import defer, protocol
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..routes import CallerLimits
from .messages import CallerRequest

__all__ = ["CallerConnection", "CallerFactory", "RequestHandler"]

_PIPELINED_BYTES = 65_536
"""What is read ahead of the request at work, in bytes, before reading stops."""

_log = logging.getLogger(__name__)


class RequestHandler(Interface):
    """What is told about a request; made for each one by the factory's `handle`."""

    def caller_gone(self) -> None:
        """The caller has closed its connection before the answer was complete."""

    def set_reading(self, on: bool) -> None:
        """The caller takes the answer more slowly than it comes, or again fast enough."""


class CallerConnection(protocol.Protocol):
    """Server side of HTTP/1.1 on one connection.

    Parameters
    ----------
    clock : IReactorTime
        For time limits.
    factory : CallerFactory
        Gives the limits in force and takes the requests.
    """

    def __init__(self, clock: IReactorTime, factory: "CallerFactory"):
        self._clock = clock
        self._site = factory
        self._limits = factory.limits()
        self._http = h11.Connection(h11.SERVER, self._limits.header_bytes)
        self._request: h11.Request | None = None
        self._arrived_s = 0.0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._handler: RequestHandler | None = None
        self._timer: IDelayedCall | None = None
        self._header_begun = False
        self._closing = False
        self._read_ahead = 0
        self._answers = 0
        self._dispatching = False

    # What Twisted calls.

    def connectionMade(self) -> None:
        """Begin to wait for a request."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._site.connections.add(self)
        self._wait(self._limits.idle_time_s, self._idle_too_long)

    def dataReceived(self, data: bytes) -> None:
        """Parse what came."""
        if self._closing and self._handler is None:
            return
        self._read_ahead += len(data)
        if self._handler is not None and self._read_ahead > _PIPELINED_BYTES:
            self.transport.pauseProducing()
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc))
            return
        if self._handler is None:
            self._parse()

    def connectionLost(self, reason=None) -> None:
        """Tell the request at work."""
        self._stop_timer()
        self._site.forget(self)
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.caller_gone()

    def pauseProducing(self) -> None:
        """The caller takes the answer slowly."""
        if self._handler is not None:
            self._handler.set_reading(False)

    def resumeProducing(self) -> None:
        """The caller takes the answer again."""
        if self._handler is not None:
            self._handler.set_reading(True)

    def stopProducing(self) -> None:
        """The connection is gone; `connectionLost` follows."""

    # What the request's task calls.

    def send_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Begin the answer."""
        if self._last_answer:
            headers = [*headers, (b"connection", b"close")]
        self._send(h11.Response(status_code=status, headers=headers))

    def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        if data:
            self._send(h11.Data(data=data))

    def end_answer(self) -> None:
        """Complete the answer and go on with the next request."""
        self._send(h11.EndOfMessage())
        self._handler = None
        self._answers += 1
        if self._http.our_state is h11.MUST_CLOSE or self._last_answer:
            self._close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._close()
            return
        self._read_ahead = 0
        self.transport.resumeProducing()
        self._wait(self._limits.idle_time_s, self._idle_too_long)
        if not self._dispatching:
            self._parse()

    @property
    def _last_answer(self) -> bool:
        """Whether the connection ends with the answer under way."""
        return self._closing or self._site.draining or not self._site.keep

    def abort_answer(self) -> None:
        """Break the answer off so that it can't look complete."""
        self._handler = None
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close now if no request has begun; the factory's `draining` ends it after the one begun.

        A request that is half read is read on and served: it counts as accepted.
        """
        if self._handler is None and self._request is None and not self._header_begun:
            self._close()

    # Parsing.

    def _parse(self) -> None:
        while self._handler is None and not self._closing:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._refuse(exc.error_status_hint, str(exc))
                return
            match event:
                case h11.Request():
                    self._begin(event)
                case h11.Data(data=data):
                    self._body.append(bytes(data))
                    self._body_bytes += len(data)
                    if self._body_bytes > self._limits.body_bytes:
                        self._refuse(413, "the body is too long")
                        return
                    self._wait(self._limits.idle_time_s, self._body_too_slow)
                case h11.EndOfMessage():
                    self._dispatch()
                case h11.ConnectionClosed():
                    self._close()
                    return
                case h11.PAUSED:
                    return
                case h11.NEED_DATA:
                    self._note_waiting()
                    return

    def _note_waiting(self) -> None:
        if self._request is None:
            begun = bool(self._http.trailing_data[0])
            if begun and not self._header_begun:
                self._header_begun = True
                self._wait(self._limits.header_time_s, self._header_too_slow)
        elif self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _begin(self, req: h11.Request) -> None:
        self._limits = self._site.limits()
        self._request = req
        self._arrived_s = self._clock.seconds()
        self._header_begun = False
        self._wait(self._limits.idle_time_s, self._body_too_slow)
        names = [name for name, _ in req.headers]
        head_bytes = len(req.target) + sum(len(n) + len(v) + 4 for n, v in req.headers)
        if req.method == b"CONNECT":
            self._refuse(405, "CONNECT is not served")
        elif b"content-length" in names and b"transfer-encoding" in names:
            self._refuse(400, "the length of the body is given twice")
        elif head_bytes > self._limits.header_bytes:
            self._refuse(431, "the head of the request is too long")

    def _dispatch(self) -> None:
        self._stop_timer()
        req, self._request = self._request, None
        body, self._body, self._body_bytes = b"".join(self._body), [], 0
        names = {name for name, _ in req.headers}
        has_body = bool(names & {b"content-length", b"transfer-encoding"})
        request = CallerRequest(
            bytes(req.method),
            bytes(req.target),
            [(bytes(name), bytes(value)) for name, value in req.headers],
            body,
            self._arrived_s,
            has_body,
        )
        answered = self._answers
        self._dispatching = True
        handler = self._site.handle(request, self)
        self._dispatching = False
        if self._answers == answered:
            self._handler = handler

    # Ends.

    def _refuse(self, status: int, reason: str) -> None:
        """Answer a request that cannot be read, and close."""
        _log.info("request refused", extra={"status": status, "reason": reason})
        if self._handler is not None:
            # Bytes after a request that is still at work: its answer goes out, nothing more.
            self._closing = True
            return
        text = reason.encode("latin-1", "replace")
        headers = [(b"content-length", b"%d" % len(text)), (b"connection", b"close")]
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.Data(data=text))
            self._send(h11.EndOfMessage())
        self._close()

    def _close(self) -> None:
        self._closing = True
        self._stop_timer()
        self.transport.loseConnection()

    def _send(self, event) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as exc:
            _log.error("answer cannot be sent", extra={"reason": str(exc)})
            self.abort_answer()
            return
        if data:
            self.transport.write(data)

    # Time limits.

    def _wait(self, limit_s: float, on_end: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._clock.callLater(limit_s, on_end)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _idle_too_long(self) -> None:
        self._timer = None
        if self._handler is None:
            self._close()

    def _header_too_slow(self) -> None:
        self._timer = None
        self._refuse(408, "the head of the request did not come in time")

    def _body_too_slow(self) -> None:
        self._timer = None
        self._refuse(408, "the body of the request did not come in time")


class CallerFactory(protocol.Factory):
    """Makes the connections of callers.

    Parameters
    ----------
    clock : IReactorTime
        For time limits.
    limits : callable
        Returns the `CallerLimits` in force.
    handle : callable
        Takes a `CallerRequest` and its `CallerConnection`; returns the `RequestHandler`.
    keep : bool
        Whether a connection carries more than one request.

    Attributes
    ----------
    draining : bool
        Whether answers ask callers to close their connections.
    connections : set of CallerConnection
        The open ones.
    """

    noisy = False

    def __init__(
        self,
        clock: IReactorTime,
        limits: Callable[[], CallerLimits],
        handle: Callable[[CallerRequest, CallerConnection], RequestHandler],
        keep: bool = True,
    ):
        self._clock = clock
        self.limits = limits
        self.handle = handle
        self.keep = keep
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self._all_closed: list[defer.Deferred[None]] = []

    def buildProtocol(self, _addr) -> CallerConnection:
        """Make the connection of one caller."""
        return CallerConnection(self._clock, self)

    def forget(self, conn: CallerConnection) -> None:
        """Note that a connection is closed."""
        self.connections.discard(conn)
        if not self.connections:
            waiting, self._all_closed = self._all_closed, []
            for closed in waiting:
                closed.callback(None)

    def when_all_closed(self) -> defer.Deferred[None]:
        """Return a deferred that fires when no connection is open any more."""
        closed: defer.Deferred[None] = defer.Deferred(self._all_closed.remove)
        self._all_closed.append(closed)
        return closed

    def close_idle(self) -> None:
        """Close connections without a request, and the others after theirs."""
        self.draining = True
        for conn in tuple(self.connections):
            conn.close_if_idle()
