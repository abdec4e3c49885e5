"""Cost of an idle box by the number of boxes and of targets.

``python -m benchmarks.capacity_idle`` starts fleets of separate processes without requests. For
each it records the processor time of the boxes, the bytes on the loopback interface, which must
carry no other traffic, and the number of calls to the key-value stand-in.
"""

import argparse
import statistics
import sys
import time

from benchmarks.measure import cpu_s, fit, loopback_bytes, resident_bytes, save
from features.support.fleet import Fleet
from features.support.processes import http_json

# Default settings; the scenarios in features/ use shorter intervals.
_DEFAULT_INTERVALS = """\
[peers]
heartbeat_interval_s = 1.0
heartbeat_timeout_s = 1.5
[platform]
directory_interval_s = 2.0
[targets]
poll_interval_s = 1.0
renewal_s = 15
orphan_grace_s = 5
[table]
pull_interval_s = 1.0
"""


def _measure(boxes: int, engines: int, seconds: float) -> dict:
    fleet = Fleet(intervals=_DEFAULT_INTERVALS)
    try:
        fleet.start_platform()
        for number in range(engines):
            fleet.start_engine(f"engine-{number}")
        for number in range(boxes):
            fleet.start_box(f"box-{number}", traces=False)
        fleet.publish()
        fleet.wait_until_ready()
        time.sleep(4)
        pids = [box.popen.pid for box in fleet.boxes.values()]
        calls = http_json("GET", f"{fleet.kv.url}/calls")
        used_s, sent_bytes = sum(map(cpu_s, pids)), loopback_bytes()
        time.sleep(seconds)
        used_s = sum(map(cpu_s, pids)) - used_s
        sent_bytes = loopback_bytes() - sent_bytes
        later = http_json("GET", f"{fleet.kv.url}/calls")
        return {
            "boxes": boxes,
            "engines": engines,
            "cpu_share_per_box": used_s / seconds / boxes,
            "bytes_per_s_per_box": sent_bytes / seconds / boxes,
            "kv_reads_per_s": (later["reads"] - calls["reads"]) / seconds,
            "kv_writes_per_s": (later["writes"] - calls["writes"]) / seconds,
            "resident_bytes": statistics.median(map(resident_bytes, pids)),
        }
    finally:
        fleet.stop()


def main() -> int:
    """Run the benchmark, print the results and save them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="duration for each fleet")
    args = parser.parse_args()
    by_boxes = [_measure(n, 4, args.seconds) for n in (2, 4, 8, 16)]
    by_engines = [_measure(1, n, args.seconds) for n in (1, 4, 8, 16)]
    for row in by_boxes + by_engines:
        print(row)
    cpu = fit([(r["engines"], r["cpu_share_per_box"]) for r in by_engines])
    traffic = fit([(r["engines"], r["bytes_per_s_per_box"]) for r in by_engines])
    # Only the owners of the four engines poll them, so subtract the cost of polls.
    without_polls = [
        (r["boxes"], r["cpu_share_per_box"] - cpu.slope * r["engines"] / r["boxes"])
        for r in by_boxes
    ]
    bytes_without_polls = [
        (r["boxes"], r["bytes_per_s_per_box"] - traffic.slope * r["engines"] / r["boxes"])
        for r in by_boxes
    ]
    save(
        "capacity_idle",
        {
            "by_boxes": by_boxes,
            "by_engines": by_engines,
            "cpu_share_per_engine": cpu._asdict(),
            "bytes_per_s_per_engine": traffic._asdict(),
            "cpu_share_without_engines_by_boxes": fit(without_polls)._asdict(),
            "bytes_per_s_without_engines_by_boxes": fit(bytes_without_polls)._asdict(),
            "kv_reads_per_s_by_boxes": fit(
                [(r["boxes"], r["kv_reads_per_s"]) for r in by_boxes]
            )._asdict(),
        },
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
