"""Stand-in for the platform's key-value store, with its HTTP protocol.

Keys have revisions, may belong to a lease and can be watched by prefix. ``POST /switches`` injects
failures: outages, delays, rate limits, hanging calls, writes whose answer is lost, compacted
history, and a restore from an earlier snapshot. Every answer names the store's era, a number that
grows with each restore, since revisions of different eras cannot be compared.
"""

import base64
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from klein import Klein
from twisted.internet import defer, reactor, task
from twisted.web.http import Request

from ..platform import wire
from ._http import json_body, json_reply, run_standin, sleep

__all__ = ["StoreService", "StoreSwitches"]

MAX_VALUE_BYTES = 1_000_000
PAGE_ITEMS = 500
MAX_WATCH_MS = 30_000

OPERATOR_PREFIX = "op/"
OPERATOR_REWRITE_DELAY_S = 0.4
"""Delay after a restore until the operator repeats its lost writes, in seconds."""


@dataclass
class StoreSwitches:
    """Failures and rate limits of the store.

    Parameters
    ----------
    outage : bool
        Refuse every call and abort every watch.
    silent : bool
        Accept calls without executing or answering them.
    delay_s : float
        Delay before an admitted call is executed, in seconds.
    lose_answers : int
        Number of next writes that take effect without an answer.
    forget_before : int
        First revision whose history is kept; a watch from an earlier one gets status 410.
    reads_per_s, writes_per_s : float
        Rates above which calls get status 429.
    keeps_copy, goes_back : bool
        Setting `keeps_copy` saves a snapshot; setting `goes_back` restores the last one. A
        restore discards all later writes and leases and reissues their revisions and lease ids.
        The operator's lost writes and removals are repeated after `OPERATOR_REWRITE_DELAY_S`;
        targets rewrite their entries themselves.
    """

    outage: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    forget_before: int = 0
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0
    keeps_copy: bool = False
    goes_back: bool = False


@dataclass
class _Entry:
    """The current value of a key; `lease` is 0 if the key belongs to none."""

    value: bytes
    revision: int
    created_revision: int
    lease: int = 0


class _Snapshot(NamedTuple):
    """The state of the store at one moment."""

    revision: int
    entries: dict[str, _Entry]
    history: list[tuple[str, _Entry | None, int]]
    leases: dict[int, tuple[float, float]]
    next_lease: int


@dataclass
class _TokenBucket:
    """A token bucket with a capacity of one second of calls."""

    tokens: float = 0.0
    updated_at_s: float = float("-inf")

    def take(self, now_s: float, per_s: float) -> bool:
        self.tokens = min(per_s, self.tokens + (now_s - self.updated_at_s) * per_s)
        self.updated_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class _CallCounters:
    """Numbers of calls, for ``GET /calls``, and the token buckets of the rate limits.

    Lease calls consume tokens, but count neither as reads nor as writes. `refused` counts the
    calls above a rate limit.
    """

    reads: int = 0
    writes: int = 0
    refused: int = 0
    read_bucket: _TokenBucket = field(default_factory=_TokenBucket)
    write_bucket: _TokenBucket = field(default_factory=_TokenBucket)


class StoreService:
    """Serves the keys, leases and watches of the store."""

    app = Klein()

    def __init__(self, clock=reactor):
        self.switches = StoreSwitches()
        self.calls = _CallCounters()
        self._clock = clock
        self._revision = 1
        self._entries: dict[str, _Entry] = {}
        # Key, new entry (None if the key was removed) and revision of each change.
        self._history: list[tuple[str, _Entry | None, int]] = []
        # Duration and end of each lease, in seconds.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self.era = 1
        self._snapshot = self._make_snapshot()
        self._watches: dict[Request, tuple[str, defer.Deferred[None]]] = {}
        self._lease_expirer = task.LoopingCall(self._expire_leases)
        self._lease_expirer.clock = clock
        self._lease_expirer.start(0.1)

    def stop(self) -> None:
        """Cancel the timer that expires leases."""
        if self._lease_expirer.running:
            self._lease_expirer.stop()

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key without rate limits or failures; return the new revision."""
        self._revision += 1
        old = self._entries.get(key)
        created_revision = old.created_revision if old else self._revision
        self._entries[key] = _Entry(value, self._revision, created_revision, lease)
        self._record(key, self._entries[key])
        return self._revision

    def remove(self, key: str) -> None:
        """Remove a key; do nothing if it does not exist."""
        if self._entries.pop(key, None) is not None:
            self._revision += 1
            self._record(key, None)

    @app.route(wire.STORE_KEY_PATH, methods=["GET"])
    async def read_key(self, request: Request) -> bytes:
        """Read one key."""
        refusal = await self._admit(request, self.calls.read_bucket, self.switches.reads_per_s)
        if refusal is not None:
            return refusal
        self.calls.reads += 1
        key = _query(request, "key")
        entry = self._entries.get(key)
        if entry is None:
            return self._reply(request, {"at": self._revision}, 404)
        return self._reply(request, {**_row(key, entry), "at": self._revision})

    @app.route(wire.STORE_RANGE_PATH, methods=["GET"])
    async def read_range(self, request: Request) -> bytes:
        """Read one page of the keys under a prefix."""
        refusal = await self._admit(request, self.calls.read_bucket, self.switches.reads_per_s)
        if refusal is not None:
            return refusal
        self.calls.reads += 1
        # Despite its name, `afterRevision` is the last key of the previous page here.
        prefix, after_key = _query(request, "pathPrefix"), _query(request, "afterRevision")
        keys = sorted(k for k in self._entries if k.startswith(prefix) and k > after_key)
        rows = [_row(key, self._entries[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return self._reply(request, {"items": rows, "more": more, "at": self._revision})

    @app.route(wire.STORE_WATCH_PATH, methods=["GET"])
    async def watch(self, request: Request) -> bytes:
        """Return the changes under a prefix after a revision; wait for the first one."""
        refusal = await self._admit(request, self.calls.read_bucket, self.switches.reads_per_s)
        if refusal is not None:
            return refusal
        self.calls.reads += 1
        prefix, after = _query(request, "pathPrefix"), int(_query(request, "afterRevision"))
        wait_ms = min(MAX_WATCH_MS, int(_query(request, "waitMs")))
        if after < self.switches.forget_before or after > self._revision:
            return self._reply(request, {"error": "history is gone"}, 410)
        events = self._events(prefix, after)
        if not events:
            await self._await_change(request, prefix, wait_ms / 1000)
            events = self._events(prefix, after)
        return self._reply(request, {"events": events, "at": self._revision})

    @app.route(wire.STORE_TRANSACTION_PATH, methods=["POST"])
    async def transact(self, request: Request) -> bytes:
        """Apply all writes of a transaction if all its conditions hold, or none."""
        body = json_body(request)
        refusal = await self._admit(request, self.calls.write_bucket, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        self.calls.writes += 1
        conditions = body.get("expectedRevision", [])
        if not all(self._is_met(row) for row in conditions):
            known = [row["key"] for row in conditions if row["key"] in self._entries]
            rows = [_row(key, self._entries[key]) for key in known]
            return self._reply(request, {"items": rows}, 412)
        puts = body.get("put", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return self._reply(request, {"error": "no such lease"}, 404)
        values = [base64.b64decode(put["value"]) for put in puts]
        if any(len(value) > MAX_VALUE_BYTES for value in values):
            return self._reply(request, {"error": "the value is too long"}, 400)
        for put, value in zip(puts, values, strict=True):
            self.write(put["key"], value, put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            request.transport.abortConnection()
        return self._reply(request, {"revision": self._revision})

    @app.route(wire.STORE_GRANT_LEASE_PATH, methods=["POST"])
    async def grant(self, request: Request) -> bytes:
        """Grant a lease."""
        ttl_ms = json_body(request)["ttl_ms"]
        refusal = await self._admit(request, self.calls.write_bucket, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = (ttl_ms / 1000, self._clock.seconds() + ttl_ms / 1000)
        return self._reply(request, {"lease": lease, "ttl_ms": ttl_ms})

    @app.route(f"{wire.STORE_KEEP_LEASE_PATH}<int:lease>", methods=["POST"])
    async def keep(self, request: Request, lease: int) -> bytes:
        """Renew a lease."""
        refusal = await self._admit(request, self.calls.read_bucket, self.switches.reads_per_s)
        if refusal is not None:
            return refusal
        if lease not in self._leases:
            return self._reply(request, {"error": "no such lease"}, 404)
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self._clock.seconds() + ttl_s)
        return self._reply(request, {"ttl_ms": int(ttl_s * 1000)})

    @app.route(f"{wire.STORE_END_LEASE_PATH}<int:lease>", methods=["DELETE"])
    async def end(self, request: Request, lease: int) -> bytes:
        """End a lease and remove its keys."""
        refusal = await self._admit(request, self.calls.write_bucket, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        self._end_lease(lease)
        return self._reply(request, {"revision": self._revision})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change failure switches and apply those that act at once."""
        for name, value in json_body(request).items():
            setattr(self.switches, name, value)
        if self.switches.outage:
            self.abort_watches()
        if self.switches.keeps_copy:
            self.save_snapshot()
        if self.switches.goes_back:
            self.restore_snapshot()
        self.switches.keeps_copy = self.switches.goes_back = False
        return self._reply(request, vars(self.switches))

    @app.route("/calls", methods=["GET"])
    def count_calls(self, request: Request) -> bytes:
        """Return the numbers of reads, writes and calls above a rate limit."""
        counts = {"reads": self.calls.reads, "writes": self.calls.writes}
        return self._reply(request, {**counts, "refused": self.calls.refused})

    def save_snapshot(self) -> None:
        """Save a snapshot of the state, replacing the previous one."""
        self._snapshot = self._make_snapshot()

    def restore_snapshot(self, rewrite_delay_s: float | None = OPERATOR_REWRITE_DELAY_S) -> None:
        """Restore the last snapshot and start a new era.

        Parameters
        ----------
        rewrite_delay_s : float or None
            Delay until the operator's lost writes are repeated, in seconds; None to omit them.
        """
        written = {k: e.value for k, e in self._entries.items() if k.startswith(OPERATOR_PREFIX)}
        snapshot = self._snapshot
        self._revision, self._next_lease = snapshot.revision, snapshot.next_lease
        self._entries = {key: replace(entry) for key, entry in snapshot.entries.items()}
        self._history, self._leases = list(snapshot.history), dict(snapshot.leases)
        self.era += 1
        self.abort_watches()
        if rewrite_delay_s is not None:
            self._clock.callLater(
                rewrite_delay_s, self._repeat_operator_writes, written, snapshot.revision
            )

    def _repeat_operator_writes(self, written: dict[str, bytes], snapshot_revision: int) -> None:
        for key, value in written.items():
            if key not in self._entries or self._entries[key].revision <= snapshot_revision:
                self.write(key, value)
        removed = [
            key
            for key, entry in self._entries.items()
            if key.startswith(OPERATOR_PREFIX)
            and key not in written
            and entry.revision <= snapshot_revision
        ]
        for key in removed:
            self.remove(key)

    def _make_snapshot(self) -> _Snapshot:
        entries = {key: replace(entry) for key, entry in self._entries.items()}
        history, leases = list(self._history), dict(self._leases)
        return _Snapshot(self._revision, entries, history, leases, self._next_lease)

    def _reply(self, request: Request, body: object, status: int = 200) -> bytes:
        """Return a JSON answer with the store's era in its header."""
        request.setHeader(wire.STORE_ERA, b"%d" % self.era)
        return json_reply(request, body, status)

    def abort_watches(self) -> None:
        """Abort the connections of all waiting watches."""
        for request in list(self._watches):
            request.transport.abortConnection()

    async def _admit(self, request: Request, bucket: _TokenBucket, per_s: float) -> bytes | None:
        """Apply the switches to a call; return the refusal, or None if the call may proceed."""
        if self.switches.silent:
            await defer.Deferred()
        if self.switches.outage:
            return self._reply(request, {"error": "unavailable"}, 503)
        if not bucket.take(self._clock.seconds(), per_s):
            self.calls.refused += 1
            return self._reply(request, {"error": "too many requests"}, 429)
        if self.switches.delay_s:
            await sleep(self.switches.delay_s)
        return None

    async def _await_change(self, request: Request, prefix: str, wait_s: float) -> None:
        changed: defer.Deferred[None] = defer.Deferred()
        self._watches[request] = (prefix, changed)
        timer = self._clock.callLater(wait_s, changed.callback, None)
        request.notifyFinish().addBoth(lambda _result: changed.called or changed.callback(None))
        try:
            await changed
        finally:
            del self._watches[request]
            if timer.active():
                timer.cancel()

    def _events(self, prefix: str, after: int) -> list[dict]:
        return [
            {"key": key, "revision": revision, "gone": True} if entry is None else _row(key, entry)
            for key, entry, revision in self._history
            if revision > after and key.startswith(prefix)
        ]

    def _is_met(self, condition: dict) -> bool:
        entry = self._entries.get(condition["key"])
        return (entry.revision if entry else 0) == condition["revision"]

    def _record(self, key: str, entry: _Entry | None) -> None:
        self._history.append((key, entry, self._revision))
        for prefix, changed in list(self._watches.values()):
            if key.startswith(prefix) and not changed.called:
                # Deferred, so that the answer has all changes of the same transaction.
                self._clock.callLater(0, lambda c=changed: c.called or c.callback(None))

    def _expire_leases(self) -> None:
        now_s = self._clock.seconds()
        for lease in [n for n, (_, end_s) in self._leases.items() if end_s <= now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, entry in self._entries.items() if entry.lease == lease]:
            self.remove(key)


def _query(request: Request, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def _row(key: str, entry: _Entry) -> dict[str, object]:
    value = base64.b64encode(entry.value).decode()
    return {
        "key": key,
        "value": value,
        "revision": entry.revision,
        "made": entry.created_revision,
        "lease": entry.lease,
    }


if __name__ == "__main__":
    run_standin(
        "A stand-in for the platform's store.", lambda _parser: None, lambda _args: StoreService()
    )
