"""The claims of one shard, as they are kept in the key-value service. No I/O.

A shard is a row of buckets. Claims are only written into the newest one, which is small; the
older ones are sealed and never change, so that whoever has read one may keep it. A bucket is
sealed before the next one is made. A box that still writes into an older bucket therefore
meets another revision, and finds the newer claims before it tries again.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = ["Book", "Bucket", "Claim", "ClaimState", "Known", "Settle", "Take", "Taken"]


class ClaimState(StrEnum):
    """What is known of a claimed request."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A claimed key.

    Parameters
    ----------
    request_id : str
        The request that holds it.
    box : str
        The box that runs that request.
    body : str
        A digest of what was asked, to tell another use of the same key.
    state : ClaimState
        What is known of it.
    at_s : float
        When this was written, in seconds since the epoch.
    """

    request_id: str
    box: str
    body: str
    state: ClaimState
    at_s: float


class Bucket(msgspec.Struct):
    """Some claims of a shard, by digest of their key.

    Parameters
    ----------
    claims : dict of str to Claim
        A later bucket's claim counts before an earlier one's.
    opened_s : float
        When the bucket was made, in seconds since the epoch.
    sealed : bool
        True if it never changes again.
    """

    claims: dict[str, Claim] = {}
    opened_s: float = 0.0
    sealed: bool = False


class Take(NamedTuple):
    """An operation: claim a key for a request."""

    key: str
    claim: Claim


class Settle(NamedTuple):
    """An operation: write down what became of a request that holds a key."""

    key: str
    claim: Claim


class Taken(NamedTuple):
    """The answer to `Take` if the request holds the key."""


class Known(NamedTuple):
    """The answer to `Take` if another request holds the key."""

    claim: Claim


class Book:
    """The buckets of a shard, as far as they are known.

    Parameters
    ----------
    buckets : dict of int to Bucket
        By number; the highest is the newest.
    """

    def __init__(self, buckets: dict[int, Bucket]):
        self.buckets = dict(sorted(buckets.items()))

    @property
    def newest(self) -> int:
        """The number of the newest bucket, 0 if there is none."""
        return max(self.buckets, default=0)

    def find(self, key: str) -> Claim | None:
        """Return what is known of a key."""
        for bucket in reversed(self.buckets.values()):
            if key in bucket.claims:
                return bucket.claims[key]
        return None

    def apply(
        self, operations: Iterable[Take | Settle], now_s: float
    ) -> tuple[int, Bucket, list[Taken | Known]]:
        """Work out the newest bucket after some operations; the book itself stays.

        Applying the same operations twice has the effect of applying them once.

        Returns
        -------
        tuple of int, Bucket and list
            The number and content of the bucket to write, and an answer for each operation.
        """
        number, current = self.newest, self.buckets.get(self.newest)
        if current is None or current.sealed:
            number, current = number + 1, Bucket(opened_s=now_s)
        claims = dict(current.claims)
        answers = [self._apply_one(operation, claims) for operation in operations]
        return number, Bucket(claims, current.opened_s), answers

    def _apply_one(self, operation: Take | Settle, claims: dict[str, Claim]) -> Taken | Known:
        known = claims.get(operation.key) or self.find(operation.key)
        own = known is not None and known.request_id == operation.claim.request_id
        match operation:
            case Take(key=key, claim=claim):
                if own:
                    return Taken()
                if known is not None and known.state != ClaimState.NOT_RUN:
                    return Known(known)
                claims[key] = claim
                return Taken()
            case Settle(key=key, claim=claim):
                if known is not None and not own:
                    return Known(known)
                claims[key] = claim
                return Taken()
