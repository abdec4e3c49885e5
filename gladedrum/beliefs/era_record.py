"""A record in the store of the latest era that boxes have trusted.

A store that was restored from a copy lacks what was written last, until it is written again. A
running box sees a restore by the store's era, and distrusts its reads for a while. A starting box
has seen no earlier era: without more, it can't tell a store that was restored a moment ago from one
that never was. So boxes write the era into the store once they have trusted it for the first time.
A copy holds the record of an earlier era, or none.
"""

import logging
import random

from twisted.internet.interfaces import IReactorTime

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform.store import ABSENT, StoreClient, StoredItem
from ..utils import sleep, start

__all__ = ["ERA_KEY", "EraRecord"]

ERA_KEY = "gladedrum/era"

READ_TIMEOUT_S = 0.3
"""Timeout of a read of the record, in seconds: what a starting box may lose by it."""

WRITE_SPREAD_S = 2.0
"""Boxes write the record within this time, in seconds, each after a look whether another one has.
Otherwise all boxes of a fleet would write it at once."""

RETRY_S = 10.0
"""Pause before a failed write is repeated, in seconds."""

_STORE_ERRORS = (KVConflictError, KVUnavailableError, KVUnknownError)

_log = logging.getLogger(__name__)


class EraRecord:
    """Reads and writes the record.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    store : StoreClient
        Holds the record.
    rng : random.Random
        Spreads the writes.
    """

    def __init__(self, clock: IReactorTime, store: StoreClient, rng: random.Random):
        self._clock = clock
        self._store = store
        self._rng = rng
        self._may_lack = False
        self._next_write_s = float("-inf")

    async def read(self) -> int:
        """Return the recorded era; -1 if there is none, or if it can't be read.

        A stale read serves: it may show an earlier record only.
        """
        try:
            return _era_of(await self._read())
        except _STORE_ERRORS as exc:
            _log.info("record of the store's era not read", extra={"reason": str(exc)})
            return -1

    def note_missing(self) -> None:
        """Handle that the record may lack the present era."""
        self._may_lack = True

    def note_trusted(self, era: int) -> None:
        """Record that this box has trusted an era, if the record may lack it."""
        now_s = self._clock.seconds()
        if self._may_lack and now_s >= self._next_write_s:
            self._next_write_s = now_s + RETRY_S
            start(self._write(era)).addErrback(_log_failure)

    async def _write(self, era: int) -> None:
        await sleep(self._clock, self._rng.uniform(0.0, WRITE_SPREAD_S))
        try:
            item = await self._read()
            if _era_of(item) != era == self._store.era:
                revision = ABSENT if item is None else item.revision
                await self._store.transact({ERA_KEY: revision}, {ERA_KEY: b"%d" % era})
                _log.info("era of the store recorded as trusted", extra={"era": era})
            self._may_lack = era < self._store.era
        except _STORE_ERRORS as exc:
            _log.info("record of the store's era not written", extra={"reason": str(exc)})

    async def _read(self) -> StoredItem | None:
        listing = await self._store.list(ERA_KEY, stale=True, timeout_s=READ_TIMEOUT_S)
        return next((item for item in listing.items if item.key == ERA_KEY), None)


def _era_of(item: StoredItem | None) -> int:
    """Return the era in the record, -1 if there is none or it is malformed."""
    text = b"" if item is None else item.value or b""
    return int(text) if text.isdigit() and len(text) <= 12 else -1


def _log_failure(failure) -> None:
    _log.error("recording the store's era failed", extra={"reason": failure.getTraceback()})
