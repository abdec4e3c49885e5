"""A limit on the connections to a server; those that wait longest are closed for new ones."""

from twisted.internet import error
from twisted.internet.interfaces import IProtocol, IProtocolFactory, IReactorTime
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure

__all__ = ["LimitedConnections"]


class _CountedConnection(ProtocolWrapper):
    """A connection to the server.

    Attributes
    ----------
    is_busy : bool
        Whether a request is handled; the server sets it.
    progress_s : float
        When the connection began, or something was last written to it.
    """

    def __init__(self, factory: "LimitedConnections", wrapped: IProtocol):
        super().__init__(factory, wrapped)
        self.is_busy = False
        self.progress_s = factory.clock.seconds()

    def write(self, data: bytes) -> None:
        self.progress_s = self.factory.clock.seconds()
        super().write(data)

    def writeSequence(self, rows) -> None:
        self.progress_s = self.factory.clock.seconds()
        super().writeSequence(rows)

    def abort_now(self) -> None:
        """Close the connection; its descriptor is free on return."""
        transport = self.transport
        while isinstance(transport, ProtocolWrapper):
            transport = transport.transport
        transport.abortConnection()
        transport.connectionLost(Failure(error.ConnectionAborted()))


class LimitedConnections(WrappingFactory):
    """Wraps the factory of a server and limits its open connections.

    At the limit, the connection that isn't busy and waits longest is closed for a new one. If all
    are busy, the new one is closed.

    Parameters
    ----------
    wrapped : IProtocolFactory
        The factory.
    clock : IReactorTime
        A monotonic clock.
    limit : int
        The most connections.
    """

    noisy = False
    protocol = _CountedConnection

    def __init__(self, wrapped: IProtocolFactory, clock: IReactorTime, limit: int):
        super().__init__(wrapped)
        self.clock = clock
        self.limit = max(1, limit)

    def buildProtocol(self, addr: object) -> IProtocol | None:
        """Return the protocol of a new connection, None if there are too many."""
        if len(self.protocols) >= self.limit:
            waiting = (conn for conn in self.protocols if not conn.is_busy)
            longest = min(waiting, key=lambda conn: conn.progress_s, default=None)
            if longest is None:
                return None
            longest.abort_now()
        return super().buildProtocol(addr)
