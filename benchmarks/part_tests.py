"""Cost of testing and condemning parts of prompts.

``python -m benchmarks.part_tests`` measures, without network, what a request costs while no target
has ended and while a part is suspected, what the end of a target costs a coordinator, the memory of
a full tracker, and the bytes of the notes on one end.
"""

import sys
import time
import timeit
import tracemalloc

from benchmarks.measure import save
from gladedrum.forward.identity import part_causes
from gladedrum.gossip.port import encode
from gladedrum.gossip.wire.ttypes import Gossip
from gladedrum.placing.suspicion import note_from_loss
from gladedrum.platform.headers import parse_caller_headers
from gladedrum.scheduling.suspects import MAX_PARTS, PartCause, SuspectTracker, TargetStart

RUNS = 5_000
PROMPT = b"5c1e07a2:800,91bd3f06:410,e4402b7d:250,77aa01bc:90"
RUNNING, PARTS = 8, 3
"""Requests on a target that ends, and the shared parts of each."""


def _us(call) -> float:
    return timeit.timeit(call, number=RUNS) / RUNS * 1e6


def _full_tracker() -> SuspectTracker:
    """Return a tracker with as many parts as it keeps, and a condemned one."""
    tracker = SuspectTracker()
    for number in range(MAX_PARTS - 4):
        start = TargetStart(f"target-{number // RUNNING}", 1)
        part = PartCause(b"p%015d" % number, f"p{number:08x}")
        tracker.note_lost(b"%016d" % number, [start], 1.0, "route", "organisation", [part])
    for number in range(4):
        start = TargetStart(f"ended-{number}", 1)
        parts = [PartCause(b"deadly", "deadly"), PartCause(b"common", "common")]
        tracker.note_lost(b"r%d" % number, [start], 1.0, "r", "o", parts, isolated=number > 1)
        tracker.note_ended(start, 1.0)
    return tracker


def _end_of_target(tracker: SuspectTracker) -> tuple[float, int]:
    """Return what the end of a target costs, in milliseconds, and the bytes of the notes on it."""
    began_s, losses = time.process_time(), []
    start = TargetStart("new", 1)
    for number in range(RUNNING):
        parts = [PartCause(b"q%d.%d%012d" % (number, part, 0), "q") for part in range(PARTS)]
        losses += tracker.note_lost(b"new%013d" % number, [start], 3.0, "route", "org", parts)
    tracker.note_ended(start, 3.0)
    took_ms = (time.process_time() - began_s) * 1e3
    return took_ms, len(encode(Gossip("box", losses=[note_from_loss(x, 3.0) for x in losses])))


def main() -> int:
    """Measure, print and save."""
    headers = [(b"x-gladedrum-request-id", b"0123456789abcdef"), (b"host", b"a.example")]
    with_parts = [*headers, (b"x-gladedrum-prompt-prefix", PROMPT)]
    own = [part.digest for part in part_causes(PROMPT, "pool")]
    empty = SuspectTracker()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    full = _full_tracker()
    memory_mb = (tracemalloc.get_traced_memory()[0] - before) / 1e6
    tracemalloc.stop()
    result = {
        "calm_us": _us(lambda: parse_caller_headers(with_parts))
        - _us(lambda: parse_caller_headers(headers))
        + _us(lambda: empty.is_watching),
        "name_parts_us": _us(lambda: part_causes(PROMPT, "pool")),
        "standing_us": _us(lambda: [full.standing_of_part(part, own, 3.0) for part in own]),
        "memory_mb": memory_mb,
    }
    result["end_ms"], result["end_bytes"] = _end_of_target(full)
    result["end_few_ms"], _ = _end_of_target(SuspectTracker())
    print(result)
    save("part_tests", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
