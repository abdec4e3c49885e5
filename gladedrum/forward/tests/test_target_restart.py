"""Requests and reservations on an engine that restarts.

Guards against waiting for a stream whose engine crashed without a connection reset, and against
renewing or releasing memory at a process that has never reserved it.
"""

from gladedrum.fleet import TargetReport
from gladedrum.forward.tests.support import World, answer, chunk, event, stream_head
from gladedrum.forward.tests.test_reservations import (
    grant_all,
    long_world,
    requests,
    reservation_calls,
)

OLD, NEW = 1_000_000, 1_004_000


def report_start(world, generation, *names):
    for name in names or world.targets.entries:
        report = TargetReport(0, 0, 0, 232_000, 1.0, (), generation)
        world.view.note_report(name, report, world.net.seconds())
    world.run()


def target_name(side):
    return f"t{side.address[1] - 9000}"


def stream_world(**route):
    fields = {"streaming": True, "resumable": True, "max_targets": 2, "pause_objective_s": 0.25}
    return World(**{**fields, **route})


def start_stream(world):
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head() + chunk(event(1)))
    return caller, side


def test_a_stream_is_resumed_elsewhere_after_its_engine_restarts():
    world = stream_world()
    report_start(world, OLD)
    caller, side = start_stream(world)
    world.run(1.2, step_s=0.1)
    side.reply(chunk(event(2)))
    world.run(0.1)
    report_start(world, NEW, target_name(side))
    world.run(0.05)
    other = world.attempt()
    assert other is not side
    assert b"ast-event-id: 2" in other.sent.lower()
    other.reply(stream_head(signature=b"seal-2") + chunk(event(3)) + chunk(b""))
    assert [caller.received.count(b"data: e%d" % n) for n in (1, 2, 3)] == [1, 1, 1]
    assert caller.received.endswith(b"0\r\n\r\n")


def test_a_stream_that_continues_after_a_reported_restart_is_kept():
    world = stream_world()
    report_start(world, OLD)
    world.retry_shares.set_budget(0.0, 0.0, 1.0)
    caller, side = start_stream(world)
    world.run(1.2, step_s=0.1)
    report_start(world, NEW, target_name(side))
    world.run(0.2)
    side.reply(chunk(event(2)) + chunk(b""))
    assert caller.received.endswith(b"0\r\n\r\n")


def test_a_stream_sent_just_before_a_reported_restart_is_not_moved():
    world = stream_world()
    report_start(world, OLD)
    _caller, side = start_stream(world)
    opened = len(world.net.opened)
    report_start(world, NEW, target_name(side))
    world.run(0.3)
    assert len(world.net.opened) == opened


def test_an_unrepeatable_request_waits_for_its_answer_after_a_restart():
    world = World()
    report_start(world, OLD)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    world.run(1.2, step_s=0.1)
    report_start(world, NEW, target_name(side))
    world.run(0.3)
    assert len(world.net.opened) == 1
    side.reply(answer())
    assert caller.status == 200


def test_memory_is_neither_renewed_nor_released_after_a_restart():
    world = long_world()
    report_start(world, OLD)
    caller = world.caller()
    caller.send_request(b"body", extra=b"x-gladedrum-token-usage: 300000,100\r\n")
    world.run()
    grant_all(world)
    assert requests(world)
    helper = next(address for op, _, address, _ in reservation_calls(world) if op == "reserve")
    world.run(1.1, step_s=0.1)
    before = len(reservation_calls(world))
    report_start(world, NEW, f"t{helper[1] - 9000}")
    world.run(4.0, step_s=0.1)
    caller.disconnect()
    world.run(1.0, step_s=0.1)
    assert [o for o in reservation_calls(world)[before:] if o[2] == helper] == []


def test_memory_reserved_by_a_not_yet_known_start_is_kept():
    """The start that holds the memory is the one in the engine's answer, even if not listed yet."""
    world = long_world()
    report_start(world, OLD)
    world.caller().send_request(b"body", extra=b"x-gladedrum-token-usage: 300000,100\r\n")
    world.run()
    for op, _name, _place, side in reservation_calls(world):
        assert op == "reserve"
        side.reply(answer(200, b'{"free":1,"born":%d}' % NEW, request_id=b""))
    world.run()
    assert requests(world)
    report_start(world, NEW)
    world.run(2.0, step_s=0.1)
    assert {op for op, *_ in reservation_calls(world)} == {"reserve"}


def test_memory_reserved_after_a_restart_by_a_renewal_is_released():
    world = long_world()
    report_start(world, OLD)
    world.caller().send_request(b"body", extra=b"x-gladedrum-token-usage: 300000,100\r\n")
    world.run()
    grant_all(world)
    helper = next(address for op, _, address, _ in reservation_calls(world) if op == "reserve")
    before = len(reservation_calls(world))
    for _ in range(30):
        world.run(0.1)
        for op, _name, address, side in reservation_calls(world)[before:]:
            if op == "reserve" and address == helper and not getattr(side, "renewed", False):
                side.renewed = True
                side.reply(answer(200, b'{"free":1,"born":%d}' % NEW, request_id=b""))
    after = [
        op for op, _name, address, _side in reservation_calls(world)[before:] if address == helper
    ]
    assert after[:2] == ["reserve", "release"]
    assert "reserve" not in after[2:]
