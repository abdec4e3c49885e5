"""A fleet in virtual time whose boxes can lose their own links to targets.

Each box has a reactor of its own, so that connections of one box can fail while those of the others
work. Boxes reach each other by datagrams and TCP throughout.
"""

from dataclasses import dataclass
from enum import Enum, auto

from twisted.internet import error
from twisted.python.failure import Failure

from gladedrum.forward.tests.crashing_fleet import CrashingFleet, Engine, Run
from gladedrum.forward.tests.support import Network, RecordingTransport, TargetSide, World

LINK_DELAY_S = 0.001
"""Latency of a TCP connection between two boxes."""


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


class PipeTransport(RecordingTransport):
    """One end of a TCP connection between two boxes."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self._unread: list[bytes] = []
        self.other: PipeTransport | None = None

    def write(self, data):
        if not self.closed:
            self._clock.callLater(LINK_DELAY_S, self.other.receive, data)

    def receive(self, data):
        if self.closed:
            return
        if self.producerState == "paused":
            self._unread.append(data)
        else:
            self.proto.dataReceived(data)

    def resumeProducing(self):
        super().resumeProducing()
        unread, self._unread = self._unread, []
        for data in unread:
            self.receive(data)

    def _close(self, how, reason):
        if not self.closed:
            ended = error.ConnectionDone() if how == "closed" else error.ConnectionLost()
            self._clock.callLater(LINK_DELAY_S, self.other.end, ended)
        super()._close(how, reason)

    def end(self, reason):
        if not self.closed:
            self.closed = "by the peer"
            self.proto.connectionLost(Failure(reason))


class CutFleet(CrashingFleet):
    """A fleet in which the links of boxes to targets can be cut.

    Attributes
    ----------
    faults : dict of str to LinkFault
        The boxes whose links are cut now.
    """

    def __init__(self, boxes: int = 6, targets: int = 8, **route):
        self.faults: dict[str, LinkFault] = {}
        super().__init__(targets, (), boxes, **route)

    def cut(self, box: str, cut: Cut, ports=None) -> None:
        """Cut the links of a box to targets, by default to all of them."""
        self.faults[box] = LinkFault(cut, frozenset(ports or self.engines))
        if cut is Cut.RESET:
            for side in self.net.opened:
                if side.box == box and self._fault(side) and not side.closed:
                    side.disconnect()

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
        if address in self._addresses.values():
            peer = next(name for name, at in self._addresses.items() if at == address)
            self.net.callLater(LINK_DELAY_S, self._connect_boxes, peer, factory)
            return
        fault = self.faults.get(box)
        if fault is not None and address[1] in fault.ports:
            hangs = fault.cut in (Cut.SILENT, Cut.ANSWERS_LOST)
            failure = error.TimeoutError() if hangs else error.ConnectionRefusedError()
            delay_s = timeout_s if hangs else 0.001
            self.net.callLater(delay_s, factory.clientConnectionFailed, None, Failure(failure))
            return
        self.net.callLater(0.001, self._connect_target, box, address, factory)
        return

    def _connect_target(self, box, address, factory) -> None:
        if address[1] in self.net.refusing:
            factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
            return
        self.net.opened.append(BoxSide(box, address, factory.buildProtocol(None)))

    def _connect_boxes(self, peer: str, factory) -> None:
        server = self.server_of(peer)
        if server is None:
            factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
            return
        ends = PipeTransport(self.net), PipeTransport(self.net)
        ends[0].other, ends[1].other = ends[1], ends[0]
        ends[0].proto, ends[1].proto = factory.buildProtocol(None), server
        server.makeConnection(ends[1])
        ends[0].proto.makeConnection(ends[0])

    def server_of(self, peer: str):
        """Return a protocol that serves a peer's TCP connection, None if it takes none."""
        return

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
        if not self._is_silent(run.side, to_target=False):
            super()._write(run)


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
