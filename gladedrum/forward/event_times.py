"""When a request was sent to a target, and when the parts of its answer were sent to the caller."""

from dataclasses import dataclass

__all__ = ["EventTimes"]


@dataclass(slots=True)
class EventTimes:
    """The times that tell whether a request met its objectives.

    Parameters
    ----------
    arrived_s : float
        When the request arrived, by the monotonic clock.

    Attributes
    ----------
    first_attempt_s : float or None
        Time from the arrival to the first attempt, in seconds; None before.
    first_part_s : float or None
        Time from the arrival to the first part of the answer, in seconds; None before.
    longest_pause_s : float
        The longest time between two parts, in seconds.
    longest_pause_began_s : float
        When that pause began, in seconds from the arrival.

    Examples
    --------
    >>> times = EventTimes(10.0)
    >>> times.note_part(10.2), times.note_part(10.3), times.note_part(11.0)
    (True, False, False)
    >>> round(times.first_part_s, 3)
    0.2
    >>> round(times.longest_pause_s, 3), round(times.longest_pause_began_s, 3)
    (0.7, 0.3)
    """

    arrived_s: float
    first_attempt_s: float | None = None
    first_part_s: float | None = None
    longest_pause_s: float = 0.0
    longest_pause_began_s: float = 0.0
    _last_s: float = 0.0

    @property
    def last_activity_s(self) -> float:
        """When the last part was sent, or the request arrived, by the monotonic clock."""
        return self.arrived_s if self.first_part_s is None else self._last_s

    def note_send(self, now_s: float) -> None:
        """Record that the request is sent to a target now."""
        if self.first_attempt_s is None:
            self.first_attempt_s = now_s - self.arrived_s

    def note_part(self, now_s: float) -> bool:
        """Record that a part is sent to the caller now; return whether it is the first."""
        first = self.first_part_s is None
        if first:
            self.first_part_s = now_s - self.arrived_s
        elif now_s - self._last_s > self.longest_pause_s:
            self.longest_pause_s = now_s - self._last_s
            self.longest_pause_began_s = self._last_s - self.arrived_s
        self._last_s = now_s
        return first
