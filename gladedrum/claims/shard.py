"""Writing of claims into the key-value service: one compare-and-swap for all that wait."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.internet import defer

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import ABSENT, Revision, StoreClient
from ..utils import start
from .book import Book, Bucket, Known, Settle, Take, Taken

__all__ = ["ClaimShard", "ShardLimits"]

_TRIES = 16

_log = logging.getLogger(__name__)
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Bucket).decode


class ShardLimits(NamedTuple):
    """When buckets are sealed and dropped.

    Parameters
    ----------
    bucket_claims : int
        A bucket with so many claims is sealed.
    bucket_s : float
        A bucket of this age is sealed, in seconds.
    retention_s : float
        A sealed bucket of this age is dropped, in seconds.
    """

    bucket_claims: int = 512
    bucket_s: float = 300.0
    retention_s: float = 86_400.0


class ClaimShard:
    """The claims of one shard, as this box writes them.

    Correct whoever else writes: every write is a compare-and-swap of the newest bucket, and
    a lost answer is settled by reading back.

    Parameters
    ----------
    prefix : str
        The start of the shard's keys.
    kv : StoreClient
        The service.
    now_s : callable
        Returns the time, in seconds since the epoch.
    limits : ShardLimits
        When buckets are sealed and dropped.
    """

    def __init__(
        self, prefix: str, kv: StoreClient, now_s: Callable[[], float], limits: ShardLimits
    ):
        self._prefix = prefix
        self._kv = kv
        self._now_s = now_s
        self._limits = limits
        self._book: Book | None = None
        self._revisions: dict[int, Revision] = {}
        self._waiting: list[tuple[Take | Settle, defer.Deferred[Taken | Known]]] = []
        self._busy = False

    def submit(self, operation: Take | Settle) -> defer.Deferred[Taken | Known]:
        """Carry an operation out together with all others that wait.

        Returns
        -------
        Deferred
            Fires with the answer, or fails with `KVUnavailableError` if the operation surely
            has no effect, or `KVUnknownError` if nobody can say.
        """
        answer: defer.Deferred[Taken | Known] = defer.Deferred()
        self._waiting.append((operation, answer))
        if not self._busy:
            self._busy = True
            start(self._work())
        return answer

    async def _work(self) -> None:
        try:
            while self._waiting:
                batch, self._waiting = self._waiting, []
                await self._commit(batch)
        finally:
            self._busy = False

    async def _commit(
        self, batch: list[tuple[Take | Settle, defer.Deferred[Taken | Known]]]
    ) -> None:
        operations = [operation for operation, _ in batch]
        try:
            answers = await self._write(operations)
        except (KVUnavailableError, KVUnknownError) as exc:
            self._book = None
            _fail(batch, exc)
            return
        except Exception as exc:
            # Whoever waits must learn of a fault of ours too, or would wait for ever.
            _log.exception("claims not written", extra={"shard": self._prefix})
            self._book = None
            _fail(batch, KVUnknownError(f"a fault in writing claims: {exc!r}"))
            return
        for (_, waiting), answer in zip(batch, answers, strict=True):
            waiting.callback(answer)

    async def _write(self, operations: list[Take | Settle]) -> list[Taken | Known]:
        """Write until it is known that the operations have taken effect, or cannot."""
        in_doubt: KVUnknownError | None = None
        for _ in range(_TRIES):
            try:
                await self._prepare()
                number, bucket, answers = self._book.apply(operations, self._now_s())
                if bucket == self._book.buckets.get(number):
                    # Nothing is new: all keys are known, or a lost answer has been found.
                    return answers
                await self._swap(number, bucket)
                return answers
            except KVConflictError:
                self._book = None
            except KVUnknownError as exc:
                in_doubt = exc
                self._book = None
            except KVUnavailableError:
                if in_doubt is not None:
                    raise in_doubt from None
                raise
        raise in_doubt or KVUnavailableError("too many others write the same claims")

    async def _prepare(self) -> None:
        """Read the shard if it is not known, and seal the newest bucket if it is full."""
        if self._book is None:
            rows = await self._kv.get_prefix(self._prefix)
            self._revisions = {_number(key): row.revision for key, row in rows.items()}
            self._book = Book({_number(key): _decode(row.value) for key, row in rows.items()})
        newest = self._book.buckets.get(self._book.newest)
        if newest is None or newest.sealed or not self._is_full(newest):
            return
        await self._swap(self._book.newest, Bucket(newest.claims, newest.opened_s, sealed=True))
        await self._drop_old()

    def _is_full(self, bucket: Bucket) -> bool:
        too_old = self._now_s() - bucket.opened_s >= self._limits.bucket_s
        return bool(bucket.claims) and (too_old or len(bucket.claims) >= self._limits.bucket_claims)

    async def _swap(self, number: int, bucket: Bucket) -> None:
        expected = self._revisions.get(number, ABSENT)
        revision = await self._kv.swap(self._key(number), _encode(bucket), expected)
        self._revisions[number] = revision
        self._book = Book({**self._book.buckets, number: bucket})

    async def _drop_old(self) -> None:
        oldest_s = self._now_s() - self._limits.retention_s
        for number, bucket in list(self._book.buckets.items()):
            newest_s = max((c.at_s for c in bucket.claims.values()), default=bucket.opened_s)
            if not bucket.sealed or number == self._book.newest or newest_s > oldest_s:
                return
            try:
                await self._kv.delete(self._key(number), self._revisions[number])
            except (KVConflictError, KVUnavailableError, KVUnknownError):
                # The next bucket that is sealed tries again.
                return
            remaining = {n: b for n, b in self._book.buckets.items() if n != number}
            self._book = Book(remaining)
            _log.info("old claims dropped", extra={"shard": self._prefix, "bucket": number})

    def _key(self, number: int) -> str:
        return f"{self._prefix}{number:010d}"


def _fail(batch: list[tuple[Take | Settle, defer.Deferred[Taken | Known]]], exc: Exception) -> None:
    for _, waiting in batch:
        waiting.errback(exc)


def _number(key: str) -> int:
    return int(key.rpartition("/")[2])
