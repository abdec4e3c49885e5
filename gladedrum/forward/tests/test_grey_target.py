"""Grey failure: a plain target that accepts requests but does not answer some of them.

Guards against sending further requests to such a target before the first ones time out.
"""

import pytest

from gladedrum.forward.tests.support import World, answer

OBJECTIVE_S = 0.2


def plain_world(**route):
    return World(**{"targets": 3, "time_limit_s": 1.2, "objective_s": OBJECTIVE_S, **route})


def name_of(side):
    return f"t{side.address[1] - 9000}"


def serve(world, hanging, requests=30, pause_s=0.1):
    """Send requests in turn; return how many went to the hanging targets."""
    hung = 0
    for _ in range(requests):
        world.caller().send_request(b"body")
        side = world.attempt()
        if name_of(side) in hanging:
            hung += 1
        else:
            world.run(0.03)
            side.reply(answer())
        world.run(pause_s)
    return hung


def test_a_hanging_target_is_avoided_before_its_first_request_times_out():
    world = plain_world()
    assert serve(world, {"t1"}, requests=60) <= 3


def test_two_hanging_targets_of_three_are_avoided():
    world = plain_world()
    assert serve(world, {"t1", "t2"}, requests=30) <= 4


def test_an_overdue_request_is_not_abandoned():
    world = plain_world()
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    world.run(1.0)
    assert not side.closed
    side.reply(answer())
    assert caller.status == 200


def test_a_target_that_answers_in_time_is_not_distrusted():
    world = plain_world()
    serve(world, (), requests=9)
    now_s = world.net.seconds()
    assert not any(world.view.state(name).distrust_at(now_s) for name in world.targets.entries)


@pytest.mark.parametrize("took_s", [0.25, 0.6, 1.0])
def test_a_late_answer_reduces_distrust(took_s):
    world = plain_world()
    world.caller().send_request(b"body")
    side = world.attempt()
    world.run(took_s)
    now_s = world.net.seconds()
    overdue = world.view.state(name_of(side)).distrust_at(now_s)
    side.reply(answer())
    assert 0 < world.view.state(name_of(side)).distrust_at(now_s) < overdue


def test_peers_learn_of_an_overdue_request():
    world = plain_world()
    notes = []
    world.ctx.port.broadcast_work = notes.append
    world.caller().send_request(b"body")
    side = world.attempt()
    world.run(0.3)
    peer = plain_world()
    for note in notes:
        peer.view._apply_work_note(note, "peer", 1.0)
    assert peer.view.state(name_of(side)).distrust_at(1.0) > 0
    assert peer.view.state(name_of(side)).ledger.rows


def test_an_overdue_stream_does_not_cause_distrust():
    world = plain_world(streaming=True, resumable=True, max_targets=2)
    world.caller().send_request(b"body")
    side = world.attempt()
    world.run(0.3)
    assert not world.view.state(name_of(side)).distrust_at(world.net.seconds())
