"""Stand-in for a server of a plain service (runner), as the users' protocol page describes it.

It works on `slots` requests at once and queues a few more; others are rejected with 503 and
`X-Gladedrum-Not-Executed`. Its entry in the platform's store is written at every heartbeat.
"""

import asyncio
import contextlib
import json
import random
import secrets
import time
from collections.abc import Callable

from .http import Head, encode_answer, read_request
from .store import PlatformStore

__all__ = ["PIECES", "PIECE_BYTES", "PlainServer", "long_body"]

HEARTBEAT_S = 1.2

PIECES, PIECE_BYTES = 4, 300_000
"""The parts of a long answer, which come in chunks, and their length."""


def long_body(server: str, request_id: str) -> bytes:
    """Return the whole body of a server's long answer to a request."""
    text = f"{server} {request_id} ".encode()
    return (text * (PIECES * PIECE_BYTES // len(text) + 1))[: PIECES * PIECE_BYTES]


class PlainServer:
    """One server.

    A request whose path ends in `long` is answered with `long_body`: the first part at once, and
    each further one after `pause_s`, as it is made.

    Parameters
    ----------
    store : PlatformStore
        Holds its entry.
    service, zone : str
        Service and zone in the entry.
    work_s : float
        Mean time that a short request takes.
    note : callable
        Called with a word and the request's id for what happens.
    rng : random.Random
        Draws the times.

    Attributes
    ----------
    failing_share : float
        Largest share of the short requests that run and then fail: the answer is a 503 that doesn't
        say "not executed", with a text of `failure_bytes`.
    failure_bytes : int
        See `failing_share`.
    is_chunked : bool
        Whether a long answer comes in chunks; else with a length.
    """

    def __init__(
        self,
        store: PlatformStore,
        service: str,
        zone: str,
        work_s: float,
        note: Callable[..., None],
        rng: random.Random,
        slots: int = 6,
        queue: int = 24,
        pause_s: float = 1.0,
    ):
        self.name = "i-" + secrets.token_hex(4)
        self.zone = zone
        self.address = ""
        self.failing_share, self.failure_bytes = 0.0, 300_000
        self.is_chunked = True
        self._shared_runs = self._failed = 0
        self._store, self._service = store, service
        self._work_s, self._pause_s, self._note, self._rng = work_s, pause_s, note, rng
        self._slots, self._queue = slots, queue
        self._running = self._seq = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._listening: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port and write the entry."""
        self._listening = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._listening.sockets[0].getsockname()[1]}"
        self._beating = asyncio.ensure_future(self._beat())

    def crash(self) -> None:
        """End without a word; the entry goes after three heartbeats of silence."""
        self._beating.cancel()
        self._listening.close()
        for writer in list(self._writers):
            writer.transport.abort()
        key, loop = f"servers/{self.name}", asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._store.write, key, None)
        self._note("crashed", "", server=self.name)

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self._service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self._slots, "state": "ready", "coldLeftMs": 0,
                "seq": self._seq,
            }  # fmt: skip
            self._store.write(f"servers/{self.name}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(EOFError, ConnectionError, asyncio.IncompleteReadError):
            while True:
                head, _body = await read_request(reader)
                if not await self._answer(head, reader, writer):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return False if its connection has ended."""
        if head.start[1] == "/health":
            writer.write(encode_answer(200, {"X-Gladedrum-Instance-Id": self.name}))
            return True
        request_id = head.headers.get("x-gladedrum-request-id", "")
        named = {"X-Gladedrum-Request-Id": request_id}
        refused = {**named, "X-Gladedrum-Not-Executed": "1"}
        if not request_id:
            writer.write(encode_answer(400, refused))
            return True
        if head.headers.get("x-gladedrum-target-instance", self.name) != self.name:
            writer.write(encode_answer(421, {**refused, "X-Gladedrum-Instance-Id": self.name}))
            return True
        due_s = time.monotonic() + int(head.headers["x-gladedrum-deadline-ms"]) / 1000
        if not await self._take_slot(due_s):
            self._note("rejected", request_id, server=self.name)
            writer.write(encode_answer(503, refused))
            return True
        try:
            if reader.at_eof():
                return False
            self._note("run", request_id, server=self.name)
            named["X-Gladedrum-Response-Seal"] = f"{self.name}.{secrets.token_hex(8)}"
            if head.start[1].endswith("long"):
                await self._write_long(named, request_id, writer)
            else:
                await asyncio.sleep(self._work_s * self._rng.uniform(0.5, 1.5))
                if self.failing_share:
                    self._shared_runs += 1
                if self._failed + 1 <= self.failing_share * self._shared_runs:
                    self._failed += 1
                    self._note("failed", request_id, server=self.name)
                    text = b"the request ran and failed\n"
                    text *= self.failure_bytes // len(text) + 1
                    writer.write(encode_answer(503, named, text))
                else:
                    writer.write(encode_answer(200, named, f"done {request_id}".encode()))
        finally:
            self._free()
        return True

    async def _write_long(
        self, headers: dict[str, str], request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        body = long_body(self.name, request_id)
        rows = [f"{name}: {value}\r\n" for name, value in headers.items()]
        framing = (
            "Transfer-Encoding: chunked" if self.is_chunked else f"Content-Length: {len(body)}"
        )
        writer.write("".join(["HTTP/1.1 200 OK\r\n", *rows, framing, "\r\n\r\n"]).encode())
        for first in range(0, len(body), PIECE_BYTES):
            if first:
                await asyncio.sleep(self._pause_s)
            piece = body[first : first + PIECE_BYTES]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if self.is_chunked else piece)
            await writer.drain()
            self._note("part sent", request_id, server=self.name, bytes=first + PIECE_BYTES)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")

    async def _take_slot(self, due_s: float) -> bool:
        """Wait for a slot; return False if the server is full or the time is up."""
        if self._running < self._slots:
            self._running += 1
            return True
        if len(self._waiting) >= self._queue:
            return False
        waiting = asyncio.get_running_loop().create_future()
        self._waiting.append(waiting)
        try:
            await asyncio.wait_for(waiting, max(0.0, due_s - time.monotonic()))
        except TimeoutError:
            return False
        return True

    def _free(self) -> None:
        """Give the slot to the next request in the queue."""
        while self._waiting:
            waiting = self._waiting.pop(0)
            if not waiting.done():
                waiting.set_result(None)
                return
        self._running -= 1
