"""Attempts for which no connection could be opened: no target has received anything."""

from gladedrum.forward.tests.support import World, answer


def retries_taken(world):
    return world.ctx.metrics.repeats.labels("sent")._value.get()


# Guards against a retry budget that is used up by attempts that no target has received.
def test_attempts_that_were_not_sent_take_no_retry():
    world = World(targets=3)
    world.retry_shares.set_budget(0.0, 1.0, 10.0)
    world.net.refusing = {9001, 9002, 9003}
    callers = [world.caller() for _ in range(5)]
    for caller in callers:
        caller.send_request(b"body")
        world.run(0.1)
    assert [caller.status for caller in callers] == [503] * 5
    assert b"used up" not in b"".join(caller.received for caller in callers)
    assert not retries_taken(world)
    world.net.refusing = set()
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(answer())
    assert caller.status == 200


# Guards against a retry that is free because the attempt after it was not sent.
def test_an_attempt_after_one_that_was_sent_takes_a_retry():
    world = World(targets=2, repeatable=True, max_targets=2)
    world.caller().send_request(b"body")
    side = world.attempt()
    world.net.refusing = {9001, 9002} - {side.address[1]}
    side.disconnect()
    world.run(0.1)
    assert world.ctx.metrics.repeats.labels("over budget")._value.get() == 0
    world.net.refusing = set()
    world.run(0.5)
    assert retries_taken(world) == 1
