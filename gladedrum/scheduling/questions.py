"""Questions between a box that needs a placement and the boxes that decide: who waits, how long.

Two halves of one protection against a metastable failure. A decider that falls behind must not work
on questions whose askers have gone elsewhere, and an asker must not take a slow decider for a dead
one: else a short flash crowd leaves all deciders busy with work that nobody takes, and their load
stays high after the crowd has gone.

Examples
--------
>>> questions = WaitingQuestions(patience_s=0.04)
>>> questions.put("old", 0.0)
>>> questions.put("new", 0.03)
>>> questions.take(0.05)
Next(item='new', in_time=True)
>>> questions.take(0.05)
Next(item='old', in_time=False)
"""

from collections import deque
from typing import Any, Generic, NamedTuple, TypeVar

__all__ = ["AnswerTimes", "Next", "WaitingQuestions"]

_T = TypeVar("_T")

LEAST_WAIT_S = 0.04
"""The least time that an asker waits, in seconds: some ways between data halls and a decision."""

MOST_WAIT_S = 0.12
"""The most, in seconds: a quarter of the shortest objective that callers have."""

WAIT_FACTOR = 3.0
"""An asker waits for so many times the mean time in which a decider has answered."""

NEWEST_WEIGHT = 0.3
"""Weight of the newest answer in that mean: it follows a decider that falls behind within three
answers."""


MOST_KNOWN = 64
"""Deciders whose times are kept: many starts of the few that decide at a time."""


class Next(NamedTuple):
    """A question to be answered, and whether its asker still waits."""

    item: Any
    in_time: bool


class WaitingQuestions(Generic[_T]):
    """Questions that wait for a decision, the newest first.

    While a decider keeps up, the order makes no difference. When it does not, the newest one is the
    one that can still be answered in time; in order of arrival all would be answered too late.

    Parameters
    ----------
    patience_s : float
        How long after its arrival a question is worth an answer, in seconds.
    """

    def __init__(self, patience_s: float):
        self._patience_s = patience_s
        self._waiting: deque[tuple[_T, float]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, item: _T, now_s: float) -> None:
        """Add a question that has just arrived."""
        self._waiting.append((item, now_s))

    def take(self, now_s: float) -> Next:
        """Return the newest question; raises `IndexError` if none waits."""
        item, arrived_s = self._waiting.pop()
        return Next(item, now_s - arrived_s <= self._patience_s)


class AnswerTimes:
    """How long each decider takes to answer, as one asker has seen it."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def note(self, decider: str, took_s: float) -> None:
        """Note an answer, also one that came after the wait for it."""
        if decider not in self._mean_s and len(self._mean_s) >= MOST_KNOWN:
            del self._mean_s[next(iter(self._mean_s))]
        before_s = self._mean_s.get(decider, took_s)
        self._mean_s[decider] = before_s + NEWEST_WEIGHT * (took_s - before_s)

    def wait_s(self, decider: str) -> float:
        """Return how long to wait for a decider, in seconds."""
        expected_s = WAIT_FACTOR * self._mean_s.get(decider, 0.0)
        return min(MOST_WAIT_S, max(LEAST_WAIT_S, expected_s))
