"""Following the table straight from the store, for boxes that do not pass it on."""

import logging

from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError
from ..platform import HistoryGoneError, StoreClient
from ..utils import sleep
from .spread import TableInForce
from .store import HEAD_KEY, TableStore

__all__ = ["TableFollower"]

WATCH_S = 25.0
"""How long one watch of the table waits, in seconds; each is paid for, and the store allows 30."""

RETRY_S = 2.0
"""Pause after a failed call, in seconds: the last table stays in force meanwhile."""

_log = logging.getLogger(__name__)


class TableFollower:
    """Keeps the table in force up to date.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    kv : StoreClient
        Where the table is.
    in_force : TableInForce
        The table that counts on this box.
    """

    def __init__(self, clock: IReactorTime, kv: StoreClient, in_force: TableInForce):
        self._clock = clock
        self._kv = kv
        self._store = TableStore(kv)
        self._in_force = in_force

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                news = await self._store.read(self._in_force.table)
                self._in_force.take(news.table, news.head.edits)
                await self._kv.watch(HEAD_KEY, news.kv_revision, WATCH_S)
            except HistoryGoneError:
                continue
            except KVUnavailableError as exc:
                age_s = round(self._in_force.age_s, 1)
                _log.info("table not read", extra={"reason": str(exc), "age_s": age_s})
                await sleep(self._clock, RETRY_S)
