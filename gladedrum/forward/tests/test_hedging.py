"""Hedging of a silent target: the *lead* keeps the request until its *hedge* makes progress.

Guards against closing a live connection before a substitute is ready: if placement, retry budget or
connection then fails, the caller is cut off.
"""

import pytest

from gladedrum.fleet import TargetReport
from gladedrum.forward.tests.support import (
    World,
    answer,
    chunk,
    event,
    not_run,
    stream_head,
)
from gladedrum.outcome import Completed, Unknown
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.utils import sleep

SHORT = b"%s: 100,200\r\n" % wire.TOKEN_USAGE


def streaming_world(**route) -> World:
    fields = {"streaming": True, "resumable": True, "max_targets": 2, "pause_objective_s": 0.25}
    return World(**{**fields, **route})


def exhaust_retry_budget(world):
    world.retry_shares.set_budget(0.0, 0.0, 1.0)


def wait_with_reports(world, seconds):
    """Advance the clock while all engines send reports and hold the requests they were sent."""
    for _ in range(round(seconds / 0.1)):
        for name in world.targets.entries:
            held = int(world.view.state(name).ledger.tokens)
            report = TargetReport(0, 1, held, 232_000, 1.0, ())
            world.view.note_report(name, report, world.net.seconds())
        world.run(0.1)


def start_streams(world, count):
    """Start streams; return their callers and the targets' ends, each with one event sent."""
    callers = [world.caller() for _ in range(count)]
    for caller in callers:
        caller.send_request(b"body", extra=SHORT)
    world.run()
    targets = list(world.net.opened)
    for target in targets:
        target.reply(stream_head() + chunk(event(1)))
    return callers, targets


def test_a_stream_that_cannot_be_retried_is_kept_while_its_target_lives():
    world = streaming_world()
    exhaust_retry_budget(world)
    (caller,), (target,) = start_streams(world, 1)
    wait_with_reports(world, 1.8)
    assert not caller.transport.closed
    target.reply(chunk(event(2)) + chunk(b""))
    assert caller.received.endswith(b"0\r\n\r\n")
    assert world.outcomes == [Completed()]


def test_streams_that_pause_together_are_kept_and_cause_no_distrust():
    world = streaming_world()
    callers, targets = start_streams(world, 9)
    world.retry_shares.set_budget(0.0, 6.0, 1.0)
    world.net.connect_delay_s = 5.0
    wait_with_reports(world, 1.8)
    for target in targets:
        target.reply(chunk(event(2)) + chunk(b""))
    world.run()
    assert world.outcomes == [Completed()] * 9
    assert all(caller.received.count(b"data: e") == 2 for caller in callers)
    now_s = world.net.seconds()
    assert all(world.view.state(name).distrust_at(now_s) == 0 for name in world.targets.entries)


def test_a_late_plain_answer_is_delivered_if_no_retry_was_possible():
    world = World(repeatable=True, max_targets=2, time_limit_s=4.0)
    exhaust_retry_budget(world)
    caller = world.caller()
    caller.send_request()
    target = world.attempt()
    world.run(2.0)
    target.reply(answer(200, b"late"))
    assert caller.received.endswith(b"late")
    assert world.outcomes == [Completed()]


def hedged_stream(world=None):
    """Return a world with a stream that was hedged after a silence; its caller, lead and hedge."""
    world = world or streaming_world()
    (caller,), (lead,) = start_streams(world, 1)
    wait_with_reports(world, 1.5)
    _lead, hedge = world.net.opened
    assert b"%s: 1\r\n" % wire.LAST_EVENT_ID in hedge.sent
    assert not lead.closed
    return world, caller, lead, hedge


def distrusted(world):
    now_s = world.net.seconds()
    return [name for name in world.targets.entries if world.view.state(name).distrust_at(now_s)]


def placed_work(world):
    return sum(len(world.view.state(name).ledger.rows) for name in world.targets.entries)


def test_a_hedge_that_continues_first_takes_over_the_stream():
    world, caller, lead, hedge = hedged_stream()
    hedge.reply(stream_head(signature=b"seal-2") + chunk(event(2)))
    assert lead.closed == "aborted"
    assert len(distrusted(world)) == 1
    hedge.reply(chunk(event(3)) + chunk(b""))
    assert caller.received.count(b"data: e") == 3
    assert b"seal-2" not in caller.received
    assert world.outcomes == [Completed()]
    assert placed_work(world) == 0


def test_a_lead_that_continues_first_cancels_its_hedge():
    world, caller, lead, hedge = hedged_stream()
    lead.reply(chunk(event(2)))
    assert hedge.closed == "aborted"
    lead.reply(chunk(event(3)) + chunk(b""))
    assert caller.received.count(b"data: e") == 3
    assert world.outcomes == [Completed()]
    assert distrusted(world) == []
    assert placed_work(world) == 0


def test_repeated_events_do_not_count_as_progress():
    _world, caller, lead, hedge = hedged_stream()
    hedge.reply(stream_head() + chunk(event(1)))
    assert not lead.closed
    lead.reply(chunk(event(2)))
    assert hedge.closed == "aborted"
    assert caller.received.count(b"data: e") == 2


def test_a_refused_or_broken_hedge_does_not_affect_the_lead():
    for fail in (lambda hedge: hedge.reply(not_run()), lambda hedge: hedge.disconnect()):
        _world, caller, lead, hedge = hedged_stream()
        fail(hedge)
        assert not lead.closed
        lead.reply(chunk(event(2)) + chunk(b""))
        assert caller.received.endswith(b"0\r\n\r\n")


def test_a_running_hedge_replaces_a_broken_lead_without_another_retry():
    world, caller, lead, hedge = hedged_stream()
    exhaust_retry_budget(world)
    lead.disconnect()
    hedge.reply(stream_head() + chunk(event(2)) + chunk(b""))
    assert caller.received.endswith(b"0\r\n\r\n")
    assert len(world.net.opened) == 2


def test_a_hedge_in_preparation_replaces_a_broken_lead():
    world = streaming_world()
    prepared = []
    take = world.ctx.retry_pool.take

    async def delayed_take(service):
        await sleep(world.net, 0.5)
        prepared.append(service)
        return await take(service)

    world.ctx.retry_pool.take = delayed_take
    (caller,), (lead,) = start_streams(world, 1)
    wait_with_reports(world, 1.5)
    assert not prepared
    lead.disconnect()
    world.run(0.6)
    assert len(prepared) == 1
    world.attempt().reply(stream_head() + chunk(event(2)) + chunk(b""))
    assert caller.received.endswith(b"0\r\n\r\n")
    assert len(world.net.opened) == 2


def test_a_hedge_in_preparation_is_dropped_when_the_lead_continues():
    world = streaming_world()

    async def delayed_take(_service):
        await sleep(world.net, 0.5)
        return True

    world.ctx.retry_pool.take = delayed_take
    (_caller,), (lead,) = start_streams(world, 1)
    wait_with_reports(world, 1.5)
    lead.reply(chunk(event(2)))
    world.run(0.6)
    assert len(world.net.opened) == 1
    lead.reply(chunk(b""))
    assert placed_work(world) == 0


def test_a_disconnecting_caller_cancels_lead_and_hedge():
    world, caller, lead, hedge = hedged_stream()
    caller.disconnect()
    assert (lead.closed, hedge.closed) == ("aborted", "aborted")
    assert placed_work(world) == 0
    assert isinstance(world.outcomes[0], Unknown)


def test_the_time_limit_cancels_lead_and_hedge():
    world, caller, lead, hedge = hedged_stream(streaming_world(time_limit_s=1.8))
    world.run(0.4)
    assert caller.transport.closed == "aborted"
    assert (lead.closed, hedge.closed) == ("aborted", "aborted")
    assert placed_work(world) == 0


def test_a_stream_is_not_hedged_beyond_max_targets():
    world, _caller, lead, _hedge = hedged_stream()
    wait_with_reports(world, 0.6)
    assert len(world.net.opened) == 2
    lead.reply(chunk(event(2)))
    wait_with_reports(world, 1.7)
    assert len(world.net.opened) == 2
    lead.reply(chunk(b""))
    assert world.outcomes == [Completed()]


def test_a_pause_shared_by_all_engines_is_not_hedged():
    """Guards against a retry storm: hedges would go to engines that are paused as well."""
    world = streaming_world(engine=EngineTraits(memory_tokens=10_000_000))
    _callers, targets = start_streams(world, 9)
    names = tuple(world.targets.entries)
    world.view.note_placed(WorkPlan("long", names, 250_000, 100), world.net.seconds())
    wait_with_reports(world, 1.6)
    assert len(world.net.opened) == 9
    world.view.note_ended(WorkPlan("long", names))
    for target in targets:
        target.reply(chunk(event(2)) + chunk(b""))
    assert world.outcomes == [Completed()] * 9
    assert distrusted(world) == []


def test_a_slow_caller_does_not_count_as_a_silent_target():
    world = streaming_world()
    (caller,), (_lead,) = start_streams(world, 1)
    caller.proto.pauseProducing()
    wait_with_reports(world, 1.8)
    assert len(world.net.opened) == 1
    caller.proto.resumeProducing()
    wait_with_reports(world, 1.0)
    assert len(world.net.opened) == 1
    wait_with_reports(world, 0.6)
    assert len(world.net.opened) == 2


def test_the_first_complete_plain_answer_is_used():
    for first in (0, 1):
        world = World(repeatable=True, max_targets=2, time_limit_s=4.0)
        caller = world.caller()
        caller.send_request()
        world.run(1.0)
        assert len(world.net.opened) == 2
        world.net.opened[first].reply(answer(200, b"whole"))
        assert caller.received.endswith(b"whole")
        assert world.net.opened[1 - first].closed == "aborted"
        assert world.outcomes == [Completed()]


def test_a_failed_attempt_is_not_reported_while_another_runs():
    world = World(repeatable=True, max_targets=2, time_limit_s=4.0)
    caller = world.caller()
    caller.send_request()
    world.run(1.0)
    lead, hedge = world.net.opened
    lead.reply(answer(500, b"failed"))
    assert not caller.received
    hedge.reply(answer(200, b"whole"))
    assert caller.received.endswith(b"whole")


@pytest.mark.parametrize(("writers", "hedges"), [(0, 1), (7, 0)])
def test_a_stream_is_not_hedged_where_that_delays_other_streams_more(writers, hedges):
    world = streaming_world(targets=2, engine=EngineTraits(), objective_s=1.0, time_limit_s=8.0)
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: 60000,200\r\n" % wire.TOKEN_USAGE)
    lead = world.attempt()
    lead.reply(stream_head() + chunk(event(1)))
    silent = next(name for name, e in world.targets.entries.items() if e.port == lead.address[1])
    other = next(name for name in world.targets.entries if name != silent)
    now_s = world.net.seconds()
    world.view.note_placed(WorkPlan("long", (silent,), 200_000, 100), now_s)
    for number in range(writers):
        plan = WorkPlan(f"s{number}", (other,), 100, 4_000, pause_limit_s=0.25)
        world.view.note_placed(plan, now_s)
        world.view.note_first_event(plan, now_s)
    wait_with_reports(world, 3.0)
    assert len(world.net.opened) - 1 == hedges
