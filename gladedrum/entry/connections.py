"""The callers' connections, counted so that a planned stop can wait for their last bytes."""

from twisted.internet import defer
from twisted.internet.interfaces import IProtocolFactory, IReactorTime
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["CountedConnections"]

_MAX_CLOSE_S = 5.0


class CountedConnections(WrappingFactory):
    """Wraps the factory of a server and knows its open connections.

    Parameters
    ----------
    wrapped : IProtocolFactory
        The factory of the server.
    clock : IReactorTime
        Where the bound on closing is waited for.
    """

    noisy = False

    def __init__(self, wrapped: IProtocolFactory, clock: IReactorTime):
        super().__init__(wrapped)
        self._clock = clock
        self._all_closed: defer.Deferred[None] | None = None

    def unregisterProtocol(self, p: ProtocolWrapper) -> None:
        """Note that a connection has ended."""
        super().unregisterProtocol(p)
        if not self.protocols and self._all_closed is not None and not self._all_closed.called:
            self._all_closed.callback(None)

    def close(self) -> defer.Deferred[None]:
        """Close all connections once what was written to them has left; fires then.

        A caller that does not read cannot hold this up for longer than a bound.
        """
        if not self.protocols:
            return defer.succeed(None)
        self._all_closed = defer.Deferred()
        for protocol in list(self.protocols):
            protocol.loseConnection()
        self._all_closed.addTimeout(_MAX_CLOSE_S, self._clock)
        return self._all_closed.addErrback(lambda _failure: None)
