"""A box that asks a peer is never surer than the peer was when the question was sent."""

import random

from twisted.internet.task import Clock

from gladedrum.fleet import TargetEntry
from gladedrum.forward.configuration import ConfigurationKeeper
from gladedrum.forward.membership import BoxRegistry
from gladedrum.forward.store_pace import StorePace
from gladedrum.forward.target_list import TargetKeeper
from gladedrum.forward.tests.support import NoFeed
from gladedrum.forward.vouching import PeerVouching
from gladedrum.forward.wire.ttypes import Gossip, VouchAsk, VouchNote
from gladedrum.routes import RouteTable
from gladedrum.table import Table, TableFollower, TableInForce
from gladedrum.utils import start


class Wire:
    """Keeps questions and answers for the test to deliver."""

    def __init__(self):
        self.asks, self.notes, self.parts = [], [], []

    def ask_vouch(self, _address, note):
        self.asks.append(note)

    def vouch(self, _address, note):
        self.notes.append(note)

    def tell_list(self, _address, part):
        self.parts.append(part)


class Membership:
    def __init__(self, inside):
        self.inside = inside

    def includes_me(self):
        return self.inside

    def members(self):
        return ["m"]

    me = "a"
    readers = members

    def leaves_list_to_others(self):
        return not self.inside

    def address(self, _name):
        return ("10.0.0.1", 1)


def box(clock, inside, version, read_s=0.0, targets=("t1",)):
    pace = StorePace(clock, random.Random(1), lambda: not inside, lambda: not inside)
    configuration = ConfigurationKeeper(clock, NoFeed(), 2.0, pace)
    configuration._apply(RouteTable(version))
    configuration._vouch(read_s)
    listed = TargetKeeper(clock, NoFeed(), 2.0, lambda _entry: None, pace)
    listed.entries = {n: TargetEntry(n, "s", "10.0.0.1", 1, "h", 1, False) for n in targets}
    listed._read_s = read_s
    wire = Wire()
    table = TableInForce(clock)
    follower = TableFollower(clock, None, table, lambda: not inside)
    registry = BoxRegistry(clock, None, "m" if inside else "a", ("10.0.0.9", 9), random.Random(1))
    vouching = PeerVouching(
        clock, Membership(inside), registry, wire, configuration, listed, table, follower, pace
    )
    return vouching, wire


def exchange(clock, asker, asker_wire, member, member_wire, way_s=0.0, standstill_s=0.0):
    asker._ask()
    clock.advance(way_s)
    member.take(Gossip("a", vouch_asks=asker_wire.asks), ("10.0.0.2", 2))
    clock.advance(way_s + standstill_s)
    asker.take(Gossip("m", vouches=member_wire.notes), ("10.0.0.1", 1))
    for part in reversed(member_wire.parts):
        asker.take(Gossip("m", list_parts=[part]), ("10.0.0.1", 1))


def test_the_peers_age_and_the_way_are_added_up():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5)
    asker, wire = box(clock, False, 3, read_s=5.0)
    exchange(clock, asker, wire, member, member_wire, way_s=0.1)
    assert asker._configuration.age_s <= 0.9 + 1e-9
    assert asker._configuration.age_s >= 0.7
    assert asker._targets.age_s >= 0.7


def test_an_answer_that_waited_while_the_process_stood_still_is_as_old_as_its_question():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=10.0)
    asker, wire = box(clock, False, 3, read_s=5.0)
    exchange(clock, asker, wire, member, member_wire, standstill_s=6.0)
    assert asker._configuration.age_s >= 6.0
    assert asker._targets.age_s >= 6.0


def test_another_version_vouches_for_nothing():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 4, read_s=10.0)
    asker, wire = box(clock, False, 3, read_s=5.0)
    exchange(clock, asker, wire, member, member_wire)
    assert asker._configuration.age_s == 5.0


def test_another_list_comes_with_the_answer_and_is_as_old_as_the_peers():
    clock = Clock()
    clock.advance(10.0)
    names = [f"t{i:02}" for i in range(30)]
    member, member_wire = box(clock, True, 3, read_s=9.5, targets=names)
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("t00", "old"))
    exchange(clock, asker, wire, member, member_wire, way_s=0.1)
    assert len(member_wire.parts) > 1
    assert sorted(asker._targets.entries) == names
    assert 0.7 <= asker._targets.age_s <= 0.9 + 1e-9
    assert asker._targets.digest == member._targets.digest


def test_a_part_that_is_lost_leaves_the_list_as_it_was():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5, targets=[f"t{i}" for i in range(30)])
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("old",))
    asker._ask()
    member.take(Gossip("a", vouch_asks=wire.asks), ("10.0.0.2", 2))
    for part in member_wire.parts[1:]:
        asker.take(Gossip("m", list_parts=[part, part]), ("10.0.0.1", 1))
    assert sorted(asker._targets.entries) == ["old"]
    assert asker._targets.age_s == 5.0


def test_only_the_difference_comes_from_a_list_that_the_peer_has_had():
    clock = Clock()
    clock.advance(10.0)
    names = [f"t{i:02}" for i in range(30)]
    member, member_wire = box(clock, True, 3, read_s=10.0, targets=names)
    asker, wire = box(clock, False, 3, read_s=10.0, targets=names)
    exchange(clock, asker, wire, member, member_wire)
    assert not member_wire.parts
    clock.advance(1.0)
    kept = {n: e for n, e in member._targets.entries.items() if n not in ("t03", "t04")}
    new = TargetEntry("t99", "s", "10.0.0.1", 1, "h", 1, False)
    leaving = kept["t05"]._replace(leaving=True)
    member._targets.entries = {**kept, "t05": leaving, "t99": new}
    member._targets._read_s = clock.seconds()
    wire.asks.clear(), member_wire.notes.clear()
    exchange(clock, asker, wire, member, member_wire)
    assert [len(part.rows) for part in member_wire.parts] == [2]
    assert asker._targets.entries == member._targets.entries
    assert asker._targets.digest == member._targets.digest


def test_a_difference_from_another_list_than_the_one_in_force_is_not_taken():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=10.0, targets=("t1", "t2"))
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("t1", "t2"))
    exchange(clock, asker, wire, member, member_wire)
    member._targets.entries = {"t1": member._targets.entries["t1"]}
    member._targets._read_s = clock.seconds() + 1.0
    wire.asks.clear()
    asker._ask()
    member.take(Gossip("a", vouch_asks=wire.asks), ("10.0.0.2", 2))
    other = {n: TargetEntry(n, "s", "10.0.0.1", 1, "h", 1, False) for n in ("t2", "t3")}
    asker._targets.entries = other
    for part in member_wire.parts:
        asker.take(Gossip("m", list_parts=[part]), ("10.0.0.1", 1))
    assert asker._targets.entries == other


def test_a_peer_that_keeps_entries_after_an_outage_vouches_for_no_list():
    """Its list may hold a target that has gone while the store was away from it only."""
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=10.0, targets=("t1", "t2"))
    member._targets.is_certain = False
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("t1", "t2"))
    exchange(clock, asker, wire, member, member_wire)
    assert asker._configuration.age_s == 0.0
    assert asker._targets.age_s == 5.0
    assert not member_wire.parts


def test_an_answer_nobody_asked_for_vouches_for_nothing():
    clock = Clock()
    clock.advance(10.0)
    asker, _wire = box(clock, False, 3, read_s=5.0)
    note = VouchNote(77, 3, 0.0, asker._targets.digest, 0.0)
    asker.take(Gossip("m", vouches=[note]), ("10.0.0.1", 1))
    assert asker._configuration.age_s == 5.0


def test_a_box_outside_the_circle_does_not_vouch():
    clock = Clock()
    outside, wire = box(clock, False, 3)
    outside.take(Gossip("a", vouch_asks=[VouchAsk(1)]), ("10.0.0.1", 1))
    assert not wire.notes


def test_a_newer_table_of_weights_is_read_when_a_peer_names_it():
    clock = Clock()
    member, member_wire = box(clock, True, 3)
    asker, wire = box(clock, False, 3)
    exchange(clock, asker, wire, member, member_wire)
    assert asker._table_follower._may_rely_on_peers()
    member._table.take(Table(4), [])
    wire.asks.clear(), member_wire.notes.clear()
    exchange(clock, asker, wire, member, member_wire)
    assert not asker._table_follower._may_rely_on_peers()


def test_a_box_that_can_not_read_the_configuration_itself_asks_its_peers():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5)
    cut, wire = box(clock, True, 3, read_s=9.5)
    start(cut.run())
    assert not wire.asks
    clock.pump([0.5] * 5)
    assert wire.asks
    member._configuration._vouch(clock.seconds())
    exchange(clock, cut, wire, member, member_wire)
    assert cut._configuration.is_current
