"""Questions of boxes to coordinators: the order in which they are answered, and how long to wait.

A box that needs a placement (the asker) sends a question to a coordinator, one of the boxes that
place requests for the others. This module protects coordinators from a metastable failure, in which
a short flash crowd leaves them busy with expired questions long after it has ended. Coordinators
reply "busy" without a decision to questions whose askers no longer wait, and askers wait longer for
a slow coordinator instead of treating it as dead.

Examples
--------
>>> questions = WaitingQuestions(max_age_s=0.04)
>>> questions.put("old", 0.0)
>>> questions.put("new", 0.03)
>>> questions.take(0.05)
NextQuestion(item='new', in_time=True)
>>> questions.take(0.05)
NextQuestion(item='old', in_time=False)
"""

from collections import deque
from typing import Any, Generic, NamedTuple, TypeVar

__all__ = ["AnswerTimes", "NextQuestion", "WaitingQuestions"]

_T = TypeVar("_T")

MIN_WAIT_S = 0.04
"""Minimum time that an asker waits, in seconds: a few round trips between data halls and a
decision."""

MAX_WAIT_S = 0.12
"""Maximum time that an asker waits, in seconds: a fraction of the shortest objective for a
first event."""

WAIT_PER_MEAN = 3.0
"""Time that an asker waits, as a multiple of the coordinator's mean answer time."""

NEWEST_WEIGHT = 0.3
"""Weight of the newest answer in the mean answer time, an exponential moving average. With this
weight, the mean follows a coordinator that falls behind within three answers."""


MAX_COORDINATORS = 64
"""Number of coordinators whose mean is kept: room for the few current ones and for former ones."""


class NextQuestion(NamedTuple):
    """A question to be answered, and whether its asker still waits."""

    item: Any
    in_time: bool


class WaitingQuestions(Generic[_T]):
    """Questions that wait for a decision, newest first.

    The order only matters if a coordinator falls behind. The newest question can then still be
    answered in time, while in order of arrival every answer would be late.

    Parameters
    ----------
    max_age_s : float
        How long after its arrival a question is worth answering, in seconds.
    """

    def __init__(self, max_age_s: float):
        self._max_age_s = max_age_s
        self._waiting: deque[tuple[_T, float]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, item: _T, now_s: float) -> None:
        """Add a question that has just arrived."""
        self._waiting.append((item, now_s))

    def take(self, now_s: float) -> NextQuestion:
        """Remove and return the newest question; raises `IndexError` if there is none."""
        item, arrived_s = self._waiting.pop()
        return NextQuestion(item, now_s - arrived_s <= self._max_age_s)


class AnswerTimes:
    """Mean answer times of coordinators, as seen by one asker."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def note(self, coordinator: str, took_s: float) -> None:
        """Record an answer, including one that arrived after its asker stopped waiting."""
        if coordinator not in self._mean_s and len(self._mean_s) >= MAX_COORDINATORS:
            del self._mean_s[next(iter(self._mean_s))]
        before_s = self._mean_s.get(coordinator, took_s)
        self._mean_s[coordinator] = before_s + NEWEST_WEIGHT * (took_s - before_s)

    def wait_s(self, coordinator: str) -> float:
        """Return how long to wait for a coordinator, in seconds."""
        expected_s = WAIT_PER_MEAN * self._mean_s.get(coordinator, 0.0)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, expected_s))
