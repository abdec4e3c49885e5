"""A box whose process was stopped for a while, or got no processor time, and finds its timers due.

What has arrived meanwhile is read after the timers have run.
"""

from gladedrum.forward.tests.support import World, answer, chunk, event, stream_head

STOPPED_S = 2.0


# Guards against counting the box's own stop as an overdue answer of its target, on all boxes.
def test_an_answer_that_waits_to_be_read_is_not_overdue():
    world = World(targets=3, objective_s=0.2)
    world.caller().send_request(b"body")
    side = world.attempt()
    world.net.advance(STOPPED_S)
    side.reply(answer())
    world.run(0.5)
    assert not any(world.view.state(name).distrust for name in ("t1", "t2", "t3"))


# Guards against a retry for a stream whose events wait to be read.
def test_a_stream_whose_events_wait_to_be_read_is_not_hedged():
    world = World(
        targets=2, streaming=True, resumable=True, max_targets=2, objective_s=0.5,
        pause_objective_s=0.2,
    )  # fmt: skip
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head() + chunk(event(1)))
    world.net.advance(STOPPED_S)
    side.reply(chunk(event(2)) + chunk(b""))
    world.run(0.5)
    assert len(world.net.opened) == 1
    assert caller.received.endswith(chunk(event(2)) + chunk(b""))


# Guards against overlooking a target that hangs, because the box was stopped once.
def test_a_target_that_hangs_is_overdue_all_the_same():
    world = World(targets=3, objective_s=0.2)
    world.caller().send_request(b"body")
    side = world.attempt()
    world.net.advance(STOPPED_S)
    world.run(0.5)
    name = f"t{side.address[1] - 9000}"
    assert world.view.state(name).distrust > 0
