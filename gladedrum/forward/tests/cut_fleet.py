"""A fleet in virtual time whose boxes can lose their own links to targets.

Each box has a reactor of its own, so that connections of one box can fail while those of the others
work. Boxes reach each other by datagrams and TCP throughout.
"""

import random
from dataclasses import dataclass
from enum import Enum, auto
from types import SimpleNamespace

from twisted.internet import error
from twisted.python.failure import Failure

from gladedrum.forward.box_paths import BoxPaths
from gladedrum.forward.tests.crashing_fleet import CrashingFleet, Engine, Run
from gladedrum.forward.tests.support import Network, TargetSide, World
from gladedrum.paths.tests.pipes import LINK_DELAY_S, Connecting, PipeTransport, join
from gladedrum.paths.tunnel_server import CarrierLimits
from gladedrum.placing.reports import ReportReader


class Cut(Enum):
    """How the links of a box to targets fail."""

    SILENT = auto()
    """Nothing passes; connections hang."""
    RESET = auto()
    """Open connections are reset, new ones are refused."""
    NEW_ONLY = auto()
    """Open connections go on, new ones are refused."""
    ANSWERS_LOST = auto()
    """Bytes reach the targets, and nothing comes back."""


@dataclass(frozen=True)
class LinkFault:
    """A fault of the links from a box to the targets with these ports."""

    cut: Cut
    ports: frozenset[int]


class BoxSide(TargetSide):
    """The target's end of a connection that a box of the fleet has opened."""

    def __init__(self, box, address, proto):
        self.box = box
        super().__init__(address, proto)


class BoxReactor:
    """The reactor of one box; shares the clock of the fleet."""

    def __init__(self, shared: Network, fleet: "CutFleet", box: str):
        self._shared = shared
        self._fleet = fleet
        self._box = box

    def __getattr__(self, name):
        return getattr(self._shared, name)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        return self._fleet.connect(self._box, (host, port), factory, timeout)


class CutFleet(CrashingFleet):
    """A fleet in which the links of boxes to targets can be cut.

    Attributes
    ----------
    faults : dict of str to LinkFault
        The boxes whose links are cut now.
    tunnel_limit : int
        How many tunnels a box carries.
    paused : set of int
        The ports of engines that write nothing now.
    """

    def __init__(self, boxes: int = 6, targets: int = 8, **route):
        self.faults: dict[str, LinkFault] = {}
        self.tunnel_limit = 200
        self.paused: set[int] = set()
        self._ends_of: dict[str, list[PipeTransport]] = {}
        super().__init__(targets, (), boxes, **route)

    def cut(self, box: str, cut: Cut, ports=None) -> None:
        """Cut the links of a box to targets, by default to all of them."""
        self.faults[box] = LinkFault(cut, frozenset(ports or self.engines))
        if cut is Cut.RESET:
            for side in self.net.opened:
                if side.box == box and self._fault(side) and not side.closed:
                    side.disconnect()

    def kill(self, box: str) -> None:
        """Kill a box: its connections to targets and other boxes end."""
        del self.boxes[box]
        for side in self.net.opened:
            if side.box == box and not side.closed:
                side.transport.abortConnection()
        for end in self._ends_of.get(box, ()):
            end.abortConnection()

    def mend(self, box: str) -> None:
        """Restore the links of a box."""
        del self.faults[box]

    def start_box(self, name: str) -> World:
        """Start a box on a reactor of its own."""
        shared = self.net
        self.net = BoxReactor(shared, self, name)
        try:
            return super().start_box(name)
        finally:
            self.net = shared

    def connect(self, box, address, factory, timeout_s):
        """Connect a box to a target or another box."""
        connector = Connecting(address)
        factory.startedConnecting(connector)
        peer = next((name for name, at in self._addresses.items() if at == address), None)
        fault = self.faults.get(box)
        if peer is not None:
            self.net.callLater(LINK_DELAY_S, self._connect_boxes, peer, factory, connector)
        elif fault is not None and address[1] in fault.ports:
            hangs = fault.cut in (Cut.SILENT, Cut.ANSWERS_LOST)
            failure = error.TimeoutError() if hangs else error.ConnectionRefusedError()
            delay_s = timeout_s if hangs else LINK_DELAY_S
            self.net.callLater(delay_s, self._fail, factory, connector, failure)
        else:
            self.net.callLater(LINK_DELAY_S, self._connect_target, box, address, factory, connector)
        return connector

    def _fail(self, factory, connector, reason) -> None:
        if not connector.is_stopped:
            factory.clientConnectionFailed(connector, Failure(reason))

    def _connect_target(self, box, address, factory, connector) -> None:
        if connector.is_stopped:
            return
        if address[1] in self.net.refusing:
            self._fail(factory, connector, error.ConnectionRefusedError())
            return
        self.net.opened.append(BoxSide(box, address, factory.buildProtocol(None)))

    def _connect_boxes(self, peer: str, factory, connector) -> None:
        server = self.server_of(peer)
        if server is None:
            self._fail(factory, connector, error.ConnectionRefusedError())
        if server is None or connector.is_stopped:
            return
        _client_end, server_end = join(self.net, factory.buildProtocol(None), server)
        self._ends_of.setdefault(peer, []).append(server_end)

    def server_of(self, peer: str):
        """Return a protocol that serves a tunnel at a box, None if it does not listen."""
        return self.boxes[peer].paths.server.buildProtocol(None) if peer in self.boxes else None

    def _report_reader(self, name: str, box: World) -> ReportReader:
        box.paths = self._make_paths(name, box)
        return ReportReader(
            self.net,
            box.ctx.pool,
            box.view,
            lambda: box.targets.entries.values(),
            name,
            lambda: box.paths.readers(self._report_readers(name, box)),
            box.port.broadcast_report,
            confirm_failure=box.paths.connector.confirm_failure,
            is_cut_off=lambda entry: box.paths.connector.is_cut_off([entry]),
        )

    def _make_paths(self, name: str, box: World) -> BoxPaths:
        peers = {peer: at for peer, at in self._addresses.items() if peer != name}
        registry = SimpleNamespace(
            peers=peers, capacity_of=lambda _name: 1.0, hall_of=lambda _name: "hall"
        )
        paths = BoxPaths(
            self.net,
            name,
            "hall",
            box.ctx.pool,
            box.targets,
            registry,
            box.coordinators,
            box.port,
            lambda: CarrierLimits(self.tunnel_limit),
            lambda: 0,
            random.Random(1),
        )
        paths.connector.on_silent = lambda: [task.on_link_silent() for task in box.tasks]
        return paths

    def _fault(self, side) -> LinkFault | None:
        fault = self.faults.get(side.box)
        return fault if fault is not None and side.address[1] in fault.ports else None

    def _is_silent(self, side, to_target: bool) -> bool:
        match self._fault(side):
            case LinkFault(cut=Cut.SILENT):
                return True
            case LinkFault(cut=Cut.ANSWERS_LOST):
                return not to_target
            case _:
                return False

    def _receive(self, index: int, side) -> None:
        if not self._is_silent(side, to_target=True) and not self._holds_report(side):
            super()._receive(index, side)

    def _holds_report(self, side) -> bool:
        """Whether the answer to a poll would be lost; the poll is answered after the cut."""
        return self._is_silent(side, to_target=False) and side.sent.startswith(b"GET")

    def _write(self, run: Run) -> None:
        is_paused = run.side.address[1] in self.paused
        if not is_paused and not self._is_silent(run.side, to_target=False):
            super()._write(run)


class PlainCutFleet(CutFleet):
    """A fleet whose targets are plain services, and whose requests must not run twice."""

    traits = None

    def __init__(self, boxes: int = 3, targets: int = 4, **route):
        fields = {"streaming": False, "resumable": False, "objective_s": 0.3}
        super().__init__(boxes, targets, **fields | route)


def served_shares(fleet: CutFleet, seconds: float, interval_s: float = 0.05) -> dict[str, float]:
    """Send requests to all boxes in turn; return the share served on each box."""
    callers = {name: [] for name in fleet.boxes}
    for index in range(round(seconds / interval_s)):
        name = list(fleet.boxes)[index % len(fleet.boxes)]
        callers[name].append(fleet.send_request(b"body %d" % index, name))
        fleet.advance(interval_s)
    fleet.advance(4.0)
    return {name: sum(map(is_served, sent)) / len(sent) for name, sent in callers.items()}


def is_served(caller) -> bool:
    """Whether a caller has received a whole stream."""
    return caller.received.startswith(b"HTTP/1.1 200") and caller.received.endswith(b"0\r\n\r\n")


def target_of(engine: Engine) -> str:
    """Return the name of an engine in the list of targets."""
    return f"t{engine.port - 9000}"
