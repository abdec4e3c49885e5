"""A stand-in for a target of the users' platform: an engine, or a plain service.

It lists itself in the store, serves plain requests and event streams, takes orders about memory,
and writes a JSON line to standard output for each request that reaches it. What it does is asked
for in a request's query: ``events`` (of a stream), ``pause_ms`` (before each event or the answer),
``ends`` (1: the process ends soon after it has begun to run the request).
``POST /switches`` brings about failures. On SIGTERM it says that it leaves, in the store and in its
answers, serves on for a while, and ends.
"""

import argparse
import json
import os
import secrets
import signal
import sys
import time
from dataclasses import dataclass
from http import HTTPStatus

from klein import Klein
from twisted.internet import defer, reactor
from twisted.web.http import Request

from ..platform import StoreClient, wire
from ..utils import WebClient, start
from ._http import json_body, json_reply, run_standin, sleep
from .slots import Slots
from .target_entry import TargetEntryWriter
from .target_memory import TargetMemory

__all__ = ["EVENT_TEXT", "TargetService", "TargetSwitches", "event_of", "plain_answer_of"]

EVENT_TEXT = "id: {number}\ndata: {request_id}.{number}\n\n"

ENDS_AFTER_S = 0.05
"""How long a request runs that ends the process, in seconds."""

QUEUE = 24
"""Requests that wait for a slot; further ones are refused."""


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
    held_until_s : float
        No event and no plain answer goes out before this time, by the machine's monotonic clock in
        seconds; what runs goes on after it, and reports and orders are answered meanwhile.
    rate_per_s : float or None
        The requests a second that all answers name as what it takes from all boxes; None: none.
    leaves : bool
        All answers say that it leaves.
    rest_s : float or None
        Turn requests away, and ask for so many seconds of rest; None: serve them.
    """

    lose_answers: int = 0
    break_streams: int = 0
    fail: int = 0
    silent: bool = False
    held_until_s: float = 0.0
    rate_per_s: float | None = None
    leaves: bool = False
    rest_s: float | None = None

    def use(self, name: str) -> bool:
        """Whether the failure `name` strikes now; counts it."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


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
        How often the entry is written, and how long it serves after it has said that it leaves; in
        seconds.
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
        self._serve_on_s = serve_on_s
        self._slots = Slots(slots)
        self._memory = TargetMemory(memory_tokens)
        self._entry = TargetEntryWriter(
            store, self.name, service, address, data_hall, slots, heartbeat_s
        )

    def stop(self) -> None:
        """Write the entry no more."""
        self._entry.stop()

    # The list.

    async def keep_listed(self) -> None:
        """Write the entry until stopped."""
        self._note("started", service=self._service)
        await self._entry.run()

    async def leave(self) -> None:
        """Say that the target leaves, serve on, remove the entry and end."""
        if self._entry.is_leaving:
            return
        self.switches.leaves = True
        await self._entry.tell_leaving()
        self._note("leaving")
        await sleep(self._serve_on_s)
        await self._entry.remove()
        self._note("ended")
        reactor.stop()

    # Load and memory.

    @app.route(wire.REPORT_PATH, methods=["GET"])
    def report(self, request: Request) -> bytes:
        """Tell the load."""
        self._note("reported")
        self._say_of_itself(request)
        rows = [
            {"id": name, "tokens": row.tokens, "state": "held"}
            for name, row in self._memory.held().items()
        ]
        body = {
            "waiting": self._slots.waiting, "running": self._slots.running, "pace": 1.0,
            "kvUsed": sum(row["tokens"] for row in rows), "kvTotal": self._memory.tokens,
            "tickets": rows, "born": self._entry.born,
        }  # fmt: skip
        return json_reply(request, body)

    @app.route(wire.ORDER_PATH, methods=["POST"])
    def order(self, request: Request) -> bytes:
        """Set memory aside, or free it."""
        order = json_body(request)
        self._note("ordered")
        self._say_of_itself(request)
        if order["op"] == "release":
            self._memory.release(order["id"])
            return json_reply(request, {})
        free = self._memory.free_beside(order["id"])
        if order["tokens"] > free:
            return json_reply(request, {"free": free}, HTTPStatus.CONFLICT)
        self._memory.set_aside(order["id"], order["tokens"], order["holdMs"] / 1000)
        return json_reply(request, {"free": free - order["tokens"]})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change failure switches."""
        for name, value in json_body(request).items():
            setattr(self.switches, name, value)
        self._note("switched", rate_per_s=self.switches.rate_per_s)
        return json_reply(request, vars(self.switches))

    # Requests.

    @app.route("/", methods=["GET", "POST"], branch=True)
    async def serve(self, request: Request) -> bytes | None:
        """Serve any other request."""
        gone = request.notifyFinish()
        gone.addErrback(lambda _failure: None)
        raw_id = request.getHeader(wire.REQUEST_ID) or b""
        request.setHeader(wire.REQUEST_ID, raw_id)
        self._say_of_itself(request)
        request_id = raw_id.decode("latin-1")
        expected = request.getHeader(wire.EXPECTED_TARGET)
        if expected and expected.decode() != self.name:
            return self._refuse(request, HTTPStatus.MISDIRECTED_REQUEST)
        self._note("arrived", request_id=request_id)
        if self.switches.leaves:
            self._note("told leaving", request_id=request_id)
        if self.switches.rest_s is not None:
            self._note("wants rest", request_id=request_id, rest_s=self.switches.rest_s)
            request.setHeader(wire.RETRY_AFTER, b"%g" % self.switches.rest_s)
            return self._refuse(request, HTTPStatus.SERVICE_UNAVAILABLE)
        if self._slots.waiting >= QUEUE:
            return self._refuse(request, HTTPStatus.SERVICE_UNAVAILABLE)
        await self._slots.take()
        try:
            return await self._run(request, request_id, gone)
        finally:
            self._slots.give()

    async def _run(
        self, request: Request, request_id: str, gone: defer.Deferred[None]
    ) -> bytes | None:
        if gone.called:
            return None
        after = int(request.getHeader(wire.LAST_EVENT_ID) or b"0")
        organisation = (request.getHeader(wire.ORGANISATION) or b"").decode()
        self._note("ran", request_id=request_id, organisation=organisation, after=after)
        if int(_query(request, "ends")):
            await sleep(ENDS_AFTER_S)
            self._note("ended by", request_id=request_id)
            os._exit(1)
        if self.switches.silent:
            await defer.Deferred()
        request.setHeader(wire.SIGNATURE, self.name.encode())
        pause_s = int(_query(request, "pause_ms")) / 1000
        events = int(_query(request, "events"))
        if events:
            await self._stream(request, request_id, range(after + 1, events + 1), pause_s)
            return None
        await self._pause(pause_s)
        if self.switches.use("lose_answers"):
            request.transport.abortConnection()
            return None
        if self.switches.use("fail"):
            request.setResponseCode(HTTPStatus.INTERNAL_SERVER_ERROR)
        return plain_answer_of(request_id)

    async def _stream(
        self,
        request: Request,
        request_id: str,
        numbers: range,
        pause_s: float,
    ) -> None:
        request.setHeader(b"content-type", b"text/event-stream")
        breaks = self.switches.use("break_streams")
        for number in numbers:
            try:
                await self._pause(pause_s)
            except defer.CancelledError:
                # The other side has closed the connection; Klein cancels what runs then.
                self._note("broken off", request_id=request_id, before=number)
                raise
            event = event_of(request_id, number)
            if breaks and number > numbers.start:
                self._note("broke", request_id=request_id, before=number)
                request.write(event[: len(event) // 2])
                request.transport.abortConnection()
                return
            request.write(event)

    async def _pause(self, pause_s: float) -> None:
        """Pause as the request asks for, and for as long as all answers are held."""
        await sleep(pause_s)
        while (left_s := self.switches.held_until_s - time.monotonic()) > 0:
            await sleep(left_s)

    def _say_of_itself(self, request: Request) -> None:
        if self.switches.rate_per_s is not None:
            request.setHeader(wire.RATE_LIMIT, b"%g" % self.switches.rate_per_s)
        if self.switches.leaves:
            request.setHeader(wire.LEAVING, b"1")

    def _refuse(self, request: Request, status: HTTPStatus) -> bytes:
        request.setResponseCode(status)
        request.setHeader(wire.NOT_RUN, b"1")
        return b"not run"

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
