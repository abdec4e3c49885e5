"""A target that falls silent: its answer is given up only for one that has begun elsewhere.

Seen: with nothing but planned work under way, begun streams were cut, on boxes that were stopping
and on others. How it came about: a prompt of 656,000 tokens was read on 16 of 18 engines for 2.5 s,
and the streams on them paused for as long; after 1.4 s of it thirty streams of seven boxes gave up
their engines, all of which answered their reports. Cause: the live answer was closed before a
place, a repeat and a connection for its substitute were there, so where one was missing the caller
was cut off. What proved it: two streams on the stopping box ended with "the repeats that may be
sent are used up" 10 ms after their engine's connection was closed; the tests below do so without
any stop.
"""

from gladedrum.fleet import TargetReport
from gladedrum.forward.tests.support import (
    World,
    answer,
    chunk,
    event,
    stream_head,
)
from gladedrum.outcome import Completed
from gladedrum.platform import wire

SHORT = b"%s: 100,200\r\n" % wire.TOKENS_IN_OUT


def streaming_world(**route) -> World:
    fields = {"streaming": True, "resumable": True, "max_targets": 2, "pause_objective_s": 0.25}
    return World(**{**fields, **route})


def allow_no_repeats(world):
    world.repeats.set_bound(0.0, 0.0, 1.0)


def wait_with_reports(world, seconds):
    """Let time pass while all engines answer their reports."""
    for _ in range(round(seconds / 0.1)):
        for name in world.targets.entries:
            report = TargetReport(0, 1, 100, 232_000, 1.0, ())
            world.view.note_report(name, report, world.net.seconds())
        world.run(0.1)


def begin_streams(world, count):
    """Return callers and the targets that have begun their streams."""
    callers = [world.caller() for _ in range(count)]
    for caller in callers:
        caller.ask(b"body", extra=SHORT)
    world.run()
    targets = list(world.net.opened)
    for target in targets:
        target.reply(stream_head() + chunk(event(1)))
    return callers, targets


def test_a_begun_stream_without_a_repeat_is_not_cut_while_its_target_lives():
    world = streaming_world()
    allow_no_repeats(world)
    (caller,), (target,) = begin_streams(world, 1)
    wait_with_reports(world, 1.8)
    assert not caller.wire.closed
    target.reply(chunk(event(2)) + chunk(b""))
    assert caller.got.endswith(b"0\r\n\r\n")
    assert world.outcomes == [Completed()]


def test_streams_that_pause_all_at_once_are_not_cut_and_their_targets_stay_trusted():
    world = streaming_world()
    callers, targets = begin_streams(world, 9)
    world.repeats.set_bound(0.0, 6.0, 1.0)
    world.net.connect_delay_s = 5.0
    wait_with_reports(world, 1.8)
    for target in targets:
        target.reply(chunk(event(2)) + chunk(b""))
    world.run()
    assert world.outcomes == [Completed()] * 9
    assert all(caller.got.count(b"data: e") == 2 for caller in callers)
    now_s = world.net.seconds()
    assert all(world.view.state(name).distrust_at(now_s) == 0 for name in world.targets.entries)


def test_a_plain_answer_that_comes_late_is_delivered_if_it_could_not_be_asked_for_again():
    world = World(repeatable=True, max_targets=2, time_limit_s=4.0)
    allow_no_repeats(world)
    caller = world.caller()
    caller.ask()
    target = world.attempt()
    world.run(2.0)
    target.reply(answer(200, b"late"))
    assert caller.got.endswith(b"late")
    assert world.outcomes == [Completed()]
