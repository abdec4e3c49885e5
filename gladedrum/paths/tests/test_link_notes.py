"""What boxes tell each other of their links, and what a coordinator answers."""

import random
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from gladedrum.gossip.wire.ttypes import BoxRow, Gossip, LinkNote, TargetGroup
from gladedrum.paths.carriers import Carriers, PeerFacts
from gladedrum.paths.link_notes import MAX_OFFERED, OFFER_INTERVAL_S, FleetFacts, LinkNotes

IMPAIRED = LinkNote([TargetGroup("pool", "")], True)
MEMBERS = ["b0", "b1", "b2", "b3"]
ADDRESS = ("10.0.1.1", 30)


class Receiver:
    """A box of a fleet of 40; `sent` holds the carriers that it has named."""

    def __init__(self, offers=True):
        self.clock = Clock()
        self.sent: list[tuple[tuple[str, int], list[BoxRow]]] = []
        self.left: list[str] = []
        peers = {f"b{i}": ("10.0.1.1", i) for i in range(1, 40)}
        facts = (lambda: peers, lambda _name: 1.0, lambda _name: "hall")
        self.carriers = Carriers("b0", "hall", PeerFacts(*facts, lambda name: name in MEMBERS))
        port = SimpleNamespace(
            send_carriers=lambda address, rows: self.sent.append((address, rows))
        )
        self.notes = LinkNotes(
            self.clock,
            self.carriers,
            port,
            FleetFacts(*facts, lambda: MEMBERS, lambda: offers),
            random.Random(1),
            self.left.append,
        )

    def receive(self, box, **fields):
        self.notes.receive(Gossip(box, **fields), ADDRESS)


# Guards against boxes of a large fleet that know only carriers which are cut as well.
def test_a_coordinator_names_boxes_that_may_carry():
    receiver = Receiver()
    for i in range(10, 30):
        receiver.receive(f"b{i}", link=IMPAIRED)
    receiver.sent.clear()
    receiver.receive("b30", link=IMPAIRED)
    ((address, rows),) = receiver.sent
    names = {row.name for row in rows}
    assert address == ADDRESS
    assert len(names) == MAX_OFFERED
    assert not names & {*MEMBERS, "b30", *(f"b{i}" for i in range(10, 30))}


# Guards against answers to every note, which would use up a coordinator's link.
def test_a_box_is_answered_at_most_once_in_an_interval():
    receiver = Receiver()
    for _ in range(7):
        receiver.receive("b30", link=IMPAIRED)
        receiver.clock.advance(1.0)
    assert len(receiver.sent) == 1 + int(6.0 / OFFER_INTERVAL_S)


@pytest.mark.parametrize("note", [IMPAIRED, LinkNote([], True)])
def test_nobody_is_named_to_boxes_without_impaired_links_or_by_other_boxes(note):
    receiver = Receiver(offers=not note.impaired)
    receiver.receive("b30", link=note)
    assert not receiver.sent


def test_named_carriers_are_kept_and_a_leaving_one_is_reported():
    receiver = Receiver()
    receiver.receive("b1", carriers=[BoxRow("far", "10.0.1.9", 9, 1.0, "hall")])
    assert receiver.carriers.has_peers()
    receiver.receive("b2", link=LinkNote([], False))
    assert receiver.left == ["b2"]


# Guards against reports that nobody reads, and against readers whose own links have failed.
def test_readers_with_impaired_links_are_left_out_while_there_are_others():
    receiver = Receiver()
    receiver.receive("b1", link=IMPAIRED)
    assert receiver.notes.readers(MEMBERS, False, "b0") == ["b0", "b2", "b3"]
    assert receiver.notes.readers(MEMBERS, True, "b0") == ["b2", "b3"]
    for name in ("b2", "b3"):
        receiver.receive(name, link=IMPAIRED)
    assert receiver.notes.readers(MEMBERS, True, "b0") == MEMBERS
    receiver.clock.advance(3.1)
    assert receiver.notes.readers(MEMBERS, False, "b0") == MEMBERS
