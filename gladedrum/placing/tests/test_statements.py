"""What targets say of themselves: for which start, for how long, and what it holds back."""

import pytest

from gladedrum.connections.target_pool import NotNowError
from gladedrum.forward.tests.support import World
from gladedrum.gossip.wire.ttypes import Gossip, LeavingNote
from gladedrum.placing.fleet_view import MAX_REST_S
from gladedrum.platform.orders import CallKind
from gladedrum.platform.statements import OddStatement, Statements

OLD, NEW = 1_000, 2_000
LEAVES, RESTS = Statements(leaves=True), Statements(rest_s=3.0)


@pytest.fixture
def world():
    world = World(targets=2)
    world.view.note_born("t1", OLD, 0.0)
    return world


def say(world, said, born=OLD, target="t1"):
    world.statements.note_answer(target, born, said, world.net.seconds())


def let_out(world, target="t1"):
    """Return the kinds of calls that may go to a target now."""
    kinds = set()
    for kind in CallKind:
        try:
            assert world.statements.let_out(target, kind) == world.view.state(target).born
        except NotNowError:
            continue
        kinds.add(kind)
    return kinds


def test_one_that_says_nothing_gets_everything(world):
    say(world, Statements())
    assert let_out(world) == set(CallKind)


def test_one_that_leaves_gets_what_concerns_work_that_has_begun(world):
    say(world, LEAVES)
    assert let_out(world) == {CallKind.REPORT, CallKind.RENEW, CallKind.FREE}
    assert let_out(world, "t2") == set(CallKind)


def test_one_that_wants_rest_gets_what_keeps_begun_streams_alive(world):
    say(world, RESTS)
    assert let_out(world) == {CallKind.RENEW}
    assert let_out(world, "t2") == set(CallKind)
    world.net.advance(2.9)
    assert let_out(world) == {CallKind.RENEW}
    world.net.advance(0.2)
    assert let_out(world) == set(CallKind)


def test_what_goes_to_one_that_is_gone_is_not_held_back_but_for_new_work(world):
    say(world, RESTS, target="t9")
    assert world.statements.let_out("t9", CallKind.FREE) == 0
    with pytest.raises(NotNowError, match="leaving"):
        world.statements.let_out("t9", CallKind.REQUEST)


@pytest.mark.parametrize("said", [LEAVES, RESTS])
def test_a_later_start_is_not_bound_by_what_an_earlier_one_has_said(world, said):
    say(world, said)
    world.view.note_born("t1", NEW, world.net.seconds())
    assert let_out(world) == set(CallKind)
    say(world, said, born=OLD)
    assert let_out(world) == set(CallKind)
    say(world, said, born=NEW)
    assert let_out(world) != set(CallKind)


def test_of_two_rests_the_one_that_ends_later_holds(world):
    say(world, Statements(rest_s=4.0))
    world.net.advance(1.0)
    say(world, Statements(rest_s=1.0))
    assert world.statements.rest_s("t1") == pytest.approx(3.0)


def test_an_answer_that_asks_for_none_ends_no_rest(world):
    say(world, RESTS)
    say(world, Statements())
    assert world.statements.rest_s("t1") == pytest.approx(3.0)


def test_days_of_rest_end_within_minutes(world):
    say(world, Statements(rest_s=9e8))
    assert world.statements.rest_s("t1") == MAX_REST_S
    world.net.advance(MAX_REST_S)
    assert let_out(world) == set(CallKind)


def test_a_peer_that_was_told_of_leaving_is_believed_of_the_same_start(world):
    early = Gossip("peer", leaving_targets=[LeavingNote("t1", OLD - 1), LeavingNote("t9", OLD)])
    world.targets.note_start("t1", OLD)
    world.statements.take(early)
    assert world.targets.may_get_work("t1")
    world.statements.take(Gossip("peer", leaving_targets=[LeavingNote("t1", OLD)]))
    assert not world.targets.may_get_work("t1")


def test_operators_see_who_leaves_by_whose_word_and_who_rests(world):
    say(world, RESTS)
    say(world, LEAVES)
    world.statements.take(Gossip("peer", leaving_targets=[LeavingNote("t2", 0)]))
    world.net.advance(1.0)
    shown = world.statements.shown()
    assert [(row["target"], row["told_by"]) for row in shown["leaving"]] == [
        ("t1", ""),
        ("t2", "peer"),
    ]
    assert {row["heard_age_s"] for row in shown["leaving"]} == {1.0}
    assert shown["rests"] == [{"target": "t1", "left_s": 2.0}]
    world.view.note_born("t1", NEW, world.net.seconds())
    shown = world.statements.shown()
    assert [row["target"] for row in shown["leaving"]] == ["t2"]
    assert shown["rests"] == []


def test_one_that_says_so_while_its_entry_has_lapsed_leaves_once_it_is_listed_again(world):
    entries = {name: entry._replace(born=OLD) for name, entry in world.targets.entries.items()}
    world.targets.entries = {"t2": entries["t2"]}
    say(world, LEAVES)
    world.statements.take(Gossip("peer", leaving_targets=[LeavingNote("t3", OLD)]))
    world.targets._replace({**entries, "t3": entries["t1"]._replace(name="t3")})
    assert [name for name in entries if world.targets.may_get_work(name)] == ["t2"]
    assert not world.targets.may_get_work("t3")
    world.targets._replace({**entries, "t1": entries["t1"]._replace(born=NEW)})
    assert world.targets.may_get_work("t1")


def test_a_rest_outlasts_a_lapse_of_the_targets_entry(world):
    say(world, RESTS)
    world.view.forget("t1")
    world.view.note_born("t1", OLD, world.net.seconds())
    assert let_out(world) == {CallKind.RENEW}
    world.view.forget("t1")
    world.view.note_born("t1", NEW, world.net.seconds())
    assert let_out(world) == set(CallKind)


def test_what_can_not_be_read_is_logged_once_until_it_changes(world, caplog):
    odd = [Statements(odd=(OddStatement("rest_s", text),)) for text in ("soon", "soon", "later")]
    for said in odd:
        say(world, said)
    lines = [row for row in caplog.records if row.message == "unreadable statement from target"]
    assert [row.said for row in lines] == ["soon", "later"]
