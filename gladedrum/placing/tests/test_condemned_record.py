"""How boxes that start, or miss a datagram, learn which requests end targets.

Guards against losing that knowledge with the boxes: each condemned request would then end three
more targets after every restart of a whole fleet. Nine boxes, in virtual time.
"""

import json
import random

import pytest

from gladedrum.beliefs.tests.fleet import VirtualBox, VirtualFleet
from gladedrum.gossip.wire.ttypes import Gossip, LossNote
from gladedrum.placing.condemned_record import CONDEMNED_PREFIX, CondemnedRecord
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.suspicion import Suspicion
from gladedrum.scheduling.suspects import LOSS_RETENTION_S, PartCause, Standing, TargetStart
from gladedrum.utils import start

BOXES = 9
KNOWN_WITHIN_S = 3.0
BAD = b"\x01" * 16


class SuspectingBox(VirtualBox):
    """A box that records losses, notifies its peers, and keeps the record."""

    def __init__(self, *args):
        self.view = FleetView()
        super().__init__(*args)
        registry, coordinators = self.beliefs.registry, self.beliefs.coordinators
        self.record = CondemnedRecord(
            self.fleet.clock,
            self.store,
            registry,
            self.losses,
            lambda: not coordinators.follows_readers(),
        )
        self.running.append(start(self.record.run()))
        self.running[-1].addErrback(lambda _failure: None)

    def make_losses(self):
        return Suspicion(self.fleet.clock, self.view, self.beliefs.targets, self.port)

    def lose(self, target, digest=BAD, parts=(), isolated=False):
        """Record a request of this box as lost with a target that then refuses all boxes."""
        self.losses.note_lost(digest, [target], "r", "org", parts, isolated)
        for box in self.fleet.boxes.values():
            box.view.note_refused(target, "somebody", self.fleet.clock.seconds())

    def _receive(self, told, address):
        super()._receive(told, address)
        self.losses.receive(told)


class SuspectingFleet(VirtualFleet):
    """A fleet of such boxes; `lost` returns whether the next datagram is lost."""

    box_class = SuspectingBox

    def __init__(self, count=BOXES):
        self.lost = lambda: False
        super().__init__(count)
        self.run(8.0)

    def deliver(self, data, sender, address):
        if not self.lost():
            super().deliver(data, sender, address)

    def standings(self):
        return [box.losses.standing(BAD) for box in self.boxes.values()]

    def condemn(self, *numbers):
        boxes = list(self.boxes.values())
        for number in numbers or (1, 2, 3):
            boxes[number].lose(f"t{number}")
            self.run(0.1)

    def recorded(self):
        return self.store.keys(CONDEMNED_PREFIX)

    def restart_all(self):
        for box in list(self.boxes.values()):
            box.stop()
        self.run(1.0)
        for number in range(BOXES):
            self.start(number)


def test_losses_on_three_boxes_condemn_the_request_on_all_boxes_at_once():
    fleet = SuspectingFleet()
    fleet.condemn()
    assert set(fleet.standings()) == {Standing.CONDEMNED}


def test_only_the_readers_write_the_record_and_only_once():
    fleet = SuspectingFleet()
    before = fleet.store.calls["write"]
    fleet.condemn(1, 2, 3, 4, 5)
    fleet.run(2.0)
    assert fleet.recorded() == [CONDEMNED_PREFIX + BAD.hex()]
    assert fleet.store.calls["write"] - before == 2


@pytest.mark.parametrize("seed", range(3))
def test_all_boxes_know_a_condemned_request_with_a_third_of_datagrams_lost(seed):
    fleet, rng = SuspectingFleet(), random.Random(seed)
    fleet.lost = lambda: rng.random() < 0.33
    fleet.condemn()
    fleet.run(KNOWN_WITHIN_S)
    assert set(fleet.standings()) == {Standing.CONDEMNED}


def test_a_starting_box_learns_a_condemned_request_without_a_store_call():
    fleet = SuspectingFleet()
    fleet.condemn()
    before = fleet.store.listed[CONDEMNED_PREFIX]
    fleet.boxes[("10.0.0.5", 7000)].stop()
    fleet.run(0.5)
    box = fleet.start(5)
    fleet.run(0.2)
    assert box.losses.standing(BAD) is Standing.CONDEMNED
    fleet.run(KNOWN_WITHIN_S)
    assert fleet.store.listed[CONDEMNED_PREFIX] == before


def test_a_restarted_fleet_learns_a_condemned_request_from_the_store():
    fleet = SuspectingFleet()
    fleet.condemn()
    fleet.run(1.0)
    before = fleet.store.listed[CONDEMNED_PREFIX]
    fleet.restart_all()
    fleet.run(KNOWN_WITHIN_S)
    assert set(fleet.standings()) == {Standing.CONDEMNED}
    assert fleet.store.listed[CONDEMNED_PREFIX] - before <= 4


def test_a_restarted_fleet_learns_a_condemned_part_from_the_store():
    fleet, part = SuspectingFleet(), PartCause(b"\x02" * 16, "5c1e07a2")
    for number in range(1, 5):
        box = list(fleet.boxes.values())[number]
        box.lose(f"t{number}", b"request %d" % number, [part], isolated=number > 2)
        fleet.run(0.5)
    fleet.run(1.0)
    assert fleet.recorded() == [CONDEMNED_PREFIX + part.digest.hex()]
    fleet.restart_all()
    fleet.run(KNOWN_WITHIN_S)
    for box in fleet.boxes.values():
        (row,) = box.losses.condemned()
        assert (row.part, row.route, len(row.starts), len(row.tests)) == ("5c1e07a2", "r", 4, 2)


def test_a_restarted_fleet_learns_a_condemned_request_once_the_store_is_back():
    fleet = SuspectingFleet()
    fleet.condemn()
    fleet.run(1.0)
    fleet.store.unavailable = True
    fleet.restart_all()
    fleet.run(5.0)
    assert set(fleet.standings()) == {Standing.CLEAR}
    fleet.store.unavailable = False
    fleet.run(KNOWN_WITHIN_S)
    assert set(fleet.standings()) == {Standing.CONDEMNED}


def test_a_lifted_request_is_not_restored_by_a_peer_or_the_store():
    fleet = SuspectingFleet()
    fleet.condemn()
    fleet.run(1.0)
    box = fleet.boxes[("10.0.0.7", 7000)]
    assert box.losses.lift(BAD)
    assert not box.losses.lift(BAD)
    fleet.run(2.0)
    assert fleet.recorded() == []
    fleet.restart_all()
    fleet.run(KNOWN_WITHIN_S)
    assert set(fleet.standings()) == {Standing.CLEAR}


def test_the_record_expires_when_the_loss_no_longer_counts():
    fleet = SuspectingFleet()
    fleet.condemn()
    fleet.run(1.0)
    leases = [until_s - fleet.clock.seconds() for until_s in fleet.store._expires_s.values()]
    assert max(leases) == pytest.approx(LOSS_RETENTION_S, abs=2.0)


def test_invalid_entries_in_the_store_are_skipped():
    fleet = SuspectingFleet()
    fleet.condemn()
    fleet.run(1.0)
    infinite = b'{"route": "r", "organisation": "o", "starts": [["t1", 1e999]]}'
    odd = (b"\xff", b"[]", b'{"starts": 3}', json.dumps({}).encode(), b"[" * 100_000, infinite)
    for index, raw in enumerate(odd):
        fleet.store.write(f"{CONDEMNED_PREFIX}{index:032x}", raw)
    fleet.store.write(CONDEMNED_PREFIX + "no digest", b"{}")
    fleet.restart_all()
    fleet.run(KNOWN_WITHIN_S)
    assert set(fleet.standings()) == {Standing.CONDEMNED}


def test_invalid_notes_from_a_peer_are_skipped():
    fleet = SuspectingFleet(2)
    box = next(iter(fleet.boxes.values()))
    odd = [LossNote(), LossNote(BAD, "t1", 1, 9, 0.0), LossNote(BAD, None, 1, 1, 0.0)]
    box.losses.receive(Gossip("x", losses=odd))
    assert box.losses.checksum == 0
    box.losses.receive(Gossip("x", losses=[LossNote(BAD, "t1", 1, 1, -5.0)]))
    assert box.view.suspects.losses()[0].start == TargetStart("t1", 1)
