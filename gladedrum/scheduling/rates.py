"""Rates named by targets, and the token buckets that enforce them.

A target under pressure names in its answers how many requests a second it accepts from all boxes
together. The rate holds until a later answer names another or none; answers may arrive out of
order. For each target one box is responsible: it grants *places*, permits to send one request now,
to all boxes. A place takes a token from the target's bucket.
"""

from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["NamedRate", "RateLimiter", "interval_s", "report_interval_s", "settle_rate"]


class NamedRate(NamedTuple):
    """A rate that a target has named.

    Parameters
    ----------
    per_s : float
        Requests a second from all boxes together.
    since_s : float
        When the target was first known to name a rate, by the monotonic clock.
    heard_s : float
        When the latest answer that named this rate arrived, by the monotonic clock.
    told_by : str
        The peer that received that answer; empty if it was this box.
    """

    per_s: float
    since_s: float
    heard_s: float
    told_by: str = ""


def settle_rate(
    known: NamedRate | None, per_s: float | None, asked_s: float, heard_s: float, told_by: str = ""
) -> NamedRate | None:
    """Return the rate that holds after an answer named one, or none.

    Answers on several connections can overtake each other. A lower rate holds at once. A higher
    rate, or none, holds only if the answered request was sent after the latest answer with a lower
    rate had arrived.

    Parameters
    ----------
    known : NamedRate or None
        The rate known before.
    per_s : float or None
        The rate that the answer names, None if it names none.
    asked_s, heard_s : float
        When the answered request was sent, and when the head of the answer arrived.
    told_by : str
        The peer that received the answer; empty if it was this box.

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


MAX_INTERVAL_S = 8.0
"""Longest interval between requests to a target, in seconds, however low its rate. A target that
accepts nothing is asked again after this time."""

REPORT_SHARE = 0.25
"""Share of a named rate that polling the target's load report may use; the rest is for callers. At
a rate of 1 a second, polls at the usual interval alone would make two and a half times the rate."""

BURST_S = 0.5
"""Size of a bucket, as seconds of its rate (but at least one request). It is small so that
even in a short window the grants exceed the rate only slightly. With four seconds' worth, a window
of four seconds could hold twice the rate."""

MAX_DEBT_S = 4.0
"""Maximum debt from requests sent without a grant, such as renewals of memory reservations, as
seconds of the rate. The bound keeps old debt from blocking callers."""

WHOLE_TOKEN = 1 - 1e-9
"""A bucket with this many tokens grants a request. Sums of many small gains fall short of 1 by
rounding errors, and the wait for the rest would be too short to advance the clock."""

SUBSTITUTE_SHARE = 0.25
"""Share of a rate that another box, a substitute, grants while the box responsible for the target
does not answer. If no substitute answers either, all boxes split this share. It is small because
several substitutes may grant at once, beside the responsible box. Two of them beside it make one
and a half times the rate."""


def interval_s(per_s: float) -> float:
    """Return the seconds between two requests at a rate, at most `MAX_INTERVAL_S`.

    Examples
    --------
    >>> interval_s(4.0), interval_s(0.0)
    (0.25, 8.0)
    """
    return min(MAX_INTERVAL_S, 1 / per_s) if per_s > 0 else MAX_INTERVAL_S


def report_interval_s(rate: NamedRate | None, usual_s: float) -> float:
    """Return the seconds between two polls of a target's load report under its rate, if any."""
    if rate is None:
        return usual_s
    return max(usual_s, min(MAX_INTERVAL_S, interval_s(rate.per_s) / REPORT_SHARE))


@dataclass(slots=True)
class _Bucket:
    born: int
    tokens: float
    filled_s: float


class RateLimiter:
    """Token buckets for the targets that name a rate, one for each target.

    A bucket starts empty when the rate becomes known here, so that a restarted box does not grant
    again what was granted before. `born` identifies the start of the target's process; a later
    start gets a new bucket.

    Parameters
    ----------
    burst : float, optional
        Size of each bucket in requests; by default `BURST_S` seconds of its rate.

    Examples
    --------
    >>> limiter = RateLimiter()
    >>> (
    ...     limiter.acquire("t", 0, 2.0, 10.0),
    ...     limiter.acquire("t", 0, 2.0, 10.5),
    ...     limiter.acquire("t", 0, 2.0, 10.75),
    ... )
    (0.5, 0.0, 0.25)
    """

    def __init__(self, burst: float | None = None) -> None:
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}

    def begin(self, target: str, born: int, since_s: float) -> None:
        """Create a target's bucket, filling since `since_s`, unless it exists."""
        if target not in self._buckets:
            self._buckets[target] = _Bucket(born, 0.0, since_s)

    def acquire(self, target: str, born: int, per_s: float, now_s: float) -> float:
        """Consume a token for one request; return 0 if granted, else the seconds until the next."""
        bucket = self._fill(target, born, per_s, now_s)
        if bucket.tokens >= WHOLE_TOKEN:
            bucket.tokens -= 1
            return 0.0
        return _seconds_to_next(bucket, per_s)

    def next_s(self, target: str, born: int, per_s: float, now_s: float) -> float:
        """Return the seconds until the next token, 0 if there is one."""
        bucket = self._fill(target, born, per_s, now_s)
        return 0.0 if bucket.tokens >= WHOLE_TOKEN else _seconds_to_next(bucket, per_s)

    def charge(self, target: str, born: int, per_s: float, now_s: float) -> None:
        """Charge a request that was sent without a grant; the bucket may go into debt."""
        bucket = self._fill(target, born, per_s, now_s)
        bucket.tokens = max(bucket.tokens - 1, -max(1.0, MAX_DEBT_S * per_s))

    def refund(self, target: str, born: int, per_s: float, now_s: float) -> None:
        """Return the token of a granted request that was not sent."""
        bucket = self._fill(target, born, per_s, now_s)
        bucket.tokens = min(bucket.tokens + 1, self._capacity(per_s))

    def keep(self, targets: Container[str]) -> None:
        """Drop the buckets of all other targets."""
        self._buckets = {name: row for name, row in self._buckets.items() if name in targets}

    def _fill(self, target: str, born: int, per_s: float, now_s: float) -> _Bucket:
        bucket = self._buckets.get(target)
        if bucket is None or 0 < bucket.born < born:
            bucket = self._buckets[target] = _Bucket(born, 0.0, now_s)
        # The box that asks may know an earlier start of the target, or none (0).
        bucket.born = max(bucket.born, born)
        gained = per_s * max(0.0, now_s - bucket.filled_s)
        bucket.tokens, bucket.filled_s = min(self._capacity(per_s), bucket.tokens + gained), now_s
        return bucket

    def _capacity(self, per_s: float) -> float:
        return max(1.0, BURST_S * per_s) if self._burst is None else self._burst


def _seconds_to_next(bucket: _Bucket, per_s: float) -> float:
    return min(MAX_INTERVAL_S, (1 - bucket.tokens) / per_s) if per_s > 0 else MAX_INTERVAL_S
