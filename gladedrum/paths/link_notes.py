"""What boxes tell each other of their links to targets, and who may carry connections.

A box whose own link is impaired tells the boxes that it knows. In a large fleet it knows few boxes;
the coordinators hear from all of them, and answer with some that may carry.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import BoxRow, Gossip, LinkNote
from .carriers import Carriers

__all__ = ["FleetFacts", "LinkNotes"]

MAX_OFFERED = 8
"""The most carriers that a coordinator names at once: some 600 bytes, one IP packet. Four
coordinators name more than two dozen boxes."""


OFFER_INTERVAL_S = 3.0
"""Interval between two such answers to one box, in seconds; it may use them for twice as long.
Answers to each note would cost a coordinator 47 kB/s while the links of 80 boxes are impaired."""


class FleetFacts(NamedTuple):
    """What membership knows, as far as it is needed here.

    Parameters
    ----------
    peers : callable
        Returns the addresses of the other boxes by name.
    capacity_of, hall_of : callable
        Return the cores and the data hall of a box by name; 0 and empty if unknown.
    members : callable
        Returns the names of the coordinators.
    offers_carriers : callable
        Whether this box is a coordinator of a large fleet.
    """

    peers: Callable[[], Mapping[str, tuple[str, int]]]
    capacity_of: Callable[[str], float]
    hall_of: Callable[[str], str]
    members: Callable[[], list[str]]
    offers_carriers: Callable[[], bool]


class LinkNotes:
    """Sends this box's notes on its link, and processes those of its peers.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    carriers : Carriers
        Keeps what peers say.
    port : GossipPort
        Sends datagrams.
    facts : FleetFacts
        What membership knows.
    rng : random.Random
        Selects the carriers that are offered.
    on_carrier_leaving : callable
        Called with the name of a peer that carries no further connections.
    """

    def __init__(
        self,
        clock: IReactorTime,
        carriers: Carriers,
        port: GossipPort,
        facts: FleetFacts,
        rng: random.Random,
        on_carrier_leaving: Callable[[str], None],
    ):
        self._clock = clock
        self._carriers = carriers
        self._port = port
        self._facts = facts
        self._rng = rng
        self._on_carrier_leaving = on_carrier_leaving
        self._offered_s: dict[str, float] = {}

    def send(self, note: LinkNote) -> None:
        """Tell the boxes that this one knows which of its links are impaired."""
        self._port.broadcast_link(note)

    def receive(self, message: Gossip, address: tuple[str, int]) -> None:
        """Process a peer's note on its link, or the carriers that a coordinator names."""
        now_s, name = self._clock.seconds(), message.box or ""
        if message.carriers:
            self._carriers.note_offered(message.carriers, now_s)
        note = message.link
        if note is None:
            return
        self._carriers.note_link(name, note, now_s)
        if note.carries is False:
            self._on_carrier_leaving(name)
        if note.impaired and self._facts.offers_carriers() and self._is_offer_due(name, now_s):
            self._port.send_carriers(address, self._offer(name))

    def readers(self, members: Iterable[str], is_impaired: bool, me: str) -> list[str]:
        """Return the members whose links are not impaired; all if there is none."""
        now_s = self._clock.seconds()
        sound = [
            name
            for name in members
            if not (is_impaired if name == me else self._carriers.has_impairment(name, now_s))
        ]
        return sound or list(members)

    def _is_offer_due(self, name: str, now_s: float) -> bool:
        recent = {n: s for n, s in self._offered_s.items() if now_s - s < OFFER_INTERVAL_S}
        self._offered_s = {**recent, name: recent.get(name, now_s)}
        return name not in recent

    def _offer(self, asking: str) -> list[BoxRow]:
        """Return boxes that may carry, chosen at random."""
        now_s, members = self._clock.seconds(), set(self._facts.members())
        peers = self._facts.peers()
        sound = [
            name
            for name in peers
            if name != asking
            and name not in members
            and not self._carriers.has_impairment(name, now_s)
        ]
        chosen = self._rng.sample(sound, min(MAX_OFFERED, len(sound)))
        return [
            BoxRow(name, *peers[name], self._facts.capacity_of(name), self._facts.hall_of(name))
            for name in chosen
        ]
