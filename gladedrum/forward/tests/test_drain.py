"""A planned stop cuts no answer."""

import pytest

from gladedrum.forward.drain import ACCEPT_ON_S, drain_callers
from gladedrum.forward.tests.support import KEY, World, answer
from gladedrum.platform import wire
from gladedrum.utils import start


def stop(world: World):
    ended = []
    world.accepting = True
    draining = drain_callers(
        world.net, world.factory, lambda: setattr(world, "accepting", False), 8.0
    )
    start(draining).addCallback(lambda _none: ended.append(1))
    return ended


def test_the_last_bytes_of_an_answer_are_written_before_the_process_ends():
    """Found by a hunt: the process ended when the last request had, with its bytes unsent."""
    world = World(time_limit_s=30.0)
    caller = world.caller()
    unsent = []
    caller.wire.loseConnection = lambda: unsent.append(1)  # closes only once all is written
    caller.ask(b"body")
    ended = stop(world)
    world.run(4.0)
    world.attempt().reply(answer())
    world.run(0.5)
    assert unsent
    assert not ended
    caller.leave()
    world.run(0.1)
    assert ended


def test_a_kept_connection_is_told_to_close_with_its_next_answer():
    world = World()
    caller = world.caller()
    ended = stop(world)
    caller.ask(b"body")
    world.attempt().reply(answer())
    assert b"connection: close" in caller.got.lower()
    assert caller.wire.closed
    world.run(ACCEPT_ON_S + 0.1)
    assert ended


def test_idle_connections_are_closed_once_the_balancer_has_turned_away():
    world = World()
    caller = world.caller()
    stop(world)
    world.run(ACCEPT_ON_S - 0.2)
    assert not caller.wire.closed
    world.run(0.3)
    assert caller.wire.closed


def test_no_request_is_taken_that_might_not_be_answered_before_the_end():
    """Found by a hunt: a request taken 4.9 s after the signal was cut 7.4 s after it."""
    world = World(time_limit_s=30.0)
    world.caller().ask(b"body")
    stop(world)
    world.run(ACCEPT_ON_S - 0.2)
    assert world.accepting
    world.run(0.3)
    assert not world.accepting


def test_a_stop_ends_before_the_process_would_be_killed():
    world = World(time_limit_s=30.0)
    world.caller().ask(b"body")
    ended = stop(world)
    world.run(7.5)
    assert ended


def test_a_connection_carries_one_request_where_callers_are_not_kept():
    world = World()
    world.factory.keep = False
    caller = world.caller()
    caller.ask(b"body")
    world.attempt().reply(answer())
    assert b"connection: close" in caller.got.lower()
    assert caller.wire.closed == "closed"


@pytest.mark.parametrize("cut", [30, -2], ids=["within the head", "within the body"])
def test_a_request_that_is_half_read_when_idle_connections_are_closed_is_served(cut):
    """The rest of such a request was thrown away, and its caller heard nothing."""
    world = World(time_limit_s=30.0)
    caller = world.caller()
    stop(world)
    world.run(ACCEPT_ON_S - 0.1)
    request = (
        b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n%s: id-1\r\n"
        b"%s: Bearer %s\r\n\r\nbody" % (wire.REQUEST_ID, wire.AUTHORIZATION, KEY.encode())
    )
    caller.send(request[:cut])
    world.run(0.2)
    caller.send(request[cut:])
    world.attempt().reply(answer())
    assert caller.status == 200
    assert caller.wire.closed
