"""A loopback TCP proxy for one link that injects network faults into open connections."""

import itertools
from dataclasses import dataclass

from twisted.internet import protocol, reactor
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IDelayedCall, IListeningPort

__all__ = [
    "Delayed",
    "LinkMode",
    "LinkProxy",
    "Losing",
    "OneWay",
    "Passing",
    "Resetting",
    "ResettingReads",
    "Silenced",
    "Throttled",
]

LARGE_ANSWER_BYTES = 30_000
"""Size in bytes from which `ResettingReads` resets the connection of an answer."""


FLUSH_S = 0.01
"""Time for the bytes before a reset to leave, in seconds; a reset drops what has not left."""

RETRANSMIT_S, OPENING_RETRANSMIT_S = 0.2, 1.0
"""Time after which TCP first sends lost bytes again, and a lost opening packet, in seconds."""

LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class Passing:
    """All bytes pass without delay."""


@dataclass(frozen=True)
class Delayed:
    """All bytes pass with a delay of `by_s` seconds."""

    by_s: float


@dataclass(frozen=True)
class Silenced:
    """No bytes pass; they are held back until the mode changes."""


@dataclass(frozen=True)
class Losing:
    """All bytes are lost; TCP sends them again, at intervals that double (see `RETRANSMIT_S`).

    So a connection that is opened or used meanwhile stays silent for a while after the end, too.
    """


@dataclass(frozen=True)
class OneWay:
    """As `Silenced`, but only towards the connecting side (`to_caller`) or towards the server."""

    to_caller: bool


@dataclass(frozen=True)
class Resetting:
    """Open and new connections are reset."""


@dataclass(frozen=True)
class ResettingReads:
    """The next `count` large answers are reset before their end."""

    count: int


@dataclass(frozen=True)
class Throttled:
    """Bytes to the connecting side pass at `bytes_per_s`, on each connection."""

    bytes_per_s: float


LinkMode = (
    Passing | Delayed | Silenced | Losing | OneWay | Resetting | ResettingReads | Throttled
)  # fmt: skip


class LinkProxy(protocol.Factory):
    """Forwards connections to one server and applies the current `mode` to them.

    Parameters
    ----------
    server_port : int
        Port of the server on this machine.
    port : int
        Port to listen on; 0 lets the system choose.

    Attributes
    ----------
    mode : LinkMode
        What the link does.
    outlives_s : float or None
        After how long the proxy closes, in order, connections that it accepts while the server
        takes none, in seconds; None to reset them.
    """

    noisy = False

    def __init__(self, server_port: int, port: int = 0):
        self._server_port = server_port
        self._sides: set[_Side] = set()
        self._listening: IListeningPort = reactor.listenTCP(port, self, interface=LOOPBACK)
        self._resets_left = 0
        self.outlives_s: float | None = None
        self.mode: LinkMode = Passing()

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        return self._listening.getHost().port

    def buildProtocol(self, _addr) -> "_Side":
        """Accept a connection and open its counterpart to the server."""
        caller = _Side(self, to_caller=True)
        server = _Side(self, to_caller=False)
        caller.other, server.other = server, caller
        factory = _ServerFactory(server)
        reactor.connectTCP(LOOPBACK, self._server_port, factory)
        return caller

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode, also for open connections; bytes that it no longer blocks are sent."""
        self.mode = mode
        self._resets_left = mode.count if isinstance(mode, ResettingReads) else 0
        for side in tuple(self._sides):
            match mode:
                case Resetting():
                    side.reset()
                case _:
                    side.resume()
                    side.flush()

    def resets_answer(self, received_bytes: int) -> bool:
        """Return whether to reset an answer of so many bytes, and count the reset."""
        resets = self._resets_left > 0 and received_bytes > LARGE_ANSWER_BYTES
        self._resets_left -= resets
        return resets

    def add(self, side: "_Side") -> None:
        """Register an open connection."""
        self._sides.add(side)

    def discard(self, side: "_Side") -> None:
        """Unregister a closed connection."""
        self._sides.discard(side)

    def close(self):
        """Stop listening and reset all connections."""
        for side in tuple(self._sides):
            side.reset()
        return self._listening.stopListening()


class _Side(protocol.Protocol):
    """One of the two TCP connections that the proxy joins, with the bytes to be written to it."""

    def __init__(self, link: LinkProxy, to_caller: bool):
        self._link = link
        self._to_caller = to_caller
        self._delayed: list[tuple[float, bytes]] = []
        self._held: list[bytes] = []
        self._end_held = self._reset_held = False
        self._lost_s: float | None = None
        self._retransmit_s = 0.0
        self._resuming: IDelayedCall | None = None
        self._answer_bytes = 0
        self.other: _Side = self

    def connectionMade(self) -> None:
        self._link.add(self)
        self.transport.setTcpNoDelay(True)
        if isinstance(self._link.mode, Resetting):
            self.reset()
            return
        self._lose(OPENING_RETRANSMIT_S)
        self.flush()

    def dataReceived(self, data: bytes) -> None:
        self.other.pass_on(data)

    def connectionLost(self, reason=None) -> None:
        self._link.discard(self)
        if self._resuming is not None:
            self._resuming.cancel()
            self._resuming = None
        # An answer without a length looks whole after an orderly close only.
        self.other.pass_end(is_reset=reason is not None and not reason.check(ConnectionDone))

    def pass_on(self, data: bytes) -> None:
        """Write, delay or hold back bytes from the other side, depending on the link's mode.

        ``b""`` means that the other side is closed.
        """
        self._answer_bytes += len(data)
        self.other._answer_bytes = 0
        if self._to_caller and self._link.resets_answer(self._answer_bytes):
            self.reset()
            return
        by_s = self._delay_s(len(data))
        if not by_s and not self._delayed:
            self._hold(data)
            return
        # Keep the order of bytes, also if the delay has ended meanwhile.
        earliest_s = self._delayed[-1][0] if self._delayed else 0.0
        match self._link.mode:
            case Throttled():
                due_s = max(earliest_s, reactor.seconds()) + by_s
            case _:
                due_s = max(earliest_s, reactor.seconds() + by_s)
        self._delayed.append((due_s, data))
        reactor.callLater(max(0.0, due_s - reactor.seconds()), self._hold_next)

    def _delay_s(self, size_bytes: int) -> float:
        match self._link.mode:
            case Delayed(by_s=by_s):
                return by_s
            case Throttled(bytes_per_s=bytes_per_s) if self._to_caller:
                return size_bytes / bytes_per_s
            case _:
                return 0.0

    def pass_end(self, is_reset: bool = False) -> None:
        """Close or reset this side after its pending bytes, as the other side was."""
        if self.transport is not None and not self.transport.connected:
            return
        self._reset_held = is_reset
        self.pass_on(b"")

    def flush(self) -> None:
        """Write the bytes held back unless the link's mode blocks them."""
        if self._is_blocked() or self.transport is None or not self.transport.connected:
            return
        held, self._held = self._held, []
        if held:
            self.transport.write(b"".join(held))
        if self._end_held and self._reset_held:
            reactor.callLater(FLUSH_S, self.reset)
        elif self._end_held:
            self.transport.loseConnection()

    def lose_server(self) -> None:
        """Close this connection, as the server takes none."""
        if self._link.outlives_s is None:
            self.reset()
        else:
            reactor.callLater(self._link.outlives_s, self.pass_on, b"")

    def reset(self) -> None:
        """Reset this connection, which closes the other one."""
        self._held = []
        if self.transport is not None and self.transport.connected:
            self.transport.abortConnection()

    def _hold_next(self) -> None:
        self._hold(self._delayed.pop(0)[1])

    def _hold(self, data: bytes) -> None:
        self._lose()
        if data:
            self._held.append(data)
        else:
            self._end_held = True
        self.flush()

    def _lose(self, retransmit_s: float = RETRANSMIT_S) -> None:
        """Record the first bytes that the link loses on this connection."""
        if isinstance(self._link.mode, Losing) and self._lost_s is None:
            for side in (self, self.other):
                side._lost_s, side._retransmit_s = reactor.seconds(), retransmit_s

    def _sent_again_in_s(self) -> float:
        """Return in how many seconds TCP sends lost bytes again, 0 if none are lost."""
        if self._lost_s is None:
            return 0.0
        passed_s = reactor.seconds() - self._lost_s
        sent_s = (self._retransmit_s * (2**count - 1) for count in itertools.count(1))
        return next(at_s for at_s in sent_s if at_s > passed_s) - passed_s

    def resume(self) -> None:
        """Pass bytes again after the link has lost some, once TCP sends them again."""
        if self._lost_s is not None and self._resuming is None:
            self._resuming = reactor.callLater(self._sent_again_in_s(), self._resume)

    def _resume(self) -> None:
        self._resuming = None
        if not isinstance(self._link.mode, Losing):
            self._lost_s = None
            self.flush()

    def _is_blocked(self) -> bool:
        if self._lost_s is not None or isinstance(self._link.mode, Losing):
            return True
        match self._link.mode:
            case Silenced():
                return True
            case OneWay(to_caller=to_caller):
                return to_caller == self._to_caller
            case _:
                return False


class _ServerFactory(protocol.ClientFactory):
    """Creates the connection to the server."""

    noisy = False

    def __init__(self, side: _Side):
        self._side = side

    def buildProtocol(self, _addr) -> _Side:
        return self._side

    def clientConnectionFailed(self, connector, reason) -> None:
        self._side.other.lose_server()
