"""Overhead of a box per request and per token, compared with direct calls to an engine.

``python -m benchmarks.box_overhead`` starts one box, two engine stand-ins and the stand-ins of the
platform as separate processes. It sends batches of requests with answers of different lengths
through the box and directly to an engine, and fits processor time = a * requests + b * tokens.
"""

import argparse
import statistics
import sys

from twisted.internet import defer, task

from benchmarks.measure import cpu_s, fit, resident_bytes, save
from features.support.fleet import MODEL, Fleet
from gladedrum.replay import Caller, CallRecord
from gladedrum.utils import WebClient, start

_ANSWER_TOKENS = (1, 32, 64, 128, 256)
_PROMPT = "word " * 800
_CONCURRENCY = 8


async def _send(caller: Caller, requests: int, tokens: int) -> list[CallRecord]:
    """Send requests with limited concurrency and return their records."""
    gate = defer.DeferredSemaphore(_CONCURRENCY)

    def send_one() -> defer.Deferred[CallRecord]:
        return start(caller.complete(MODEL, _PROMPT, tokens, {}, 60.0))

    return await defer.gatherResults([gate.run(send_one) for _ in range(requests)])


async def _measure(reactor, fleet: Fleet, requests: int) -> dict:
    box = fleet.boxes["box-1"]
    web = WebClient(reactor)
    through = Caller(f"http://127.0.0.1:{box.port('callers')}", web, reactor)
    direct = Caller(fleet.engines["engine-1"].url, web, reactor)
    await _send(through, 2 * _CONCURRENCY, 8)
    await _send(direct, 2 * _CONCURRENCY, 8)
    idle_bytes = resident_bytes(box.popen.pid)
    rows = []
    for tokens in _ANSWER_TOKENS:
        before_s = cpu_s(box.popen.pid)
        began_s = reactor.seconds()
        via_box = await _send(through, requests, tokens)
        wall_s = reactor.seconds() - began_s
        used_s = cpu_s(box.popen.pid) - before_s
        directly = await _send(direct, requests, tokens)
        _check(via_box, tokens)
        rows.append(
            {
                "tokens": tokens,
                "requests": requests,
                "cpu_s_per_request": used_s / requests,
                "first_token_s_box": statistics.median(r.first_token_s for r in via_box),
                "first_token_s_direct": statistics.median(r.first_token_s for r in directly),
                "box_cpu_share": used_s / wall_s,
            }
        )
    line = fit([(r["tokens"], r["cpu_s_per_request"]) for r in rows])
    return {
        "rows": rows,
        "cpu_s_per_token": line.slope,
        "cpu_s_per_request": line.intercept,
        "spread": line.spread,
        "resident_bytes_before": idle_bytes,
        "resident_bytes_after": resident_bytes(box.popen.pid),
    }


def _check(records: list[CallRecord], tokens: int) -> None:
    bad = [r for r in records if r.answer_tokens != tokens]
    if bad:
        raise SystemExit(f"{len(bad)} requests did not complete: {bad[0]}")


def main() -> int:
    """Run the benchmark, print the results and save them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=200, help="requests per answer length")
    args = parser.parse_args()
    fleet = Fleet()
    try:
        fleet.start_platform()
        for name in ("engine-1", "engine-2"):
            fleet.start_engine(name, decode_step_s=0.001)
        fleet.start_box("box-1", traces=False)
        fleet.publish()
        fleet.wait_until_ready()
        results: list[dict] = []

        async def run(reactor) -> None:
            results.append(await _measure(reactor, fleet, args.requests))

        try:
            task.react(lambda reactor: start(run(reactor)))
        except SystemExit as exc:
            if exc.code:
                raise
        result = results[0]
    finally:
        fleet.stop()
    for row in result["rows"]:
        print(row)
    print(f"processor time: {result['cpu_s_per_request'] * 1e3:.2f} ms a request")
    print(f"                {result['cpu_s_per_token'] * 1e6:.1f} us a token")
    print(f"resident: {result['resident_bytes_after'] / 1e6:.1f} MB")
    save("box_overhead", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
