"""A stand-in for a target of the users' platform: an engine, or a plain service.

It lists itself in the store, serves plain requests and event streams, takes orders about memory,
and writes a JSON line to standard output for each request that reaches it. What it does is asked
for in a request's query: ``events`` (of a stream), ``pause_ms`` (before each event or the answer).
``POST /switches`` brings about failures. On SIGTERM it says that it leaves, serves on for a while,
and ends.
"""

import argparse
import json
import secrets
import signal
import sys
import time
from dataclasses import dataclass, field

from klein import Klein
from twisted.internet import defer, reactor
from twisted.web.http import Request

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import StoreClient, wire
from ..utils import WebClient, start
from ._http import json_body, json_reply, run_standin, sleep

__all__ = ["EVENT_TEXT", "TargetService", "TargetSwitches", "event_of", "plain_answer_of"]

EVENT_TEXT = "id: {number}\ndata: {request_id}.{number}\n\n"

LEASE_HEARTBEATS = 3
"""An entry outlives so many heartbeats of silence."""

QUEUE = 24
"""Requests that wait for a slot; further ones are refused."""

_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of the stream that answers a request."""
    return EVENT_TEXT.format(number=number, request_id=request_id).encode()


def plain_answer_of(request_id: str) -> bytes:
    """Return the body that answers a plain request."""
    return f"answer to {request_id}".encode()


@dataclass
class TargetSwitches:
    """Failures of the target.

    Parameters
    ----------
    lose_answers : int
        How many of the next requests run and break off without an answer.
    break_streams : int
        How many of the next streams break off within an event.
    fail : int
        How many of the next requests run and fail.
    silent : bool
        Take requests and answer none.
    """

    lose_answers: int = 0
    break_streams: int = 0
    fail: int = 0
    silent: bool = False

    def use(self, name: str) -> bool:
        """Whether the failure `name` strikes now; counts it."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


@dataclass
class _Reservation:
    tokens: int
    ends_s: float


@dataclass
class _Work:
    """What is at work and what waits for a slot."""

    running: int = 0
    waiting: list[defer.Deferred[None]] = field(default_factory=list)


class TargetService:
    """One start of a target.

    Parameters
    ----------
    service, data_hall, address : str
        What its entry in the list says.
    slots, memory_tokens : int
        Requests at once; memory for reservations.
    store : StoreClient
        Where the list is.
    heartbeat_s, serve_on_s : float
        How often the entry is written; how long it serves after it has said that it leaves.
    """

    app = Klein()

    def __init__(
        self,
        service: str,
        data_hall: str,
        address: str,
        slots: int,
        memory_tokens: int,
        store: StoreClient,
        heartbeat_s: float,
        serve_on_s: float,
    ):
        self.name = "i-" + secrets.token_hex(5)
        self.switches = TargetSwitches()
        self._service = service
        self._data_hall = data_hall
        self._address = address
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._store = store
        self._heartbeat_s = heartbeat_s
        self._serve_on_s = serve_on_s
        self._state = "ready"
        self._beats = 0
        self._lease = 0
        self._work = _Work()
        self._reservations: dict[str, _Reservation] = {}
        self._stopped = False

    def stop(self) -> None:
        """Write the entry no more."""
        self._stopped = True

    # The list.

    async def keep_listed(self) -> None:
        """Write the entry until stopped."""
        self._note("started", service=self._service)
        while not self._stopped:
            await self._write_entry()
            await sleep(self._heartbeat_s)

    async def leave(self) -> None:
        """Say that the target leaves, serve on, remove the entry and end."""
        if self._state == "draining":
            return
        self._state = "draining"
        while not await self._write_entry():
            await sleep(0.1)
        self._note("leaving")
        await sleep(self._serve_on_s)
        self._stopped = True
        while self._lease:
            try:
                await self._store.end_lease(self._lease)
                break
            except _STORE_ERRORS:
                await sleep(0.1)
        self._note("ended")
        reactor.stop()

    async def _write_entry(self) -> bool:
        self._beats += 1
        entry = {
            "service": self._service, "address": self._address, "zone": self._data_hall,
            "version": 1, "slots": self._slots, "state": self._state, "seq": self._beats,
        }  # fmt: skip
        raw = json.dumps(entry).encode()
        try:
            if not self._lease:
                self._lease = await self._store.grant_lease(LEASE_HEARTBEATS * self._heartbeat_s)
            await self._store.keep_lease(self._lease)
            await self._store.transact({}, {wire.TARGETS_PREFIX + self.name: raw}, (), self._lease)
        except KVConflictError:
            self._lease = 0
            return False
        except (KVUnavailableError, KVUnknownError):
            return False
        return True

    # Requests.

    @app.route(wire.REPORT_PATH, methods=["GET"])
    def report(self, request: Request) -> bytes:
        """Tell the load."""
        rows = [
            {"id": name, "tokens": row.tokens, "state": "held"}
            for name, row in self._held().items()
        ]
        body = {
            "waiting": len(self._work.waiting), "running": self._work.running, "pace": 1.0,
            "kvUsed": sum(row["tokens"] for row in rows), "kvTotal": self._memory_tokens,
            "tickets": rows,
        }  # fmt: skip
        return json_reply(request, body)

    @app.route(wire.ORDER_PATH, methods=["POST"])
    def order(self, request: Request) -> bytes:
        """Set memory aside, or free it."""
        order = json_body(request)
        held = self._held()
        if order["op"] == "release":
            self._reservations.pop(order["id"], None)
            return json_reply(request, {})
        others = sum(row.tokens for name, row in held.items() if name != order["id"])
        if others + order["tokens"] > self._memory_tokens:
            return json_reply(request, {"free": self._memory_tokens - others}, 409)
        ends_s = time.monotonic() + order["holdMs"] / 1000
        self._reservations[order["id"]] = _Reservation(order["tokens"], ends_s)
        return json_reply(request, {"free": self._memory_tokens - others - order["tokens"]})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change failure switches."""
        for name, value in json_body(request).items():
            setattr(self.switches, name, value)
        return json_reply(request, vars(self.switches))

    @app.route("/", methods=["GET", "POST"], branch=True)
    async def serve(self, request: Request) -> bytes | None:
        """Serve any other request."""
        gone = request.notifyFinish()
        gone.addErrback(lambda _failure: None)
        raw_id = request.getHeader(wire.REQUEST_ID) or b""
        request.setHeader(wire.REQUEST_ID, raw_id)
        request_id = raw_id.decode("latin-1")
        expected = request.getHeader(wire.EXPECTED_TARGET)
        if expected and expected.decode() != self.name:
            return self._refuse(request, 421)
        self._note("arrived", request_id=request_id)
        if len(self._work.waiting) >= QUEUE:
            return self._refuse(request, 503)
        await self._take_slot()
        try:
            return await self._run(request, request_id, gone)
        finally:
            self._give_slot()

    async def _run(
        self, request: Request, request_id: str, gone: defer.Deferred[None]
    ) -> bytes | None:
        if gone.called:
            return None
        after = int(request.getHeader(wire.LAST_EVENT_ID) or b"0")
        organisation = (request.getHeader(wire.ORGANISATION) or b"").decode()
        self._note("ran", request_id=request_id, organisation=organisation, after=after)
        if self.switches.silent:
            await defer.Deferred()
        request.setHeader(wire.SIGNATURE, self.name.encode())
        pause_s = int(_query(request, "pause_ms")) / 1000
        events = int(_query(request, "events"))
        if events:
            await self._stream(request, request_id, range(after + 1, events + 1), pause_s, gone)
            return None
        await sleep(pause_s)
        if self.switches.use("lose_answers"):
            request.transport.abortConnection()
            return None
        if self.switches.use("fail"):
            request.setResponseCode(500)
        return plain_answer_of(request_id)

    async def _stream(
        self,
        request: Request,
        request_id: str,
        numbers: range,
        pause_s: float,
        gone: defer.Deferred[None],
    ) -> None:
        request.setHeader(b"content-type", b"text/event-stream")
        breaks = self.switches.use("break_streams")
        for number in numbers:
            await sleep(pause_s)
            if gone.called:
                self._note("broken off", request_id=request_id, before=number)
                return
            event = event_of(request_id, number)
            if breaks and number > numbers.start:
                request.write(event[: len(event) // 2])
                request.transport.abortConnection()
                return
            request.write(event)

    def _refuse(self, request: Request, status: int) -> bytes:
        request.setResponseCode(status)
        request.setHeader(wire.NOT_RUN, b"1")
        return b"not run"

    async def _take_slot(self) -> None:
        if self._work.running < self._slots:
            self._work.running += 1
            return
        free: defer.Deferred[None] = defer.Deferred()
        self._work.waiting.append(free)
        await free

    def _give_slot(self) -> None:
        if self._work.waiting:
            self._work.waiting.pop(0).callback(None)
        else:
            self._work.running -= 1

    def _held(self) -> dict[str, _Reservation]:
        now_s = time.monotonic()
        rows = {name: row for name, row in self._reservations.items() if row.ends_s > now_s}
        self._reservations = rows
        return rows

    def _note(self, what: str, **fields: object) -> None:
        row = {"at_s": time.monotonic(), "target": self.name, "what": what, **fields}
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()


def _query(request: Request, name: str) -> str:
    return request.args.get(name.encode(), [b"0"])[0].decode()


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--service", required=True)
    parser.add_argument("--hall", default="hall-a")
    parser.add_argument("--address", required=True, help="IP:PORT under which it is listed")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--memory-tokens", type=int, default=232_000)
    parser.add_argument("--store", required=True, help="IP:PORT of the store")
    parser.add_argument("--heartbeat-s", type=float, default=1.2)
    parser.add_argument("--serve-on-s", type=float, default=3.0)


def _make(args: argparse.Namespace) -> TargetService:
    service = TargetService(
        args.service,
        args.hall,
        args.address,
        args.slots,
        args.memory_tokens,
        StoreClient(args.store, WebClient(reactor)),
        args.heartbeat_s,
        args.serve_on_s,
    )
    reactor.callWhenRunning(lambda: start(service.keep_listed()))

    def on_term(_number: int, _frame: object) -> None:
        reactor.callFromThread(lambda: start(service.leave()))

    # After the reactor has put its own handler.
    reactor.callLater(0, signal.signal, signal.SIGTERM, on_term)
    return service


if __name__ == "__main__":
    run_standin("A stand-in for a target of the users' platform.", _add_arguments, _make)
