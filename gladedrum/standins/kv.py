"""A stand-in for the platform's key-value service, speaking the etcd v3 JSON protocol.

It answers ``/v3/kv/range``, ``/v3/kv/txn``, ``/v3/lease/grant``, ``/v3/lease/keepalive``,
``/v3/lease/revoke`` and ``/v3/watch``. ``POST /switches`` brings about outages, slowness,
rate limits and answers that are lost after the write took effect.

References
----------
etcd documentation, "gRPC gateway" and "etcd API" (v3).
"""

import base64
import itertools
import json
from dataclasses import dataclass, field

from klein import Klein
from twisted.internet import defer, reactor, task
from twisted.web.http import Request

from ._http import json_body, json_reply, run_standin, sleep

__all__ = ["KVService", "KVSwitches"]

MAX_VALUE_BYTES = 1_000_000


@dataclass
class KVSwitches:
    """Failures and limits of the service.

    Parameters
    ----------
    outage : bool
        Refuse every call and cut every watch.
    delay_s : float
        How long an answer takes, in seconds.
    lose_answers : int
        How many of the next writes take effect without an answer.
    reads_per_s, writes_per_s : float
        Rates above which calls are refused with 429.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0


@dataclass
class _Entry:
    value: bytes
    mod_revision: int
    version: int
    lease: int = 0


@dataclass
class _Rate:
    """A token bucket that holds one second of calls."""

    tokens: float = 0.0
    at_s: float = float("-inf")

    def take(self, now_s: float, per_s: float) -> bool:
        self.tokens = min(per_s, self.tokens + (now_s - self.at_s) * per_s)
        self.at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class _Watch:
    request: Request
    start: bytes
    end: bytes
    gone: bool = False


@dataclass
class _Calls:
    """What the service counted, for measurements."""

    reads: int = 0
    writes: int = 0
    refused: int = 0
    read_rate: _Rate = field(default_factory=_Rate)
    write_rate: _Rate = field(default_factory=_Rate)


class KVService:
    """The keys, leases and watches of the service."""

    app = Klein()

    def __init__(self, clock=reactor):
        self.switches = KVSwitches()
        self.calls = _Calls()
        self._clock = clock
        self._revision = 1
        self._entries: dict[bytes, _Entry] = {}
        self._history: list[tuple[bytes, _Entry | None, int]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._watches: list[_Watch] = []
        self._reaper = task.LoopingCall(self._expire)
        self._reaper.clock = clock
        self._reaper.start(0.1)

    def stop(self) -> None:
        """Cancel the timer that ends leases."""
        if self._reaper.running:
            self._reaper.stop()

    @app.route("/v3/kv/range", methods=["POST"])
    async def range(self, request: Request) -> bytes:
        """Read one key or a range of keys."""
        body = json_body(request)
        refusal = await self._enter(request, self.calls.read_rate, self.switches.reads_per_s)
        if refusal is not None:
            return refusal
        self.calls.reads += 1
        return json_reply(request, self._range(body))

    @app.route("/v3/kv/txn", methods=["POST"])
    async def txn(self, request: Request) -> bytes:
        """Compare, then do the one list of operations or the other."""
        body = json_body(request)
        refusal = await self._enter(request, self.calls.write_rate, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        self.calls.writes += 1
        succeeded = all(self._holds(c) for c in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        if any(_too_large(op) for op in branch):
            return json_reply(request, {"error": "etcdserver: request is too large"}, 400)
        responses = [self._operate(op) for op in branch]
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            request.transport.abortConnection()
        reply = {"header": self._header(), "succeeded": succeeded, "responses": responses}
        return json_reply(request, reply)

    @app.route("/v3/lease/grant", methods=["POST"])
    async def grant(self, request: Request) -> bytes:
        """Grant a lease of ``TTL`` seconds."""
        body = json_body(request)
        refusal = await self._enter(request, self.calls.write_rate, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        lease = next(self._lease_ids)
        ttl_s = float(body["TTL"])
        self._leases[lease] = (ttl_s, self._clock.seconds() + ttl_s)
        return json_reply(request, {"ID": str(lease), "TTL": str(int(ttl_s))})

    @app.route("/v3/lease/keepalive", methods=["POST"])
    async def keepalive(self, request: Request) -> bytes:
        """Renew a lease; the TTL in the answer is 0 if it has ended."""
        lease = int(json_body(request)["ID"])
        refusal = await self._enter(request, self.calls.write_rate, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        ttl_s, _ = self._leases.get(lease, (0.0, 0.0))
        if ttl_s:
            self._leases[lease] = (ttl_s, self._clock.seconds() + ttl_s)
        return json_reply(request, {"result": {"ID": str(lease), "TTL": str(int(ttl_s))}})

    @app.route("/v3/lease/revoke", methods=["POST"])
    async def revoke(self, request: Request) -> bytes:
        """End a lease and delete its keys."""
        lease = int(json_body(request)["ID"])
        refusal = await self._enter(request, self.calls.write_rate, self.switches.writes_per_s)
        if refusal is not None:
            return refusal
        self._end_lease(lease)
        return json_reply(request, {"header": self._header()})

    @app.route("/v3/watch", methods=["POST"])
    def watch(self, request: Request):
        """Stream the changes of a range, a JSON object a line."""
        if self.switches.outage:
            return json_reply(request, {"error": "unavailable"}, 503)
        create = json_body(request)["create_request"]
        start, end = _key_range(create)
        watch = _Watch(request, start, end)
        request.notifyFinish().addBoth(lambda _result: self._forget(watch))
        self._watches.append(watch)
        self.calls.reads += 1
        self._send(watch, {"header": self._header(), "created": True})
        first = int(create.get("start_revision", self._revision + 1))
        for key, entry, revision in self._history:
            if revision >= first and _within(key, start, end):
                self._notify(watch, key, entry, revision)
        return defer.Deferred()

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change failure switches; an outage cuts all watches."""
        for name, value in json_body(request).items():
            setattr(self.switches, name, value)
        if self.switches.outage:
            for watch in list(self._watches):
                watch.request.transport.abortConnection()
        return json_reply(request, vars(self.switches))

    @app.route("/calls", methods=["GET"])
    def count_calls(self, request: Request) -> bytes:
        """Report how many calls were taken and refused."""
        counts = {"reads": self.calls.reads, "writes": self.calls.writes}
        return json_reply(request, {**counts, "refused": self.calls.refused})

    async def _enter(self, request: Request, rate: _Rate, per_s: float) -> bytes | None:
        if self.switches.outage:
            return json_reply(request, {"error": "unavailable"}, 503)
        if not rate.take(self._clock.seconds(), per_s):
            self.calls.refused += 1
            return json_reply(request, {"error": "too many requests"}, 429)
        if self.switches.delay_s:
            await sleep(self.switches.delay_s)
        return None

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}

    def _range(self, body: dict) -> dict:
        start, end = _key_range(body)
        rows = [
            _row(key, entry)
            for key, entry in sorted(self._entries.items())
            if _within(key, start, end)
        ]
        return {"header": self._header(), "kvs": rows, "count": str(len(rows))}

    def _holds(self, compare: dict) -> bool:
        entry = self._entries.get(base64.b64decode(compare["key"]))
        actual = entry.mod_revision if entry else 0
        return actual == int(compare.get("mod_revision", 0))

    def _operate(self, operation: dict) -> dict:
        match operation:
            case {"request_put": put}:
                self._put(base64.b64decode(put["key"]), put)
                return {"response_put": {"header": self._header()}}
            case {"request_delete_range": deletion}:
                start, end = _key_range(deletion)
                doomed = [k for k in self._entries if _within(k, start, end)]
                for key in doomed:
                    self._delete(key)
                return {"response_delete_range": {"deleted": str(len(doomed))}}
            case {"request_range": read}:
                return {"response_range": self._range(read)}
        raise ValueError(f"unknown operation {operation}")

    def _put(self, key: bytes, put: dict) -> None:
        self._revision += 1
        old = self._entries.get(key)
        version = old.version + 1 if old else 1
        value = base64.b64decode(put.get("value", ""))
        entry = _Entry(value, self._revision, version, int(put.get("lease", 0)))
        self._entries[key] = entry
        self._record(key, entry)

    def _delete(self, key: bytes) -> None:
        self._revision += 1
        del self._entries[key]
        self._record(key, None)

    def _record(self, key: bytes, entry: _Entry | None) -> None:
        self._history.append((key, entry, self._revision))
        for watch in list(self._watches):
            if _within(key, watch.start, watch.end):
                self._notify(watch, key, entry, self._revision)

    def _notify(self, watch: _Watch, key: bytes, entry: _Entry | None, revision: int) -> None:
        row = _row(key, entry) if entry else {"key": _b64(key), "mod_revision": str(revision)}
        event = {"type": "PUT" if entry else "DELETE", "kv": row}
        self._send(watch, {"header": {"revision": str(revision)}, "events": [event]})

    def _send(self, watch: _Watch, result: dict) -> None:
        if not watch.gone:
            watch.request.write(json.dumps({"result": result}).encode() + b"\n")

    def _forget(self, watch: _Watch) -> None:
        watch.gone = True
        if watch in self._watches:
            self._watches.remove(watch)

    def _expire(self) -> None:
        now_s = self._clock.seconds()
        for lease in [n for n, (_, end_s) in self._leases.items() if end_s <= now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, entry in self._entries.items() if entry.lease == lease]:
            self._delete(key)


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _key_range(body: dict) -> tuple[bytes, bytes]:
    start = base64.b64decode(body["key"])
    end = base64.b64decode(body.get("range_end", ""))
    return start, end or start + b"\0"


def _within(key: bytes, start: bytes, end: bytes) -> bool:
    return start <= key < end


def _row(key: bytes, entry: _Entry) -> dict[str, str]:
    return {
        "key": _b64(key),
        "value": _b64(entry.value),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "lease": str(entry.lease),
    }


def _too_large(operation: dict) -> bool:
    put = operation.get("request_put", {})
    return len(put.get("value", "")) * 3 // 4 > MAX_VALUE_BYTES


if __name__ == "__main__":
    run_standin(
        "A stand-in for the key-value service.", lambda _parser: None, lambda _args: KVService()
    )
