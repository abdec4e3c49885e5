"""Retries that were granted by peers and then returned stay within the fleet's retry budget."""

from gladedrum.placing.tests.test_repeats import SLACK, SMALL_FLEET, WINDOW_S, pooled_fleet
from gladedrum.utils import start

CHECKED_S = 0.25
"""How often the returning box checks its share, in seconds."""


def granted(pool, clock, count):
    """Return the grants that a box gets when it asks for `count` retries."""
    grants = []
    for _ in range(count):
        start(pool.take("s")).addCallback(grants.append)
    clock.advance(0)
    return [grant for grant in grants if grant is not None]


def test_retries_returned_at_another_box_do_not_exceed_the_budget():
    clock, pools = pooled_fleet(boxes=SMALL_FLEET)
    for pool in pools:
        pool.note_request("s")
    clock.advance(2 * WINDOW_S)
    # One box takes retries for many streams at once and finds no target for any of them.
    for grant in granted(pools[0], clock, 200):
        pools[0].give_back("s", grant)
    for _ in range(round(WINDOW_S / CHECKED_S)):
        clock.advance(CHECKED_S)
        pools[0]._shares.left("s", clock.seconds())
    sent = 0
    for _ in range(100):
        for pool in pools:
            while granted(pool, clock, 1):
                sent += 1
        clock.advance(WINDOW_S / 100)
    assert sent <= SLACK
