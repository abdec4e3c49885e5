"""Server side of callers' connections: reads requests one at a time and writes answers."""

import logging
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Protocol as Interface

import h11
from twisted.internet import defer, error, protocol
from twisted.internet.interfaces import IDelayedCall, IHalfCloseableProtocol, IReactorTime
from twisted.python.failure import Failure
from zope.interface import implementer

from ..platform.headers import parse_caller_headers, refusal_headers
from ..routes import CallerLimits
from ..utils.pacing import PartPacer, SharedPace, is_too_fine
from ..utils.request_memory import RequestMemory
from .answer_buffer import AnswerBuffer
from .closing import OrderlyClose, close_if_reset, is_reset_on_close, set_reset_on_close
from .memory_budget import REQUEST_COPIES, Account, Decision, DropReason, MemoryBudget
from .messages import CallerGone, CallerRequest

__all__ = ["CallerConnection", "CallerFactory", "RequestHandler"]

_MAX_READ_AHEAD_BYTES = 65_536
"""The number of bytes read ahead of the current request before reading is paused."""

LATE_WORTH_SHARE = 0.25
"""Share of its worth that an answer keeps once its time is up, in the choice of what to drop."""

ABANDONED_AFTER_S = 5.0
"""A caller whose time is up and that has taken nothing for this long has most likely given up; most
callers close their connection at the end of their time or soon after."""

NO_MEMORY_RETRY_S = 1.0
"""Retry-After of a request that found no memory, in seconds: requests hold theirs until they end,
which takes most of them less."""

MEMORY_WAIT_S, MEMORY_CHECK_S = 2.0, 0.1
"""How long a request that finds no memory may wait for some, and how often it is looked for, in
seconds. Most requests end within this time, or count as stalled."""

MAX_MEMORY_WAITS = 32
"""Number of requests that may wait for memory at once; more could not all be served in time."""

REFUSAL_LINGER_S = 2.0
"""After a refusal, what the caller still sends is read and discarded for this long, in seconds: a
connection that is closed with unread bytes is reset, and the caller may lose the answer."""

_log = logging.getLogger(__name__)


class RequestHandler(Interface):
    """Receives connection events while a request is handled; `CallerFactory.handle` returns one."""

    def caller_gone(self, gone: CallerGone) -> None:
        """Called when the caller's connection has ended before the answer was complete."""

    def set_reading(self, on: bool) -> None:
        """Called with False when the caller reads too slowly, with True when it has caught up.

        With a memory budget: with False when the answer has to wait for memory.
        """


@implementer(IHalfCloseableProtocol)
class CallerConnection(protocol.Protocol):
    """The connection of one caller.

    The bytes of requests are counted in the `RequestMemory` of all callers (this class is a
    `RequestHolder`). Without a memory budget, a full write buffer of the transport pauses the
    handler (this class is the transport's push producer). With one, answers go through an
    `AnswerBuffer`, and the budget pauses the handler or drops the answer (this class is an
    `AccountHolder`).

    Parameters
    ----------
    clock : IReactorTime
        For timeouts.
    factory : CallerFactory
        Provides the current limits and handles the requests.
    """

    def __init__(self, clock: IReactorTime, factory: "CallerFactory"):
        self._clock = clock
        self._factory = factory
        self._limits = factory.limits()
        self._http = h11.Connection(h11.SERVER, self._limits.header_bytes)
        self._request: h11.Request | None = None
        self._arrived_s = 0.0
        self._announced_bytes = 0
        self._body = bytearray()
        self._body_parts = 0
        self._body_due_s: float | None = None
        self._pacer = PartPacer(factory.pace)
        self._resumption: IDelayedCall | None = None
        self._handler: RequestHandler | None = None
        self._timer: IDelayedCall | None = None
        self._header_started = False
        self._closing = self._discards = False
        self._read_ahead_bytes = 0
        self._answers = 0
        self._dispatching = False
        self._out: AnswerBuffer | None = None
        self._account: Account | None = None
        self._share = factory.requests.share(self)
        self._memory_wait_ends_s: float | None = None
        self._gone = CallerGone()
        self._worth, self._due_s = 0.0, float("inf")
        self._pause_logged = False
        self._is_dropped = False
        self._ends_with_close = False
        self.request_id = ""

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Start waiting for a request."""
        self.transport.setTcpNoDelay(True)
        memory = self._factory.memory
        if memory is None:
            self.transport.registerProducer(self, True)
        else:
            self._account = Account(memory, self)
            on_stalled = partial(self.drop, DropReason.STALLED)
            self._out = AnswerBuffer(self._clock, self.transport, self._account, on_stalled)
        self._factory.connections.add(self)
        self._share.begin(self._clock.seconds())
        self._set_timer(self._limits.idle_time_s, self._on_idle_timeout)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._closing and self._handler is None:
            return
        self._read_ahead_bytes += len(data)
        has_memory = self._find_memory(self._read_ahead_bytes)
        if not has_memory and self._handler is None and not self._wait_for_memory():
            self._refuse_for_memory()
            return
        read_ahead_limit = _MAX_READ_AHEAD_BYTES if has_memory else 0
        if self._handler is not None and self._read_ahead_bytes > read_ahead_limit:
            self.transport.pauseProducing()
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc))
            return
        if self._handler is None and self._resumption is None:
            self._parse()

    def readConnectionLost(self) -> None:
        """End the connection: a caller that sends no more has most likely left.

        Twisted would shut down the connection, which is an orderly end whatever `SO_LINGER` says,
        and a caller that has only ended its own direction would take a part of an answer for all.
        """
        is_cut = is_reset_on_close(self.transport)
        reason = error.ConnectionAborted() if is_cut else error.ConnectionDone()
        self.transport.connectionLost(Failure(reason))

    def writeConnectionLost(self) -> None:
        """Do nothing: boxes never end their own direction alone."""

    def connectionLost(self, reason=None) -> None:
        """Notify the handler of the current request."""
        self._stop_timer()
        self._stop_pause()
        self._share.release()
        if self._out is not None:
            self._out.discard()
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.caller_gone(self._gone)
        # Must come last: a stopping process exits when its last connection is closed.
        self._factory.forget(self)

    def pauseProducing(self) -> None:
        """Pause the handler: the transport's write buffer is full."""
        if self._handler is not None:
            self._handler.set_reading(False)

    def resumeProducing(self) -> None:
        """Resume the handler: the transport's write buffer has drained."""
        if self._handler is not None:
            self._handler.set_reading(True)

    def stopProducing(self) -> None:
        """Reset the connection if its loss cuts an answer; `connectionLost` is called next."""
        close_if_reset(self.transport)

    # Called by the memory budget and the answer buffer.

    @property
    def loss_cost(self) -> float:
        """What the caller loses, in units of worth, if the answer is dropped now."""
        is_late = self._clock.seconds() > self._due_s
        return self._worth * (LATE_WORTH_SHARE if is_late else 1.0)

    @property
    def is_abandoned(self) -> bool:
        """Whether the caller has most likely given up: it is late, and it takes nothing."""
        is_late = self._clock.seconds() > self._due_s
        return is_late and self._out.stalled_s > ABANDONED_AFTER_S

    @property
    def can_pause(self) -> bool:
        """Whether the current answer has not ended at its target."""
        return self._handler is not None

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading the current answer.

        Only the first pause of an answer is logged; metrics count all of them.
        """
        if self._handler is None:
            return
        if not on and not self._pause_logged:
            self._pause_logged = True
            _log.info("answer paused for lack of memory", extra=self._memory_fields())
        self._handler.set_reading(on)

    def drop(self, reason: DropReason) -> None:
        """Drop what the caller has not read, and break the connection to tell it."""
        extra = {"reason": reason, "answer_ended": self._handler is None}
        _log.warning("answer dropped", extra=extra | self._memory_fields())
        self._gone, self._is_dropped = CallerGone(reason), True
        if self._account is not None:
            self._account.budget.note(Decision.DROPPED)
            self._out.discard()
        self.transport.abortConnection()
        # The transport reports the loss later, and the answer may end before that.
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.caller_gone(self._gone)

    def _memory_fields(self) -> dict[str, object]:
        """Return the log fields for the bytes that this connection and the box hold."""
        account = self._account
        if account is None:
            return {"request_id": self.request_id}
        return {
            "request_id": self.request_id,
            "unsent_bytes": account.unsent,
            "partial_bytes": account.partial,
            "loss_cost": round(self.loss_cost, 3),
            "late_s": round(max(0.0, self._clock.seconds() - self._due_s), 3),
            "answer_bytes": account.budget.answer_bytes,
            "request_bytes": account.budget.request_bytes,
            "limit_bytes": account.budget.limit,
        }

    def has_unsent(self) -> bool:
        """Whether a memory budget counts bytes that the caller has not taken yet."""
        return self._out is not None and self._out.unsent > 0

    @property
    def is_cut_by_stop(self) -> bool:
        """Whether the end of the process now would cut an answer."""
        return self.has_unsent() or self._ends_with_close

    # Called by the task that handles the request.

    def comes_too_late(self, until_s: float) -> bool:
        """Whether a request that has come just now, and may last until `until_s`, would be cut."""
        factory = self._factory
        return self._clock.seconds() >= factory.late_from_s and until_s > factory.ends_s

    def set_worth(self, worth: float, due_s: float) -> None:
        """Set what the caller loses if the current answer is dropped, and when it is late."""
        self._worth, self._due_s = worth, due_s

    def set_partial(self, size: int) -> None:
        """Count bytes of the answer that are held back until a part of it is whole."""
        if self._account is not None:
            self._account.set_partial(size)

    def send_head(
        self, status: int, headers: list[tuple[bytes, bytes]], up_to_close: bool = False
    ) -> None:
        """Send the head of the answer, which ends with its connection if it is `up_to_close`.

        So does an answer without a length to a caller of HTTP/1.0.
        """
        if self._is_last_answer:
            headers = [*headers, (b"connection", b"close")]
        if up_to_close:
            # This makes h11 leave out the chunks, as callers of HTTP/1.0 don't know them.
            self._http.their_http_version = b"1.0"
        has_length = any(name.lower() == b"content-length" for name, _value in headers)
        if self._http.their_http_version == b"1.0" and not has_length:
            self._ends_with_close = True
            set_reset_on_close(self.transport, True)
        self._send(h11.Response(status_code=status, headers=headers))

    def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        if data and not self._is_dropped:
            self._send(h11.Data(data=data))

    def end_answer(self) -> None:
        """Complete the answer and continue with the next request."""
        if self._is_dropped:
            return
        self._send(h11.EndOfMessage())
        self._handler = None
        self._answers += 1
        if self._account is not None:
            self._account.note_answer_ended()
            # The request is over, also if the connection closes and its caller reads on for long.
            self._account.set_request(0)
        self._share.release()
        if self._http.our_state is h11.MUST_CLOSE or self._is_last_answer:
            self._close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._close()
            return
        self._read_ahead_bytes = 0
        self._share.begin(self._clock.seconds())
        self._find_memory(0)
        self.transport.resumeProducing()
        self._set_timer(self._limits.idle_time_s, self._on_idle_timeout)
        if not self._dispatching:
            self._parse()

    @property
    def _is_last_answer(self) -> bool:
        """Whether the connection closes after the current answer."""
        return self._closing or self._factory.draining or not self._factory.keep

    def abort_answer(self) -> None:
        """Abort the connection, so that the answer cannot be mistaken for a complete one."""
        self._handler = None
        if self._out is not None:
            self._out.discard()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun.

        A request that is partly read counts as accepted, unless it comes whole too late (see
        `comes_too_late`). The factory's `draining` closes the connection afterwards.
        """
        if self._handler is None and self._request is None and not self._header_started:
            self._close()

    @property
    def is_closable(self) -> bool:
        """Whether the connection may be closed for another: no request is handled or answered."""
        return self._handler is None and (self._discards or not self._closing)

    @property
    def waiting_since_s(self) -> float:
        """When the request that the connection waits for last made progress."""
        return self._share.progress_s

    def abort_for_another(self) -> None:
        """Close the connection now, since there are too many.

        Its descriptor is free on return. An answer that explains it would need a further turn of
        the reactor, in which hundreds of connections can be accepted.
        """
        if self._request is not None or self._header_started:
            _log.info("unfinished request closed", extra=self._request_fields())
        self.transport.abortConnection()
        self.transport.connectionLost(Failure(error.ConnectionAborted()))

    # Parsing.

    def _parse(self) -> None:
        while self._handler is None and not self._closing and self._resumption is None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._refuse(exc.error_status_hint, str(exc))
                return
            match event:
                case h11.Request():
                    self._start_request(event)
                case h11.Data(data=data):
                    self._body += data
                    self._body_parts += 1
                    if len(self._body) > self._limits.body_bytes:
                        self._refuse(413, "the body is too long")
                        return
                    if is_too_fine(self._body_parts, len(self._body)):
                        self._refuse(400, "the chunks of the body are too small")
                        return
                    self._set_body_timer()
                    if self._pacer.note(len(data)) and self._pause():
                        return
                case h11.EndOfMessage():
                    self._dispatch()
                case h11.ConnectionClosed():
                    self._close()
                    return
                case h11.PAUSED:
                    return
                case h11.NEED_DATA:
                    self._await_data()
                    return

    def _pause(self) -> bool:
        """Pause reading and parsing if the body's parts are too small; return whether it did."""
        pause_s = self._pacer.pause_s(self._clock.seconds())
        if pause_s:
            self.transport.pauseProducing()
            self._resumption = self._clock.callLater(pause_s, self._resume)
        return bool(pause_s)

    def _resume(self) -> None:
        self._resumption = None
        if self._memory_wait_ends_s is not None and not self._retry_memory():
            return
        self._parse()
        # Also while a request is handled, since a transport that is not read shows no disconnect.
        if self._resumption is None:
            self.transport.resumeProducing()

    def _stop_pause(self) -> None:
        self._end_memory_wait()
        if self._resumption is not None:
            self._resumption.cancel()
            self._resumption = None

    def _await_data(self) -> None:
        if self._request is not None and self._body_due_s is None:
            time_left_s = parse_caller_headers(self._request.headers).time_left_s
            limit_s = float("inf") if time_left_s is None else time_left_s
            self._body_due_s = self._arrived_s + limit_s
            self._set_body_timer()
        if self._request is None:
            begun = bool(self._http.trailing_data[0])
            if begun and not self._header_started:
                self._header_started = True
                self._set_timer(self._limits.header_time_s, self._on_header_timeout)
        elif self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _start_request(self, req: h11.Request) -> None:
        self._limits = self._factory.limits()
        self._request = req
        self._arrived_s = self._clock.seconds()
        self._header_started = False
        self._body_due_s = None
        self._set_timer(self._limits.idle_time_s, self._on_body_timeout)
        names = [name for name, _ in req.headers]
        self._announced_bytes = int(dict(req.headers).get(b"content-length", b"0"))
        # Each header line adds a colon, a space and CRLF.
        head_bytes = len(req.target) + sum(len(n) + len(v) + 4 for n, v in req.headers)
        if req.method == b"CONNECT":
            self._refuse(405, "CONNECT is not served")
        elif b"content-length" in names and b"transfer-encoding" in names:
            self._refuse(400, "the length of the body is given twice")
        elif head_bytes > self._limits.header_bytes:
            self._refuse(431, "the head of the request is too long")
        elif self._announced_bytes > self._limits.body_bytes:
            self._refuse(413, "the body is too long")
        elif not self._find_memory(self._read_ahead_bytes) and not self._wait_for_memory():
            self._refuse_for_memory()

    def _dispatch(self) -> None:
        self._stop_timer()
        req, self._request = self._request, None
        body, self._body, self._body_parts = bytes(self._body), bytearray(), 0
        self._share.is_whole = True
        names = {name for name, _ in req.headers}
        has_body = bool(names & {b"content-length", b"transfer-encoding"})
        self._pause_logged = False
        self.request_id = parse_caller_headers(req.headers).request_id
        request = CallerRequest(
            bytes(req.method),
            bytes(req.target),
            [(bytes(name), bytes(value)) for name, value in req.headers],
            body,
            self._arrived_s,
            has_body,
        )
        # The request may be answered before `handle` returns; its handler is then not needed.
        answers_before = self._answers
        self._dispatching = True
        handler = self._factory.handle(request, self)
        self._dispatching = False
        if self._answers == answers_before:
            self._handler = handler

    # Memory.

    def _find_memory(self, received: int) -> bool:
        """Count the bytes of the current request; False if they find no room.

        The length that a request has announced stays counted while its body arrives.
        """
        size = received
        if self._request is not None:
            size = max(size, self._announced_bytes)
        if not self._share.hold(size * REQUEST_COPIES, received, self._clock.seconds()):
            return False
        return self._account is None or self._account.set_request(size)

    def _wait_for_memory(self) -> bool:
        """Stop reading a request that finds no room; return False if it can't wait for any.

        Callers that send large bodies at the same time are so served one after another. What came
        before the last read stays counted. With a memory budget the rest of the memory is full of
        answers, which may take long, so that nothing is waited for.
        """
        factory = self._factory
        if self._memory_wait_ends_s is not None:
            return True
        if self._request is None or self._account is not None:
            return False
        if factory.memory_waits >= MAX_MEMORY_WAITS:
            return False
        factory.memory_waits += 1
        self._memory_wait_ends_s = self._clock.seconds() + MEMORY_WAIT_S
        self._schedule_memory_check()
        return True

    def _schedule_memory_check(self) -> None:
        self.transport.pauseProducing()
        if self._resumption is None:
            # Else the body is paused because of its small parts; memory is looked for after that.
            self._resumption = self._clock.callLater(MEMORY_CHECK_S, self._resume)

    def _retry_memory(self) -> bool:
        """Return whether a request that waits finds room now; refuse it once its wait is over."""
        if self._find_memory(self._read_ahead_bytes):
            self._end_memory_wait()
            return True
        if self._clock.seconds() >= self._memory_wait_ends_s:
            self._refuse_for_memory()
        else:
            self._schedule_memory_check()
        return False

    def _end_memory_wait(self) -> None:
        if self._memory_wait_ends_s is not None:
            self._memory_wait_ends_s = None
            self._factory.memory_waits -= 1

    def refuse_unfinished(self) -> None:
        """Refuse the request that is being read, for requests of other callers."""
        self._refuse_for_memory()

    def _refuse_for_memory(self) -> None:
        """Refuse a request that has not been handled yet, since the box has no memory for it."""
        headers = [] if self._request is None else list(self._request.headers)
        self.request_id = parse_caller_headers(headers).request_id
        _log.info("request refused for lack of memory", extra=self._request_fields())
        if self._account is not None:
            self._account.budget.note(Decision.REFUSED)
            self._account.set_request(0)
        refusal = refusal_headers(self.request_id, NO_MEMORY_RETRY_S)
        self._refuse_and_discard(503, "the box has no memory for the request", refusal)

    def _request_fields(self) -> dict[str, object]:
        """Return the log fields for the requests that this connection and the box hold."""
        memory = self._factory.requests
        return {
            "request_id": self.request_id,
            "received_bytes": self._read_ahead_bytes,
            "waited_s": round(self._clock.seconds() - self._share.progress_s, 3),
            "request_bytes": memory.used,
            "limit_bytes": memory.limit,
        }

    def _refuse_and_discard(
        self, status: int, reason: str, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Refuse a request, and discard what its caller still sends for a while."""
        self._send_refusal(status, reason, headers)
        self._closing = self._discards = True
        self._stop_pause()
        self._forget_request()
        self.transport.resumeProducing()
        self._set_timer(REFUSAL_LINGER_S, self._close)

    def _forget_request(self) -> None:
        """Release the memory of a request that has been refused."""
        self._body = bytearray()
        # What was read ahead is in its buffer.
        self._http = h11.Connection(h11.SERVER)
        self._share.release()

    # Closing.

    def _refuse(self, status: int, reason: str) -> None:
        """Answer a malformed request with an error, and close."""
        _log.info("request refused", extra={"status": status, "reason": reason})
        if self._handler is not None:
            # The malformed bytes follow a request in progress: complete its answer, then close.
            self._closing = True
            return
        if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            self._refuse_and_discard(status, reason, [])
            return
        self._send_refusal(status, reason, [])
        self._forget_request()
        self._close()

    def _send_refusal(self, status: int, reason: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Send an error answer if none has begun."""
        text = reason.encode("latin-1", "replace")
        headers = [
            *headers,
            (b"content-length", b"%d" % len(text)),
            (b"connection", b"close"),
        ]
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.Data(data=text))
            self._send(h11.EndOfMessage())

    def _close(self) -> None:
        self._closing = True
        self._stop_timer()
        self._stop_pause()
        if self._out is not None:
            self._out.close(self._ends_with_close)
        elif self._ends_with_close:
            OrderlyClose(self.transport).begin()
        else:
            self.transport.loseConnection()

    def _send(self, event) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as exc:
            _log.error("cannot send answer", extra={"reason": str(exc)})
            self.abort_answer()
            return
        if data and self._out is not None:
            self._out.write(data)
        elif data:
            self.transport.write(data)

    # Timeouts.

    def _set_timer(self, limit_s: float, on_timeout: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._clock.callLater(limit_s, on_timeout)

    def _set_body_timer(self) -> None:
        """Limit the time without a part of the body, and that of the whole body by its request's.

        The request's time is looked up only if its body does not come with its head.
        """
        due_s = float("inf") if self._body_due_s is None else self._body_due_s
        left_s = max(0.0, due_s - self._clock.seconds())
        self._set_timer(min(self._limits.idle_time_s, left_s), self._on_body_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_idle_timeout(self) -> None:
        self._timer = None
        if self._handler is None:
            self._close()

    def _on_header_timeout(self) -> None:
        self._timer = None
        self._refuse(408, "the head of the request did not come in time")

    def _on_body_timeout(self) -> None:
        self._timer = None
        self._refuse(408, "the body of the request did not come in time")


class CallerFactory(protocol.Factory):
    """Creates the connections of callers.

    Parameters
    ----------
    clock : IReactorTime
        For timeouts.
    limits : callable
        Returns the current `CallerLimits`.
    handle : callable
        Called with a `CallerRequest` and its `CallerConnection`; returns the `RequestHandler`.
    keep : bool
        Whether connections are kept open for further requests.
    memory : MemoryBudget, optional
        The memory that connections share for answers; None for back pressure only.
    requests : RequestMemory, optional
        The memory that connections share for requests; without it there is no limit.
    connection_limit : float
        The most connections.

    Attributes
    ----------
    draining : bool
        If true, connections close after their current answer.
    late_from_s, ends_s : float
        Requests that come whole after `late_from_s` are refused unless they end by `ends_s`, both
        by the clock; infinite until the process stops.
    connections : set of CallerConnection
        The open connections.
    memory_waits : int
        How many requests wait for memory now.
    refused_connections : int
        Connections closed so far, as there were too many: new ones, or others for them.
    """

    noisy = False

    def __init__(
        self,
        clock: IReactorTime,
        limits: Callable[[], CallerLimits],
        handle: Callable[[CallerRequest, CallerConnection], RequestHandler],
        keep: bool = True,
        memory: MemoryBudget | None = None,
        requests: RequestMemory | None = None,
        connection_limit: float = float("inf"),
    ):
        self._clock = clock
        self.requests = requests or RequestMemory(float("inf"))
        self.limits = limits
        self.handle = handle
        self.keep = keep
        self.memory = memory
        self.draining = False
        self.pace = SharedPace()
        self.memory_waits = 0
        self.connection_limit = connection_limit
        self.refused_connections = 0
        self.late_from_s = self.ends_s = float("inf")
        self.connections: set[CallerConnection] = set()
        self._all_closed: list[defer.Deferred[None]] = []

    def buildProtocol(self, _addr) -> CallerConnection | None:
        """Create the connection of one caller; None, which closes it, if there are too many.

        At the limit a connection without a whole request is closed for the new one.
        """
        if len(self.connections) >= self.connection_limit:
            waiting = (conn for conn in self.connections if conn.is_closable)
            longest = min(waiting, key=lambda conn: conn.waiting_since_s, default=None)
            self.refused_connections += 1
            if longest is None:
                return None
            longest.abort_for_another()
        return CallerConnection(self._clock, self)

    def forget(self, conn: CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(conn)
        if not self.connections:
            waiting, self._all_closed = self._all_closed, []
            for closed in waiting:
                closed.callback(None)

    def when_all_closed(self) -> defer.Deferred[None]:
        """Return a deferred that fires when all connections are closed."""
        closed: defer.Deferred[None] = defer.Deferred(self._all_closed.remove)
        self._all_closed.append(closed)
        return closed

    def abort_unsent(self) -> None:
        """Break the connections whose answers have not been written, as the process is to end.

        The end of the process would close them in an orderly way, which callers take for the end of
        an answer without a length.
        """
        for conn in [conn for conn in self.connections if conn.is_cut_by_stop]:
            conn.drop(DropReason.STOP)

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their current answer."""
        self.draining = True
        for conn in tuple(self.connections):
            conn.close_if_idle()
