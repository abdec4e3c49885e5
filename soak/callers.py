"""Callers that send requests over persistent connections and record the responses."""

import contextlib
import dataclasses
import random
import socket
import time
import zlib
from collections.abc import Callable

import h11
from twisted.internet import defer, protocol, reactor
from twisted.internet.error import ConnectionDone

from gladedrum.platform import wire
from gladedrum.standins.request_headers import caller_headers
from gladedrum.utils import sleep

from .history import Ending, History, Kind, SentRequest
from .proxy import LOOPBACK

__all__ = ["Caller", "DeadlyCaller", "DeadlyPartCaller", "PiecesCaller", "SlowCaller"]
__all__ += ["StreamCaller", "UnmarkedCaller"]

CONNECT_TIMEOUT_S = 1.0
"""Timeout of opening a connection, in seconds."""

PAUSE_S = 0.15
"""Mean pause between two requests of a caller, in seconds."""

ANSWER_SLACK_S = 3.0
"""Time after its limit for which a caller still waits for a response, in seconds."""

PLAIN_PAUSE_MS, EVENT_PAUSE_MS = (5, 120), (10, 60)
"""Shortest and longest wait of a target before a plain response and before each event, in
milliseconds."""

EVENTS, LONG_EVENTS = (2, 25), (15, 30)
"""Shortest and longest streams of a `Caller` and of a `StreamCaller`, in events."""

LONG_LIMIT_S = 5.0
"""Time limit of a `StreamCaller`, in seconds: longer than a pause of targets."""

NEW_CONN_SHARE = 0.1
"""Probability that a caller replaces a connection that it could reuse."""

LIMITS_S = (1.0, 3.0, 5.0)
"""Time limits of callers, in seconds: below and above the limit of the routes."""

BODY_BYTES = (10, 3000)
"""Sizes of request bodies, in bytes: small enough for one read with the head, and larger."""

DEADLY_PAUSE_S, DEADLY_PART_PAUSE_S = 0.5, 0.25
"""Mean pause between two requests that crash targets, and between two with a part that does, in
seconds."""

COMMON_PART, DEADLY_PART, SHARED_PARTS = "c0", "d1", 4
"""Part of all prompts, the one that crashes targets, and the number of parts of which each other
prompt has one."""

KINDS, KIND_WEIGHTS = (Kind.ONCE, Kind.REPEATABLE, Kind.STREAM), (3, 2, 4)
"""Kinds of requests and their relative frequencies."""

SLOW_EVENTS, SLOW_PAD_BYTES = (100, 150), 100_000
"""Shortest and longest streams of a `SlowCaller`, in events, and the padding of each: 10 to 15 MB,
more than kernels and the budget of a box hold for a few callers."""

SLOW_LIMIT_S, SLOW_FOR_S, NEVER_READS_SHARE = 3.0, (0.5, 2.5), 0.25
"""Time limit of a `SlowCaller`, the shortest and longest time after which it begins to read, in
seconds, and the share of its requests whose answers it never reads."""

SLOW_ANSWER_SLACK_S = 15.0
"""As `ANSWER_SLACK_S`, for such a caller that reads: what the box has written in time has to pass
through the small buffer below, at a megabyte a second on a busy machine. A box drops what it has
not written by the limit, so only a connection that is stuck stays open for so long."""

SLOW_BUFFER_BYTES = 16_384
"""Receive buffer of a `SlowCaller`, in bytes."""

PIECES, PIECE_PAUSE_MS = (2, 10), (20, 200)
"""Fewest and most pieces of an answer without a length, and the shortest and longest pause before
each, in milliseconds."""

ALL_RUNS = 9
"""More runs than any route allows."""

UNMARKED_RUNS = (0, 1, ALL_RUNS)
"""How many runs of a request, from the first, have neither a length nor chunks: none, the first one
or all."""

PROMPT_TOKENS, PROMPT_WEIGHTS = (500, 5_000, 40_000, 300_000), (5, 5, 3, 1)
"""Sizes of prompts in tokens, and their relative frequencies. The longest need the memory of two
engines; more of them would fill the few engines, and most requests would be refused."""


class _Connection(protocol.Protocol):
    """One connection of a caller; carries one request at a time."""

    def __init__(self):
        self._http = h11.Connection(h11.CLIENT)
        self._record: SentRequest | None = None
        self._done: defer.Deferred[None] | None = None
        self.open = True

    def send_request(
        self, record: SentRequest, request: h11.Request, body: bytes
    ) -> defer.Deferred[None]:
        """Send a request; the deferred fires when it has ended, successfully or not."""
        self._record = record
        self._done = defer.Deferred()
        self.transport.write(
            self._http.send(request)
            + (self._http.send(h11.Data(data=body)) if body else b"")
            + self._http.send(h11.EndOfMessage())
        )
        record.sent_s = time.monotonic()
        return self._done

    def dataReceived(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._read()
        except h11.RemoteProtocolError:
            # Not a valid response; the promises are checked against the part read before.
            self._end(Ending.BROKEN)
            self.transport.abortConnection()

    def connectionLost(self, reason=None) -> None:
        self.open = False
        if self._record is None:
            return
        # An answer without a length or chunks is whole where its connection closes in order.
        if reason is None or reason.check(ConnectionDone):
            with contextlib.suppress(h11.RemoteProtocolError):
                self._http.receive_data(b"")
                self._read()
        self._end(Ending.BROKEN)

    def abandon(self) -> None:
        """Abandon the current request and the connection."""
        self.open = False
        self._end(Ending.OPEN)
        self.transport.abortConnection()

    def _read(self) -> None:
        while self._record is not None:
            event = self._http.next_event()
            match event:
                case h11.Response(status_code=status, headers=headers):
                    self._record.status = status
                    self._record.answer_id = _request_id(headers)
                case h11.Data(data=data):
                    self._record.body += bytes(data)
                case h11.EndOfMessage():
                    self._end(Ending.WHOLE)
                    self._next_cycle()
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return

    def _next_cycle(self) -> None:
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self.open = False
            self.transport.loseConnection()

    def _end(self, ending: Ending) -> None:
        record, self._record = self._record, None
        if record is None:
            return
        record.ending = ending
        record.ended_s = time.monotonic()
        self._done.callback(None)


def _request_id(headers) -> str:
    return next((value.decode() for name, value in headers if name.endswith(b"request-id")), "")


class _SlowConnection(_Connection):
    """A connection that reads nothing until some time after its request, or nothing at all."""

    def connectionMade(self) -> None:
        # A small buffer in the kernel, so that the box has to hold the response.
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
        )

    def send_request(
        self, record: SentRequest, request: h11.Request, body: bytes
    ) -> defer.Deferred[None]:
        ended = super().send_request(record, request, body)
        self.transport.pauseProducing()
        if record.reads:
            slow_for_s = random.Random(record.request_id).uniform(*SLOW_FOR_S)
            timer = reactor.callLater(slow_for_s, self._read_on)
            ended.addCallback(lambda _none: timer.active() and timer.cancel())
        return ended

    def _read_on(self) -> None:
        if self.transport.connected:
            self.transport.resumeProducing()


class Caller:
    """A caller that sends requests to random boxes, one at a time, until `stopping` is set.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    seed : int
        Seed of its requests.
    history : History
        Receives the requests.
    port_of_box : callable
        Returns the port for callers of the box with an index.
    start_of_box : callable
        Returns how often the box with an index has been started.
    boxes : int
        Number of boxes.
    keys : callable
        Returns the API keys that the operator has issued, including revoked ones.
    """

    _kind_weights, _prompt_weights = KIND_WEIGHTS, PROMPT_WEIGHTS
    _events, _limits_s, _pause_s = EVENTS, LIMITS_S, PAUSE_S
    _make_conn = _Connection

    def __init__(
        self,
        name: str,
        seed: int,
        history: History,
        port_of_box: Callable[[int], int],
        start_of_box: Callable[[int], int],
        boxes: int,
        keys: Callable[[], list[str]],
    ):
        self._name = name
        self._rng = random.Random(seed)
        self._history = history
        self._port_of_box = port_of_box
        self._start_of_box = start_of_box
        self._boxes = boxes
        self._keys = keys
        self._count = 0
        self._conn: _Connection | None = None
        self._box = 0
        self.stopping = False

    async def run(self) -> None:
        """Send requests until `stopping` is set."""
        while not self.stopping:
            await sleep(reactor, self._rng.expovariate(1 / self._pause_s))
            if self._conn is None or not self._conn.open or self._rng.random() < NEW_CONN_SHARE:
                self._hang_up()
                self._conn = await self._connect()
            if self._conn is not None and self._conn.open:
                await self._send_next(self._conn)
        self._hang_up()

    def _hang_up(self) -> None:
        if self._conn is not None and self._conn.open:
            self._conn.transport.loseConnection()
        self._conn = None

    async def _connect(self) -> _Connection | None:
        self._box = self._rng.randrange(self._boxes)
        creator = protocol.ClientCreator(reactor, self._make_conn)
        try:
            return await creator.connectTCP(
                LOOPBACK, self._port_of_box(self._box), CONNECT_TIMEOUT_S
            )
        except Exception:  # whatever the reason, no request was sent
            return None

    async def _send_next(self, conn: _Connection) -> None:
        record = self._next_record()
        request, body = self._make_request(record)
        self._history.requests.append(record)
        done = conn.send_request(record, request, body)
        timer = reactor.callLater(record.limit_s + self._slack_s(record), conn.abandon)
        await done
        if timer.active():
            timer.cancel()

    def _slack_s(self, _record: SentRequest) -> float:
        return ANSWER_SLACK_S

    def _next_record(self) -> SentRequest:
        """Return the record of the next request, with random properties."""
        self._count += 1
        kind = self._rng.choices(KINDS, self._kind_weights)[0]
        events = self._rng.randint(*self._events) if kind is Kind.STREAM else 0
        return SentRequest(
            request_id=f"{self._name}-{self._count}",
            box=self._box,
            start=self._start_of_box(self._box),
            kind=kind,
            key=self._rng.choice(self._keys()),
            events=events,
            limit_s=self._rng.choice(self._limits_s),
            sent_s=0.0,
        )

    def _make_request(self, record: SentRequest) -> tuple[h11.Request, bytes]:
        """Return the head and the body of a request."""
        events, repeatable = record.events, record.kind is Kind.REPEATABLE
        pause_ms = self._rng.randint(*(EVENT_PAUSE_MS if events else PLAIN_PAUSE_MS))
        path = f"/{record.kind.value}/x?events={events}&pause_ms={pause_ms}"
        body = b"" if repeatable else b"b" * self._rng.choice(BODY_BYTES)
        tokens = self._rng.choices(PROMPT_TOKENS, self._prompt_weights)[0] if events else 0
        headers = caller_headers(record.request_id, record.limit_s, record.key, tokens, len(body))
        if events:
            headers.append(prompt_parts_header(record.request_id))
        method = b"GET" if repeatable else b"POST"
        return h11.Request(method=method, target=path, headers=headers), body


class StreamCaller(Caller):
    """A caller that requests only long streams for short prompts.

    Its time limit is longer than a pause of the targets.
    """

    _kind_weights, _prompt_weights = (0, 0, 1), (1, 0, 0, 0)
    _events, _limits_s = LONG_EVENTS, (LONG_LIMIT_S,)


class PiecesCaller(Caller):
    """A caller of plain answers without a length, which targets write in pieces."""

    _kind_weights, _limits_s = (3, 2, 0), (LONG_LIMIT_S,)

    def _next_record(self) -> SentRequest:
        return dataclasses.replace(super()._next_record(), unmarked_runs=ALL_RUNS)

    def _make_request(self, record: SentRequest) -> tuple[h11.Request, bytes]:
        request, body = super()._make_request(record)
        pieces, pause_ms = self._rng.randint(*PIECES), self._rng.randint(*PIECE_PAUSE_MS)
        path = f"/{record.kind.value}/x?events=0&pieces={pieces}&pause_ms={pause_ms}"
        return h11.Request(method=request.method, target=path, headers=request.headers), body


class UnmarkedCaller(Caller):
    """A caller of answers of which some have neither a length nor chunks, in a run or in all."""

    _kind_weights, _limits_s = (0, 2, 3), (LONG_LIMIT_S,)

    def _next_record(self) -> SentRequest:
        record = super()._next_record()
        return dataclasses.replace(record, unmarked_runs=self._rng.choice(UNMARKED_RUNS))

    def _make_request(self, record: SentRequest) -> tuple[h11.Request, bytes]:
        request, body = super()._make_request(record)
        unmarked = f"&unmarked={record.unmarked_runs}"
        pieces = "" if record.events else f"&pieces={self._rng.randint(*PIECES)}"
        target = request.target + (pieces + unmarked).encode()
        return h11.Request(method=request.method, target=target, headers=request.headers), body


class SlowCaller(Caller):
    """A caller that requests large streams and reads them late, or never.

    It needs a direct connection to the box, since a link takes all bytes in place of the caller.
    """

    _kind_weights, _prompt_weights = (0, 0, 1), (1, 0, 0, 0)
    _events, _limits_s, _make_conn = SLOW_EVENTS, (SLOW_LIMIT_S,), _SlowConnection

    def _next_record(self) -> SentRequest:
        record = super()._next_record()
        reads = self._rng.random() >= NEVER_READS_SHARE
        return dataclasses.replace(record, pad=SLOW_PAD_BYTES, reads=reads)

    def _slack_s(self, record: SentRequest) -> float:
        return SLOW_ANSWER_SLACK_S if record.reads else ANSWER_SLACK_S

    def _make_request(self, record: SentRequest) -> tuple[h11.Request, bytes]:
        request, body = super()._make_request(record)
        path = f"/{record.kind.value}/x?events={record.events}&pause_ms=1&pad={record.pad}"
        return h11.Request(method=request.method, target=path, headers=request.headers), body


class DeadlyCaller(Caller):
    """A caller whose requests are all alike and crash each target that runs them."""

    _pause_s, _kind = DEADLY_PAUSE_S, Kind.DEADLY

    def _next_record(self) -> SentRequest:
        record = super()._next_record()
        return dataclasses.replace(record, kind=self._kind, events=1)

    def _make_request(self, record: SentRequest) -> tuple[h11.Request, bytes]:
        body = self._body(record)
        headers = caller_headers(record.request_id, record.limit_s, "", PROMPT_TOKENS[0], len(body))
        headers = [row for row in headers if row[0] != wire.AUTHORIZATION]
        headers += self._prompt_headers(record)
        path = f"/{self._kind.value}/x?events=1&ends=1"
        return h11.Request(method=b"POST", target=path, headers=headers), body

    def _body(self, _record: SentRequest) -> bytes:
        return b"deadly"

    def _prompt_headers(self, _record: SentRequest) -> list[tuple[bytes, bytes]]:
        return []


class DeadlyPartCaller(DeadlyCaller):
    """A caller whose requests differ, and crash each target that runs them by a common part."""

    _pause_s, _kind = DEADLY_PART_PAUSE_S, Kind.DEADLY_PART

    def _body(self, record: SentRequest) -> bytes:
        return record.request_id.encode()

    def _prompt_headers(self, record: SentRequest) -> list[tuple[bytes, bytes]]:
        return [prompt_parts_header(record.request_id, DEADLY_PART)]


def prompt_parts_header(request_id: str, part: str = "") -> tuple[bytes, bytes]:
    """Return the header that names the parts of a prompt: a common one, a shared one, its own.

    `part` is the shared one, by default one of `SHARED_PARTS` that depends on the request.
    """
    shared = part or f"a{zlib.crc32(request_id.encode()) % SHARED_PARTS}"
    own = request_id.encode().hex()
    return wire.PROMPT_PARTS, f"{COMMON_PART}:40,{shared}:100,{own}:60".encode()
