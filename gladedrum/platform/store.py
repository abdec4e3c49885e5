"""The client of the platform's store.

How a call can go wrong is kept apart: it did nothing (`KVUnavailableError`), its condition did
not hold (`KVConflictError`), the history it asks for is gone (`HistoryGoneError`), or nobody can
say whether it was done (`KVUnknownError`).

The store may come back from a copy of itself that is some seconds old. Every answer names its era,
which rises by one each time. Revisions and leases are given out again then, so each carries the era
in which it was given: those of two eras are never the same, and the later era's is the newer.
"""

import base64
import logging
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote

from ..config import Item
from ..errors import GladedrumError, KVConflictError, KVUnavailableError, KVUnknownError
from ..utils import JsonReply, LostAnswerError, NotSentError, WebClient
from . import wire

__all__ = [
    "ABSENT",
    "CALL_TIMEOUT_S",
    "NEVER",
    "PROBE_TIMEOUT_S",
    "STORE",
    "HistoryGoneError",
    "Lease",
    "Listing",
    "Revision",
    "StoreClient",
    "StoredItem",
    "WatchAnswer",
]

STORE = Item("platform", "store", "127.0.0.1:2379", "IP:PORT of the platform's store.")

CALL_TIMEOUT_S = 1.5
"""How long an answer may take, in seconds; far above the few milliseconds of a sound store."""

PROBE_TIMEOUT_S = 0.7
"""As `CALL_TIMEOUT_S` for a store that has not answered lately, in seconds: its return is noticed
sooner by many short calls than by a long one, and a slow store still answers in time."""

_WATCH_GRACE_S = 1.0
"""How long after its own end the answer of a watch may come, in seconds."""


_ERA_DIGITS = 12
"""A longer number is no era."""

_log = logging.getLogger(__name__)


class HistoryGoneError(GladedrumError):
    """The store has forgotten the changes that a watch asks for; read the state instead."""


class Revision(NamedTuple):
    """A place in the order of the store's changes.

    Parameters
    ----------
    era : int
        The era in which it was given; 0 if the store names none.
    number : int
        Rises with each change within an era.

    Examples
    --------
    >>> Revision(1, 900) < Revision(2, 3)
    True
    """

    era: int
    number: int


ABSENT = Revision(0, 0)
"""The revision of a key that isn't there, in conditions."""

NEVER = Revision(-1, -1)
"""Older than any revision."""


class Lease(NamedTuple):
    """A lease, and the era in which it was given: its number is given out again in the next."""

    era: int
    number: int


class StoredItem(NamedTuple):
    """A key and its value; `value` is None if a watch reports that the key is gone."""

    key: str
    value: bytes | None
    revision: Revision


class Listing(NamedTuple):
    """All items under a prefix, and the store's revision at the first page."""

    items: tuple[StoredItem, ...]
    revision: Revision


class WatchAnswer(NamedTuple):
    """The changes since a revision, and the revision from which to go on."""

    changes: tuple[StoredItem, ...]
    revision: Revision


class _Answer(NamedTuple):
    """The status and body of an answer, and the era that it names."""

    status: int
    body: Any
    era: int


class StoreClient:
    """Calls to the store.

    Parameters
    ----------
    address : str
        IP:PORT of the store.
    web : WebClient
        Makes the calls.

    Attributes
    ----------
    era : int
        The latest era that an answer has named; 0 before the first.
    on_era : list of callable
        Called with the era before and the new one when the store has come back from a copy, before
        the caller gets the answer that says so.
    """

    def __init__(self, address: str, web: WebClient):
        self._base = f"http://{address}"
        self._web = web
        self.era = 0
        self.on_era: list[Callable[[int, int], None]] = []

    async def get(self, key: str) -> StoredItem | None:
        """Return one item, None if the key isn't there; raises `KVUnavailableError`."""
        answer = await self._read(f"{wire.STORE_KEY}?key={quote(key, safe='')}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _item(answer.body, answer.era)

    async def list(
        self, prefix: str, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        """Return all items under a prefix, read page by page; raises `KVUnavailableError`.

        `stale` reads are cheap and may be seconds old. `timeout_s` is for each page.
        """
        items: list[StoredItem] = []
        first_revision = None
        after = ""
        while True:
            query = f"pathPrefix={quote(prefix, safe='')}" + ("&stale=1" if stale else "")
            if after:
                query += f"&afterRevision={quote(after, safe='')}"
            answer = await self._read(f"{wire.STORE_RANGE}?{query}", timeout_s)
            page = [_item(row, answer.era) for row in answer.body.get("items", [])]
            items += page
            if first_revision is None:
                first_revision = Revision(answer.era, answer.body.get("at", 0))
            elif first_revision.era != answer.era:
                raise KVUnavailableError(f"{prefix}: the store came back from a copy between pages")
            if not answer.body.get("more") or not page:
                return Listing(tuple(items), first_revision)
            after = page[-1].key

    async def get_prefix(self, prefix: str) -> dict[str, StoredItem]:
        """Return all items under a prefix, by key; raises `KVUnavailableError`."""
        return {item.key: item for item in (await self.list(prefix)).items}

    async def watch(self, prefix: str, after_revision: Revision, wait_s: float) -> WatchAnswer:
        """Wait for changes under a prefix; returns no changes when `wait_s` is over.

        Raises
        ------
        HistoryGoneError
            If the changes since `after_revision` are not known any more, or it is of another era.
        KVUnavailableError
            If no answer came.
        """
        self._require_era(after_revision)
        query = f"pathPrefix={quote(prefix, safe='')}&afterRevision={after_revision.number}"
        path = f"{wire.STORE_WATCH}?{query}&waitMs={int(wait_s * 1000)}"
        answer = await self._read(path, wait_s + _WATCH_GRACE_S)
        if answer.status == HTTPStatus.GONE:
            raise HistoryGoneError(f"no history after revision {after_revision.number}")
        self._require_era(after_revision)
        changes = tuple(_item(row, answer.era) for row in answer.body.get("events", []))
        at = answer.body.get("at", after_revision.number)
        return WatchAnswer(changes, Revision(answer.era, at))

    def _require_era(self, revision: Revision) -> None:
        if revision.era != self.era:
            raise HistoryGoneError(f"revision {revision.number} is of era {revision.era}")

    async def transact(
        self,
        conditions: dict[str, Revision],
        puts: dict[str, bytes],
        removals: Sequence[str] = (),
        lease: Lease | None = None,
    ) -> Revision:
        """Write if all conditions (key to revision, or `ABSENT`) hold; return the new revision.

        A condition or a lease of an earlier era doesn't hold. If the store comes back from a copy
        while the call is under way, a condition may hold by accident, since its revision may have
        been given out again: the answer's era tells, and nobody can say what was done.

        Raises
        ------
        KVConflictError
            If a condition or the lease does not hold.
        KVUnavailableError
            If it surely was not done.
        KVUnknownError
            If it may have been done, or may still be.
        """
        self._require_hold([r for r in conditions.values() if r != ABSENT], lease)
        sent_era = self.era
        body = {
            "expectedRevision": [{"key": k, "revision": r.number} for k, r in conditions.items()],
            "put": [
                {"key": key, "value": base64.b64encode(raw).decode(), "lease": _number(lease)}
                for key, raw in puts.items()
            ],
            "remove": list(removals),
        }
        answer = await self._write("POST", wire.STORE_TRANSACTION, body)
        if 0 < sent_era < answer.era:
            text = f"the store came back from a copy meanwhile, now in era {answer.era}"
            raise KVUnknownError(text)
        return Revision(answer.era, int(answer.body["revision"]))

    def _require_hold(self, revisions: Sequence[Revision], lease: Lease | None) -> None:
        stale = [held for held in (*revisions, lease) if held is not None and held.era < self.era]
        if stale:
            raise KVConflictError(f"{stale[0]} is of an earlier era than {self.era}")

    async def swap(
        self, key: str, value: bytes, expected: Revision, lease: Lease | None = None
    ) -> Revision:
        """Write one key if its revision is still `expected`; as `transact`."""
        return await self.transact({key: expected}, {key: value}, lease=lease)

    async def delete(self, key: str, expected: Revision) -> None:
        """Remove one key if its revision is still `expected`; as `transact`."""
        await self.transact({key: expected}, {}, [key])

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease of `ttl_s` seconds; raises as `transact` does."""
        answer = await self._write("POST", wire.STORE_LEASE, {"ttl_ms": int(ttl_s * 1000)})
        return Lease(answer.era, int(answer.body["lease"]))

    async def keep_lease(self, lease: Lease) -> None:
        """Renew a lease; raises `KVConflictError` if it is over, else as `transact` does."""
        self._require_hold((), lease)
        await self._write("POST", f"{wire.STORE_KEEP}{lease.number}", None)
        # Given out again, it is another's.
        self._require_hold((), lease)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease and remove its keys; raises as `keep_lease` does.

        One of an earlier era is over, and its number may be another's.
        """
        self._require_hold((), lease)
        await self._write("DELETE", f"{wire.STORE_LEASE_END}{lease.number}", None)

    async def _read(self, path: str, timeout_s: float | None = None) -> _Answer:
        limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
        try:
            reply = await self._web.call_json("GET", self._base + path, None, limit_s)
        except NotSentError as exc:
            raise KVUnavailableError(str(exc)) from exc
        except LostAnswerError as exc:
            self._forget_connections()
            raise KVUnavailableError(str(exc)) from exc
        era = self._note_era(reply)
        if era < self.era:
            raise KVUnavailableError(f"{path}: answered in era {era}, and {self.era} has begun")
        if reply.status in (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.GONE):
            return _Answer(reply.status, reply.body, era)
        raise KVUnavailableError(f"{path}: status {reply.status}")

    async def _write(self, method: str, path: str, body: object) -> _Answer:
        try:
            reply = await self._web.call_json(method, self._base + path, body, CALL_TIMEOUT_S)
        except NotSentError as exc:
            raise KVUnavailableError(str(exc)) from exc
        except LostAnswerError as exc:
            self._forget_connections()
            raise KVUnknownError(str(exc)) from exc
        era = self._note_era(reply)
        match reply.status:
            case HTTPStatus.OK if era < self.era:
                raise KVUnknownError(f"{path}: done in era {era}, and {self.era} has begun")
            case HTTPStatus.OK:
                return _Answer(reply.status, reply.body or {}, era)
            case HTTPStatus.NOT_FOUND | HTTPStatus.PRECONDITION_FAILED:
                raise KVConflictError(f"{path}: status {reply.status}")
            case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
                raise KVUnavailableError(f"{path}: status {reply.status}")
            case _:
                raise KVUnknownError(f"{path}: status {reply.status}")

    def _note_era(self, reply: JsonReply) -> int:
        """Return the era that an answer names, and tell of a new one; the known one if none."""
        text = reply.headers.get(wire.STORE_ERA, b"").strip()
        if not text.isdigit() or len(text) > _ERA_DIGITS:
            return self.era
        era, before = int(text), self.era
        if era > before:
            self.era = era
            if before:
                for tell in self.on_era:
                    tell(before, era)
        return era

    def _forget_connections(self) -> None:
        """Close the idle connections: the next call goes out on a new one.

        Connections may go silent without a reset, all at once. Each that is kept would cost its
        call a whole timeout, and the configuration would be seconds older than it has to be.
        """
        self._web.close().addErrback(_log_unclosed)


def _log_unclosed(failure) -> None:
    _log.warning("idle connections to the store not closed", extra={"reason": str(failure.value)})


def _number(lease: Lease | None) -> int:
    return 0 if lease is None else lease.number


def _item(row: dict[str, Any], era: int) -> StoredItem:
    value = None if row.get("gone") else _value(row.get("value", ""))
    return StoredItem(row["key"], value, Revision(era, int(row["revision"])))


def _value(text: str) -> bytes:
    """Return a value's bytes; those of one that can't be read are taken as they stand.

    Its reader refuses them, and the other items of the answer hold.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode(errors="replace")
