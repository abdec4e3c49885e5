"""The circle: the boxes that hear of all work, and decide and vouch for the others.

In a small fleet all boxes are in it. Telling every box of every request would cost datagrams that
grow with boxes times requests, so in a large fleet the few with the most processor time are, and
the others ask one of them.
"""

import hashlib
from collections.abc import Callable, Mapping
from functools import lru_cache

__all__ = ["ASK_S", "CIRCLE_SIZE", "SMALL_FLEET", "Circle", "precedence", "rank"]

SMALL_FLEET = 12
"""Up to so many boxes all are in the circle: a datagram to each for each change of work."""

CIRCLE_SIZE = 4
"""Members in a larger fleet: several may be lost, and each change costs few datagrams."""

READERS = 2
"""Boxes that read the list of targets for all, in a small fleet too: each read is paid for. With
two of nine boxes reading, all calls of a minute fall from 1,242 to 795 (counted at the store); if
one is lost, the other answers every second question, which is often enough."""

ASK_S = 0.04
"""How long a member may take to answer a question that needs no decision, in seconds: some ways
between data halls."""


class Circle:
    """Which boxes hear of all work.

    Parameters
    ----------
    me : str
        This box's name.
    peers : callable
        Returns the other boxes' addresses by name; the same mapping until one comes or goes.
    capacity_of : callable
        Returns the cores that a box may use, by its name; 0 if that is not known.
    """

    def __init__(
        self,
        me: str,
        peers: Callable[[], Mapping[str, tuple[str, int]]],
        capacity_of: Callable[[str], float] = lambda _name: 0.0,
    ):
        self.me = me
        self._peers = peers
        self._capacity_of = capacity_of
        self._members_of: Mapping[str, tuple[str, int]] | None = None
        self._members: list[str] = []

    def members(self) -> list[str]:
        """Return the members' names; in a large fleet boxes that know the same order them alike.

        They are looked for several times a request and once a datagram, so they are kept until a
        box comes or goes: among 195 boxes that takes 0.2 ms of a core each time.
        """
        peers = self._peers()
        if peers is not self._members_of:
            self._members_of, self._members = peers, self._find_members([self.me, *peers])
        return self._members

    def _find_members(self, names: list[str]) -> list[str]:
        if len(names) <= SMALL_FLEET:
            return names
        return sorted(names, key=self._precedence)[:CIRCLE_SIZE]

    def _precedence(self, name: str) -> tuple[float, bytes]:
        return precedence(name, self._capacity_of(name))

    def readers(self) -> list[str]:
        """Return the boxes that read the list of targets for the others."""
        if self.is_whole_fleet:
            return self.arbiters()[:READERS]
        return self.members()

    def leaves_list_to_others(self) -> bool:
        """Whether this box has its list of targets from the readers."""
        return self.me not in self.readers()

    @property
    def is_whole_fleet(self) -> bool:
        """Whether all boxes are members."""
        return len(self._peers()) + 1 <= SMALL_FLEET

    def arbiters(self) -> list[str]:
        """Return the members in the order in which they place long prompts.

        As long as the first one answers, no two long prompts meet unseen.
        """
        return sorted(self.members(), key=self._precedence)

    def includes_me(self) -> bool:
        """Whether this box decides by itself."""
        return self.me in self.members()

    def excludes_me(self) -> bool:
        """Whether this box leaves decisions, and reading the store, to others."""
        return not self.includes_me()

    def address(self, name: str) -> tuple[str, int] | None:
        """Return where a box takes datagrams; None if it has gone, or has started anew."""
        return self._peers().get(name)

    def audience(self) -> list[tuple[str, int]]:
        """Return where changes of work are told."""
        peers = self._peers()
        return [peers[name] for name in self.members() if name != self.me]


def precedence(name: str, capacity: float) -> tuple[float, bytes]:
    """Return a key by which the boxes with the most cores come first, equal ones evenly.

    A decider's work grows with the fleet. On a box with a quarter of the cores of others, a burst
    of 220 requests a second took more processor time than there was, and answers came too late
    for 20 s; see `scheduling.questions`.
    """
    return -capacity, rank(name)


@lru_cache(maxsize=4096)
def rank(name: str) -> bytes:
    """Return a key that orders names evenly and alike on all boxes (rendezvous hashing)."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
