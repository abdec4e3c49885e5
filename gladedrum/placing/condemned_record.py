"""The record of condemned requests in the platform's store, for boxes that start without peers.

Boxes tell each other, so a box that starts has it from those that run. When all are lost at once,
nobody would know, and each such request would end three more targets; in a fleet that is lost again
and again that has no bound. The record is written by the boxes that read the list of targets for
the others, under a lease, once for each condemned request, and read by a box whose peers know
nothing: two calls a reader for each condemned request, one for each start of a whole fleet.
"""

import json
import logging
from collections.abc import Callable, Iterator

from twisted.internet.interfaces import IReactorTime

from ..beliefs.membership import BoxRegistry
from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform.store import NEVER, StoreClient, StoredItem
from ..scheduling.suspects import KEPT_S, Condemned, Loss, TargetStart, Verdict
from ..utils import sleep, start
from .suspicion import Suspicion

__all__ = ["CONDEMNED_PREFIX", "CondemnedRecord"]

CONDEMNED_PREFIX = "gladedrum/condemned/"

LOOK_S = 0.1
"""How often a box that starts looks whether peers have told it, in seconds."""

PEERS_WITHIN_S = 3.0
"""How long a box that does not read for others waits for them, in seconds: less than the time after
which it is held to know what others know, 3 s on small sites and 5 s on large ones."""

AGAIN_S = 1.0
"""Pause after a call that failed, in seconds."""

TRIES = 20
"""How often a record is written before it is given up: the other reader has written it, or the
store has been away for half a minute."""

_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)

_log = logging.getLogger(__name__)


class CondemnedRecord:
    """Writes and reads the record.

    Parameters
    ----------
    clock : IReactorTime
        The process's clock.
    store : StoreClient
        Where it is.
    registry : BoxRegistry
        Whether the other boxes are known yet.
    suspicion : Suspicion
        Takes what is read; tells what is condemned and lifted.
    is_reader : callable
        Whether this box reads the list of targets for others.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: StoreClient,
        registry: BoxRegistry,
        suspicion: Suspicion,
        is_reader: Callable[[], bool],
    ):
        self._clock = clock
        self._store = store
        self._registry = registry
        self._suspicion = suspicion
        self._is_reader = is_reader
        self._recorded: set[bytes] = set()
        suspicion.on_condemned = self._note_condemned
        suspicion.on_lifted = self._note_lifted

    def note_era(self) -> None:
        """Write the record again: the store has come back from a copy that may lack it."""
        self._recorded.clear()
        for row in self._suspicion.condemned():
            self._note_condemned(row)

    async def run(self) -> None:
        """Learn what is condemned, from peers or the store."""
        since_s = self._clock.seconds()
        while not self._suspicion.is_informed:
            if self._is_to_read(self._clock.seconds() - since_s):
                await self._read()
                await sleep(self._clock, AGAIN_S)
            else:
                await sleep(self._clock, LOOK_S)
        # A supervised child that returns would be run again.
        while True:
            await sleep(self._clock, KEPT_S)

    def _is_to_read(self, waited_s: float) -> bool:
        reads_for_others = self._registry.revision != NEVER and self._is_reader()
        return reads_for_others or waited_s >= PEERS_WITHIN_S

    async def _read(self) -> None:
        try:
            listing = await self._store.list(CONDEMNED_PREFIX)
        except KVUnavailableError as exc:
            _log.warning("record of condemned requests not read", extra={"reason": str(exc)})
            return
        losses = [loss for item in listing.items for loss in self._losses_of(item)]
        self._recorded |= {loss.digest for loss in losses}
        self._suspicion.take_recorded(losses)

    def _losses_of(self, item: StoredItem) -> Iterator[Loss]:
        """Return what an item says, as if it had just happened: the store tells no ages."""
        try:
            digest = bytes.fromhex(item.key.removeprefix(CONDEMNED_PREFIX))
            row = json.loads(item.value or b"")
            starts = [TargetStart(str(name), int(born)) for name, born in row["starts"]]
            whose = str(row["route"]), str(row["organisation"])
        except (ValueError, KeyError, TypeError) as exc:
            extra = {"key": item.key, "reason": repr(exc)}
            _log.error("condemned request's entry not read", extra=extra)
            return
        now_s = self._clock.seconds()
        for target in starts:
            yield Loss(digest, target, now_s, Verdict.ENDED, *whose)

    def _note_condemned(self, row: Condemned) -> None:
        if row.digest not in self._recorded and self._is_reader():
            self._recorded.add(row.digest)
            start(self._write(row)).addErrback(_log_failure)

    def _note_lifted(self, digest: bytes) -> None:
        self._recorded.discard(digest)
        start(self._remove(digest)).addErrback(_log_failure)

    async def _write(self, row: Condemned) -> None:
        body = {"route": row.route, "organisation": row.organisation, "starts": row.starts}
        value = json.dumps(body).encode()
        for _ in range(TRIES):
            try:
                lease = await self._store.grant_lease(KEPT_S)
                await self._store.transact({}, {_key(row.digest): value}, lease=lease)
                return
            except _STORE_ERRORS as exc:
                reason = str(exc)
            await sleep(self._clock, AGAIN_S)
        _log.error("condemned request not recorded", extra={"reason": reason})

    async def _remove(self, digest: bytes) -> None:
        for _ in range(TRIES):
            try:
                await self._store.transact({}, {}, [_key(digest)])
                return
            except _STORE_ERRORS as exc:
                reason = str(exc)
            await sleep(self._clock, AGAIN_S)
        _log.error("lifted request's entry not removed", extra={"reason": reason})


def _key(digest: bytes) -> str:
    return CONDEMNED_PREFIX + digest.hex()


def _log_failure(failure) -> None:
    _log.error("record of condemned requests failed", extra={"reason": failure.getTraceback()})
