"""The sockets of a forwarding box: callers, readiness and other boxes."""

import socket
from collections.abc import Callable

from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IReactorTime
from twisted.web.resource import IResource
from twisted.web.server import Site

from ..connections.caller_conn import CallerFactory
from ..gossip.port import GossipPort
from ..utils import sleep
from ..utils.listening import BACKLOG, CannotListenError, Listener
from ..utils.supervisor import Child
from .settings import ForwardSettings

__all__ = ["BoxPorts"]

INFORMED_WITHIN_S = 0.5
"""How long after its start a box waits for configuration and targets before it accepts callers, in
seconds: half of what a caller gives a connection."""

INFORMED_CHECK_S = 0.005
"""How often it looks for them, in seconds."""


class BoxPorts:
    """The sockets, each a child of the box.

    Parameters
    ----------
    reactor : reactor
        Where sockets and timers live.
    settings : callable
        Returns the settings in force, with the addresses.
    early : socket or None
        The callers' socket, if it listens already.
    callers : CallerFactory
        Serves callers.
    gossip : GossipPort
        Takes datagrams of other boxes.
    make_pages : callable
        Returns the pages about the box.
    is_informed : callable
        Whether it is known where requests go.

    Attributes
    ----------
    cannot_start : Deferred
        Fails with `CannotListenError` if an address cannot be listened on at the start.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        settings: Callable[[], ForwardSettings],
        early: socket.socket | None,
        callers: CallerFactory,
        gossip: GossipPort,
        make_pages: Callable[[], IResource],
        is_informed: Callable[[], bool],
    ):
        self.cannot_start: defer.Deferred[None] = defer.Deferred()
        self._reactor = reactor
        self._settings = settings
        self._early = early
        self._callers = callers
        self._gossip = gossip
        self._make_pages = make_pages
        self._is_informed = is_informed
        self._caller_port = Listener("callers", self._listen_callers, self._cannot_listen)
        self._ready_port = Listener("readiness", self._listen_ready, self._cannot_listen)

    @property
    def callers_are_listened_for(self) -> bool:
        """Whether callers can connect."""
        return bool(self._caller_port.port)

    def close_callers(self) -> None:
        """Take no new connections of callers."""
        self._caller_port.close()

    def pages_child(self) -> Child:
        """Return what serves the pages about the box."""
        return Child("readiness", self._ready_port.run)

    def gossip_child(self) -> Child:
        """Return what takes datagrams."""
        return Child("gossip", self._run_gossip)

    def callers_child(self) -> Child:
        """Return what accepts callers."""
        return Child("callers", self._serve_callers)

    async def _run_gossip(self) -> None:
        host, port = self._settings().peers
        listening = self._reactor.listenUDP(port, self._gossip, interface=host)
        try:
            await defer.Deferred()
        finally:
            await listening.stopListening()

    async def _serve_callers(self) -> None:
        """Accept callers as soon as it is known where requests go, or after a while anyway.

        Until then callers wait in the kernel's queue: they would only be told to come back.
        """
        give_up_s = self._reactor.seconds() + INFORMED_WITHIN_S
        while not self._is_informed() and self._reactor.seconds() < give_up_s:
            await sleep(self._reactor, INFORMED_CHECK_S)
        await self._caller_port.run()

    def _listen_callers(self):
        early, self._early = self._early, None
        if early is None:
            return self._listen(self._settings().callers, self._callers)
        # The reactor works on a copy of the descriptor.
        with early:
            port = self._reactor.adoptStreamPort(early.fileno(), socket.AF_INET, self._callers)
        return defer.succeed(port)

    def _listen_ready(self):
        site = Site(self._make_pages())
        site.noisy = False
        return self._listen(self._settings().ready, site)

    def _listen(self, address: tuple[str, int], factory):
        host, port = address
        return endpoints.TCP4ServerEndpoint(
            self._reactor, port, backlog=BACKLOG, interface=host
        ).listen(factory)

    def _cannot_listen(self, problem: CannotListenError) -> None:
        if not self.cannot_start.called:
            self.cannot_start.errback(problem)
