"""Failures while a hedge is prepared: its retry grant and its placement must be given back."""

import pytest

from gladedrum.forward.attempts import AttemptDispatcher
from gladedrum.forward.tests.support import chunk, event
from gladedrum.forward.tests.test_hedging import (
    placed_work,
    start_streams,
    streaming_world,
    wait_with_reports,
)


def fail_once(monkeypatch, owner, name):
    """Patch a method so that its first call raises an exception."""
    real = getattr(owner, name)
    left = [1]

    def failing(*args, **kwargs):
        if left:
            left.pop()
            raise RuntimeError("fault")
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, name, failing)


def test_a_failed_hedge_placement_refunds_its_retry(monkeypatch):
    world = streaming_world(time_limit_s=8.0)
    _callers, (lead,) = start_streams(world, 1)
    world.retry_shares.set_budget(0.0, 6.0, 1e9)
    before = world.retry_shares.left("s", world.net.seconds())
    fail_once(monkeypatch, world.ctx.placer, "place")
    wait_with_reports(world, 1.45)
    assert len(world.net.opened) == 1
    lead.reply(chunk(event(2)) + chunk(b""))
    assert world.retry_shares.left("s", world.net.seconds()) == pytest.approx(before)


def test_a_failed_hedge_preparation_releases_its_placement(monkeypatch):
    world = streaming_world(time_limit_s=8.0)
    start_streams(world, 1)
    fail_once(monkeypatch, AttemptDispatcher, "_reserve_memory")
    wait_with_reports(world, 1.45)
    assert len(world.net.opened) == 1
    assert placed_work(world) == 1
