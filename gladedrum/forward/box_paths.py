"""The paths of a box to targets, put together: see `gladedrum.paths`."""

import random
from collections.abc import Callable

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..beliefs.coordinators import CoordinatorGroup
from ..beliefs.membership import BoxRegistry
from ..beliefs.target_list import TargetListFollower
from ..connections.target_pool import TargetPool
from ..fleet import TargetEntry
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip
from ..paths.carriers import Carriers, PeerFacts
from ..paths.connector import PathConnector, ShownLinks
from ..paths.evidence import LinkEvidence
from ..paths.link_notes import FleetFacts, LinkNotes
from ..paths.tunnel_server import CarrierLimits, CarrierPolicy, TunnelServer

__all__ = ["BoxPaths", "ShownPaths"]


class ShownPaths(ShownLinks):
    """As `ShownLinks`, and the tunnels that the box carries for others."""

    carried: int
    carried_opened: int
    carried_refused: int
    carried_bytes: int


class BoxPaths:
    """Connects the parts of `gladedrum.paths` with those of a box.

    Parameters
    ----------
    reactor : reactor
        Provides sockets and timers.
    box, data_hall : str
        The box's name and data hall.
    pool : TargetPool
        Gets its connections from here.
    targets : TargetListFollower
        The list of targets.
    registry : BoxRegistry
        The other boxes.
    coordinators : CoordinatorGroup
        The coordinator group.
    port : GossipPort
        Datagrams to and from the other boxes.
    limits : callable
        Returns the `CarrierLimits` in force.
    own_load : callable
        Returns the number of the box's requests in progress.
    rng : random.Random
        Selects the carriers that are offered to others.

    Attributes
    ----------
    connector : PathConnector
        Opens the connections.
    server : TunnelServer
        Serves the tunnels of other boxes.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        box: str,
        data_hall: str,
        pool: TargetPool,
        targets: TargetListFollower,
        registry: BoxRegistry,
        coordinators: CoordinatorGroup,
        port: GossipPort,
        limits: Callable[[], CarrierLimits],
        own_load: Callable[[], int],
        rng: random.Random,
    ):
        self._me = box
        self._evidence = LinkEvidence(lambda: targets.entries)
        self._coordinators = coordinators
        carriers = Carriers(
            box,
            data_hall,
            PeerFacts(
                lambda: registry.peers, registry.capacity_of, registry.hall_of, self._decides
            ),
        )
        self._notes = LinkNotes(
            reactor,
            carriers,
            port,
            FleetFacts(
                lambda: registry.peers,
                registry.capacity_of,
                registry.hall_of,
                coordinators.members,
                lambda: self._decides(box),
            ),
            rng,
            pool.close_idle_through,
        )
        self.connector = PathConnector(
            reactor,
            box,
            self._evidence,
            carriers,
            lambda: targets.entries,
            self._notes.send,
            lambda: limits().tunnels > 0,
        )
        self.connector.keep = lambda conn: pool.keep(conn.address, conn)
        self.connector.make_idle = pool.make_connection
        self.server = TunnelServer(
            reactor,
            CarrierPolicy(
                limits,
                lambda name: targets.entries.get(name),
                self.connector.is_impaired,
                own_load,
                self._note_connected,
                self._note_failed,
            ),
        )
        self.connector.carries = lambda: not self.server.is_draining
        pool.paths = self.connector

    def receive(self, message: Gossip, address: tuple[str, int]) -> None:
        """Process a peer's notes on links."""
        self._notes.receive(message, address)

    def readers(self, members: list[str]) -> list[str]:
        """Return the members that read the reports of engines: those with sound links, if any."""
        return self._notes.readers(members, bool(self._evidence.impaired_groups), self._me)

    def drain(self) -> None:
        """Carry no further connections; those that are open go on."""
        self.server.is_draining = True
        if self.server.tunnels:
            self.connector.tell_leaving()

    def when_drained(self) -> defer.Deferred[None]:
        """Return a deferred that fires once nothing is carried any more."""
        return self.server.when_all_closed()

    def abort_tunnels(self) -> None:
        """Reset what is still carried: the process ends now."""
        self.server.abort_all()

    def shown(self) -> ShownPaths:
        """Return the state of the paths for operators."""
        server = self.server
        return ShownPaths(
            **self.connector.shown(),
            carried=len(server.tunnels),
            carried_opened=server.opened,
            carried_refused=server.refused,
            carried_bytes=server.carried_bytes,
        )

    def _decides(self, name: str) -> bool:
        """Whether a box decides for others, which all boxes of a small fleet do for themselves."""
        return not self._coordinators.is_whole_fleet and name in self._coordinators.members()

    def _note_connected(self, entry: TargetEntry) -> None:
        self.connector.note_connected((entry.host, entry.port))

    def _note_failed(self, entry: TargetEntry, reason: str) -> None:
        self.connector.note_failed((entry.host, entry.port), reason)
