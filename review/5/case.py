"""An unsafe request that has run must not be answered with a status that says that it has not."""

import asyncio
import json
import os
import random
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from platform_2.boxes import make_boxes
from platform_2.clients import ask
from platform_2.running import run_case
from platform_2.servers import PlainServer
from platform_2.store import PlatformStore

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAILURE_BYTES = int(os.environ.get("FAILURE_BYTES", "300000"))
"""Length of the text of a failure; up to 262,144 bytes the rule holds."""

HOSTS = [f"127.0.84.{number}" for number in (1, 2, 3)]
ZONES = ["sal-ett"] * 3 + ["sal-tva"] * 3 + ["sal-tre"] * 2
KEY, HOST = "n2ctnfzs989anu6wsjnb", "ficu95.example"
PROMISES = ("408", "421", "429", "503")
REQUESTS_PER_S, LENGTH_S = 20, 5.5
CLIENT_RETRIES = 1
"""As on the site's sheet. Clients retry unsafe requests only after a promise."""

FAILING_SERVERS, FAILING_SHARE = 1, 0.45
"""1 of 8 servers (a share of 0.125) fails at most 0.45 of its requests, for 6 s."""

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-1", "host": HOST, "pathPrefix": "/puxa403/", "kind": "unsafe",
         "timeoutMs": 4000, "latencyTargetMs": 400, "priority": 2, "service": "wuno96b",
         "maxAttempts": 1, "allowAnonymous": False},
    ],
    "services": [{"name": "wuno96b", "healthPath": "/health", "maxConns": 96, "protocol": "h1",
                  "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
}  # fmt: skip


async def main(folder: Path) -> int:
    """Run the case; return the exit code."""
    began_s = time.monotonic()
    events: list[tuple[float, str, str, dict]] = []

    def note(word: str, request_id: str = "", **more: object) -> None:
        events.append((round(time.monotonic() - began_s, 4), word, request_id, more))

    store = PlatformStore()
    store.write("op/config", json.dumps(CONFIG).encode())
    address = await store.start("127.0.0.1")
    rng = random.Random(5)
    servers = [PlainServer(store, "wuno96b", zone, 0.06, note, rng) for zone in ZONES]
    for server in servers:
        server.failure_bytes = FAILURE_BYTES
        await server.start("127.0.0.1")
    boxes = make_boxes(address, HOSTS, folder)
    answers: dict[str, str] = {}
    orders: dict[int, list[str]] = defaultdict(list)

    async def post(number: int) -> None:
        """Send an order; once more, with an id of its own, after a promise that it has not run."""
        for turn in range(1 + CLIENT_RETRIES):
            box = boxes[(number + turn) % len(boxes)]
            sent_s = round(time.monotonic() - began_s, 4)
            request_id, answer = await ask(box.front, "POST", "/puxa403/2f", HOST, KEY, 4.0)
            answers[request_id] = str(answer.status) if answer else "none"
            orders[number].append(request_id)
            status = answers[request_id]
            note("answered", request_id, order=number, sent_s=sent_s, status=status)
            if answers[request_id] not in PROMISES:
                return

    try:
        for box in boxes:
            box.start()
        if not all([await box.wait_ready() for box in boxes]):
            print("the boxes did not get ready")
            return 2
        await asyncio.sleep(3.0)
        # A server that gets requests: a box without other work uses few.
        await post(-1)
        used = next(more["server"] for _at, word, _id, more in events if word == "run")
        servers.sort(key=lambda server: server.name != used)
        for server in servers[:FAILING_SERVERS]:
            server.failing_share = FAILING_SHARE if TROUBLE else 0.0
        note("failures begin", server=used)
        posting = []
        for number in range(int(REQUESTS_PER_S * LENGTH_S)):
            posting.append(asyncio.ensure_future(post(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        for server in servers:
            server.failing_share = 0.0
        note("failures end")
        await asyncio.gather(*posting)
        died = [box.name for box in boxes if box.exit_code is not None]
    finally:
        await asyncio.gather(*(box.kill() for box in boxes))
    ran = {request_id for _at, word, request_id, _more in events if word == "run"}
    failed = {request_id for _at, word, request_id, _more in events if word == "failed"}
    refused = sorted(i for i, status in answers.items() if status in PROMISES and i in ran)
    twice = sorted(n for n, ids in orders.items() if sum(i in ran for i in ids) > 1)
    with (FOLDER / "record.txt").open("w") as record:
        print(f"trouble {TROUBLE}; boxes ended by themselves: {died}", file=record)
        print(f"answers by status: {dict(Counter(answers.values()))}", file=record)
        print(f"requests that ran and failed at the server: {len(failed)}", file=record)
        print(f"requests that ran and got 408, 421, 429 or 503: {len(refused)}", file=record)
        print(f"orders that ran twice, since their clients believed it: {len(twice)}", file=record)
        for request_id in refused:
            print(f"  {request_id} got {answers[request_id]}", file=record)
        for at_s, word, request_id, more in events:
            print(at_s, word, request_id, json.dumps(more), file=record)
    print(
        f"answers {dict(Counter(answers.values()))}, failed {len(failed)}, refused {len(refused)}"
    )
    if died or not ran or (TROUBLE and not failed):
        return 2
    return 1 if refused else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
