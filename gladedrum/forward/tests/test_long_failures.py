"""Failures with long texts are judged by their status, as those with short texts are.

Guards against a failure that is passed on to the caller before the request's outcome is decided, as
its text exceeds what is buffered of a plain answer: the caller of a request that has run gets a
status that says that it has not, or a failure that another target would have cured.
"""

import itertools

import pytest

from gladedrum.forward.relaying import BUFFERED_BYTES
from gladedrum.forward.tests.support import World, answer, chunk
from gladedrum.outcome import Completed, Unknown
from gladedrum.platform import wire


def product(*lists):
    return list(itertools.product(*lists))


SIZES = [1000, BUFFERED_BYTES, BUFFERED_BYTES + 1, 2_000_000]
FRAMINGS = ["length", "chunks", "close"]
NOT_RUN_STATUSES = [408, 429, 503]
PART_BYTES = 65_536


def reply_with_failure(side, status, size, framing, share=1.0):
    """Answer with a failure of `size` bytes in parts; send only a `share` of it."""
    head = b"HTTP/1.1 %d X\r\n%s: id-1\r\n%s: seal\r\n" % (status, wire.REQUEST_ID, wire.SIGNATURE)
    head += {
        "length": b"Content-Length: %d\r\n" % size,
        "chunks": b"Transfer-Encoding: chunked\r\n",
        "close": b"",
    }[framing]
    parts = [min(PART_BYTES, size - at) for at in range(0, size, PART_BYTES)]
    frame = chunk if framing == "chunks" else bytes
    rows = [head + b"\r\n", *(frame(b"x" * length) for length in parts)]
    if framing == "chunks":
        rows.append(chunk(b""))
    for row in rows[: round(len(rows) * share)]:
        if side.closed:
            return
        side.reply(row)
    if framing == "close" and share == 1.0 and not side.closed:
        side.disconnect(orderly=True)


def send_request(world):
    """Send a request; return its caller and the target's side of its first attempt."""
    caller = world.caller()
    caller.send_request(b"body")
    return caller, world.attempt()


def last_answer(caller):
    """Return the status and the body of an answer that the caller got whole."""
    head, _, body = caller.received.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        assert body.endswith(b"0\r\n\r\n")
        rows = body.split(b"\r\n")
        body = b"".join(rows[1:-3:2])
    return int(head.split(b" ")[1]), body


@pytest.mark.parametrize("streaming", [False, True], ids=["plain", "streaming"])
@pytest.mark.parametrize(("status", "framing", "size"), product(NOT_RUN_STATUSES, FRAMINGS, SIZES))
def test_a_request_that_ran_and_may_not_run_again_is_not_called_not_run(
    status, framing, size, streaming
):
    world = World(targets=2, streaming=streaming)
    caller, side = send_request(world)
    reply_with_failure(side, status, size, framing)
    world.run(0.2)
    assert caller.status == 502
    assert not caller.transport.closed
    assert len(world.net.opened) == 1
    assert isinstance(world.outcomes[0], Unknown)


@pytest.mark.parametrize("streaming", [False, True], ids=["plain", "streaming"])
@pytest.mark.parametrize(("status", "framing", "size"), product([500, 404], FRAMINGS, SIZES))
def test_a_failure_that_may_be_passed_on_arrives_whole(status, framing, size, streaming):
    world = World(targets=2, streaming=streaming)
    caller, side = send_request(world)
    reply_with_failure(side, status, size, framing)
    world.run(0.2)
    assert last_answer(caller) == (status, b"x" * size)
    assert b"seal" in caller.received


@pytest.mark.parametrize(
    "fields",
    [{"repeatable": True}, {"streaming": True, "resumable": True}],
    ids=["plain", "resum."],
)
@pytest.mark.parametrize(("status", "framing", "size"), product([500, 503], FRAMINGS, SIZES))
def test_a_request_that_may_run_again_is_served_by_another_target(status, framing, size, fields):
    world = World(targets=2, max_targets=2, **fields)
    caller, side = send_request(world)
    reply_with_failure(side, status, size, framing)
    world.run(0.2)
    world.attempt().reply(answer(body=b"right"))
    assert last_answer(caller) == (200, b"right")
    assert world.outcomes == [Completed()]


@pytest.mark.parametrize(("status", "framing"), product([500, 503], FRAMINGS))
def test_the_last_failure_is_passed_on_whole_if_no_target_succeeds(status, framing):
    world = World(targets=2, repeatable=True, max_targets=2)
    caller, side = send_request(world)
    for _ in range(2):
        reply_with_failure(side, status, 400_000, framing)
        world.run(0.2)
        side = world.attempt()
    assert last_answer(caller) == (status, b"x" * 400_000)


@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "closed"])
@pytest.mark.parametrize(("status", "framing"), product([500, 503], ["length", "chunks"]))
def test_a_failure_that_is_cut_short_does_not_end_the_connection_of_its_caller(
    status, framing, is_reset
):
    world = World(targets=2)
    caller, side = send_request(world)
    reply_with_failure(side, status, 400_000, framing, share=0.75)
    side.disconnect(orderly=not is_reset)
    world.run(0.2)
    assert caller.status == 502
    assert not caller.transport.closed


def test_a_long_failure_of_a_hedge_does_not_overtake_an_attempt_that_succeeds():
    world = World(targets=3, repeatable=True, max_targets=2)
    caller, first = send_request(world)
    world.run(1.2)
    hedge = world.attempt()
    assert hedge is not first
    reply_with_failure(hedge, 503, 400_000, "chunks")
    world.run(0.1)
    assert not first.closed
    first.reply(answer(body=b"right"))
    assert last_answer(caller) == (200, b"right")


# Guards against a target that fails all of its requests and goes on getting them, since each of
# its failures counts as an answer that was passed on.
@pytest.mark.parametrize("size", [1000, 400_000])
@pytest.mark.parametrize(("status", "framing"), product([429, 500, 503], FRAMINGS))
def test_a_target_that_fails_all_of_its_requests_is_avoided(status, framing, size):
    world = World(targets=8, time_limit_s=2.0)
    failed = 0
    for _ in range(80):
        _, side = send_request(world)
        if side.address[1] == 9001:
            failed += 1
            reply_with_failure(side, status, size, framing)
        else:
            side.reply(answer())
        world.run(0.05)
    assert 1 <= failed <= 3
