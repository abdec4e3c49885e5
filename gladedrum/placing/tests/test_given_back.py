"""Repeats that a box had from its peers and gives back count on in the fleet's bound."""

from gladedrum.placing.tests.test_repeats import SLACK, SMALL_FLEET, WINDOW_S, pooled_fleet
from gladedrum.utils import start

CHECKED_S = 0.25
"""How often the box that gave them back looks at its share, in seconds."""


def taken(pool, clock, most):
    """Return the repeats that a box gets out of so many that it asks for."""
    grants = []
    for _ in range(most):
        start(pool.take("s")).addCallback(grants.append)
    clock.advance(0)
    return [grant for grant in grants if grant is not None]


def test_repeats_that_are_given_back_at_another_box_do_not_break_the_bound():
    clock, pools = pooled_fleet(boxes=SMALL_FLEET)
    for pool in pools:
        pool.note_request("s")
    clock.advance(2 * WINDOW_S)
    # Searches of one box for many streams at once: each had a repeat, and found no place.
    for grant in taken(pools[0], clock, 200):
        pools[0].give_back("s", grant)
    for _ in range(round(WINDOW_S / CHECKED_S)):
        clock.advance(CHECKED_S)
        pools[0]._shares.left("s", clock.seconds())
    sent = 0
    for _ in range(100):
        for pool in pools:
            while taken(pool, clock, 1):
                sent += 1
        clock.advance(WINDOW_S / 100)
    assert sent <= SLACK
