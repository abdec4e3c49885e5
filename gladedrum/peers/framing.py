"""Framed connections between boxes, whose long frames cost no more than short ones."""

import struct

from thrift.transport.TTwisted import ThriftClientProtocol, ThriftServerFactory
from thrift.transport.TTwisted import ThriftServerProtocol as _ThriftServerProtocol

__all__ = ["PeerClientProtocol", "PeerServerFactory"]

_LENGTH = struct.Struct("!I")


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
    """The answering side."""


class PeerServerFactory(ThriftServerFactory):
    """Accepts connections of other boxes."""

    protocol = _PeerServerProtocol
    noisy = False
