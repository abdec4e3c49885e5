"""What a review of the joined changes found, each as it shows at a caller, a target or a peer."""

import pytest

from gladedrum.forward.tests.support import chunk, event
from gladedrum.forward.tests.test_hedging import (
    begin_streams,
    streaming_world,
    wait_with_reports,
    work_left,
)
from gladedrum.forward.tries import TryMaker


def fail_once(monkeypatch, owner, name):
    """Let a call fail with a fault once."""
    real = getattr(owner, name)
    left = [1]

    def failing(*args, **kwargs):
        if left:
            left.pop()
            raise RuntimeError("fault")
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, name, failing)


def test_a_search_that_fails_gives_its_repeat_back(monkeypatch):
    world = streaming_world(time_limit_s=8.0)
    _callers, (lead,) = begin_streams(world, 1)
    world.repeats.set_bound(0.0, 6.0, 1e9)
    before = world.repeats.left("s", world.net.seconds())
    fail_once(monkeypatch, world.ctx.placer, "place")
    wait_with_reports(world, 1.45)
    assert len(world.net.opened) == 1
    lead.reply(chunk(event(2)) + chunk(b""))
    assert world.repeats.left("s", world.net.seconds()) == pytest.approx(before)


def test_a_search_that_fails_keeps_no_place(monkeypatch):
    world = streaming_world(time_limit_s=8.0)
    begin_streams(world, 1)
    fail_once(monkeypatch, TryMaker, "_get_memory")
    wait_with_reports(world, 1.45)
    assert len(world.net.opened) == 1
    assert work_left(world) == 1
