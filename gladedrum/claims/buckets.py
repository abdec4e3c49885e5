"""Data model of the claims in one shard, without I/O.

The claims of a shard are stored as a numbered sequence of buckets. Boxes write only to the newest
bucket, which stays small. Older buckets are sealed: they never change, so readers may cache them.
A bucket is sealed before the next one is created. A box that still writes to an older bucket
therefore fails its compare-and-swap, and reads the newer claims before it retries.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "Applied",
    "Bucket",
    "Claim",
    "ClaimKey",
    "ClaimState",
    "HeldByOther",
    "RecordOutcome",
    "ShardState",
]


class ClaimState(StrEnum):
    """Progress or outcome of a claimed request.

    A key whose request is in state NOT_RUN can be claimed again.
    """

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The claim of one request on an idempotency key.

    Parameters
    ----------
    request_id : str
        The request that holds the key.
    box : str
        The box that runs that request.
    body_digest : str
        Digest of the request's content; detects reuse of the key for a different request.
    state : ClaimState
        Last recorded state of the request.
    at_s : float
        Time of the last write, in seconds since the epoch.
    """

    request_id: str
    box: str
    body_digest: str
    state: ClaimState
    at_s: float


class Bucket(msgspec.Struct):
    """One bucket of a shard's claims.

    Parameters
    ----------
    claims : dict of str to Claim
        Claims by digest of their key. If several buckets hold a key, the newest bucket wins.
    opened_s : float
        Creation time of the bucket, in seconds since the epoch.
    sealed : bool
        True if the bucket is immutable.
    """

    claims: dict[str, Claim] = {}
    opened_s: float = 0.0
    sealed: bool = False


class ClaimKey(NamedTuple):
    """Operation: claim a key for a request."""

    key: str
    claim: Claim


class RecordOutcome(NamedTuple):
    """Operation: record the outcome of the request that holds a key."""

    key: str
    claim: Claim


class Applied(NamedTuple):
    """Result of an operation whose request holds the key."""


class HeldByOther(NamedTuple):
    """Result of an operation on a key that another request holds."""

    claim: Claim


class ShardState:
    """The buckets of a shard as last read or written by this box.

    Parameters
    ----------
    buckets : dict of int to Bucket
        Buckets by number; the highest number is the newest.
    """

    def __init__(self, buckets: dict[int, Bucket]):
        self.buckets = dict(sorted(buckets.items()))

    @property
    def newest(self) -> int:
        """Number of the newest bucket, or 0 if there is none."""
        return max(self.buckets, default=0)

    def find(self, key: str) -> Claim | None:
        """Return the claim on a key, or None if there is none."""
        for bucket in reversed(self.buckets.values()):
            if key in bucket.claims:
                return bucket.claims[key]
        return None

    def apply(
        self, operations: Iterable[ClaimKey | RecordOutcome], now_s: float
    ) -> tuple[int, Bucket, list[Applied | HeldByOther]]:
        """Compute the newest bucket after some operations, without changing this object.

        Idempotent: applying the same operations twice has the effect of applying them once.

        Returns
        -------
        tuple of int, Bucket and list
            Number and content of the bucket to write, and one result per operation.
        """
        number, current = self.newest, self.buckets.get(self.newest)
        if current is None or current.sealed:
            number, current = number + 1, Bucket(opened_s=now_s)
        claims = dict(current.claims)
        results = [self._apply_one(operation, claims) for operation in operations]
        return number, Bucket(claims, current.opened_s), results

    def _apply_one(
        self, operation: ClaimKey | RecordOutcome, claims: dict[str, Claim]
    ) -> Applied | HeldByOther:
        existing = claims.get(operation.key) or self.find(operation.key)
        same_request = existing is not None and existing.request_id == operation.claim.request_id
        match operation:
            case ClaimKey(key=key, claim=claim):
                if same_request:
                    return Applied()
                if existing is not None and existing.state != ClaimState.NOT_RUN:
                    return HeldByOther(existing)
                claims[key] = claim
                return Applied()
            case RecordOutcome(key=key, claim=claim):
                if existing is not None and not same_request:
                    return HeldByOther(existing)
                claims[key] = claim
                return Applied()
