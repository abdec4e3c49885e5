"""Separation of requests that are suspected of ending targets: they get targets of their own."""

from collections.abc import Iterable, Sequence

from ..fleet import TargetEntry
from ..scheduling.suspects import Standing
from .fleet_view import FleetView
from .work_plan import WorkPlan

__all__ = ["separate_suspects"]


def separate_suspects(
    entries: Sequence[TargetEntry], standing: Standing, view: FleetView, now_s: float
) -> Sequence[TargetEntry]:
    """Return those of `entries` that keep suspected requests apart; may be empty.

    A suspected request gets targets without another suspected request: both would be lost with a
    shared target, and neither could be identified as the cause. If it must run alone, it gets those
    with the least work. A request that is not suspected avoids targets where one runs alone. The
    chooser does without the separation if no target is left.
    """
    plans = view.suspect_plans(now_s)
    if standing is Standing.CLEAR:
        occupied = _targets_of(plan for plan in plans if plan.alone)
        return [e for e in entries if e.name not in occupied] if occupied else entries
    occupied = _targets_of(plans)
    free = [entry for entry in entries if entry.name not in occupied]
    if standing is Standing.WATCHED or not free:
        return free
    fewest = min(_row_count(entry, view) for entry in free)
    return [entry for entry in free if _row_count(entry, view) == fewest]


def _targets_of(plans: Iterable[WorkPlan]) -> set[str]:
    return {target for plan in plans for target in plan.targets}


def _row_count(entry: TargetEntry, view: FleetView) -> int:
    return len(view.state(entry.name).ledger.rows)
