"""A client of the platform's key-value service, by the etcd v3 JSON protocol.

Every write is a compare-and-swap. Its three ways to go wrong are kept apart: it was refused
(`KVUnavailableError`), it met another revision (`KVConflictError`), or nobody can say
(`KVUnknownError`); the last is settled by reading back.

References
----------
etcd documentation, "gRPC gateway" and "etcd API" (v3).
"""

import base64
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..config import Item, Settings
from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..utils import LostAnswerError, NotSentError, WebClient

__all__ = ["KV_TIMEOUT", "KV_URL", "Change", "KVClient", "Lease", "Versioned"]

KV_URL = Item("platform", "kv_url", "http://127.0.0.1:2379", "Base URL of the key-value service.")
KV_TIMEOUT = Item(
    "platform", "kv_timeout_s", 2.0, "How long an answer of the key-value service may take.",
    unit="s", minimum=0.01, maximum=60,
)  # fmt: skip


class Versioned(NamedTuple):
    """A value and the revision at which it was written."""

    value: bytes
    revision: int


class Change(NamedTuple):
    """One change that a watch reports; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class Lease(NamedTuple):
    """A lease; it surely holds until `safe_until_s` on the holder's own monotonic clock."""

    lease_id: str
    ttl_s: float
    safe_until_s: float


class KVClient:
    """Calls to the key-value service.

    Parameters
    ----------
    cfg : Settings
        Read for `KV_URL` and `KV_TIMEOUT`.
    web : WebClient
        Makes the calls.
    clock : IReactorTime
        A monotonic clock.
    """

    def __init__(self, cfg: Settings, web: WebClient, clock: IReactorTime):
        self._url = cfg.get(KV_URL).rstrip("/")
        self._timeout_s = cfg.get(KV_TIMEOUT)
        self._web = web
        self._clock = clock

    async def get(self, key: str) -> Versioned | None:
        """Return the value of a key, or None if there is none.

        Raises
        ------
        KVUnavailableError
            If no answer came.
        """
        reply = await self._read("/v3/kv/range", {"key": _encode(key)})
        rows = reply.get("kvs", [])
        return _versioned(rows[0]) if rows else None

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        """Return all keys that start with `prefix`, with their values; raises as `get` does."""
        body = {"key": _encode(prefix), "range_end": _encode_raw(_prefix_end(prefix))}
        reply = await self._read("/v3/kv/range", body)
        return {_decode_key(row): _versioned(row) for row in reply.get("kvs", [])}

    async def swap(self, key: str, value: bytes, expected: int, lease_id: str = "0") -> int:
        """Write `value` if the key's revision is still `expected`, 0 meaning absent.

        Returns
        -------
        int
            The new revision of the key.

        Raises
        ------
        KVConflictError
            If the key has another revision; nothing was written.
        KVUnavailableError
            If the call was surely not taken.
        KVUnknownError
            If the write may or may not have taken effect.
        """
        put = {"key": _encode(key), "value": _encode_raw(value), "lease": lease_id}
        return await self._transact(key, expected, {"request_put": put})

    async def delete(self, key: str, expected: int) -> None:
        """Delete a key if its revision is still `expected`; raises as `swap` does."""
        await self._transact(key, expected, {"request_delete_range": {"key": _encode(key)}})

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Take a new lease; raises `KVUnavailableError` if none could be had."""
        asked_s = self._clock.seconds()
        try:
            reply = await self._write("/v3/lease/grant", {"TTL": str(int(ttl_s))})
        except KVUnknownError as exc:
            # A lease whose id is not known is never used and ends by itself.
            raise KVUnavailableError(str(exc)) from exc
        return Lease(reply["ID"], ttl_s, asked_s + ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Return the lease renewed.

        Raises
        ------
        KVConflictError
            If the lease has ended.
        KVUnavailableError, KVUnknownError
            If no answer came; the old `safe_until_s` still counts.
        """
        asked_s = self._clock.seconds()
        reply = await self._write("/v3/lease/keepalive", {"ID": lease.lease_id})
        if float(reply["result"]["TTL"]) <= 0:
            raise KVConflictError(f"lease {lease.lease_id} has ended")
        return lease._replace(safe_until_s=asked_s + lease.ttl_s)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease, and with it the keys that hang on it."""
        await self._write("/v3/lease/revoke", {"ID": lease.lease_id})

    async def watch(
        self, prefix: str, from_revision: int, on_change: Callable[[Change], None]
    ) -> defer.Deferred[None]:
        """Watch all keys that start with `prefix`.

        Parameters
        ----------
        prefix : str
            The start of the keys.
        from_revision : int
            The first revision that is reported.
        on_change : callable
            Called with each `Change`, in order.

        Returns
        -------
        Deferred
            Fires when the watch has ended; cancel it to end the watch.

        Raises
        ------
        KVUnavailableError
            If the watch could not be set up.
        """
        create = {
            "key": _encode(prefix),
            "range_end": _encode_raw(_prefix_end(prefix)),
            "start_revision": str(from_revision),
        }
        try:
            response = await self._web.send(
                "POST", self._url + "/v3/watch", {"create_request": create},
                timeout_s=self._timeout_s,
            )  # fmt: skip
        except (NotSentError, LostAnswerError) as exc:
            raise KVUnavailableError(str(exc)) from exc
        reader = _WatchReader(on_change)
        response.deliverBody(reader)
        if response.code != HTTPStatus.OK:
            reader.stop()
            raise KVUnavailableError(f"watch refused with status {response.code}")
        return reader.ended

    async def _transact(self, key: str, expected: int, operation: dict[str, Any]) -> int:
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        body = {"compare": [compare], "success": [operation], "failure": []}
        reply = await self._write("/v3/kv/txn", body)
        if not reply.get("succeeded", False):
            raise KVConflictError(f"{key} is not at revision {expected}")
        return int(reply["header"]["revision"])

    async def _read(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            reply = await self._web.call_json("POST", self._url + path, body, self._timeout_s)
        except (NotSentError, LostAnswerError) as exc:
            raise KVUnavailableError(str(exc)) from exc
        if reply.status != HTTPStatus.OK:
            raise KVUnavailableError(f"{path}: status {reply.status}: {reply.body}")
        return reply.body

    async def _write(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            reply = await self._web.call_json("POST", self._url + path, body, self._timeout_s)
        except NotSentError as exc:
            raise KVUnavailableError(str(exc)) from exc
        except LostAnswerError as exc:
            raise KVUnknownError(str(exc)) from exc
        match reply.status:
            case HTTPStatus.OK:
                return reply.body
            case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.BAD_REQUEST:
                raise KVUnavailableError(f"{path}: status {reply.status}: {reply.body}")
            case _:
                # A gateway may give up on a write that its back end still carries out.
                raise KVUnknownError(f"{path}: status {reply.status}: {reply.body}")


class _WatchReader(Protocol):
    """Splits the body of a watch into lines and reports the changes in them."""

    def __init__(self, on_change: Callable[[Change], None]):
        self.ended: defer.Deferred[None] = defer.Deferred(lambda _ended: self.stop())
        self._on_change = on_change
        self._buffer = b""
        self._fired = False

    def stop(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Split what came into lines."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in filter(None, lines):
            for event in json.loads(line)["result"].get("events", []):
                self._on_change(_change(event))

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """End the watch."""
        if not self._fired and not self.ended.called:
            self._fired = True
            self.ended.callback(None)


def _encode_raw(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _encode(key: str) -> str:
    return _encode_raw(key.encode())


def _decode_key(row: dict[str, str]) -> str:
    return base64.b64decode(row["key"]).decode()


def _prefix_end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _versioned(row: dict[str, str]) -> Versioned:
    return Versioned(base64.b64decode(row.get("value", "")), int(row["mod_revision"]))


def _change(event: dict[str, Any]) -> Change:
    row = event["kv"]
    deleted = event.get("type") == "DELETE"
    value = None if deleted else base64.b64decode(row.get("value", ""))
    return Change(_decode_key(row), value, int(row["mod_revision"]))
