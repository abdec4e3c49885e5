"""A planned stop, as the other boxes of a small fleet see it: who counts, who is told of work."""

import pytest

from gladedrum.beliefs.tests.fleet import VirtualFleet
from gladedrum.gossip import PLACED, decode, encode, is_farewell
from gladedrum.gossip.wire.ttypes import Gossip, RepeatAsk, ReportNote, WorkNote

BOXES = 9
SERVES_ON_S = 4.0
"""From the signal until the process ends."""


@pytest.fixture
def fleet():
    fleet = VirtualFleet(BOXES)
    fleet.run(6.0)
    return fleet


def stopping(fleet):
    box = next(iter(fleet.boxes.values()))
    box.leave()
    return box


def counted_by(fleet, box):
    """Return how many other boxes count a box among those that decide and read for all."""
    others = [other for other in fleet.boxes.values() if other is not box]
    return sum(box.beliefs.circle.me in other.beliefs.circle.members() for other in others)


def test_a_stopping_box_is_told_of_all_work_as_long_as_it_serves(fleet):
    box = stopping(fleet)
    for _ in range(8):
        fleet.run(SERVES_ON_S / 8)
        assert counted_by(fleet, box) == BOXES - 1
        told = [o for o in fleet.boxes.values() if box.address in o.beliefs.circle.audience()]
        assert len(told) == BOXES - 1


def test_a_box_that_has_ended_as_planned_counts_no_more(fleet):
    """It was for 6 s more: asked for places, 40 ms each in vain, and taken to read reports."""
    box = stopping(fleet)
    fleet.run(SERVES_ON_S)
    box.end()
    fleet.run(0.05)
    assert counted_by(fleet, box) == 0
    fleet.run(3.0)
    assert counted_by(fleet, box) == 0
    assert all(other.beliefs.registry.count == BOXES - 1 for other in fleet.boxes.values())


def test_a_farewell_that_overtakes_other_notes_is_said_again(fleet):
    box = stopping(fleet)
    fleet.run(SERVES_ON_S)
    box.port.say_farewell()
    other = next(other for other in fleet.boxes.values() if other is not box)
    fleet.run(0.01)
    other.port.datagramReceived(encode(Gossip(box.beliefs.circle.me)), box.address)
    assert box.beliefs.circle.me in other.beliefs.circle.members()
    box.end()
    fleet.run(0.01)
    assert box.beliefs.circle.me not in other.beliefs.circle.members()


def test_after_its_farewell_a_box_says_nothing_else(fleet):
    box = stopping(fleet)
    box.port.say_farewell()
    sent = []
    box.port.transport.write = lambda data, address: sent.append(decode(data))
    box.port.tell_report(ReportNote("t0", True))
    box.port.tell_work(WorkNote("w", PLACED, ["t0"]))
    box.port.say_hello()
    box.port.ask_repeat(("10.0.0.1", 7000), RepeatAsk(1, "s"))
    fleet.run(0.1)
    box.port.say_farewell()
    assert sent
    assert all(is_farewell(told) for told in sent)


def test_the_next_start_of_a_box_counts_at_once(fleet):
    box = stopping(fleet)
    fleet.run(SERVES_ON_S)
    box.end()
    fleet.run(0.9)
    started = fleet.start(0)
    fleet.run(0.2)
    assert started.address == box.address
    assert counted_by(fleet, started) == BOXES - 1


def test_a_stopping_box_and_one_that_starts_meanwhile_know_each_other(fleet):
    """Else the one is not told of the other's work, and both read the same reports."""
    first, *_others, second = fleet.boxes.values()  # neither is a seed
    second.leave()
    first.leave()
    fleet.run(3.0)
    first.end()
    fleet.run(0.9)
    started = fleet.start(0)
    fleet.run(0.3)
    assert counted_by(fleet, started) == BOXES - 1
    assert counted_by(fleet, second) == BOXES - 1


def test_a_box_of_an_earlier_version_that_begins_to_stop_has_not_ended(fleet):
    """It says that it leaves at its signal, with empty lists beside, and serves on for seconds."""
    box, other, *_ = fleet.boxes.values()
    name = box.beliefs.circle.me
    replaced = []
    other.beliefs.registry.on_replaced = replaced.append
    other.port.datagramReceived(encode(Gossip(name, [], [], True)), box.address)
    assert name in other.beliefs.circle.members()
    assert not replaced


def test_a_box_that_has_ended_counts_no_more_though_its_entry_is_still_listed(fleet):
    """Its entry stays where the store is away at its end; after 6 s it was a peer again."""
    box = stopping(fleet)
    fleet.run(SERVES_ON_S)
    fleet.store.away = True
    box.end()
    for _ in range(20):
        fleet.run(0.5)
        assert counted_by(fleet, box) == 0
