"""Planned stops in a small fleet: membership of the stopping box and what it still receives."""

import pytest

from gladedrum.beliefs.tests.fleet import VirtualFleet
from gladedrum.gossip import PLACED, decode, encode, is_shutdown_notice
from gladedrum.gossip.wire.ttypes import Gossip, RepeatAsk, ReportNote, WorkNote

BOXES = 9
DRAIN_S = 4.0
"""Time from the stop signal until the process ends, in seconds."""


@pytest.fixture
def fleet():
    fleet = VirtualFleet(BOXES)
    fleet.run(6.0)
    return fleet


def stopping(fleet):
    box = next(iter(fleet.boxes.values()))
    box.leave()
    return box


def membership_count(fleet, box):
    """Return how many other boxes have a box in their coordinator group."""
    others = [other for other in fleet.boxes.values() if other is not box]
    return sum(
        box.beliefs.coordinators.me in other.beliefs.coordinators.members() for other in others
    )


def test_a_stopping_box_receives_all_changes_as_long_as_it_serves(fleet):
    box = stopping(fleet)
    for _ in range(8):
        fleet.run(DRAIN_S / 8)
        assert membership_count(fleet, box) == BOXES - 1
        senders = [
            o for o in fleet.boxes.values() if box.address in o.beliefs.coordinators.recipients()
        ]
        assert len(senders) == BOXES - 1


def test_a_box_that_has_ended_as_planned_is_no_member(fleet):
    """Otherwise peers wait in vain for its answers, and rely on it to read reports."""
    box = stopping(fleet)
    fleet.run(DRAIN_S)
    box.end()
    fleet.run(0.05)
    assert membership_count(fleet, box) == 0
    fleet.run(3.0)
    assert membership_count(fleet, box) == 0
    assert all(other.beliefs.registry.count == BOXES - 1 for other in fleet.boxes.values())


def test_a_shutdown_notice_that_overtakes_other_datagrams_is_sent_again(fleet):
    box = stopping(fleet)
    fleet.run(DRAIN_S)
    box.port.announce_shutdown()
    other = next(other for other in fleet.boxes.values() if other is not box)
    fleet.run(0.01)
    other.port.datagramReceived(encode(Gossip(box.beliefs.coordinators.me)), box.address)
    assert box.beliefs.coordinators.me in other.beliefs.coordinators.members()
    box.end()
    fleet.run(0.01)
    assert box.beliefs.coordinators.me not in other.beliefs.coordinators.members()


def test_after_its_shutdown_notice_a_box_sends_nothing_else(fleet):
    box = stopping(fleet)
    box.port.announce_shutdown()
    sent = []
    box.port.transport.write = lambda data, address: sent.append(decode(data))
    box.port.broadcast_report(ReportNote("t0", True))
    box.port.broadcast_work(WorkNote("w", PLACED, ["t0"]))
    box.port.announce_box()
    box.port.ask_repeat(("10.0.0.1", 7000), RepeatAsk(1, "s"))
    fleet.run(0.1)
    box.port.announce_shutdown()
    assert sent
    assert all(is_shutdown_notice(received) for received in sent)


def test_the_next_start_of_a_box_is_a_member_at_once(fleet):
    box = stopping(fleet)
    fleet.run(DRAIN_S)
    box.end()
    fleet.run(0.9)
    started = fleet.start(0)
    fleet.run(0.2)
    assert started.address == box.address
    assert membership_count(fleet, started) == BOXES - 1


def test_a_stopping_box_and_a_starting_one_know_each_other(fleet):
    """Otherwise one misses the other's changes, and both read the same reports."""
    first, *_others, second = fleet.boxes.values()  # neither is a seed
    second.leave()
    first.leave()
    fleet.run(3.0)
    first.end()
    fleet.run(0.9)
    started = fleet.start(0)
    fleet.run(0.3)
    assert membership_count(fleet, started) == BOXES - 1
    assert membership_count(fleet, second) == BOXES - 1


def test_a_stopping_box_of_an_earlier_version_has_not_ended(fleet):
    """Earlier versions announce the stop at the signal, with empty lists, and still serve."""
    box, other, *_ = fleet.boxes.values()
    name = box.beliefs.coordinators.me
    replaced = []
    other.beliefs.registry.on_replaced = replaced.append
    other.port.datagramReceived(encode(Gossip(name, [], [], True)), box.address)
    assert name in other.beliefs.coordinators.members()
    assert not replaced


def test_a_box_that_has_ended_is_no_member_though_its_entry_is_still_listed(fleet):
    """The entry remains if the store is unavailable when the box ends."""
    box = stopping(fleet)
    fleet.run(DRAIN_S)
    fleet.store.unavailable = True
    box.end()
    for _ in range(20):
        fleet.run(0.5)
        assert membership_count(fleet, box) == 0
