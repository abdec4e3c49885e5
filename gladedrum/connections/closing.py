"""Closing the connections of callers whose answers end with their connection.

A caller takes such an answer for whole when its connection closes in order. The kernel closes the
connections of a process that dies in that way too, so until such an answer has ended and is written
its connection is set to be reset by whatever closes it.
"""

import socket
import struct
from collections.abc import Callable

from twisted.internet.interfaces import IReadWriteDescriptor, ITCPTransport

__all__ = ["OrderlyClose", "close_if_reset", "is_reset_on_close", "set_reset_on_close"]

_LINGER = struct.Struct("ii")


def set_reset_on_close(transport: ITCPTransport, on: bool) -> None:
    """Set whether the end of a connection, also by the end of the process, resets it."""
    linger = _LINGER.pack(on, 0)
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def is_reset_on_close(transport: ITCPTransport) -> bool:
    """Whether the end of a connection resets it; see `set_reset_on_close`."""
    sock = transport.getHandle()
    linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.size)
    return linger == _LINGER.pack(True, 0)


def close_if_reset(transport: ITCPTransport) -> None:
    """Close the socket of a connection that is lost, if that resets it.

    To be called by the transport's producer when it has to stop. The transport then shuts down its
    socket, unless the connection is aborted: when the reactor stops, and after an exception in the
    handling of its bytes, such as a lack of memory. A shutdown is an orderly end whatever
    `SO_LINGER` says.
    """
    if is_reset_on_close(transport):
        # A descriptor must not be closed while the reactor watches it.
        transport.stopReading()
        transport.stopWriting()
        transport.getHandle().close()


class OrderlyClose:
    """Closes a connection in order once its transport has handed all bytes to the kernel.

    It is a pull producer: the transport asks for more when it has written what it holds.

    Parameters
    ----------
    transport : ITCPTransport
        The transport, with a push producer registered; see `set_reset_on_close`.
    close : callable, optional
        Closes the connection; by default its transport does.
    """

    def __init__(self, transport: ITCPTransport, close: Callable[[], None] | None = None):
        self._transport = transport
        self._close_connection = transport.loseConnection if close is None else close
        self._is_registered = False

    def begin(self) -> None:
        """Close the connection as soon as everything is written."""
        if not IReadWriteDescriptor.providedBy(self._transport):
            self._close()
            return
        self._transport.unregisterProducer()
        # This calls `resumeProducing` at once, whatever is left to write.
        self._transport.registerProducer(self, False)
        self._is_registered = True
        # A transport with nothing left to write asks for more only if it is told to write.
        self._transport.startWriting()

    def resumeProducing(self) -> None:
        """Close the connection: everything is written."""
        if self._is_registered:
            self._transport.unregisterProducer()
            self._close()

    def stopProducing(self) -> None:
        """Reset the connection: it is lost before everything was written."""
        if self._is_registered:
            close_if_reset(self._transport)

    def _close(self) -> None:
        set_reset_on_close(self._transport, False)
        self._close_connection()
