"""A planned stop of a box must not cut off answers."""

import pytest

from gladedrum.forward.drain import KEEP_ACCEPTING_S, LATE_AFTER_S, drain_callers
from gladedrum.forward.tests.support import KEY, World, answer, chunk, event, stream_head
from gladedrum.platform import wire
from gladedrum.utils import start


def stop(world: World):
    """Start to drain the box; return a list that gets an entry when draining has finished."""
    drained = []
    world.accepting = True

    def end_requests():
        for task in world.tasks:
            task.end_for_stop()

    draining = drain_callers(
        world.net, world.factory, lambda: setattr(world, "accepting", False), 8.0, end_requests
    )
    start(draining).addCallback(lambda _none: drained.append(1))
    return drained


def test_the_process_waits_until_the_last_bytes_are_written():
    """Guards against ending the process while bytes of the last answer are unsent."""
    world = World(time_limit_s=30.0)
    caller = world.caller()
    unsent = []
    caller.transport.loseConnection = lambda: unsent.append(1)  # closes only once all is written
    caller.send_request(b"body")
    drained = stop(world)
    world.run(4.0)
    world.attempt().reply(answer())
    world.run(0.5)
    assert unsent
    assert not drained
    caller.disconnect()
    world.run(0.1)
    assert drained


def test_a_kept_connection_closes_with_its_next_answer():
    world = World()
    caller = world.caller()
    drained = stop(world)
    caller.send_request(b"body")
    world.attempt().reply(answer())
    assert b"connection: close" in caller.received.lower()
    assert caller.transport.closed
    world.run(KEEP_ACCEPTING_S + 0.1)
    assert drained


def test_idle_connections_close_after_the_load_balancer_grace_period():
    world = World()
    caller = world.caller()
    stop(world)
    world.run(KEEP_ACCEPTING_S - 0.2)
    assert not caller.transport.closed
    world.run(0.3)
    assert caller.transport.closed


def test_requests_that_could_not_finish_in_time_are_not_accepted():
    """Guards against accepting a request so late that the end of the process cuts it off."""
    world = World(time_limit_s=30.0)
    world.caller().send_request(b"body")
    stop(world)
    world.run(KEEP_ACCEPTING_S - 0.2)
    assert world.accepting
    world.run(0.3)
    assert not world.accepting


def test_drain_finishes_before_the_process_would_be_killed():
    world = World(time_limit_s=30.0)
    world.caller().send_request(b"body")
    drained = stop(world)
    world.run(7.5)
    assert drained


def test_a_connection_carries_one_request_without_keep_alive():
    world = World()
    world.factory.keep = False
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(answer())
    assert b"connection: close" in caller.received.lower()
    assert caller.transport.closed == "closed"


@pytest.mark.parametrize("cut", [30, -2], ids=["within the head", "within the body"])
def test_a_partly_read_request_is_served_when_idle_connections_close(cut):
    """Guards against discarding the rest of the request without an answer."""
    world = World(time_limit_s=30.0)
    caller = world.caller()
    stop(world)
    world.run(KEEP_ACCEPTING_S - 0.1)
    request = (
        b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n%s: id-1\r\n"
        b"%s: Bearer %s\r\n\r\nbody" % (wire.REQUEST_ID, wire.AUTHORIZATION, KEY.encode())
    )
    caller.send(request[:cut])
    world.run(0.2)
    caller.send(request[cut:])
    world.attempt().reply(answer())
    assert caller.status == 200
    assert caller.transport.closed


# Guards against a stream that is accepted from a request whose sending was under way when idle
# connections were closed, and cut when the process ends.
@pytest.mark.parametrize(("limit_s", "is_served"), [(30.0, False), (4.0, True)])
def test_a_request_that_comes_whole_after_the_close_is_served_only_if_it_can_end(
    limit_s, is_served
):
    world = World(time_limit_s=limit_s)
    caller = world.caller()
    stop(world)
    world.run(KEEP_ACCEPTING_S - 0.1)
    # The rest comes 0.1 s after the time until which callers accept that a stop cuts long answers.
    head = b"GET /x/2f HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n" % wire.REQUEST_ID
    caller.send(head)
    world.run(LATE_AFTER_S + 0.1 - world.net.seconds())
    caller.send(b"%s: Bearer %s\r\n\r\n" % (wire.AUTHORIZATION, KEY.encode()))
    assert bool(world.net.opened) is is_served
    if is_served:
        world.attempt().reply(answer())
    assert caller.status == (200 if is_served else 503)
    assert caller.transport.closed
    assert is_served or b"retry-after" in caller.received.lower()


def send_patient_request(caller):
    """Send a request whose caller waits for longer than a planned stop takes."""
    caller.send(
        b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n%s: id-1\r\n"
        b"%s: 20000\r\n%s: Bearer %s\r\n\r\nbody"
        % (wire.REQUEST_ID, wire.DEADLINE_MS, wire.AUTHORIZATION, KEY.encode())
    )


# Guards against a request that is cut without an answer at the end of a planned stop.
@pytest.mark.parametrize("sent_s", [0.0, 1.0, KEEP_ACCEPTING_S - 0.1])
def test_a_request_that_outlasts_the_stop_gets_an_answer(sent_s):
    world = World(time_limit_s=30.0)
    caller = world.caller()
    drained = stop(world)
    world.run(sent_s)
    send_patient_request(caller)
    target = world.attempt()
    world.run(8.0 - sent_s)
    assert drained
    assert caller.status == 504
    assert b"the box stops" in caller.received
    assert caller.transport.closed == "closed"
    assert target.closed


def test_an_answer_that_has_begun_goes_on_until_the_process_ends():
    world = World(time_limit_s=30.0, streaming=True)
    caller = world.caller()
    stop(world)
    send_patient_request(caller)
    world.attempt().reply(stream_head() + chunk(event(1)))
    for number in range(2, 16):
        world.run(0.5)
        world.net.opened[0].reply(chunk(event(number)))
    world.run(0.3)
    assert event(15) in caller.received
    assert not caller.transport.closed
