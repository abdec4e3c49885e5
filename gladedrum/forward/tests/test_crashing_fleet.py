"""Requests that crash engines, in a fleet of boxes: counting, refusal, and sparing the innocent.

Guards against deadly requests that are retried at other boxes, and against condemning requests that
only shared an engine with one. See `test_crashing_request` for a single box.
"""

import random

import pytest

from gladedrum.fleet import TargetReport
from gladedrum.forward.tests.crashing_fleet import RESTART_DELAY_S, CrashingFleet
from gladedrum.forward.tests.support import World, answer
from gladedrum.forward.tests.test_reservations import (
    grant_all,
    long_world,
    requests,
    reservation_calls,
)
from gladedrum.outcome import Completed, NotRun
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.platform import wire
from gladedrum.scheduling.suspects import LossVerdict, Standing, TargetStart


def standings(fleet, body=b"deadly"):
    digests = {box.digest_of(body) for box in fleet.boxes.values()}
    (digest,) = digests
    return [box.ctx.suspicion.standing(digest) for box in fleet.boxes.values()]


def condemn(fleet, body=b"deadly"):
    for _ in range(4):
        fleet.send_request(body)
        fleet.advance(0.5)
    assert set(standings(fleet, body)) == {Standing.CONDEMNED}


def test_every_box_refuses_a_condemned_request_at_once_as_not_run():
    fleet = CrashingFleet(boxes=3)
    condemn(fleet)
    sent = len(fleet.sent)
    for name, box in fleet.boxes.items():
        caller = fleet.send_request(b"deadly", name)
        assert caller.status == 503
        assert isinstance(box.outcomes[-1], NotRun)
        assert float(caller.received.lower().split(b"retry-after: ")[1].split(b"\r\n")[0]) > 100
    assert len(fleet.sent) == sent


def test_a_higher_request_rate_crashes_no_further_engines():
    fleet = CrashingFleet(boxes=3)
    for index in range(100):
        fleet.send_request(b"deadly", f"box{index % 3 + 1}")
        fleet.advance(0.05)
    assert len(fleet.crashes) <= 4
    assert fleet.sent_after(b"deadly", fleet.crash_times_of(b"deadly")[2] + 0.2) == 0


def test_same_body_from_another_organisation_or_path_is_a_different_request():
    fleet = CrashingFleet(keys=("k1", "k2"))
    fleet.boxes["box1"].configuration.in_force.organisations["k2"] = fleet.other_organisation
    condemn(fleet)
    fleet.deadly.clear()
    fleet.advance(RESTART_DELAY_S)
    for key, path in (("k2", b"/x/2f"), ("k1", b"/x/other")):
        caller = fleet.send_request(b"deadly", key=key, path=path)
        fleet.advance(1.0)
        assert caller.status == 200, (key, path)


def test_concurrent_copies_at_several_boxes_share_one_crash_limit():
    fleet = CrashingFleet(targets=16, boxes=6)
    for _ in range(6):
        for name in fleet.boxes:
            fleet.send_request(b"deadly", name)
        fleet.advance(0.5)
    assert len(fleet.crashes) <= 6
    assert fleet.sent_after(b"deadly", fleet.crash_times_of(b"deadly")[2] + 0.5) == 0


@pytest.mark.parametrize("seed", range(3))
def test_all_boxes_condemn_in_time_with_one_datagram_in_ten_lost(seed):
    fleet, rng = CrashingFleet(boxes=5), random.Random(seed)
    fleet.is_lost = lambda _sender, _receiver: rng.random() < 0.1
    for index in range(4):
        fleet.send_request(b"deadly", f"box{index + 1}")
        fleet.advance(0.5)
    fleet.advance(fleet.crash_times_of(b"deadly")[2] + 3.0 - fleet.net.seconds())
    assert set(standings(fleet)) == {Standing.CONDEMNED}


def test_a_loss_is_reported_even_if_the_box_dies_right_after_it():
    fleet = CrashingFleet(boxes=3)
    caller = fleet.send_request(b"deadly", "box1")
    fleet.advance(0.13)
    assert len(fleet.crashes) == 1
    caller.disconnect()
    del fleet.boxes["box1"]
    fleet.advance(0.5)
    assert set(standings(fleet)) == {Standing.WATCHED}
    for name in ("box2", "box3", "box2"):
        fleet.send_request(b"deadly", name)
        fleet.advance(0.6)
    assert len(fleet.crashes) == 3
    assert set(standings(fleet)) == {Standing.CONDEMNED}


@pytest.mark.parametrize("seed", range(4))
def test_requests_on_a_crashed_engine_are_not_condemned(seed):
    """Each crash also breaks the other streams on the engine."""
    fleet, rng = CrashingFleet(targets=6, boxes=2), random.Random(seed)
    bodies = [b"good%d" % index for index in range(160)]
    for index, body in enumerate(bodies):
        fleet.send_request(body, f"box{rng.randrange(2) + 1}")
        if index % 12 == 6:
            fleet.send_request(b"deadly", f"box{rng.randrange(2) + 1}")
        fleet.advance(0.02)
    fleet.advance(4.0)
    known = {row.digest for box in fleet.boxes.values() for row in box.ctx.suspicion.condemned()}
    assert known == {fleet.boxes["box1"].digest_of(b"deadly")}
    assert len(fleet.crash_times_of(b"deadly")) <= 4


@pytest.mark.parametrize("seed", range(3))
def test_two_concurrent_deadly_requests_are_both_condemned(seed):
    fleet = CrashingFleet(targets=12, deadly=(b"deadly", b"fatal"), boxes=3)
    rng = random.Random(seed)
    for _ in range(20):
        for body in (b"deadly", b"fatal", b"good%d" % rng.randrange(1000)):
            fleet.send_request(body, f"box{rng.randrange(3) + 1}")
            fleet.advance(0.05)
        fleet.advance(0.2)
    assert set(standings(fleet, b"deadly")) == set(standings(fleet, b"fatal"))
    for body in (b"deadly", b"fatal"):
        third_s = fleet.crash_times_of(body)[2]
        assert fleet.sent_after(body, third_s + 3.0) <= 3


def test_an_innocent_suspect_runs_alone_and_is_cleared():
    fleet = CrashingFleet(targets=6, max_targets=4)
    fleet.send_request(b"innocent")
    for _ in range(2):
        fleet.advance(0.05)
        fleet.crash(next(engine for engine in fleet.engines.values() if engine.runs))
        fleet.advance(0.02)
    assert standings(fleet, b"innocent") == [Standing.ALONE]
    fleet.send_request(b"other")
    fleet.advance(0.1)
    assert {len(engine.runs) for engine in fleet.engines.values()} == {0, 1}
    fleet.advance(3.0)
    assert standings(fleet, b"innocent") == [Standing.CLEAR]
    assert fleet.boxes["box1"].outcomes == [Completed(), Completed()]


def test_connection_resets_do_not_count_as_crashes():
    fleet = CrashingFleet(targets=6, deadly=())
    for _ in range(6):
        fleet.send_request(b"same")
        fleet.advance(0.05)
        for side in fleet.net.opened:
            if not side.closed:
                side.disconnect()
        fleet.advance(2.0)
    assert standings(fleet, b"same") == [Standing.CLEAR]
    fleet.send_request(b"same")
    fleet.advance(1.0)
    assert fleet.boxes["box1"].outcomes[-1] == Completed()


def test_an_operator_can_lift_a_condemnation():
    fleet = CrashingFleet(boxes=2)
    condemn(fleet)
    (row,) = fleet.boxes["box1"].ctx.suspicion.condemned()
    assert (row.route, row.organisation) == ("r", "org")
    assert len(row.starts) == 3
    fleet.advance(RESTART_DELAY_S)
    assert fleet.boxes["box1"].ctx.suspicion.lift(row.digest)
    fleet.advance(0.1)
    assert set(standings(fleet)) == {Standing.CLEAR}
    fleet.deadly.clear()
    caller = fleet.send_request(b"deadly", "box2")
    fleet.advance(1.0)
    assert caller.status == 200


def test_no_digest_is_computed_without_suspects():
    fleet = CrashingFleet(deadly=())
    fleet.send_request(b"good")
    fleet.advance(1.0)
    (task,) = fleet.boxes["box1"].tasks
    assert "_digest" not in vars(task)


def test_an_orphaned_placement_blocks_a_suspect_only_briefly():
    fleet = CrashingFleet(targets=6, deadly=(), boxes=2)
    box = fleet.boxes["box2"]
    digest = box.digest_of(b"same")
    for target in ("t1", "t2"):
        box.ctx.suspicion.note_lost(digest, [target], "r", "org")
        box.view.suspects.note_ended(TargetStart(target, 1000), fleet.net.seconds())
    plan = WorkPlan("gone_1", ("t3",), digest=digest, alone=True)
    box.view.note_placed(plan, fleet.net.seconds())
    assert fleet.send_request(b"same", "box2").received == b""
    fleet.advance(0.3)
    assert box.outcomes[-1].reason.startswith("another run of it")
    fleet.advance(5.0)
    caller = fleet.send_request(b"same", "box2")
    fleet.advance(1.0)
    assert caller.status == 200


def lose_plain_request(world, crashes):
    """Break a plain request's connection, optionally crash its target; return the port."""
    caller = world.caller()
    caller.send_request(b"same")
    side = world.attempt()
    side.disconnect()
    if crashes:
        world.net.refusing.add(side.address[1])
    return side.address[1]


def test_a_crash_of_a_plain_target_is_detected_by_connecting():
    world = World(targets=4)
    lost = {lose_plain_request(world, crashes=True) for _ in range(3)}
    assert len(lost) == 3
    assert world.ctx.suspicion.standing(world.digest_of(b"same")) is Standing.HELD
    world.run(1.5)
    assert world.ctx.suspicion.standing(world.digest_of(b"same")) is Standing.CONDEMNED


def test_a_plain_target_that_drops_connections_but_accepts_new_ones_has_not_crashed():
    world = World(targets=4)
    for _ in range(3):
        lose_plain_request(world, crashes=False)
    world.run(1.5)
    assert world.ctx.suspicion.standing(world.digest_of(b"same")) is Standing.CLEAR
    caller = world.caller()
    caller.send_request(b"same")
    world.attempt().reply(answer())
    assert caller.status == 200


def test_a_helper_crash_counts_against_the_request_it_helped():
    world = long_world()
    reports = {name: TargetReport(0, 0, 0, 232_000, 1.0, (), 7) for name in world.targets.entries}
    for name, report in reports.items():
        world.view.note_report(name, report, world.net.seconds())
    caller = world.caller()
    caller.send_request(b"body", extra=b"x-gladedrum-token-usage: 300000,100\r\n")
    world.run()
    grant_all(world)
    (side,) = requests(world)
    helper = next(address for op, _, address, _ in reservation_calls(world) if op == "reserve")
    fault = b"%s: %s:%d\r\n%s: 1\r\n" % (wire.AT_FAULT, helper[0].encode(), helper[1], wire.NOT_RUN)
    side.reply(answer(503, b"no", extra=fault))
    (loss,) = world.view.suspects.losses()
    assert loss.start == TargetStart(f"t{helper[1] - 9000}", 7)
    world.view.note_refused(loss.start.name, "peer", world.net.seconds())
    assert loss.verdict is LossVerdict.ENDED
