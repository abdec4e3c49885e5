"""Metastable failure of coordinators after a flash crowd, and the protection against it.

For ten seconds more questions arrive than the coordinators can answer; then the load falls to half
of their capacity. A coordinator that answers in order of arrival answers every question too late,
also for seconds after the crowd.
"""

import random
from collections import Counter, deque

import pytest

from gladedrum.scheduling.questions import (
    MAX_WAIT_S,
    MIN_WAIT_S,
    AnswerTimes,
    NextQuestion,
    WaitingQuestions,
)

COORDINATORS = 4
DECISION_S = 0.007
REJECTION_S = 0.0004
"""Time that the answer "busy" takes a coordinator, in seconds."""
MAX_AGE_S = 0.03
CAPACITY = COORDINATORS / DECISION_S
CROWD_S, END_S = (5.0, 15.0), 20.0


class FifoQuestions:
    """Questions answered in order of arrival, without expiry: the unprotected case."""

    def __init__(self):
        self._waiting = deque()

    def __len__(self):
        return len(self._waiting)

    def put(self, item, _now_s):
        self._waiting.append(item)

    def take(self, _now_s):
        return NextQuestion(self._waiting.popleft(), True)


class Coordinator:
    """Answers one question after another, in virtual time."""

    def __init__(self, waiting):
        self.waiting = waiting
        self.free_s = 0.0

    def work_until(self, now_s):
        """Return the questions decided by `now_s`, with the times of the answers."""
        decided = []
        while len(self.waiting) and self.free_s < now_s:
            asked_s, in_time = self.waiting.take(self.free_s)
            self.free_s += DECISION_S if in_time else REJECTION_S
            if in_time:
                decided.append((asked_s, self.free_s))
        self.free_s = max(self.free_s, now_s)
        return decided


def rate_at(now_s):
    """Return the questions per second; in the crowd 1.3 times what all coordinators can answer."""
    return 1.3 * CAPACITY if CROWD_S[0] <= now_s < CROWD_S[1] else 0.5 * CAPACITY


def simulate(make_waiting):
    """Return the share of questions answered in time, for each second."""
    rng = random.Random(5)
    coordinators = [Coordinator(make_waiting()) for _ in range(COORDINATORS)]
    asked, in_time = Counter(), Counter()
    now_s = 0.0
    while now_s < END_S:
        now_s += rng.expovariate(rate_at(now_s))
        coordinator = rng.choice(coordinators)
        for asked_s, answered_s in coordinator.work_until(now_s):
            in_time[int(asked_s)] += answered_s - asked_s <= MIN_WAIT_S
        coordinator.waiting.put(now_s, now_s)
        asked[int(now_s)] += 1
    return [in_time[second] / asked[second] for second in range(int(END_S) - 1)]


def test_fifo_order_fails_for_seconds_after_a_crowd():
    shares = simulate(FifoQuestions)
    assert min(shares[:5]) > 0.9
    assert max(shares[8:17]) < 0.1


def test_newest_first_order_keeps_serving_and_recovers_at_once():
    shares = simulate(lambda: WaitingQuestions(MAX_AGE_S))
    assert min(shares[:5]) > 0.9
    assert min(shares[6:14]) > 0.6
    assert min(shares[16:]) > 0.9


def test_expired_question_is_marked_as_late():
    waiting = WaitingQuestions(MAX_AGE_S)
    waiting.put("a", 0.0)
    waiting.put("b", 0.02)
    assert waiting.take(0.04) == NextQuestion("b", True)
    assert waiting.take(0.04) == NextQuestion("a", False)
    with pytest.raises(IndexError):
        waiting.take(0.04)


def simulate_asker(times, took_s, answers):
    """Ask a coordinator that takes `took_s`; return the number of answers within the wait."""
    answered = 0
    for _ in range(answers):
        answered += took_s <= times.wait_s("d")
        times.note("d", took_s)
    return answered


def test_wait_adapts_to_a_slow_coordinator():
    """A fixed wait would miss every answer of a coordinator that is slower."""
    times = AnswerTimes()
    simulate_asker(times, 0.005, 20)
    assert times.wait_s("d") == MIN_WAIT_S
    assert simulate_asker(times, 0.06, 20) >= 18


def test_wait_for_a_coordinator_is_bounded():
    times = AnswerTimes()
    simulate_asker(times, 5.0, 20)
    assert times.wait_s("d") == MAX_WAIT_S
