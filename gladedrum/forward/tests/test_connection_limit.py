"""More connections of callers than a box can have."""

from gladedrum.forward.tests.support import World, answer

LIMIT = 4


def limited_world(**fields):
    world = World(time_limit_s=30.0, **fields)
    world.factory.connection_limit = LIMIT
    return world


# Guards against silent connections that take the descriptors of all others.
def test_connection_that_is_silent_for_longest_is_closed_for_a_new_one():
    world = limited_world()
    silent = []
    for _ in range(LIMIT):
        silent.append(world.caller())
        world.run(0.1)
    ordinary = world.caller()
    assert [bool(caller.transport.closed) for caller in silent] == [True, False, False, False]
    ordinary.send_request()
    world.attempt().reply(answer())
    assert ordinary.status == 200
    assert world.factory.refused_connections == 1


def test_request_that_has_begun_is_closed_and_one_that_is_handled_is_kept():
    world = limited_world(targets=LIMIT)
    handled = world.caller()
    handled.send_request()
    begun = [world.caller() for _ in range(LIMIT - 1)]
    for caller in begun:
        caller.send(b"GET /x/2f HTTP/1.1\r\n")
    world.caller()
    assert sum(bool(caller.transport.closed) for caller in begun) == 1
    world.attempt().reply(answer())
    assert handled.status == 200


# Guards against refused callers that take the places of others for as long as they are discarded.
def test_connection_whose_request_was_refused_is_closed_for_a_new_one():
    world = limited_world()
    for _ in range(LIMIT):
        world.caller().send(b"POST /x/2f HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n")
    ordinary = world.caller()
    ordinary.send_request()
    world.attempt().reply(answer())
    assert ordinary.status == 200
