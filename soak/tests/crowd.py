"""Many connections that send the same bytes and stay open."""

import contextlib
import selectors
import socket
import time

__all__ = ["Crowd"]

QUIET_S = 2.0
"""The crowd stops sending once no connection has taken a byte for this long, in seconds."""

MAX_S = 25.0
"""The crowd stops sending after this time, in seconds; paced connections take bytes for longer."""

SLICE_BYTES = 262_144


class Crowd:
    """Connections to one address; a context manager, which closes them.

    Parameters
    ----------
    address : (str, int)
        Where they connect.
    payload : bytes
        What each of them sends.
    count : int
        Number of connections.
    """

    def __init__(self, address: tuple[str, int], payload: bytes, count: int):
        self._address = address
        self._payload = memoryview(payload)
        self._count = count
        self._selector = selectors.DefaultSelector()
        self._sent: dict[socket.socket, int] = {}

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_exc: object) -> None:
        for sock in self._sent:
            sock.close()
        self._selector.close()

    def send(self) -> None:
        """Open the connections and send until all is sent, refused or not taken any more."""
        for _ in range(self._count):
            with contextlib.suppress(OSError):
                self._open()
        end_s = time.monotonic() + MAX_S
        progress_s = time.monotonic()
        while self._selector.get_map() and time.monotonic() < end_s:
            ready = self._selector.select(0.1)
            taken = [self._write(key.fileobj) for key, _events in ready]
            if any(taken):
                progress_s = time.monotonic()
            elif time.monotonic() - progress_s > QUIET_S:
                return

    def _open(self) -> None:
        sock = socket.create_connection(self._address, 5.0)
        sock.setblocking(False)
        self._sent[sock] = 0
        self._selector.register(sock, selectors.EVENT_WRITE)

    def _write(self, sock: socket.socket) -> bool:
        """Send a part; return whether any byte was taken."""
        first = self._sent[sock]
        try:
            count = sock.send(self._payload[first : first + SLICE_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self._selector.unregister(sock)
            return False
        self._sent[sock] += count
        if self._sent[sock] == len(self._payload):
            self._selector.unregister(sock)
        return True
