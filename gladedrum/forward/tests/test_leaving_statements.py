"""Targets that announce in their answers that they leave, while the store lists them as ready.

Guards against sending requests to such targets because only the list is consulted.
"""

import itertools

from gladedrum.forward.tests.statement_fleet import PlainFleet, StatementFleet


def test_a_leaving_target_gets_no_requests_after_the_bound():
    for make, boxes in itertools.product((StatementFleet, PlainFleet), (1, 3, 6)):
        fleet = make(targets=4, boxes=boxes)
        fleet.send_random_requests(per_s=20, for_s=3.0)
        port = fleet.busiest()
        fleet.announce_leaving(port)
        callers = fleet.send_random_requests(per_s=20, for_s=8.0)
        fleet.advance(1.0)
        assert fleet.leaving_announced_s
        assert fleet.late_requests(port) == [], (make, boxes)
        assert {caller.status for caller in callers} == {200}, (make, boxes)


def test_all_boxes_learn_soon_that_a_target_leaves():
    for boxes in (3, 6, 14):
        fleet = StatementFleet(targets=4, boxes=boxes)
        fleet.send_random_requests(per_s=20, for_s=3.0)
        port = fleet.busiest()
        fleet.announce_leaving(port)
        while not fleet.leaving_announced_s:
            fleet.send_random_requests(per_s=20, for_s=0.1)
        known_s = fleet.net.seconds() + 0.1
        fleet.send_random_requests(per_s=20, for_s=4.0)
        assert fleet.requests_received(port, known_s) == [], boxes


def test_callers_are_refused_at_once_when_all_targets_leave():
    for make in (StatementFleet, PlainFleet):
        fleet = make(targets=2, boxes=3)
        for port in fleet.engines:
            fleet.announce_leaving(port)
        fleet.send_random_requests(per_s=20, for_s=2.0)
        fleet.advance(1.0)
        sent = len(fleet.sent)
        caller = fleet.send_request(b"late", "box2")
        assert caller.status == 503
        assert float(_header(caller, b"retry-after")) >= 1.0
        fleet.send_random_requests(per_s=20, for_s=3.0)
        assert len(fleet.sent) == sent
        assert [late for port in fleet.engines for late in fleet.late_requests(port)] == []


def test_leaving_announced_in_a_report_counts():
    fleet = StatementFleet(targets=2, boxes=3)
    port = min(fleet.engines)
    fleet.announce_leaving(port)
    fleet.advance(1.0)
    from_s = fleet.net.seconds()
    fleet.send_random_requests(per_s=20, for_s=3.0)
    assert fleet.requests_received(port, from_s) == []


def test_running_streams_finish_on_a_leaving_target():
    fleet = StatementFleet(targets=1, boxes=1)
    caller = fleet.send_request(b"begun")
    fleet.advance(0.08)
    fleet.announce_leaving(min(fleet.engines))
    fleet.advance(1.0)
    assert b"data: e5" in caller.received
    assert fleet.send_request(b"new").status == 503


def test_a_restarted_target_gets_requests_again():
    fleet = StatementFleet(targets=1, boxes=3)
    engine = next(iter(fleet.engines.values()))
    fleet.announce_leaving(engine.port)
    fleet.advance(2.0)
    assert fleet.send_request(b"early", "box2").status == 503
    del fleet.leaving[engine.port]
    fleet.crash(engine)
    fleet.advance(5.0)
    callers = [fleet.send_request(b"again", box) for box in fleet.boxes]
    fleet.advance(1.0)
    assert [caller.status for caller in callers] == [200, 200, 200]


def test_other_values_of_the_leaving_header_are_ignored():
    fleet = StatementFleet(targets=1, boxes=1)
    fleet.announce_leaving(min(fleet.engines), b"0")
    callers = fleet.send_random_requests(per_s=10, for_s=4.0)
    fleet.advance(1.0)
    assert {caller.status for caller in callers} == {200}


def _header(caller, name: bytes) -> bytes:
    head, _, _ = caller.received.partition(b"\r\n\r\n")
    return dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])[name]
