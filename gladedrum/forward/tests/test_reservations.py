"""Memory is reserved at all helper engines or at none, and released however a request ends."""

import collections
import itertools
import json

import pytest

from gladedrum.forward.reservations import HOLD_SHARE
from gladedrum.forward.tests.support import World, answer, stream_head
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits

LONG = b"%s: 300000,100\r\n" % wire.TOKEN_USAGE


def long_world():
    return World(
        targets=3, engine=EngineTraits(), streaming=True, resumable=True, max_targets=2,
        time_limit_s=15.0, objective_s=2.5, pause_objective_s=1.0,
    )  # fmt: skip


def reservation_calls(world):
    """Return (operation, reservation id, address, connection) of the calls sent so far."""
    found = []
    for side in world.net.opened:
        for part in side.sent.split(b"\r\n\r\n"):
            body = part[part.find(b"{") : part.find(b"}") + 1]
            if body:
                row = json.loads(body)
                found.append((row["op"], row["id"], side.address, side))
    return found


def grant_all(world, status=200):
    for op, _name, _place, side in reservation_calls(world):
        if op == "reserve" and not side.closed and not getattr(side, "granted", False):
            side.granted = True
            side.reply(answer(status, b"{}", request_id=b""))
    world.run()


def world_with_reservations():
    """Return a world with a long prompt whose memory is reserved; its caller and engine's end."""
    world = long_world()
    caller = world.caller()
    caller.send_request(b"body", extra=LONG)
    world.run()
    grant_all(world)
    (sent,) = requests(world)
    return world, caller, sent


def requests(world):
    return [side for side in world.net.opened if b"/x/2f" in side.sent]


def test_a_prompt_too_large_for_one_engine_reserves_memory_at_helpers_first():
    world = long_world()
    caller = world.caller()
    caller.send_request(b"body", extra=LONG)
    world.run()
    assert not requests(world)
    assert {op for op, *_ in reservation_calls(world)} == {"reserve"}
    grant_all(world)
    (sent,) = requests(world)
    name = reservation_calls(world)[0][1]
    helpers = [line for line in sent.sent.split(b"\r\n") if line.lower().startswith(b"helpers:")]
    assert helpers[0].count(name.encode()) == len(
        {address for _, _, address, _ in reservation_calls(world)}
    )


@pytest.mark.parametrize("ending", ["answered", "caller leaves", "engine breaks", "time is up"])
def test_memory_is_released_however_the_request_ends(ending):
    world, caller, sent = world_with_reservations()
    reserved = {
        (name, address) for op, name, address, _ in reservation_calls(world) if op == "reserve"
    }
    match ending:
        case "answered":
            sent.reply(stream_head(b"Content-Length: 0\r\n"))
        case "caller leaves":
            caller.disconnect()
        case "engine breaks":
            world.net.refusing = {9001, 9002, 9003}
            sent.disconnect()
        case "time is up":
            world.net.advance(15.0)
    world.net.refusing = set()
    world.run(2.0)
    released = {
        (name, address) for op, name, address, _ in reservation_calls(world) if op == "release"
    }
    assert reserved <= released


def test_one_refused_reservation_releases_all_and_nothing_is_sent():
    world = long_world()
    caller = world.caller()
    caller.send_request(b"body", extra=LONG)
    world.run()
    grant_all(world, status=409)
    assert not requests(world)
    world.run(0.05)
    reserved = {
        (name, address) for op, name, address, _ in reservation_calls(world) if op == "reserve"
    }
    released = {
        (name, address) for op, name, address, _ in reservation_calls(world) if op == "release"
    }
    assert released & reserved


def test_a_reservation_expires_within_the_free_bound():
    world = long_world()
    world.caller().send_request(b"body", extra=LONG)
    world.run()
    holds = [
        json.loads(s.sent[s.sent.find(b"{") :])["holdMs"] for _, _, _, s in reservation_calls(world)
    ]
    assert max(holds) < world.ctx.free_bound_s * 1000


def test_a_release_during_a_renewal_logs_no_error(caplog):
    """Guards against logging an error when a release cancels a renewal."""
    world, caller, _sent = world_with_reservations()
    calls_before = len(reservation_calls(world))
    while len(reservation_calls(world)) == calls_before:
        world.run(0.1)
    caller.disconnect()
    world.run(0.5)
    assert "reservation task failed" not in caplog.text


def test_a_reservation_is_renewed_often_enough_to_lose_two_renewals():
    """Guards against expiry: an engine aborts a request whose reservation expires."""
    world = long_world()
    world.caller().send_request(b"body", extra=LONG)
    world.run()
    grant_all(world)
    assert requests(world)
    started_s, before, sent_s = world.net.seconds(), len(reservation_calls(world)), []
    hold_s = min(20.0, HOLD_SHARE * world.ctx.free_bound_s)
    while world.net.seconds() - started_s < hold_s - 0.05:
        world.run(0.05)
        renewals = [o for o in reservation_calls(world)[before:] if o[0] == "reserve"]
        before += len(renewals)
        sent_s += [world.net.seconds() - started_s] * bool(renewals)
    assert len(sent_s) >= 3, sent_s


def world_in_backoff(backoff_s):
    """Return a world with a stream whose targets have all requested a backoff; its caller."""
    world, caller, sent = world_with_reservations()
    sent.reply(stream_head())
    for name in ("t1", "t2", "t3"):
        world.view.note_backoff(name, backoff_s, world.net.seconds())
    return world, caller


def test_memory_at_an_engine_in_backoff_is_renewed_as_late_as_possible():
    world, _caller = world_in_backoff(backoff_s=6.0)
    hold_s = HOLD_SHARE * world.ctx.free_bound_s
    renewed_s = {address: [0.0] for _, _, address, _ in reservation_calls(world)}
    answered = collections.Counter(side for *_, side in reservation_calls(world))
    for step in range(1, 121):
        world.net.advance(0.05)
        world.run()
        for side, count in collections.Counter(
            side for *_, side in reservation_calls(world)
        ).items():
            if count > answered[side]:
                answered[side] = count
                renewed_s[side.address].append(step * 0.05)
                side.reply(answer(200, b"{}", request_id=b""))
    assert {op for op, *_ in reservation_calls(world)} == {"reserve"}
    for times in renewed_s.values():
        assert 2 <= len(times) - 1 <= 4
        assert max(b - a for a, b in itertools.pairwise([*times, 6.0])) < hold_s


def test_memory_that_expires_during_the_backoff_is_not_released_explicitly():
    world, caller = world_in_backoff(backoff_s=6.0)
    caller.disconnect()
    world.run(6.5)
    assert {op for op, *_ in reservation_calls(world)} == {"reserve"}


def test_memory_that_would_outlast_the_backoff_is_released_after_it():
    world, caller = world_in_backoff(backoff_s=1.0)
    caller.disconnect()
    world.run(0.9)
    assert {op for op, *_ in reservation_calls(world)} == {"reserve"}
    world.run(0.3)
    reserved = {address for op, _, address, _ in reservation_calls(world) if op == "reserve"}
    assert {
        address for op, _, address, _ in reservation_calls(world) if op == "release"
    } == reserved
