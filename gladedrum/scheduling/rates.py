"""The rates that targets name: what each takes from all boxes together, and who adds that up.

A target in need says in its answers how many requests a second it takes, and means all boxes. What
it says holds until an answer says otherwise; what was said can arrive in another order.
"""

from typing import NamedTuple

__all__ = ["NamedRate", "settle_rate"]


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
