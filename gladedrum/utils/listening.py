"""Supervised listening sockets."""

import logging
import socket
from collections.abc import Callable

from twisted.internet import defer, error
from twisted.internet.interfaces import IListeningPort

from ..errors import GladedrumError

__all__ = ["BACKLOG", "CannotListenError", "Listener", "listen_early"]

BACKLOG = 512
"""Connections that the kernel holds until they are accepted, for each address listened on."""

_log = logging.getLogger(__name__)


class CannotListenError(GladedrumError):
    """An address of the settings cannot be listened on."""


class Listener:
    """A child that owns one listening socket.

    Parameters
    ----------
    name : str
        What is served there, for logs.
    listen : callable
        Opens the socket.
    on_cannot : callable
        Called if the socket cannot be opened the first time.

    Attributes
    ----------
    port : int
        The TCP port, 0 until the socket is open.
    """

    def __init__(
        self,
        name: str,
        listen: Callable[[], defer.Deferred[IListeningPort]],
        on_cannot: Callable[[CannotListenError], None],
    ):
        self.name = name
        self.port = 0
        self._listening: IListeningPort | None = None
        self._listen = listen
        self._on_cannot = on_cannot

    def close(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._listening is not None:
            self._listening.stopListening()

    async def run(self) -> None:
        """Listen until cancelled."""
        try:
            self._listening = listening = await self._listen()
        except error.CannotListenError as exc:
            problem = CannotListenError(f"{self.name}: {exc}")
            if not self.port:
                self._on_cannot(problem)
            raise problem from exc
        self.port = listening.getHost().port
        _log.info("listening", extra={"what": self.name, "port": self.port})
        try:
            await defer.Deferred()
        finally:
            listening.stopListening()


def listen_early(address: tuple[str, int] | None) -> socket.socket | None:
    """Return a listening socket that nobody accepts from yet.

    None if there is no address, or if it cannot be opened: a `Listener` then finds the same and
    reports it.
    """
    if address is None:
        return None
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        return None
    return sock
