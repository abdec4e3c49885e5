"""Tables of served requests: by kind, organisation, data hall, time window and cause."""

import itertools
import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, TypedDict

from .served_requests import ServedRequest, Verdict
from .timeline import LogRow

__all__ = ["CauseFigures", "DeciderFigures", "GroupFigures", "ServiceReport", "make_report"]


class GroupFigures(TypedDict):
    """Figures of a group of requests.

    ``about`` describes the requests and is empty if they differ. ``left`` counts requests whose
    caller left. ``in_time_share`` is the share of the group's worth that was served in time.
    ``held_s`` is the total time of requests that ended without an attempt. ``error_s`` is the
    median difference between actual and predicted time to the first event, ``abs_error_s`` the
    median absolute difference; both are None without predictions.
    """

    name: str
    about: str
    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    left: int
    in_time_share: float
    worth_lost: float
    held_s: float
    error_s: float | None
    abs_error_s: float | None


class CauseFigures(TypedDict):
    """Requests that were not in time for one cause, and the worth lost."""

    cause: str
    verdict: str
    requests: int
    worth_lost: float
    example: str


class DeciderFigures(TypedDict):
    """A box that decides placements: its share, and the queries it did not answer in time.

    ``name`` is empty for requests whose log lines name no decider.
    """

    name: str
    placements: int
    share: float
    unanswered: int


class ServiceReport(NamedTuple):
    """The complete report: groups in order of name, causes in order of worth lost."""

    total: GroupFigures
    kinds: list[GroupFigures]
    organisations: list[GroupFigures]
    data_halls: list[GroupFigures]
    windows: list[GroupFigures]
    causes: list[CauseFigures]
    deciders: list[DeciderFigures]


def make_report(
    served: Sequence[ServedRequest], window_s: float, rows: Iterable[LogRow] = ()
) -> ServiceReport:
    """Return the report on requests.

    Parameters
    ----------
    served : sequence of ServedRequest
        The requests.
    window_s : float
        Length of a time window; the first one begins with the first arrival.
    rows : iterable of LogRow
        Rows of the logs, from which the deciders are counted.
    """
    begin_s = min((row.at_s for row in served), default=0.0)

    def window(row: ServedRequest) -> str:
        return f"{int((row.at_s - begin_s) // window_s) * window_s:7.0f} s"

    return ServiceReport(
        _group_figures("all", served),
        _groups(served, lambda row: row.kind),
        _groups(served, lambda row: row.organisation),
        _groups(served, lambda row: row.data_hall),
        _groups(served, window),
        _causes(served),
        _deciders(rows),
    )


def _groups(
    served: Iterable[ServedRequest], name_of: Callable[[ServedRequest], str]
) -> list[GroupFigures]:
    ordered = sorted(served, key=name_of)
    return [
        _group_figures(name, list(rows)) for name, rows in itertools.groupby(ordered, key=name_of)
    ]


def _group_figures(name: str, rows: Sequence[ServedRequest]) -> GroupFigures:
    counts = {verdict: sum(row.verdict is verdict for row in rows) for verdict in Verdict}
    worth = sum(row.worth for row in rows)
    in_time = sum(row.worth for row in rows if row.verdict is Verdict.IN_TIME)
    errors = [row.first_s - row.predicted_s for row in rows if row.predicted_s and row.first_s]
    return GroupFigures(
        name=name,
        about=rows[0].about if len({row.about for row in rows}) == 1 else "",
        requests=len(rows),
        in_time=counts[Verdict.IN_TIME],
        late=counts[Verdict.LATE],
        refused=counts[Verdict.REFUSED],
        failed=counts[Verdict.FAILED],
        left=counts[Verdict.LEFT],
        in_time_share=round(in_time / worth, 4) if worth else 1.0,
        worth_lost=round(sum(row.lost for row in rows), 2),
        held_s=round(sum(row.held_s for row in rows), 3),
        error_s=_median(errors),
        abs_error_s=_median([abs(error) for error in errors]),
    )


def _causes(served: Sequence[ServedRequest]) -> list[CauseFigures]:
    def key(row: ServedRequest) -> tuple[str, str]:
        return row.verdict, row.cause

    missed = sorted((row for row in served if row.cause), key=key)
    grouped = [(group, list(rows)) for group, rows in itertools.groupby(missed, key=key)]
    causes = [
        CauseFigures(
            cause=cause,
            verdict=verdict,
            requests=len(rows),
            worth_lost=round(sum(row.lost for row in rows), 2),
            example=max(rows, key=lambda row: row.lost).request_id,
        )
        for (verdict, cause), rows in grouped
    ]
    return sorted(causes, key=lambda row: -row["worth_lost"])


def _deciders(rows: Iterable[LogRow]) -> list[DeciderFigures]:
    placed: Counter[str] = Counter()
    unanswered: Counter[str] = Counter()
    for row in rows:
        match row.message:
            case "request placed":
                placed[row.fields.get("decided_by", "")] += 1
            case "no placement from peer":
                unanswered[row.fields.get("peer", "")] += 1
    total = max(1, placed.total())
    return [
        DeciderFigures(
            name=name,
            placements=placed[name],
            share=round(placed[name] / total, 4),
            unanswered=unanswered[name],
        )
        for name in sorted(placed | unanswered, key=lambda name: (-placed[name], name))
    ]


def _median(values: Sequence[float]) -> float | None:
    return round(statistics.median(values), 3) if values else None
