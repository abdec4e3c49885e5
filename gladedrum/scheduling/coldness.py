"""Cold targets: how long a target is cold, and the share of its cold rate that a box may grant.

A target that has just started, or has become cold again, is slow and takes only few requests a
second. It states for how long; the latest statement applies, whoever heard it. While a target is
cold, its rate limit is the lower of the rate that it names and the rate that its service's
configuration gives for cold targets.

The load that this is made for: a data hall of 23 engines returns cold while 50 to 110 requests a
second arrive at 77 boxes. The cold engines have empty ledgers, so every box prefers them. A cold
engine takes 26 requests a second, and falls over at a load well above 1.5 times that rate plus 5.
What boxes grant in any second must therefore stay within 1.5 times the rate, with 5 requests for
bursts, even if parts of the fleet can't communicate:

- A box that reaches more than half of the fleet and is first in the target's order grants the full
  rate, at most `FULL_BURST` at once. At most one part of the fleet has such a box.
- The second box in that order grants the fallback share, at most `FALLBACK_BURST` at once.
- In a part of the fleet that is not the majority, each of these two boxes grants half of the
  fallback share, in proportion to the size of their part. A box that reaches neither grants its
  own part of the fallback share.
"""

from enum import Enum
from typing import NamedTuple

from .rates import SUBSTITUTE_SHARE, NamedRate

__all__ = ["Coldness", "Granter", "cold_limit", "granted_share", "is_change", "settle_cold"]
__all__ += ["FALLBACK_BURST", "MIN_REACH", "full_burst"]

FULL_BURST = 2.0
"""Number of requests that the counting box may grant at once to a cold target. It allows for
random arrivals; with one, more than a quarter of the rate stays unused at a load equal to it."""

FALLBACK_BURST = 1.0
"""Number of requests that each other box may grant at once to a cold target. With `FULL_BURST`, the
grants of both members of a target's order and of two separate boxes fit into a slack of 5."""

MIN_REACH = 0.5
"""A box that reaches more than this share of the fleet may grant the full rate. At most one part of
a fleet that has come apart is larger than half of it."""

CHANGE_TOLERANCE_S = 0.3
"""Difference between the known and a stated end of the cold time, in seconds, up to which boxes are
not told: less than the interval of polls, and above the delays of answers and datagrams."""


class Coldness(NamedTuple):
    """What is known of a target's being cold; times by the monotonic clock.

    Parameters
    ----------
    until_s : float
        Until when it is cold; not after `heard_s` if it is not cold.
    since_s : float
        Since when it has been known to be cold.
    heard_s : float
        When it stated this, or when its start became known if it has stated nothing.
    told_by : str
        The peer that told this box; empty if this box heard the target or read its entry.
    is_stated : bool
        Whether the target has stated it. If not, its start during traffic is the only reason.
    """

    until_s: float
    since_s: float
    heard_s: float
    told_by: str = ""
    is_stated: bool = True


def settle_cold(
    known: Coldness | None, left_s: float, heard_s: float, told_by: str = "", is_stated: bool = True
) -> Coldness:
    """Return what applies after a statement: the one that was made last.

    A statement always replaces an assumption, and an assumption never replaces a statement.

    Parameters
    ----------
    known : Coldness or None
        What was known before of the same start of the target.
    left_s : float
        The remaining cold time that was stated, in seconds as of `heard_s`; 0 if not cold.
    heard_s : float
        When the target stated it.
    told_by, is_stated
        As in `Coldness`.

    Examples
    --------
    >>> first = settle_cold(None, 3.0, 10.0)
    >>> settle_cold(first, 0.0, 9.0).until_s, settle_cold(first, 0.0, 11.0).until_s
    (13.0, 11.0)
    """
    if known is not None and (known.is_stated, known.heard_s) >= (is_stated, heard_s):
        return known
    was_cold = known is not None and known.until_s > heard_s
    since_s = known.since_s if was_cold else heard_s
    return Coldness(heard_s + left_s, since_s, heard_s, told_by, is_stated)


def is_change(before: Coldness | None, after: Coldness, now_s: float) -> bool:
    """Whether a statement tells more than its peers can compute from the one before."""
    until_before_s = now_s if before is None else max(now_s, before.until_s)
    return abs(until_before_s - max(now_s, after.until_s)) > CHANGE_TOLERANCE_S


def cold_limit(
    rate: NamedRate | None, cold: Coldness | None, cold_per_s: float, now_s: float
) -> NamedRate | None:
    """Return the rate limit that applies to a target now, None if there is none.

    Parameters
    ----------
    rate : NamedRate or None
        The rate that the target names.
    cold : Coldness or None
        What is known of its being cold.
    cold_per_s : float
        The rate of cold targets of its service, 0 if there is no limit.
    now_s : float
        The current time.
    """
    if cold is None or cold.until_s <= now_s or not cold_per_s:
        return rate
    if rate is not None and rate.per_s <= cold_per_s:
        return rate
    return NamedRate(cold_per_s, cold.since_s, cold.heard_s, cold.told_by)


def full_burst(slack: float) -> float:
    """Return how many requests the counting box may grant at once, given the slack per second.

    Examples
    --------
    >>> full_burst(5.0), full_burst(3.0)
    (2.0, 1.0)
    """
    others = 3 * FALLBACK_BURST
    return min(FULL_BURST, max(1.0, slack - others))


class Granter(Enum):
    """The role of a box that grants requests to a cold target."""

    FIRST = "first in the target's order"
    SUBSTITUTE = "second in the target's order"
    ALONE = "reaches neither of them"


def granted_share(granter: Granter, overage: float, reach: float, boxes: int) -> float:
    """Return the share of a cold target's rate that a box may grant.

    Parameters
    ----------
    granter : Granter
        The box's role for the target.
    overage : float
        How much a target may get at most, as a factor on its rate. What it allows beyond the rate
        is split evenly between substitutes and boxes that are on their own.
    reach : float
        Share of the fleet that the box can communicate with, itself included.
    boxes : int
        Number of boxes that may grant on their own.

    Examples
    --------
    >>> [granted_share(granter, 1.5, 1.0, 6) for granter in (Granter.FIRST, Granter.SUBSTITUTE)]
    [1.0, 0.25]
    >>> granted_share(Granter.FIRST, 1.5, 0.5, 6)
    0.0625
    """
    fallback = min(SUBSTITUTE_SHARE, max(0.0, overage - 1) / 2)
    match granter:
        case Granter.ALONE:
            return fallback / max(1, boxes) if reach else 0.0
        case _ if reach <= MIN_REACH:
            return fallback * reach / 2
        case Granter.FIRST:
            return 1.0
        case Granter.SUBSTITUTE:
            return fallback
