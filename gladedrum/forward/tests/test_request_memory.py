"""Callers of a box whose memory for requests is used up."""

import logging

from gladedrum.connections.caller_conn import MAX_MEMORY_WAITS, MEMORY_WAIT_S, REFUSAL_LINGER_S
from gladedrum.forward.tests.support import KEY, World, answer, chunk
from gladedrum.platform import wire

BODY = 400_000
LIMIT = 2_400_000
"""Memory of the box for requests, in bytes: two of `BODY`, which are counted twice, and less than
one more."""


def memory_world(**fields):
    world = World(time_limit_s=30.0, **fields)
    world.factory.requests.limit = LIMIT
    return world


def head(length):
    return (
        b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n%s: 9000\r\n%s: Bearer %s\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (wire.REQUEST_ID, wire.DEADLINE_MS, wire.AUTHORIZATION, KEY.encode(), length)
    )


def send(world, length, count):
    caller = world.caller()
    caller.send(head(length) + b"x" * count)
    return caller


# Guards against an ordinary caller that is refused for callers which have stopped sending.
def test_caller_that_waits_longest_is_refused_for_one_that_sends_all(caplog):
    caplog.set_level(logging.INFO)
    world = memory_world()
    stalled = send(world, BODY, BODY - 1)
    world.run(0.5)
    later = send(world, BODY, BODY - 1)
    world.run(0.6)
    send(world, BODY, BODY)
    world.run(0.2)
    assert stalled.status == 503
    assert b"retry-after: 1" in stalled.received
    assert not later.received
    world.attempt().reply(answer())
    assert sum("refused for lack of memory" in line for line in caplog.messages) == 1
    world.run(REFUSAL_LINGER_S + 0.1, 0.1)
    assert stalled.transport.closed


# Guards against refusals of callers that send large bodies at the same time.
def test_body_that_finds_no_room_waits_until_another_request_has_ended():
    world = memory_world()
    for _ in range(2):
        send(world, BODY, BODY)
    target = world.attempt()
    third = send(world, BODY, 1000)
    assert third.transport.producerState == "paused"
    assert world.factory.memory_waits == 1
    world.run(0.3)
    assert not third.received
    target.reply(answer())
    world.run(0.3)
    assert world.factory.memory_waits == 0
    assert third.transport.producerState == "producing"
    third.send(b"x" * (BODY - 1000))
    assert len(world.tasks) == 3


def test_body_that_finds_no_room_in_time_is_refused():
    world = memory_world()
    for _ in range(2):
        send(world, BODY, BODY)
    third = send(world, BODY, 1000)
    world.run(MEMORY_WAIT_S + 0.2)
    assert third.status == 503
    assert world.factory.memory_waits == 0
    assert len(world.tasks) == 2


# Guards against a body within the limits of the configuration that is refused by an idle box.
def test_single_body_that_is_larger_than_the_memory_is_served_in_calm():
    world = memory_world()
    first = send(world, LIMIT, LIMIT)
    assert len(world.tasks) == 1
    second = send(world, LIMIT, 10)
    assert second.transport.producerState == "paused"
    world.attempt().reply(answer())
    assert first.status == 200
    world.run(0.2)
    second.send(b"x" * (LIMIT - 10))
    assert len(world.tasks) == 2


# Guards against a crowd of waiting bodies.
def test_surplus_bodies_are_refused_at_once():
    world = memory_world()
    for _ in range(2):
        send(world, BODY, BODY)
    waiting = [send(world, BODY, 10) for _ in range(MAX_MEMORY_WAITS)]
    assert not any(caller.received for caller in waiting)
    assert send(world, BODY, 10).status == 503
    for caller in waiting:
        caller.disconnect()
    assert world.factory.memory_waits == 0


def test_all_bytes_return_with_the_connections():
    world = memory_world()
    callers = [send(world, BODY, count) for count in (10, 1000, BODY, BODY, 20)]
    assert world.factory.requests.used > 0
    for caller in callers:
        caller.disconnect()
    world.run(1.0)
    assert world.factory.requests.used == 0


# Guards against a body that is read up to the limit although its head says that it is too long.
def test_body_that_is_announced_too_long_is_refused_at_its_head():
    world = World()
    caller = send(world, 10**9, 0)
    assert caller.status == 413
    caller.send(b"x" * 100_000)
    assert world.factory.requests.used == 0
    world.run(REFUSAL_LINGER_S + 0.1, 0.1)
    assert caller.transport.closed


# Guards against a second timer for a body that is paused for its small parts and finds no room.
def test_body_that_waits_for_memory_while_it_is_paced_has_one_timer():
    world = memory_world()
    for _ in range(2):
        send(world, BODY, BODY)
    caller = world.caller()
    chunks = b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    caller.send(chunks + chunk(b"x" * 100) * 1200)
    assert caller.transport.producerState == "paused"
    caller.proto.dataReceived(chunk(b"x" * 300_000))
    assert world.factory.memory_waits == 1
    timers = [call for call in world.net.getDelayedCalls() if call.func == caller.proto._resume]
    assert len(timers) == 1
    world.run(MEMORY_WAIT_S + 0.5)
    assert caller.status == 503
    assert world.factory.memory_waits == 0
