"""Client side of tunnels: a connection to a target through a peer, by HTTP ``CONNECT``."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import h11
from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure

from ..connections.target_conn import TargetConnection, set_socket_options
from ..errors import GladedrumError
from .carriers import Carrier
from .framing import FrameDecoder

__all__ = [
    "BOX_HEADER",
    "FRAMES_HEADER",
    "LOAD_HEADER",
    "REQUEST_HEADER",
    "TARGET_HEADER",
    "TUNNEL_HEADER",
    "TunnelFailedError",
    "TunnelRequest",
    "open_tunnel",
]

TARGET_HEADER, BOX_HEADER, REQUEST_HEADER = b"x-target", b"x-box", b"x-request"
"""Headers of a request for a tunnel: the target's name, the box that asks, and the id of the
request that the tunnel is opened for."""

FRAMES_HEADER = b"x-frames"
"""Header of the request and of the answer: the box accepts frames (see `framing`), and the carrier
sends them. Carriers of earlier versions send bare bytes, and earlier boxes get them."""

LOAD_HEADER, TUNNEL_HEADER = b"x-load", b"x-tunnel"
"""Headers of the answer: the carrier's requests and tunnels, and the tunnel's number in its log."""

CARRIER_CONNECT_TIMEOUT_S = 0.25
"""Timeout of the connection to a carrier, in seconds; a peer accepts within milliseconds."""

_MAX_HEAD_BYTES = 4096


class TunnelFailedError(GladedrumError):
    """A carrier has not opened a tunnel; nothing was sent to the target.

    Parameters
    ----------
    reason : str
        Why.
    status : int
        The carrier's answer: 502 if it does not reach the target, 503 if it carries none now; 0
        if it did not answer.
    """

    def __init__(self, reason: str, status: int = 0):
        self.status = status
        super().__init__(reason)


class TunnelRequest(NamedTuple):
    """What a box asks of a carrier.

    Parameters
    ----------
    box, target : str
        Names of the asking box and of the target.
    address : (str, int)
        The target's address.
    request_id : str
        The request that the tunnel is opened for, empty if it is none of a caller.
    """

    box: str
    target: str
    address: tuple[str, int]
    request_id: str = ""


def open_tunnel(
    reactor: IReactorTCP,
    carrier: Carrier,
    req: TunnelRequest,
    make_conn: Callable[[], TargetConnection],
    on_load: Callable[[int], None],
    on_closed: Callable[[], None],
) -> defer.Deferred[TargetConnection]:
    """Open a connection to a target through a carrier.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connection.
    carrier : Carrier
        The peer.
    req : TunnelRequest
        What to ask of it.
    make_conn : callable
        Returns the protocol that uses the tunnel once it is open.
    on_load : callable
        Called with the load that the carrier states.
    on_closed : callable
        Called when an open tunnel has ended.

    Returns
    -------
    Deferred
        Fires with the protocol; fails with `TunnelFailedError`. Cancelling it closes the
        connection.
    """
    opened: defer.Deferred[TargetConnection] = defer.Deferred(lambda _opened: client.cancel())
    client = _TunnelClient(req, make_conn, opened, on_load, on_closed)
    factory = protocol.Factory.forProtocol(lambda: client)
    factory.noisy = False
    endpoint = TCP4ClientEndpoint(reactor, *carrier.address, timeout=CARRIER_CONNECT_TIMEOUT_S)
    client.connecting = endpoint.connect(factory)
    client.connecting.addErrback(client.not_connected)
    return opened


class _TunnelClient(protocol.Protocol):
    """Asks for a tunnel, then passes everything on to the protocol that uses it."""

    def __init__(
        self,
        req: TunnelRequest,
        make_conn: Callable[[], TargetConnection],
        opened: defer.Deferred[TargetConnection],
        on_load: Callable[[int], None],
        on_closed: Callable[[], None],
    ):
        self._req = req
        self._make_conn = make_conn
        self._opened: defer.Deferred[TargetConnection] | None = opened
        self._on_load = on_load
        self._on_closed = on_closed
        self._http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._conn: TargetConnection | None = None
        self._frames: FrameDecoder | None = None
        self._is_over = False
        self.connecting: defer.Deferred[protocol.Protocol] | None = None

    def cancel(self) -> None:
        """Give up; the deferred that is cancelled fails by itself."""
        self._opened = None
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connecting is not None:
            self.connecting.cancel()

    def not_connected(self, failure: Failure) -> None:
        """Handle that the carrier could not be reached."""
        self._fail(TunnelFailedError(f"carrier not reached: {failure.getErrorMessage()}"))

    def connectionMade(self) -> None:
        if self._opened is None:
            self.transport.abortConnection()
            return
        set_socket_options(self.transport)
        host, port = self._req.address
        authority = f"{host}:{port}".encode()
        headers = [
            (b"host", authority),
            (TARGET_HEADER, self._req.target.encode()),
            (BOX_HEADER, self._req.box.encode()),
            (REQUEST_HEADER, self._req.request_id.encode()),
            (FRAMES_HEADER, b"1"),
        ]
        head = h11.Request(method=b"CONNECT", target=authority, headers=headers)
        self.transport.write(self._http.send(head))

    def dataReceived(self, data: bytes) -> None:
        if self._conn is not None:
            if not self._is_over:
                self._pass_on(data)
            return
        if self._opened is None:
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            self._fail(TunnelFailedError(f"the carrier's answer is malformed: {exc}"))
            return
        match event:
            case h11.Response():
                self._handle_answer(event)
            case h11.InformationalResponse():
                self._fail(TunnelFailedError("the carrier's answer is an interim one"))

    def _handle_answer(self, answer: h11.Response) -> None:
        headers = dict(answer.headers)
        load = headers.get(LOAD_HEADER, b"")
        if load.isdigit():
            self._on_load(int(load))
        if answer.status_code != HTTPStatus.OK:
            reason = bytes(answer.reason).decode("latin-1")
            self._fail(TunnelFailedError(reason, answer.status_code))
            return
        if FRAMES_HEADER in headers:
            self._frames = FrameDecoder()
        self._conn = self._make_conn()
        self._conn.tunnel_id = headers.get(TUNNEL_HEADER, b"").decode("latin-1")
        self._conn.makeConnection(self.transport)
        opened, self._opened = self._opened, None
        extra_bytes, _closed = self._http.trailing_data
        opened.callback(self._conn)
        if extra_bytes:
            self._pass_on(extra_bytes)

    def _pass_on(self, data: bytes) -> None:
        if self._frames is None:
            self._conn.dataReceived(data)
            return
        if data := b"".join(self._frames.feed(data)):
            self._conn.dataReceived(data)
        if self._frames.ended:
            # The target has ended in an orderly way, however the connection to the carrier ends.
            self._end(Failure(error.ConnectionDone()))
            self.transport.abortConnection()

    def _end(self, reason: Failure) -> None:
        """Report the end of the tunnel once."""
        if not self._is_over:
            self._is_over = True
            self._on_closed()
            self._conn.connectionLost(reason)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self._conn is not None:
            cut = Failure(error.ConnectionLost("the tunnel was cut"))
            self._end(cut if reason.check(error.ConnectionDone) else reason)
            return
        text = "the carrier closed the connection"
        if not reason.check(error.ConnectionDone):
            text = f"{text}: {reason.getErrorMessage()}"
        self._fail(TunnelFailedError(text))

    def _fail(self, exc: TunnelFailedError) -> None:
        opened, self._opened = self._opened, None
        if self.transport is not None:
            self.transport.abortConnection()
        if opened is not None:
            opened.errback(exc)
