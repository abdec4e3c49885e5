"""A target's second answer to a request, late, in the place of the answer to the next one.

Guards against callers who get the answer to an earlier request, or parts of it, as their own.
"""

from http import HTTPStatus

import pytest

from gladedrum.connections.calls import call_target
from gladedrum.forward.tests.support import (
    World,
    answer,
    chunk,
    event,
    not_run,
    received_answer,
    stream_head,
)
from gladedrum.platform import wire
from gladedrum.platform.orders import report_call
from gladedrum.utils import start

ROUTES = {
    "safe": {"repeatable": True},
    "unsafe": {},
    "stream": {"streaming": True},
    "resumable": {"streaming": True, "resumable": True},
}
OLD, OWN = b"id: 1\ndata: old\n\n", event(1) + event(2)
CHUNKS = b"Transfer-Encoding: chunked\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


def sized(body):
    return stream_head(b"Content-Length: %d\r\n" % len(body)) + body


SECONDS = {
    "length": sized(OLD),
    "chunks": stream_head() + chunk(OLD) + chunk(b""),
    "no length": stream_head(b"") + OLD,
    "no length, HTTP/1.0": stream_head(b"").replace(b"HTTP/1.1", b"HTTP/1.0") + OLD,
    "nothing behind the head": stream_head(b""),
    "empty": sized(b""),
    "no content": stream_head(b"").replace(b"200 OK", b"204 X"),
    "interim first": INTERIM + INTERIM + sized(OLD),
    "failure": answer(500, b"old"),
    "refusal": not_run(),
}
OWN_ANSWERS = {
    "length": sized(OWN),
    "chunks": stream_head() + chunk(event(1)) + chunk(event(2)) + chunk(b""),
}
REPORT = b'{"stage":"dual","busy":false,"seq":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":9}'


def send_next(world):
    """Send a request with the id ``id-2`` to the only target; return its caller."""
    caller = world.caller()
    caller.send(
        b"POST /x/2f HTTP/1.1\r\nHost: a.example\r\n%s: id-2\r\n%s: Bearer k1\r\n"
        b"Content-Length: 4\r\n\r\nbody" % (wire.REQUEST_ID, wire.AUTHORIZATION)
    )
    return caller


def reply(target, data, in_parts):
    for part in [bytes([byte]) for byte in data] if in_parts else [data]:
        target.reply(part)


@pytest.mark.parametrize("in_parts", [False, True], ids=["at once", "byte by byte"])
@pytest.mark.parametrize("own", OWN_ANSWERS)
@pytest.mark.parametrize("second", SECONDS)
@pytest.mark.parametrize("route", ROUTES)
def test_a_second_answer_in_the_place_of_the_next_one_is_no_part_of_it(
    route, second, own, in_parts
):
    world = World(targets=1, **ROUTES[route])
    world.caller().send_request(b"body")
    target = world.attempt()
    target.reply(sized(OLD))
    caller = send_next(world)
    assert len(world.net.opened) == 1
    reply(target, SECONDS[second], in_parts)
    world.run(0.1)
    reply(target, OWN_ANSWERS[own].replace(b"id-1", b"id-2"), in_parts)
    world.run(0.1)
    got = received_answer(caller)
    assert b"old" not in caller.received
    if second in ("no length", "no length, HTTP/1.0", "nothing behind the head"):
        # What follows can't be told from its body.
        assert got.status == HTTPStatus.BAD_GATEWAY
    else:
        assert (got.status, got.body, got.is_whole) == (200, OWN, True)


# Guards against a connection that stays in use although its target has said too much on it.
@pytest.mark.parametrize("second", SECONDS)
@pytest.mark.parametrize("late", [False, True], ids=["at once", "late"])
def test_a_second_answer_behind_a_whole_one_ends_the_connection(second, late):
    world = World(targets=1)
    first = world.caller()
    first.send_request(b"body")
    target = world.attempt()
    data = OWN_ANSWERS["chunks"]
    target.reply(data if late else data + SECONDS[second])
    if late:
        target.reply(SECONDS[second])
    assert received_answer(first) == (200, OWN, True, "chunks")
    caller = send_next(world)
    assert target.closed
    world.attempt().reply(OWN_ANSWERS["length"].replace(b"id-1", b"id-2"))
    assert received_answer(caller) == (200, OWN, True, "length")


# Guards against a refusal of one run that is taken for that of the next, which then runs.
@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("route", ROUTES)
def test_a_refusal_said_twice_refuses_one_run_only(route, status):
    world = World(targets=1, max_targets=2, time_limit_s=4.0, objective_s=2.0, **ROUTES[route])
    caller = world.caller()
    caller.send_request(b"body")
    first = world.attempt()
    first.reply(not_run(status))
    first.reply(not_run(status))
    world.run(0.5)
    second = world.attempt()
    assert second is not first
    second.reply(OWN_ANSWERS["chunks"])
    assert received_answer(caller) == (200, OWN, True, "chunks")


# Guards against a failure of one run that is taken for that of the next, whose answer is lost.
@pytest.mark.parametrize("status", [500, 503])
@pytest.mark.parametrize("route", ["safe", "resumable"])
def test_a_failure_said_twice_fails_one_run_only(route, status):
    world = World(targets=1, max_targets=2, time_limit_s=4.0, **ROUTES[route])
    caller = world.caller()
    caller.send_request(b"body")
    first = world.attempt()
    first.reply(answer(status, b"failed"))
    world.run(0.1)
    first.reply(answer(status, b"failed"))
    world.run(0.1)
    world.attempt().reply(OWN_ANSWERS["chunks"])
    assert received_answer(caller) == (200, OWN, True, "chunks")


def call_report(world):
    """Ask the first target for a report; return a list that gets the answer or the failure."""
    results = []
    entry = world.targets.entries["t1"]
    calling = start(call_target(world.net, world.ctx.pool, entry, report_call(), 1.0))
    calling.addBoth(results.append)
    world.run()
    return results


def report(framing):
    """Return the answer to a call for a report, which names no id."""
    head = b"HTTP/1.1 200 OK\r\n"
    match framing:
        case "length":
            return head + b"Content-Length: %d\r\n\r\n%s" % (len(REPORT), REPORT)
        case "chunks":
            return head + CHUNKS + b"\r\n" + chunk(REPORT) + chunk(b"")
        case "interim first":
            return INTERIM + report("length")
        case "no length":
            return head + b"\r\n" + REPORT


# Guards against a report that is read from the answer to a request, or with a part of one.
@pytest.mark.parametrize("second", SECONDS)
def test_a_second_answer_to_a_request_is_no_part_of_a_report(second):
    world = World(targets=1)
    world.caller().send_request(b"body")
    target = world.attempt()
    target.reply(sized(OLD))
    results = call_report(world)
    assert len(world.net.opened) == 1
    target.reply(SECONDS[second] + report("length"))
    world.run(1.1)
    assert getattr(results[0], "body", REPORT) == REPORT


# Guards against a caller who gets a target's second report as the answer, or as a part of it.
@pytest.mark.parametrize("framing", ["length", "chunks", "interim first", "no length"])
@pytest.mark.parametrize("route", ROUTES)
def test_a_second_report_is_no_part_of_an_answer(route, framing):
    world = World(targets=1, **ROUTES[route])
    results = call_report(world)
    target = world.attempt()
    target.reply(report("length"))
    assert results[0].body == REPORT
    caller = world.caller()
    caller.send_request(b"body")
    assert len(world.net.opened) == 1
    target.reply(report(framing) + OWN_ANSWERS["chunks"])
    world.run(0.1)
    got = received_answer(caller)
    assert b"kvTotal" not in caller.received
    assert got.status == HTTPStatus.BAD_GATEWAY if framing == "no length" else got.body == OWN


def answer_before_a_second_report(route):
    """Return a caller's answer without a length, behind which its target reports once more."""
    world = World(targets=1, **ROUTES[route])
    call_report(world)
    target = world.attempt()
    target.reply(report("length"))
    caller = world.caller()
    caller.send_request(b"body")
    assert len(world.net.opened) == 1
    target.reply(stream_head(b"") + OWN + report("length"))
    target.disconnect(orderly=True)
    world.run(1.0)
    return received_answer(caller)


# Guards against a target's second report in the body of an answer that only a close ends.
def test_a_second_report_behind_an_answer_without_a_length_is_no_part_of_it():
    answers = {route: answer_before_a_second_report(route) for route in ROUTES}
    mixed = [route for route, got in answers.items() if got.status == 200 and got.body != OWN]
    assert not mixed
