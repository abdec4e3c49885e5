"""When a request was offered to a target, and when the parts of its answer went out."""

from dataclasses import dataclass

__all__ = ["EventTimes"]


@dataclass(slots=True)
class EventTimes:
    """The times that decide whether a request was in time.

    Parameters
    ----------
    arrived_s : float
        When the request arrived, by the monotonic clock.

    Attributes
    ----------
    offered_s : float or None
        From the arrival to the first offer to a target, in seconds; None before.
    first_s : float or None
        From the arrival to the first part, in seconds; None before.
    longest_pause_s : float
        The longest time between two parts, in seconds.
    longest_began_s : float
        When that pause began, in seconds from the arrival.

    Examples
    --------
    >>> times = EventTimes(10.0)
    >>> times.note(10.2), times.note(10.3), times.note(11.0)
    (True, False, False)
    >>> round(times.first_s, 3), round(times.longest_pause_s, 3), round(times.longest_began_s, 3)
    (0.2, 0.7, 0.3)
    """

    arrived_s: float
    offered_s: float | None = None
    first_s: float | None = None
    longest_pause_s: float = 0.0
    longest_began_s: float = 0.0
    _last_s: float = 0.0

    @property
    def heard_s(self) -> float:
        """When the caller was last sent a part, or asked, by the monotonic clock."""
        return self.arrived_s if self.first_s is None else self._last_s

    def note_offer(self, now_s: float) -> None:
        """Note that the request goes to a target now."""
        if self.offered_s is None:
            self.offered_s = now_s - self.arrived_s

    def note(self, now_s: float) -> bool:
        """Note that a part goes out now; return whether it is the first."""
        first = self.first_s is None
        if first:
            self.first_s = now_s - self.arrived_s
        elif now_s - self._last_s > self.longest_pause_s:
            self.longest_pause_s = now_s - self._last_s
            self.longest_began_s = self._last_s - self.arrived_s
        self._last_s = now_s
        return first
