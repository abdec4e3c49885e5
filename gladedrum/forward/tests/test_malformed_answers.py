"""Answers of targets that can't be passed on: their callers get a clear error, or another answer.

Guards against a connection that is closed without an answer, since the head of the target's answer
can't be written again.
"""

import pytest

from gladedrum.forward.tests.support import World, answer, chunk

MALFORMED = {
    "status 000": answer().replace(b" 200 ", b" 000 "),
    "status 099": answer().replace(b" 200 ", b" 099 "),
    "status 600": answer(600, b"text"),
    "status 999": answer(999, b"text"),
    "length and chunks": answer(200, b"", extra=b"Transfer-Encoding: chunked\r\n")
    + chunk(b"text")
    + chunk(b""),
}


@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("name", MALFORMED)
def test_the_caller_of_a_request_that_may_not_run_again_gets_an_error(name, streaming):
    world = World(targets=2, streaming=streaming)
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(MALFORMED[name])
    world.run(0.2)
    assert len(world.net.opened) == 1
    assert caller.status == 502
    assert b"not an answer in the protocol" in caller.received
    assert not caller.transport.closed
    assert world.net.opened[0].closed


@pytest.mark.parametrize("name", MALFORMED)
def test_a_request_that_may_run_again_is_sent_to_another_target(name):
    world = World(targets=2, repeatable=True, max_targets=2)
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(MALFORMED[name])
    world.run(0.2)
    assert len(world.net.opened) == 2
    world.net.opened[1].reply(answer(body=b"right"))
    assert caller.status == 200
    assert caller.received.endswith(b"right")


# Guards against a request that is dropped with a malformed surplus answer to an earlier one.
def test_a_malformed_answer_to_another_request_ends_the_attempt():
    world = World(targets=1)
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(answer(700, request_id=b"id-0") + answer())
    world.run(0.2)
    assert caller.status == 502
