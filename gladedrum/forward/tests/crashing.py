"""Engines that some requests end, in virtual time, on the wire of `support`.

Each engine answers reports and requests. One that begins to run a deadly request ends a while
later: its connections break, new ones are refused, and after some seconds it is back with a later
start. What was sent, and what ended when, is kept for the checks.
"""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from types import SimpleNamespace

from gladedrum.forward.tests.support import Network, World, chunk, event, stream_head
from gladedrum.placing.reports import ReportReader
from gladedrum.platform import wire
from gladedrum.routes import Organisation
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.utils import start

BEGINS_S, ENDS_S, EVENT_S, AWAY_S = 0.03, 0.08, 0.04, 2.0
"""A request begins so long after it has arrived; a deadly one ends its engine so long after that;
others write an event so often. The engine is back after so long."""
EVENTS = 5
WAY_S = 0.002
"""A datagram between boxes."""


@dataclass
class Run:
    """A request at an engine."""

    side: object
    body: bytes
    request_id: bytes
    arrived_s: float
    written: int = 0
    over: bool = False


@dataclass
class Engine:
    """One target: its address, its start, what it runs."""

    port: int
    born: int = 1_000
    up: bool = True
    runs: list[Run] = field(default_factory=list)


class CrashingFleet:
    """Boxes and engines; bodies in `deadly` end each engine that begins them.

    `lost` says of each datagram, by its sender and receiver, whether it is lost; `traits` is None
    where the targets are plain services.
    """

    traits: EngineTraits | None = EngineTraits()

    def __init__(
        self,
        targets: int = 8,
        deadly: tuple[bytes, ...] = (b"deadly",),
        boxes: int = 1,
        keys: tuple[str, ...] = ("k1",),
        **route,
    ):
        self.net = Network()
        self.deadly = set(deadly)
        self.engines = {9000 + i: Engine(9000 + i) for i in range(1, targets + 1)}
        self.sent: list[tuple[float, bytes, int]] = []
        self.ended: list[tuple[float, int, tuple[bytes, ...]]] = []
        self.lost: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self._route = (targets, keys, route)
        self._addresses = {f"box{i}": ("10.0.1.1", i) for i in range(1, boxes + 1)}
        self.boxes: dict[str, World] = {}
        for name in self._addresses:
            self.boxes[name] = self.start_box(name)
        self.play(4.0)

    # What the tests call.

    def start_box(self, name: str) -> World:
        """Return a new start of a box."""
        targets, keys, route = self._route
        fields = {"streaming": True, "resumable": True, "max_targets": 2, "pause_objective_s": 0.25}
        peers = {peer: at for peer, at in self._addresses.items() if peer != name}
        box = World(targets, self.traits, net=self.net, me=name, peers=peers, **fields | route)
        box.vouch(box.table(self.traits, version=2, keys=keys, **fields | route))
        box.port.transport = SimpleNamespace(write=partial(self._send, name))
        start(self._reader(name, box).run())
        return box

    @property
    def other_organisation(self) -> Organisation:
        """An organisation beside that of `World`."""
        return Organisation("other", None)

    def end(self, engine: Engine) -> None:
        """End an engine for a reason of its own."""
        self._end(engine, self.net.seconds())

    def ask(self, body: bytes, box: str = "box1", key: str = "k1", path: bytes = b"/x/2f"):
        """Have a new caller send a request to a box; return the caller."""
        caller = self.boxes[box].caller()
        caller.ask(body, path, key=key.encode())
        return caller

    def play(self, seconds: float, step_s: float = 0.01) -> None:
        """Let time pass."""
        for _ in range(round(seconds / step_s)):
            self._serve()
            for box in self.boxes.values():
                box.configuration._vouch(self.net.seconds())
            self.net.advance(step_s)

    def ends_of(self, body: bytes) -> list[float]:
        """Return when engines ended that had begun a request, in order."""
        return [at_s for at_s, _port, bodies in self.ended if body in bodies]

    def sent_after(self, body: bytes, at_s: float) -> int:
        """Return how often a request was sent to engines after a time."""
        return sum(sent_s > at_s for sent_s, sent, _port in self.sent if sent == body)

    # Datagrams and reports.

    def _send(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        receiver = next(name for name, at in self._addresses.items() if at == address)
        if not self.lost(sender, receiver):
            self.net.callLater(WAY_S, self._deliver, sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if receiver in self.boxes:
            self.boxes[receiver].port.datagramReceived(data, self._addresses[sender])

    def _reader(self, name: str, box: World) -> ReportReader:
        return ReportReader(
            self.net,
            box.ctx.pool,
            box.view,
            lambda: box.targets.entries.values(),
            name,
            lambda: self._readers(name, box),
            box.port.tell_report,
        )

    def _readers(self, name: str, box: World) -> list[str]:
        """Return the boxes that read reports: members of the circle that live."""
        if name not in self.boxes:
            return []
        return [member for member in box.circle.members() if member in self.boxes]

    # The engines.

    def _serve(self) -> None:
        now_s = self.net.seconds()
        for index, side in enumerate(self.net.opened):
            if not side.closed and side.sent:
                self._take(index, side)
        for engine in self.engines.values():
            if engine.up:
                self._advance(engine, now_s)

    def _take(self, _index: int, side) -> None:
        engine = self.engines[side.place[1]]
        if not engine.up:
            side.break_off()
            return
        data = side.wire.take()
        head, _, body = data.partition(b"\r\n\r\n")
        if head.split(b" ")[1] == wire.REPORT_PATH.encode():
            side.reply(_report(engine))
            return
        request_id = re.search(rb"(?i)%s: (\S+)" % wire.REQUEST_ID, head).group(1)
        self.sent.append((self.net.seconds(), body, engine.port))
        engine.runs.append(Run(side, body, request_id, self.net.seconds()))

    def _advance(self, engine: Engine, now_s: float) -> None:
        engine.runs = [run for run in engine.runs if not run.over and not run.side.closed]
        for run in engine.runs:
            ran_s = now_s - run.arrived_s - BEGINS_S
            if run.body in self.deadly:
                if ran_s >= ENDS_S:
                    self._end(engine, now_s)
                    return
            elif ran_s >= run.written * EVENT_S:
                self._write(run)

    def _write(self, run: Run) -> None:
        if not run.written:
            run.side.reply(stream_head().replace(b"id-1", run.request_id))
        run.written += 1
        run.side.reply(chunk(event(run.written)))
        if run.written == EVENTS:
            run.over = True
            run.side.reply(chunk(b""))

    def _end(self, engine: Engine, now_s: float) -> None:
        began = tuple(r.body for r in engine.runs if now_s - r.arrived_s >= BEGINS_S)
        self.ended.append((now_s, engine.port, began))
        engine.up, engine.runs = False, []
        self.net.refusing.add(engine.port)
        for side in self.net.opened:
            if side.place[1] == engine.port and not side.closed:
                side.break_off()
        self.net.callLater(AWAY_S, self._start_again, engine)

    def _start_again(self, engine: Engine) -> None:
        engine.up, engine.born = True, engine.born + 1_000
        self.net.refusing.discard(engine.port)


def _report(engine: Engine) -> bytes:
    row = {"waiting": 0, "running": len(engine.runs), "pace": 1.0, "kvUsed": 0, "kvTotal": 232_000}
    body = json.dumps({**row, "tickets": [], "born": engine.born}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
