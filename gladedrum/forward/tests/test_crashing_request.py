"""A request that ends each engine that begins to run it.

Seen: 24 and 28 engines of 18 that start again after some seconds ended under two requests within
minutes, in groups of two to four, and each took the streams beside them along. The same request
came again and again, at any box, under a new id. Cause: what a box remembers of a request that was
lost with its engine ends with the caller's attempt, and what it tells its peers speaks of the
engine alone. A box that plays it alone shows it: with 24 attempts, 0.5 s apart, a route that allows
a second engine sends it 26 times more than 3 s after the third engine has ended, one that doesn't
15 times, and neither number has a bound.
"""

from gladedrum.forward.tests.crashing import CrashingFleet

COME, APART_S = 24, 0.5
TOLD_S = 3.0
"""After so long all boxes that are in touch must know what has happened."""
MOST_SENT = 3


def sent_late(fleet: CrashingFleet) -> int:
    """Have a deadly request come many times; return how often it was sent when it was known."""
    for _ in range(COME):
        fleet.ask(b"deadly")
        fleet.play(APART_S)
    third_s = fleet.ends_of(b"deadly")[2]
    return fleet.sent_after(b"deadly", third_s + TOLD_S)


def test_a_request_that_ends_engines_is_not_sent_on_and_on():
    assert sent_late(CrashingFleet(max_targets=2)) <= MOST_SENT


def test_nor_where_each_attempt_may_have_one_engine_only():
    assert sent_late(CrashingFleet(max_targets=1, resumable=False)) <= MOST_SENT
