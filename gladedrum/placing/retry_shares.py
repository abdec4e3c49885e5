"""This box's share of the fleet-wide retry budget, for each service.

The budget allows a ratio of requests plus a slack in any window; one token is one retry. Each box
applies the ratio to its own requests. The slack is split among the boxes that hold it. A box starts
with an empty share that fills within one window, so that boxes that stop and start never spend the
slack twice.

Examples
--------
>>> shares = RetryShares(ratio=0.2, slack=100, window_s=10, sharers=lambda: 5)
>>> shares.take("s", 0.0), shares.take("s", 1.0)
(False, True)
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["RetryShares"]

SLACK_SHARE = 0.5
"""Part of the slack that is used: the number of boxes is known with a delay, and a bucket that is
full at the start of a window is refilled once within it."""

RATIO_SHARE = 0.9
"""Part of the ratio that is used; the rest is a margin for differences in counting requests."""


@dataclass(slots=True)
class _Bucket:
    """The tokens left of a service, and when that number was last updated."""

    left: float
    updated_s: float


class RetryShares:
    """Token buckets, one per service.

    Parameters
    ----------
    ratio, slack, window_s : float
        The fleet-wide budget: retries per request, further retries per window, and the length of
        the window in seconds.
    sharers : callable
        Returns the number of boxes that share the slack; 0 if this box has no share.
    started_s : float, optional
        When this box started, by the clock of the calls; from then on its shares fill. By default,
        the share of a service fills from its first request on.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        sharers: Callable[[], int],
        started_s: float | None = None,
    ):
        self._sharers = sharers
        self._started_s = started_s
        self.set_budget(ratio, slack, window_s)
        self._buckets: dict[str, _Bucket] = {}

    def set_budget(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the budget; tokens above a smaller capacity drain from the next call on."""
        self._ratio = RATIO_SHARE * ratio
        self._slack = SLACK_SHARE * slack
        self._window_s = window_s

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request to a service."""
        bucket = self._fill(service, now_s)
        bucket.left += self._ratio

    def left(self, service: str, now_s: float) -> float:
        """Return the number of retries left in the share."""
        return self._fill(service, now_s).left

    def take(self, service: str, now_s: float) -> bool:
        """Take one retry from the share; return False if there is none."""
        bucket = self._fill(service, now_s)
        if bucket.left < 1:
            return False
        bucket.left -= 1
        return True

    def give_back(self, service: str, now_s: float) -> None:
        """Return a retry that was taken from this share and not sent."""
        self._fill(service, now_s).left += 1

    def _fill(self, service: str, now_s: float) -> _Bucket:
        began_s = now_s if self._started_s is None else self._started_s
        bucket = self._buckets.setdefault(service, _Bucket(0.0, began_s))
        sharers = self._sharers()
        capacity = self._slack / sharers if sharers else 0.0
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.updated_s = now_s
        # Tokens above the capacity, added by requests, drain as their window passes.
        if bucket.left > capacity:
            bucket.left = max(capacity, bucket.left - elapsed_s / self._window_s * bucket.left)
        else:
            bucket.left = min(capacity, bucket.left + capacity * elapsed_s / self._window_s)
        return bucket
