"""Statements of targets about themselves: to which start and calls they apply, and for how long."""

import pytest

from gladedrum.connections.target_pool import NoLongerAllowedError
from gladedrum.forward.tests.support import World
from gladedrum.gossip.wire.ttypes import Gossip, LeavingNote
from gladedrum.placing.fleet_view import MAX_BACKOFF_S
from gladedrum.platform.orders import CallKind
from gladedrum.platform.statements import MalformedStatement, Statements

OLD, NEW = 1_000, 2_000
LEAVES, BACKOFF = Statements(leaves=True), Statements(rest_s=3.0)


@pytest.fixture
def world():
    world = World(targets=2)
    world.view.note_start("t1", OLD, 0.0)
    return world


def answer_with(world, said, born=OLD, target="t1"):
    world.statements.note_answer(target, born, said, world.net.seconds())


def allowed_kinds(world, target="t1"):
    """Return the kinds of calls that may be sent to a target now."""
    kinds = set()
    for kind in CallKind:
        try:
            assert world.statements.authorize(target, kind) == world.view.state(target).born
        except NoLongerAllowedError:
            continue
        kinds.add(kind)
    return kinds


def test_a_target_without_statements_gets_all_calls(world):
    answer_with(world, Statements())
    assert allowed_kinds(world) == set(CallKind)


def test_a_leaving_target_gets_only_calls_for_work_that_has_begun(world):
    answer_with(world, LEAVES)
    assert allowed_kinds(world) == {CallKind.REPORT, CallKind.RENEW, CallKind.RELEASE}
    assert allowed_kinds(world, "t2") == set(CallKind)


def test_a_target_in_backoff_gets_only_renewals(world):
    answer_with(world, BACKOFF)
    assert allowed_kinds(world) == {CallKind.RENEW}
    assert allowed_kinds(world, "t2") == set(CallKind)
    world.net.advance(2.9)
    assert allowed_kinds(world) == {CallKind.RENEW}
    world.net.advance(0.2)
    assert allowed_kinds(world) == set(CallKind)


def test_an_unlisted_target_gets_all_calls_but_new_work(world):
    answer_with(world, BACKOFF, target="t9")
    assert world.statements.authorize("t9", CallKind.RELEASE) == 0
    with pytest.raises(NoLongerAllowedError, match="leaving"):
        world.statements.authorize("t9", CallKind.REQUEST)


@pytest.mark.parametrize("said", [LEAVES, BACKOFF])
def test_statements_of_an_earlier_start_do_not_bind_a_later_one(world, said):
    answer_with(world, said)
    world.view.note_start("t1", NEW, world.net.seconds())
    assert allowed_kinds(world) == set(CallKind)
    answer_with(world, said, born=OLD)
    assert allowed_kinds(world) == set(CallKind)
    answer_with(world, said, born=NEW)
    assert allowed_kinds(world) != set(CallKind)


def test_of_two_backoffs_the_later_end_counts(world):
    answer_with(world, Statements(rest_s=4.0))
    world.net.advance(1.0)
    answer_with(world, Statements(rest_s=1.0))
    assert world.statements.backoff_s("t1") == pytest.approx(3.0)


def test_an_answer_without_a_backoff_does_not_end_one(world):
    answer_with(world, BACKOFF)
    answer_with(world, Statements())
    assert world.statements.backoff_s("t1") == pytest.approx(3.0)


def test_a_long_backoff_is_cut_to_the_maximum(world):
    answer_with(world, Statements(rest_s=9e8))
    assert world.statements.backoff_s("t1") == MAX_BACKOFF_S
    world.net.advance(MAX_BACKOFF_S)
    assert allowed_kinds(world) == set(CallKind)


def test_a_peers_note_of_leaving_applies_to_the_same_start_only(world):
    early = Gossip("peer", leaving_targets=[LeavingNote("t1", OLD - 1), LeavingNote("t9", OLD)])
    world.targets.note_start("t1", OLD)
    world.statements.receive(early)
    assert world.targets.accepts_requests("t1")
    world.statements.receive(Gossip("peer", leaving_targets=[LeavingNote("t1", OLD)]))
    assert not world.targets.accepts_requests("t1")


def test_operators_see_leaving_targets_with_their_source_and_targets_in_backoff(world):
    answer_with(world, BACKOFF)
    answer_with(world, LEAVES)
    world.statements.receive(Gossip("peer", leaving_targets=[LeavingNote("t2", 0)]))
    world.net.advance(1.0)
    shown = world.statements.shown()
    assert [(row["target"], row["told_by"]) for row in shown["leaving"]] == [
        ("t1", ""),
        ("t2", "peer"),
    ]
    assert {row["heard_age_s"] for row in shown["leaving"]} == {1.0}
    assert shown["rests"] == [{"target": "t1", "left_s": 2.0}]
    world.view.note_start("t1", NEW, world.net.seconds())
    shown = world.statements.shown()
    assert [row["target"] for row in shown["leaving"]] == ["t2"]
    assert shown["rests"] == []


def test_a_target_that_leaves_while_unlisted_is_leaving_once_listed_again(world):
    entries = {name: entry._replace(born=OLD) for name, entry in world.targets.entries.items()}
    world.targets.entries = {"t2": entries["t2"]}
    answer_with(world, LEAVES)
    world.statements.receive(Gossip("peer", leaving_targets=[LeavingNote("t3", OLD)]))
    world.targets._replace({**entries, "t3": entries["t1"]._replace(name="t3")})
    assert [name for name in entries if world.targets.accepts_requests(name)] == ["t2"]
    assert not world.targets.accepts_requests("t3")
    world.targets._replace({**entries, "t1": entries["t1"]._replace(born=NEW)})
    assert world.targets.accepts_requests("t1")


def test_a_backoff_survives_a_lapse_of_the_targets_entry(world):
    answer_with(world, BACKOFF)
    world.view.forget("t1")
    world.view.note_start("t1", OLD, world.net.seconds())
    assert allowed_kinds(world) == {CallKind.RENEW}
    world.view.forget("t1")
    world.view.note_start("t1", NEW, world.net.seconds())
    assert allowed_kinds(world) == set(CallKind)


def test_an_unreadable_statement_is_logged_once_until_it_changes(world, caplog):
    malformed = [
        Statements(malformed=(MalformedStatement("rest_s", text),))
        for text in ("soon", "soon", "later")
    ]
    for said in malformed:
        answer_with(world, said)
    lines = [row for row in caplog.records if row.message == "unreadable statement from target"]
    assert [row.said for row in lines] == ["soon", "later"]
