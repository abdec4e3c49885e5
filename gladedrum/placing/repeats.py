"""This box's share of the repeats that the whole fleet may send, for each service.

The fleet's bound is a ratio of requests plus a slack in any window. The ratio is kept by each box
for its own requests. The slack is split among the boxes that have a part of it, and a box starts
with an empty share that fills within a window, so that boxes that come and go never spend it twice.

Examples
--------
>>> shares = RepeatShares(ratio=0.2, slack=100, window_s=10, sharers=lambda: 5)
>>> shares.take("s", 0.0), shares.take("s", 1.0)
(False, True)
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["RepeatShares"]

SLACK_SHARE = 0.5
"""Share of the slack that is used at all: the number of boxes is known with a lag, and a bucket
that is full at the start of a window fills once more within it."""

RATIO_SHARE = 0.9
"""Share of the ratio that is used: requests that callers sent may not all have been seen here."""


@dataclass(slots=True)
class _Bucket:
    left: float
    filled_s: float


class RepeatShares:
    """Token buckets, one for each service.

    Parameters
    ----------
    ratio, slack, window_s : float
        The fleet's bound.
    sharers : callable
        Returns among how many boxes the slack is split; 0 if this box has no part of it.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, sharers: Callable[[], int]):
        self._sharers = sharers
        self.set_bound(ratio, slack, window_s)
        self._buckets: dict[str, _Bucket] = {}

    def set_bound(self, ratio: float, slack: float, window_s: float) -> None:
        """Take over a changed bound; what was saved up stays within it from the next call on."""
        self._ratio = RATIO_SHARE * ratio
        self._slack = SLACK_SHARE * slack
        self._window_s = window_s

    def note_request(self, service: str, now_s: float) -> None:
        """Count a request of a caller for a service."""
        bucket = self._fill(service, now_s)
        bucket.left += self._ratio

    def left(self, service: str, now_s: float) -> float:
        """Return how many repeats are left in the share."""
        return self._fill(service, now_s).left

    def take(self, service: str, now_s: float) -> bool:
        """Take one repeat out of the share; False if there is none."""
        bucket = self._fill(service, now_s)
        if bucket.left < 1:
            return False
        bucket.left -= 1
        return True

    def give_back(self, service: str, now_s: float) -> None:
        """Put a repeat back that was taken here and not sent."""
        self._fill(service, now_s).left += 1

    def _fill(self, service: str, now_s: float) -> _Bucket:
        bucket = self._buckets.setdefault(service, _Bucket(0.0, now_s))
        sharers = self._sharers()
        most = self._slack / sharers if sharers else 0.0
        elapsed_s = max(0.0, now_s - bucket.filled_s)
        bucket.filled_s = now_s
        # What requests have added beyond `most` drains as their window passes.
        if bucket.left > most:
            bucket.left = max(most, bucket.left - elapsed_s / self._window_s * bucket.left)
        else:
            bucket.left = min(most, bucket.left + most * elapsed_s / self._window_s)
        return bucket
