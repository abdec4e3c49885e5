"""Comparison of all policies on the same traces, as quoted in docs/design/policies.md.

``python -m benchmarks.policies`` replays the default workload on 18 engines with a deterministic
clock, one process per case and policy. Cases: 85% load with three seeds, loss of half a data hall
and of half of all engines, and twice and five times the load that the engines can serve.
"""

import argparse
import itertools
import os
import sys
from multiprocessing import Pool
from typing import NamedTuple

from benchmarks.measure import save
from gladedrum.replay import LocalFleet, PolicyMetrics, Workload, compare_locally, make_trace
from gladedrum.scheduling import policy_names

_ENGINES = 18
_LOST_AT_S = 160.0


class Case(NamedTuple):
    """A workload and the number of engines that fail while it runs."""

    name: str
    workload: Workload
    lost_engines: int = 0


CASES = (
    *(
        Case(f"load 0.85, seed {seed}", Workload(seed=seed, duration_s=480, load=0.85))
        for seed in (1, 2, 3)
    ),
    Case("load 0.85, 3 of 18 lost", Workload(duration_s=480, load=0.85), 3),
    Case("load 0.45, 9 of 18 lost", Workload(duration_s=480, load=0.45), 9),
    Case("load 2", Workload(duration_s=240, load=2.0)),
    Case("load 5", Workload(duration_s=60, load=5.0)),
)


def _run(pair: tuple[Case, str]) -> PolicyMetrics:
    case, policy = pair
    fleet = LocalFleet(_ENGINES, lost_engines=case.lost_engines, lost_at_s=_LOST_AT_S)
    return compare_locally(make_trace(case.workload), [policy], fleet)[0]


def main() -> int:
    """Run all cases, print a line for each and save the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    args = parser.parse_args()
    pairs = list(itertools.product(CASES, policy_names()))
    with Pool(args.processes) as pool:
        results = pool.map(_run, pairs, chunksize=1)
    rows = [
        {"case": case.name, **figures} for (case, _), figures in zip(pairs, results, strict=True)
    ]
    for row in rows:
        lengths = {
            name: round(f["first_token_s"]["p95"], 2) for name, f in row["by_length"].items()
        }
        print(
            f"{row['case']:30} {row['policy']:13} slowdown of p95 {row['slowdown_of_p95']:.3f}"
            f" dossiers {row['dossiers_in_time']:.3f} of {row['dossiers_admitted']}"
            f" late {row['late_per_admitted']:.4f} not run {row['not_run']}"
            f" of {row['requests']} p95 {lengths}",
            flush=True,
        )
    save("policies", {"rows": rows, "engines": _ENGINES})
    return 0


if __name__ == "__main__":
    sys.exit(main())
