"""Following the table directly from the store, for boxes that do not pass it on to peers.

If peers read the store for this box, they send it their revisions. It then reads the store only
for a newer revision, or when it has received none for `WATCH_TIMEOUT_S`.
"""

import logging
import random
from collections.abc import Callable

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError, KVUnknownError
from ..platform import NEVER, HistoryGoneError, Revision, StoreClient
from ..utils import Wait, retry_delay_s, sleep, start
from .edits import lost_edits
from .replication import TableInForce
from .store import HEAD_KEY, TableStore

__all__ = ["TableFollower"]

WATCH_TIMEOUT_S = 25.0
"""How long one watch of the table waits, in seconds. The store charges per call and allows 30."""

RETRY_DELAY_S = 2.0
"""Pause after a failed call, in seconds; the last table stays in force meanwhile."""

FIRST_RETRY_DELAY_S = 0.2
"""Longest pause after the first failed read of a revision that peers have, in seconds."""

MAX_SOON_RETRIES = 2
"""How often in a row such a read is repeated soon; after that the pause is `RETRY_DELAY_S`."""

PEER_CHECK_INTERVAL_S = 0.5
"""How often a box that relies on its peers compares its revision with theirs, in seconds."""

FIRST_WATCH_DELAY_S = 1.0
"""Pause between the first read and the first watch, in seconds; by then the box has read the list
of its peers."""

_log = logging.getLogger(__name__)


class TableFollower:
    """Keeps a `TableInForce` up to date by watching the store, or by the revisions that peers send.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    kv : StoreClient
        The store that holds the table.
    in_force : TableInForce
        Kept up to date.
    follows_peers : callable
        Returns whether peers inform this box of new revisions. If so, it reads the store only for
        a new revision, or if peers have been silent for `WATCH_TIMEOUT_S`.
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
        self._last_informed_s = clock.seconds()
        self._first_read_done = False
        self._wait = Wait(clock)
        self._rng = random.Random()
        self._failures = 0
        self._pending_watch: defer.Deferred | None = None

    def note_store_restored(self) -> None:
        """Read the table again at once, since the store was restored from a copy."""
        self._peer_revision = max(self._peer_revision, Revision(self._kv.era, 0))
        pending, self._pending_watch = self._pending_watch, None
        if pending is not None:
            pending.cancel()

    def note_peer_revision(self, revision: Revision) -> None:
        """Record the revision that a peer has in force."""
        self._last_informed_s = self._clock.seconds()
        if revision.number == 0:
            self._in_force.note_empty(revision.era)
        if revision > self._peer_revision:
            self._peer_revision = revision
            self._failures = 0
            if self._peers_have_newer:
                self._wait.end_within()
        if revision <= self._in_force.table.full_revision:
            self._in_force.mark_confirmed()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._may_rely_on_peers():
                await self._wait.wait(PEER_CHECK_INTERVAL_S)
                continue
            try:
                await self._read_and_watch()
                self._failures = 0
            except HistoryGoneError:
                continue
            except (KVUnavailableError, KVUnknownError) as exc:
                age_s = round(self._in_force.age_s, 1)
                _log.info("reading the table failed", extra={"reason": str(exc), "age_s": age_s})
                self._failures += 1
                await self._wait.wait(self._retry_delay_s())

    @property
    def _peers_have_newer(self) -> bool:
        return self._peer_revision > self._in_force.table.full_revision

    def _retry_delay_s(self) -> float:
        if not self._peers_have_newer or self._failures > MAX_SOON_RETRIES:
            return RETRY_DELAY_S
        return retry_delay_s(self._failures, FIRST_RETRY_DELAY_S, RETRY_DELAY_S, self._rng)

    def _may_rely_on_peers(self) -> bool:
        informed_recently = self._clock.seconds() - self._last_informed_s < WATCH_TIMEOUT_S
        return self._follows_peers() and informed_recently and not self._peers_have_newer

    async def _read_and_watch(self) -> None:
        accepted = self._in_force.accepted_edits
        stored = await self._store.read(self._in_force.table, self._in_force.edits)
        if lost_edits(accepted, stored.head):
            # The table in force stays until the next read, which gets the restored edits.
            count = await self._store.restore_lost_edits(accepted)
            _log.warning("lost edits of the table restored", extra={"edits": count})
            return
        self._in_force.adopt(stored.table, stored.head.edits)
        self._last_informed_s = self._clock.seconds()
        if not self._first_read_done:
            # A box that has just started does not know yet whether it has peers to follow. Without
            # the pause, every box of a large fleet would start a needless watch.
            self._first_read_done = True
            await sleep(self._clock, FIRST_WATCH_DELAY_S)
        if not self._follows_peers():
            await self._watch(stored.kv_revision)

    async def _watch(self, revision: Revision) -> None:
        """Wait for a change of the table, the timeout, or a restore of the store from a copy."""
        self._pending_watch = pending = start(self._kv.watch(HEAD_KEY, revision, WATCH_TIMEOUT_S))
        try:
            await pending
        except defer.CancelledError:
            # `note_store_restored` clears the attribute before it cancels the watch. Any other
            # cancellation is meant for this task.
            if self._pending_watch is pending:
                raise
        finally:
            if self._pending_watch is pending:
                self._pending_watch = None
