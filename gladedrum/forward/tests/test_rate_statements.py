"""Engines that state the request rate that they accept from all boxes together.

Guards against exceeding a rate, also by the boxes' own report requests, which count towards it.
"""

import itertools

from gladedrum.forward.tests.rate_limiting_fleet import RateLimitingFleet, is_report

LIMITED = 9001


def test_no_engine_gets_more_than_its_rate():
    for boxes, per_s in itertools.product((1, 3, 6), (0.25, 1.0, 10.0)):
        fleet = RateLimitingFleet(targets=4, boxes=boxes)
        for port in fleet.engines:
            fleet.set_rate(port, per_s)
        fleet.send_random_requests(per_s=20 + 4 * per_s, for_s=15.0)
        for port in fleet.engines:
            most = fleet.most_in_window(port)
            assert most <= fleet.allowed(port), (boxes, per_s, port, most)


def test_requests_move_to_other_engines_when_one_limits_its_rate():
    fleet = RateLimitingFleet(targets=4, boxes=3)
    fleet.send_random_requests(per_s=20, for_s=4.0)
    busiest = max(fleet.engines, key=fleet.requests_at)
    fleet.set_rate(busiest, 1.0)
    callers = fleet.send_random_requests(per_s=20, for_s=15.0)
    fleet.advance(2.0)
    assert fleet.most_in_window(busiest) <= fleet.allowed(busiest)
    assert {caller.status for caller in callers} == {200}


def test_report_requests_use_only_a_small_part_of_a_rate():
    fleet = RateLimitingFleet(targets=1, boxes=3)
    fleet.set_rate(LIMITED, 1.0)
    fleet.advance(12.0)
    late = [a for a in fleet.arrivals if is_report(a) and a.at_s >= fleet.net.seconds() - 8.0]
    assert len(late) <= 3
