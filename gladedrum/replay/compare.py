"""Comparison of scheduling policies on one trace, with tables and a bar chart."""

from collections.abc import Callable, Sequence
from pathlib import Path

from ..scheduling import LONG_PROMPT_TOKENS
from .local import LocalFleet, replay_locally
from .report import PolicyMetrics, replay_metrics
from .trace import TraceRow, without_long

__all__ = ["compare_locally", "comparison_rows", "draw_comparison"]

COMPARISON_HEADING = [
    "POLICY", "LENGTH", "REQUESTS", "COMPLETED", "NOT RUN", "FAILED", "TTFT P50", "P95", "P99"
]  # fmt: skip
"""Column headings of `comparison_rows`; times in seconds."""

SUMMARY_HEADING = [
    "POLICY", "SLOWDOWN P50", "P95", "P99", "OF P95", "DOSSIERS IN TIME", "LATE", "TOKENS/S", "FAIR"
]  # fmt: skip
"""Column headings of `summary_rows`."""


def compare_locally(
    rows: Sequence[TraceRow],
    policies: Sequence[str],
    fleet: LocalFleet,
    on_policy: Callable[[str], None] = lambda _policy: None,
) -> list[PolicyMetrics]:
    """Replay a trace under each policy, with and without its long prompts.

    Parameters
    ----------
    rows : sequence of TraceRow
        Trace to replay.
    policies : sequence of str
        Names of the policies to compare.
    fleet : LocalFleet
        Simulated engines that run the trace.
    on_policy : callable
        Called with a policy's name before its replay.
    """
    short = list(without_long(rows, LONG_PROMPT_TOKENS))
    results = []
    for name in policies:
        on_policy(name)
        full = replay_locally(rows, name, fleet)
        baseline = replay_locally(short, name, fleet)
        results.append(replay_metrics(name, full, baseline))
    return results


def comparison_rows(results: Sequence[PolicyMetrics]) -> list[list[object]]:
    """Return the table rows, one for each policy and prompt-length class."""
    return [
        [
            metrics["policy"],
            length,
            row["requests"],
            row["completed"],
            row["not_run"],
            row["failed"],
            row["first_token_s"]["p50"],
            row["first_token_s"]["p95"],
            row["first_token_s"]["p99"],
        ]
        for metrics in results
        for length, row in metrics["by_length"].items()
    ]


def summary_rows(results: Sequence[PolicyMetrics]) -> list[list[object]]:
    """Return the table rows, one for each policy."""
    return [
        [
            metrics["policy"],
            metrics["slowdown"]["p50"],
            metrics["slowdown"]["p95"],
            metrics["slowdown"]["p99"],
            metrics["slowdown_of_p95"],
            metrics["dossiers_in_time"],
            metrics["late_per_admitted"],
            metrics["goodput_tokens_per_s"],
            metrics["fairness"],
        ]
        for metrics in results
    ]


def draw_comparison(results: Sequence[PolicyMetrics], path: str | Path) -> None:
    """Draw a bar chart of the 95th percentile of the time to first token.

    Bars are grouped by prompt length, with one bar per policy in each group.

    Raises
    ------
    ImportError
        If matplotlib is not installed; the ``plots`` extra provides it.
    """
    from matplotlib.figure import Figure

    lengths = sorted({length for metrics in results for length in metrics["by_length"]})
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.subplots()
    width = 0.8 / len(results)
    for number, metrics in enumerate(results):
        positions = [n + number * width for n in range(len(lengths))]
        heights = [
            metrics["by_length"][length]["first_token_s"]["p95"]
            if length in metrics["by_length"]
            else 0
            for length in lengths
        ]
        axes.bar(positions, heights, width, label=metrics["policy"])
    group_centre = 0.4 - width / 2
    axes.set_xticks([n + group_centre for n in range(len(lengths))], lengths)
    axes.set_yscale("log")
    axes.set_ylabel("time to first token, 95th percentile, s")
    axes.set_xlabel("prompt length, tokens")
    axes.legend()
    figure.savefig(path)
