"""Connections to other boxes, calls over them, and heartbeats that detect lost peers.

Heartbeats are sent while a call is pending or the peer is suspected. If a heartbeat is not
answered in time, because the peer has died, is frozen or cannot be reached, the peer becomes
suspected and all calls pending on its connection fail at once.
"""

from collections.abc import Callable
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IReactorTime

from ..config import Item, Settings
from ..errors import GladedrumError
from ..platform import Box
from ..utils import repeat, with_timeout
from .framing import PeerClientProtocol
from .membership import Membership
from .wire import Peer

__all__ = ["HEARTBEAT_INTERVAL", "HEARTBEAT_TIMEOUT", "PeerLink", "PeerLostError", "Peers"]

HEARTBEAT_INTERVAL = Item(
    "peers", "heartbeat_interval_s", 1.0,
    "How often a box from which an answer is awaited, or that is suspected, is asked for a sign.",
    unit="s", minimum=0.05, maximum=60,
)  # fmt: skip
HEARTBEAT_TIMEOUT = Item(
    "peers", "heartbeat_timeout_s", 1.5, "How long a sign of another box may take.",
    unit="s", minimum=0.05, maximum=60,
)  # fmt: skip

_PROTOCOL = TCompactProtocolAcceleratedFactory()


class PeerLostError(GladedrumError):
    """A call to another box failed or was not answered."""


class PeerLink:
    """The connection to one other box, opened on first use.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Runs the connection and the timers.
    own_name : str
        The name of this box.
    box : Box
        The other box.
    cfg : Settings
        Read for the heartbeat timeout.
    on_lost, on_answer : callable
        Called with the other box's name: `on_lost` when a call or heartbeat fails, `on_answer`
        when a heartbeat is answered.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        own_name: str,
        box: Box,
        cfg: Settings,
        on_lost: Callable[[str], None],
        on_answer: Callable[[str], None],
    ):
        self.box = box
        self._reactor = reactor
        self._own_name = own_name
        self._timeout_s = cfg.get(HEARTBEAT_TIMEOUT)
        self._on_lost = on_lost
        self._on_answer = on_answer
        self._protocol: PeerClientProtocol | None = None
        self._connecting: defer.Deferred[PeerClientProtocol] | None = None
        self._pending_calls = 0
        self._heartbeat_pending = False

    @property
    def has_pending_calls(self) -> bool:
        """True while a call has not been answered."""
        return self._pending_calls > 0

    async def call(self, name: str, *args: Any, timeout_s: float | None = None) -> Any:
        """Call a method of the other box and return its answer.

        Parameters
        ----------
        name : str
            The method of the Thrift interface.
        *args
            Its arguments.
        timeout_s : float, optional
            Maximum wait for the answer, in seconds. Without it, the call fails only when the
            connection cannot be opened, is lost, or does not answer a heartbeat.

        Raises
        ------
        PeerLostError
            If no answer arrived.
        """
        self._pending_calls += 1
        try:
            client = await with_timeout(self._reactor, self._timeout_s, self._client())
            answer = getattr(client, name)(*args)
            if timeout_s is not None:
                answer.addTimeout(timeout_s, self._reactor)
            return await answer
        except defer.CancelledError:
            raise
        except Exception as exc:
            self._on_lost(self.box.name)
            raise PeerLostError(f"{self.box.name}: {name}: {exc!r}") from exc
        finally:
            self._pending_calls -= 1

    def send(self, name: str, *args: Any) -> None:
        """Call a one-way method, without confirmation that it arrived."""
        if self._protocol is not None and self._protocol.client is not None:
            getattr(self._protocol.client, name)(*args)
            return
        connecting = self._client()
        connecting.addCallback(lambda client: getattr(client, name)(*args))
        connecting.addErrback(lambda _failure: self._on_lost(self.box.name))

    async def heartbeat(self) -> None:
        """Send a heartbeat, and close the connection if it is not answered in time."""
        if self._heartbeat_pending:
            return
        self._heartbeat_pending = True
        try:
            client = await with_timeout(self._reactor, self._timeout_s, self._client())
            await with_timeout(self._reactor, self._timeout_s, client.heartbeat(self._own_name))
            self._on_answer(self.box.name)
        except Exception:
            # Any failure makes the peer suspected, whatever its cause.
            self._on_lost(self.box.name)
            self.close()
        finally:
            self._heartbeat_pending = False

    def close(self) -> None:
        """Abort the connection; all pending calls fail."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abortConnection()

    def _client(self) -> defer.Deferred[Any]:
        if self._protocol is not None and self._protocol.client is not None:
            return defer.succeed(self._protocol.client)
        waiter: defer.Deferred[Any] = defer.Deferred()
        if self._connecting is None:
            endpoint = endpoints.TCP4ClientEndpoint(
                self._reactor, self.box.host, self.box.peer_port, timeout=self._timeout_s
            )
            protocol = PeerClientProtocol(Peer.Client, _PROTOCOL)
            self._connecting = endpoints.connectProtocol(endpoint, protocol)
            self._connecting.addCallbacks(self._connected, self._connection_failed)
            self._connecting.addErrback(lambda _failure: None)
            self._waiters: list[defer.Deferred[Any]] = []
        if self._connecting is None:
            # The connection attempt finished synchronously.
            return self._client() if self._protocol else defer.fail(PeerLostError(self.box.name))
        self._waiters.append(waiter)
        return waiter

    def _connected(self, protocol: PeerClientProtocol) -> None:
        self._connecting = None
        self._protocol = protocol
        for waiter in self._waiters:
            if not waiter.called:
                waiter.callback(protocol.client)

    def _connection_failed(self, failure) -> None:
        self._connecting = None
        for waiter in self._waiters:
            if not waiter.called:
                waiter.errback(failure)


class Peers:
    """The links to all other boxes, and the heartbeats over them.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Runs the connections and timers.
    cfg : Settings
        Read for the heartbeat settings.
    membership : Membership
        Notified of boxes that answer and of boxes that do not.
    """

    def __init__(self, reactor: IReactorTime, cfg: Settings, membership: Membership):
        self._reactor = reactor
        self._cfg = cfg
        self._membership = membership
        self._links: dict[str, PeerLink] = {}

    def link(self, box: Box) -> PeerLink:
        """Return the link to a box; a new one if the box's address has changed."""
        link = self._links.get(box.name)
        if link is None or (link.box.host, link.box.peer_port) != (box.host, box.peer_port):
            if link is not None:
                link.close()
            link = PeerLink(
                self._reactor,
                self._membership.me.name,
                box,
                self._cfg,
                self._membership.suspect,
                self._membership.trust,
            )
            self._links[box.name] = link
        return link

    async def run(self) -> None:
        """Send heartbeats to suspected peers and to peers with pending calls, until cancelled."""
        try:
            await repeat(self._reactor, self._cfg.get(HEARTBEAT_INTERVAL), self._send_heartbeats)
        finally:
            for link in self._links.values():
                link.close()

    def _send_heartbeats(self) -> None:
        listed = {b.name for b in self._membership.directory.boxes}
        # A box that has left the list may still be running, so a pending call to it continues;
        # heartbeats end the call if the box itself is gone.
        unlisted = [
            n for n, link in self._links.items() if n not in listed and not link.has_pending_calls
        ]
        for name in unlisted:
            self._links.pop(name).close()
        for name in self._membership.suspected:
            box = self._membership.box(name)
            if box is not None:
                self.link(box)
        for name, link in self._links.items():
            if link.has_pending_calls or name in self._membership.suspected:
                defer.ensureDeferred(link.heartbeat())
