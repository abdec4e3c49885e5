"""Edge cases of hedging: long answers, slow or disconnecting callers, limits, failed placements.

Guards against losing the state of an attempt between messages, against hedges that exceed the
limits of a first attempt, and against hedges that are placed or charged but never sent.
"""

import pytest

from gladedrum.forward import hedging, request_task
from gladedrum.forward.relaying import BUFFERED_BYTES
from gladedrum.forward.tests.support import World, answer, chunk, event, not_run, stream_head
from gladedrum.forward.tests.test_drain import stop
from gladedrum.forward.tests.test_hedging import (
    distrusted,
    exhaust_retry_budget,
    placed_work,
    start_streams,
    streaming_world,
    wait_with_reports,
)
from gladedrum.outcome import Completed
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.utils import sleep

LONG = b"x" * (BUFFERED_BYTES + 1)


def plain_world(**route):
    return World(**{"repeatable": True, "max_targets": 2, "time_limit_s": 4.0, **route})


def send_and_connect(world):
    caller = world.caller()
    caller.send_request()
    return caller, world.attempt()


def delayed(world, call):
    """Wrap an async call so that it takes half a second longer."""

    async def delayed_call(*args):
        await sleep(world.net, 0.5)
        return await call(*args)

    return delayed_call


def test_a_stream_that_cannot_be_resumed_is_relayed_immediately():
    world = World(streaming=True, resumable=False)
    caller, target = send_and_connect(world)
    target.reply(stream_head() + chunk(event(1)))
    assert caller.received.count(b"data: e") == 1
    target.reply(chunk(event(2)))
    assert caller.received.count(b"data: e") == 2


def test_a_pause_in_a_long_plain_answer_causes_no_busy_loop(monkeypatch):
    checks = []
    check = hedging.HedgedAttempts._check_silence

    def bounded(self, now_s):
        checks.append(now_s)
        assert len(checks) < 1000
        return check(self, now_s)

    monkeypatch.setattr(hedging.HedgedAttempts, "_check_silence", bounded)
    world = plain_world()
    _caller, target = send_and_connect(world)
    target.reply(stream_head() + chunk(LONG))
    world.run(1.5)
    assert len(checks) < 100
    target.reply(chunk(b""))
    assert world.outcomes == [Completed()]


def test_a_long_error_answer_is_relayed_whole():
    world = plain_world()
    caller, target = send_and_connect(world)
    target.reply(answer(500, LONG))
    world.run(0.1)
    assert len(world.net.opened) == 2
    assert not caller.received
    world.net.opened[1].reply(answer(500, LONG))
    world.run(0.1)
    assert len(world.net.opened) == 2
    assert caller.status == 500
    assert caller.received.endswith(LONG)
    assert not caller.transport.closed


def test_a_broken_long_answer_is_not_joined_with_another_attempt():
    world = plain_world()
    caller, target = send_and_connect(world)
    target.reply(stream_head() + chunk(LONG))
    target.disconnect()
    world.run(0.1)
    for other in world.net.opened[1:]:
        other.reply(stream_head() + chunk(b"second run") + chunk(b""))
    assert b"second run" not in caller.received
    assert caller.transport.closed == "aborted"


def test_a_long_answer_broken_during_hedge_placement_is_not_joined_with_the_hedge():
    world = plain_world()
    world.ctx.retry_pool.take = delayed(world, world.ctx.retry_pool.take)
    caller, lead = send_and_connect(world)
    world.run(1.0)
    lead.reply(stream_head() + chunk(LONG))
    lead.disconnect()
    world.run(0.6)
    for other in world.net.opened[1:]:
        other.reply(stream_head() + chunk(b"second run") + chunk(b""))
    assert b"second run" not in caller.received
    assert caller.transport.closed == "aborted"
    assert placed_work(world) == 0


def test_refused_hedges_count_towards_the_attempt_limit():
    world = plain_world(targets=20, time_limit_s=30.0)
    _caller, lead = send_and_connect(world)
    for _ in range(35):
        world.run(0.1)
        for hedge in world.net.opened[1:]:
            if not hedge.closed and hedge.transport.pop_written():
                hedge.reply(not_run())
    assert not lead.closed
    assert world.ctx.pool.opened <= request_task.MAX_ATTEMPTS


def test_a_hedge_is_not_sent_to_the_silent_target():
    world = streaming_world(targets=1)
    (caller,), (lead,) = start_streams(world, 1)
    wait_with_reports(world, 1.8)
    assert len(world.net.opened) == 1
    lead.reply(chunk(event(2)) + chunk(b""))
    assert caller.received.endswith(b"0\r\n\r\n")


def test_no_retry_is_charged_when_the_caller_disconnects_during_placement():
    world = streaming_world()
    (caller,), (_lead,) = start_streams(world, 1)
    world.retry_shares.set_budget(0.0, 6.0, 1e9)
    before = world.retry_shares.left("s", world.net.seconds())
    world.ctx.placer.place = delayed(world, world.ctx.placer.place)
    wait_with_reports(world, 1.5)
    caller.disconnect()
    world.run(1.0)
    assert world.retry_shares.left("s", world.net.seconds()) == pytest.approx(before)
    assert placed_work(world) == 0


def test_no_hedge_is_sent_for_a_slow_caller():
    world = streaming_world()
    world.ctx.retry_pool.take = delayed(world, world.ctx.retry_pool.take)
    (caller,), (_lead,) = start_streams(world, 1)
    wait_with_reports(world, 1.5)
    caller.proto.pauseProducing()
    world.run(0.6)
    assert len(world.net.opened) == 1


def test_the_last_request_of_a_stopping_box_ends_before_the_process():
    """Guards against reporting a healthy engine as failed.

    The end of the process closes the connections to targets. A request that is still open then
    would take that for a failure of its target.
    """
    world = World(time_limit_s=30.0)
    caller, _target = send_and_connect(world)
    ended_before = []
    stop(world)
    world.factory.when_all_closed().addCallback(lambda _none: ended_before.extend(world.outcomes))
    world.run(3.0)
    caller.disconnect()
    assert len(ended_before) == 1


def test_a_silence_during_a_prefill_that_just_ended_causes_no_distrust():
    """Guards against distrust of an engine whose prefill of another prompt explains the silence."""
    world = streaming_world(engine=EngineTraits(), objective_s=1.0, time_limit_s=8.0)
    _callers, (lead,) = start_streams(world, 1)
    silent = next(name for name, e in world.targets.entries.items() if e.port == lead.address[1])
    long = WorkPlan("long", (silent,), 200_000, 100)
    world.view.note_placed(long, world.net.seconds())
    reads_until_s = world.view.state(silent).ledger.reads_until_s(EngineTraits())
    wait_with_reports(world, 3.0)
    _lead, hedge = world.net.opened
    assert world.net.seconds() < reads_until_s
    wait_with_reports(world, reads_until_s - world.net.seconds() + 0.1)
    hedge.reply(stream_head() + chunk(event(2)))
    assert distrusted(world) == []


def test_a_hedge_without_memory_does_not_use_retry_budget(monkeypatch):
    async def no_memory(_self, _made):
        return ["t2"]

    world = streaming_world(time_limit_s=4.0)
    start_streams(world, 1)
    world.retry_shares.set_budget(0.0, 6.0, 1e9)
    before = world.retry_shares.left("s", world.net.seconds())
    choose = world.ctx.chooser.choose
    world.ctx.chooser.choose = lambda *args: choose(*args)._replace(reserved=True)
    monkeypatch.setattr("gladedrum.forward.attempts.AttemptDispatcher._reserve", no_memory)
    wait_with_reports(world, 3.0)
    assert world.retry_shares.left("s", world.net.seconds()) == pytest.approx(before)


def test_a_hedge_that_is_not_sent_does_not_count_as_a_long_prompt():
    world = streaming_world(targets=2, engine=EngineTraits(), time_limit_s=8.0)
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: 60000,200\r\n" % wire.TOKEN_USAGE)
    world.attempt().reply(stream_head() + chunk(event(1)))
    exhaust_retry_budget(world)
    before = len(world.view.long_prompt_arrivals._arrivals)
    wait_with_reports(world, 4.0)
    assert len(world.net.opened) == 1
    assert len(world.view.long_prompt_arrivals._arrivals) == before
