"""Targets on which a request meets no suspect that it should not meet."""

from collections.abc import Iterable, Sequence

from ..fleet import TargetEntry
from ..scheduling.suspects import Standing
from .fleet_view import FleetView
from .work_plan import WorkPlan

__all__ = ["keep_apart"]


def keep_apart(
    entries: Sequence[TargetEntry], standing: Standing, view: FleetView, now_s: float
) -> Sequence[TargetEntry]:
    """Return the targets that a request should get while others serve, of those given.

    Two suspects on one target would both be lost with it, and nobody could tell which ended it. One
    that is to run by itself gets the targets with the least work, and nothing else is placed there.
    """
    plans = view.suspect_plans(now_s)
    if standing is Standing.CLEAR:
        taken = _targets_of(plan for plan in plans if plan.alone)
        return [e for e in entries if e.name not in taken] if taken else entries
    taken = _targets_of(plans)
    free = [entry for entry in entries if entry.name not in taken]
    if standing is Standing.WATCHED or not free:
        return free
    least = min(_rows(entry, view) for entry in free)
    return [entry for entry in free if _rows(entry, view) == least]


def _targets_of(plans: Iterable[WorkPlan]) -> set[str]:
    return {target for plan in plans for target in plan.targets}


def _rows(entry: TargetEntry, view: FleetView) -> int:
    return len(view.state(entry.name).ledger.rows)
