"""Listening sockets under supervision."""

import logging
import socket
from collections.abc import Callable

from twisted.internet import defer, error
from twisted.internet.interfaces import IListeningPort

from ..errors import GladedrumError

__all__ = ["BACKLOG", "CannotListenError", "Listener", "open_early_socket"]

BACKLOG = 512
"""Maximum number of connections per socket that wait to be accepted."""

_log = logging.getLogger(__name__)


class CannotListenError(GladedrumError):
    """A listening socket cannot be opened on an address of the settings."""


class Listener:
    """A supervised task that owns a listening socket.

    Parameters
    ----------
    name : str
        What the socket serves, for logs.
    listen : callable
        Opens the socket.
    on_first_failure : callable
        Called if the socket cannot be opened and has not been open before.

    Attributes
    ----------
    port : int
        The TCP port, 0 until the socket is open.
    """

    def __init__(
        self,
        name: str,
        listen: Callable[[], defer.Deferred[IListeningPort]],
        on_first_failure: Callable[[CannotListenError], None],
    ):
        self.name = name
        self.port = 0
        self._listening: IListeningPort | None = None
        self._listen = listen
        self._on_first_failure = on_first_failure

    def close(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listening is not None:
            self._listening.stopListening()

    async def run(self) -> None:
        """Listen until cancelled."""
        try:
            self._listening = listening = await self._listen()
        except error.CannotListenError as exc:
            problem = CannotListenError(f"{self.name}: {exc}")
            if not self.port:
                self._on_first_failure(problem)
            raise problem from exc
        self.port = listening.getHost().port
        _log.info("listening", extra={"what": self.name, "port": self.port})
        try:
            await defer.Deferred()
        finally:
            listening.stopListening()


def open_early_socket(address: tuple[str, int] | None) -> socket.socket | None:
    """Open a listening socket whose connections are accepted later.

    Returns None without an address, or if the socket cannot be opened: a `Listener` then gets the
    same error and reports it.
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
