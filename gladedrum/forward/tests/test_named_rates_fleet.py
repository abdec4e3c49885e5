"""Rates that targets name, with boxes and datagrams that are lost, and rates that change.

See `test_named_rates` for the incident. Here: who adds up, what is left unused, how a rate ends,
and what callers get.
"""

import random

import pytest

from gladedrum.forward.tests.limiting import LimitingFleet, is_report
from gladedrum.forward.tests.support import World, answer
from gladedrum.outcome import NotRun
from gladedrum.placing.choosing import Choice
from gladedrum.placing.reports import order_of

RATE = b"Server-Limit: %s\r\n"


def all_limited(per_s, **kwargs):
    fleet = LimitingFleet(**kwargs)
    for port in fleet.engines:
        fleet.name_rate(port, per_s)
    return fleet


def assert_kept(fleet):
    for port in fleet.engines:
        assert fleet.most_in_window(port) <= fleet.allowed(port), port


def used_share(fleet, from_s):
    """Return the share of the named rates that callers' requests have used."""
    passed_s = fleet.net.seconds() - from_s
    rates = sum(float(rate) for rate in fleet.rates.values())
    return sum(fleet.requests_at(port, from_s) for port in fleet.rates) / (passed_s * rates)


def adder_of(fleet, port):
    """Return the box that adds up what an engine gets."""
    box = next(iter(fleet.boxes.values()))
    return order_of(f"t{port - 9000}", box.circle.members())[0]


@pytest.mark.parametrize(
    ("boxes", "per_s", "targets"), [(3, 1.0, 4), (6, 10.0, 2), (14, 1.0, 4), (30, 10.0, 2)]
)
def test_nearly_all_of_a_rate_is_used_where_more_callers_come(boxes, per_s, targets):
    fleet = all_limited(per_s, boxes=boxes, targets=targets)
    fleet.ask_often(per_s=35, for_s=3.0)
    from_s = fleet.net.seconds()
    fleet.ask_often(per_s=35, for_s=12.0)
    assert_kept(fleet)
    assert used_share(fleet, from_s) >= 0.75


@pytest.mark.parametrize(("boxes", "per_s"), [(6, 1.0), (30, 10.0)])
def test_one_datagram_in_ten_lost_a_rate_is_kept_and_used(boxes, per_s):
    fleet, rng = all_limited(per_s, boxes=boxes, targets=2), random.Random(1)
    fleet.lost = lambda _sender, _receiver: rng.random() < 0.1
    fleet.ask_often(per_s=35, for_s=3.0)
    from_s = fleet.net.seconds()
    fleet.ask_often(per_s=35, for_s=12.0)
    assert_kept(fleet)
    assert used_share(fleet, from_s) >= 0.6


@pytest.mark.parametrize("per_s", [1.0, 10.0])
def test_two_halves_that_do_not_hear_each_other_keep_it_together(per_s):
    fleet = all_limited(per_s, boxes=6, targets=2)
    fleet.lost = lambda sender, receiver: (sender < "box4") != (receiver < "box4")
    fleet.ask_often(per_s=20 + 2 * per_s, for_s=15.0)
    assert_kept(fleet)


@pytest.mark.parametrize("per_s", [1.0, 10.0])
def test_the_loss_of_the_box_that_adds_up_leaves_a_part_of_the_rate(per_s):
    fleet = all_limited(per_s, boxes=6, targets=2)
    fleet.ask_often(per_s=20, for_s=5.0)
    del fleet.boxes[adder_of(fleet, 9001)]
    from_s = fleet.net.seconds()
    fleet.ask_often(per_s=20 + 2 * per_s, for_s=15.0)
    assert_kept(fleet)
    assert fleet.requests_at(9001, from_s) >= 0.1 * per_s * 15.0


def test_boxes_that_start_again_and_again_do_not_grant_more():
    fleet = all_limited(2.0, boxes=4, targets=2)
    for _ in range(5):
        fleet.ask_often(per_s=20, for_s=2.0)
        name = adder_of(fleet, 9001)
        fleet.boxes[name] = fleet.start_box(name)
    assert_kept(fleet)


def test_a_rate_ends_when_the_target_names_it_no_more():
    fleet = LimitingFleet(targets=2, boxes=3)
    for per_s in (1.0, 0.0):
        fleet.name_rate(9001, per_s)
        fleet.play(2.0)
        fleet.name_rate(9001, None)
        fleet.play(9.0)
        assert [box.view.state("t1").rate for box in fleet.boxes.values()] == [None] * 3


def test_a_target_that_takes_nothing_gets_nothing_but_a_question_now_and_then():
    fleet = LimitingFleet(targets=2, boxes=3)
    fleet.name_rate(9001, 0.0)
    fleet.play(1.0)
    from_s = fleet.net.seconds()
    callers = fleet.ask_often(per_s=10, for_s=16.0)
    fleet.play(1.0)
    assert fleet.requests_at(9001, from_s) == 0
    asked = [a for a in fleet.arrivals if a.port == 9001 and is_report(a) and a.at_s > from_s]
    assert 1 <= len(asked) <= 3
    assert {caller.status for caller in callers} == {200}


def test_a_later_start_of_a_target_has_no_rate():
    fleet = LimitingFleet(targets=2, boxes=2)
    fleet.name_rate(9001, 1.0)
    fleet.play(2.0)
    fleet.end(fleet.engines[9001])
    fleet.name_rate(9001, None)
    fleet.play(5.0)
    assert [box.view.state("t1").rate for box in fleet.boxes.values()] == [None] * 2


@pytest.mark.parametrize("odd", [b"nan", b"inf", b"-3", b"1e400", b"9" * 400, b"1, 2"])
def test_what_is_no_rate_harms_nobody(odd):
    fleet = LimitingFleet(targets=1, boxes=2)
    fleet.name_rate(9001, odd)
    callers = fleet.ask_often(per_s=10, for_s=3.0)
    fleet.play(1.0)
    assert {caller.status for caller in callers} == {200}


def test_of_two_answers_that_pass_each_other_the_one_that_allows_less_holds():
    world = World(targets=1)
    first, second = world.caller(), world.caller()
    first.ask(b"a")
    second.ask(b"b")
    early, late = world.net.opened[0], world.net.opened[1]
    late.reply(answer(extra=RATE % b"1"))
    early.reply(answer())
    assert world.view.state("t1").rate.per_s == 1.0


def test_an_answer_that_another_target_gave_at_the_address_says_nothing_of_this_one():
    world = World(targets=1)
    caller = world.caller()
    caller.ask(b"a")
    world.attempt().reply(answer(421, b"no", extra=RATE % b"1"))
    world.run(0.5)
    assert world.view.state("t1").rate is None


@pytest.mark.parametrize("route", [{"repeatable": True}, {"repeatable": False}])
def test_where_no_target_takes_more_callers_are_told_at_once_when_to_come_back(route):
    world = World(targets=1, **route)
    first = world.caller()
    first.ask(b"a")
    world.attempt().reply(answer(extra=RATE % b"0.5"))
    assert first.status == 200
    second = world.caller()
    second.ask(b"b")
    world.run(0.05)
    assert second.status == 503
    assert isinstance(world.outcomes[-1], NotRun)
    wait_s = float(second.got.lower().split(b"retry-after: ")[1].split(b"\r\n")[0])
    assert 1.9 <= wait_s <= 3.1
    world.run(wait_s)
    world.vouch()
    third = world.caller()
    third.ask(b"c")
    world.attempt().reply(answer(extra=RATE % b"0.5"))
    assert third.status == 200


def test_a_target_that_names_a_rate_does_not_read_parts_for_others(monkeypatch):
    fleet = LimitingFleet(targets=4, boxes=1)
    fleet.name_rate(9001, 5.0)
    fleet.play(1.0)
    world, chosen = fleet.boxes["box1"], []
    monkeypatch.setattr(type(world.ctx.chooser), "plan", lambda _s, _w, _d, c: chosen.append(c))
    for tokens in (100_000, 400_000):
        for _ in range(5):
            caller = world.caller()
            caller.ask(b"long", extra=b"x-gladedrum-token-usage: %d,100\r\n" % tokens)
    choices = [choice for choice in chosen if isinstance(choice, Choice)]
    assert any(choice.helpers for choice in choices)
    assert not any(entry.name == "t1" for c in choices for entry in c.helpers)
