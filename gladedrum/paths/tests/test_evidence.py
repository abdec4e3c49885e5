"""What connections over a box's own link show of the link, and of the targets behind it."""

import pytest

from gladedrum.fleet import TargetEntry
from gladedrum.paths.evidence import SILENCE_S, Group, LinkEvidence


def entry(number, service="pool", hall="hall-1"):
    return TargetEntry(f"{service}{number}", service, "10.0.0.1", number, hall, 8, False)


def address(number):
    return "10.0.0.1", number


@pytest.fixture
def entries():
    """Three engines in each of two data halls (1 to 6), and a plain target in each (11, 12)."""
    rows = [entry(n, hall=f"hall-{1 + (n > 3)}") for n in range(1, 7)]
    rows += [entry(11, "plain", "hall-1"), entry(12, "plain", "hall-2")]
    return {row.name: row for row in rows}


@pytest.fixture
def evidence(entries):
    return LinkEvidence(lambda: entries)


# Guards against taking a link for impaired because of one target that has ended.
def test_one_target_that_fails_is_not_impaired(evidence):
    evidence.note_failed(address(1), 1.0)
    assert not evidence.is_impaired(address(1))
    assert not evidence.impaired_groups


# Guards against going on over the own link to a target that only a peer reaches.
def test_a_target_that_only_a_peer_reaches_is_impaired(evidence):
    evidence.note_failed(address(1), 1.0)
    evidence.note_carried(address(1))
    assert evidence.is_impaired(address(1))
    assert not evidence.is_impaired(address(2))
    assert evidence.impaired_targets == [address(1)]


def test_two_failed_targets_make_their_service_impaired(evidence):
    evidence.note_failed(address(1), 1.0)
    evidence.note_failed(address(4), 1.1)
    assert evidence.impaired_groups == {Group("pool"): 1.1}
    assert all(evidence.is_impaired(address(number)) for number in range(1, 7))
    assert not evidence.is_impaired(address(11))


# Guards against giving up the link to a service of which some targets are reached.
def test_a_cut_data_hall_leaves_the_other_one_alone(evidence):
    evidence.note_failed(address(1), 1.0)
    evidence.note_connected(address(5), 1.05)
    evidence.note_failed(address(2), 1.1)
    assert evidence.impaired_groups == {Group("pool", "hall-1"): 1.1}
    assert evidence.is_impaired(address(3))
    assert not evidence.is_impaired(address(4))


def test_an_opened_connection_ends_the_impairment_of_all_that_was_impaired_with_it(evidence):
    for number in (1, 4):
        evidence.note_failed(address(number), 1.0)
        evidence.note_carried(address(number))
    evidence.note_connected(address(6), 2.0)
    assert not any(evidence.is_impaired(address(number)) for number in range(1, 7))


# Guards against trusting the link to one target because another one is reached.
def test_a_target_impaired_by_itself_stays_so(evidence):
    evidence.note_failed(address(1), 1.0)
    evidence.note_carried(address(1))
    evidence.note_connected(address(2), 1.5)
    assert evidence.is_impaired(address(1))


# Guards against a link that loses packets and is trusted again by each connection that opens.
def test_a_lossy_link_is_impaired_until_connections_open_in_a_row(evidence):
    for at_s, (number, late) in enumerate(
        [(1, True), (2, False), (4, True), (5, False), (1, True)]
    ):
        (evidence.note_failed if late else evidence.note_connected)(address(number), 0.1 * at_s)
    assert evidence.is_lossy(address(3))
    assert evidence.is_impaired(address(3))
    for at_s in (0.6, 0.7):
        evidence.note_connected(address(2), at_s)
        assert evidence.is_impaired(address(3))
    evidence.note_connected(address(5), 0.8)
    assert not evidence.is_impaired(address(3))
    assert not evidence.is_lossy(address(3))


# Guards against taking the end of one target, which is polled again and again, for a lossy link.
def test_a_target_that_has_ended_makes_no_link_lossy(evidence):
    for at_s in range(8):
        evidence.note_failed(address(1), 0.2 * at_s)
        evidence.note_connected(address(2), 0.2 * at_s + 0.1)
    assert not evidence.is_lossy(address(3))
    assert not evidence.is_impaired(address(3))


# Guards against closing connections that live on while new ones are refused.
def test_open_connections_are_silent_only_if_nothing_is_heard_from_the_group(evidence):
    evidence.note_heard(address(5), 0.9)
    for number in (1, 4):
        evidence.note_failed(address(number), 1.0)
    assert not evidence.is_silent(address(2), 1.0)
    assert evidence.is_silent(address(2), 1.0 + SILENCE_S)
    evidence.note_heard(address(5), 1.2)
    assert not evidence.is_silent(address(2), 5.0)


# Guards against a link that is proven by another one: that of another service, or data hall.
def test_a_link_is_proven_by_another_target_of_the_service_and_one_of_the_data_hall(evidence):
    evidence.note_heard(address(5), 2.0)
    assert not evidence.is_proven(address(1), 1.0, by_connection=False)
    evidence.note_heard(address(11), 2.0)
    assert evidence.is_proven(address(1), 1.0, by_connection=False)
    assert not evidence.is_proven(address(1), 2.0, by_connection=False)
    assert not evidence.is_proven(address(1), 1.0, by_connection=True)
    evidence.note_connected(address(2), 2.0)
    assert evidence.is_proven(address(1), 1.0, by_connection=True)


def test_nothing_proves_the_link_to_a_target_that_is_alone():
    evidence = LinkEvidence(lambda: {"pool1": entry(1)})
    assert evidence.is_proven(address(1), 1.0, by_connection=False) is None


# Guards against a memory of targets that grows, and of addresses that are used anew.
def test_targets_that_are_not_listed_any_more_are_forgotten(entries):
    listed = dict(entries)
    evidence = LinkEvidence(lambda: listed)
    for number in (1, 4):
        evidence.note_failed(address(number), 1.0)
    listed = {name: row for name, row in entries.items() if row.port not in (1, 4)}
    assert not evidence.is_impaired(address(1))
    listed = {"plain12": entries["plain12"]}
    assert not evidence.impaired_groups
    assert not evidence.probe_candidates()
