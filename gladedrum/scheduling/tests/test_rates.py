"""No window holds more than a rate allows, whatever comes when."""

from hypothesis import given
from hypothesis import strategies as st

from gladedrum.scheduling.rates import BURST_S, RateBook, settle_rate

WINDOW_S = 4.0
_gaps = st.lists(st.floats(0.0, 3.0), min_size=1, max_size=80)


@given(per_s=st.sampled_from([0.0, 0.1, 1.0, 2.5, 20.0]), gaps=_gaps)
def test_places_in_a_window_stay_in_the_rate_and_what_was_kept(per_s, gaps):
    book, now_s, taken = RateBook(), 0.0, []
    for gap_s in gaps:
        now_s += gap_s / max(1.0, per_s)
        if not book.take("t", 0, per_s, now_s):
            taken.append(now_s)
    most = per_s * WINDOW_S + max(1.0, BURST_S * per_s) + 1e-6
    assert all(sum(at <= t < at + WINDOW_S for t in taken) <= most for at in taken)


@given(st.lists(st.tuples(st.sampled_from([None, 0.5, 1.0, 3.0]), st.floats(0, 2)), max_size=20))
def test_what_allows_more_holds_only_if_it_was_asked_later(answers):
    known, now_s = None, 10.0
    for per_s, asked_ago_s in answers:
        now_s += 0.5
        before, known = known, settle_rate(known, per_s, now_s - asked_ago_s, now_s)
        allows_more = before is not None and (per_s is None or per_s > before.per_s)
        if allows_more and now_s - asked_ago_s <= before.heard_s:
            assert known == before
        else:
            assert (known.per_s if known else None) == per_s


def test_what_was_sent_without_a_place_is_made_good():
    book = RateBook()
    book.begin("t", 0, 0.0)
    for _ in range(3):
        book.spend("t", 0, 2.0, 10.0)
    assert book.next_s("t", 0, 2.0, 10.0) == 1.5
    assert book.take("t", 0, 2.0, 11.5) == 0.0
