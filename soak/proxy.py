"""A loopback proxy of one link, which can be harmed while connections are open."""

from dataclasses import dataclass

from twisted.internet import protocol, reactor
from twisted.internet.interfaces import IListeningPort

__all__ = ["Delayed", "LinkMode", "LinkProxy", "OneWay", "Passing", "Resetting", "Silenced"]

LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class Passing:
    """All bytes pass at once."""


@dataclass(frozen=True)
class Delayed:
    """All bytes pass `by_s` seconds later."""

    by_s: float


@dataclass(frozen=True)
class Silenced:
    """Nothing passes; what is sent meanwhile comes when the link is sound again."""


@dataclass(frozen=True)
class OneWay:
    """As `Silenced`, but only towards the caller of the link, or only towards the server."""

    to_caller: bool


@dataclass(frozen=True)
class Resetting:
    """Open connections are reset, and so is each new one."""


LinkMode = Passing | Delayed | Silenced | OneWay | Resetting


class LinkProxy(protocol.Factory):
    """Passes connections on to one server.

    Parameters
    ----------
    server_port : int
        Where the server listens on this machine.
    """

    noisy = False

    def __init__(self, server_port: int):
        self._server_port = server_port
        self._sides: set[_Side] = set()
        self._listening: IListeningPort = reactor.listenTCP(0, self, interface=LOOPBACK)
        self.mode: LinkMode = Passing()

    @property
    def port(self) -> int:
        """Where the proxy listens."""
        return self._listening.getHost().port

    def buildProtocol(self, _addr) -> "_Side":
        """Take a connection and open the one to the server."""
        caller = _Side(self, to_caller=True)
        server = _Side(self, to_caller=False)
        caller.other, server.other = server, caller
        factory = _ServerFactory(server)
        reactor.connectTCP(LOOPBACK, self._server_port, factory)
        return caller

    def set_mode(self, mode: LinkMode) -> None:
        """Harm the link, or make it sound; what was held back comes then."""
        self.mode = mode
        for side in tuple(self._sides):
            match mode:
                case Resetting():
                    side.reset()
                case _:
                    side.flush()

    def add(self, side: "_Side") -> None:
        """Note an open connection."""
        self._sides.add(side)

    def discard(self, side: "_Side") -> None:
        """Note a closed connection."""
        self._sides.discard(side)

    def close(self):
        """Stop listening and reset all connections."""
        for side in tuple(self._sides):
            side.reset()
        return self._listening.stopListening()


class _Side(protocol.Protocol):
    """One of the two connections of a proxied one; holds what is to be written to it."""

    def __init__(self, link: LinkProxy, to_caller: bool):
        self._link = link
        self._to_caller = to_caller
        self._delayed: list[tuple[float, bytes]] = []
        self._held: list[bytes] = []
        self._end_held = False
        self.other: _Side = self

    def connectionMade(self) -> None:
        self._link.add(self)
        self.transport.setTcpNoDelay(True)
        if isinstance(self._link.mode, Resetting):
            self.reset()
        else:
            self.flush()

    def dataReceived(self, data: bytes) -> None:
        self.other.pass_on(data)

    def connectionLost(self, reason=None) -> None:
        self._link.discard(self)
        self.other.pass_end()

    def pass_on(self, data: bytes) -> None:
        """Write bytes of the other side, as the link's mode has it; no bytes are its end."""
        by_s = self._link.mode.by_s if isinstance(self._link.mode, Delayed) else 0.0
        if not by_s and not self._delayed:
            self._hold(data)
            return
        # Never before what came earlier, also when the delay has ended meanwhile.
        earliest_s = self._delayed[-1][0] if self._delayed else 0.0
        due_s = max(earliest_s, reactor.seconds() + by_s)
        self._delayed.append((due_s, data))
        reactor.callLater(due_s - reactor.seconds(), self._hold_next)

    def pass_end(self) -> None:
        """The other side is closed; so is this one, after what is held."""
        self.pass_on(b"")

    def flush(self) -> None:
        """Write what is held, if the link lets it pass."""
        if self._is_blocked() or self.transport is None or not self.transport.connected:
            return
        held, self._held = self._held, []
        if held:
            self.transport.write(b"".join(held))
        if self._end_held:
            self.transport.loseConnection()

    def reset(self) -> None:
        """Reset this connection; the other one follows."""
        self._held = []
        if self.transport is not None and self.transport.connected:
            self.transport.abortConnection()

    def _hold_next(self) -> None:
        self._hold(self._delayed.pop(0)[1])

    def _hold(self, data: bytes) -> None:
        if data:
            self._held.append(data)
        else:
            self._end_held = True
        self.flush()

    def _is_blocked(self) -> bool:
        match self._link.mode:
            case Silenced():
                return True
            case OneWay(to_caller=to_caller):
                return to_caller == self._to_caller
            case _:
                return False


class _ServerFactory(protocol.ClientFactory):
    """Makes the one connection to the server."""

    noisy = False

    def __init__(self, side: _Side):
        self._side = side

    def buildProtocol(self, _addr) -> _Side:
        return self._side

    def clientConnectionFailed(self, connector, reason) -> None:
        self._side.other.reset()
