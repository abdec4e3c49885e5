"""Rendezvous hashing: a stable choice among changing candidates.

References
----------
D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous_order", "rendezvous_score"]


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in the order in which `key` prefers them.

    When a name goes away, the order of the others stays, so only the keys that preferred it
    move.

    Examples
    --------
    >>> rendezvous_order("k", ["a", "b", "c"]) == [
    ...     n for n in rendezvous_order("k", ["a", "b", "c", "d"]) if n != "d"
    ... ]
    True
    """
    return sorted(names, key=lambda name: rendezvous_score(key, name), reverse=True)


def rendezvous_score(key: str, name: str) -> bytes:
    """Return how much `key` prefers `name`; the highest is the first in `rendezvous_order`."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
