"""Targets that say in their answers that they leave, while the store is silent.

Seen: a plain target had said so, and got requests 2.2 to 4.2 s later from the very boxes that had
passed such answers on; the store could not be read, so the list of targets showed it as ready.
Cause: nothing read the statement. Boxes knew of leaving from the list alone, and what a target says
of itself ended with the answer that said it. Here the target that is used most gets over a hundred
requests later than 2 s after its box was told, with engines and plain services, by one box and six.
"""

import itertools

from gladedrum.forward.tests.saying import PlainFleet, SayingFleet


def test_one_that_said_so_gets_no_request_later():
    for make, boxes in itertools.product((SayingFleet, PlainFleet), (1, 3, 6)):
        fleet = make(targets=4, boxes=boxes)
        fleet.ask_often(per_s=20, for_s=3.0)
        port = fleet.busiest()
        fleet.leave(port)
        callers = fleet.ask_often(per_s=20, for_s=8.0)
        fleet.play(1.0)
        assert fleet.told_leaving
        assert fleet.late_at(port) == [], (make, boxes)
        assert {caller.status for caller in callers} == {200}, (make, boxes)


def test_all_boxes_know_soon_after_one_was_told():
    for boxes in (3, 6, 14):
        fleet = SayingFleet(targets=4, boxes=boxes)
        fleet.ask_often(per_s=20, for_s=3.0)
        port = fleet.busiest()
        fleet.leave(port)
        while not fleet.told_leaving:
            fleet.ask_often(per_s=20, for_s=0.1)
        known_s = fleet.net.seconds() + 0.1
        fleet.ask_often(per_s=20, for_s=4.0)
        assert fleet.came(port, known_s) == [], boxes


def test_where_all_leave_callers_are_refused_at_once_as_not_run():
    for make in (SayingFleet, PlainFleet):
        fleet = make(targets=2, boxes=3)
        for port in fleet.engines:
            fleet.leave(port)
        fleet.ask_often(per_s=20, for_s=2.0)
        fleet.play(1.0)
        sent = len(fleet.sent)
        caller = fleet.ask(b"late", "box2")
        assert caller.status == 503
        assert float(_header(caller, b"retry-after")) >= 1.0
        fleet.ask_often(per_s=20, for_s=3.0)
        assert len(fleet.sent) == sent
        assert [late for port in fleet.engines for late in fleet.late_at(port)] == []


def test_what_a_report_says_counts_too():
    fleet = SayingFleet(targets=2, boxes=3)
    port = min(fleet.engines)
    fleet.leave(port)
    fleet.play(1.0)
    from_s = fleet.net.seconds()
    fleet.ask_often(per_s=20, for_s=3.0)
    assert fleet.came(port, from_s) == []


def test_streams_that_run_there_go_on_to_their_end():
    fleet = SayingFleet(targets=1, boxes=1)
    caller = fleet.ask(b"begun")
    fleet.play(0.08)
    fleet.leave(min(fleet.engines))
    fleet.play(1.0)
    assert b"data: e5" in caller.got
    assert fleet.ask(b"new").status == 503


def test_a_later_start_under_the_same_name_gets_requests_again():
    fleet = SayingFleet(targets=1, boxes=3)
    engine = next(iter(fleet.engines.values()))
    fleet.leave(engine.port)
    fleet.play(2.0)
    assert fleet.ask(b"early", "box2").status == 503
    del fleet.leaving[engine.port]
    fleet.end(engine)
    fleet.play(5.0)
    callers = [fleet.ask(b"again", box) for box in fleet.boxes]
    fleet.play(1.0)
    assert [caller.status for caller in callers] == [200, 200, 200]


def test_another_word_in_its_place_says_nothing():
    fleet = SayingFleet(targets=1, boxes=1)
    fleet.leave(min(fleet.engines), b"0")
    callers = fleet.ask_often(per_s=10, for_s=4.0)
    fleet.play(1.0)
    assert {caller.status for caller in callers} == {200}


def _header(caller, name: bytes) -> bytes:
    head, _, _ = caller.got.partition(b"\r\n\r\n")
    return dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])[name]
