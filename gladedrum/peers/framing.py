"""Framed connections between boxes, whose long frames cost no more than short ones."""

import struct

from thrift.transport.TTwisted import ThriftClientProtocol, ThriftServerFactory
from thrift.transport.TTwisted import ThriftServerProtocol as _ThriftServerProtocol
from twisted.internet import protocol, reactor
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..utils.request_memory import RequestMemory

__all__ = ["PeerClientProtocol", "PeerServerFactory"]

_LENGTH = struct.Struct("!I")

FRAME_COPIES = 2
"""Number of copies of a frame that a connection may hold: as received, and as it is decoded."""


class _WholeFrames:
    """Passes on whole frames only.

    Twisted's receiver copies all that has come of a frame with each read, so that a long frame in
    small reads takes time that grows with the square of its length. Frames above `MAX_LENGTH` end
    the connection as before.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self._pending = bytearray()

    def dataReceived(self, data: bytes) -> None:
        """Collect bytes, and pass on the frames that are whole."""
        pending = self._pending
        pending += data
        while len(pending) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(pending)
            end = _LENGTH.size + length
            if length <= self.MAX_LENGTH and len(pending) < end:
                return
            whole = bytes(pending[:end])
            del pending[:end]
            super().dataReceived(whole)


class PeerClientProtocol(_WholeFrames, ThriftClientProtocol):
    """The calling side."""


class _PeerServerProtocol(_WholeFrames, _ThriftServerProtocol):
    """The answering side, whose unfinished frames are counted (a `RequestHolder`)."""

    def __init__(self, factory: "PeerServerFactory"):
        super().__init__()
        self._clock = factory.clock
        self._share = factory.memory.share(self)
        self._share.begin(self._clock.seconds())

    def dataReceived(self, data: bytes) -> None:
        """Collect bytes, unless there is no memory for them."""
        now_s, received = self._clock.seconds(), len(self._pending) + len(data)
        if not self._share.hold(FRAME_COPIES * received, received, now_s):
            self.refuse_unfinished()
            return
        super().dataReceived(data)
        if not self._pending:
            self._share.release()
            self._share.begin(now_s)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Release the memory of an unfinished frame."""
        self._share.release()
        super().connectionLost(reason)

    def refuse_unfinished(self) -> None:
        """Reset the connection, as the box has no memory for its frame."""
        self._pending = bytearray()
        self._share.release()
        self.transport.abortConnection()


class PeerServerFactory(ThriftServerFactory):
    """Accepts connections of other boxes.

    Attributes
    ----------
    memory : RequestMemory
        The memory for frames that have not come whole; no limit by default.
    clock : IReactorTime
        A monotonic clock.
    """

    noisy = False
    memory = RequestMemory(float("inf"))
    clock = reactor

    def buildProtocol(self, _addr: object) -> _PeerServerProtocol:
        """Return the protocol of another box's connection."""
        conn = _PeerServerProtocol(self)
        conn.factory = self
        return conn

    def use_memory(self, memory: RequestMemory, clock: IReactorTime) -> None:
        """Limit the memory for unfinished frames of all connections."""
        self.memory, self.clock = memory, clock
