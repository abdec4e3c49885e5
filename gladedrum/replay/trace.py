"""Request traces: file format (JSON lines) and random generation from a workload.

The default workload has prompts from a thousand to a million tokens, of which one in fifty has
over a hundred thousand, a few large organisations and many small ones, bursts of arrivals, and
prompts with shared prefixes.
"""

import json
import math
import random
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from ..errors import Finding, GladedrumError
from ..scheduling import QueueEngineTraits

__all__ = [
    "LengthBand",
    "TraceError",
    "TraceRow",
    "Workload",
    "make_trace",
    "read_trace",
    "write_trace",
]


class TraceError(GladedrumError):
    """A trace is invalid; `findings` lists the lines and the reasons."""

    def __init__(self, findings: list[Finding]):
        self.findings = findings
        super().__init__("\n".join(str(f) for f in findings))


class TraceRow(NamedTuple):
    """One request of a trace.

    Parameters
    ----------
    arrival_s : float
        Time of arrival, in seconds from the start of the trace.
    organisation, request_class : str
        Organisation that sends the request, and its class of request.
    prompt_tokens, output_tokens : int
        Lengths of the prompt and of the answer.
    prefix : str
        Name of the leading part that the prompt shares with others; empty if it shares none.
    prefix_tokens : int
        Length of the shared part.
    deadline_s : float
        Deadline, in seconds from the arrival.
    """

    arrival_s: float
    organisation: str
    request_class: str
    prompt_tokens: int
    output_tokens: int
    prefix: str
    prefix_tokens: int
    deadline_s: float


class LengthBand(NamedTuple):
    """A class of requests.

    Parameters
    ----------
    request_class : str
        Name of the class.
    share : float
        Share of all requests.
    prompt_tokens, output_tokens : tuple of int
        Ranges of the lengths of prompts and answers, which are drawn log-uniformly.
    """

    request_class: str
    share: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]


_BANDS = (
    LengthBand("clause", 0.70, (1_000, 4_000), (32, 256)),
    LengthBand("quote", 0.20, (4_000, 32_000), (64, 512)),
    LengthBand("chapter", 0.08, (32_000, 100_000), (128, 768)),
    LengthBand("dossier", 0.02, (100_000, 1_000_000), (256, 1_024)),
)


class Workload(NamedTuple):
    """Parameters of a random trace.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    duration_s : float
        Duration of the trace, in seconds.
    engines : int
        Number of engines that `load` refers to.
    load : float
        Prefill time of the requests, relative to the engine time available.
    traits : QueueEngineTraits
        Size and speed of an engine.
    organisations : int
        Number of organisations; the n-th sends requests in proportion to 1/n.
    burst_factor, burst_share : float
        Arrival rate in a burst relative to the mean rate, and the share of time in bursts.
    prefix_share : float
        Share of requests whose prompt starts with one of its organisation's shared prefixes.
    longest_tokens : int
        Limit to which longer prompts are cut.
    """

    seed: int = 1
    duration_s: float = 600.0
    engines: int = 18
    load: float = 0.85
    traits: QueueEngineTraits = QueueEngineTraits(400_000)
    organisations: int = 10
    burst_factor: float = 2.0
    burst_share: float = 0.15
    prefix_share: float = 0.3
    longest_tokens: int = 1_000_000


_BURST_DURATION_S = 10.0
_PREFIXES_PER_ORGANISATION = 4
_DEADLINE_BASE_S = 20.0
_DEADLINE_S_PER_TOKEN = 0.0015
_MEAN_SAMPLES = 20_000
"""Number of samples for the estimate of the mean prefill time."""


def make_trace(workload: Workload) -> list[TraceRow]:
    """Draw a trace; the same workload always gives the same trace."""
    rng = random.Random(workload.seed)
    rate_per_s = workload.load * workload.engines / _mean_prefill_s(workload)
    rows = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(rate_per_s * _burst_factor(workload, now_s))
        if now_s >= workload.duration_s:
            return rows
        rows.append(_draw_row(workload, rng, now_s))


def _mean_prefill_s(workload: Workload) -> float:
    rng = random.Random(0)
    total_s = 0.0
    for _ in range(_MEAN_SAMPLES):
        prompt_tokens = min(_draw_lengths(rng)[1], workload.longest_tokens)
        total_s += workload.traits.prefill_s(prompt_tokens)
    return total_s / _MEAN_SAMPLES


def _burst_factor(workload: Workload, now_s: float) -> float:
    period_s = _BURST_DURATION_S / workload.burst_share
    # The factors in and outside of bursts average to 1.
    calm_factor = (1 - workload.burst_share * workload.burst_factor) / (1 - workload.burst_share)
    in_burst = now_s % period_s >= period_s - _BURST_DURATION_S
    return workload.burst_factor if in_burst else calm_factor


def _draw_lengths(rng: random.Random) -> tuple[LengthBand, int, int]:
    band = rng.choices(_BANDS, [b.share for b in _BANDS])[0]
    return band, _log_uniform(rng, band.prompt_tokens), _log_uniform(rng, band.output_tokens)


def _log_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    low, high = bounds
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _draw_row(workload: Workload, rng: random.Random, now_s: float) -> TraceRow:
    band, prompt_tokens, output_tokens = _draw_lengths(rng)
    prompt_tokens = min(prompt_tokens, workload.longest_tokens)
    organisation_numbers = range(1, workload.organisations + 1)
    number = rng.choices(organisation_numbers, [1 / n for n in organisation_numbers])[0]
    prefix, prefix_tokens = "", 0
    if rng.random() < workload.prefix_share:
        index = rng.randrange(_PREFIXES_PER_ORGANISATION)
        prefix = f"organisation-{number}/{band.request_class}/{index}"
        prefix_tokens = prompt_tokens // 2
    return TraceRow(
        arrival_s=round(now_s, 6),
        organisation=f"organisation-{number}",
        request_class=band.request_class,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix=prefix,
        prefix_tokens=prefix_tokens,
        deadline_s=round(_DEADLINE_BASE_S + _DEADLINE_S_PER_TOKEN * prompt_tokens, 3),
    )


def write_trace(path: str | Path, rows: Iterable[TraceRow]) -> None:
    """Write a trace as JSON lines."""
    with open(path, "w", encoding="utf-8") as file:
        file.writelines(json.dumps(row._asdict()) + "\n" for row in rows)


def read_trace(path: str | Path) -> list[TraceRow]:
    """Read a trace from a file of JSON lines, sorted by arrival.

    Raises
    ------
    TraceError
        If the file cannot be read or has invalid lines; lists every invalid line.
    """
    rows: list[TraceRow] = []
    findings: list[Finding] = []
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except OSError as exc:
        raise TraceError([Finding(str(path), f"cannot be read: {exc}")]) from exc
    for number, line in enumerate(lines, 1):
        try:
            rows.append(_parse_row(line))
        except (ValueError, TypeError) as exc:
            findings.append(Finding(f"{path}:{number}", str(exc)))
    if findings:
        raise TraceError(findings)
    return sorted(rows)


def _parse_row(line: str) -> TraceRow:
    fields = json.loads(line)
    if not isinstance(fields, dict):
        raise ValueError("is not a JSON object")
    row = TraceRow(**fields)
    numbers = (row.arrival_s, row.prompt_tokens, row.output_tokens, row.deadline_s)
    if any(isinstance(n, bool) or not isinstance(n, int | float) for n in numbers):
        raise ValueError("arrival_s, prompt_tokens, output_tokens, deadline_s must be numbers")
    if row.prompt_tokens < 1 or row.output_tokens < 1 or row.arrival_s < 0 or row.deadline_s <= 0:
        raise ValueError("lengths and deadline_s must be positive, arrival_s not negative")
    return row


def without_long(rows: Iterable[TraceRow], long_tokens: int) -> Iterator[TraceRow]:
    """Return the rows of a trace whose prompts are shorter than `long_tokens`."""
    return (row for row in rows if row.prompt_tokens < long_tokens)
