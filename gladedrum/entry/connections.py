"""Tracking of callers' connections, so that a planned stop can flush them."""

from twisted.internet import defer
from twisted.internet.interfaces import IProtocolFactory, IReactorTime
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["TrackedConnections"]

_MAX_CLOSE_S = 5.0


class TrackedConnections(WrappingFactory):
    """Wraps the protocol factory of a server and tracks its open connections.

    Parameters
    ----------
    wrapped : IProtocolFactory
        Protocol factory of the server.
    clock : IReactorTime
        Timer for the time limit of `close`.
    """

    noisy = False

    def __init__(self, wrapped: IProtocolFactory, clock: IReactorTime):
        super().__init__(wrapped)
        self._clock = clock
        self._all_closed: defer.Deferred[None] | None = None

    def buildProtocol(self, addr: object) -> ProtocolWrapper | None:
        """Return the protocol of a new connection, None if the wrapped factory takes none."""
        wrapped = self.wrappedFactory.buildProtocol(addr)
        return None if wrapped is None else self.protocol(self, wrapped)

    def unregisterProtocol(self, p: ProtocolWrapper) -> None:
        """Remove a connection that has ended."""
        super().unregisterProtocol(p)
        if not self.protocols and self._all_closed is not None and not self._all_closed.called:
            self._all_closed.callback(None)

    def close(self) -> defer.Deferred[None]:
        """Flush and close all connections; the deferred fires when they are closed.

        It also fires after `_MAX_CLOSE_S`, so that a caller that does not read cannot block a stop.
        """
        if not self.protocols:
            return defer.succeed(None)
        self._all_closed = defer.Deferred()
        for protocol in list(self.protocols):
            protocol.loseConnection()
        self._all_closed.addTimeout(_MAX_CLOSE_S, self._clock)
        return self._all_closed.addErrback(lambda _failure: None)
