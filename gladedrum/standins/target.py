"""Stand-in for a target of the users' platform: an engine, or a plain service.

It maintains its entry in the store's list of targets, serves requests with a plain answer or an
event stream, and logs what happens as JSON lines on standard output. Boxes send it orders to
reserve memory or to release a reservation.

The query of a request selects the answer: ``events`` (number of events in a stream; 0 for a plain
answer), ``pad`` (bytes of padding in each event or piece), ``pause_ms`` (delay before each event or
the answer), ``pieces`` (number of pieces of a plain answer without a length, 0 for one with a
length; ``pause_ms`` is then the delay before each piece), ``ends`` (1: the process exits soon
after the request has started to run) and ``unmarked`` (number of the request's runs, from the
first, that have neither a length nor chunks; none of a stream's unless given, all of an answer's in
pieces).
Runs end early by ``early`` (an `EarlyKind`), ``after`` (events or pieces that such a run still
sends; the half of a body with a length), ``second_after`` (the same for later runs),
``port_ms`` (for a run of kind ``late``) and ``early_runs`` (number of the request's runs, from the
first, that end early; 1 unless given).
``POST /switches`` injects failures.

On SIGTERM the target announces in the store and in its answers that it leaves, continues to serve
for a grace period, removes its entry and exits. With the switch ``leaves_untold`` it announces
nothing and removes its entry first.
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
from pathlib import Path
from weakref import WeakKeyDictionary, WeakSet

from klein import Klein
from twisted.internet import defer, reactor
from twisted.web.http import Request

from ..platform import StoreClient, wire
from ..utils import WebClient, start
from ._http import json_body, json_reply, run_standin, sleep
from .early_ends import EarlyEnd, EarlyKind, RunCounter
from .slots import Slots
from .target_entry import TargetEntryWriter
from .target_memory import TargetMemory

__all__ = ["EVENT_TEXT", "TargetService", "TargetSwitches", "event_of", "plain_answer_of"]

EVENT_TEXT = "id: {number}\ndata: {request_id}.{number}\n\n"

EXIT_DELAY_S = 0.05
"""Delay between the start of a request with ``ends`` and the exit, in seconds."""

FLUSH_S = 0.01
"""Time for what was written to leave before a run ends early, in seconds."""

MAX_WAITING_REQUESTS = 24
"""Number of requests that may wait for a slot; further ones are refused."""


def event_of(request_id: str, number: int, pad: int = 0) -> bytes:
    """Return event `number` of the stream that answers a request, with `pad` bytes of padding."""
    return EVENT_TEXT.format(number=number, request_id="." * pad + request_id).encode()


def plain_answer_of(request_id: str) -> bytes:
    """Return the body that answers a plain request."""
    return f"answer to {request_id}".encode()


@dataclass
class TargetSwitches:
    """Failures and announcements of the target.

    Parameters
    ----------
    lose_answers : int
        Number of next requests that run but whose connection is aborted without an answer.
    break_streams : int
        Number of next streams that are aborted within an event.
    fail : int
        Number of next requests that run and then fail with status 500.
    silent : bool
        Accept requests and never answer.
    held_until_s : float
        Hold all events and plain answers until this time on the machine's monotonic clock, in
        seconds. Running requests continue afterwards; reports and orders are not held.
    rate_per_s : float or None
        Rate limit for all boxes together that answers announce, in requests per second; None to
        announce none.
    leaves : bool
        Announce in all answers that the target leaves.
    rest_s : float or None
        Refuse requests and ask the boxes to pause for this number of seconds; None to serve.
    send_again, send_again_late : int
        Number of next answers, also to reports and orders, that are sent a second time: at once, or
        in the place of the next answer that is due on the connection.
    leaves_untold : bool
        On SIGTERM, remove the entry first and announce nothing.
    cold_until_s : float or None
        Until when the target is cold, by the machine's monotonic clock in seconds; answers and the
        entry announce the remaining time. It serves as usual.
    early_ends : int
        Number of next runs that end early.
    early_kind, early_after, early_port_s
        How they do; see `EarlyEnd`.
    """

    lose_answers: int = 0
    break_streams: int = 0
    fail: int = 0
    silent: bool = False
    held_until_s: float = 0.0
    rate_per_s: float | None = None
    leaves: bool = False
    rest_s: float | None = None
    send_again: int = 0
    send_again_late: int = 0
    leaves_untold: bool = False
    cold_until_s: float | None = None
    early_ends: int = 0
    early_kind: str = EarlyKind.LIVES.value
    early_after: int = 1
    early_port_s: float = 0.0

    @property
    def cold_left_ms(self) -> int:
        """Remaining cold time in milliseconds, 0 if the target is not cold."""
        return max(0, int(((self.cold_until_s or 0.0) - time.monotonic()) * 1000))

    def consume(self, name: str) -> bool:
        """Return whether the failure `name` is due, and decrement its counter."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


class TargetService:
    """A target, from the start to the end of its process.

    Parameters
    ----------
    service, data_hall, address : str
        Service, data hall and address (IP:PORT) in the target's entry.
    slots, memory_tokens : int
        Maximum number of concurrent requests; memory for reservations.
    store : StoreClient
        Client of the store that has the list of targets.
    heartbeat_s, serve_on_s : float
        Interval between writes of the entry, and grace period after the announcement that the
        target leaves, in seconds.
    runs : RunCounter or None
        Counts the runs of requests; None to count those of this target alone.
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
        runs: RunCounter | None = None,
    ):
        self.switches = TargetSwitches()
        self._service = service
        self._data_hall = data_hall
        self._serve_on_s = serve_on_s
        self._runs = runs or RunCounter()
        self._late_answers: WeakKeyDictionary[object, bytes] = WeakKeyDictionary()
        self._channels: WeakSet[object] = WeakSet()
        self._address = address
        self._slot_count = slots
        self._memory_tokens = memory_tokens
        self._store = store
        self._heartbeat_s = heartbeat_s
        self._begin_life()

    def _begin_life(self) -> None:
        """Take a new id, with free slots, free memory and an entry of its own."""
        self.name = "i-" + secrets.token_hex(5)
        self._slots = Slots(self._slot_count)
        self._memory = TargetMemory(self._memory_tokens)
        self._entry = TargetEntryWriter(
            self._store,
            self.name,
            self._service,
            self._address,
            self._data_hall,
            self._slot_count,
            self._heartbeat_s,
            lambda: self.switches.cold_left_ms,
        )

    def stop(self) -> None:
        """Stop writing the entry."""
        self._entry.stop()

    # Entry in the list of targets.

    async def maintain_entry(self) -> None:
        """Write the entry at every heartbeat until stopped."""
        self._log("started", service=self._service, data_hall=self._data_hall)
        await self._entry.run()

    async def drain(self) -> None:
        """Announce that the target leaves, serve for the grace period, then exit."""
        if self._entry.is_leaving:
            return
        if self.switches.leaves_untold:
            await self._entry.remove()
            self._log("leaving")
            await sleep(self._serve_on_s)
        else:
            self.switches.leaves = True
            await self._entry.announce_leaving()
            self._log("leaving")
            await sleep(self._serve_on_s)
            await self._entry.remove()
        self._log("ended")
        reactor.stop()

    # Load and memory.

    @app.route(wire.REPORT_PATH, methods=["GET"])
    def report(self, request: Request) -> bytes:
        """Return the load and the reservations."""
        self._begin_answer(request)
        if self._is_for_another(request):
            return self._refuse(request, HTTPStatus.MISDIRECTED_REQUEST)
        self._log("reported")
        tickets = [
            {"id": reservation_id, "tokens": reservation.tokens, "state": "held"}
            for reservation_id, reservation in self._memory.active().items()
        ]
        body = {
            "waiting": self._slots.waiting, "running": self._slots.running, "pace": 1.0,
            "kvUsed": sum(ticket["tokens"] for ticket in tickets), "kvTotal": self._memory.tokens,
            "tickets": tickets, "born": self._entry.start_ms,
        }  # fmt: skip
        return self._reply(request, body)

    @app.route(wire.ORDER_PATH, methods=["POST"])
    def order(self, request: Request) -> bytes:
        """Reserve memory, or release a reservation."""
        order = json_body(request)
        self._log("ordered")
        self._begin_answer(request)
        if order["op"] == "release":
            self._memory.release(order["id"])
            return self._reply(request, {})
        if order["id"] not in self._memory.active():
            self._log("reserved")
        free = self._memory.free_excluding(order["id"])
        if order["tokens"] > free:
            return self._reply(request, {"free": free}, HTTPStatus.CONFLICT)
        self._memory.reserve(order["id"], order["tokens"], order["holdMs"] / 1000)
        return self._reply(request, {"free": free - order["tokens"]})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change failure switches."""
        for name, value in json_body(request).items():
            setattr(self.switches, name, value)
        self._log(
            "switched",
            rate_per_s=self.switches.rate_per_s,
            cold_s=self.switches.cold_left_ms / 1000,
        )
        return json_reply(request, vars(self.switches))

    # Requests.

    @app.route("/", methods=["GET", "POST"], branch=True)
    async def serve(self, request: Request) -> bytes | None:
        """Serve a request of a caller, which a box has forwarded."""
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _failure: None)
        raw_id = request.getHeader(wire.REQUEST_ID) or b""
        request.setHeader(wire.REQUEST_ID, raw_id)
        self._begin_answer(request)
        request_id = raw_id.decode("latin-1")
        if self._is_for_another(request):
            return self._refuse(request, HTTPStatus.MISDIRECTED_REQUEST)
        self._log("arrived", request_id=request_id)
        if self.switches.leaves:
            self._log("told leaving", request_id=request_id)
        if self.switches.rest_s is not None:
            self._log("wants rest", request_id=request_id, rest_s=self.switches.rest_s)
            request.setHeader(wire.RETRY_AFTER, b"%g" % self.switches.rest_s)
            return self._refuse(request, HTTPStatus.SERVICE_UNAVAILABLE)
        if self._slots.waiting >= MAX_WAITING_REQUESTS:
            return self._refuse(request, HTTPStatus.SERVICE_UNAVAILABLE)
        slots = self._slots
        await slots.acquire()
        try:
            return await self._run(request, request_id, disconnected)
        finally:
            slots.release()

    def _is_for_another(self, request: Request) -> bool:
        expected = request.getHeader(wire.EXPECTED_TARGET)
        return bool(expected) and expected.decode() != self.name

    async def _run(
        self, request: Request, request_id: str, disconnected: defer.Deferred[None]
    ) -> bytes | None:
        if disconnected.called:
            return None
        after = int(request.getHeader(wire.LAST_EVENT_ID) or b"0")
        organisation = (request.getHeader(wire.ORGANISATION) or b"").decode()
        self._log("ran", request_id=request_id, organisation=organisation, after=after)
        if int(_query(request, "ends")):
            await sleep(EXIT_DELAY_S)
            self._log("ended by", request_id=request_id)
            os._exit(1)
        if self.switches.silent:
            await defer.Deferred()
        request.setHeader(wire.SIGNATURE, self.name.encode())
        pause_s = int(_query(request, "pause_ms")) / 1000
        events, pieces = int(_query(request, "events")), int(_query(request, "pieces"))
        run = self._runs.count(request_id)
        early = self._early_end(request, run)
        if events:
            if run < int(_query(request, "unmarked")):
                _leave_unmarked(request)
            pad = int(_query(request, "pad"))
            numbers = range(after + 1, events + 1)
            if await self._stream(request, request_id, numbers, pause_s, pad, early):
                self._log("finished", request_id=request_id)
            return None
        if pieces:
            pad = pieces * int(_query(request, "pad"))
            body = plain_answer_of(request_id) + b"x" * pad
            if run < int(_query(request, "unmarked", str(run + 1))):
                _leave_unmarked(request)
            else:
                request.setHeader(b"content-length", b"%d" % len(body))
            await self._write_pieces(request, request_id, body, pieces, pause_s, early)
            self._log("finished", request_id=request_id)
            return None
        await self._delay(pause_s)
        if early:
            body = plain_answer_of(request_id)
            request.setHeader(b"content-length", b"%d" % len(body))
            request.write(body[: len(body) // 2])
            await self._end_early(request, request_id, early._replace(after=1))
        if self.switches.consume("lose_answers"):
            request.transport.abortConnection()
            return None
        if self.switches.consume("fail"):
            request.setResponseCode(HTTPStatus.INTERNAL_SERVER_ERROR)
        body = plain_answer_of(request_id)
        self._repeat_answer(request, body)
        return body

    def _early_end(self, request: Request, run: int) -> EarlyEnd | None:
        """Return how a run of a request ends early, None if it doesn't."""
        early_runs = int(_query(request, "early_runs", "1"))
        if (kind := _query(request, "early", "")) and run < early_runs:
            port_s = int(_query(request, "port_ms")) / 1000
            after = int(_query(request, "second_after" if run else "after"))
            return EarlyEnd(EarlyKind(kind), after, port_s)
        switches = self.switches
        if switches.consume("early_ends"):
            kind = EarlyKind(switches.early_kind)
            return EarlyEnd(kind, switches.early_after, switches.early_port_s)
        return None

    async def _end_early(self, request: Request, request_id: str, early: EarlyEnd) -> None:
        """End a run early; does not return."""
        self._log("ended early", request_id=request_id, kind=early.kind.value, sent=early.after)
        # At least the head goes out.
        request.write(b"")
        await sleep(FLUSH_S)
        match early.kind:
            case EarlyKind.DIES:
                os._exit(1)
            case EarlyKind.RESET:
                request.transport.abortConnection()
            case EarlyKind.LIVES:
                request.transport.loseConnection()
            case EarlyKind.LATE:
                request.transport.loseConnection()
                reactor.callLater(early.port_s, os._exit, 1)
            case EarlyKind.REBORN:
                for channel in tuple(self._channels):
                    if channel.transport is not None:
                        channel.transport.loseConnection()
                self._entry.stop()
                self._begin_life()
                start(self.maintain_entry())
        # Klein cancels the handler now that the connection closes.
        await defer.Deferred()

    async def _write_pieces(
        self,
        request: Request,
        request_id: str,
        body: bytes,
        pieces: int,
        pause_s: float,
        early: EarlyEnd | None,
    ) -> None:
        size = -(-len(body) // pieces)
        for start_at in range(0, len(body), size):
            await self._delay(pause_s)
            if early and start_at >= early.after * size:
                await self._end_early(request, request_id, early)
            request.write(body[start_at : start_at + size])

    async def _stream(
        self,
        request: Request,
        request_id: str,
        numbers: range,
        pause_s: float,
        pad: int,
        early: EarlyEnd | None,
    ) -> bool:
        """Write a stream; return whether all of it was written."""
        request.setHeader(b"content-type", b"text/event-stream")
        breaks = self.switches.consume("break_streams")
        for number in numbers:
            try:
                await self._delay(pause_s)
            except defer.CancelledError:
                # Klein cancels the handler when the peer closes the connection.
                self._log("broken off", request_id=request_id, before=number)
                raise
            if early and number - numbers.start >= early.after:
                await self._end_early(request, request_id, early)
            event = event_of(request_id, number, pad)
            if breaks and number > numbers.start:
                self._log("broke", request_id=request_id, before=number)
                request.write(event[: len(event) // 2])
                request.transport.abortConnection()
                return False
            request.write(event)
        return True

    async def _delay(self, pause_s: float) -> None:
        """Wait for the pause that the request asks for, and until answers are no longer held."""
        await sleep(pause_s)
        while (left_s := self.switches.held_until_s - time.monotonic()) > 0:
            await sleep(left_s)

    def _begin_answer(self, request: Request) -> None:
        """Send what is due in place of this answer, and set the headers of all answers."""
        self._channels.add(request.channel)
        if late := self._late_answers.pop(request.channel, b""):
            request.transport.write(late)
        self._set_status_headers(request)

    def _reply(
        self, request: Request, body: dict[str, object], status: HTTPStatus = HTTPStatus.OK
    ) -> bytes:
        """Return the bytes of the answer to a call."""
        raw = json_reply(request, body, status)
        self._repeat_answer(request, raw)
        return raw

    def _repeat_answer(self, request: Request, body: bytes) -> None:
        """Send an answer a second time if a switch says so."""
        names = (wire.REQUEST_ID, wire.SIGNATURE)
        headers = [(name, request.responseHeaders.getRawHeaders(name)) for name in names]
        lines = [b"%s: %s\r\n" % (name, values[0]) for name, values in headers if values]
        lines.append(b"Content-Length: %d\r\n" % len(body))
        repeated = b"HTTP/1.1 %d X\r\n%s\r\n%s" % (request.code, b"".join(lines), body)
        if self.switches.consume("send_again"):
            # The transport belongs to the connection, and is None once it has closed.
            transport = request.transport
            request.notifyFinish().addCallbacks(
                lambda _none: transport.write(repeated), lambda _failure: None
            )
        elif self.switches.consume("send_again_late"):
            self._late_answers[request.channel] = repeated

    def _set_status_headers(self, request: Request) -> None:
        if self.switches.rate_per_s is not None:
            request.setHeader(wire.RATE_LIMIT, b"%g" % self.switches.rate_per_s)
        if self.switches.leaves:
            request.setHeader(wire.LEAVING, b"1")
        request.setHeader(wire.COLD_MS, b"%d" % self.switches.cold_left_ms)

    def _refuse(self, request: Request, status: HTTPStatus) -> bytes:
        request.setResponseCode(status)
        request.setHeader(wire.NOT_RUN, b"1")
        return b"not run"

    def _log(self, what: str, **fields: object) -> None:
        row = {"at_s": time.monotonic(), "target": self.name, "what": what, **fields}
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()


def _query(request: Request, name: str, default: str = "0") -> str:
    return request.args.get(name.encode(), [default.encode()])[0].decode()


def _leave_unmarked(request: Request) -> None:
    """Give the answer to a request neither a length nor chunks."""
    # Version 1.0 of HTTP has no chunks.
    request.clientproto, request.channel.persistent = b"HTTP/1.0", False


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--service", required=True)
    parser.add_argument("--hall", default="hall-a")
    parser.add_argument("--address", required=True, help="IP:PORT under which it is listed")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--memory-tokens", type=int, default=232_000)
    parser.add_argument("--store", required=True, help="IP:PORT of the store")
    parser.add_argument("--heartbeat-s", type=float, default=1.2)
    parser.add_argument("--serve-on-s", type=float, default=3.0)
    parser.add_argument(
        "--runs", type=Path, help="directory that targets share to count the runs of requests"
    )


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
        RunCounter(args.runs),
    )
    reactor.callWhenRunning(lambda: start(service.maintain_entry()))

    def on_term(_number: int, _frame: object) -> None:
        reactor.callFromThread(lambda: start(service.drain()))

    # Deferred, since the reactor installs its own handler when it starts.
    reactor.callLater(0, signal.signal, signal.SIGTERM, on_term)
    return service


if __name__ == "__main__":
    run_standin("A stand-in for a target of the users' platform.", _add_arguments, _make)
