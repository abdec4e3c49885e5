"""A planned stop, as the other boxes of a small fleet see it: who counts, who is told of work."""

import pytest

from gladedrum.beliefs.tests.fleet import VirtualFleet

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


def test_the_next_start_of_a_box_counts_at_once(fleet):
    box = stopping(fleet)
    fleet.run(SERVES_ON_S)
    box.end()
    fleet.run(0.9)
    started = fleet.start(0)
    fleet.run(0.2)
    assert started.address == box.address
    assert counted_by(fleet, started) == BOXES - 1
