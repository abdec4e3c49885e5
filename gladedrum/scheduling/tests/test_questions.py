"""A flash crowd meets deciders that can't keep up: a metastable failure, and what prevents it.

Pattern: for ten seconds more placements are asked for than the deciders can make; then the load
falls back to half of what they can. A decider that answers in order of arrival answers everybody
too late, through the crowd and for seconds after it; its askers decide without knowledge.

Grounds for the figures: four deciders that need 7 ms a decision (a short prompt among 150 engines,
on half a core), askers that wait 40 ms, 220 questions a second after 55, then 55 to 110: measured
with the logs of a fleet of 195 boxes, where unanswered questions rose from 3 to 260 in two seconds
and went on rising when the load had halved.
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

DECIDERS = 4
DECISION_S = 0.007
NOTE_S = 0.0004
"""What an answer costs that says only that the decider is busy."""
PATIENCE_S = 0.03
CAPACITY = DECIDERS / DECISION_S
CROWD_S, AFTER_S = (5.0, 15.0), 20.0


class InOrderOfArrival:
    """What a decider does that answers whatever it was asked, the oldest first."""

    def __init__(self):
        self._waiting = deque()

    def __len__(self):
        return len(self._waiting)

    def put(self, item, _now_s):
        self._waiting.append(item)

    def take(self, _now_s):
        return NextQuestion(self._waiting.popleft(), True)


class Decider:
    """Answers one question after another, in virtual time."""

    def __init__(self, waiting):
        self.waiting = waiting
        self.free_s = 0.0

    def work_until(self, now_s):
        """Return the questions that were decided by `now_s`, and when."""
        decided = []
        while len(self.waiting) and self.free_s < now_s:
            asked_s, in_time = self.waiting.take(self.free_s)
            self.free_s += DECISION_S if in_time else NOTE_S
            if in_time:
                decided.append((asked_s, self.free_s))
        self.free_s = max(self.free_s, now_s)
        return decided


def rate_at(now_s):
    """Return the questions a second: a crowd of 1.3 times what all deciders can answer."""
    return 1.3 * CAPACITY if CROWD_S[0] <= now_s < CROWD_S[1] else 0.5 * CAPACITY


def play(make_waiting):
    """Return the shares of questions that were answered in time, by second."""
    rng = random.Random(5)
    deciders = [Decider(make_waiting()) for _ in range(DECIDERS)]
    asked, in_time = Counter(), Counter()
    now_s = 0.0
    while now_s < AFTER_S:
        now_s += rng.expovariate(rate_at(now_s))
        decider = rng.choice(deciders)
        for asked_s, answered_s in decider.work_until(now_s):
            in_time[int(asked_s)] += answered_s - asked_s <= MIN_WAIT_S
        decider.waiting.put(now_s, now_s)
        asked[int(now_s)] += 1
    return [in_time[second] / asked[second] for second in range(int(AFTER_S) - 1)]


def test_in_order_of_arrival_a_crowd_leaves_nobody_answered_for_seconds_after_it():
    shares = play(InOrderOfArrival)
    assert min(shares[:5]) > 0.9
    assert max(shares[8:17]) < 0.1


def test_the_newest_first_the_deciders_answer_what_they_can_and_recover_at_once():
    shares = play(lambda: WaitingQuestions(PATIENCE_S))
    assert min(shares[:5]) > 0.9
    assert min(shares[6:14]) > 0.6
    assert min(shares[16:]) > 0.9


def test_a_question_that_has_waited_too_long_is_not_decided():
    waiting = WaitingQuestions(PATIENCE_S)
    waiting.put("a", 0.0)
    waiting.put("b", 0.02)
    assert waiting.take(0.04) == NextQuestion("b", True)
    assert waiting.take(0.04) == NextQuestion("a", False)
    with pytest.raises(IndexError):
        waiting.take(0.04)


def play_asker(times, took_s, answers):
    """Ask a decider that takes `took_s`; return how many answers came within the wait."""
    got = 0
    for _ in range(answers):
        got += took_s <= times.wait_s("d")
        times.note("d", took_s)
    return got


def test_a_slow_decider_is_waited_for_and_not_taken_for_a_dead_one():
    """Slow member: at 60 ms an answer, a fixed wait of 40 ms loses every one of them."""
    times = AnswerTimes()
    play_asker(times, 0.005, 20)
    assert times.wait_s("d") == MIN_WAIT_S
    assert play_asker(times, 0.06, 20) >= 18


def test_no_decider_is_waited_for_longer_than_callers_can_bear():
    times = AnswerTimes()
    play_asker(times, 5.0, 20)
    assert times.wait_s("d") == MAX_WAIT_S
