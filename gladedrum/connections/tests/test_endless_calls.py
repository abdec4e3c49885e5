"""Answers without end to calls for reports and orders.

Guards against a call that keeps what a target sends for as long as it comes, and counts all of it
anew with each part.
"""

import pytest
from twisted.trial.unittest import SynchronousTestCase

from gladedrum.connections import calls
from gladedrum.forward.tests.support import World, chunk
from gladedrum.placing.reports import read_report
from gladedrum.utils import start

HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def begin_report(world):
    call = start(read_report(world.net, world.ctx.pool, world.targets.entries["t1"]))
    return call, world.attempt()


@pytest.mark.parametrize("part", [b"x" * 65_536, b" " * 1000], ids=["large", "small"])
def test_an_answer_to_a_call_is_not_read_without_end(part):
    world = World()
    call, side = begin_report(world)
    side.reply(HEAD)
    sent_bytes = 0
    while not side.closed:
        assert sent_bytes <= 1_200_000
        side.reply(chunk(part))
        sent_bytes += len(part)
    assert SynchronousTestCase().successResultOf(call) is None


def test_an_answer_in_chunks_of_one_byte_ends_with_the_time_of_its_call(monkeypatch):
    counted = 0

    def counting_len(value):
        nonlocal counted
        counted += 1
        return len(value)

    monkeypatch.setattr(calls, "len", counting_len, raising=False)
    world = World()
    call, side = begin_report(world)
    side.reply(HEAD + chunk(b" ") * 5000)
    world.run(5.0)
    assert side.closed
    assert SynchronousTestCase().successResultOf(call) is None
    assert counted <= 20_000
