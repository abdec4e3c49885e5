"""Connections to targets are kept only in a state in which the next answer can be read."""

from gladedrum.connections.target_pool import KEPT_A_TARGET
from gladedrum.forward.tests.support import World, answer, chunk, event, stream_head


def stream_world():
    return World(
        targets=1, streaming=True, resumable=True, max_targets=2, objective_s=0.5,
        pause_objective_s=0.2,
    )  # fmt: skip


def test_a_connection_paused_for_a_slow_caller_is_read_again_by_the_next_request():
    """The end of an answer came in the bytes that made its caller's buffer full: the connection
    was kept while its reading was stopped, and the next answer on it was never read."""
    world = stream_world()
    slow = world.caller()
    slow.ask(b"body")
    side = world.attempt()
    slow.wire.write = lambda _data: slow.proto.pauseProducing()
    side.reply(stream_head() + chunk(event(1)) + chunk(b""))
    other = world.caller()
    other.ask(b"body")
    assert len(world.net.opened) == 1
    assert side.wire.producerState == "producing"


def test_what_is_under_way_outlives_its_targets_entry_and_a_full_pool():
    """Only idle connections are closed when a target leaves the list, or too many are kept."""
    world = stream_world()
    caller = world.caller()
    caller.ask(b"body")
    side = world.attempt()
    side.reply(stream_head() + chunk(event(1)))
    world.ctx.pool.forget_place(side.place)
    others = [world.caller() for _ in range(KEPT_A_TARGET + 2)]
    for other in others:
        other.ask(b"body")
    for used in world.net.opened[1:]:
        used.reply(answer())
    world.list_targets(1, leaving=("t1",))
    world.ctx.pool.forget_place(side.place)
    assert not side.closed
    side.reply(chunk(event(2)) + chunk(b""))
    assert caller.got.endswith(chunk(event(2)) + chunk(b""))
