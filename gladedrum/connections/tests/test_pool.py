"""Pooled connections to targets stay usable, and busy ones are not closed."""

from gladedrum.connections.target_pool import MAX_IDLE_PER_TARGET
from gladedrum.forward.tests.support import World, answer, chunk, event, stream_head


def stream_world():
    return World(
        targets=1, streaming=True, resumable=True, max_targets=2, objective_s=0.5,
        pause_objective_s=0.2,
    )  # fmt: skip


def test_connection_paused_for_a_slow_caller_is_resumed_for_the_next_request():
    """The last bytes of an answer may fill the caller's buffer and pause reading; a connection
    kept in this state would never deliver the next answer."""
    world = stream_world()
    slow = world.caller()
    slow.send_request(b"body")
    target_side = world.attempt()
    slow.transport.write = lambda _data: slow.proto.pauseProducing()
    target_side.reply(stream_head() + chunk(event(1)) + chunk(b""))
    other = world.caller()
    other.send_request(b"body")
    assert len(world.net.opened) == 1
    assert target_side.transport.producerState == "producing"


def test_busy_connection_stays_open_when_its_target_is_unlisted_or_the_pool_is_full():
    """Only idle connections are closed when a target leaves the list or the pool is full."""
    world = stream_world()
    caller = world.caller()
    caller.send_request(b"body")
    target_side = world.attempt()
    target_side.reply(stream_head() + chunk(event(1)))
    world.ctx.pool.close_idle_to(target_side.address)
    others = [world.caller() for _ in range(MAX_IDLE_PER_TARGET + 2)]
    for other in others:
        other.send_request(b"body")
    for other_side in world.net.opened[1:]:
        other_side.reply(answer())
    world.list_targets(1, leaving=("t1",))
    world.ctx.pool.close_idle_to(target_side.address)
    assert not target_side.closed
    target_side.reply(chunk(event(2)) + chunk(b""))
    assert caller.received.endswith(chunk(event(2)) + chunk(b""))
