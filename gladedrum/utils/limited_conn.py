"""Connections of the HTTP client that are closed if an answer is too long."""

from collections.abc import Callable, Iterable

from twisted.internet import defer, error
from twisted.internet.interfaces import IProtocol, IProtocolFactory, IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from zope.interface import implementer

__all__ = ["LimitedEndpoint"]


@implementer(IStreamClientEndpoint)
class LimitedEndpoint:
    """An endpoint whose connections are closed if too many bytes answer one request.

    Parameters
    ----------
    endpoint : IStreamClientEndpoint
        Opens the connections.
    max_bytes : float
        The most bytes that may come after a request was written, heads included.
    note_reset : callable
        Called with True before, and with False after, a protocol handles a connection that was
        lost in another way than by an orderly end. HTTP clients of Twisted don't pass on which.
    """

    def __init__(
        self,
        endpoint: IStreamClientEndpoint,
        max_bytes: float,
        note_reset: Callable[[bool], None],
    ):
        self._endpoint = endpoint
        self._max_bytes = max_bytes
        self._note_reset = note_reset

    def connect(self, factory: IProtocolFactory) -> defer.Deferred[IProtocol]:
        """Connect; the deferred fires with the protocol of the factory."""
        wrapping = _LimitingFactory(factory, self._max_bytes, self._note_reset)
        return self._endpoint.connect(wrapping).addCallback(lambda conn: conn.wrappedProtocol)


class _LimitedConnection(ProtocolWrapper):
    _received_bytes = 0

    def write(self, data: bytes) -> None:
        self._received_bytes = 0
        super().write(data)

    def writeSequence(self, rows: Iterable[bytes]) -> None:
        self._received_bytes = 0
        super().writeSequence(rows)

    def dataReceived(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > self.factory.max_bytes:
            self.transport.abortConnection()
        else:
            super().dataReceived(data)

    def connectionLost(self, reason: Failure) -> None:
        if reason.check(error.ConnectionDone):
            super().connectionLost(reason)
            return
        self.factory.note_reset(True)
        try:
            super().connectionLost(reason)
        finally:
            self.factory.note_reset(False)


class _LimitingFactory(WrappingFactory):
    protocol = _LimitedConnection
    noisy = False

    def __init__(
        self, factory: IProtocolFactory, max_bytes: float, note_reset: Callable[[bool], None]
    ):
        super().__init__(factory)
        self.max_bytes = max_bytes
        self.note_reset = note_reset
