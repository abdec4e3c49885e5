"""Server side of tunnels: a box opens connections to targets for peers, and copies bytes.

Bytes are copied as they come, in both directions, and each side is read only as fast as the other
one takes them. Those from the target are framed (see `framing`), so that its orderly end can be
told from that of this process: an answer without a length that was cut off must not look whole. A
reset is passed on as a reset.
"""

import itertools
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import h11
from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure

from ..connections.target_conn import set_socket_options
from ..fleet import TargetEntry
from .framing import END_FRAME, MAX_FRAME_BYTES, frame_header
from .tunnel_client import (
    BOX_HEADER,
    FRAMES_HEADER,
    LOAD_HEADER,
    REQUEST_HEADER,
    TARGET_HEADER,
    TUNNEL_HEADER,
)

__all__ = ["CarrierLimits", "CarrierPolicy", "Refusal", "TunnelServer"]

TARGET_CONNECT_TIMEOUT_S = 0.6
"""Timeout of the connection to a target, in seconds: below that of a box's own connections, so that
the asking box gets an answer before it gives up."""

HEAD_TIMEOUT_S = 2.0
"""How long a peer may take to send its request, in seconds."""

LINK_SHARE = 0.5
"""The share of the link that tunnels may use; the rest is for this box's own callers."""

RATE_WINDOW_S = 1.0
"""Time over which the bytes of tunnels are averaged, in seconds."""

_MAX_HEAD_BYTES = 4096

_log = logging.getLogger(__name__)

_numbers = itertools.count(1)


class CarrierLimits(NamedTuple):
    """How much a box carries for others.

    Parameters
    ----------
    tunnels : int
        The most tunnels; 0 carries none.
    link_bytes_per_s : float
        The bandwidth of its link in bytes per second, 0 if unknown.
    """

    tunnels: int
    link_bytes_per_s: float = 0.0


class Refusal(NamedTuple):
    """Why a tunnel is refused: 502 if the target is not reached, 503 if none is carried now."""

    status: HTTPStatus
    reason: str


class CarrierPolicy(NamedTuple):
    """What the server needs to know of its box.

    Parameters
    ----------
    limits : callable
        Returns the `CarrierLimits` in force.
    entry_of : callable
        Returns the listed target with a name, None if there is none.
    is_impaired : callable
        Whether this box's own link to a target is impaired.
    own_load : callable
        Returns the number of the box's own requests.
    note_connected, note_failed : callable
        Record what came of a connection over the own link, by the target's entry; a failure with
        its reason.
    """

    limits: Callable[[], CarrierLimits]
    entry_of: Callable[[str], TargetEntry | None]
    is_impaired: Callable[[TargetEntry], bool]
    own_load: Callable[[], int]
    note_connected: Callable[[TargetEntry], None]
    note_failed: Callable[[TargetEntry, str], None]


class TunnelServer(protocol.Factory):
    """Accepts tunnels of peers.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections, and times them.
    policy : CarrierPolicy
        Decides what is carried.

    Attributes
    ----------
    opened, refused : int
        How many tunnels were opened and refused so far.
    carried_bytes : int
        How many bytes were copied so far, both directions together.
    is_draining : bool
        Whether the box is stopping, so that no new tunnels are opened.
    """

    noisy = False

    def __init__(self, reactor, policy: CarrierPolicy):
        self.reactor = reactor
        self.policy = policy
        self.tunnels: set[_PeerSide] = set()
        self.opened = self.refused = self.carried_bytes = 0
        self.is_draining = False
        self._window_began_s = reactor.seconds()
        self._window_bytes = 0
        self._bytes_per_s = 0.0
        self._all_closed: list[defer.Deferred[None]] = []

    def buildProtocol(self, _addr: object) -> "_PeerSide":
        """Return the protocol of a peer's connection."""
        return _PeerSide(self)

    def check(self, entry: TargetEntry | None, address: str) -> Refusal | None:
        """Return why a tunnel to a target is refused now, None if it may be opened."""
        if self.is_draining:
            return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "draining")
        if entry is None or f"{entry.host}:{entry.port}" != address:
            return Refusal(HTTPStatus.BAD_GATEWAY, "target not listed")
        if self.policy.is_impaired(entry):
            return Refusal(HTTPStatus.BAD_GATEWAY, "own link impaired")
        limits = self.policy.limits()
        if len(self.tunnels) > limits.tunnels:
            return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "too many tunnels")
        link = limits.link_bytes_per_s
        # Carried bytes pass the link twice, in and out; the directions of a link don't share.
        if link and self.bytes_per_s > LINK_SHARE * link:
            return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "link in use")
        return None

    @property
    def load(self) -> int:
        """The box's own requests and the tunnels that it carries."""
        return self.policy.own_load() + len(self.tunnels)

    @property
    def bytes_per_s(self) -> float:
        """Bytes copied per second, over the last `RATE_WINDOW_S` or so."""
        passed_s = self.reactor.seconds() - self._window_began_s
        if passed_s >= RATE_WINDOW_S:
            self._bytes_per_s = self._window_bytes / passed_s
            self._window_began_s, self._window_bytes = self.reactor.seconds(), 0
        return self._bytes_per_s

    def note_copied(self, count: int) -> None:
        """Count copied bytes."""
        self.carried_bytes += count
        self._window_bytes += count

    def when_all_closed(self) -> defer.Deferred[None]:
        """Return a deferred that fires once no tunnel is open; it can be cancelled."""
        done: defer.Deferred[None] = defer.Deferred(lambda _done: self._all_closed.remove(done))
        if self.tunnels:
            self._all_closed.append(done)
        else:
            done.callback(None)
        return done

    def discard(self, side: "_PeerSide") -> None:
        """Unregister a peer's connection."""
        self.tunnels.discard(side)
        if not self.tunnels:
            waiting, self._all_closed = self._all_closed, []
            for done in waiting:
                done.callback(None)

    def abort_all(self) -> None:
        """Reset all tunnels, at the end of the process."""
        for side in tuple(self.tunnels):
            side.transport.abortConnection()


class _Half(protocol.Protocol):
    """One of the two connections of a tunnel; copies what it receives to the `other` one."""

    def __init__(self, server: TunnelServer):
        self._server = server
        self.other: _Half | None = None

    def join(self, other: "_Half") -> None:
        """Join two open connections."""
        self.other, other.other = other, self
        self.transport.registerProducer(other.transport, True)
        other.transport.registerProducer(self.transport, True)

    def _end_other(self, reason: Failure) -> None:
        other, self.other = self.other, None
        if other is None:
            return
        other.other = None
        # A transport with a producer closes only once the producer has been unregistered.
        other.transport.unregisterProducer()
        if reason.check(error.ConnectionDone):
            other.transport.loseConnection()
        else:
            other.transport.abortConnection()


class _TargetSide(_Half):
    """The connection to the target; what it receives is framed if the peer accepts frames."""

    def __init__(self, server: TunnelServer, is_framed: bool):
        super().__init__(server)
        self._is_framed = is_framed

    def connectionMade(self) -> None:
        set_socket_options(self.transport)
        if self._is_framed:
            self.transport.bufferSize = MAX_FRAME_BYTES

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self.transport.abortConnection()
            return
        self._server.note_copied(len(data))
        header = frame_header(len(data)) if self._is_framed else b""
        self.other.transport.write(header + data)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self._is_framed and self.other is not None and reason.check(error.ConnectionDone):
            self.other.transport.write(END_FRAME)
        self._end_other(reason)


class _PeerSide(_Half):
    """The connection of the peer that asks for the tunnel."""

    def __init__(self, server: TunnelServer):
        super().__init__(server)
        self._http = h11.Connection(h11.SERVER, _MAX_HEAD_BYTES)
        self._connecting: defer.Deferred | None = None
        self._head_timer: IDelayedCall | None = None
        self._asked = False
        self._is_framed = False

    def connectionMade(self) -> None:
        self._server.tunnels.add(self)
        set_socket_options(self.transport)
        self._head_timer = self._server.reactor.callLater(
            HEAD_TIMEOUT_S, self.transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:
        if self.other is not None:
            self._server.note_copied(len(data))
            self.other.transport.write(data)
            return
        if self._asked:
            # Nothing may be sent before the tunnel is open.
            self.transport.abortConnection()
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            _log.warning("malformed request for a tunnel", extra={"reason": str(exc)})
            self.transport.abortConnection()
            return
        if isinstance(event, h11.Request):
            self._handle_request(event)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self._server.discard(self)
        self._stop_head_timer()
        if self._connecting is not None:
            self._connecting.cancel()
        self._end_other(reason)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None and self._head_timer.active():
            self._head_timer.cancel()

    def _handle_request(self, req: h11.Request) -> None:
        self._asked = True
        # Not closed for a new connection; see `LimitedConnections`.
        self.transport.is_busy = True
        self._stop_head_timer()
        if req.method != b"CONNECT":
            self.transport.abortConnection()
            return
        headers = dict(req.headers)
        asked = {
            "peer": headers.get(BOX_HEADER, b"").decode("latin-1"),
            "target": headers.get(TARGET_HEADER, b"").decode("latin-1"),
            "request_id": headers.get(REQUEST_HEADER, b"").decode("latin-1"),
        }
        entry = self._server.policy.entry_of(asked["target"])
        refusal = self._server.check(entry, req.target.decode("latin-1"))
        if refusal is not None:
            self._refuse(refusal, asked)
            return
        self._is_framed = FRAMES_HEADER in headers
        factory = protocol.Factory.forProtocol(lambda: _TargetSide(self._server, self._is_framed))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._server.reactor, entry.host, entry.port, timeout=TARGET_CONNECT_TIMEOUT_S
        )
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(
            self._connected,
            self._not_connected,
            callbackArgs=(entry, asked),
            errbackArgs=(entry, asked),
        )

    def _connected(self, target: _TargetSide, entry: TargetEntry, asked: dict[str, str]) -> None:
        self._connecting = None
        number = next(_numbers)
        self._server.opened += 1
        self._server.policy.note_connected(entry)
        _log.info("tunnel opened for a peer", extra={**asked, "tunnel": number})
        headers = [
            (LOAD_HEADER, str(self._server.load).encode()),
            (TUNNEL_HEADER, str(number).encode()),
        ]
        if self._is_framed:
            headers.append((FRAMES_HEADER, b"1"))
        answer = h11.Response(status_code=HTTPStatus.OK, headers=headers, reason=b"OK")
        self.transport.write(self._http.send(answer))
        self.join(target)

    def _not_connected(self, failure: Failure, entry: TargetEntry, asked: dict[str, str]) -> None:
        self._connecting = None
        if failure.check(defer.CancelledError, error.ConnectingCancelledError):
            return
        reason = failure.getErrorMessage()
        self._server.policy.note_failed(entry, reason)
        self._refuse(Refusal(HTTPStatus.BAD_GATEWAY, reason), asked)

    def _refuse(self, refusal: Refusal, asked: dict[str, str]) -> None:
        self._server.refused += 1
        extra = {**asked, "status": int(refusal.status), "reason": refusal.reason}
        _log.info("tunnel refused", extra=extra)
        headers = [
            (LOAD_HEADER, str(self._server.load).encode()),
            (b"content-length", b"0"),
            (b"connection", b"close"),
        ]
        reason = " ".join(refusal.reason.split())[:100].encode("ascii", "replace")
        answer = h11.Response(status_code=refusal.status, headers=headers, reason=reason)
        self.transport.write(self._http.send(answer) + self._http.send(h11.EndOfMessage()))
        self.transport.loseConnection()
