"""Rates of targets: bounds on the grants in any window, and reordered answers."""

from hypothesis import given
from hypothesis import strategies as st

from gladedrum.scheduling.rates import BURST_S, RateLimiter, settle_rate

WINDOW_S = 4.0
_gaps = st.lists(st.floats(0.0, 3.0), min_size=1, max_size=80)


@given(per_s=st.sampled_from([0.0, 0.1, 1.0, 2.5, 20.0]), gaps=_gaps)
def test_grants_in_any_window_stay_within_rate_and_burst(per_s, gaps):
    limiter, now_s, granted_at_s = RateLimiter(), 0.0, []
    for gap_s in gaps:
        now_s += gap_s / max(1.0, per_s)
        if not limiter.acquire("t", 0, per_s, now_s):
            granted_at_s.append(now_s)
    limit = per_s * WINDOW_S + max(1.0, BURST_S * per_s) + 1e-6
    assert all(sum(at <= t < at + WINDOW_S for t in granted_at_s) <= limit for at in granted_at_s)


@given(st.lists(st.tuples(st.sampled_from([None, 0.5, 1.0, 3.0]), st.floats(0, 2)), max_size=20))
def test_higher_rate_holds_only_if_its_request_was_sent_later(answers):
    known, now_s = None, 10.0
    for per_s, asked_ago_s in answers:
        now_s += 0.5
        before, known = known, settle_rate(known, per_s, now_s - asked_ago_s, now_s)
        allows_more = before is not None and (per_s is None or per_s > before.per_s)
        if allows_more and now_s - asked_ago_s <= before.heard_s:
            assert known == before
        else:
            assert (known.per_s if known else None) == per_s


def test_requests_without_grant_are_charged():
    limiter = RateLimiter()
    limiter.begin("t", 0, 0.0)
    for _ in range(3):
        limiter.charge("t", 0, 2.0, 10.0)
    assert limiter.next_s("t", 0, 2.0, 10.0) == 1.5
    assert limiter.acquire("t", 0, 2.0, 11.5) == 0.0
