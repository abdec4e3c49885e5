"""What a review of hedged tries found, each as it shows at a caller, a target or a peer.

Causes: a mark that meant both "has this try sent anything" and "did it go on with this message" was
cleared before each message, so long answers and streams that can't be resumed lost their state; a
hedge was not held to what a first try is (offers, targets, a caller that has left or is slow); a
search places and withdraws in place of asking only.
"""

import pytest

from gladedrum.forward import hedging, life
from gladedrum.forward.relaying import BUFFERED_BYTES
from gladedrum.forward.tests.support import World, answer, chunk, event, not_run, stream_head
from gladedrum.forward.tests.test_drain import stop
from gladedrum.forward.tests.test_hedging import (
    allow_no_repeats,
    begin_streams,
    distrusted,
    streaming_world,
    wait_with_reports,
    work_left,
)
from gladedrum.outcome import Completed
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.utils import sleep

LONG = b"x" * (BUFFERED_BYTES + 1)


def plain_world(**route):
    return World(**{"repeatable": True, "max_targets": 2, "time_limit_s": 4.0, **route})


def ask(world):
    caller = world.caller()
    caller.ask()
    return caller, world.attempt()


def slow(world, call):
    """Return a call that takes half a second longer."""

    async def slowly(*args):
        await sleep(world.net, 0.5)
        return await call(*args)

    return slowly


def test_a_stream_that_cannot_be_resumed_is_passed_on_as_it_comes():
    world = World(streaming=True, resumable=False)
    caller, target = ask(world)
    target.reply(stream_head() + chunk(event(1)))
    assert caller.got.count(b"data: e") == 1
    target.reply(chunk(event(2)))
    assert caller.got.count(b"data: e") == 2


def test_a_long_plain_answer_that_pauses_does_not_keep_the_box_busy(monkeypatch):
    looks = []
    look = hedging.HedgedTries._look

    def bounded(self, now_s):
        looks.append(now_s)
        assert len(looks) < 1000
        return look(self, now_s)

    monkeypatch.setattr(hedging.HedgedTries, "_look", bounded)
    world = plain_world()
    _caller, target = ask(world)
    target.reply(stream_head() + chunk(LONG))
    world.run(1.5)
    assert len(looks) < 100
    target.reply(chunk(b""))
    assert world.outcomes == [Completed()]


def test_a_long_answer_of_a_failure_goes_out_whole():
    world = plain_world()
    caller, target = ask(world)
    target.reply(answer(500, LONG))
    world.run(0.1)
    assert len(world.net.opened) == 1
    assert caller.got.endswith(LONG)
    assert not caller.wire.closed


def test_a_long_answer_that_breaks_is_not_joined_with_that_of_another_run():
    world = plain_world()
    caller, target = ask(world)
    target.reply(stream_head() + chunk(LONG))
    target.break_off()
    world.run(0.1)
    for other in world.net.opened[1:]:
        other.reply(stream_head() + chunk(b"second run") + chunk(b""))
    assert b"second run" not in caller.got
    assert caller.wire.closed == "aborted"


def test_a_long_answer_that_breaks_during_a_search_is_not_joined_with_that_of_the_hedge():
    world = plain_world()
    world.ctx.repeats.take = slow(world, world.ctx.repeats.take)
    caller, lead = ask(world)
    world.run(1.0)
    lead.reply(stream_head() + chunk(LONG))
    lead.break_off()
    world.run(0.6)
    for other in world.net.opened[1:]:
        other.reply(stream_head() + chunk(b"second run") + chunk(b""))
    assert b"second run" not in caller.got
    assert caller.wire.closed == "aborted"
    assert work_left(world) == 0


def test_hedges_that_are_refused_do_not_go_beyond_the_most_offers():
    world = plain_world(targets=20, time_limit_s=30.0)
    _caller, lead = ask(world)
    for _ in range(35):
        world.run(0.1)
        for hedge in world.net.opened[1:]:
            if not hedge.closed and hedge.wire.take():
                hedge.reply(not_run())
    assert not lead.closed
    assert world.ctx.pool.opened <= life.MOST_OFFERS


def test_a_hedge_does_not_go_to_the_target_that_is_silent():
    world = streaming_world(targets=1)
    (caller,), (lead,) = begin_streams(world, 1)
    wait_with_reports(world, 1.8)
    assert len(world.net.opened) == 1
    lead.reply(chunk(event(2)) + chunk(b""))
    assert caller.got.endswith(b"0\r\n\r\n")


def test_no_repeat_is_taken_for_a_caller_that_has_left_during_the_search():
    world = streaming_world()
    (caller,), (_lead,) = begin_streams(world, 1)
    world.repeats.set_bound(0.0, 6.0, 1e9)
    before = world.repeats.left("s", world.net.seconds())
    world.ctx.placer.place = slow(world, world.ctx.placer.place)
    wait_with_reports(world, 1.5)
    caller.leave()
    world.run(1.0)
    assert world.repeats.left("s", world.net.seconds()) == pytest.approx(before)
    assert work_left(world) == 0


def test_no_hedge_is_sent_while_the_caller_takes_its_answer_slowly():
    world = streaming_world()
    world.ctx.repeats.take = slow(world, world.ctx.repeats.take)
    (caller,), (_lead,) = begin_streams(world, 1)
    wait_with_reports(world, 1.5)
    caller.proto.pauseProducing()
    world.run(0.6)
    assert len(world.net.opened) == 1


def test_the_request_of_the_last_caller_that_leaves_a_stopping_box_ends_before_the_process():
    """Seen: a caller's leaving let the process end, which its request took for a broken engine.

    The engine was told to all boxes as failed, and the request as lost by it.
    """
    world = World(time_limit_s=30.0)
    caller, _target = ask(world)
    ended_before = []
    stop(world)
    world.factory.when_all_closed().addCallback(lambda _none: ended_before.extend(world.outcomes))
    world.run(3.0)
    caller.leave()
    assert len(ended_before) == 1


def test_a_silence_that_reading_explained_is_no_failure_though_the_reading_has_just_ended():
    """Seen: a hedge overtook an engine 0.1 s after the end of the reading that had stopped it."""
    world = streaming_world(engine=EngineTraits(), objective_s=1.0, time_limit_s=8.0)
    _callers, (lead,) = begin_streams(world, 1)
    silent = next(name for name, e in world.targets.entries.items() if e.port == lead.place[1])
    long = WorkPlan("long", (silent,), 200_000, 100)
    world.view.note_placed(long, world.net.seconds())
    reads_until_s = world.view.state(silent).ledger.reads_until_s(EngineTraits())
    wait_with_reports(world, 3.0)
    _lead, hedge = world.net.opened
    assert world.net.seconds() < reads_until_s
    wait_with_reports(world, reads_until_s - world.net.seconds() + 0.1)
    hedge.reply(stream_head() + chunk(event(2)))
    assert distrusted(world) == []


def test_a_search_that_finds_no_memory_does_not_use_up_the_repeats(monkeypatch):
    async def no_memory(_self, _made):
        return ["t2"]

    world = streaming_world(time_limit_s=4.0)
    begin_streams(world, 1)
    world.repeats.set_bound(0.0, 6.0, 1e9)
    before = world.repeats.left("s", world.net.seconds())
    choose = world.ctx.chooser.choose
    world.ctx.chooser.choose = lambda *args: choose(*args)._replace(reserved=True)
    monkeypatch.setattr("gladedrum.forward.tries.TryMaker._reserve", no_memory)
    wait_with_reports(world, 3.0)
    assert world.repeats.left("s", world.net.seconds()) == pytest.approx(before)


def test_a_search_that_sends_nothing_does_not_count_as_long_prompts():
    world = streaming_world(targets=2, engine=EngineTraits(), time_limit_s=8.0)
    caller = world.caller()
    caller.ask(b"body", extra=b"%s: 60000,200\r\n" % wire.TOKENS_IN_OUT)
    world.attempt().reply(stream_head() + chunk(event(1)))
    allow_no_repeats(world)
    before = len(world.view.long_reads._arrivals)
    wait_with_reports(world, 4.0)
    assert len(world.net.opened) == 1
    assert len(world.view.long_reads._arrivals) == before
