"""The record of condemned requests in the platform's store, for boxes that start without peers.

A request, or a part of prompts, is *condemned*, and refused for a while, once it has ended several
targets that ran it (see `scheduling.suspects`). A starting box learns the condemned requests from
running boxes. After a restart of the whole fleet only the store still has them; without the record,
each of them would end three more targets. The list readers, the boxes that read the target list for
all others (`CoordinatorGroup.readers`), write the record under a lease, once per condemned request.
A starting box reads it if no peer informs it. This costs two calls per list reader and condemned
request, and one for each start of a whole fleet. Without the record, a fleet that is lost again and
again would have no bound on the targets that such requests end.
"""

import logging
from collections.abc import Callable, Iterable, Iterator

from twisted.internet.interfaces import IReactorTime

from ..beliefs.membership import BoxRegistry
from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform.codecs import MalformedError
from ..platform.malformed import MalformedEntries
from ..platform.store import NEVER, StoreClient, StoredItem
from ..scheduling.suspects import LOSS_RETENTION_S, Condemned, Loss, LossVerdict
from ..utils import sleep, start
from .condemned_codec import Record, decode_record, encode_record
from .suspicion import Suspicion

__all__ = ["CONDEMNED_PREFIX", "CondemnedRecord"]

CONDEMNED_PREFIX = "gladedrum/condemned/"

POLL_S = 0.1
"""How often a starting box checks whether peers have informed it, in seconds."""

PEER_WAIT_S = 3.0
"""How long a box that is no list reader waits for peers before it reads the record, in seconds.
This is no longer than the time after which peers expect it to be informed (3 s on small
sites, 5 s on large ones)."""

RETRY_PAUSE_S = 1.0
"""Pause after a failed call, in seconds."""

MAX_ATTEMPTS = 20
"""Number of attempts to write a record. After that, the other list reader has written it, or the
store has been unavailable for half a minute."""

_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)

_log = logging.getLogger(__name__)


class CondemnedRecord:
    """Writes each newly condemned request to the record, and reads the record on a start.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    store : StoreClient
        The store that holds the record.
    registry : BoxRegistry
        Its revision shows whether the list of boxes has been read yet.
    suspicion : Suspicion
        Receives the losses that are read; reports condemned and lifted requests.
    is_reader : callable
        Returns whether this box is a list reader.

    Attributes
    ----------
    malformed : MalformedEntries
        The records that the latest read has skipped.
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
        self.malformed = MalformedEntries("condemned request")
        suspicion.on_condemned = self._note_condemned
        suspicion.on_lifted = self._note_lifted

    def note_store_restored(self) -> None:
        """Write the record again: the store was restored from a copy that may lack it."""
        self._recorded.clear()
        for row in self._suspicion.condemned():
            self._note_condemned(row)

    async def run(self) -> None:
        """Wait until peers have sent the condemned requests, else read them from the store."""
        since_s = self._clock.seconds()
        while not self._suspicion.is_informed:
            if self._should_read(self._clock.seconds() - since_s):
                await self._read()
                await sleep(self._clock, RETRY_PAUSE_S)
            else:
                await sleep(self._clock, POLL_S)
        # Does not return, since a supervised task that returns is restarted.
        while True:
            await sleep(self._clock, LOSS_RETENTION_S)

    def _should_read(self, waited_s: float) -> bool:
        reads_for_others = self._registry.revision != NEVER and self._is_reader()
        return reads_for_others or waited_s >= PEER_WAIT_S

    async def _read(self) -> None:
        try:
            listing = await self._store.list(CONDEMNED_PREFIX)
        except KVUnavailableError as exc:
            _log.warning(
                "reading the record of condemned requests failed", extra={"reason": str(exc)}
            )
            return
        losses = list(self._losses_in(listing.items))
        self._recorded |= {loss.digest for loss in losses}
        self._suspicion.add_recorded(losses)

    def _losses_in(self, items: Iterable[StoredItem]) -> Iterator[Loss]:
        """Yield the losses in all well-formed items, dated now since the store keeps no ages."""
        now_s, malformed = self._clock.seconds(), {}
        for item in items:
            key = item.key.removeprefix(CONDEMNED_PREFIX)
            try:
                row = decode_record(key, item.value or b"")
            except MalformedError as exc:
                malformed[key] = str(exc)
                continue
            origin = row.route, row.organisation, row.part
            for target in row.starts:
                # A part was tested with different requests, which the record doesn't name.
                is_test = target in row.tests
                request = target.name.encode() if is_test else b""
                yield Loss(row.digest, target, now_s, LossVerdict.ENDED, *origin, is_test, request)
        self.malformed.note(malformed)

    def _note_condemned(self, row: Condemned) -> None:
        if row.digest not in self._recorded and self._is_reader():
            self._recorded.add(row.digest)
            start(self._write(row)).addErrback(_log_failure)

    def _note_lifted(self, digest: bytes) -> None:
        self._recorded.discard(digest)
        start(self._remove(digest)).addErrback(_log_failure)

    async def _write(self, row: Condemned) -> None:
        record = Record(
            row.digest, row.route, row.organisation, row.starts, row.part, frozenset(row.tests)
        )
        value = encode_record(record)
        for _ in range(MAX_ATTEMPTS):
            try:
                lease = await self._store.grant_lease(LOSS_RETENTION_S)
                await self._store.transact({}, {_key(row.digest): value}, lease=lease)
                return
            except _STORE_ERRORS as exc:
                reason = str(exc)
            await sleep(self._clock, RETRY_PAUSE_S)
        _log.error("recording a condemned request failed", extra={"reason": reason})

    async def _remove(self, digest: bytes) -> None:
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._store.transact({}, {}, [_key(digest)])
                return
            except _STORE_ERRORS as exc:
                reason = str(exc)
            await sleep(self._clock, RETRY_PAUSE_S)
        _log.error("removing the record of a lifted request failed", extra={"reason": reason})


def _key(digest: bytes) -> str:
    return CONDEMNED_PREFIX + digest.hex()


def _log_failure(failure) -> None:
    _log.error("record of condemned requests failed", extra={"reason": failure.getTraceback()})
