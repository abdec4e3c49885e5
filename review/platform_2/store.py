"""Stand-in for the platform's store: keys, leases, transactions and watches over HTTP.

It can be restored from a copy, as the users' eighth letter says: what the system wrote since the
copy is gone, leases too, revisions are given out again, the era rises by one, and what the operator
and the servers wrote is written again after a delay.
"""

import asyncio
import base64
import contextlib
import copy
import json
import time
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from .http import Head, encode_answer, read_request

__all__ = ["PlatformStore"]

PAGE_ITEMS = 500


class _Item(NamedTuple):
    value: bytes
    revision: int
    made: int
    lease: int


class _State:
    """What a copy holds."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, _Item] = {}
        self.history: list[tuple[int, str, _Item | None]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1


class PlatformStore:
    """Serves the store at one address; the operator and the servers write by `write`."""

    def __init__(self) -> None:
        self.era = 1
        self.is_away = False
        self._state = _State()
        self._own: dict[str, bytes | None] = {}
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def write(self, key: str, value: bytes | None) -> int:
        """Write or remove a key for the operator or a server; return the revision."""
        self._own[key] = value
        self._put(key, value)
        return self._state.revision

    def copy(self) -> object:
        """Return a copy of the state, to restore later."""
        return copy.deepcopy(self._state)

    def go_away(self) -> None:
        """Answer nothing any more, and reset all connections."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, saved: object | None = None) -> None:
        """Answer again; with the state of a copy, in a new era."""
        if saved is not None:
            self._state = copy.deepcopy(saved)
            self.era += 1
        self.is_away = False

    def write_again(self) -> list[str]:
        """Write again what the operator and the servers wrote and a restored copy lacks."""
        kept = self._state.items
        lacks = [
            key
            for key, value in self._own.items()
            if value != (kept[key].value if key in kept else None)
        ]
        for key in lacks:
            self._put(key, self._own[key])
        return lacks

    def _put(self, key: str, value: bytes | None, lease: int = 0) -> None:
        state = self._state
        state.revision += 1
        if value is None:
            if state.items.pop(key, None) is None:
                return
            item = None
        else:
            before = state.items.get(key)
            made = before.made if before else state.revision
            item = state.items[key] = _Item(value, state.revision, made, lease)
        state.history.append((state.revision, key, item))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        for lease, (_ttl_s, until_s) in list(self._state.leases.items()):
            if until_s < now_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._state.leases.pop(lease, None)
        for key in [key for key, item in self._state.items.items() if item.lease == lease]:
            self._put(key, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(EOFError, ConnectionError, asyncio.IncompleteReadError):
            while not self.is_away:
                head, body = await read_request(reader)
                status, reply = await self._answer(head, body)
                if self.is_away:
                    break
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(encode_answer(status, headers, json.dumps(reply).encode()))
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(self, head: Head, body: bytes) -> tuple[int, dict]:
        self._expire_leases()
        method, target = head.start[0], urlsplit(head.start[1])
        query = {name: rows[0] for name, rows in parse_qs(target.query).items()}
        args = json.loads(body) if body else {}
        match method, target.path.split("/")[2:]:
            case "GET", ["kv-key"]:
                return self._key(query["key"])
            case "GET", ["kv-range"]:
                return self._range(query.get("pathPrefix", ""), query.get("afterRevision", ""))
            case "GET", ["kv-watch"]:
                wait_s = int(query["waitMs"]) / 1000
                return await self._watch(query["pathPrefix"], int(query["afterRevision"]), wait_s)
            case "POST", ["kv-txn"]:
                return self._transact(args)
            case "POST", ["kv-lease"]:
                state, ttl_s = self._state, args["ttl_ms"] / 1000
                lease, state.next_lease = state.next_lease, state.next_lease + 1
                state.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": lease, "ttl_ms": args["ttl_ms"]}
            case "POST", ["kv-keep", number]:
                return self._keep(int(number))
            case "DELETE", ["kv-lease-end", number]:
                self._end_lease(int(unquote(number)))
                return 200, {}
        return 404, {}

    def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self._state.leases:
            return 404, {}
        ttl_s, _until_s = self._state.leases[lease]
        self._state.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    def _key(self, key: str) -> tuple[int, dict]:
        item, at = self._state.items.get(key), self._state.revision
        return (404, {"at": at}) if item is None else (200, {**_row(key, item), "at": at})

    def _range(self, prefix: str, after: str) -> tuple[int, dict]:
        items = self._state.items
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        rows = [_row(key, items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": rows, "more": more, "at": self._state.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict]:
        until_s, era = time.monotonic() + wait_s, self.era
        if after > self._state.revision:
            return 410, {}
        while True:
            rows = [
                {"key": key, "revision": revision, "gone": True}
                if item is None
                else _row(key, item)
                for revision, key, item in self._state.history
                if revision > after and key.startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0 or self.is_away or era != self.era:
                return 200, {"events": rows, "at": self._state.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, args: dict) -> tuple[int, dict]:
        items = self._state.items
        for row in args.get("expectedRevision", []):
            item = items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                known = [r["key"] for r in args["expectedRevision"] if r["key"] in items]
                return 412, {"items": [_row(key, items[key]) for key in known]}
        puts = args.get("put", [])
        if any(row.get("lease") and row["lease"] not in self._state.leases for row in puts):
            return 404, {}
        if any(row["key"].startswith(("op/", "servers/")) for row in puts):
            return 403, {}
        for row in puts:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in args.get("remove", []):
            self._put(key, None)
        return 200, {"revision": self._state.revision}


def _row(key: str, item: _Item) -> dict:
    value = base64.b64encode(item.value).decode()
    return {"key": key, "value": value, "revision": item.revision, "made": item.made,
            "lease": item.lease}  # fmt: skip
