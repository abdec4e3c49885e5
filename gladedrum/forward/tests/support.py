"""Test harness for a box's request path: virtual clock, scripted callers and targets, no sockets.

`World` is a box with its callers. `Network` is a Twisted reactor whose connections end at scripted
targets (`TargetSide`): they record what the box sent, and answer with the bytes that a test gives.
"""

import random
import socket
from typing import NamedTuple

import h11
from twisted.internet import error, protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.coordinators import CoordinatorGroup
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.connections.caller_conn import CallerFactory
from gladedrum.connections.messages import CallerRequest
from gladedrum.connections.target_pool import TargetPool
from gladedrum.fleet import TargetEntry
from gladedrum.forward.admission import Admission
from gladedrum.forward.context import ForwardContext
from gladedrum.forward.identity import request_digest
from gladedrum.forward.metrics import ForwardMetrics
from gladedrum.forward.request_task import start_request
from gladedrum.gossip.port import GossipPort
from gladedrum.placing.choosing import Chooser
from gladedrum.placing.cold_targets import ColdTargets
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.placer import Placer
from gladedrum.placing.retry_pool import RetryPool
from gladedrum.placing.retry_shares import RetryShares
from gladedrum.placing.statements import TargetStatements
from gladedrum.placing.suspicion import Suspicion
from gladedrum.placing.target_rates import TargetRates
from gladedrum.platform import wire
from gladedrum.routes import Configuration, Organisation, Route, Service, ServiceShare
from gladedrum.scheduling.engine_model import EngineTraits

KEY = "k1"
KEY_BOUND_S = 5.0


class RecordingTransport(StringTransport):
    """A transport that records what was written and how it was closed (empty while open)."""

    def __init__(self):
        super().__init__()
        self.closed = ""
        self.proto = None

    def getHandle(self):
        return socket.socket()

    def setTcpNoDelay(self, _on):
        pass

    def loseConnection(self):
        self._close("closed", error.ConnectionDone())

    def abortConnection(self):
        self._close("aborted", error.ConnectionAborted())

    def connectionLost(self, reason):
        """Do nothing: `abortConnection` has reported the loss."""

    def _close(self, how, reason):
        if not self.closed:
            self.closed = how
            self.proto.connectionLost(Failure(reason))

    def pop_written(self) -> bytes:
        data = self.value()
        self.clear()
        return data


class TargetSide:
    """The target's end of a connection that a box has opened; `address` is its (host, port)."""

    def __init__(self, address, proto):
        self.address = address
        self.transport = RecordingTransport()
        self.transport.proto = self.proto = proto
        proto.makeConnection(self.transport)

    @property
    def sent(self) -> bytes:
        return self.transport.value()

    @property
    def closed(self) -> str:
        return self.transport.closed

    def reply(self, data: bytes) -> None:
        self.proto.dataReceived(data)

    def disconnect(self, orderly: bool = False) -> None:
        reason = error.ConnectionDone() if orderly else error.ConnectionLost()
        self.transport.closed = self.transport.closed or "by the target"
        self.proto.connectionLost(Failure(reason))


class Network(MemoryReactorClock):
    """A reactor whose connections reach scripted targets, but for the ports in `refusing`."""

    def __init__(self):
        super().__init__()
        self.opened: list[TargetSide] = []
        self.refusing: set[int] = set()
        self.connect_delay_s = 0.0

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = super().connectTCP(host, port, factory, timeout, bindAddress)
        self.callLater(self.connect_delay_s, self._connected, host, port, factory, connector)
        return connector

    def _connected(self, host, port, factory, connector):
        if connector.stoppedConnecting:
            return
        if port in self.refusing:
            factory.clientConnectionFailed(connector, Failure(error.ConnectionRefusedError()))
            return
        self.opened.append(TargetSide((host, port), factory.buildProtocol(None)))


_callers: list["Caller"] = []


def disconnect_all_callers() -> None:
    """Disconnect the callers of all worlds, so that no request outlives its test.

    A request that is garbage-collected during a later test would release its resources there, and
    fail on closed connections.
    """
    while _callers:
        caller = _callers.pop()
        if not caller.transport.closed:
            caller.disconnect()


class NoFeed:
    """Placeholder for a feed of the store, for tests in which nothing reads it."""


class World:
    """One box with its callers, and a service with targets ``t1`` to ``tN`` (ports 9001 and up).

    Parameters
    ----------
    targets : int
        Number of targets.
    engine : EngineTraits, optional
        The engine model; None if the targets are plain services.
    keys_expire : bool
        Whether keys are refused once the configuration is stale.
    net : Network, optional
        Shared by several boxes; by default a new one.
    me : str
        Name of this box.
    peers : dict, optional
        Addresses of the other boxes by name.
    **route
        Fields of the `Route` that differ from the defaults of `table`.
    """

    def __init__(
        self,
        targets: int = 3,
        engine: EngineTraits | None = None,
        keys_expire: bool = True,
        net: Network | None = None,
        me: str = "me",
        peers: dict[str, tuple[str, int]] | None = None,
        **route,
    ):
        self.net = net or Network()
        peers = peers or {}
        pace = StorePace(self.net, random.Random(1))
        self.configuration = ConfigurationFollower(self.net, NoFeed(), 2.0, pace)
        self.targets = TargetListFollower(self.net, NoFeed(), 2.0, lambda _entry: None, pace)
        self.list_targets(targets)
        self.confirm_configuration(self.table(engine, **route))
        self.view = FleetView()
        self.view.on_restart = self._on_target_restart
        self.tasks = []
        self.coordinators = coordinators = CoordinatorGroup(me, lambda: peers)
        recipients = coordinators.recipients if peers else lambda: ()
        self.port = GossipPort(me, self.net, recipients, peers.values, self._receive_gossip)
        chooser = Chooser(me, self.net, self.targets, self.view)
        placer = Placer(
            self.net, coordinators, chooser, self.targets, self.view, self.port, self._service
        )
        target_pool = TargetPool(self.net)
        rates = TargetRates(
            self.net, self.targets, self.view, coordinators, self.port, lambda: 1 + len(peers)
        )
        self.cold = ColdTargets(
            self.net, self.targets, self.view, coordinators, self.port, peers.values, self._service
        )
        placer.cold_note_for = self.cold.note_for
        self.statements = TargetStatements(
            self.net, self.targets, self.view, rates, self.port, self.cold
        )
        target_pool.gate = self.statements
        self.retry_shares = RetryShares(4.0, 1000.0, 1.0, lambda: 1)
        pool = RetryPool(self.net, coordinators, self.port, self.retry_shares, random.Random(1))
        self.ctx = ForwardContext(
            box=me,
            data_hall="hall",
            clock=self.net,
            admission=Admission(self.configuration, KEY_BOUND_S, keys_expire),
            targets=self.targets,
            chooser=chooser,
            placer=placer,
            view=self.view,
            pool=target_pool,
            port=self.port,
            retry_pool=pool,
            suspicion=Suspicion(self.net, self.view, self.targets, self.port),
            rates=rates,
            free_bound_s=4.0,
            reservation_most_s=20.0,
            metrics=ForwardMetrics(),
            service_of=self._service,
            policy_of=lambda _organisation, _route: self.policy,
            rng=random.Random(1),
            ranks_of=lambda service: self.configuration.in_force.ranks_of(service),
        )
        self.paths = None
        self.outcomes = []
        self.policy = "fair_slack"
        self.factory = CallerFactory(
            self.net, lambda: self.configuration.in_force.limits, self._handle
        )

    def table(self, engine=None, version=1, keys=(KEY,), **route) -> Configuration:
        fields = {"anonymous": False, "time_limit_s": 5.0, "objective_s": 0.3, **route}
        row = Route("r", "a.example", "/x/", (ServiceShare("s", 1.0),), **fields)
        organisations = {key: Organisation("org", None) for key in keys}
        return Configuration(version, (row,), {"s": Service("s", engine)}, organisations)

    def confirm_configuration(self, table: Configuration | None = None) -> None:
        self.configuration._apply(table)
        self.configuration._confirm(self.net.seconds())

    def list_targets(self, count: int, leaving: tuple[str, ...] = ()) -> None:
        self.targets.entries = {
            f"t{i}": TargetEntry(f"t{i}", "s", "10.0.0.1", 9000 + i, "hall", 6, f"t{i}" in leaving)
            for i in range(1, count + 1)
        }

    def _receive_gossip(self, message, address):
        self.view.receive(message, self.targets.entries.keys(), self.net.seconds())
        self.ctx.placer.receive(message, address)
        self.ctx.retry_pool.receive(message, address)
        self.ctx.suspicion.receive(message)
        self.ctx.rates.receive(message, address)
        self.statements.receive(message)
        if self.paths is not None:
            self.paths.receive(message, address)

    def _service(self, name):
        return self.configuration.in_force.services[name]

    def _handle(self, req, caller):
        task, finished = start_request(self.ctx, req, caller)
        finished.addCallback(self.outcomes.append)
        self.tasks.append(task)
        return task

    def _on_target_restart(self, name):
        self.targets.note_start(name, self.view.state(name).born)
        for task in self.tasks:
            task.on_target_restarted(name)

    def caller(self) -> "Caller":
        return Caller(self)

    def digest_of(self, body: bytes) -> bytes:
        """Return the digest of a body that `Caller.send_request` sends with its defaults."""
        headers = [(b"host", b"a.example")]
        return request_digest(CallerRequest(b"POST", b"/x/2f", headers, body, 0.0), "org")

    def run(self, seconds: float = 0.0, step_s: float = 0.05) -> None:
        self.net.advance(0)
        passed = 0.0
        while passed < seconds:
            self.net.advance(min(step_s, seconds - passed))
            passed += step_s
        self.net.advance(0)

    def attempt(self, index: int = -1) -> TargetSide:
        """Return the target's end of a connection of the box, by default the latest."""
        self.run()
        return self.net.opened[index]


class Caller:
    """The caller's end of a connection to the box; `received` holds the bytes received so far."""

    make_transport = RecordingTransport

    def __init__(self, world: World):
        self.world = world
        self.proto: protocol.Protocol = world.factory.buildProtocol(None)
        self.transport = self.make_transport()
        self.transport.proto = self.proto
        self.proto.makeConnection(self.transport)
        _callers.append(self)

    @property
    def received(self) -> bytes:
        return self.transport.value()

    @property
    def status(self) -> int:
        return int(self.received.split(b" ", 2)[1])

    def send(self, data: bytes) -> None:
        self.proto.dataReceived(data)
        self.world.run()

    def send_request(
        self,
        body: bytes | None = None,
        path: bytes = b"/x/2f",
        extra: bytes = b"",
        key: bytes = KEY.encode(),
    ) -> None:
        head = b"%s %s HTTP/1.1\r\nHost: a.example\r\n" % (b"POST" if body else b"GET", path)
        head += b"%s: id-1\r\n%s: 4000\r\n" % (wire.REQUEST_ID, wire.DEADLINE_MS)
        head += b"%s: Bearer %s\r\n" % (wire.AUTHORIZATION, key) + extra
        if body:
            head += b"Content-Length: %d\r\n" % len(body)
        self.send(head + b"\r\n" + (body or b""))

    def disconnect(self) -> None:
        self.transport.closed = "by the caller"
        self.proto.connectionLost(Failure(error.ConnectionDone()))
        self.world.run()


def answer(
    status: int = 200, body: bytes = b"ok", request_id: bytes = b"id-1", extra: bytes = b""
) -> bytes:
    """Return the bytes of a complete answer of a target."""
    return b"HTTP/1.1 %d X\r\n%s: %s\r\n%s: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        wire.REQUEST_ID,
        request_id,
        wire.SIGNATURE,
        body,
        extra,
        len(body),
        body,
    )


def not_run(status: int = 503) -> bytes:
    """Return an answer in which a target states that it did not run the request."""
    return answer(status, b"no", extra=b"%s: 1\r\n" % wire.NOT_RUN)


def stream_head(
    extra: bytes = b"Transfer-Encoding: chunked\r\n", signature: bytes = b"seal-1"
) -> bytes:
    """Return the head of an event stream."""
    return b"HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: %s\r\n%s\r\n" % (
        wire.REQUEST_ID, wire.SIGNATURE, signature, extra,
    )  # fmt: skip


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body; without data, the final chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


class ReceivedAnswer(NamedTuple):
    """What a caller makes of the bytes that it got.

    Parameters
    ----------
    status : int
        The status; 0 without a whole head.
    body : bytes
        The bytes of the body.
    is_whole : bool
        Whether the answer looks whole: by a length or a last chunk, or by an orderly close.
    mark : str
        What marks the end of its body: ``length``, ``chunks``, ``no body`` or ``close``.
    """

    status: int
    body: bytes
    is_whole: bool
    mark: str


def received_answer(caller: Caller, method: bytes = b"POST") -> ReceivedAnswer:
    """Return the answer to the caller's first request, as a client reads it."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target=b"/", headers=[(b"host", b"a.example")]))
    http.send(h11.EndOfMessage())
    status, body, mark = 0, b"", ""
    http.receive_data(caller.received)
    if caller.transport.closed:
        http.receive_data(b"")
    try:
        while True:
            match http.next_event():
                case h11.Response(status_code=status, headers=headers):
                    names = {bytes(name) for name, _value in headers}
                    chunked, sized = b"transfer-encoding" in names, b"content-length" in names
                    mark = "chunks" if chunked else "length" if sized else "close"
                    mark = "no body" if status in (204, 304) or method == b"HEAD" else mark
                case h11.Data(data=data):
                    body += bytes(data)
                case h11.EndOfMessage():
                    # A reset tells the caller that an answer up to the close is not whole.
                    is_whole = mark != "close" or caller.transport.closed == "closed"
                    return ReceivedAnswer(status, body, is_whole, mark)
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return ReceivedAnswer(status, body, False, mark)
    except h11.RemoteProtocolError:
        return ReceivedAnswer(status, body, False, mark)
