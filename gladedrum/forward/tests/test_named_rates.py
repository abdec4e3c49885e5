"""Engines that name the rate of requests that they take from all boxes together.

Seen: an engine that had named 1 a second got 12 and 13 requests in 4 s from boxes that it had told.
Cause: nothing read the rate in its answers, so placement went on by load; and what boxes ask for
themselves counts there too: an engine is asked for a report every 0.4 s, which alone is two and a
half times such a rate. In the window of the 13th only 7 requests of callers reached the engine.
Here four engines, of which one named 1 a second, got more than that in 4 s while three idled.
"""

import itertools

from gladedrum.forward.tests.limiting import LimitingFleet, is_report

LIMITED = 9001


def test_no_engine_gets_more_than_it_has_named():
    for boxes, per_s in itertools.product((1, 3, 6), (0.25, 1.0, 10.0)):
        fleet = LimitingFleet(targets=4, boxes=boxes)
        for port in fleet.engines:
            fleet.name_rate(port, per_s)
        fleet.ask_often(per_s=20 + 4 * per_s, for_s=15.0)
        for port in fleet.engines:
            most = fleet.most_in_window(port)
            assert most <= fleet.allowed(port), (boxes, per_s, port, most)


def test_where_others_are_free_callers_do_not_notice():
    fleet = LimitingFleet(targets=4, boxes=3)
    fleet.ask_often(per_s=20, for_s=4.0)
    busiest = max(fleet.engines, key=fleet.requests_at)
    fleet.name_rate(busiest, 1.0)
    callers = fleet.ask_often(per_s=20, for_s=15.0)
    fleet.play(2.0)
    assert fleet.most_in_window(busiest) <= fleet.allowed(busiest)
    assert {caller.status for caller in callers} == {200}


def test_reports_leave_most_of_a_rate_to_callers():
    fleet = LimitingFleet(targets=1, boxes=3)
    fleet.name_rate(LIMITED, 1.0)
    fleet.play(12.0)
    late = [a for a in fleet.arrivals if is_report(a) and a.at_s >= fleet.net.seconds() - 8.0]
    assert len(late) <= 3
