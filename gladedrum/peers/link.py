"""A connection to one other box, and calls over it.

While a call waits for its answer the link sends heartbeats. A peer that answers none, because
it is dead, frozen or cut off, is suspected, and all calls that wait for it fail at once.
"""

from collections.abc import Callable
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTwisted import ThriftClientProtocol
from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IReactorTime

from ..config import Item, Settings
from ..errors import GladedrumError
from ..platform import Box
from ..utils import repeat, with_timeout
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
    """The other box gave no answer."""


class PeerLink:
    """The connection to one box, made when it is first needed.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Where the connection and the timers live.
    me : str
        The name of this box.
    box : Box
        The other one.
    cfg : Settings
        Read for the heartbeat settings.
    on_lost, on_answer : callable
        Called with the other box's name when it gives no answer, and when it gives one.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        me: str,
        box: Box,
        cfg: Settings,
        on_lost: Callable[[str], None],
        on_answer: Callable[[str], None],
    ):
        self.box = box
        self._reactor = reactor
        self._me = me
        self._timeout_s = cfg.get(HEARTBEAT_TIMEOUT)
        self._on_lost = on_lost
        self._on_answer = on_answer
        self._protocol: ThriftClientProtocol | None = None
        self._connecting: defer.Deferred[ThriftClientProtocol] | None = None
        self._waiting = 0
        self._asking = False

    @property
    def waits(self) -> bool:
        """True while an answer is awaited."""
        return self._waiting > 0

    async def call(self, name: str, *args: Any, timeout_s: float | None = None) -> Any:
        """Call a method of the other box and return its answer.

        Parameters
        ----------
        name : str
            The method of the thrift interface.
        *args
            Its arguments.
        timeout_s : float, optional
            How long the answer may take; without it the heartbeats alone decide.

        Raises
        ------
        PeerLostError
            If no answer came.
        """
        self._waiting += 1
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
            self._waiting -= 1

    def send(self, name: str, *args: Any) -> None:
        """Call a one-way method; nobody learns whether it arrived."""
        if self._protocol is not None and self._protocol.client is not None:
            getattr(self._protocol.client, name)(*args)
            return
        connecting = self._client()
        connecting.addCallback(lambda client: getattr(client, name)(*args))
        connecting.addErrback(lambda _failure: self._on_lost(self.box.name))

    async def heartbeat(self) -> None:
        """Ask for a sign; cut the connection if none comes in time."""
        if self._asking:
            return
        self._asking = True
        try:
            client = await with_timeout(self._reactor, self._timeout_s, self._client())
            await with_timeout(self._reactor, self._timeout_s, client.heartbeat(self._me))
            self._on_answer(self.box.name)
        except Exception:
            # Whatever the reason, the peer cannot be relied on.
            self._on_lost(self.box.name)
            self.close()
        finally:
            self._asking = False

    def close(self) -> None:
        """Cut the connection; all calls that wait for an answer fail."""
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
            protocol = ThriftClientProtocol(Peer.Client, _PROTOCOL)
            self._connecting = endpoints.connectProtocol(endpoint, protocol)
            self._connecting.addCallbacks(self._connected, self._not_connected)
            self._connecting.addErrback(lambda _failure: None)
            self._waiters: list[defer.Deferred[Any]] = []
        if self._connecting is None:
            # The connection was made, or failed, at once.
            return self._client() if self._protocol else defer.fail(PeerLostError(self.box.name))
        self._waiters.append(waiter)
        return waiter

    def _connected(self, protocol: ThriftClientProtocol) -> None:
        self._connecting = None
        self._protocol = protocol
        for waiter in self._waiters:
            if not waiter.called:
                waiter.callback(protocol.client)

    def _not_connected(self, failure) -> None:
        self._connecting = None
        for waiter in self._waiters:
            if not waiter.called:
                waiter.errback(failure)


class Peers:
    """The links to all other boxes, and the heartbeats over them.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Where connections and timers live.
    cfg : Settings
        Read for the heartbeat settings.
    membership : Membership
        Told who answers and who does not.
    """

    def __init__(self, reactor: IReactorTime, cfg: Settings, membership: Membership):
        self._reactor = reactor
        self._cfg = cfg
        self._membership = membership
        self._links: dict[str, PeerLink] = {}

    def link(self, box: Box) -> PeerLink:
        """Return the link to a box, a new one if the box has moved."""
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
        """Send heartbeats where they are needed, until cancelled."""
        try:
            await repeat(self._reactor, self._cfg.get(HEARTBEAT_INTERVAL), self._beat)
        finally:
            for link in self._links.values():
                link.close()

    def _beat(self) -> None:
        listed = {b.name for b in self._membership.directory.boxes}
        # A call under way goes on: heartbeats end it if the box is gone, and not only its row.
        gone = [n for n, link in self._links.items() if n not in listed and not link.waits]
        for name in gone:
            self._links.pop(name).close()
        for name in self._membership.suspected:
            box = self._membership.box(name)
            if box is not None:
                self.link(box)
        for name, link in self._links.items():
            if link.waits or name in self._membership.suspected:
                defer.ensureDeferred(link.heartbeat())
