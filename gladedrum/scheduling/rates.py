"""The rates that targets name: what each takes from all boxes together, and who adds that up.

A target in need says in its answers how many requests a second it takes, and means all boxes. What
it says holds until an answer says otherwise; what was said can arrive in another order.
"""

from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["NamedRate", "RateBook", "interval_s", "report_pause_s", "settle_rate"]


class NamedRate(NamedTuple):
    """A rate that a target has named.

    Parameters
    ----------
    per_s : float
        Requests a second from all boxes together.
    since_s : float
        When the target was first heard to name a rate, by the monotonic clock.
    heard_s : float
        When an answer that names this one was last heard.
    told_by : str
        The peer that has told of it; empty if this box was answered itself.
    """

    per_s: float
    since_s: float
    heard_s: float
    told_by: str = ""


def settle_rate(
    known: NamedRate | None, per_s: float | None, asked_s: float, heard_s: float, told_by: str = ""
) -> NamedRate | None:
    """Return the rate that holds once an answer has named one, or none.

    Answers on several connections pass each other. What allows more holds only if it answers a
    request that was sent after the last answer that allows less had come; what allows less holds
    at once.

    Parameters
    ----------
    known : NamedRate or None
        The rate that was known.
    per_s : float or None
        What the answer names, None if it names no rate.
    asked_s, heard_s : float
        When the request was sent that it answers, and when its head came, by the clock.
    told_by : str
        The peer that was answered; empty if it was this box.

    Examples
    --------
    >>> known = settle_rate(None, 2.0, 10.0, 10.1)
    >>> settle_rate(known, None, 10.05, 10.2).per_s, settle_rate(known, None, 10.3, 10.4)
    (2.0, None)
    """
    if known is None:
        return None if per_s is None else NamedRate(per_s, heard_s, heard_s, told_by)
    allows_more = per_s is None or per_s > known.per_s
    if allows_more and asked_s <= known.heard_s:
        return known
    if per_s is None:
        return None
    return NamedRate(per_s, known.since_s, max(known.heard_s, heard_s), told_by)


LONGEST_CLOSED_S = 8.0
"""A target that takes nothing, or next to nothing, is asked again after so many seconds."""

REPORT_SHARE = 0.25
"""Share of a named rate that reports may use; the rest is for callers. At 1 a second the usual
reports alone are two and a half times the rate."""

BURST_S = 0.5
"""What is not used of a rate is kept for so many seconds, and for one request at least: with four
seconds' worth, a window of four would hold twice the rate."""

DEBT_S = 4.0
"""What was sent beyond a rate, such as renewals of memory that is held there, is made good within
so many seconds; an older debt would keep callers away for the sake of what is long over."""

SUBSTITUTE_SHARE = 0.25
"""Share of a rate that a box grants in place of the one that adds it up, as long as that does not
answer. Two substitutes beside one that others still reach make one and a half times the rate."""


def interval_s(per_s: float) -> float:
    """Return the seconds between two requests at a rate; bounded, also for none.

    Examples
    --------
    >>> interval_s(4.0), interval_s(0.0)
    (0.25, 8.0)
    """
    return min(LONGEST_CLOSED_S, 1 / per_s) if per_s > 0 else LONGEST_CLOSED_S


def report_pause_s(rate: NamedRate | None, usual_s: float) -> float:
    """Return the pause between two reports of a target, by the rate that it names."""
    if rate is None:
        return usual_s
    return max(usual_s, min(LONGEST_CLOSED_S, interval_s(rate.per_s) / REPORT_SHARE))


@dataclass(slots=True)
class _Bucket:
    born: int
    left: float
    filled_s: float


class RateBook:
    """What may still be sent to each target that names a rate: a token bucket for each.

    A bucket fills from when the rate was first heard of here, so that a box that starts does not
    grant once more what was granted before.

    Examples
    --------
    >>> book = RateBook()
    >>> book.take("t", 0, 2.0, 10.0), book.take("t", 0, 2.0, 10.5), book.take("t", 0, 2.0, 10.75)
    (0.5, 0.0, 0.25)
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def begin(self, target: str, born: int, since_s: float) -> None:
        """Have a target's bucket fill from a time, unless it does already."""
        if target not in self._buckets:
            self._buckets[target] = _Bucket(born, 0.0, since_s)

    def take(self, target: str, born: int, per_s: float, now_s: float) -> float:
        """Take one request's place; return 0 if it is granted, else the seconds until the next."""
        bucket = self._fill(target, born, per_s, now_s)
        if bucket.left >= 1:
            bucket.left -= 1
            return 0.0
        return _wait_s(bucket, per_s)

    def next_s(self, target: str, born: int, per_s: float, now_s: float) -> float:
        """Return the seconds until the next place is free, 0 if one is."""
        bucket = self._fill(target, born, per_s, now_s)
        return 0.0 if bucket.left >= 1 else _wait_s(bucket, per_s)

    def spend(self, target: str, born: int, per_s: float, now_s: float) -> None:
        """Count what was sent without a place."""
        bucket = self._fill(target, born, per_s, now_s)
        bucket.left = max(bucket.left - 1, -max(1.0, DEBT_S * per_s))

    def give_back(self, target: str, born: int, per_s: float, now_s: float) -> None:
        """Put back a place that was taken here and not used."""
        bucket = self._fill(target, born, per_s, now_s)
        bucket.left = min(bucket.left + 1, _most(per_s))

    def keep(self, targets: Container[str]) -> None:
        """Forget the targets that are gone."""
        self._buckets = {name: row for name, row in self._buckets.items() if name in targets}

    def _fill(self, target: str, born: int, per_s: float, now_s: float) -> _Bucket:
        bucket = self._buckets.get(target)
        if bucket is None or 0 < bucket.born < born:
            bucket = self._buckets[target] = _Bucket(born, 0.0, now_s)
        # Not all boxes know yet which start of the target it is.
        bucket.born = max(bucket.born, born)
        gained = per_s * max(0.0, now_s - bucket.filled_s)
        bucket.left, bucket.filled_s = min(_most(per_s), bucket.left + gained), now_s
        return bucket


def _most(per_s: float) -> float:
    return max(1.0, BURST_S * per_s)


def _wait_s(bucket: _Bucket, per_s: float) -> float:
    return min(LONGEST_CLOSED_S, (1 - bucket.left) / per_s) if per_s > 0 else LONGEST_CLOSED_S
