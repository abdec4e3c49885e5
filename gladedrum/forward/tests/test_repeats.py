"""All boxes together stay within the fleet's bound, with boxes coming and going."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gladedrum.forward.repeats import RepeatShares

RATIO, SLACK, WINDOW_S = 0.2, 100.0, 10.0


@settings(max_examples=60, deadline=None)
@given(
    boxes=st.integers(1, 12),
    per_s=st.integers(0, 40),
    restarts=st.lists(st.integers(0, 11), max_size=6),
)
def test_no_window_holds_more_repeats_than_the_fleet_may_send(boxes, per_s, restarts):
    def fresh():
        return RepeatShares(RATIO, SLACK, WINDOW_S, lambda: boxes)

    shares = [fresh() for _ in range(boxes)]
    sent, asked = [], []
    for tick in range(300):
        now_s = tick * 0.1
        if tick % 40 == 0 and restarts:
            shares[restarts[tick // 40 % len(restarts)] % boxes] = fresh()
        for share in shares:
            for _ in range(per_s // 10 + (tick % 10 < per_s % 10)):
                share.note_request("s", now_s)
                asked.append(now_s)
            while share.take("s", now_s):
                sent.append(now_s)
    for end_s in (5.0, 10.0, 12.5, 20.0, 29.9):
        inside = [t for t in sent if end_s - WINDOW_S <= t <= end_s]
        served = [t for t in asked if end_s - WINDOW_S <= t <= end_s]
        assert len(inside) <= RATIO * len(served) + SLACK


def test_a_box_that_starts_has_nothing_to_spend():
    assert not RepeatShares(RATIO, SLACK, WINDOW_S, lambda: 1).take("s", 0.0)
