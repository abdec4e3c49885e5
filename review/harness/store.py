"""Stand-in for the platform's store: keys, leases and watches."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qsl

from .messages import encode_answer, read_request

__all__ = ["Store"]

ANSWER_S = 0.004
"""How long the store takes for an answer, in seconds, as in the small deployments."""

PAGE_ITEMS = 500
"""The most items in an answer."""

MIN_LEASE_MS = 1000
"""The shortest lease, in milliseconds."""


class Store:
    """Serves the store's calls on a port of its own; the script writes for the operator.

    Attributes
    ----------
    address : str
        IP:PORT of the store, after `start`.
    """

    def __init__(self):
        self.address = ""
        self._revision = 1
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._server = None
        self._expiring = None

    async def start(self):
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._expiring = asyncio.ensure_future(self._expire_leases())

    def stop(self):
        """Stop to listen."""
        self._expiring.cancel()
        self._server.close()

    def put_json(self, key, body):
        """Write a key on behalf of the operator or a runner."""
        self._put(key, json.dumps(body).encode())

    def _put(self, key, value, lease=0):
        self._revision += 1
        before = self._items.get(key)
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "made": self._revision if before is None else before["made"],
            "lease": lease,
        }
        self._items[key] = row
        self._note_change(row)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note_change({"key": key, "revision": self._revision, "gone": True})

    def _note_change(self, row):
        self._history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease in [n for n, (_, end_s) in self._leases.items() if end_s <= now_s]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, row in self._items.items() if row["lease"] == lease]:
            self._remove(key)

    # Calls.

    async def _serve(self, reader, writer):
        # All tasks are cancelled at the end of the script.
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (req := await read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(req)
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, req):
        path, _, text = req.path.partition("?")
        query = dict(parse_qsl(text))
        match path:
            case "/api/kv-key":
                row = self._items.get(query["key"])
                return (404, {}) if row is None else (200, {**row, "at": self._revision})
            case "/api/kv-range":
                return 200, self._range(query["pathPrefix"], query.get("afterRevision", ""))
            case "/api/kv-watch":
                return 200, await self._watch(query)
            case "/api/kv-txn":
                return self._transact(json.loads(req.body))
            case "/api/kv-lease":
                return 200, self._grant(json.loads(req.body)["ttl_ms"])
        call, _, number = path.rpartition("/")
        lease = int(number)
        if call == "/api/kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        if lease not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = ttl_s, time.monotonic() + ttl_s
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    def _range(self, prefix, after_key):
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after_key)
        rows = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": rows, "more": len(keys) > PAGE_ITEMS, "at": self._revision}

    async def _watch(self, query):
        prefix, after = query["pathPrefix"], int(query["afterRevision"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            newer = (row for row in self._history if row["revision"] > after)
            events = [row for row in newer if row["key"].startswith(prefix)]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _grant(self, ttl_ms):
        ttl_ms = max(MIN_LEASE_MS, ttl_ms)
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = ttl_ms / 1000, time.monotonic() + ttl_ms / 1000
        return {"lease": lease, "ttl_ms": ttl_ms}

    def _transact(self, body):
        conditions = body.get("expectedRevision", [])
        known = [self._items[row["key"]] for row in conditions if row["key"] in self._items]
        revisions = {row["key"]: row["revision"] for row in known}
        if any(revisions.get(row["key"], 0) != row["revision"] for row in conditions):
            return 412, {"items": known}
        puts = body.get("put", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self._revision}
