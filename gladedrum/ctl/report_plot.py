"""Plot of a service report: worth lost by window and cause, predicted and actual first events."""

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path

from .served_requests import ServedRequest

__all__ = ["plot_service"]

MAX_CAUSES = 6
"""Maximum number of causes drawn separately; the others are drawn as one."""


def plot_service(served: Sequence[ServedRequest], window_s: float, path: Path) -> None:
    """Draw the report to a file, whose suffix selects the format. Requires matplotlib."""
    # Imported here because matplotlib is optional.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 7.5), layout="constrained")
    above, below = figure.subplots(2, 1)
    _draw_losses(above, served, window_s)
    _draw_predictions(below, served)
    figure.savefig(path, dpi=110)


def _draw_losses(axes, served: Sequence[ServedRequest], window_s: float) -> None:
    begin_s = min((row.at_s for row in served), default=0.0)
    lost: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for row in served:
        if row.cause:
            label = f"{row.verdict.value}: {row.cause}"
            lost[label][int((row.at_s - begin_s) // window_s)] += row.lost
    ordered = sorted(lost, key=lambda label: -sum(lost[label].values()))
    windows = range(1 + max((w for by_window in lost.values() for w in by_window), default=0))
    bottom = [0.0] * len(windows)
    for label, shown in _group_causes(ordered):
        heights = [sum(lost[name][window] for name in shown) for window in windows]
        axes.bar(
            [(window + 0.5) * window_s for window in windows],
            heights, window_s * 0.9, bottom, label=label[:70],
        )  # fmt: skip
        bottom = [base + height for base, height in zip(bottom, heights, strict=True)]
    axes.set(title="Worth lost", xlabel="seconds from the first request", ylabel="small requests")
    if ordered:
        axes.legend(fontsize=7)


def _group_causes(ordered: Sequence[str]) -> list[tuple[str, Sequence[str]]]:
    single = [(label, [label]) for label in ordered[:MAX_CAUSES]]
    rest = ordered[MAX_CAUSES:]
    return [*single, ("other causes", rest)] if rest else single


def _draw_predictions(axes, served: Sequence[ServedRequest]) -> None:
    pairs = [(row.predicted_s, row.first_s) for row in served if row.predicted_s and row.first_s]
    axes.set(
        title="First events", xlabel="predicted, s", ylabel="actual, s",
        xscale="log", yscale="log",
    )  # fmt: skip
    if pairs:
        predicted, actual = zip(*pairs, strict=True)
        axes.scatter(predicted, actual, s=6, alpha=0.5)
        low, high = min(predicted), max(predicted)
        axes.plot([low, high], [low, high], linewidth=1, color="black", label="as predicted")
        axes.legend(fontsize=7)
