"""Cost of the roles of a box, in one process: time, bytes and memory by size.

``python -m benchmarks.capacity_roles`` benchmarks the decisions of a target's owner by the length
of its queue, a call between boxes, the choice of candidates by the number of engines, membership
and directory by the size of the fleet, the table by its rows, and claims by their rate.
"""

import argparse
import json
import os
import sys
import time
from collections.abc import Callable
from types import SimpleNamespace

import msgspec
from twisted.internet import defer, task

from benchmarks.measure import fit, loopback_bytes, resident_bytes, save
from gladedrum.claims import Claim, ClaimKey, ClaimShard, ClaimState, ShardLimits
from gladedrum.config import Settings
from gladedrum.daemon.box import OpenAIBox  # noqa: F401 - imports all modules of a box
from gladedrum.peers import Membership, PeerHandler, PeerLink, listen_for_peers, record_of_job
from gladedrum.platform import Box, Directory, StoredItem, Target
from gladedrum.platform.directory import _parse_rows
from gladedrum.scheduling import (
    Grant,
    Job,
    QueueEngineTraits,
    Quote,
    TargetQueue,
    TargetView,
    policy,
)
from gladedrum.table import Cell, Edit, Table, TableInForce, apply_edits
from gladedrum.telemetry import Traces
from gladedrum.utils import sleep, start

_REPEATS = 200


def _cpu_s(action: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call, in seconds."""
    action()
    began_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - began_s) / repeats


def _job(number: int, prompt_tokens: int = 2_000) -> Job:
    return Job(f"box-1-abcdef01-{number}.1", f"org-{number % 50}", "clause", prompt_tokens, 200,
               0.0, 1e6, prefix=(1, 2), entry_box="box-1")  # fmt: skip


def measure_owner() -> dict:
    """Benchmark quotes and grants by the number of waiting requests."""
    chosen = policy("fair_slack")
    rows = []
    for waiting in (0, 16, 64, 128, 256):
        queue = TargetQueue(QueueEngineTraits(400_000))
        queue.withhold(400_000)
        for number in range(waiting):
            queue.offer(_job(number), chosen, 0.0)
        job = _job(9_999)
        rows.append(
            {
                "waiting": waiting,
                "quote_s": _cpu_s(lambda q=queue, j=job: q.quote(j, chosen, 1.0), _REPEATS),
                "pump_s": _cpu_s(lambda q=queue: q.pump(1.0), _REPEATS),
            }
        )
    quotes = fit([(r["waiting"], r["quote_s"]) for r in rows])
    pumps = fit([(r["waiting"], r["pump_s"]) for r in rows])
    return {"rows": rows, "quote_s": quotes._asdict(), "pump_s": pumps._asdict()}


def measure_candidates() -> dict:
    """Benchmark the choice of candidates by the number of engines of a model."""
    chosen = policy("fair_slack")
    rows = []
    for engines in (18, 50, 100, 200, 400):
        views = [TargetView(f"engine-{n}", 400_000) for n in range(engines)]
        short, long = _job(1), _job(1, 200_000)
        rows.append(
            {
                "engines": engines,
                "short_s": _cpu_s(lambda v=views, j=short: chosen.candidates(j, v, 1), 50),
                "long_s": _cpu_s(lambda v=views, j=long: chosen.candidates(j, v, 1), 50),
            }
        )
    return {
        "rows": rows,
        "short_s": fit([(r["engines"], r["short_s"]) for r in rows])._asdict(),
        "long_s": fit([(r["engines"], r["long_s"]) for r in rows])._asdict(),
    }


def _boxes(count: int) -> list[Box]:
    return [Box(f"box-{n}", "127.0.0.1", 7_070, f"hall-{n % 5}") for n in range(count)]


def _target_rows(count: int) -> list[dict]:
    return [
        Target(f"engine-{n}", "engine", f"http://127.0.0.1:{n}", f"hall-{n % 5}",
               (f"model-{n % 7}",), memory_tokens=400_000)._asdict()
        for n in range(count)
    ]  # fmt: skip


def measure_membership() -> dict:
    """Benchmark a change of the target list, by size: parsing it and finding all owners."""
    rows = []
    for share in (0.1, 0.25, 0.5, 1.0):
        boxes, targets = int(400 * share), int(600 * share)
        raw = json.dumps({"targets": _target_rows(targets)}).encode()
        listed = _boxes(boxes)

        def change(raw=raw, listed=listed) -> None:
            parsed = tuple(_parse_rows(Target, json.loads(raw)["targets"]))
            members = Membership(listed[0])
            members.update(Directory(tuple(listed), parsed))
            for target in parsed:
                members.owner_of(target)

        rows.append(
            {"boxes": boxes, "targets": targets, "list_bytes": len(raw),
             "change_s": _cpu_s(change, 5)}
        )  # fmt: skip
    products = [(r["boxes"] * r["targets"], r["change_s"]) for r in rows]
    return {
        "rows": rows,
        "change_s_per_box_and_target": fit(products)._asdict(),
        "bytes_per_target": fit([(r["targets"], r["list_bytes"]) for r in rows])._asdict(),
    }


def measure_table(pid: int) -> dict:
    """Benchmark the table by its rows: size of messages, time of edit and lookup, memory."""
    rows = []
    knobs = {"weight": 2.0, "deadline_s": 60.0, "max_deadline_s": 900.0, "policy": "fair_slack"}
    kept = []
    for count in (100, 400, 900, 1_300):
        before = resident_bytes(pid)
        cells = {f"organisation:customer-{n}": dict(knobs) for n in range(count)}
        in_force = TableInForce(task.Clock())
        in_force.adopt(Table(1, cells), [])
        kept.append(in_force)  # otherwise its memory is reused by the next table
        edit = Edit("e" * 32, 2, [Cell("default", "weight", 3.0)], "somebody", "a reason", 0.0)
        rows.append(
            {
                "rows": count,
                "snapshot_bytes": len(in_force.message_for(0)),
                "edit_bytes": len(msgspec.json.encode([edit])),
                "edit_s": _cpu_s(lambda t=in_force, e=edit: apply_edits(t.table, [e]), 20),
                "lookup_s": _cpu_s(lambda t=in_force: t.table.effective("customer-1", "c"), 200),
                "resident_bytes": resident_bytes(pid) - before,
            }
        )
    return {
        "rows": rows,
        "snapshot_bytes": fit([(r["rows"], r["snapshot_bytes"]) for r in rows])._asdict(),
        "edit_s": fit([(r["rows"], r["edit_s"]) for r in rows])._asdict(),
    }


class _Owners:
    """Owners that answer at once, so that only the call itself is measured."""

    def now_s(self) -> float:
        return 0.0

    def release(self, target: str, job_id: str) -> None:
        pass

    def quote(self, target: str, job: Job, policy_name: str) -> Quote:
        return Quote(0.1, 0.1)

    def reserve(self, target: str, job: Job, policy_name: str):
        return defer.succeed(Grant(job, 1))


async def measure_calls(reactor) -> dict:
    """Benchmark calls between boxes: processor time of both sides, and bytes."""
    table = TableInForce(reactor)
    handler = PeerHandler("callee", _Owners(), table, Traces(Settings({}), "callee", "callee"))
    listening = await listen_for_peers(reactor, "127.0.0.1", 0, handler)
    box = Box("callee", "127.0.0.1", listening.getHost().port)
    link = PeerLink(reactor, "caller", box, Settings({}), lambda _b: None, lambda _b: None)
    record = record_of_job(_job(1), "fair_slack", 0.0)
    rows = []
    await link.call("quote", ["engine-1"], record)
    sent = loopback_bytes()
    for calls in (200, 400, 800, 1_600):
        began_s = time.process_time()
        for _ in range(calls):
            await link.call("quote", ["engine-1"], record)
        rows.append({"calls": calls, "cpu_s": time.process_time() - began_s})
    call_bytes = (loopback_bytes() - sent) / sum(r["calls"] for r in rows)
    sent = loopback_bytes()
    for number in range(400):
        link.send("release", "engine-1", f"box-1-abcdef01-{number}.1")
        await sleep(reactor, 0.001)
    one_way_bytes = (loopback_bytes() - sent) / 400
    began_s = time.process_time()
    for _ in range(400):
        await link.call("table_since", 5)
    pull_s = (time.process_time() - began_s) / 400
    link.close()
    listening.stopListening()
    line = fit([(r["calls"], r["cpu_s"]) for r in rows])
    return {
        "rows": rows,
        "quote_call_s": line._asdict(),
        "table_pull_s": pull_s,
        "call_bytes": call_bytes,
        "one_way_bytes": one_way_bytes,
    }


class _FakeKV:
    """A key-value service that delays and counts calls."""

    def __init__(self, reactor, delay_s: float):
        self.rows: dict[str, StoredItem] = {}
        self.swaps = self.swap_bytes = self.reads = 0
        self._reactor, self._delay_s = reactor, delay_s

    async def get_prefix(self, prefix: str) -> dict[str, StoredItem]:
        self.reads += 1
        await sleep(self._reactor, self._delay_s)
        return {k: v for k, v in self.rows.items() if k.startswith(prefix)}

    async def swap(self, key: str, value: bytes, expected: int) -> int:
        self.swaps += 1
        self.swap_bytes += len(value)
        await sleep(self._reactor, self._delay_s)
        self.rows[key] = StoredItem(key, value, expected + 1)
        return expected + 1


async def measure_claims(reactor, seconds: float = 3.0) -> dict:
    """Benchmark writes and bytes of one shard by the rate of claims, at 5 ms per write."""
    rows = []
    for per_s in (10, 50, 100, 200, 400):
        kv = _FakeKV(reactor, 0.005)
        shard = ClaimShard("claims/0/", kv, time.time, ShardLimits())
        began_s, cpu_began_s = reactor.seconds(), time.process_time()
        waits, number = [], 0
        while reactor.seconds() - began_s < seconds:
            claim = Claim(f"request-{number}", "box-1", "0" * 16, ClaimState.RUNNING, time.time())
            waits.append(shard.submit(ClaimKey(f"{number:024x}", claim)))
            number += 1
            await sleep(reactor, max(0.0, began_s + number / per_s - reactor.seconds()))
        await defer.gatherResults(waits)
        rows.append(
            {
                "claims_per_s": number / seconds,
                "writes_per_s": kv.swaps / seconds,
                "bytes_per_write": kv.swap_bytes / kv.swaps,
                "cpu_s_per_claim": (time.process_time() - cpu_began_s) / number,
            }
        )
    return {
        "rows": rows,
        "writes_per_s": fit([(r["claims_per_s"], r["writes_per_s"]) for r in rows])._asdict(),
    }


def main() -> int:
    """Run all benchmarks, print the results and save them."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    result = SimpleNamespace(resident_bytes_at_start=resident_bytes(os.getpid()))
    result.owner = measure_owner()
    result.candidates = measure_candidates()
    result.membership = measure_membership()
    result.table = measure_table(os.getpid())

    async def run(reactor) -> None:
        result.calls = await measure_calls(reactor)
        result.claims = await measure_claims(reactor)

    try:
        task.react(lambda reactor: start(run(reactor)))
    except SystemExit as exc:
        if exc.code:
            raise
    print(json.dumps(vars(result), indent=1))
    save("capacity_roles", vars(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
