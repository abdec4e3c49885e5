"""The callers' connections, counted so that a planned stop can wait for their last bytes."""

from twisted.internet import defer
from twisted.internet.interfaces import IProtocolFactory, IReactorTime
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["CountedConnections"]

_CLOSE_TIME_S = 5.0


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
        self._emptied: defer.Deferred[None] | None = None

    def unregisterProtocol(self, p: ProtocolWrapper) -> None:
        """Note that a connection has ended."""
        super().unregisterProtocol(p)
        if not self.protocols and self._emptied is not None and not self._emptied.called:
            self._emptied.callback(None)

    def close(self) -> defer.Deferred[None]:
        """Close all connections once what was written to them has left; fires then.

        A caller that does not read cannot hold this up for longer than a bound.
        """
        if not self.protocols:
            return defer.succeed(None)
        self._emptied = defer.Deferred()
        for protocol in list(self.protocols):
            protocol.loseConnection()
        self._emptied.addTimeout(_CLOSE_TIME_S, self._clock)
        return self._emptied.addErrback(lambda _failure: None)
