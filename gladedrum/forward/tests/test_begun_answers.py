"""Plain answers that have begun are not hedged, whatever shows that their target may be gone.

Guards against the answer of a second target that is written behind the part of the first one's,
with the first one's head and signature.
"""

import pytest

from gladedrum.forward.tests.support import World, answer, chunk, stream_head
from gladedrum.outcome import Completed
from gladedrum.placing.fleet_view import START_KNOWN_WITHIN_S
from gladedrum.platform import wire

PART = b"x" * 300_000


def link_falls_silent(world):
    world.ctx.pool.paths.is_silent = lambda _entry: True
    for task in world.tasks:
        task.on_link_silent()


def target_restarts(world):
    world.run(START_KNOWN_WITHIN_S + 0.1)
    for name in world.targets.entries:
        for task in world.tasks:
            task.on_target_restarted(name)


def caller_pauses(world):
    for task in world.tasks:
        task.set_reading(False)
    world.run(0.2)
    for task in world.tasks:
        task.set_reading(True)


TRIGGERS = [link_falls_silent, target_restarts, caller_pauses]


def begin_long_answer(framing):
    """Send a request whose answer has begun; return its world, caller and target."""
    world = World(targets=3, repeatable=True, max_targets=2)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    if framing == "chunks":
        side.reply(stream_head() + chunk(PART))
    else:
        side.reply(stream_head(b"Content-Length: 600000\r\n") + PART)
    assert b"x" in caller.received
    return world, caller, side


@pytest.mark.parametrize("framing", ["chunks", "length"])
@pytest.mark.parametrize("trigger", TRIGGERS)
def test_a_begun_answer_is_not_hedged(trigger, framing):
    world, caller, side = begin_long_answer(framing)
    trigger(world)
    for _ in range(10):
        world.run(0.2)
        for other in world.net.opened[1:]:
            if other.sent and not other.closed:
                other.reply(answer(body=b"second"))
    assert len(world.net.opened) == 1
    side.reply(chunk(PART) + chunk(b"") if framing == "chunks" else PART)
    assert world.outcomes == [Completed()]
    assert caller.received.count(b"x" * 300_000) == 2
    assert b"second" not in caller.received


# Guards against a hedge that was being prepared as the answer began.
@pytest.mark.parametrize("trigger", [link_falls_silent, target_restarts])
def test_a_hedge_that_is_found_after_the_answer_began_is_not_sent(trigger):
    world = World(targets=3, repeatable=True, max_targets=2)
    world.net.connect_delay_s = 0.0
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    world.net.connect_delay_s = 0.5
    trigger(world)
    side.reply(stream_head() + chunk(PART))
    trigger(world)
    world.run(1.0)
    sent = [other for other in world.net.opened[1:] if wire.REQUEST_ID in other.sent]
    assert not [other for other in sent if not other.closed]
    side.reply(chunk(PART) + chunk(b""))
    assert caller.received.count(b"x" * 300_000) == 2
