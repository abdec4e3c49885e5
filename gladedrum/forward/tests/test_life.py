"""The life cycle of a request, from a scripted caller through the box to scripted targets."""

import pytest

from gladedrum.fleet import TargetReport
from gladedrum.forward.tests.support import (
    KEY,
    KEY_BOUND_S,
    World,
    answer,
    chunk,
    event,
    not_run,
    stream_head,
)
from gladedrum.outcome import Completed, NotRun, Unknown
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.platform import wire
from gladedrum.scheduling.engine_model import EngineTraits


def streaming_world(engine: EngineTraits | None = None, **route) -> World:
    fields = {"streaming": True, "resumable": True, "max_targets": 2, "pause_objective_s": 0.25}
    return World(engine=engine or EngineTraits(), **{**fields, **route})


def test_answer_is_returned_unchanged_and_the_key_is_not_forwarded():
    world = World()
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: forged\r\nX-Other: 1\r\n" % wire.ORGANISATION)
    target = world.attempt()
    sent = target.sent.lower()
    assert b"post /x/2f http/1.1" in sent
    assert b"x-other: 1" in sent
    assert sent.endswith(b"\r\n\r\nbody")
    assert b"bearer" not in sent
    assert b"forged" not in sent
    assert b"%s: org\r\n" % wire.ORGANISATION in sent
    target.reply(answer(200, b"whole"))
    assert caller.received.endswith(b"\r\n\r\nwhole")
    assert b"seal-whole" in caller.received
    assert world.outcomes == [Completed()]


def test_unrepeatable_request_is_not_sent_again_after_a_lost_answer():
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().disconnect()
    world.run(1)
    assert len(world.net.opened) == 1
    assert caller.status == 502


@pytest.mark.parametrize("status", [503, 429, 421, 400])
def test_unrepeatable_request_is_retried_when_a_target_states_that_it_did_not_run(status):
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(not_run(status))
    world.run(0.2)
    assert len(world.net.opened) == 2
    world.attempt().reply(answer())
    assert caller.status == 200


@pytest.mark.parametrize("status", [503, 429, 408])
def test_not_run_is_not_claimed_for_what_a_target_may_have_run(status):
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    world.attempt().reply(answer(status, b"busy"))
    assert caller.status == 502


def test_repeatable_request_is_retried_elsewhere_and_returns_the_last_failure():
    world = World(repeatable=True, max_targets=2)
    caller = world.caller()
    caller.send_request()
    world.attempt().reply(answer(500, b"first"))
    world.run(0.1)
    assert world.net.opened[0].address != world.net.opened[1].address
    world.attempt().reply(answer(500, b"second"))
    assert caller.status == 500
    assert b"seal-second" in caller.received
    assert len(world.net.opened) == 2


def test_refusal_after_a_lost_attempt_does_not_claim_that_nothing_ran():
    world = World(targets=2, repeatable=True, max_targets=2)
    caller = world.caller()
    caller.send_request()
    world.attempt().disconnect()
    world.run(0.1)
    world.net.refusing = {9001, 9002}
    for _ in range(10):
        world.attempt().reply(not_run())
        world.run(0.2)
        if caller.received:
            break
    assert caller.status == 502


def test_request_refused_everywhere_is_not_run_with_retry_after():
    world = World(targets=2)
    world.net.refusing = {9001, 9002}
    caller = world.caller()
    caller.send_request(b"body")
    world.run(2)
    assert caller.status == 503
    assert b"retry-after: 0." in caller.received.lower()
    assert isinstance(world.outcomes[0], NotRun)


def test_answer_to_an_earlier_request_is_dropped():
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    target.reply(answer(200, b"foreign", request_id=b"id-0"))
    assert caller.received == b""
    target.reply(answer(200, b"own"))
    assert caller.received.endswith(b"own")
    assert target.closed


def test_surplus_bytes_close_a_kept_connection():
    world = World()
    caller = world.caller()
    caller.send_request()
    target = world.attempt()
    target.reply(answer())
    assert not target.closed
    target.reply(answer(200, b"again"))
    assert target.closed
    caller.send_request()
    assert len(world.net.opened) == 2


@pytest.mark.parametrize(
    "garbage",
    [b"NONSENSE\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n", b"\0" * 200, b"HTTP/1.1 200 OK\r\nx\r\n"],
)
def test_invalid_answer_bytes_never_reach_the_caller(garbage):
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    target.reply(garbage)
    target.disconnect()
    world.run(0.1)
    assert caller.status == 502
    assert garbage not in caller.received


def test_truncated_answer_is_not_relayed_as_complete():
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    target.reply(answer(200, b"a long body")[:-3])
    target.disconnect(orderly=True)
    world.run()
    assert caller.status == 502


@pytest.mark.parametrize(("orderly", "status"), [(True, 200), (False, 502)])
def test_answer_without_a_length_is_complete_only_after_an_orderly_close(orderly, status):
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    head = b"HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: seal\r\n\r\n" % (wire.REQUEST_ID, wire.SIGNATURE)
    target.reply(head + b"some")
    target.disconnect(orderly)
    world.run(0.1)
    assert caller.status == status


def test_caller_disconnect_aborts_the_target_connection():
    world = World()
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    caller.disconnect()
    assert target.closed == "aborted"
    assert isinstance(world.outcomes[0], Unknown)


def test_nothing_is_sent_if_the_caller_disconnects_during_connect():
    world = World()
    world.net.connect_delay_s = 0.3
    caller = world.caller()
    caller.send_request(b"body")
    caller.disconnect()
    world.run(0.5)
    (target,) = world.net.opened
    assert not target.sent
    assert target.transport.closed


def test_a_caller_that_disconnects_while_waiting_for_a_placement_is_not_sent():
    world = streaming_world()
    for name in world.targets.entries:
        plan = WorkPlan(f"full-{name}", (name,), 231_000, 1_000)
        world.view.note_placed(plan, world.net.seconds())
    caller = world.caller()
    caller.send_request(extra=b"%s: 5000,100\r\n" % wire.TOKEN_USAGE)
    caller.disconnect()
    for name in world.targets.entries:
        world.view.state(name).ledger.rows.clear()
    world.run(1.0)
    assert not world.net.opened
    assert all(not world.view.state(name).ledger.rows for name in world.targets.entries)


def test_time_limit_returns_504():
    world = World(time_limit_s=1.0)
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    world.run(1.1)
    assert caller.status == 504
    assert target.closed == "aborted"


def test_key_is_not_accepted_beyond_its_age_bound():
    world = World()
    caller = world.caller()
    world.net.advance(KEY_BOUND_S)
    caller.send_request()
    assert caller.status == 503
    assert not world.net.opened


def test_key_is_checked_again_after_the_process_was_suspended_before_sending():
    world = World(time_limit_s=60.0)
    world.net.connect_delay_s = 0.5
    caller = world.caller()
    caller.send_request(extra=b"")
    # The process is suspended while the connection is set up; its clock goes on.
    world.net.rightNow += KEY_BOUND_S
    world.run(2)
    assert not any(target.sent for target in world.net.opened)
    assert caller.status in (503, 504)


def test_last_known_key_stays_valid_without_the_store_if_keys_do_not_expire():
    world = World(keys_expire=False)
    world.run(10 * KEY_BOUND_S, step_s=1.0)
    caller = world.caller()
    caller.send_request()
    world.attempt().reply(answer())
    assert caller.status == 200


@pytest.mark.parametrize("keys_expire", [True, False])
@pytest.mark.parametrize(
    "path, key, refused_for_good", [(b"/x/2f", b"k2", 401), (b"/y/2f", KEY.encode(), 404)]
)
def test_unknown_key_or_route_is_refused_as_temporary_with_a_stale_configuration(
    keys_expire, path, key, refused_for_good
):
    world = World(keys_expire=keys_expire)
    request = b"GET %s HTTP/1.1\r\nHost: a.example\r\n%s: Bearer %s\r\n\r\n"
    caller = world.caller()
    caller.send(request % (path, wire.AUTHORIZATION, key))
    assert caller.status == refused_for_good
    world.run(3.0, step_s=1.0)
    caller = world.caller()
    caller.send(request % (path, wire.AUTHORIZATION, key))
    assert caller.status == 503
    assert b"retry-after" in caller.received.lower()


def test_leaving_target_gets_no_request_even_if_already_chosen():
    world = World(targets=1)
    world.net.connect_delay_s = 0.5
    caller = world.caller()
    caller.send_request(b"body")
    world.list_targets(1, leaving=("t1",))
    world.run(3)
    assert not any(target.sent for target in world.net.opened)
    assert caller.status == 503


def test_stream_is_resumed_at_its_last_event_within_one_answer():
    world = streaming_world()
    caller = world.caller()
    caller.send_request(b"body")
    first = world.attempt()
    first.reply(stream_head() + chunk(event(1)) + chunk(event(2)) + chunk(b"id: 3\nda"))
    first.disconnect()
    world.run(0.1)
    second = world.attempt()
    assert second.address != first.address
    assert b"%s: 2\r\n" % wire.LAST_EVENT_ID in second.sent
    second.reply(stream_head(signature=b"seal-2") + chunk(event(3)) + chunk(event(4)) + chunk(b""))
    assert caller.received.count(b"data: e") == 4
    assert caller.received.count(b"data: e3\n") == 1
    assert b"seal-1" in caller.received
    assert b"seal-2" not in caller.received
    assert caller.received.endswith(b"0\r\n\r\n")
    assert world.outcomes == [Completed()]


def test_stream_that_cannot_be_resumed_is_aborted_without_an_end_marker():
    world = streaming_world(resumable=False)
    caller = world.caller()
    caller.send_request(b"body")
    target = world.attempt()
    target.reply(stream_head() + chunk(event(1)))
    target.disconnect()
    world.run(0.2)
    assert len(world.net.opened) == 1
    assert caller.transport.closed == "aborted"
    assert not caller.received.endswith(b"0\r\n\r\n")


def test_stream_is_not_run_on_more_than_max_targets():
    world = streaming_world()
    caller = world.caller()
    caller.send_request(b"body")
    for _ in range(2):
        world.attempt().reply(stream_head() + chunk(event(1)))
        world.attempt().disconnect()
        world.run(0.2)
    assert len(world.net.opened) == 2
    assert caller.transport.closed == "aborted"


def test_resumable_stream_moves_from_a_silent_target_to_another():
    world = streaming_world()
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: 100,200\r\n" % wire.TOKEN_USAGE)
    first = world.attempt()
    world.run(1.9)
    sent = [side for side in world.net.opened if b"/x/2f" in side.sent]
    assert len(sent) == 2
    sent[1].reply(stream_head() + chunk(event(1)))
    assert first.closed == "aborted"


def test_pipelined_requests_are_answered_in_order():
    world = World(repeatable=True)
    caller = world.caller()
    head = b"GET /x/%d HTTP/1.1\r\nHost: a.example\r\n%s: id-%d\r\n%s: Bearer k1\r\n\r\n"
    caller.send(b"".join(head % (i, wire.REQUEST_ID, i, wire.AUTHORIZATION) for i in (1, 2)))
    world.attempt().reply(answer(200, b"one", b"id-1"))
    world.attempt().reply(answer(200, b"two", b"id-2"))
    assert caller.received.index(b"\r\n\r\none") < caller.received.index(b"\r\n\r\ntwo")


def test_busy_target_keeps_its_stream_until_the_caller_would_give_up():
    """Guards against moving streams just before a long prefill of their engine ends."""
    world = streaming_world()
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: 100,200\r\n" % wire.TOKEN_USAGE)
    target = world.attempt()
    target.reply(stream_head() + chunk(event(1)))
    report = TargetReport(0, 1, 100, 232_000, 1.0, ())
    for _ in range(4):
        world.run(0.3)
        for name in ("t1", "t2", "t3"):
            world.view.note_report(name, report, world.net.seconds())
    assert len(world.net.opened) == 1
    world.run(0.3)
    assert len(world.net.opened) == 2
    assert not target.closed
    world.attempt().reply(stream_head() + chunk(event(2)))
    assert target.closed == "aborted"


def test_stream_is_hedged_sooner_when_its_target_stops_reporting():
    world = streaming_world()
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: 100,200\r\n" % wire.TOKEN_USAGE)
    target = world.attempt()
    target.reply(stream_head() + chunk(event(1)))
    for name in ("t1", "t2", "t3"):
        world.view.note_report(name, None, world.net.seconds())
    world.run(1.2)
    assert len(world.net.opened) == 2
    world.attempt().reply(stream_head() + chunk(event(2)))
    assert target.closed == "aborted"


def test_a_connection_stays_usable_after_an_immediate_refusal():
    """Guards against a kept connection that stops answering after a refusal."""
    world = World()
    caller = world.caller()
    caller.send_request(path=b"/nowhere/")
    assert caller.status == 404
    caller.transport.clear()
    caller.send_request()
    world.attempt().reply(answer(body=b"served"))
    assert caller.received.endswith(b"served")


def test_many_refused_requests_in_one_piece_are_all_answered():
    world = World()
    caller = world.caller()
    caller.send(b"GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n" * 1200)
    assert caller.received.count(b"HTTP/1.1 404") == 1200


def test_a_helper_at_fault_is_distrusted_instead_of_the_answering_engine():
    world = streaming_world(objective_s=1.0)
    caller = world.caller()
    caller.send_request(b"body", extra=b"%s: 190000,300\r\n" % wire.TOKEN_USAGE)
    target = world.attempt()
    main = target.sent.partition(wire.EXPECTED_TARGET + b": ")[2].partition(b"\r\n")[0].decode()
    helpers = target.sent.partition(wire.HELPERS + b": ")[2].partition(b"\r\n")[0].split(b",")
    assert helpers != [b""]
    address = helpers[0]
    target.reply(
        answer(503, b"", extra=b"%s: 1\r\n%s: %s\r\n" % (wire.NOT_RUN, wire.AT_FAULT, address))
    )
    world.run()
    now_s = world.net.seconds()
    at_fault = next(
        e.name for e in world.targets.entries.values() if f"{e.host}:{e.port}".encode() == address
    )
    assert world.view.state(at_fault).distrust_at(now_s) > 0
    assert world.view.state(main).distrust_at(now_s) == 0


def test_an_internal_error_is_answered_with_500():
    world = World()
    caller = world.caller()
    world.factory.keep = False
    world.ctx.chooser.choose = lambda *_args: 1 / 0
    caller.send_request()
    assert caller.status == 500
    assert caller.transport.closed == "closed"


def occupy_all_targets(world, tokens=1_000_000):
    """Place prompts whose prefill outlasts a short request's deadline on all targets."""
    for name in world.targets.entries:
        plan = WorkPlan(f"long-{name}", (name,), tokens, 0, reserved=True)
        world.view.note_placed(plan, world.net.seconds())


def test_request_that_no_target_can_start_in_time_is_refused_at_once():
    world = streaming_world(engine=EngineTraits(memory_tokens=10_000_000))
    occupy_all_targets(world)
    caller = world.caller()
    caller.send_request(extra=b"%s: 5000,100\r\n" % wire.TOKEN_USAGE)
    assert caller.status == 503
    assert not world.net.opened
    (outcome,) = world.outcomes
    assert outcome.retry_after_s > 5.0
    assert all(len(world.view.state(name).ledger.rows) == 1 for name in world.targets.entries)


def test_request_that_may_have_run_is_not_refused_when_targets_are_busy():
    world = streaming_world(engine=EngineTraits(memory_tokens=10_000_000))
    caller = world.caller()
    caller.send_request(extra=b"%s: 5000,100\r\n" % wire.TOKEN_USAGE)
    occupy_all_targets(world)
    world.attempt().disconnect()
    world.run(0.2)
    assert len(world.net.opened) == 2
    assert not caller.received


def test_among_equal_engines_one_with_an_open_connection_is_preferred():
    world = streaming_world()
    for number in (1, 2):
        world.caller().send_request(b"body")
        target = world.attempt()
        target.reply(stream_head() + chunk(event(1)) + chunk(b""))
        world.run(0.1)
        assert target.sent.count(b"/x/2f") == number
    assert len(world.net.opened) == 1
