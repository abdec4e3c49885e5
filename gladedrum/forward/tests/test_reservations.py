"""Memory on helping engines is all taken or none, and freed on every way out."""

import collections
import itertools
import json

import pytest

from gladedrum.forward.reservations import HOLD_SHARE
from gladedrum.forward.tests.support import World, answer, stream_head
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits

LONG = b"%s: 300000,100\r\n" % wire.TOKENS_IN_OUT


def long_world():
    return World(
        targets=3, engine=EngineTraits(), streaming=True, resumable=True, max_targets=2,
        time_limit_s=15.0, objective_s=2.5, pause_objective_s=1.0,
    )  # fmt: skip


def orders(world):
    """Return (operation, reservation, place, connection) of each order so far, in order."""
    found = []
    for side in world.net.opened:
        for part in side.sent.split(b"\r\n\r\n"):
            body = part[part.find(b"{") : part.find(b"}") + 1]
            if body:
                row = json.loads(body)
                found.append((row["op"], row["id"], side.place, side))
    return found


def grant_all(world, status=200):
    for op, _name, _place, side in orders(world):
        if op == "reserve" and not side.closed and not getattr(side, "granted", False):
            side.granted = True
            side.reply(answer(status, b"{}", request_id=b""))
    world.run()


def begun_world():
    """Return a world, a caller's long prompt whose memory is set aside, and its engine's end."""
    world = long_world()
    caller = world.caller()
    caller.ask(b"body", extra=LONG)
    world.run()
    grant_all(world)
    (sent,) = requests(world)
    return world, caller, sent


def requests(world):
    return [side for side in world.net.opened if b"/x/2f" in side.sent]


def test_a_prompt_beyond_one_engine_takes_memory_at_its_helpers_first():
    world = long_world()
    caller = world.caller()
    caller.ask(b"body", extra=LONG)
    world.run()
    assert not requests(world)
    assert {op for op, *_ in orders(world)} == {"reserve"}
    grant_all(world)
    (sent,) = requests(world)
    name = orders(world)[0][1]
    helpers = [line for line in sent.sent.split(b"\r\n") if line.lower().startswith(b"helpers:")]
    assert helpers[0].count(name.encode()) == len({place for _, _, place, _ in orders(world)})


@pytest.mark.parametrize("way", ["answered", "caller leaves", "engine breaks", "time is up"])
def test_memory_is_given_back_on_every_way_out(way):
    world, caller, sent = begun_world()
    taken = {(name, place) for op, name, place, _ in orders(world) if op == "reserve"}
    match way:
        case "answered":
            sent.reply(stream_head(b"Content-Length: 0\r\n"))
        case "caller leaves":
            caller.leave()
        case "engine breaks":
            world.net.refusing = {9001, 9002, 9003}
            sent.break_off()
        case "time is up":
            world.net.advance(15.0)
    world.net.refusing = set()
    world.run(2.0)
    released = {(name, place) for op, name, place, _ in orders(world) if op == "release"}
    assert taken <= released


def test_one_refusal_gives_all_back_and_the_request_is_not_sent():
    world = long_world()
    caller = world.caller()
    caller.ask(b"body", extra=LONG)
    world.run()
    grant_all(world, status=409)
    assert not requests(world)
    world.run(0.05)
    reserved = {(name, place) for op, name, place, _ in orders(world) if op == "reserve"}
    released = {(name, place) for op, name, place, _ in orders(world) if op == "release"}
    assert released & reserved


def test_a_hold_is_short_enough_to_lapse_by_itself_in_time():
    world = long_world()
    world.caller().ask(b"body", extra=LONG)
    world.run()
    holds = [json.loads(s.sent[s.sent.find(b"{") :])["holdMs"] for _, _, _, s in orders(world)]
    assert max(holds) < world.ctx.free_bound_s * 1000


def test_a_release_while_the_memory_is_renewed_is_no_fault(caplog):
    """Found by a play of a large fleet: an error was logged where a renewal was cut short."""
    world, caller, _sent = begun_world()
    orders_before = len(orders(world))
    while len(orders(world)) == orders_before:
        world.run(0.1)
    caller.leave()
    world.run(0.5)
    assert "reservation's task failed" not in caplog.text


def test_two_renewals_may_be_lost():
    """Only one could be, or none beside an engine without an answer: the next came after the hold,
    and an engine cuts the request whose memory lapses."""
    world = long_world()
    world.caller().ask(b"body", extra=LONG)
    world.run()
    grant_all(world)
    assert requests(world)
    begun_s, before, sent_s = world.net.seconds(), len(orders(world)), []
    hold_s = min(20.0, HOLD_SHARE * world.ctx.free_bound_s)
    while world.net.seconds() - begun_s < hold_s - 0.05:
        world.run(0.05)
        renewals = [o for o in orders(world)[before:] if o[0] == "reserve"]
        before += len(renewals)
        sent_s += [world.net.seconds() - begun_s] * bool(renewals)
    assert len(sent_s) >= 3, sent_s


def resting_world(rest_s):
    """Return a world with a stream whose helpers want rest, and when they said so."""
    world, caller, sent = begun_world()
    sent.reply(stream_head())
    for name in ("t1", "t2", "t3"):
        world.view.note_rest(name, rest_s, world.net.seconds())
    return world, caller


def test_memory_at_an_engine_that_wants_rest_is_renewed_as_late_as_it_may():
    world, _caller = resting_world(rest_s=6.0)
    hold_s = HOLD_SHARE * world.ctx.free_bound_s
    came_s = {place: [0.0] for _, _, place, _ in orders(world)}
    answered = collections.Counter(side for *_, side in orders(world))
    for step in range(1, 121):
        world.net.advance(0.05)
        world.run()
        for side, count in collections.Counter(side for *_, side in orders(world)).items():
            if count > answered[side]:
                answered[side] = count
                came_s[side.place].append(step * 0.05)
                side.reply(answer(200, b"{}", request_id=b""))
    assert {op for op, *_ in orders(world)} == {"reserve"}
    for times in came_s.values():
        assert 2 <= len(times) - 1 <= 4
        assert max(b - a for a, b in itertools.pairwise([*times, 6.0])) < hold_s


def test_memory_that_lapses_within_the_rest_is_not_freed_by_an_order():
    world, caller = resting_world(rest_s=6.0)
    caller.leave()
    world.run(6.5)
    assert {op for op, *_ in orders(world)} == {"reserve"}


def test_memory_that_would_outlast_the_rest_is_freed_after_it():
    world, caller = resting_world(rest_s=1.0)
    caller.leave()
    world.run(0.9)
    assert {op for op, *_ in orders(world)} == {"reserve"}
    world.run(0.3)
    taken = {place for op, _, place, _ in orders(world) if op == "reserve"}
    assert {place for op, _, place, _ in orders(world) if op == "release"} == taken
