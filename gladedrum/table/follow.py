"""Following the table straight from the store, for boxes that do not pass it on."""

import logging
from collections.abc import Callable

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError, KVUnknownError
from ..platform import NEVER, HistoryGoneError, Revision, StoreClient
from ..utils import sleep, start
from .edits import lost_edits
from .spread import TableInForce
from .store import HEAD_KEY, TableStore

__all__ = ["TableFollower"]

WATCH_S = 25.0
"""How long one watch of the table waits, in seconds; each is paid for, and the store allows 30."""

RETRY_S = 2.0
"""Pause after a failed call, in seconds: the last table stays in force meanwhile."""

PEER_CHECK_S = 0.5
"""How often a box that relies on its peers looks at the revision that they name, in seconds."""

SETTLE_S = 1.0
"""How long after its first read a box begins to watch, in seconds: it has read by then who its
peers are."""

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
    follows_peers : callable
        Whether peers tell of new revisions; the store is then read only for a new one, or if they
        have told nothing for as long as a watch waits.
    """

    def __init__(
        self,
        clock: IReactorTime,
        kv: StoreClient,
        in_force: TableInForce,
        follows_peers: Callable[[], bool] = lambda: False,
    ):
        self._clock = clock
        self._kv = kv
        self._store = TableStore(kv)
        self._in_force = in_force
        self._follows_peers = follows_peers
        self._peer_revision = NEVER
        self._told_s = clock.seconds()
        self._settled = False
        self._watching: defer.Deferred | None = None

    def note_era(self) -> None:
        """Note that the store has come back from a copy: the table is read at once."""
        self._peer_revision = max(self._peer_revision, Revision(self._kv.era, 0))
        watching, self._watching = self._watching, None
        if watching is not None:
            watching.cancel()

    def take_peer_revision(self, revision: Revision) -> None:
        """Note the revision that a peer has in force."""
        self._told_s = self._clock.seconds()
        if revision.number == 0:
            self._in_force.note_empty(revision.era)
        self._peer_revision = max(self._peer_revision, revision)
        if revision <= self._in_force.table.place:
            self._in_force.heard()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._may_rely_on_peers():
                await sleep(self._clock, PEER_CHECK_S)
                continue
            try:
                await self._call_store()
            except HistoryGoneError:
                continue
            except (KVUnavailableError, KVUnknownError) as exc:
                age_s = round(self._in_force.age_s, 1)
                _log.info("table not read", extra={"reason": str(exc), "age_s": age_s})
                await sleep(self._clock, RETRY_S)

    def _may_rely_on_peers(self) -> bool:
        told_lately = self._clock.seconds() - self._told_s < WATCH_S
        current = self._peer_revision <= self._in_force.table.place
        return self._follows_peers() and told_lately and current

    async def _call_store(self) -> None:
        held = self._in_force.held
        news = await self._store.read(self._in_force.table, self._in_force.edits)
        if lost_edits(held, news.head):
            # What is in force stays meanwhile; the next look takes the table that has all.
            count = await self._store.write_again(held)
            _log.warning("lost edits of the table written again", extra={"edits": count})
            return
        self._in_force.take(news.table, news.head.edits)
        self._told_s = self._clock.seconds()
        if not self._settled:
            # A box that has just started does not know yet that it has peers to follow: else each
            # of a large fleet holds one watch for nothing.
            self._settled = True
            await sleep(self._clock, SETTLE_S)
        if not self._follows_peers():
            await self._watch(news.kv_revision)

    async def _watch(self, revision: Revision) -> None:
        """Wait for a change, or for the store to come back from a copy."""
        self._watching = watching = start(self._kv.watch(HEAD_KEY, revision, WATCH_S))
        try:
            await watching
        except defer.CancelledError:
            if self._watching is watching:
                raise
        finally:
            if self._watching is watching:
                self._watching = None
