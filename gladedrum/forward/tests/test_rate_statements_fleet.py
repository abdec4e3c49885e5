"""Stated rates in a fleet of boxes: lost datagrams, partitions, restarts, changing rates.

Guards against granting more than a rate, leaving most of it unused, and keeping an outdated one.
"""

import random

import pytest

from gladedrum.forward.tests.rate_limiting_fleet import RateLimitingFleet, is_report
from gladedrum.forward.tests.support import World, answer
from gladedrum.outcome import NotRun
from gladedrum.placing.choosing import Choice
from gladedrum.placing.reports import responsible_boxes

RATE_LINE = b"Server-Limit: %s\r\n"


def fleet_with_rate(per_s, **kwargs):
    fleet = RateLimitingFleet(**kwargs)
    for port in fleet.engines:
        fleet.set_rate(port, per_s)
    return fleet


def assert_rates_respected(fleet):
    for port in fleet.engines:
        assert fleet.most_in_window(port) <= fleet.allowed(port), port


def used_share(fleet, from_s):
    """Return the share of the stated rates that callers' requests have used."""
    passed_s = fleet.net.seconds() - from_s
    rates = sum(float(rate) for rate in fleet.rates.values())
    return sum(fleet.requests_at(port, from_s) for port in fleet.rates) / (passed_s * rates)


def coordinator_of(fleet, port):
    """Return the box that counts and grants the requests to an engine."""
    box = next(iter(fleet.boxes.values()))
    return responsible_boxes(f"t{port - 9000}", box.coordinators.members())[0]


@pytest.mark.parametrize(
    ("boxes", "per_s", "targets"), [(3, 1.0, 4), (6, 10.0, 2), (14, 1.0, 4), (30, 10.0, 2)]
)
def test_most_of_a_rate_is_used_under_overload(boxes, per_s, targets):
    fleet = fleet_with_rate(per_s, boxes=boxes, targets=targets)
    fleet.send_random_requests(per_s=35, for_s=3.0)
    from_s = fleet.net.seconds()
    fleet.send_random_requests(per_s=35, for_s=12.0)
    assert_rates_respected(fleet)
    assert used_share(fleet, from_s) >= 0.75


@pytest.mark.parametrize(("boxes", "per_s"), [(6, 1.0), (30, 10.0)])
def test_a_rate_is_respected_and_used_with_one_datagram_in_ten_lost(boxes, per_s):
    fleet, rng = fleet_with_rate(per_s, boxes=boxes, targets=2), random.Random(1)
    fleet.is_lost = lambda _sender, _receiver: rng.random() < 0.1
    fleet.send_random_requests(per_s=35, for_s=3.0)
    from_s = fleet.net.seconds()
    fleet.send_random_requests(per_s=35, for_s=12.0)
    assert_rates_respected(fleet)
    assert used_share(fleet, from_s) >= 0.6


@pytest.mark.parametrize("per_s", [1.0, 10.0])
def test_a_rate_is_respected_in_a_network_partition(per_s):
    fleet = fleet_with_rate(per_s, boxes=6, targets=2)
    fleet.is_lost = lambda sender, receiver: (sender < "box4") != (receiver < "box4")
    fleet.send_random_requests(per_s=20 + 2 * per_s, for_s=15.0)
    assert_rates_respected(fleet)


@pytest.mark.parametrize("per_s", [1.0, 10.0])
def test_loss_of_the_coordinator_leaves_part_of_the_rate_usable(per_s):
    fleet = fleet_with_rate(per_s, boxes=6, targets=2)
    fleet.send_random_requests(per_s=20, for_s=5.0)
    del fleet.boxes[coordinator_of(fleet, 9001)]
    from_s = fleet.net.seconds()
    fleet.send_random_requests(per_s=20 + 2 * per_s, for_s=15.0)
    assert_rates_respected(fleet)
    assert fleet.requests_at(9001, from_s) >= 0.1 * per_s * 15.0


def test_repeated_box_restarts_do_not_exceed_the_rate():
    fleet = fleet_with_rate(2.0, boxes=4, targets=2)
    for _ in range(5):
        fleet.send_random_requests(per_s=20, for_s=2.0)
        name = coordinator_of(fleet, 9001)
        fleet.boxes[name] = fleet.start_box(name)
    assert_rates_respected(fleet)


def test_a_rate_expires_when_the_target_stops_stating_it():
    fleet = RateLimitingFleet(targets=2, boxes=3)
    for per_s in (1.0, 0.0):
        fleet.set_rate(9001, per_s)
        fleet.advance(2.0)
        fleet.set_rate(9001, None)
        fleet.advance(9.0)
        assert [box.view.state("t1").rate for box in fleet.boxes.values()] == [None] * 3


def test_a_target_with_rate_zero_gets_only_occasional_report_requests():
    fleet = RateLimitingFleet(targets=2, boxes=3)
    fleet.set_rate(9001, 0.0)
    fleet.advance(1.0)
    from_s = fleet.net.seconds()
    callers = fleet.send_random_requests(per_s=10, for_s=16.0)
    fleet.advance(1.0)
    assert fleet.requests_at(9001, from_s) == 0
    asked = [a for a in fleet.arrivals if a.port == 9001 and is_report(a) and a.at_s > from_s]
    assert 1 <= len(asked) <= 3
    assert {caller.status for caller in callers} == {200}


def test_a_restarted_target_has_no_rate():
    fleet = RateLimitingFleet(targets=2, boxes=2)
    fleet.set_rate(9001, 1.0)
    fleet.advance(2.0)
    fleet.crash(fleet.engines[9001])
    fleet.set_rate(9001, None)
    fleet.advance(5.0)
    assert [box.view.state("t1").rate for box in fleet.boxes.values()] == [None] * 2


@pytest.mark.parametrize("odd", [b"nan", b"inf", b"-3", b"1e400", b"9" * 400, b"1, 2"])
def test_invalid_rates_are_ignored(odd):
    fleet = RateLimitingFleet(targets=1, boxes=2)
    fleet.set_rate(9001, odd)
    callers = fleet.send_random_requests(per_s=10, for_s=3.0)
    fleet.advance(1.0)
    assert {caller.status for caller in callers} == {200}


def test_of_two_overlapping_answers_the_lower_rate_applies():
    world = World(targets=1)
    first, second = world.caller(), world.caller()
    first.send_request(b"a")
    second.send_request(b"b")
    early, late = world.net.opened[0], world.net.opened[1]
    late.reply(answer(extra=RATE_LINE % b"1"))
    early.reply(answer())
    assert world.view.state("t1").rate.per_s == 1.0


def test_a_rate_in_a_misdirected_answer_is_ignored():
    world = World(targets=1)
    caller = world.caller()
    caller.send_request(b"a")
    world.attempt().reply(answer(421, b"no", extra=RATE_LINE % b"1"))
    world.run(0.5)
    assert world.view.state("t1").rate is None


@pytest.mark.parametrize("route", [{"repeatable": True}, {"repeatable": False}])
def test_callers_get_retry_after_at_once_when_all_rates_are_used_up(route):
    world = World(targets=1, **route)
    first = world.caller()
    first.send_request(b"a")
    world.attempt().reply(answer(extra=RATE_LINE % b"0.5"))
    assert first.status == 200
    second = world.caller()
    second.send_request(b"b")
    world.run(0.05)
    assert second.status == 503
    assert isinstance(world.outcomes[-1], NotRun)
    wait_s = float(second.received.lower().split(b"retry-after: ")[1].split(b"\r\n")[0])
    assert 1.9 <= wait_s <= 3.1
    world.run(wait_s)
    world.confirm_configuration()
    third = world.caller()
    third.send_request(b"c")
    world.attempt().reply(answer(extra=RATE_LINE % b"0.5"))
    assert third.status == 200


def test_a_rate_limited_target_is_not_used_as_a_helper(monkeypatch):
    fleet = RateLimitingFleet(targets=4, boxes=1)
    fleet.set_rate(9001, 5.0)
    fleet.advance(1.0)
    world, chosen = fleet.boxes["box1"], []
    monkeypatch.setattr(
        type(world.ctx.chooser), "record_choice", lambda _s, _w, _d, c: chosen.append(c)
    )
    for tokens in (100_000, 400_000):
        for _ in range(5):
            caller = world.caller()
            caller.send_request(b"long", extra=b"x-gladedrum-token-usage: %d,100\r\n" % tokens)
    choices = [choice for choice in chosen if isinstance(choice, Choice)]
    assert any(choice.helpers for choice in choices)
    assert not any(entry.name == "t1" for c in choices for entry in c.helpers)
