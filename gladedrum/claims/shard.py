"""Writes claims to the key-value service.

Operations that arrive during a write are batched into the next compare-and-swap.
"""

import logging
import re
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from twisted.internet import defer

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import ABSENT, Revision, StoreClient, StoredItem
from ..utils import start
from .buckets import Applied, Bucket, ClaimKey, HeldByOther, RecordOutcome, ShardState

__all__ = ["ClaimShard", "ShardLimits"]

_MAX_WRITE_ATTEMPTS = 16

_BUCKET_NUMBER = re.compile(r"[0-9]{10,18}")

_log = logging.getLogger(__name__)
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Bucket).decode


class ShardLimits(NamedTuple):
    """Thresholds for sealing and deleting buckets.

    Parameters
    ----------
    bucket_claims : int
        Number of claims at which a bucket is sealed.
    bucket_s : float
        Age at which a bucket is sealed, in seconds.
    retention_s : float
        Age of its newest claim at which a sealed bucket is deleted, in seconds.
    """

    max_bucket_claims: int = 512
    max_bucket_age_s: float = 300.0
    retention_s: float = 86_400.0


class ClaimShard:
    """This box's writer for the claims of one shard.

    Safe with concurrent writers on other boxes: every write is a compare-and-swap of the newest
    bucket. If the response to a write is lost, the shard is read again to find out whether the
    write took effect.

    Parameters
    ----------
    prefix : str
        Prefix of the shard's keys in the key-value service.
    kv : StoreClient
        Client of the key-value service.
    now_s : callable
        Returns the wall-clock time, in seconds since the epoch.
    limits : ShardLimits
        Thresholds for sealing and deleting buckets.
    """

    def __init__(
        self, prefix: str, kv: StoreClient, now_s: Callable[[], float], limits: ShardLimits
    ):
        self._prefix = prefix
        self._kv = kv
        self._now_s = now_s
        self._limits = limits
        self._state: ShardState | None = None
        self._revisions: dict[int, Revision] = {}
        self._pending: list[
            tuple[ClaimKey | RecordOutcome, defer.Deferred[Applied | HeldByOther]]
        ] = []
        self._writing = False

    def submit(self, operation: ClaimKey | RecordOutcome) -> defer.Deferred[Applied | HeldByOther]:
        """Queue an operation for the next batch.

        Returns
        -------
        Deferred
            Fires with the result. Fails with `KVUnavailableError` if the operation certainly had
            no effect, and with `KVUnknownError` if it may have had one.
        """
        result: defer.Deferred[Applied | HeldByOther] = defer.Deferred()
        self._pending.append((operation, result))
        if not self._writing:
            self._writing = True
            start(self._write_batches())
        return result

    async def _write_batches(self) -> None:
        try:
            while self._pending:
                batch, self._pending = self._pending, []
                await self._commit(batch)
        finally:
            self._writing = False

    async def _commit(
        self, batch: list[tuple[ClaimKey | RecordOutcome, defer.Deferred[Applied | HeldByOther]]]
    ) -> None:
        operations = [operation for operation, _ in batch]
        try:
            results = await self._write(operations)
        except (KVUnavailableError, KVUnknownError) as exc:
            self._state = None
            _fail(batch, exc)
            return
        except Exception as exc:
            # An internal error must fail the callers too, or they would wait forever.
            _log.exception("internal error while writing claims", extra={"shard": self._prefix})
            self._state = None
            _fail(batch, KVUnknownError(f"a fault in writing claims: {exc!r}"))
            return
        for (_, deferred), result in zip(batch, results, strict=True):
            deferred.callback(result)

    async def _write(
        self, operations: list[ClaimKey | RecordOutcome]
    ) -> list[Applied | HeldByOther]:
        """Write the operations, and retry on conflicts and lost responses."""
        in_doubt: KVUnknownError | None = None
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                await self._load_and_rotate()
                number, bucket, results = self._state.apply(operations, self._now_s())
                if bucket == self._state.buckets.get(number):
                    # Nothing to write: other requests hold the keys, or an earlier write whose
                    # response was lost did take effect.
                    return results
                await self._swap(number, bucket)
                return results
            except KVConflictError:
                self._state = None
            except KVUnknownError as exc:
                in_doubt = exc
                self._state = None
            except KVUnavailableError:
                if in_doubt is not None:
                    raise in_doubt from None
                raise
        raise in_doubt or KVUnavailableError("too many others write the same claims")

    async def _load_and_rotate(self) -> None:
        """Read the shard if it is not cached; seal the newest bucket if it is full or too old."""
        if self._state is None:
            rows = await self._kv.get_prefix(self._prefix)
            numbers = {key: _bucket_number(key.removeprefix(self._prefix)) for key in rows}
            buckets = {number: rows[key] for key, number in numbers.items() if number}
            self._log_foreign([key for key, number in numbers.items() if not number])
            self._revisions = {number: row.revision for number, row in buckets.items()}
            self._state = ShardState({n: self._bucket(n, row) for n, row in buckets.items()})
        newest = self._state.buckets.get(self._state.newest)
        if newest is None or newest.sealed or not self._must_seal(newest):
            return
        await self._swap(self._state.newest, Bucket(newest.claims, newest.opened_s, sealed=True))
        await self._delete_expired()

    def _bucket(self, number: int, row: StoredItem) -> Bucket:
        """Return a bucket; raises `KVUnavailableError` if it is malformed.

        It may have held claims before another writer replaced it. Without them a request might run
        a second time, so none of the shard is run.
        """
        try:
            return _decode(row.value or b"")
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            extra = {"shard": self._prefix, "bucket": number, "reason": str(exc)}
            _log.error("malformed bucket of claims", extra=extra)
            raise KVUnavailableError(f"bucket {number} of the claims is malformed") from exc

    def _log_foreign(self, keys: list[str]) -> None:
        if keys:
            extra = {"shard": self._prefix, "count": len(keys), "first": ascii(keys[0])[:200]}
            _log.error("keys of no bucket among the claims ignored", extra=extra)

    def _must_seal(self, bucket: Bucket) -> bool:
        too_old = self._now_s() - bucket.opened_s >= self._limits.max_bucket_age_s
        return bool(bucket.claims) and (
            too_old or len(bucket.claims) >= self._limits.max_bucket_claims
        )

    async def _swap(self, number: int, bucket: Bucket) -> None:
        expected = self._revisions.get(number, ABSENT)
        revision = await self._kv.swap(self._key(number), _encode(bucket), expected)
        self._revisions[number] = revision
        self._state = ShardState({**self._state.buckets, number: bucket})

    async def _delete_expired(self) -> None:
        cutoff_s = self._now_s() - self._limits.retention_s
        for number, bucket in list(self._state.buckets.items()):
            last_claim_s = max((c.at_s for c in bucket.claims.values()), default=bucket.opened_s)
            if not bucket.sealed or number == self._state.newest or last_claim_s > cutoff_s:
                return
            try:
                await self._kv.delete(self._key(number), self._revisions[number])
            except (KVConflictError, KVUnavailableError, KVUnknownError):
                # Deletion is tried again when the next bucket is sealed.
                return
            remaining = {n: b for n, b in self._state.buckets.items() if n != number}
            self._state = ShardState(remaining)
            _log.info("expired claims deleted", extra={"shard": self._prefix, "bucket": number})

    def _key(self, number: int) -> str:
        return self._prefix + _bucket_name(number)


def _fail(
    batch: list[tuple[ClaimKey | RecordOutcome, defer.Deferred[Applied | HeldByOther]]],
    exc: Exception,
) -> None:
    for _, deferred in batch:
        deferred.errback(exc)


def _bucket_number(text: str) -> int:
    """Return the number of the bucket whose key ends so, 0 if no bucket's does."""
    if not _BUCKET_NUMBER.fullmatch(text):
        return 0
    number = int(text)
    return number if _bucket_name(number) == text else 0


def _bucket_name(number: int) -> str:
    return f"{number:010d}"
