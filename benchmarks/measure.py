"""Helpers for benchmarks: processor time, memory, linear fits and result files."""

import json
import os
import platform
import statistics
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

RESULTS = Path(__file__).parent / "results"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Fit(NamedTuple):
    """A straight line fitted to points.

    Parameters
    ----------
    slope, intercept : float
        Coefficients of the line.
    spread : float
        Largest residual, as a share of the largest value.
    """

    slope: float
    intercept: float
    spread: float


def cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def loopback_bytes() -> int:
    """Return the number of bytes that the loopback interface has received."""
    lines = Path("/proc/net/dev").read_text().splitlines()
    row = next(line for line in lines if line.strip().startswith("lo:"))
    return int(row.partition(":")[2].split()[0])


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line of the points."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    worst = max(abs(y - (slope * x + intercept)) for x, y in points)
    return Fit(slope, intercept, worst / max(map(abs, ys)) if any(ys) else 0.0)


def save(name: str, result: dict) -> None:
    """Write the results of a benchmark to its file, with date, Python version and core count."""
    RESULTS.mkdir(exist_ok=True)
    row = {
        "measured": time.strftime("%Y-%m-%d"),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        **result,
    }
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(row, indent=2, sort_keys=True) + "\n")
    print(f"written: {path}")


def load(name: str) -> dict:
    """Read the results of a benchmark."""
    return json.loads((RESULTS / f"{name}.json").read_text())
