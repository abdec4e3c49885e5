"""Client of the platform's key-value store.

Calls fail in four distinct ways: the call had no effect (`KVUnavailableError`), its condition did
not hold (`KVConflictError`), the requested history is no longer kept (`HistoryGoneError`), or the
outcome is unknown (`KVUnknownError`).

The store may be restored from a backup that is some seconds old. Each restore starts a new era, and
every answer names the current era number. A restored store reuses numbers of revisions and
leases, so each carries the era in which it was issued: revisions of different eras are never equal,
and those of the later era are newer.
"""

import base64
import contextlib
import logging
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote

from ..config import Item
from ..errors import (
    GladedrumError,
    KVConflictError,
    KVSilentError,
    KVUnavailableError,
    KVUnknownError,
)
from ..utils import AnswerTimeoutError, JsonReply, LostAnswerError, NotSentError, WebClient
from ..utils.validation import MAX_INT64
from . import wire

__all__ = [
    "ABSENT",
    "CALL_TIMEOUT_S",
    "MAX_ANSWER_BYTES",
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
"""The timeout of a call in seconds; a healthy store answers within milliseconds."""

PROBE_TIMEOUT_S = 0.7
"""The timeout, in seconds, of calls to a store that has not answered recently. Many short calls
detect its return sooner than a long one."""

MAX_BODY_S = 10.0
"""How long the body of an answer may take, in seconds, as long as it progresses. On a narrow or
busy link a large one takes longer than the timeout of a call, and so would each repetition."""

MAX_ANSWER_BYTES = 8_388_608
"""The most bytes of one answer; the store's pages hold about a million."""

MAX_LISTED_BYTES = 67_108_864
"""The most bytes of all values under a prefix."""

_WATCH_GRACE_S = 1.0
"""The additional time, in seconds, for the answer of a watch after its wait has ended."""

_MAX_ERA_DIGITS = 12
"""Longer numbers are ignored as malformed."""

_log = logging.getLogger(__name__)


class HistoryGoneError(GladedrumError):
    """The store no longer keeps the changes that a watch asks for; read all items again."""


class Revision(NamedTuple):
    """A position in the sequence of the store's changes.

    Parameters
    ----------
    era : int
        The era in which it was issued; 0 if the store names none.
    number : int
        Increases with each change within an era.

    Examples
    --------
    >>> Revision(1, 900) < Revision(2, 3)
    True
    """

    era: int
    number: int


ABSENT = Revision(0, 0)
"""In conditions, the revision of a key that does not exist."""

NEVER = Revision(-1, -1)
"""A revision that is older than any other."""


class Lease(NamedTuple):
    """A lease and the era in which it was issued; later eras may reuse its number."""

    era: int
    number: int


class StoredItem(NamedTuple):
    """A key, its value and its revision; `value` is None if a watch reports a removal."""

    key: str
    value: bytes | None
    revision: Revision


class Listing(NamedTuple):
    """All items under a prefix, and the store's revision as of the first page."""

    items: tuple[StoredItem, ...]
    revision: Revision


class WatchAnswer(NamedTuple):
    """The changes since a revision, and the revision from which to continue."""

    changes: tuple[StoredItem, ...]
    revision: Revision


class _Answer(NamedTuple):
    """The status, body and era of an answer."""

    status: int
    body: Any
    era: int


class StoreClient:
    """Makes calls to the store.

    Parameters
    ----------
    address : str
        IP:PORT of the store.
    web : WebClient
        Makes the calls.

    Attributes
    ----------
    era : int
        The latest era that an answer has named; 0 before the first answer.
    on_restored : list of callable
        Called with the previous and the new era when the store has been restored, before the
        answer that names the new era is returned.
    """

    def __init__(self, address: str, web: WebClient):
        self._base = f"http://{address}"
        self._web = web
        self.era = 0
        self.on_restored: list[Callable[[int, int], None]] = []

    async def get(self, key: str) -> StoredItem | None:
        """Return one item, None if the key does not exist; raises `KVUnavailableError`."""
        answer = await self._read(f"{wire.STORE_KEY_PATH}?key={quote(key, safe='')}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_rows([answer.body], answer.era)[0]

    async def list(
        self, prefix: str, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        """Return all items under a prefix; raises `KVUnavailableError`.

        The items are read in pages; `timeout_s` applies to the head of each page and to each pause
        of its body. A `stale` read is cheaper,
        but may return data that is seconds old.
        """
        items: list[StoredItem] = []
        first_page_revision = None
        after, listed_bytes = "", 0
        while True:
            query = f"pathPrefix={quote(prefix, safe='')}" + ("&stale=1" if stale else "")
            if after:
                query += f"&afterRevision={quote(after, safe='')}"
            answer = await self._read(f"{wire.STORE_RANGE_PATH}?{query}", timeout_s)
            page = _decode_rows(answer.body.get("items", []), answer.era)
            items += page
            listed_bytes += sum(len(item.value or b"") for item in page)
            if (page and page[-1].key <= after) or listed_bytes > MAX_LISTED_BYTES:
                raise KVUnavailableError(f"{prefix}: the pages of the store do not end")
            if first_page_revision is None:
                first_page_revision = _revision(answer.era, answer.body.get("at", 0))
            elif first_page_revision.era != answer.era:
                raise KVUnavailableError(f"{prefix}: the store came back from a copy between pages")
            if not answer.body.get("more"):
                return Listing(tuple(items), first_page_revision)
            if not page:
                raise KVUnavailableError(f"{prefix}: an empty page of the store is not the last")
            after = _last_key(page, prefix)

    async def get_prefix(self, prefix: str) -> dict[str, StoredItem]:
        """Return all items under a prefix, by key; raises `KVUnavailableError`."""
        return {item.key: item for item in (await self.list(prefix)).items}

    async def watch(self, prefix: str, after_revision: Revision, wait_s: float) -> WatchAnswer:
        """Wait for changes under a prefix; returns no changes after `wait_s`.

        Raises
        ------
        HistoryGoneError
            If the changes since `after_revision` are no longer kept, or it is of another era.
        KVUnavailableError
            If no answer came.
        """
        self._require_same_era(after_revision)
        query = f"pathPrefix={quote(prefix, safe='')}&afterRevision={after_revision.number}"
        path = f"{wire.STORE_WATCH_PATH}?{query}&waitMs={int(wait_s * 1000)}"
        answer = await self._read(path, wait_s + _WATCH_GRACE_S)
        if answer.status == HTTPStatus.GONE:
            raise HistoryGoneError(f"no history after revision {after_revision.number}")
        self._require_same_era(after_revision)
        changes = _decode_rows(answer.body.get("events", []), answer.era)
        at = answer.body.get("at", after_revision.number)
        return WatchAnswer(tuple(changes), _revision(answer.era, at))

    def _require_same_era(self, revision: Revision) -> None:
        """Raise `HistoryGoneError` unless a revision is of the current era."""
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

        A condition or a lease of an earlier era does not hold. If the store is restored during the
        call, a condition may hold by accident, since the store may have reused its revision. The
        answer then names a later era, and the outcome counts as unknown.

        Raises
        ------
        KVConflictError
            If a condition or the lease does not hold.
        KVUnavailableError
            If the call certainly had no effect.
        KVUnknownError
            If the call may have taken effect, or may still do so.
        """
        self._reject_earlier_eras([r for r in conditions.values() if r != ABSENT], lease)
        sent_era = self.era
        body = {
            "expectedRevision": [{"key": k, "revision": r.number} for k, r in conditions.items()],
            "put": [
                {"key": key, "value": base64.b64encode(raw).decode(), "lease": _lease_number(lease)}
                for key, raw in puts.items()
            ],
            "remove": list(removals),
        }
        answer = await self._write("POST", wire.STORE_TRANSACTION_PATH, body)
        if 0 < sent_era < answer.era:
            text = f"the store came back from a copy meanwhile, now in era {answer.era}"
            raise KVUnknownError(text)
        return Revision(answer.era, _number(answer.body, "revision"))

    def _reject_earlier_eras(self, revisions: Sequence[Revision], lease: Lease | None) -> None:
        """Raise `KVConflictError` if any of these is of an earlier era."""
        stale = [held for held in (*revisions, lease) if held is not None and held.era < self.era]
        if stale:
            raise KVConflictError(f"{stale[0]} is of an era before {self.era}")

    async def swap(
        self, key: str, value: bytes, expected: Revision, lease: Lease | None = None
    ) -> Revision:
        """Write one key if its revision is still `expected`; raises as `transact` does."""
        return await self.transact({key: expected}, {key: value}, lease=lease)

    async def delete(self, key: str, expected: Revision) -> None:
        """Remove one key if its revision is still `expected`; raises as `transact` does."""
        await self.transact({key: expected}, {}, [key])

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease of `ttl_s` seconds; raises as `transact` does."""
        answer = await self._write(
            "POST", wire.STORE_GRANT_LEASE_PATH, {"ttl_ms": int(ttl_s * 1000)}
        )
        return Lease(answer.era, _number(answer.body, "lease"))

    async def keep_lease(self, lease: Lease) -> None:
        """Renew a lease; raises `KVConflictError` if it has ended, else as `transact` does."""
        self._reject_earlier_eras((), lease)
        await self._write("POST", f"{wire.STORE_KEEP_LEASE_PATH}{lease.number}", None)
        # If the store was restored during the call, the number may belong to another holder.
        self._reject_earlier_eras((), lease)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease and remove its keys; raises as `keep_lease` does.

        A lease of an earlier era has ended already, and its number may belong to another holder.
        """
        self._reject_earlier_eras((), lease)
        await self._write("DELETE", f"{wire.STORE_END_LEASE_PATH}{lease.number}", None)

    async def _read(self, path: str, timeout_s: float | None = None) -> _Answer:
        limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
        try:
            reply = await self._web.call_json(
                "GET", self._base + path, None, limit_s, max_body_s=MAX_BODY_S
            )
        except NotSentError as exc:
            raise KVUnavailableError(str(exc)) from exc
        except LostAnswerError as exc:
            self._close_idle_connections()
            if isinstance(exc, AnswerTimeoutError):
                raise KVSilentError(str(exc)) from exc
            raise KVUnavailableError(str(exc)) from exc
        era = self._note_era(reply)
        if era < self.era:
            raise KVUnavailableError(f"{path}: answered in era {era}, and {self.era} has begun")
        if reply.status in (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.GONE):
            if not isinstance(reply.body, dict):
                raise KVUnavailableError(f"{path}: the answer is no object")
            return _Answer(reply.status, reply.body, era)
        raise KVUnavailableError(f"{path}: status {reply.status}")

    async def _write(self, method: str, path: str, body: object) -> _Answer:
        try:
            reply = await self._web.call_json(method, self._base + path, body, CALL_TIMEOUT_S)
        except NotSentError as exc:
            raise KVUnavailableError(str(exc)) from exc
        except LostAnswerError as exc:
            self._close_idle_connections()
            raise KVUnknownError(str(exc)) from exc
        era = self._note_era(reply)
        match reply.status:
            case HTTPStatus.OK if era < self.era:
                raise KVUnknownError(f"{path}: done in era {era}, and {self.era} has begun")
            case HTTPStatus.OK:
                return _Answer(reply.status, reply.body, era)
            case HTTPStatus.NOT_FOUND | HTTPStatus.PRECONDITION_FAILED:
                raise KVConflictError(f"{path}: status {reply.status}")
            case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
                raise KVUnavailableError(f"{path}: status {reply.status}")
            case _:
                raise KVUnknownError(f"{path}: status {reply.status}")

    def _note_era(self, reply: JsonReply) -> int:
        """Return an answer's era, else the latest known; a new era calls `on_restored`."""
        text = reply.headers.get(wire.STORE_ERA, b"").strip()
        if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
            return self.era
        era, before = int(text), self.era
        if era > before:
            self.era = era
            if before:
                for callback in self.on_restored:
                    callback(before, era)
        return era

    def _close_idle_connections(self) -> None:
        """Close the idle connections, so that the next call opens a new one.

        All connections may stop working at once without a reset. Each one kept would cost a call
        its full timeout, and delay updates of the configuration.
        """
        self._web.close().addErrback(_log_close_failure)


def _log_close_failure(failure) -> None:
    _log.warning("cannot close idle connections to the store", extra={"reason": str(failure.value)})


def _lease_number(lease: Lease | None) -> int:
    return 0 if lease is None else lease.number


def _last_key(page: list[StoredItem], prefix: str) -> str:
    """Return the last key of a page that can be named in a call.

    The next page begins with the keys after it, again. Another program may have written a key with
    half of a surrogate pair, which can't be encoded.
    """
    for item in reversed(page):
        with contextlib.suppress(UnicodeEncodeError):
            item.key.encode()
            return item.key
    raise KVUnavailableError(f"{prefix}: no key of a page can be named in a call")


def _decode_rows(rows: object, era: int) -> list[StoredItem]:
    """Decode the rows of an answer; raises `KVUnavailableError` if the store's format is not kept.

    The format is the store's own: what other programs write is in the keys and values, of which
    any are accepted.
    """
    try:
        return [_decode_item(row, era) for row in rows]
    except (TypeError, KeyError, AttributeError, ValueError, OverflowError) as exc:
        raise KVUnavailableError(f"an answer of the store is malformed: {exc!r}") from exc


def _decode_item(row: dict[str, Any], era: int) -> StoredItem:
    value = None if row.get("gone") else _decode_value(row.get("value", ""))
    return StoredItem(_key(row), value, _revision(era, row["revision"]))


def _key(row: dict[str, Any]) -> str:
    key = row["key"]
    if not isinstance(key, str):
        raise TypeError("a key is no text")
    return key


def _number(body: object, field: str) -> int:
    """Return a number in the answer to a write; raises `KVUnknownError` if it has none."""
    number = body.get(field) if isinstance(body, dict) else None
    if not isinstance(number, int) or not 0 <= number <= MAX_INT64:
        raise KVUnknownError(f"the store's answer names no {field}")
    return number


def _revision(era: int, number: object) -> Revision:
    """Return a revision that an answer names; raises `KVUnavailableError` if it is none."""
    if not isinstance(number, int) or not 0 <= number <= MAX_INT64:
        raise KVUnavailableError("the store names an impossible revision")
    return Revision(era, number)


def _decode_value(text: str) -> bytes:
    """Decode a value; returns invalid base64 as it is.

    The decoder of that item rejects it then, and the other items of the answer stay usable.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode(errors="replace")
