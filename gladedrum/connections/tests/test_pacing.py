"""Bodies that come in chunks of one byte, from callers and from targets.

Guards against a few connections that take all of the processor, so that all others are late.
"""

import h11
import pytest

from gladedrum.forward.tests.support import KEY, World, chunk, stream_head
from gladedrum.outcome import Completed
from gladedrum.platform import wire
from gladedrum.utils import pacing

TINY = chunk(b"x")
READ = TINY * (65_536 // len(TINY))
"""As much as a transport reads at once."""

MAX_PARTS_AT_ONCE = 2.2 * pacing.BURST_PARTS
MAX_PARTS_PER_S = 1.1 * pacing.PARTS_PER_S


class CountedParts:
    """Counts the parts of bodies that h11 parses, in all connections of a test."""

    def __init__(self, monkeypatch):
        self.count = 0
        next_event = h11.Connection.next_event

        def counted(http):
            result = next_event(http)
            self.count += isinstance(result, h11.Data)
            return result

        monkeypatch.setattr(h11.Connection, "next_event", counted)


@pytest.fixture
def parts(monkeypatch):
    return CountedParts(monkeypatch)


def begin_chunked_request(world):
    caller = world.caller()
    head = b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n%s: 4000\r\n" % (
        wire.REQUEST_ID, wire.DEADLINE_MS,
    )  # fmt: skip
    head += b"%s: Bearer %s\r\n" % (wire.AUTHORIZATION, KEY.encode())
    caller.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    return caller


def send_while_read(send, transport, data):
    """Send data unless the box has paused or closed the connection; return whether it was sent."""
    if transport.producerState == "paused" or transport.closed:
        return False
    send(data)
    return True


def test_callers_that_send_chunks_of_one_byte_are_refused_and_leave_time_to_others(parts):
    world = World()
    callers = [begin_chunked_request(world) for _ in range(4)]
    for _ in range(100):
        for caller in callers:
            before = parts.count
            send_while_read(caller.proto.dataReceived, caller.transport, READ)
            assert parts.count - before <= MAX_PARTS_AT_ONCE
        before = parts.count
        world.net.advance(0.05)
        assert parts.count - before <= 4 * MAX_PARTS_AT_ONCE
    assert [caller.status for caller in callers] == [400] * 4
    assert all(caller.transport.closed for caller in callers)
    assert b"too small" in callers[0].received
    assert parts.count <= 4 * 1.1 * pacing.MAX_TINY_PARTS
    assert not world.net.opened


# Guards against a crowd that takes all of the processor although each of its callers is paced.
def test_crowd_of_callers_with_small_chunks_is_paced_together(parts):
    world, count, seconds = World(), 100, 4
    callers = [begin_chunked_request(world) for _ in range(count)]
    small = chunk(b"x" * 100)
    read = small * (65_536 // len(small))
    ordinary = begin_chunked_request(world)
    for _ in range(20 * seconds):
        for caller in callers:
            send_while_read(caller.proto.dataReceived, caller.transport, read)
        world.net.advance(1 / 20)
    burst = pacing.ALL_BURST_PARTS + count * pacing.TURN_PARTS
    assert parts.count <= burst + 1.1 * seconds * pacing.ALL_PARTS_PER_S
    before = len(world.tasks)
    ordinary.send(chunk(b"x" * 100) * 10 + chunk(b""))
    assert len(world.tasks) == before + 1


def test_a_body_of_some_thousand_chunks_of_one_byte_is_read_whole():
    world = World()
    caller = begin_chunked_request(world)
    caller.proto.dataReceived(TINY * 4000 + chunk(b""))
    world.run(3.0)
    assert world.attempt().sent.endswith(b"x" * 4000)


# Guards against a caller whose leaving is not noticed, as its connection stays paused.
def test_a_connection_is_read_again_once_a_paced_body_is_whole():
    world = World()
    caller = begin_chunked_request(world)
    caller.proto.dataReceived(TINY * 1500 + chunk(b""))
    assert caller.transport.producerState == "paused"
    world.run(1.0)
    assert world.attempt().sent.endswith(b"x" * 1500)
    assert caller.transport.producerState == "producing"


def test_a_body_of_many_chunks_of_some_size_is_read_whole():
    world = World()
    caller = begin_chunked_request(world)
    caller.proto.dataReceived(chunk(b"x" * 40) * 6000 + chunk(b""))
    world.run(3.5)
    assert world.attempt().sent.count(b"x" * 40) == 6000


# Guards against a paused connection that starts to parse once its caller has left.
def test_a_caller_that_leaves_while_its_connection_is_paused_is_forgotten(parts):
    world = World()
    caller = begin_chunked_request(world)
    caller.proto.dataReceived(READ)
    caller.disconnect()
    before = parts.count
    world.run(1.0)
    assert parts.count == before
    assert not world.factory.connections


@pytest.mark.parametrize(
    "fields", [{}, {"streaming": True}, {"streaming": True, "resumable": True}]
)
def test_targets_that_send_chunks_of_one_byte_leave_time_to_others(fields, parts, caplog):
    caplog.set_level("INFO")
    world = World(targets=2, time_limit_s=20.0, objective_s=10.0, **fields)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head())
    for _ in range(60):
        before = parts.count
        send_while_read(side.reply, side.transport, READ)
        assert parts.count - before <= MAX_PARTS_AT_ONCE
        world.net.advance(0.05)
    assert pacing.PARTS_PER_S <= parts.count <= 3 * MAX_PARTS_PER_S + MAX_PARTS_AT_ONCE
    assert caplog.text.count("answer in many small parts paced") == 1
    side.disconnect()
    world.run()


def test_an_answer_in_chunks_of_one_byte_arrives_whole():
    world = World(targets=2, time_limit_s=20.0, objective_s=10.0)
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(stream_head() + TINY * 5000 + chunk(b""))
    world.run(2.5)
    assert b"x" * 5000 in caller.received
    assert world.outcomes == [Completed()]


@pytest.mark.parametrize("orderly", [True, False])
def test_an_answer_that_is_cut_while_it_is_paused_is_lost(orderly):
    world = World(targets=2, time_limit_s=20.0, objective_s=10.0)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head() + TINY * 5000)
    side.disconnect(orderly)
    world.run()
    assert caller.status == 502


# Guards against a pause whose end reads on although the caller is too slow.
def test_the_end_of_a_pause_leaves_an_answer_paused_whose_caller_does_not_read():
    world = World(targets=1, time_limit_s=20.0, objective_s=10.0, streaming=True)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head())
    side.reply(TINY * 3000)
    assert side.transport.producerState == "paused"
    caller.proto.pauseProducing()
    world.run(2.0)
    assert side.transport.producerState == "paused"
    caller.proto.resumeProducing()
    assert side.transport.producerState == "producing"


# Guards against pauses of streams that come in a burst after they were not read.
def test_a_burst_of_small_events_is_passed_on_at_once():
    world = World(targets=1, streaming=True, resumable=True, max_targets=2)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head())
    rows = [b"id: %d\ndata: x\n\n" % number for number in range(1000)]
    side.reply(b"".join(map(chunk, rows)) + chunk(b""))
    assert caller.received.count(b"data: x") == 1000
    assert world.outcomes == [Completed()]


# Guards against a pause of a sound stream, as the parts of all answers of a connection are counted.
def test_small_events_at_a_usual_rate_are_not_paced(caplog):
    caplog.set_level("INFO")
    world = World(targets=1, streaming=True, time_limit_s=20.0)
    caller = world.caller()
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head())
    for number in range(3000):
        side.reply(chunk(b"id: %d\ndata: x\n\n" % number))
        assert caller.received.count(b"data: x") == number + 1
        world.net.advance(0.001)
    assert "paced" not in caplog.text


def test_a_small_answer_follows_paced_ones_on_the_same_connection():
    world = World(targets=1, time_limit_s=20.0, objective_s=10.0, repeatable=True)
    for size in (5000, 1):
        caller = world.caller()
        caller.send_request(b"body")
        side = world.attempt()
        side.reply(stream_head() + TINY * size + chunk(b""))
        world.run(2.5)
        assert caller.status == 200
    assert len(world.net.opened) == 1


# Guards against large chunks of many empty events, each of which is passed on by itself.
@pytest.mark.parametrize("fields", [{"streaming": True}, {"streaming": True, "resumable": True}])
def test_targets_that_send_empty_events_leave_time_to_others(fields, monkeypatch):
    world = World(targets=1, time_limit_s=20.0, objective_s=10.0, **fields)
    caller = world.caller()
    writes = []
    caller.transport.write = writes.append
    caller.send_request(b"body")
    side = world.attempt()
    side.reply(stream_head())
    part = chunk(b":\n\n" * 20_000)
    sent = 0
    for _ in range(60):
        sent += send_while_read(side.reply, side.transport, part)
        world.net.advance(0.05)
    assert 1 <= sent <= 2
    assert len(writes) <= 10
    caller.disconnect()


# Guards against a caller that is kept for as long as its body comes slowly, past its own time.
@pytest.mark.parametrize("interval_s", [0.5, 3.0])
def test_a_body_that_does_not_come_within_the_time_of_its_request_is_refused(interval_s):
    world = World()
    caller = begin_chunked_request(world)
    while world.net.seconds() < 4.0 and not caller.transport.closed:
        caller.proto.dataReceived(TINY)
        world.run(interval_s)
    world.run(0.1)
    assert caller.status == 408
    assert caller.transport.closed
    assert not world.net.opened


def test_a_body_that_comes_just_in_time_is_sent():
    world = World()
    caller = begin_chunked_request(world)
    for _ in range(7):
        caller.proto.dataReceived(TINY)
        world.run(0.5)
    caller.proto.dataReceived(chunk(b""))
    assert world.attempt().sent.endswith(b"x" * 7)
