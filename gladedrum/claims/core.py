"""Claims on idempotency keys: acquire a key for a request and record the request's outcome."""

import hashlib
import logging
import random
import uuid
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..config import Item, Settings
from ..errors import KVUnavailableError, KVUnknownError
from ..outcome import Completed, Failed, NotRun, Outcome, Unknown
from ..platform import StoreClient
from ..utils import retry_delay_s, sleep, start
from .buckets import Applied, Claim, ClaimKey, ClaimState, HeldByOther, RecordOutcome
from .shard import ClaimShard, ShardLimits

__all__ = [
    "CLAIM_RETENTION",
    "CLAIM_SHARDS",
    "Acquired",
    "AlreadyClaimed",
    "ClaimFailed",
    "ClaimResult",
    "Claims",
    "DifferentBody",
]

CLAIM_SHARDS = Item(
    "claims", "shards", 16, "Into how many shards claims are split; the same on all boxes.",
    minimum=1, maximum=4_096,
)  # fmt: skip
CLAIM_RETENTION = Item(
    "claims", "retention_s", 86_400.0, "How long an idempotency key is remembered.",
    unit="s", minimum=60,
)  # fmt: skip

_PREFIX = "gladedrum/claims"
_RECORD_FIRST_DELAY_S, _RECORD_MAX_DELAY_S = 0.2, 15.0
_MAX_RECORD_ATTEMPTS = 200
# A UUID of version 7 starts with a Unix timestamp in milliseconds.
_TIMESTAMPED_UUID_VERSION = 7
_MS_PER_S = 1_000

_log = logging.getLogger(__name__)


class Acquired(NamedTuple):
    """This request holds the key and may run."""


class AlreadyClaimed(NamedTuple):
    """Another request holds the key, or the key is older than the retention time.

    Parameters
    ----------
    claim : Claim or None
        The claim of the other request; None if the key is too old.
    """

    claim: Claim | None


class DifferentBody(NamedTuple):
    """The key was already used for a request with different content."""


class ClaimFailed(NamedTuple):
    """The key-value service did not confirm the claim; the request must not run."""

    reason: str


ClaimResult = Acquired | AlreadyClaimed | DifferentBody | ClaimFailed
"""The possible results of `Claims.acquire`."""


class Claims:
    """Claims idempotency keys and records the outcomes of their requests.

    Keys are spread over a fixed number of shards by their digest.

    Parameters
    ----------
    cfg : Settings
        Source of the ``[claims]`` settings.
    kv : StoreClient
        Client of the key-value service.
    clock : IReactorTime
        Timer for retry delays and timeouts.
    box : str
        Name of this box.
    now_s : callable
        Returns the wall-clock time, in seconds since the epoch.
    """

    def __init__(
        self,
        cfg: Settings,
        kv: StoreClient,
        clock: IReactorTime,
        box: str,
        now_s: Callable[[], float],
    ):
        self._clock = clock
        self._box = box
        self._now_s = now_s
        self._retention_s = cfg.get(CLAIM_RETENTION)
        self._rng = random.Random()
        self._recording: set[defer.Deferred[None]] = set()
        limits = ShardLimits(retention_s=self._retention_s)
        self._shards = [
            ClaimShard(f"{_PREFIX}/{number}/", kv, now_s, limits)
            for number in range(cfg.get(CLAIM_SHARDS))
        ]

    async def acquire(
        self, organisation: str, key: str, body: bytes, request_id: str
    ) -> ClaimResult:
        """Claim a key for a request.

        Parameters
        ----------
        organisation, key : str
            The key, and the organisation that defines its namespace.
        body : bytes
            Content of the request; reuse of the key with a different body is refused.
        request_id : str
            The request that claims the key.
        """
        if self._is_too_old(key):
            return AlreadyClaimed(None)
        digest = _digest(organisation, key)
        claim = self._claim(request_id, body, ClaimState.RUNNING)
        try:
            result = await self._shard(digest).submit(ClaimKey(digest, claim))
        except (KVUnavailableError, KVUnknownError) as exc:
            if isinstance(exc, KVUnknownError):
                # The claim may have been written. Record that its request never runs.
                self.record_outcome(organisation, key, body, request_id, NotRun("not claimed"))
            return ClaimFailed(f"the key could not be claimed: {exc}")
        match result:
            case Applied():
                return Acquired()
            case HeldByOther(claim=other) if other.body_digest != claim.body_digest:
                return DifferentBody()
            case HeldByOther(claim=other):
                return AlreadyClaimed(other)

    def record_outcome(
        self, organisation: str, key: str, body: bytes, request_id: str, outcome: Outcome
    ) -> None:
        """Record the outcome of a request in the background, with retries."""
        digest = _digest(organisation, key)
        claim = self._claim(request_id, body, _claim_state(outcome))
        task = start(self._record(digest, claim))
        self._recording.add(task)
        task.addBoth(self._on_recorded, task)

    def wait_until_recorded(self, within_s: float) -> defer.Deferred[None]:
        """Return a deferred that fires once all outcomes are recorded, or after `within_s`.

        Used when a box stops. Outcomes that are not recorded by then are lost.
        """
        done: defer.Deferred = defer.DeferredList(self._recording, consumeErrors=True)
        done.addTimeout(within_s, self._clock, onTimeoutCancel=lambda _result, _s: None)
        return done.addCallback(lambda _results: None)

    def _on_recorded(self, result: object, task: defer.Deferred[None]) -> object:
        self._recording.discard(task)
        return result

    async def _record(self, digest: str, claim: Claim) -> None:
        for attempt in range(1, _MAX_RECORD_ATTEMPTS + 1):
            try:
                await self._shard(digest).submit(RecordOutcome(digest, claim))
                return
            except (KVUnavailableError, KVUnknownError):
                pause_s = retry_delay_s(
                    attempt, _RECORD_FIRST_DELAY_S, _RECORD_MAX_DELAY_S, self._rng
                )
                await sleep(self._clock, pause_s)
        _log.error(
            "outcome of a claimed request not recorded", extra={"request_id": claim.request_id}
        )

    def _claim(self, request_id: str, body: bytes, state: ClaimState) -> Claim:
        body_digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        return Claim(request_id, self._box, body_digest, state, round(self._now_s(), 3))

    def _shard(self, digest: str) -> ClaimShard:
        return self._shards[int(digest[:8], 16) % len(self._shards)]

    def _is_too_old(self, key: str) -> bool:
        created_s = _creation_time_s(key)
        return created_s is not None and self._now_s() - created_s > self._retention_s


def _digest(organisation: str, key: str) -> str:
    raw = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(raw, digest_size=12).hexdigest()


def _creation_time_s(key: str) -> float | None:
    """Return the timestamp in a key that is a version 7 UUID, in seconds, else None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMESTAMPED_UUID_VERSION:
        return None
    return (parsed.int >> 80) / _MS_PER_S


def _claim_state(outcome: Outcome) -> ClaimState:
    match outcome:
        case Completed():
            return ClaimState.COMPLETED
        case NotRun():
            return ClaimState.NOT_RUN
        case Failed():
            return ClaimState.FAILED
        case Unknown():
            return ClaimState.UNKNOWN
