"""Choice of carriers, without a network.

The load: all 80 boxes of a data hall have lost their links, and the others carry for them.
"""

from collections import Counter

import pytest

from gladedrum.fleet import TargetEntry
from gladedrum.gossip.wire.ttypes import BoxRow, LinkNote, TargetGroup
from gladedrum.paths.carriers import Carriers, PeerFacts

TARGET = TargetEntry("t1", "pool", "10.0.0.1", 1, "hall-2", 8, False)
OTHER = TARGET._replace(name="t2", port=2)


def make_carriers(me="me", peers=None, capacities=None, halls=None, coordinators=()):
    peers = peers or {f"p{i}": ("10.0.1.1", i) for i in range(1, 5)}
    return Carriers(
        me,
        "hall-1",
        PeerFacts(
            lambda: peers,
            lambda name: (capacities or {}).get(name, 1.0 if name in peers else 0.0),
            lambda name: (halls or {}).get(name, "hall-1" if name in peers else ""),
            lambda name: name in coordinators,
        ),
    )


def names(carriers, now_s=0.0, tried=()):
    return [carrier.name for carrier in carriers.ranked(TARGET, now_s, tried)]


# Guards against a herd: boxes that know nothing of each other must not choose the same carrier.
def test_a_cut_data_hall_spreads_over_all_carriers_by_their_capacity():
    peers = {f"p{i}": ("10.0.1.1", i) for i in range(1, 21)}
    capacities = {name: 2.0 if i < 5 else 1.0 for i, name in enumerate(peers)}
    boxes = [make_carriers(f"cut{i}", peers, capacities) for i in range(80)]
    chosen = Counter()
    for _ in range(5):
        for box in boxes:
            name = names(box)[0]
            box.note_opened(name)
            chosen[name] += 1
    share = 400 / sum(capacities.values())
    assert max(chosen[name] / (capacities[name] * share) for name in peers) <= 1.6
    assert min(chosen[name] / (capacities[name] * share) for name in peers) >= 0.5


# Guards against bytes that pass between data halls twice while a nearer box has room.
def test_boxes_of_the_own_or_the_targets_data_hall_go_first():
    halls = {"p1": "hall-3", "p2": "hall-2", "p3": "hall-1", "p4": "hall-3"}
    carriers = make_carriers(halls=halls)
    assert set(names(carriers)[:2]) == {"p2", "p3"}
    for _ in range(12):
        carriers.note_opened("p2")
        carriers.note_opened("p3")
    assert set(names(carriers)[:2]) == {"p1", "p4"}


def test_a_coordinator_of_a_large_fleet_goes_last():
    carriers = make_carriers(coordinators={"p1", "p2"})
    assert set(names(carriers)[2:]) == {"p1", "p2"}


# Guards against carriers that are as cut as this box.
def test_peers_with_impaired_links_to_the_targets_group_are_left_out_until_their_note_is_old():
    carriers = make_carriers()
    carriers.note_link("p1", LinkNote([TargetGroup("pool", "")], True), 0.0)
    carriers.note_link("p2", LinkNote([TargetGroup("pool", "hall-2")], True), 0.0)
    carriers.note_link("p3", LinkNote([TargetGroup("pool", "hall-3")], True), 0.0)
    assert set(names(carriers)) == {"p3", "p4"}
    assert set(names(carriers, 3.1)) == {"p1", "p2", "p3", "p4"}
    carriers.note_link("p1", LinkNote([], True), 1.0)
    assert "p1" in names(carriers, 1.0)


def test_peers_that_have_failed_go_last_for_a_while():
    carriers = make_carriers()
    first = names(carriers)[0]
    carriers.note_failed(first, 0.0)
    assert names(carriers, 0.5)[-1] == first
    assert names(carriers, 1.1)[0] == first


def test_the_load_that_a_carrier_states_counts():
    carriers = make_carriers()
    first = names(carriers)[0]
    carriers.note_load(first, 50, 0.0)
    assert names(carriers)[-1] == first


# Guards against tunnels to a target that nobody reaches, and against giving up too early.
def test_a_target_is_unreachable_once_all_peers_have_said_so():
    carriers = make_carriers()
    for name in ("p1", "p2", "p3"):
        carriers.note_negative(TARGET, name, 0.0)
    assert names(carriers) == ["p4"]
    assert carriers.reachable_by_peers(TARGET, 0.0)
    carriers.note_link("p4", LinkNote([TargetGroup("pool", "")], True), 0.0)
    assert not carriers.reachable_by_peers(TARGET, 0.0)
    assert carriers.reachable_by_peers(TARGET, 2.1)
    carriers.note_positive(TARGET)
    assert set(names(carriers)) == {"p1", "p2", "p3"}


# Guards against refusing requests because many boxes are cut, while others reach the service.
def test_peers_with_impaired_links_prove_nothing_while_others_were_not_asked():
    carriers = make_carriers(peers={f"p{i}": ("10.0.1.1", i) for i in range(30)})
    for i in range(10):
        carriers.note_link(f"p{i}", LinkNote([TargetGroup("pool", "")], True), 0.0)
    assert carriers.reachable_by_peers(TARGET, 0.0)
    for i in range(10, 15):
        carriers.note_negative(TARGET, f"p{i}", 0.0)
    assert carriers.reachable_by_peers(TARGET, 0.0)
    carriers.note_negative(OTHER, "p15", 0.0)
    assert not carriers.reachable_by_peers(TARGET, 0.0)
    carriers.note_positive(OTHER)
    assert carriers.reachable_by_peers(TARGET, 0.0)


# Guards against a box of a large fleet that knows few boxes, all of which may be cut.
def test_carriers_that_a_coordinator_names_are_used_for_a_while():
    carriers = make_carriers()
    row = BoxRow("far", "10.0.1.9", 9, 1000.0, "hall-2")
    carriers.note_offered([row, BoxRow("me", "10.0.1.0", 1)], 0.0)
    assert names(carriers)[0] == "far"
    assert "me" not in names(carriers)
    assert "far" not in names(carriers, 6.1)


# Guards against tunnels through an address that can't exist, which a coordinator has believed.
def test_carriers_without_a_usable_address_are_not_used():
    carriers = make_carriers()
    odd = [("odd", 9), ("10.0.1.9", 70_000), ("224.0.0.1", 9), (None, None), ("10.0.1.9", 0)]
    rows = [BoxRow(f"far{i}", *address, 1e3, "hall-2") for i, address in enumerate(odd)]
    carriers.note_offered([*rows, BoxRow(None, "10.0.1.9", 9)], 0.0)
    assert not any(name is None or name.startswith("far") for name in names(carriers))


def test_a_box_without_peers_has_no_carriers():
    carriers = Carriers(
        "me", "hall-1", PeerFacts(dict, lambda _n: 0.0, lambda _n: "", lambda _n: False)
    )
    assert not carriers.has_peers()
    assert not names(carriers)


@pytest.mark.parametrize("carries", [True, False])
def test_a_peer_that_stops_carrying_is_left_out(carries):
    carriers = make_carriers()
    carriers.note_link("p1", LinkNote([], carries), 0.0)
    assert ("p1" in names(carriers)) is carries
    assert carriers.is_leaving("p1", 0.0) is not carries
