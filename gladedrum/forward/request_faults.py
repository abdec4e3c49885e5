"""Detects that a box fails its requests itself, so that callers are sent to other boxes."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["RequestFaults"]

MAX_FAILURES = 5
"""Number of requests in a row that end by an exception in this box until it counts as failing."""

RETRY_S = 3.0
"""How long after the last of them the box counts as failing, in seconds: longer than a balancer
takes to notice, and short enough that a fleet whose boxes all fail is tried again soon."""


class RequestFaults:
    """Counts requests in a row that end by an exception in this box.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    """

    def __init__(self, clock: IReactorTime):
        self._clock = clock
        self._failures = 0
        self._failed_s = float("-inf")

    def note_failed(self) -> None:
        """Record a request that ended by an exception."""
        self._failures += 1
        self._failed_s = self._clock.seconds()

    def note_handled(self) -> None:
        """Record a request that was handled, whatever its outcome."""
        self._failures = 0

    @property
    def is_failing(self) -> bool:
        """Whether the box most likely fails the next request as well."""
        is_recent = self._clock.seconds() - self._failed_s < RETRY_S
        return self._failures >= MAX_FAILURES and is_recent
