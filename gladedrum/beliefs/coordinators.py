"""The coordinator group: the boxes that track all requests and place those of the other boxes.

In a small fleet (see `SMALL_FLEET`) every box is a member. In a large one, sending every change to
every box would cost datagrams proportional to boxes times requests, so the few boxes with the most
cores are members, and the others ask one of them for a placement. Members of a large fleet's group
also read the store on behalf of the others; in a small fleet, see `CoordinatorGroup.readers`.
"""

import hashlib
from collections.abc import Callable, Mapping
from functools import lru_cache

__all__ = [
    "ANSWER_TIMEOUT_S",
    "GROUP_SIZE",
    "SMALL_FLEET",
    "CoordinatorGroup",
    "precedence",
    "rank",
]

SMALL_FLEET = 12
"""In fleets of up to this many boxes every box is a member."""

GROUP_SIZE = 4
"""Members in a larger fleet: tolerates the loss of several, at few datagrams per change."""

READER_COUNT = 2
"""Number of readers in a small fleet. Readers read the list of targets for all other boxes, since
the store charges per read. If one is lost, the other still answers every second question, which is
often enough. With two of nine boxes reading, the store calls of a minute fell from 1,242 to 795."""

ANSWER_TIMEOUT_S = 0.04
"""Time limit for a member's answer about a retry or a place at a rate-limited target, which needs
no placement decision, in seconds: a few round trips between data halls."""


class CoordinatorGroup:
    """Determines the members of the coordinator group.

    Parameters
    ----------
    me : str
        This box's name.
    peers : callable
        Returns the other boxes' addresses by name; the same mapping until a box joins or leaves or
        a capacity changes.
    capacity_of : callable
        Returns the cores that a box may use, by its name; 0 if unknown.
    fleet_size : callable
        Returns the largest number of boxes known lately. A box lists 14 boxes of a large fleet;
        with three of them cut off it would take the fleet for a small one: all boxes would become
        members, and each would poll all engines and read the store.
    """

    def __init__(
        self,
        me: str,
        peers: Callable[[], Mapping[str, tuple[str, int]]],
        capacity_of: Callable[[str], float] = lambda _name: 0.0,
        fleet_size: Callable[[], int] = lambda: 0,
    ):
        self.me = me
        self._fleet_size = fleet_size
        self._peers = peers
        self._capacity_of = capacity_of
        self._cached_peers: Mapping[str, tuple[str, int]] | None = None
        self._members: list[str] = []

    def members(self) -> list[str]:
        """Return the members' names.

        In a large fleet all boxes that know the same boxes return the same order. Cached until
        `peers` returns another mapping, since this is called several times per request and once
        per datagram. Selecting the members among 195 boxes takes 0.2 ms of a core.
        """
        peers = self._peers()
        if peers is not self._cached_peers:
            self._cached_peers, self._members = peers, self._select_members([self.me, *peers])
        return self._members

    def _select_members(self, names: list[str]) -> list[str]:
        if max(len(names), self._fleet_size()) <= SMALL_FLEET:
            return names
        return sorted(names, key=self._precedence)[:GROUP_SIZE]

    def _precedence(self, name: str) -> tuple[float, bytes]:
        return precedence(name, self._capacity_of(name))

    def readers(self) -> list[str]:
        """Return the boxes that read the list of targets for the others.

        In a large fleet these are all members.
        """
        if self.is_whole_fleet:
            return self.ranked_members()[:READER_COUNT]
        return self.members()

    def follows_readers(self) -> bool:
        """Whether this box receives the list of targets from the readers."""
        return self.me not in self.readers()

    @property
    def is_whole_fleet(self) -> bool:
        """Whether every box is a member."""
        return max(len(self._peers()) + 1, self._fleet_size()) <= SMALL_FLEET

    def ranked_members(self) -> list[str]:
        """Return the members by precedence; the first one places long prompts.

        While it answers, a single box places all of them, so that no two boxes choose the same idle
        target at once.
        """
        return sorted(self.members(), key=self._precedence)

    def includes_me(self) -> bool:
        """Whether this box is a member."""
        return self.me in self.members()

    def excludes_me(self) -> bool:
        """Whether this box is no member, so that members decide and read the store for it."""
        return not self.includes_me()

    def address(self, name: str) -> tuple[str, int] | None:
        """Return a box's address for datagrams; None if it has left or restarted."""
        return self._peers().get(name)

    def recipients(self) -> list[tuple[str, int]]:
        """Return the addresses of the other members, which are sent each change of a request."""
        peers = self._peers()
        return [peers[name] for name in self.members() if name != self.me]


def precedence(name: str, capacity: float) -> tuple[float, bytes]:
    """Return a sort key that puts boxes with the most cores first and ties in `rank` order.

    A member's load grows with the fleet, so a box with few cores would answer too late in a burst
    of requests; see `scheduling.questions`. With a quarter of the cores of others, answers came too
    late for 20 s in a burst of 220 requests a second.
    """
    return -capacity, rank(name)


@lru_cache(maxsize=4096)
def rank(name: str) -> bytes:
    """Return a uniformly distributed key that is equal on all boxes (rendezvous hashing)."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
