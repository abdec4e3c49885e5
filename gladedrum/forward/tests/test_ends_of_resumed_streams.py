"""Streams that are resumed or hedged end by the end of all their events only.

Guards against a stream that looks whole since one of its attempts has ended, which has sent less
than another one or has marked no end, and against events that are missing or come twice.
"""

import itertools
import re
from typing import NamedTuple

import pytest

from gladedrum.forward.tests.support import World, chunk, event, received_answer, stream_head
from gladedrum.outcome import Completed
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits

COUNT = 5
EVENTS = [event(number) for number in range(1, COUNT + 1)]


class Script(NamedTuple):
    """What a target does: sends events up to one of them, and ends its connection.

    Parameters
    ----------
    framing : str
        What marks the end of its answer: ``length``, ``chunks`` or ``close``.
    last : int
        The number of the last event that it sends.
    ending : str
        How its connection ends: ``closes``, ``dies`` (its port refuses from then on), ``reset`` or
        ``stays``.
    is_whole : bool
        Whether the last chunk follows, and a length is that of what is sent.
    replays : bool
        Whether it begins with the first event, whichever the caller has got.
    within : bool
        Whether a part of one more event follows.
    """

    framing: str
    last: int
    ending: str = "reset"
    is_whole: bool = False
    replays: bool = False
    within: bool = False

    def answer(self, after):
        """Return the answer to a request for the events that follow one of them."""
        begin = 0 if self.replays else after
        parts = EVENTS[begin : max(begin, self.last)]
        if self.within:
            parts = [*parts, EVENTS[max(begin, self.last)][:-4]]
        match self.framing:
            case "chunks":
                body = b"".join(map(chunk, parts)) + (chunk(b"") if self.is_whole else b"")
                return stream_head() + body
            case "length":
                length = sum(map(len, parts if self.is_whole else EVENTS[begin:]))
                return stream_head(b"Content-Length: %d\r\n" % length) + b"".join(parts)
            case "close":
                return stream_head(b"") + b"".join(parts)


def make_world(targets=4, max_targets=4):
    return World(
        targets,
        EngineTraits(),
        streaming=True,
        resumable=True,
        max_targets=max_targets,
        pause_objective_s=0.25,
    )


def send(world, version=b"1.1"):
    caller = world.caller()
    caller.send(
        b"POST /x/2f HTTP/%s\r\nHost: a.example\r\n%s: id-1\r\n%s: 4000\r\n%s: Bearer k1\r\n"
        b"Content-Length: 4\r\n\r\nbody"
        % (version, wire.REQUEST_ID, wire.DEADLINE_MS, wire.AUTHORIZATION)
    )
    return caller


def open_attempt(world):
    """Return the target's side of the attempt that waits for its answer, None without one.

    Other open connections are those of checks whether a target lives.
    """
    world.run()
    sides = (side for side in reversed(world.net.opened) if side.sent and not side.closed)
    return next(sides, None)


def follow(world, side, script):
    """Have a target answer by a script."""
    named = re.findall(rb"%s: (\d+)" % wire.LAST_EVENT_ID, side.sent)
    side.reply(script.answer(int(named[-1]) if named else 0))
    if script.ending == "dies":
        world.net.refusing.add(side.address[1])
    if script.ending != "stays" and not side.closed:
        side.disconnect(orderly=script.ending != "reset")
    world.run(0.1)


def play(version, *scripts):
    """Return the world and the caller of a stream whose attempts follow scripts, one each."""
    world = make_world(max_targets=len(scripts))
    caller = send(world, version)
    for script in scripts:
        side = open_attempt(world)
        if side is None:
            break
        follow(world, side, script)
    return world, caller


def whole_events(body):
    return re.findall(rb".*?\n\n", body, re.DOTALL)


def fault_of(caller):
    """Return what is wrong with a caller's stream, empty if nothing is."""
    got = received_answer(caller)
    events = whole_events(got.body) if got.status == 200 else []
    if events != EVENTS[: len(events)]:
        return f"events {events}"
    if got.status == 200 and got.is_whole and len(events) < COUNT:
        return f"whole after {len(events)} events, by {got.mark}"
    return ""


FRAMINGS = ["length", "chunks", "close"]
CUTS = [(0, False), (1, False), (1, True), (4, False)]
LAST = Script("chunks", COUNT, "stays", is_whole=True)


def cut_scripts():
    for framing, (last, within), ending in itertools.product(
        FRAMINGS, CUTS, ["closes", "dies", "reset"]
    ):
        # A target that lives and closes too early can't be told from one that has finished.
        if (framing, ending, within) != ("close", "closes", False) or not last:
            yield Script(framing, last, ending, within=within)


# Guards against a cut attempt whose end is taken for the end of the stream.
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("second", ["length", "chunks", "close"])
def test_a_cut_stream_goes_on_to_its_last_event(second, version):
    faults = {}
    for first, (last, within) in itertools.product(cut_scripts(), CUTS):
        if last < first.last:
            continue
        resumed = Script(second, last, "dies", within=within)
        world, caller = play(version, first, resumed, LAST)
        got = received_answer(caller)
        if fault_of(caller) or not got.is_whole or world.outcomes != [Completed()]:
            faults[first, resumed] = fault_of(caller) or got
    assert not faults


# Guards against a cut attempt that ends the stream when no other one may follow.
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_cut_stream_that_may_not_go_on_does_not_look_whole(version):
    scripts = list(cut_scripts())
    plays = {script: play(version, script)[1] for script in scripts}
    plays |= {
        (first, second): play(version, first, second)[1]
        for first, second in itertools.product(scripts[::2], scripts)
        if second.last >= first.last and (second.framing != "close" or second.ending != "closes")
    }
    assert not {scripts: fault for scripts, caller in plays.items() if (fault := fault_of(caller))}


# Guards against the end of an attempt that has sent less than the one before it.
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("second", ["length", "chunks", "close"])
@pytest.mark.parametrize("first", FRAMINGS)
def test_a_replay_that_ends_before_what_was_sent_does_not_end_the_stream(first, second, version):
    faults = {}
    for last, ending in itertools.product(range(1, 4), ["closes", "dies"]):
        replay = Script(second, last, ending, is_whole=True, replays=True)
        cut = Script(first, 4, "dies")
        _world, caller = play(version, cut, replay)
        _world, resumed = play(version, cut, replay, LAST)
        faults[last, ending] = fault_of(caller) or fault_of(resumed)
        if not received_answer(resumed).is_whole:
            faults[last, ending] = "not resumed"
    assert not {case: fault for case, fault in faults.items() if fault}


# Guards against a replay from the beginning that gives events twice, or none of the others.
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("second", ["length", "chunks", "close"])
@pytest.mark.parametrize("first", FRAMINGS)
def test_a_replay_adds_what_was_not_sent(first, second, version):
    cut = Script(first, 2, "dies")
    replay = Script(second, COUNT, "closes", is_whole=True, replays=True)
    _world, caller = play(version, cut, replay, LAST)
    assert not fault_of(caller)
    assert received_answer(caller).is_whole
