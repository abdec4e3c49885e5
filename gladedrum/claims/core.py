"""Claiming of idempotency keys."""

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
from ..utils import backoff_s, sleep, start
from .book import Claim, ClaimState, Known, Settle, Take, Taken
from .shard import ClaimShard, ShardLimits

__all__ = [
    "CLAIM_RETENTION",
    "CLAIM_SHARDS",
    "ClaimAnswer",
    "Claims",
    "DifferentBody",
    "Held",
    "Older",
    "Unclaimed",
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
_SETTLE_FIRST_S, _SETTLE_LONGEST_S = 0.2, 15.0
_SETTLE_TRIES = 200
_UUID_WITH_TIME = 7
_MS_PER_S = 1_000

_log = logging.getLogger(__name__)


class Held(NamedTuple):
    """The key is claimed for this request, which may run."""


class Older(NamedTuple):
    """Another request holds the key, or the key is older than keys are remembered.

    Parameters
    ----------
    claim : Claim or None
        What is known of that request; None if the key is too old.
    """

    claim: Claim | None


class DifferentBody(NamedTuple):
    """The key was used for something else."""


class Unclaimed(NamedTuple):
    """The key could not be claimed; the request must not run."""

    reason: str


ClaimAnswer = Held | Older | DifferentBody | Unclaimed
"""What claiming a key can lead to."""


class Claims:
    """Claims keys and writes down what became of their requests.

    Parameters
    ----------
    cfg : Settings
        Read for the ``[claims]`` section.
    kv : StoreClient
        The service.
    clock : IReactorTime
        Where pauses are waited for.
    box : str
        The name of this box.
    now_s : callable
        Returns the time, in seconds since the epoch.
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
        self._settling: set[defer.Deferred[None]] = set()
        limits = ShardLimits(retention_s=self._retention_s)
        self._shards = [
            ClaimShard(f"{_PREFIX}/{number}/", kv, now_s, limits)
            for number in range(cfg.get(CLAIM_SHARDS))
        ]

    async def take(self, organisation: str, key: str, body: bytes, request_id: str) -> ClaimAnswer:
        """Claim a key for a request.

        Parameters
        ----------
        organisation, key : str
            Keys of different organisations do not meet.
        body : bytes
            What is asked; another use of the same key with another body is refused.
        request_id : str
            The request.
        """
        if self._is_too_old(key):
            return Older(None)
        digest = _digest(organisation, key)
        claim = self._claim(request_id, body, ClaimState.RUNNING)
        try:
            answer = await self._shard(digest).submit(Take(digest, claim))
        except (KVUnavailableError, KVUnknownError) as exc:
            if isinstance(exc, KVUnknownError):
                # The claim may stand, though nothing will run under it.
                self.settle(organisation, key, body, request_id, NotRun("not claimed"))
            return Unclaimed(f"the key could not be claimed: {exc}")
        match answer:
            case Taken():
                return Held()
            case Known(claim=other) if other.body != claim.body:
                return DifferentBody()
            case Known(claim=other):
                return Older(other)

    def settle(
        self, organisation: str, key: str, body: bytes, request_id: str, outcome: Outcome
    ) -> None:
        """Write down what became of a request, in the background, until it is done."""
        digest = _digest(organisation, key)
        claim = self._claim(request_id, body, _state_of(outcome))
        task = start(self._settle(digest, claim))
        self._settling.add(task)
        task.addBoth(self._note_settled, task)

    def settled(self, within_s: float) -> defer.Deferred[None]:
        """Return a deferred that fires once all outcomes are written, or when the time is over.

        For a box that stops: what is not written by then is given up.
        """
        done: defer.Deferred = defer.DeferredList(self._settling, consumeErrors=True)
        done.addTimeout(within_s, self._clock, onTimeoutCancel=lambda _result, _s: None)
        return done.addCallback(lambda _results: None)

    def _note_settled(self, result: object, task: defer.Deferred[None]) -> object:
        self._settling.discard(task)
        return result

    async def _settle(self, digest: str, claim: Claim) -> None:
        for attempt in range(1, _SETTLE_TRIES + 1):
            try:
                await self._shard(digest).submit(Settle(digest, claim))
                return
            except (KVUnavailableError, KVUnknownError):
                pause_s = backoff_s(attempt, _SETTLE_FIRST_S, _SETTLE_LONGEST_S, self._rng)
                await sleep(self._clock, pause_s)
        _log.error("claim not settled", extra={"request_id": claim.request_id})

    def _claim(self, request_id: str, body: bytes, state: ClaimState) -> Claim:
        body_digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        return Claim(request_id, self._box, body_digest, state, round(self._now_s(), 3))

    def _shard(self, digest: str) -> ClaimShard:
        return self._shards[int(digest[:8], 16) % len(self._shards)]

    def _is_too_old(self, key: str) -> bool:
        made_s = _time_in_key(key)
        return made_s is not None and self._now_s() - made_s > self._retention_s


def _digest(organisation: str, key: str) -> str:
    raw = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(raw, digest_size=12).hexdigest()


def _time_in_key(key: str) -> float | None:
    """Return when a key was made, if it is a UUID of version 7, which holds that."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_WITH_TIME:
        return None
    return (parsed.int >> 80) / _MS_PER_S


def _state_of(outcome: Outcome) -> ClaimState:
    match outcome:
        case Completed():
            return ClaimState.COMPLETED
        case NotRun():
            return ClaimState.NOT_RUN
        case Failed():
            return ClaimState.FAILED
        case Unknown():
            return ClaimState.UNKNOWN
