"""The sockets of a forwarding box: for callers, for operators' pages, and for other boxes."""

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IReactorTime

from ..connections.caller_conn import CallerFactory
from ..gossip.port import GossipPort
from ..paths.tunnel_server import TunnelServer
from ..utils import sleep
from ..utils.connection_limit import LimitedConnections
from ..utils.listening import BACKLOG, CannotListenError, Listener
from ..utils.request_memory import RequestMemory
from ..utils.supervisor import Child
from .settings import ForwardSettings

if TYPE_CHECKING:
    from twisted.web.resource import IResource

__all__ = ["BoxPorts"]

INFORMED_WITHIN_S = 0.5
"""Longest wait for the configuration and the list of targets before a starting box accepts callers,
in seconds: half of a caller's connect timeout."""

PAGES_DELAY_S = 0.05
"""Time between the first accepted callers and the loading of the pages' library, in seconds. The
loading takes some 20 ms of a core; callers that waited for the box to start are served before."""

MAX_PAGE_BODY_BYTES, PAGE_BODY_TIME_S = 4_194_304, 10.0
"""The longest body of a request for an operators' page, and how long it may take, in seconds."""

INFORMED_CHECK_S = 0.005
"""Interval between checks whether a starting box knows both, in seconds."""


class BoxPorts:
    """The sockets of a box, each served by a supervised child.

    Parameters
    ----------
    reactor : reactor
        Provides sockets and timers.
    settings : callable
        Returns the current settings, with the addresses.
    listening_socket : socket or None
        The socket for callers, if it is already listening.
    callers : CallerFactory
        Serves callers.
    gossip : GossipPort
        Handles datagrams of other boxes.
    tunnels : TunnelServer
        Carries connections of other boxes.
    make_pages : callable
        Returns the operators' pages of the box.
    is_informed : callable
        Returns whether the configuration and the targets are known.
    on_accepting : callable
        Called right before the port for callers opens, with whether both are known.

    Attributes
    ----------
    cannot_start : Deferred
        Fails with `CannotListenError` if an address cannot be listened on at the start.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        settings: Callable[[], ForwardSettings],
        listening_socket: socket.socket | None,
        callers: CallerFactory,
        gossip: GossipPort,
        tunnels: TunnelServer,
        make_pages: Callable[[], "IResource"],
        is_informed: Callable[[], bool],
        on_accepting: Callable[[bool], None],
    ):
        self.cannot_start: defer.Deferred[None] = defer.Deferred()
        self._reactor = reactor
        self._settings = settings
        self._listening_socket = listening_socket
        self._callers = callers
        self._gossip = gossip
        self._tunnels = tunnels
        self._make_pages = make_pages
        self._is_informed = is_informed
        self._on_accepting = on_accepting
        self._caller_port = Listener("callers", self._listen_callers, self._cannot_listen)
        self._tunnels_port = Listener("tunnels", self._listen_tunnels, self._cannot_listen)
        self._pages_port = Listener("readiness", self._listen_pages, self._cannot_listen)

    @property
    def accepts_callers(self) -> bool:
        """Whether callers can connect."""
        return bool(self._caller_port.port)

    def close_callers(self) -> None:
        """Stop accepting connections of callers."""
        self._caller_port.close()

    def pages_child(self) -> Child:
        """Return the child that serves the operators' pages."""
        return Child("readiness", self._serve_pages)

    def gossip_child(self) -> Child:
        """Return the child that receives datagrams of other boxes."""
        return Child("gossip", self._run_gossip)

    def tunnels_child(self) -> Child:
        """Return the child that accepts tunnels of other boxes."""
        return Child("tunnels", self._tunnels_port.run)

    def callers_child(self) -> Child:
        """Return the child that accepts callers."""
        return Child("callers", self._serve_callers)

    async def _serve_pages(self) -> None:
        """Serve the pages once callers are accepted: loading their library delays the start."""
        while not self.accepts_callers:
            await sleep(self._reactor, INFORMED_CHECK_S)
        await sleep(self._reactor, PAGES_DELAY_S)
        await self._pages_port.run()

    async def _run_gossip(self) -> None:
        host, port = self._settings().peers
        listening = self._reactor.listenUDP(port, self._gossip, interface=host)
        try:
            await defer.Deferred()
        finally:
            await listening.stopListening()

    async def _serve_callers(self) -> None:
        """Accept callers once configuration and targets are known, or after `INFORMED_WITHIN_S`.

        Until then connections wait in the kernel's backlog instead of being refused.
        """
        deadline_s = self._reactor.seconds() + INFORMED_WITHIN_S
        while not self._is_informed() and self._reactor.seconds() < deadline_s:
            await sleep(self._reactor, INFORMED_CHECK_S)
        await self._caller_port.run()

    def _listen_callers(self):
        self._on_accepting(self._is_informed())
        listening_socket, self._listening_socket = self._listening_socket, None
        if listening_socket is None:
            return self._listen(self._settings().callers, self._callers)
        # The reactor duplicates the descriptor.
        with listening_socket:
            port = self._reactor.adoptStreamPort(
                listening_socket.fileno(), socket.AF_INET, self._callers
            )
        return defer.succeed(port)

    def _listen_pages(self):
        from ..utils.limited_site import LimitedSite

        settings = self._settings()
        site = LimitedSite(
            self._reactor,
            self._make_pages(),
            MAX_PAGE_BODY_BYTES,
            PAGE_BODY_TIME_S,
            RequestMemory(settings.page_memory_bytes),
        )
        limited = LimitedConnections(site, self._reactor, settings.page_connections)
        return self._listen(settings.ready, limited)

    def _listen_tunnels(self):
        settings = self._settings()
        limited = LimitedConnections(self._tunnels, self._reactor, settings.tunnel_connections)
        return self._listen(settings.peers, limited)

    def _listen(self, address: tuple[str, int], factory):
        host, port = address
        return endpoints.TCP4ServerEndpoint(
            self._reactor, port, backlog=BACKLOG, interface=host
        ).listen(factory)

    def _cannot_listen(self, error: CannotListenError) -> None:
        if not self.cannot_start.called:
            self.cannot_start.errback(error)
