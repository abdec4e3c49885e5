"""Peer synchronisation: an answer never makes a box's copy younger than the peer's was."""

import random

import pytest
from twisted.internet.task import Clock

from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.configuration_difference import encode_difference
from gladedrum.beliefs.configuration_parts import (
    MAX_PARTS,
    ConfigurationSender,
    ReceivedConfiguration,
)
from gladedrum.beliefs.coordinators import SMALL_FLEET
from gladedrum.beliefs.membership import BoxEntry, BoxRegistry
from gladedrum.beliefs.peer_sync import PeerSync
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.beliefs.tests.fleet import NoLosses
from gladedrum.fleet import TargetEntry
from gladedrum.forward.tests.support import NoFeed
from gladedrum.gossip.port import encode
from gladedrum.gossip.wire.ttypes import ConfigurationPart, Gossip, VouchAsk, VouchNote
from gladedrum.platform.store import Revision
from gladedrum.routes import Configuration
from gladedrum.table import Table, TableFollower, TableInForce
from gladedrum.utils import start


class Wire:
    """Collects questions and answers for the test to deliver."""

    def __init__(self):
        self.asks, self.notes, self.list_parts, self.configuration_parts = [], [], [], []

    def ask_vouch(self, _address, note):
        self.asks.append(note)

    def vouch(self, _address, note):
        self.notes.append(note)

    def send_configuration_part(self, _address, part):
        self.configuration_parts.append(part)

    def send_list_part(self, _address, part):
        self.list_parts.append(part)


class GroupStub:
    """Stands in for a `CoordinatorGroup` whose only other member is "m"."""

    def __init__(self, is_member):
        self.is_member = is_member

    def includes_me(self):
        return self.is_member

    def members(self):
        return ["m"]

    me = "a"
    readers = members

    def follows_readers(self):
        return not self.is_member

    def address(self, _name):
        return ("10.0.0.1", 1)


def box(clock, is_member, version, read_s=0.0, targets=("t1",)):
    """Return a box whose copies were confirmed at `read_s`, and its wire."""
    pace = StorePace(clock, random.Random(1), lambda: not is_member, lambda: not is_member)
    configuration = ConfigurationFollower(clock, NoFeed(), 2.0, pace)
    configuration._apply(Configuration(version))
    configuration._confirm(read_s)
    listed = TargetListFollower(clock, NoFeed(), 2.0, lambda _entry: None, pace)
    listed.entries = {n: TargetEntry(n, "s", "10.0.0.1", 1, "h", 1, False) for n in targets}
    listed._confirmed_s = read_s
    wire = Wire()
    table = TableInForce(clock)
    follower = TableFollower(clock, None, table, lambda: not is_member)
    registry = BoxRegistry(
        clock, None, "m" if is_member else "a", ("10.0.0.9", 9), random.Random(1)
    )
    peer_sync = PeerSync(
        clock,
        GroupStub(is_member),
        registry,
        wire,
        configuration,
        listed,
        table,
        follower,
        pace,
        NoLosses(),
    )
    return peer_sync, wire


def exchange(clock, asker, asker_wire, member, member_wire, delay_s=0.0, stall_s=0.0):
    """Deliver a question and its answer.

    Each takes `delay_s`; the answer is received another `stall_s` later.
    """
    asker._ask()
    clock.advance(delay_s)
    member.receive(Gossip("a", vouch_asks=asker_wire.asks), ("10.0.0.2", 2))
    clock.advance(delay_s + stall_s)
    asker.receive(Gossip("m", vouches=member_wire.notes), ("10.0.0.1", 1))
    for part in reversed(member_wire.list_parts):
        asker.receive(Gossip("m", list_parts=[part]), ("10.0.0.1", 1))


def test_the_peers_age_and_the_delay_are_added():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5)
    asker, wire = box(clock, False, 3, read_s=5.0)
    exchange(clock, asker, wire, member, member_wire, delay_s=0.1)
    assert asker._configuration.age_s <= 0.9 + 1e-9
    assert asker._configuration.age_s >= 0.7
    assert asker._targets.age_s >= 0.7


def test_an_answer_delayed_by_a_stall_is_as_old_as_its_question():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=10.0)
    asker, wire = box(clock, False, 3, read_s=5.0)
    exchange(clock, asker, wire, member, member_wire, stall_s=6.0)
    assert asker._configuration.age_s >= 6.0
    assert asker._targets.age_s >= 6.0


def test_a_different_version_confirms_nothing():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 4, read_s=10.0)
    asker, wire = box(clock, False, 3, read_s=5.0)
    exchange(clock, asker, wire, member, member_wire)
    assert asker._configuration.age_s == 5.0


def test_a_different_list_comes_with_the_answer_and_is_as_old_as_the_peers():
    clock = Clock()
    clock.advance(10.0)
    names = [f"t{i:02}" for i in range(30)]
    member, member_wire = box(clock, True, 3, read_s=9.5, targets=names)
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("t00", "old"))
    exchange(clock, asker, wire, member, member_wire, delay_s=0.1)
    assert len(member_wire.list_parts) > 1
    assert sorted(asker._targets.entries) == names
    assert 0.7 <= asker._targets.age_s <= 0.9 + 1e-9
    assert asker._targets.digest == member._targets.digest


def test_a_lost_part_leaves_the_list_unchanged():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5, targets=[f"t{i}" for i in range(30)])
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("old",))
    asker._ask()
    member.receive(Gossip("a", vouch_asks=wire.asks), ("10.0.0.2", 2))
    for part in member_wire.list_parts[1:]:
        asker.receive(Gossip("m", list_parts=[part, part]), ("10.0.0.1", 1))
    assert sorted(asker._targets.entries) == ["old"]
    assert asker._targets.age_s == 5.0


def test_only_the_difference_from_a_list_known_to_the_peer_is_sent():
    clock = Clock()
    clock.advance(10.0)
    names = [f"t{i:02}" for i in range(30)]
    member, member_wire = box(clock, True, 3, read_s=10.0, targets=names)
    asker, wire = box(clock, False, 3, read_s=10.0, targets=names)
    exchange(clock, asker, wire, member, member_wire)
    assert not member_wire.list_parts
    clock.advance(1.0)
    kept = {n: e for n, e in member._targets.entries.items() if n not in ("t03", "t04")}
    new = TargetEntry("t99", "s", "10.0.0.1", 1, "h", 1, False)
    leaving = kept["t05"]._replace(leaving=True)
    member._targets.entries = {**kept, "t05": leaving, "t99": new}
    member._targets._confirmed_s = clock.seconds()
    wire.asks.clear(), member_wire.notes.clear()
    exchange(clock, asker, wire, member, member_wire)
    assert [len(part.rows) for part in member_wire.list_parts] == [2]
    assert asker._targets.entries == member._targets.entries
    assert asker._targets.digest == member._targets.digest


def test_a_difference_from_a_list_no_longer_in_use_is_not_applied():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=10.0, targets=("t1", "t2"))
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("t1", "t2"))
    exchange(clock, asker, wire, member, member_wire)
    member._targets.entries = {"t1": member._targets.entries["t1"]}
    member._targets._confirmed_s = clock.seconds() + 1.0
    wire.asks.clear()
    asker._ask()
    member.receive(Gossip("a", vouch_asks=wire.asks), ("10.0.0.2", 2))
    other = {n: TargetEntry(n, "s", "10.0.0.1", 1, "h", 1, False) for n in ("t2", "t3")}
    asker._targets.entries = other
    for part in member_wire.list_parts:
        asker.receive(Gossip("m", list_parts=[part]), ("10.0.0.1", 1))
    assert asker._targets.entries == other


def test_a_peer_that_keeps_missing_entries_confirms_no_list():
    """Its list may hold a target that left while only this peer could not reach the store."""
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=10.0, targets=("t1", "t2"))
    member._targets.is_certain = False
    asker, wire = box(clock, False, 3, read_s=5.0, targets=("t1", "t2"))
    exchange(clock, asker, wire, member, member_wire)
    assert asker._configuration.age_s == 0.0
    assert asker._targets.age_s == 5.0
    assert not member_wire.list_parts


def test_an_unsolicited_answer_confirms_nothing():
    clock = Clock()
    clock.advance(10.0)
    asker, _wire = box(clock, False, 3, read_s=5.0)
    note = VouchNote(77, 3, 0.0, asker._targets.digest, 0.0)
    asker.receive(Gossip("m", vouches=[note]), ("10.0.0.1", 1))
    assert asker._configuration.age_s == 5.0


def test_an_answer_without_an_age_confirms_nothing():
    clock = Clock()
    clock.advance(10.0)
    asker, wire = box(clock, False, 3, read_s=5.0)
    for version in (3, 4):
        asker._ask()
        note = VouchNote(wire.asks[-1].ask_id, version)
        asker.receive(Gossip("m", vouches=[note]), ("10.0.0.1", 1))
    assert asker._configuration.age_s == 5.0
    assert asker._configuration.knows_newer_version


def test_a_box_outside_the_coordinator_group_confirms_nothing():
    clock = Clock()
    outside, wire = box(clock, False, 3)
    outside.receive(Gossip("a", vouch_asks=[VouchAsk(1)]), ("10.0.0.1", 1))
    assert not wire.notes


def test_a_newer_table_is_read_when_a_peer_names_it():
    clock = Clock()
    member, member_wire = box(clock, True, 3)
    asker, wire = box(clock, False, 3)
    exchange(clock, asker, wire, member, member_wire)
    assert asker._table_follower._may_rely_on_peers()
    member._table.adopt(Table(4), [])
    wire.asks.clear(), member_wire.notes.clear()
    exchange(clock, asker, wire, member, member_wire)
    assert not asker._table_follower._may_rely_on_peers()


def test_a_member_that_cannot_read_the_configuration_asks_its_peers():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5)
    cut_off, wire = box(clock, True, 3, read_s=9.5)
    start(cut_off.run())
    assert not wire.asks
    clock.pump([0.5] * 5)
    assert wire.asks
    member._configuration._confirm(clock.seconds())
    exchange(clock, cut_off, wire, member, member_wire)
    assert cut_off._configuration.is_current


def test_an_unregistered_box_receives_the_list_of_boxes_in_one_datagram():
    """Otherwise the list does not fit in a datagram while a large fleet starts."""
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=9.5)
    asker, wire = box(clock, False, 3, read_s=9.5)
    entries = {
        f"front-some-hall-{i}.0123abcd": BoxEntry("10.200.100.100", 8000, float(i % 4))
        for i in range(60)
    }
    member._registry.entries, member._registry.revision = entries, Revision(0, 7)
    exchange(clock, asker, wire, member, member_wire)
    assert len(encode(Gossip("m", vouches=member_wire.notes))) < 1_200
    received = asker._registry.entries
    assert set(received) <= set(entries)
    assert len(received) >= SMALL_FLEET
    assert {entry.capacity for entry in received.values()} == {3}
    wire.asks.clear(), member_wire.notes.clear()
    exchange(clock, asker, wire, member, member_wire)
    assert member_wire.notes[0].boxes is None


def test_a_box_with_a_stale_configuration_asks_more_often_until_it_is_confirmed():
    """Otherwise each box waits out its usual interval after an outage."""
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 3, read_s=4.0)
    asker, wire = box(clock, False, 3, read_s=4.0)
    start(asker.run())
    wire.asks.clear()
    clock.pump([0.05] * 20)
    assert len(wire.asks) >= 5
    member._configuration._confirm(clock.seconds())
    wire.asks.clear()
    exchange(clock, asker, wire, member, member_wire)
    wire.asks.clear()
    clock.pump([0.05] * 20)
    assert len(wire.asks) <= 3


class JsonFeed(NoFeed):
    """Decodes a configuration that ends with its version."""

    def decode(self, raw):
        return Configuration(int(raw.split()[-1]))


def unique_configuration(version, size):
    """Return a configuration that does not compress well."""
    return random.Random(version).randbytes(size).replace(b" ", b"-") + b" %d" % version


def send_configuration(member_version, asker_version, raw, lost=(), accepts_differences=True):
    """Return the asking box and the member's wire, after the member has answered.

    The parts of the configuration whose numbers are in `lost` do not arrive.
    """
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, member_version, read_s=9.5)
    asker, wire = box(clock, False, asker_version, read_s=8.0)
    asker._configuration._feed = JsonFeed()
    member._configuration.raw = raw
    asker._ask()
    wire.asks[0].accepts_differences = accepts_differences
    member.receive(Gossip("a", vouch_asks=wire.asks), ("10.0.0.2", 2))
    for part in member_wire.configuration_parts:
        if part.part not in lost:
            asker.receive(Gossip("m", configuration_parts=[part]), ("10.0.0.1", 1))
    asker.receive(Gossip("m", vouches=member_wire.notes), ("10.0.0.1", 1))
    return asker, member_wire


@pytest.mark.parametrize("accepts_differences, parts", [(True, 1), (None, 5)])
def test_a_newer_configuration_is_sent_with_its_age(accepts_differences, parts):
    """Thundering herd: otherwise each change makes every box read the store.

    Boxes of earlier versions of the program accept no differences.
    """
    asker, wire = send_configuration(4, 3, b"4".rjust(5_000), (), accepts_differences)
    assert len(wire.configuration_parts) == parts
    assert asker._configuration.in_force.version == 4
    assert asker._configuration.raw == b"4".rjust(5_000)
    assert asker._configuration.age_s == 0.5
    assert not asker._configuration.knows_newer_version
    asker, wire = send_configuration(3, 3, b"3")
    assert not wire.configuration_parts


@pytest.mark.parametrize("raw, lost, sent", [
    (unique_configuration(4, 5_000), (2,), 5),
    (unique_configuration(4, 200_000), (), 0),
])  # fmt: skip
def test_a_box_reads_a_large_or_incomplete_configuration_itself(raw, lost, sent):
    asker, wire = send_configuration(4, 3, raw, lost)
    assert len(wire.configuration_parts) == sent
    assert asker._configuration.in_force.version == 3
    assert asker._configuration.knows_newer_version


def test_a_malformed_configuration_of_a_peer_is_read_from_the_store(caplog):
    clock = Clock()
    asker, wire = box(clock, False, 3)
    asker._ask()
    for data, base in ((b"torn", -1), (b"torn", 3), (encode_difference(b"{x}{y}", b"{y}4"), 3)):
        part = ConfigurationPart(4, 0, 1, data, base)
        note = VouchNote(wire.asks[0].ask_id, 4, 0.0)
        gossip = Gossip("m", configuration_parts=[part], vouches=[note])
        asker.receive(gossip, ("10.0.0.1", 1))
        assert asker._configuration.in_force.version == 3
    assert asker._configuration.knows_newer_version


def change(raw, version):
    """Return a configuration that differs from `raw` in a few bytes and its version."""
    return raw.replace(b"}", b"}!", 1).rsplit(b" ", 1)[0] + b" %d" % version


def exchange_versions(versions, bases):
    """Return the number of parts that a box receives from a member for each of its versions.

    The member has `versions` in force one after the other, and sends the last one to boxes that
    have the versions `bases`.
    """
    sender, received = ConfigurationSender(), ReceivedConfiguration()
    for version, raw in versions.items():
        sender.parts(version, raw, -1, True)
    counts = []
    for base in bases:
        parts = sender.parts(version, raw, base, True)
        received.add(parts)
        assert received.assemble(version).decode(base, versions.get(base, b"")) == raw
        counts.append(len(parts))
    return counts


def test_a_large_configuration_is_sent_as_the_difference_from_the_boxs_own():
    """At 400 boxes, a whole configuration at each change is more bytes than a box may spend."""
    versions = {4: unique_configuration(4, 200_000)}
    for version in range(5, 11):
        versions[version] = change(versions[version - 1], version)
    assert exchange_versions(versions, range(4, 10)) == [1] * 6


def test_the_whole_is_sent_if_the_boxs_version_is_forgotten_or_unknown():
    versions = {v: unique_configuration(1, 30_000) + b" %d" % v for v in range(20)}
    assert exchange_versions(versions, [18, 0, 77, -1]) == [1, 28, 28, 28]


def test_parts_of_an_older_version_are_ignored():
    def parts(version, size):
        return ConfigurationSender().parts(version, unique_configuration(version, size), -1, True)

    def assemble(version):
        encoded = received.assemble(version)
        return None if encoded is None else encoded.decode(-1, b"")

    received = ReceivedConfiguration()
    old, new = parts(4, 3_000), parts(5, 2_500)
    received.add(old[:2])
    received.add(new[:1])
    received.add(old[2:])
    assert assemble(4) is None
    assert assemble(5) is None
    received.add(new[1:])
    assert assemble(5) == unique_configuration(5, 2_500)
    received.add([ConfigurationPart(6, 5, 3, b""), ConfigurationPart(6, 0, MAX_PARTS + 1, b"")])
    assert assemble(5) == unique_configuration(5, 2_500)


def test_a_starting_box_learns_the_members_from_any_box_and_the_rest_from_a_member():
    clock = Clock()
    clock.advance(10.0)
    member, member_wire = box(clock, True, 4, read_s=9.5)
    member._configuration.raw = b"4"
    seed, seed_wire = box(clock, False, 4, read_s=9.5)
    seed._registry.entries = {"m.1": BoxEntry("10.0.0.1", 1, 2.0)}
    seed._registry.revision = Revision(0, 7)
    fresh, wire = box(clock, False, 0, read_s=0.0, targets=())
    fresh._configuration.in_force, fresh._configuration._feed = None, JsonFeed()
    fresh._targets._confirmed_s = fresh._configuration._confirmed_s = float("-inf")
    fresh._seeds = [("10.0.0.3", 3)]
    start(fresh.run())
    seed.receive(Gossip("a", vouch_asks=wire.asks[:1]), ("10.0.0.2", 2))
    asked = len(wire.asks)
    fresh.receive(Gossip("s", vouches=seed_wire.notes), ("10.0.0.3", 3))
    assert set(fresh._registry.entries) == {"m.1"}
    assert len(wire.asks) == asked + 1
    member.receive(Gossip("a", vouch_asks=wire.asks[-1:]), ("10.0.0.2", 2))
    for received in member_wire.configuration_parts:
        fresh.receive(Gossip("m", configuration_parts=[received]), ("10.0.0.1", 1))
    fresh.receive(Gossip("m", vouches=member_wire.notes), ("10.0.0.1", 1))
    fresh.receive(Gossip("m", list_parts=member_wire.list_parts), ("10.0.0.1", 1))
    assert fresh._configuration.in_force.version == 4
    assert set(fresh._targets.entries) == {"t1"}
    assert fresh._targets.age_s == fresh._configuration.age_s == 0.5


def test_an_answer_without_news_is_not_followed_by_another_question():
    clock = Clock()
    clock.advance(10.0)
    asker, wire = box(clock, False, 3)
    asker._registry.revision = Revision(0, 9)
    asker._ask()
    note = VouchNote(wire.asks[0].ask_id, boxes=[], boxes_revision=8)
    for _ in range(3):
        asker.receive(Gossip("s", vouches=[note]), ("10.0.0.3", 3))
    assert len(wire.asks) == 1
