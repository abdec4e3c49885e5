"""Targets that refuse a request and ask its box for a backoff (503 with Retry-After).

Guards against sending to such a target before the backoff is over, also when no other is available.
"""

import itertools

from gladedrum.forward.tests.statement_fleet import MAX_DURING_BACKOFF, PlainFleet, StatementFleet

BACKOFF_S = 3.0


def test_a_box_honours_the_requested_backoff():
    for make, targets, boxes in itertools.product((StatementFleet, PlainFleet), (1, 4), (1, 3, 6)):
        fleet = make(targets=targets, boxes=boxes)
        for port in fleet.engines:
            fleet.refuse_with_backoff(port, b"3")
        fleet.send_random_requests(per_s=30, for_s=8.0)
        assert fleet.backoffs
        assert fleet.most_during_backoff() <= MAX_DURING_BACKOFF, (
            make,
            targets,
            boxes,
            fleet.most_during_backoff(),
        )


def test_nine_of_eighteen_engines_get_their_backoff():
    fleet = StatementFleet(targets=18, boxes=6)
    for port in sorted(fleet.engines)[:9]:
        fleet.refuse_with_backoff(port, b"3")
    callers = fleet.send_random_requests(per_s=60, for_s=8.0)
    fleet.advance(1.0)
    assert fleet.most_during_backoff() <= MAX_DURING_BACKOFF
    assert {caller.status for caller in callers} == {200}


def test_callers_get_the_remaining_backoff_when_all_targets_request_one():
    for make in (StatementFleet, PlainFleet):
        fleet = make(targets=2, boxes=1)
        for port in fleet.engines:
            fleet.refuse_with_backoff(port, b"4")
        fleet.send_random_requests(per_s=20, for_s=1.0)
        left_s = min(backoff.to_s for backoff in fleet.backoffs) - fleet.net.seconds()
        sent = len(fleet.arrivals)
        caller = fleet.send_request(b"late")
        assert caller.status == 503
        assert left_s - 0.05 <= _retry_after_s(caller) <= 1.5 * left_s + 0.05
        assert len(fleet.arrivals) == sent


def test_a_target_is_used_again_after_its_backoff():
    fleet = StatementFleet(targets=1, boxes=3)
    port = min(fleet.engines)
    fleet.refuse_with_backoff(port, b"3")
    fleet.send_random_requests(per_s=20, for_s=1.0)
    fleet.stop_refusing(port)
    fleet.advance(BACKOFF_S)
    callers = fleet.send_random_requests(per_s=20, for_s=2.0)
    fleet.advance(1.0)
    assert {caller.status for caller in callers} == {200}


def test_a_backoff_applies_only_to_the_box_that_was_refused():
    fleet = StatementFleet(targets=1, boxes=3)
    port = min(fleet.engines)
    fleet.refuse_with_backoff(port, b"10", boxes=("box1",))
    fleet.send_random_requests(per_s=20, for_s=1.0)
    asked_s = fleet.net.seconds()
    others = [fleet.send_request(b"q", box) for box in ("box2", "box3")]
    fleet.advance(1.0)
    assert [caller.status for caller in others] == [200, 200]
    assert fleet.requests_received(port, asked_s, "box1") == []


def test_coordinators_exclude_targets_that_the_asking_box_backs_off_from():
    fleet = StatementFleet(targets=4, boxes=16)
    members = fleet.boxes["box1"].coordinators.members()
    outside = next(name for name in fleet.boxes if name not in members)
    for port in fleet.engines:
        fleet.refuse_with_backoff(port, b"6", boxes=(outside,))
    while {backoff.port for backoff in fleet.backoffs} != set(fleet.engines):
        fleet.send_request(b"q", outside)
        fleet.advance(0.5)
    callers = [fleet.send_request(b"late", outside)]
    for _ in range(5):
        fleet.advance(0.4)
        callers.append(fleet.send_request(b"late", outside))
    fleet.advance(0.3)
    assert {caller.status for caller in callers} == {503}
    assert fleet.most_during_backoff() <= MAX_DURING_BACKOFF


def test_another_box_reads_reports_during_a_backoff():
    fleet = StatementFleet(targets=1, boxes=3)
    port = min(fleet.engines)
    reader = next(a.box for a in reversed(fleet.arrivals))
    fleet.refuse_with_backoff(port, b"6", boxes=(reader,))
    fleet.send_request(b"q", reader)
    fleet.advance(5.0)
    assert fleet.most_during_backoff() == 0
    ages_s = [fleet.net.seconds() - box.view.state("t1").reported_s for box in fleet.boxes.values()]
    assert max(ages_s) <= 2.0


def test_invalid_retry_after_values_are_ignored():
    for text in (b"soon", b"-3", b"nan", b"Wed, 21 Oct 2026 07:28:00 GMT"):
        fleet = StatementFleet(targets=1, boxes=1)
        port = min(fleet.engines)
        fleet.refuse_with_backoff(port, text)
        fleet.send_random_requests(per_s=20, for_s=0.5)
        fleet.stop_refusing(port)
        callers = fleet.send_random_requests(per_s=20, for_s=2.0)
        fleet.advance(1.0)
        assert callers[-1].status == 200


def _retry_after_s(caller) -> float:
    head, _, _ = caller.received.partition(b"\r\n\r\n")
    return float(
        dict(line.lower().split(b": ") for line in head.split(b"\r\n")[1:])[b"retry-after"]
    )
