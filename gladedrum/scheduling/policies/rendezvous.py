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
    """Return `names` in the order of preference for `key`.

    If a name is removed, the order of the others does not change, so only keys that preferred it
    are reassigned.

    Examples
    --------
    >>> rendezvous_order("k", ["a", "b", "c"]) == [
    ...     n for n in rendezvous_order("k", ["a", "b", "c", "d"]) if n != "d"
    ... ]
    True
    """
    return sorted(names, key=lambda name: rendezvous_score(key, name), reverse=True)


def rendezvous_score(key: str, name: str) -> bytes:
    """Return the score of `name` for `key`; the highest comes first in `rendezvous_order`."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
