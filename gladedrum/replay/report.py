"""Metrics of a replay: time to first token by prompt length, slowdown, goodput, fairness."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import TypedDict

from hdrh.histogram import HdrHistogram

from ..scheduling import LONG_PROMPT_TOKENS
from ..telemetry import length_class
from .local import ReplayRecord

__all__ = ["LengthMetrics", "PolicyMetrics", "Quantiles", "replay_metrics", "slowdowns"]

_US_PER_S = 1_000_000
_MAX_VALUE_US = 3_600 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
_DOSSIER_CLASS = length_class(100_000)


class Quantiles(TypedDict):
    """The 50th, 95th and 99th percentiles."""

    p50: float
    p95: float
    p99: float


class LengthMetrics(TypedDict):
    """Metrics of the requests of one prompt-length class; times in seconds."""

    requests: int
    completed: int
    not_run: int
    failed: int
    first_token_s: Quantiles


class PolicyMetrics(TypedDict):
    """Metrics of a replay under one policy.

    Parameters
    ----------
    late_per_admitted : float
        Share of the admitted requests that failed, for any reason.
    dossiers_admitted : int
        Number of admitted requests in the longest prompt-length class (dossiers).
    dossiers_in_time : float
        Share of the admitted dossiers that completed.
    goodput_tokens_per_s : float
        Prompt and answer tokens of the completed requests, per second of the trace.
    fairness : float
        Jain's fairness index over the share of each organisation's tokens that completed.
    slowdown : Quantiles
        Time to first token of a short request divided by that of the same request in the
        baseline, a replay of the same trace without long prompts.
    slowdown_of_p95 : float
        95th percentile of the time to first token of short requests, divided by that in the
        baseline.
    """

    policy: str
    requests: int
    completed: int
    not_run: int
    failed: int
    late_per_admitted: float
    dossiers_admitted: int
    dossiers_in_time: float
    goodput_tokens_per_s: float
    fairness: float
    slowdown: Quantiles
    slowdown_of_p95: float
    by_length: dict[str, LengthMetrics]


def quantiles(values: Iterable[float]) -> Quantiles:
    """Return percentiles with three significant digits; zeros if there are no values."""
    histogram = HdrHistogram(1, _MAX_VALUE_US, _SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value * _US_PER_S)))
    if not histogram.get_total_count():
        return Quantiles(p50=0.0, p95=0.0, p99=0.0)
    value_at = histogram.get_value_at_percentile
    return Quantiles(
        p50=value_at(50) / _US_PER_S, p95=value_at(95) / _US_PER_S, p99=value_at(99) / _US_PER_S
    )


def replay_metrics(
    policy: str, records: Sequence[ReplayRecord], baseline: Sequence[ReplayRecord]
) -> PolicyMetrics:
    """Return the metrics of a replay.

    Parameters
    ----------
    policy : str
        Label of the metrics, usually the name of the policy.
    records : sequence of ReplayRecord
        Replay of the full trace.
    baseline : sequence of ReplayRecord
        Replay of the same trace without long prompts.
    """
    done = [r for r in records if r.outcome == "completed"]
    admitted = [r for r in records if r.outcome != "not-run"]
    dossiers = [r for r in admitted if length_class(r.row.prompt_tokens) == _DOSSIER_CLASS]
    in_time = sum(r.outcome == "completed" for r in dossiers)
    duration_s = max((r.row.arrival_s for r in records), default=1.0)
    completed_tokens = sum(r.row.prompt_tokens + r.row.output_tokens for r in done)
    ratios = slowdowns(records, baseline)
    p95_full, p95_baseline = _short_p95(records), _short_p95(baseline)
    return PolicyMetrics(
        policy=policy,
        requests=len(records),
        completed=len(done),
        not_run=len(records) - len(admitted),
        failed=len(admitted) - len(done),
        late_per_admitted=(len(admitted) - len(done)) / max(1, len(admitted)),
        dossiers_admitted=len(dossiers),
        dossiers_in_time=in_time / max(1, len(dossiers)),
        goodput_tokens_per_s=completed_tokens / duration_s,
        fairness=_fairness(records),
        slowdown=quantiles(ratios),
        slowdown_of_p95=p95_full / p95_baseline if p95_baseline else 0.0,
        by_length=_by_length(records),
    )


def slowdowns(records: Sequence[ReplayRecord], baseline: Sequence[ReplayRecord]) -> list[float]:
    """Return the slowdown of each request that has a first token in both replays.

    The baseline has no long prompts, so these are requests with short prompts.
    """
    baseline_s = {r.row: r.first_token_s for r in baseline}
    return [
        r.first_token_s / baseline_s[r.row]
        for r in records
        if r.first_token_s is not None and baseline_s.get(r.row) is not None
    ]


def _short_p95(records: Iterable[ReplayRecord]) -> float:
    short = (
        r.first_token_s
        for r in records
        if r.row.prompt_tokens < LONG_PROMPT_TOKENS and r.first_token_s is not None
    )
    return quantiles(short)["p95"]


def _fairness(records: Iterable[ReplayRecord]) -> float:
    """Return Jain's fairness index over the share of each organisation's tokens that completed."""
    requested: defaultdict[str, int] = defaultdict(int)
    served: defaultdict[str, int] = defaultdict(int)
    for record in records:
        tokens = record.row.prompt_tokens + record.row.output_tokens
        requested[record.row.organisation] += tokens
        served[record.row.organisation] += tokens * (record.outcome == "completed")
    shares = [served[name] / requested[name] for name in requested]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def _shortest_prompt(item: tuple[str, list[ReplayRecord]]) -> int:
    return min(record.row.prompt_tokens for record in item[1])


def _by_length(records: Iterable[ReplayRecord]) -> dict[str, LengthMetrics]:
    groups: defaultdict[str, list[ReplayRecord]] = defaultdict(list)
    for record in records:
        groups[length_class(record.row.prompt_tokens)].append(record)
    return {
        name: LengthMetrics(
            requests=len(group),
            completed=sum(r.outcome == "completed" for r in group),
            not_run=sum(r.outcome == "not-run" for r in group),
            failed=sum(r.outcome == "failed" for r in group),
            first_token_s=quantiles(r.first_token_s for r in group if r.first_token_s is not None),
        )
        for name, group in sorted(groups.items(), key=_shortest_prompt)
    }
