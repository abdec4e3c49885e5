"""Malformed input from callers, targets and peers: a valid answer, an error, or a close."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladedrum import gossip
from gladedrum.forward.tests.support import World, answer
from gladedrum.gossip.wire.ttypes import Gossip, ReportNote
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.work_plan import WorkPlan, note_from_plan, plan_from_note
from gladedrum.platform import wire

_PIECES = [
    b"GET /x/2f HTTP/1.1\r\n", b"POST /x/ HTTP/1.1\r\n", b"Host: a.example\r\n",
    b"Content-Length: 5\r\n", b"Content-Length: 7\r\n", b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n", b"\r\n", b"hello", b"5\r\nhello\r\n", b"0\r\n\r\n", b"zz\r\n",
    b"%s: Bearer k1\r\n" % wire.AUTHORIZATION, b"%s: id-9\r\n" % wire.REQUEST_ID,
    b"Expect: 100-continue\r\n", b"\0\xff", b" folded\r\n", b"X" * 20_000,
]  # fmt: skip


@settings(max_examples=150, deadline=None)
@given(st.lists(st.sampled_from(_PIECES), max_size=14), st.integers(1, 4))
def test_arbitrary_caller_bytes_never_crash_a_box_or_reach_a_target_unparsed(pieces, step):
    world = World()
    caller = world.caller()
    data = b"".join(pieces)
    for begin in range(0, len(data), max(1, len(data) // step)):
        if caller.transport.closed:
            break
        caller.send(data[begin : begin + max(1, len(data) // step)])
    world.run(1.0, step_s=0.25)
    for target in world.net.opened:
        lines = target.sent.split(b"\r\n\r\n", 1)[0].lower().split(b"\r\n")
        assert sum(line.startswith(b"content-length:") for line in lines) <= 1
        assert not any(line.startswith(b"transfer-encoding:") for line in lines)
    world.run(20.0, step_s=0.5)
    assert caller.transport.closed


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n",
        b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        b"GET /x/ HTTP/1.1\r\nHost: a\r\nBad Header: 1\r\n\r\n",
        b"GET /x/ HTTP/1.1\r\nHost: a\r\n" + b"X: %s\r\n" % (b"y" * 30_000) + b"\r\n",
    ],
)
def test_ambiguous_and_oversized_heads_are_refused_and_the_connection_closed(request_bytes):
    world = World()
    caller = world.caller()
    caller.send(request_bytes)
    world.run(0.1)
    assert caller.status >= 400
    assert caller.transport.closed
    assert not world.net.opened


def test_a_stalled_head_gets_a_408():
    world = World()
    caller = world.caller()
    caller.send(b"GET /x/ HT")
    world.run(4.0)
    assert caller.status == 408


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=300), st.booleans(), st.booleans())
def test_arbitrary_target_bytes_never_reach_a_caller_as_a_success(data, whole_first, orderly):
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    if whole_first:
        target.reply(answer(200, b"fine"))
    if not target.closed:
        target.reply(data)
    if not target.closed:
        target.disconnect(orderly)
    world.run(0.5)
    if whole_first:
        assert caller.received.endswith(b"fine")
    else:
        assert caller.status >= 500 or data.startswith(b"HTTP/1.")


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_an_arbitrary_datagram_is_decoded_or_dropped(data):
    message = gossip.decode(data)
    if message is not None:
        FleetView().receive(message, ["t1"], 0.0)


def test_a_datagram_round_trip_keeps_its_notes():
    plan = WorkPlan("w1", ("t1", "t2"), 60_000, 700, 7.0, 1.5, 0.6, reserved=True)
    note = note_from_plan(plan, gossip.PLACED)
    message = gossip.decode(gossip.encode(Gossip("b", [note], [ReportNote("t1", False)], True)))
    assert plan_from_note(message.work[0]) == plan
    assert (message.box, message.leaving, message.reports[0].answered) == ("b", True, False)


def test_lost_or_duplicate_datagrams_leave_no_work_behind():
    rng = random.Random(7)
    view = FleetView()
    plans = [WorkPlan(f"w{i}", ("t1", "t2"), 40_000, 500) for i in range(30)]
    changes = [(plan, change) for plan in plans for change in (1, 2, 3)]
    for plan, change in changes:
        for _ in range(rng.choice([0, 1, 2])):
            message = Gossip("b", [note_from_plan(plan, change)], [], False)
            view.receive(message, ["t1", "t2"], 1.0)
    left = view.state("t1").ledger
    assert left.rows
    left.advance(default_traits(), 100.0)
    assert not left.rows


def default_traits():
    from gladedrum.scheduling.engine_model import EngineTraits

    return EngineTraits()
