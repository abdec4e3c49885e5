"""What a changed configuration costs the store and the boxes, by number of boxes.

``python -m benchmarks.configuration_spread`` plays fleets in virtual time, without processor time
or limits of links, and writes `results/configuration_spread.json`.
"""

import base64
import json
import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.measure import save
from gladedrum.beliefs.tests.fleet import VirtualBox, VirtualFleet
from gladedrum.platform import wire

BOXES = (30, 72, 150, 300)
ROUTES = 1_400
CHANGED_ROUTES = 3
WARMUP_S, WATCHED_S, STEP_S = 12.0, 2.0, 0.02


class Spread(NamedTuple):
    """Cost of one change; bytes are of the change alone, without its fleet's other datagrams."""

    way: str
    boxes: int
    store_reads: int
    store_bytes: int
    datagram_bytes: int
    most_sent_bytes: int
    last_in_force_s: float


class CountingBox(VirtualBox):
    """Counts the bytes of the datagrams that it sends."""

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.sent[self.address] += len(data)
        super()._send(data, address)


class CountingFleet(VirtualFleet):
    """Counts the bytes that boxes send."""

    box_class = CountingBox

    def __init__(self, count: int):
        self.sent: Counter[tuple[str, int]] = Counter()
        super().__init__(count, change_bound_s=3.0)

    def write(self, version: int, routes: list[dict[str, object]]) -> int:
        """Write a configuration and return its size in bytes."""
        cfg = {"version": version, "routes": routes, "services": [], "tenants": [], "limits": {}}
        raw = json.dumps(cfg, separators=(",", ":")).encode()
        self.store.write(wire.CONFIGURATION_KEY, raw)
        return len(raw)


def random_route(rng: random.Random, name_bytes: int = 4) -> dict[str, object]:
    """Return a route as operators write it; long random names do not compress."""
    name = rng.randbytes(name_bytes).hex()
    return {
        "name": f"r-{name}",
        "host": f"{name[:6]}.example",
        "pathPrefix": f"/{name}/",
        "kind": rng.choice(["streaming", "safe", "unsafe"]),
        "timeoutMs": rng.choice([10_000, 15_000, 1_200]),
        "latencyTargetMs": rng.randint(200, 4_000),
        "priority": 1,
        "service": "plain",
        "maxAttempts": 2,
        "allowAnonymous": False,
        "gap_aim_ms": 500,
    }


def play(way: str, boxes: int, change: Callable[[list, random.Random], list]) -> Spread:
    """Play one change in a fleet of a given size."""
    rng = random.Random(1)
    fleet = CountingFleet(boxes)
    routes = [random_route(rng) for _ in range(ROUTES)]
    fleet.write(2, routes)
    fleet.run(WARMUP_S)
    fleet.sent.clear()
    fleet.run(WATCHED_S)
    idle, most_idle = fleet.sent.total(), max(fleet.sent.values())
    fleet.sent.clear()
    reads = fleet.store.calls["list op"]
    size = fleet.write(3, change(routes, rng))
    last_s = 0.0
    for step in range(round(WATCHED_S / STEP_S)):
        fleet.run(STEP_S)
        if any(box.version < 3 for box in fleet.boxes.values()):
            last_s = (step + 1) * STEP_S
    reads = fleet.store.calls["list op"] - reads
    sent, most = fleet.sent.total() - idle, max(fleet.sent.values()) - most_idle
    encoded = 4 * -(-size // 3)
    assert encoded == len(base64.b64encode(bytes(size)))
    return Spread(way, boxes, reads, reads * encoded, sent, most, round(last_s, 2))


def few_changes(routes: list, rng: random.Random) -> list:
    """Change a few routes."""
    return [*routes[CHANGED_ROUTES:], *(random_route(rng) for _ in range(CHANGED_ROUTES))]


def all_new(_routes: list, rng: random.Random) -> list:
    """Replace all routes."""
    return [random_route(rng) for _ in range(ROUTES)]


def all_new_incompressible(_routes: list, rng: random.Random) -> list:
    """Replace all routes by ones that do not fit in datagrams."""
    return [random_route(rng, name_bytes=60) for _ in range(ROUTES)]


def main() -> None:
    """Play all ways and sizes."""
    logging.disable(logging.CRITICAL)
    ways = {"difference": few_changes, "whole": all_new, "store": all_new_incompressible}
    rows = [play(way, boxes, change) for boxes in BOXES for way, change in ways.items()]
    for row in rows:
        print(row)
    save("configuration_spread", {"rows": [row._asdict() for row in rows]})


if __name__ == "__main__":
    main()
