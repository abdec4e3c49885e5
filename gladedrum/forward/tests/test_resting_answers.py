"""Targets that turn a request away and want rest from the box that sent it.

Seen: a plain target had turned a box away with 503 and had asked it for 3 s of rest; the box placed
the next request there 0.44 s later, and sent four in that time. Cause: nothing read for how long;
the refusal was a verdict of one request among others, which raised the distrust in the target below
the bound at which it is shunned, and faded by a time of its own. Where another target is free the
distrust mostly keeps the rest by luck; here a target that is the only one, or one of four that
all turn requests away, gets hundreds of requests of one box within one rest.
"""

import itertools

from gladedrum.forward.tests.saying import MOST_IN_REST, PlainFleet, SayingFleet

REST_S = 3.0


def test_a_box_leaves_one_alone_for_as_long_as_it_was_asked():
    for make, targets, boxes in itertools.product((SayingFleet, PlainFleet), (1, 4), (1, 3, 6)):
        fleet = make(targets=targets, boxes=boxes)
        for port in fleet.engines:
            fleet.turn_away(port, b"3")
        fleet.ask_often(per_s=30, for_s=8.0)
        assert fleet.rests
        assert fleet.most_in_rest() <= MOST_IN_REST, (make, targets, boxes, fleet.most_in_rest())


def test_half_of_eighteen_engines_that_want_rest_get_it():
    fleet = SayingFleet(targets=18, boxes=6)
    for port in sorted(fleet.engines)[:9]:
        fleet.turn_away(port, b"3")
    callers = fleet.ask_often(per_s=60, for_s=8.0)
    fleet.play(1.0)
    assert fleet.most_in_rest() <= MOST_IN_REST
    assert {caller.status for caller in callers} == {200}


def test_where_all_want_rest_callers_are_told_when_it_is_over():
    for make in (SayingFleet, PlainFleet):
        fleet = make(targets=2, boxes=1)
        for port in fleet.engines:
            fleet.turn_away(port, b"4")
        fleet.ask_often(per_s=20, for_s=1.0)
        left_s = min(rest.to_s for rest in fleet.rests) - fleet.net.seconds()
        sent = len(fleet.arrivals)
        caller = fleet.ask(b"late")
        assert caller.status == 503
        assert left_s - 0.05 <= _retry_after_s(caller) <= 1.5 * left_s + 0.05
        assert len(fleet.arrivals) == sent


def test_after_its_rest_it_is_used_again():
    fleet = SayingFleet(targets=1, boxes=3)
    port = min(fleet.engines)
    fleet.turn_away(port, b"3")
    fleet.ask_often(per_s=20, for_s=1.0)
    fleet.serve_again(port)
    fleet.play(REST_S)
    callers = fleet.ask_often(per_s=20, for_s=2.0)
    fleet.play(1.0)
    assert {caller.status for caller in callers} == {200}


def test_boxes_that_were_not_asked_go_on_sending():
    fleet = SayingFleet(targets=1, boxes=3)
    port = min(fleet.engines)
    fleet.turn_away(port, b"10", boxes=("box1",))
    fleet.ask_often(per_s=20, for_s=1.0)
    asked_s = fleet.net.seconds()
    others = [fleet.ask(b"q", box) for box in ("box2", "box3")]
    fleet.play(1.0)
    assert [caller.status for caller in others] == [200, 200]
    assert fleet.came(port, asked_s, "box1") == []


def test_boxes_that_decide_for_others_leave_out_what_rests_from_the_one_that_asks():
    fleet = SayingFleet(targets=4, boxes=16)
    members = fleet.boxes["box1"].circle.members()
    outside = next(name for name in fleet.boxes if name not in members)
    for port in fleet.engines:
        fleet.turn_away(port, b"6", boxes=(outside,))
    while {rest.port for rest in fleet.rests} != set(fleet.engines):
        fleet.ask(b"q", outside)
        fleet.play(0.5)
    callers = [fleet.ask(b"late", outside)]
    for _ in range(5):
        fleet.play(0.4)
        callers.append(fleet.ask(b"late", outside))
    fleet.play(0.3)
    assert {caller.status for caller in callers} == {503}
    assert fleet.most_in_rest() <= MOST_IN_REST


def test_another_box_reads_the_reports_meanwhile():
    fleet = SayingFleet(targets=1, boxes=3)
    port = min(fleet.engines)
    reader = next(a.box for a in reversed(fleet.arrivals))
    fleet.turn_away(port, b"6", boxes=(reader,))
    fleet.ask(b"q", reader)
    fleet.play(5.0)
    assert fleet.most_in_rest() == 0
    ages_s = [fleet.net.seconds() - box.view.state("t1").reported_s for box in fleet.boxes.values()]
    assert max(ages_s) <= 2.0


def test_what_is_no_number_of_seconds_asks_for_no_rest():
    for text in (b"soon", b"-3", b"nan", b"Wed, 21 Oct 2026 07:28:00 GMT"):
        fleet = SayingFleet(targets=1, boxes=1)
        port = min(fleet.engines)
        fleet.turn_away(port, text)
        fleet.ask_often(per_s=20, for_s=0.5)
        fleet.serve_again(port)
        callers = fleet.ask_often(per_s=20, for_s=2.0)
        fleet.play(1.0)
        assert callers[-1].status == 200


def _retry_after_s(caller) -> float:
    head, _, _ = caller.got.partition(b"\r\n\r\n")
    return float(
        dict(line.lower().split(b": ") for line in head.split(b"\r\n")[1:])[b"retry-after"]
    )
