"""Choice of the peer that carries a connection to a target (the *carrier*).

No I/O and no clock of its own. The load that it answers: up to all boxes of a data hall have lost
their links at once, and the other boxes carry all of their connections. Carriers are therefore
chosen by load over capacity, and boxes that know nothing of each other's choices start with
different ones.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from ..fleet import TargetEntry
from ..gossip.wire.ttypes import BoxRow, LinkNote
from ..utils.validation import is_box_name, is_host, is_port
from .evidence import Group, groups_of

__all__ = ["Carrier", "Carriers"]

NOTE_LIFETIME_S = 3.0
"""How long a peer's note on its link counts, in seconds: three times the interval of the notes, so
that two may be lost."""

OFFER_LIFETIME_S = 6.0
"""How long a carrier that a coordinator has named may be used, in seconds; as long as a box that is
known from its datagrams only."""

AVOIDANCE_S = 1.0
"""How long a peer that could not be reached or did not answer is used last, in seconds."""

NEGATIVE_LIFETIME_S = 2.0
"""How long a peer's answer that it cannot connect to a target counts, in seconds: two polls of an
engine that time out, so that the answers of several peers come together."""

LOAD_LIFETIME_S = 3.0
"""How long the load that a carrier has stated counts, in seconds."""

MANY_PEERS, MIN_NEGATIVE_PEERS = 12, 6
"""Where more than `MANY_PEERS` are known, a target or service is unreachable once this many were
asked in vain, since asking all takes too long. Peers that have said that theirs is impaired
are not asked; with few peers, all must be asked or have said so."""

REMOTE_HALL_LOAD = 8.0
"""Added to the load of a carrier in a third data hall, in tunnels: its bytes pass between data
halls twice, so nearer ones go first until they carry that many more."""

COORDINATOR_LOAD = 8.0
"""Added to the load of a coordinator of a large fleet, in tunnels: it decides for the others."""


class Carrier(NamedTuple):
    """A peer that may carry connections: its name, and its address for tunnels."""

    name: str
    address: tuple[str, int]


class _Offered(NamedTuple):
    """A box that a coordinator has named."""

    address: tuple[str, int]
    capacity: float
    data_hall: str
    until_s: float


class _Load(NamedTuple):
    """The load that a carrier has stated: requests and tunnels."""

    count: int
    until_s: float


class _LinkState(NamedTuple):
    """What a peer has said of its own link."""

    impaired: frozenset[Group]
    carries: bool
    until_s: float


class PeerFacts(NamedTuple):
    """Where the facts on peers come from.

    Parameters
    ----------
    peers : callable
        Returns the peers' addresses by name.
    capacity_of, hall_of : callable
        Return the cores (0: unknown) and the data hall (empty: unknown) of a peer by name.
    is_coordinator : callable
        Whether a peer decides for the boxes of a large fleet.
    """

    peers: Callable[[], Mapping[str, tuple[str, int]]]
    capacity_of: Callable[[str], float]
    hall_of: Callable[[str], str]
    is_coordinator: Callable[[str], bool]


class Carriers:
    """Chooses carriers, from what peers say and what came of earlier choices.

    Parameters
    ----------
    me, data_hall : str
        This box and its data hall.
    facts : PeerFacts
        What membership knows of the peers.
    """

    def __init__(self, me: str, data_hall: str, facts: PeerFacts):
        self._me = me
        self._data_hall = data_hall
        self._facts = facts
        self._offered: dict[str, _Offered] = {}
        self._links: dict[str, _LinkState] = {}
        self._loads: dict[str, _Load] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._negative_s: dict[tuple[str, int] | Group, dict[str, float]] = {}
        self._open: Counter[str] = Counter()

    # What is known.

    def note_link(self, name: str, note: LinkNote, now_s: float) -> None:
        """Record what a peer says of its own link."""
        rows = note.impaired or ()
        impaired = frozenset(Group(row.service_name or "", row.data_hall or "") for row in rows)
        self._links[name] = _LinkState(impaired, note.carries is not False, now_s + NOTE_LIFETIME_S)

    def note_offered(self, rows: Iterable[BoxRow], now_s: float) -> None:
        """Record boxes that a coordinator has named as carriers, if their addresses can exist."""
        self._offered = {n: o for n, o in self._offered.items() if o.until_s > now_s}
        for row in rows:
            is_box = is_box_name(row.name) and is_host(row.host) and is_port(row.port)
            if is_box and row.name != self._me:
                self._offered[row.name] = _Offered(
                    (row.host, row.port),
                    row.capacity or 0.0,
                    row.data_hall or "",
                    now_s + OFFER_LIFETIME_S,
                )

    def note_opened(self, name: str) -> None:
        """Count a tunnel that this box has opened."""
        self._open[name] += 1
        self._avoided_until_s.pop(name, None)

    def note_closed(self, name: str) -> None:
        """Count the end of a tunnel."""
        self._open[name] -= 1

    def note_load(self, name: str, count: int, now_s: float) -> None:
        """Record the load that a carrier has stated."""
        self._loads[name] = _Load(count, now_s + LOAD_LIFETIME_S)

    def note_failed(self, name: str, now_s: float) -> None:
        """Record that a carrier could not be reached, or does not carry now."""
        self._avoided_until_s[name] = now_s + AVOIDANCE_S

    def note_negative(self, entry: TargetEntry, name: str, now_s: float) -> None:
        """Record that a carrier does not reach a target; forgets targets with earlier answers."""
        for key in tuple(self._negative_s):
            self._recent_negative(key, now_s)
        for key in _negative_keys(entry):
            self._negative_s.setdefault(key, {})[name] = now_s

    def note_positive(self, entry: TargetEntry) -> None:
        """Record that a carrier has connected to a target."""
        for key in _negative_keys(entry):
            self._negative_s.pop(key, None)

    # What follows.

    @property
    def open_tunnels(self) -> int:
        """How many tunnels of this box are open."""
        return self._open.total()

    def has_peers(self) -> bool:
        """Whether any other box is known."""
        return bool(self._facts.peers()) or bool(self._offered)

    def is_unusable(self, name: str, entry: TargetEntry, now_s: float) -> bool:
        """Whether a peer says that its link to a target is impaired, or that it does not carry."""
        link = self._links.get(name)
        if link is None or link.until_s <= now_s:
            return False
        return not link.carries or not link.impaired.isdisjoint(groups_of(entry))

    def has_impairment(self, name: str, now_s: float) -> bool:
        """Whether a peer says that its link to any group of targets is impaired."""
        link = self._links.get(name)
        return link is not None and link.until_s > now_s and bool(link.impaired)

    def is_leaving(self, name: str, now_s: float) -> bool:
        """Whether a carrier takes no further requests, so that idle tunnels are not reused."""
        link = self._links.get(name)
        return link is not None and link.until_s > now_s and not link.carries

    def ranked(
        self, entry: TargetEntry, now_s: float, tried: Collection[str] = ()
    ) -> list[Carrier]:
        """Return the peers that may carry a connection to a target, best first."""
        addresses = self._addresses(now_s)
        negative = self._recent_negative((entry.host, entry.port), now_s)
        usable = [
            name
            for name in addresses
            if name not in tried
            and name not in negative
            and not self.is_unusable(name, entry, now_s)
        ]
        usable.sort(key=lambda name: self._key(name, entry, now_s))
        return [Carrier(name, addresses[name]) for name in usable]

    def reachable_by_peers(self, entry: TargetEntry, now_s: float) -> bool:
        """Whether a peer may reach a target, as far as peers have been asked or have said."""
        names = self._addresses(now_s)
        for key in _negative_keys(entry):
            negative = self._recent_negative(key, now_s)
            if len(names) > MANY_PEERS and len(negative) >= MIN_NEGATIVE_PEERS:
                return False
            if all(name in negative or self.is_unusable(name, entry, now_s) for name in names):
                return False
        return True

    def _recent_negative(self, key: tuple[str, int] | Group, now_s: float) -> set[str]:
        """Return the peers that were asked in vain lately; forgets earlier answers."""
        rows = self._negative_s.get(key, {})
        recent = {n: at_s for n, at_s in rows.items() if now_s - at_s < NEGATIVE_LIFETIME_S}
        if recent:
            self._negative_s[key] = recent
        else:
            self._negative_s.pop(key, None)
        return set(recent)

    def _addresses(self, now_s: float) -> dict[str, tuple[str, int]]:
        offered = {n: o.address for n, o in self._offered.items() if o.until_s > now_s}
        return {**offered, **self._facts.peers()}

    def _key(self, name: str, entry: TargetEntry, now_s: float) -> tuple[bool, float]:
        """Return the sort key of a carrier: whether it is avoided, then its load over capacity.

        The load has a part that differs between boxes, such that the carriers with which boxes
        start are distributed by capacity (weighted rendezvous hashing).
        """
        avoided = self._avoided_until_s.get(name, 0.0) > now_s
        offered = self._offered.get(name)
        capacity = self._facts.capacity_of(name) or (offered.capacity if offered else 0.0) or 1.0
        hall = self._facts.hall_of(name) or (offered.data_hall if offered else "")
        load = self._loads.get(name)
        stated = load.count if load is not None and load.until_s > now_s else 0
        count = max(stated, self._open[name]) + _exponential(f"{self._me}|{name}")
        if hall not in (self._data_hall, entry.data_hall):
            count += REMOTE_HALL_LOAD
        if self._facts.is_coordinator(name):
            count += COORDINATOR_LOAD
        return avoided, count / capacity


def _negative_keys(entry: TargetEntry) -> tuple[tuple[str, int], Group]:
    """Return the target and its service, for both of which answers of carriers are kept."""
    return (entry.host, entry.port), Group(entry.service)


@lru_cache(maxsize=4096)
def _exponential(text: str) -> float:
    """Return an exponentially distributed number with mean 1, determined by a text."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return -math.log((int.from_bytes(digest) + 1) / 2**64)
