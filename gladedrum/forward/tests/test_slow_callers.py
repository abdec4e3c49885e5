"""Callers that read slowly or not at all, on a box whose memory budget is on."""

import json

import pytest
from prometheus_client import generate_latest
from twisted.internet.testing import MemoryReactorClock
from twisted.web.test.requesthelper import DummyRequest

from gladedrum.config import parse_settings
from gladedrum.connections.answer_buffer import SLICE_BYTES, STALL_LIMIT_S
from gladedrum.connections.caller_conn import REFUSAL_LINGER_S
from gladedrum.connections.memory_budget import Decision, DropReason, MemoryBudget
from gladedrum.forward.box import ForwardingBox
from gladedrum.forward.settings import forward_settings
from gladedrum.forward.tests.support import (
    Caller,
    RecordingTransport,
    World,
    answer,
    chunk,
    event,
    stream_head,
)
from gladedrum.forward.tests.test_drain import stop
from gladedrum.outcome import Completed, Unknown
from gladedrum.platform import wire

MB = 1_000_000
STREAM = {
    "streaming": True, "resumable": True, "max_targets": 2, "pause_objective_s": 0.25,
    "time_limit_s": 30.0,
}  # fmt: skip


class SlowTransport(RecordingTransport):
    """A transport that holds written bytes until the test lets the caller take some."""

    def __init__(self):
        super().__init__()
        self.held = bytearray()
        self._closing = False

    def write(self, data):
        self.held += data

    def take(self, size):
        """Let the caller read; as in Twisted, a pull producer is asked for more once it is due."""
        while size > 0 and self.held:
            taken, self.held = self.held[:size], self.held[size:]
            size -= len(taken)
            super().write(bytes(taken))
            if not self.held and self.producer is not None and not self.streaming:
                self.producer.resumeProducing()
        self._close_if_written()

    def loseConnection(self):
        self._closing = True
        self._close_if_written()

    def _close_if_written(self):
        if self._closing and not self.held and self.producer is None:
            super().loseConnection()


class SlowCaller(Caller):
    make_transport = SlowTransport

    def take(self, size):
        self.transport.take(size)
        self.world.run()


def memory_world(limit: int = 50 * MB, **fields) -> World:
    world = World(**{"time_limit_s": 30.0, **fields})
    world.factory.memory = MemoryBudget(limit)
    return world


def start_stream(world, caller):
    """Send a request for a stream and its first event; return the target's end."""
    caller.send_request(b"body")
    target = world.attempt()
    target.reply(stream_head() + chunk(event(1)))
    return target


def large_event(number, size=60_000):
    return chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * size))


def plain_answer(size):
    head = b"HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: seal\r\nContent-Length: %d\r\n\r\n" % (
        wire.REQUEST_ID, wire.SIGNATURE, size,
    )  # fmt: skip
    return head + b"x" * size


def test_a_target_that_finishes_is_free_although_its_caller_is_slow():
    """Guards against a finished answer that its target holds for a slow caller."""
    world = memory_world(targets=1, **STREAM)
    slow = SlowCaller(world)
    target = start_stream(world, slow)
    for number in range(2, 50):
        target.reply(large_event(number))
    target.reply(chunk(b""))
    assert world.outcomes == [Completed()]
    start_stream(world, world.caller())
    assert len(world.net.opened) == 1
    slow.take(10 * MB)
    assert slow.received.endswith(chunk(b""))
    assert not slow.proto.has_unsent()


def test_a_caller_that_stops_reading_is_dropped_and_sees_a_broken_connection():
    """Guards against memory that is held for ever, and against dropping one that reads a little."""
    world = memory_world(**STREAM)
    caller = SlowCaller(world)
    start_stream(world, caller).reply(large_event(2, 5 * SLICE_BYTES) + chunk(b""))
    assert not caller.proto.is_abandoned
    world.run(STALL_LIMIT_S - 5, 5.0)
    assert caller.proto.is_abandoned
    caller.take(SLICE_BYTES)
    assert not caller.proto.is_abandoned
    world.run(STALL_LIMIT_S - 1, 1.0)
    assert not caller.transport.closed
    world.run(2, 1.0)
    assert caller.transport.closed == "aborted"
    assert world.factory.memory.answer_bytes == 0


def test_an_answer_that_is_dropped_while_it_is_sent_ends_at_its_target_too():
    """Guards against a dropped answer that goes on at its target, or is counted as completed."""
    world = memory_world(**STREAM)
    caller = SlowCaller(world)
    target = start_stream(world, caller)
    caller.proto.drop(DropReason.MEMORY)
    world.run()
    assert (caller.transport.closed, target.closed) == ("aborted", "aborted")
    assert world.outcomes == [Unknown(DropReason.MEMORY)]


def test_many_slow_callers_are_paused_and_one_that_leaves_returns_its_memory():
    """Guards against growth beyond the budget, pauses of quick callers, hedges of paused streams,
    and memory that is lost with a connection."""
    world = memory_world(4 * MB, **STREAM)
    slow = [SlowCaller(world) for _ in range(20)]
    targets = [start_stream(world, caller) for caller in slow]
    quick = world.caller()
    quick_target = start_stream(world, quick)
    for number in range(2, 30):
        for target in targets:
            if target.transport.producerState == "producing":
                target.reply(large_event(number, 20_000))
        quick_target.reply(large_event(number))
        while quick.proto.has_unsent():
            quick.transport.producer.resumeProducing()
    memory = world.factory.memory
    assert 2 * MB < memory.answer_bytes <= memory.answer_room
    assert memory.counts[Decision.DROPPED] == 0
    assert {target.transport.producerState for target in targets} == {"paused"}
    assert quick_target.transport.producerState == "producing"
    quick.disconnect()
    world.run(2.0)
    assert len(world.net.opened) == 21
    slow[0].take(2 * MB)
    assert targets[0].transport.producerState == "producing"
    slow[1].disconnect()
    assert targets[1].closed == "aborted"
    for caller in slow:
        caller.disconnect()
    assert (memory.answer_bytes, memory.request_bytes, memory.answer_count) == (0, 0, 0)


def test_hedges_and_resumed_streams_go_on_in_the_buffer_without_repeats():
    """Guards against events that are repeated, or skipped as their caller has not read them."""
    world = memory_world(max_targets=3, **{k: v for k, v in STREAM.items() if k != "max_targets"})
    caller = SlowCaller(world)
    lead = start_stream(world, caller)
    lead.reply(large_event(2, 2 * SLICE_BYTES))
    world.run(2.0)  # the lead is silent
    hedge = world.attempt()
    assert b"%s: 2\r\n" % wire.LAST_EVENT_ID in hedge.sent.lower()
    hedge.reply(stream_head() + chunk(event(2)) + chunk(event(3)))
    assert lead.closed == "aborted"
    hedge.disconnect()
    world.run(0.2)
    assert b"%s: 3\r\n" % wire.LAST_EVENT_ID in world.attempt().sent.lower()
    world.attempt().reply(stream_head() + chunk(event(4)) + chunk(b""))
    caller.take(MB)
    assert caller.received.count(b"id: 2\n") == 1
    assert caller.received.endswith(chunk(event(3)) + chunk(event(4)) + chunk(b""))


def test_a_planned_stop_is_bounded_and_breaks_answers_that_are_not_read():
    """Guards against a stop that waits for a slow caller, or lets the process end close its
    connection, which completes an answer without a length."""
    world = memory_world()
    caller, reader = SlowCaller(world), SlowCaller(world)
    for each in (caller, reader):
        each.send_request(b"body")
        world.attempt().reply(plain_answer(100_000))
    drained = stop(world)
    world.run(7.0)
    reader.take(MB)
    assert not drained
    assert not caller.transport.closed
    world.run(0.6)
    assert drained
    assert (reader.transport.closed, caller.transport.closed) == ("closed", "aborted")


def test_bodies_beyond_their_part_of_the_budget_are_refused_as_not_run():
    """Guards against bodies that fill the memory, whether announced or chunked."""
    world = memory_world(2 * MB, targets=1)
    first, second, third = world.caller(), SlowCaller(world), world.caller()
    first.send_request(b"x" * 200_000)
    second.send_request(b"x" * 200_000)
    second.take(MB)
    assert second.status == 503
    assert b"retry-after: 1" in second.received
    head = b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    third.send(head + chunk(b"x" * 40_000))
    assert not third.received
    third.send(chunk(b"x" * 60_000))
    assert third.status == 503
    assert len(world.net.opened) == 1
    world.attempt().reply(answer())
    assert first.status == 200
    assert world.factory.memory.request_bytes == 0
    second.send(b"x" * 200_000)
    assert not second.transport.closed
    world.run(REFUSAL_LINGER_S)
    assert second.transport.closed == "closed"


def test_answers_that_are_held_back_until_they_are_whole_are_counted():
    """Guards against large plain answers and unended events that grow outside the budget."""
    world, stream = memory_world(), memory_world(**STREAM)
    world.caller().send_request(b"body")
    world.attempt().reply(plain_answer(200_000)[:-100])
    assert world.factory.memory.answer_bytes > 199_000
    world.attempt().reply(b"x" * 100)
    assert world.factory.memory.answer_bytes < 210_000
    start_stream(stream, stream.caller()).reply(chunk(b"x" * 300_000))
    assert stream.factory.memory.answer_bytes >= 300_000


def test_without_a_budget_the_transport_alone_pauses_its_target():
    """Guards against any change for deployments that don't turn the budget on."""
    world = World(**STREAM)
    caller = SlowCaller(world)
    target = start_stream(world, caller)
    assert (caller.transport.producer, caller.transport.streaming) == (caller.proto, True)
    for number in range(2, 10):
        target.reply(large_event(number))
    assert len(caller.transport.held) > 8 * 60_000
    caller.proto.pauseProducing()
    assert target.transport.producerState == "paused"
    caller.proto.resumeProducing()
    assert target.transport.producerState == "producing"


@pytest.mark.parametrize(
    ("text", "megabytes"),
    [
        ("[platform]\ncontracts =\n", 0),
        ("[platform]\ncontracts = other\nmemory_mb = 200\n", 0),
        ("[platform]\ncontracts = other, pressure\nmemory_mb = 552\n", 138),
        ("[platform]\ncontracts = pressure\n", 50),
        ("[platform]\ncontracts = pressure\n[forward]\nanswer_buffer_mb = 20\n", 20),
        ("[platform]\ncontracts = pressure\n[forward]\nanswer_buffer_mb = 0\n", 0),
    ],
)
def test_the_contract_turns_the_budget_on(text, megabytes):
    """Guards against a budget on deployments that don't list the contract."""
    assert forward_settings(parse_settings(text)).answer_buffer_bytes == megabytes * MB


def test_operators_see_the_budget_and_a_reload_changes_it():
    """Guards against pages that don't follow the budget, and a reload that loses its counts."""
    box = ForwardingBox(MemoryReactorClock(), parse_settings("[forward]\nanswer_buffer_mb = 20\n"))
    box._callers.memory.note(Decision.DROPPED)
    box.reload(parse_settings("[forward]\nanswer_buffer_mb = 30\n"))
    pages = box._make_pages()
    shown = json.loads(pages.children[b"memory"].render_GET(DummyRequest([])))
    assert (shown["limit_bytes"], shown["counts"]["dropped"]) == (30 * MB, 1)
    pages.children[b"metrics"]._set_memory()
    metrics = generate_latest(box.metrics.registry)
    assert b"gladedrum_buffer_limit_bytes 3e+07" in metrics
    assert b'gladedrum_memory_decisions_total{decision="dropped"} 1.0' in metrics
    box.reload(parse_settings(""))
    assert json.loads(pages.children[b"memory"].render_GET(DummyRequest([]))) == {"limit_bytes": 0}


def test_a_finished_answer_of_a_slow_caller_counts_no_request():
    """Guards against refusals of new requests while callers read answers that have ended."""
    world = memory_world()
    world.factory.keep = False
    slow = SlowCaller(world)
    slow.send_request(b"x" * 100_000)
    world.attempt().reply(plain_answer(200_000))
    assert not slow.transport.closed
    assert world.factory.memory.request_bytes == 0
