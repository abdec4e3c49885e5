import pytest

from gladedrum.platform.statements import Statements, statements_of


def _odd(said: Statements) -> dict[str, str]:
    return dict(said.odd)


@pytest.mark.parametrize(
    ("named", "rate"),
    [(b"1", 1.0), (b" 0.25 ", 0.25), (b"0", 0.0), (b"10.", 10.0), (b"1e-05", 1e-05)],
)
def test_an_answer_may_name_the_rate_that_its_target_takes(named, rate):
    said = statements_of(200, [(b"server-limit", named)])
    assert (said.rate_per_s, said.odd) == (rate, ())


@pytest.mark.parametrize(
    "named",
    [b"nan", b"inf", b"-3", b"1e400", b"", b"1_0", b"1,5", b"9" * 400, "٣".encode(), b"0x10"],
)
def test_what_is_no_decimal_number_names_no_rate_and_is_told(named):
    said = statements_of(200, [(b"server-limit", named)])
    assert said.rate_per_s is None
    assert 0 < len(_odd(said)["rate_per_s"]) <= 40


def test_two_rates_in_one_answer_name_none_unless_they_are_the_same():
    said = statements_of(200, [(b"server-limit", b"1"), (b"server-limit", b"2")])
    assert (said.rate_per_s, _odd(said)["rate_per_s"]) == (None, "1, 2")
    twice = [(b"server-limit", b"1"), (b"server-limit", b"1")]
    assert statements_of(200, twice).rate_per_s == 1.0


def test_a_target_that_leaves_says_so_by_one_word():
    assert statements_of(200, [(b"server-leaving", b"1")]).leaves
    assert statements_of(421, [(b"server-leaving", b" 1 ")]).leaves


@pytest.mark.parametrize("named", [b"0", b"", b"true", b"01", b"1.0", b"1, 1", b"-1", b"9" * 400])
def test_any_other_word_says_nothing_of_leaving_and_is_told(named):
    said = statements_of(200, [(b"server-leaving", named)])
    assert not said.leaves
    assert 0 < len(_odd(said)["leaves"]) <= 40


@pytest.mark.parametrize(("named", "seconds"), [(b"3", 3.0), (b"0.25", 0.25), (b" 86400 ", 86400)])
def test_a_target_that_turns_a_request_away_may_ask_for_rest(named, seconds):
    assert statements_of(503, [(b"retry-after", named)]).rest_s == seconds


@pytest.mark.parametrize("status", [200, 301, 421, 429, 500])
def test_with_another_status_the_same_header_asks_for_no_rest(status):
    assert statements_of(status, [(b"retry-after", b"3")]) == Statements()


@pytest.mark.parametrize(
    "named",
    [b"", b"nan", b"inf", b"-3", b"1e400", b"3s", b"Wed, 21 Oct 2026 07:28:00 GMT", b"9" * 400],
)
def test_what_is_no_number_of_seconds_is_no_rest_and_is_told(named):
    said = statements_of(503, [(b"retry-after", named)])
    assert said.rest_s is None
    assert 0 < len(_odd(said)["rest_s"]) <= 40
