"""Boxes that start beside a store that was restored from a copy a moment ago.

Guards against a key that was revoked and works again at boxes that start, since the copy lacks the
revocation until the operator has written it again and a starting box has seen no earlier era.
"""

import pytest

from gladedrum.beliefs.configuration import RESTORE_DISTRUST_S
from gladedrum.beliefs.era_record import ERA_KEY, WRITE_SPREAD_S
from gladedrum.beliefs.tests.fleet import VirtualFleet
from gladedrum.forward.admission import Admission
from gladedrum.forward.tests.support import World

BOXES = 3
REWRITE_S = 0.8
"""When the operator and the targets have written again, after the restore."""

CONFIRMED_WITHIN_S = 0.1

READY_AGE_S = 3.0
"""Age of the configuration from which on a box reports itself not ready."""


def stop_all(fleet):
    for box in list(fleet.boxes.values()):
        box.stop()


def start_all(fleet):
    for number in range(BOXES):
        fleet.start(number)


def configurations(fleet):
    return [box.beliefs.configuration for box in fleet.boxes.values()]


def are_confirmed(fleet):
    return [configuration.age_s < 5.0 for configuration in configurations(fleet)]


def fleet_in_use(had_record):
    fleet = VirtualFleet(BOXES)
    if not had_record:
        fleet.store.remove(ERA_KEY)
    fleet.run(1.0)
    return fleet


@pytest.mark.parametrize("had_record", [True, False], ids=["record", "no record"])
@pytest.mark.parametrize("start_s", [-3.0, -0.9, -0.1, 0.05, 0.3, 0.6])
def test_the_version_in_the_copy_is_not_trusted_until_it_was_replaced(start_s, had_record):
    """`start_s`: when the boxes start, from the return of the store."""
    fleet = fleet_in_use(had_record)
    fleet.store.save_snapshot()
    fleet.write_configuration(2)
    fleet.run(5.0)
    stop_all(fleet)
    fleet.store.unavailable = True
    fleet.run(0.2)
    if start_s < 0:
        start_all(fleet)
        fleet.run(-start_s)
    fleet.store.restore_snapshot(REWRITE_S)
    fleet.store.unavailable = False
    if start_s >= 0:
        fleet.run(start_s)
        start_all(fleet)
    for _ in range(200):
        fleet.run(0.02)
        for configuration in configurations(fleet):
            is_old = configuration.in_force is not None and configuration.in_force.version == 1
            assert not is_old or configuration.age_s == float("inf")
    assert [box.version for box in fleet.boxes.values()] == [2] * BOXES
    assert all(are_confirmed(fleet))


# Guards against boxes that serve nobody for a while after the loss of all of them.
def test_boxes_that_all_start_again_beside_the_same_store_trust_it_at_once():
    fleet = fleet_in_use(had_record=True)
    stop_all(fleet)
    fleet.run(0.5)
    start_all(fleet)
    fleet.run(CONFIRMED_WITHIN_S)
    assert all(are_confirmed(fleet))


def test_a_fleet_that_starts_for_the_first_time_records_the_era_it_trusts():
    fleet = VirtualFleet(0)
    fleet.store.remove(ERA_KEY)
    start_all(fleet)
    fleet.run(RESTORE_DISTRUST_S - 0.1)
    assert not any(are_confirmed(fleet))
    fleet.run(0.3)
    assert all(are_confirmed(fleet))
    fleet.run(WRITE_SPREAD_S)
    assert fleet.store.keys(ERA_KEY)
    assert fleet.store.calls["write"] <= BOXES + 2
    stop_all(fleet)
    start_all(fleet)
    fleet.run(CONFIRMED_WITHIN_S)
    assert all(are_confirmed(fleet))


def test_a_box_that_starts_among_others_is_confirmed_by_them():
    fleet = fleet_in_use(had_record=False)
    fleet.run(5.0)
    fleet.store.remove(ERA_KEY)
    box = fleet.start(BOXES)
    fleet.run(CONFIRMED_WITHIN_S)
    for _ in range(150):
        fleet.run(0.02)
        assert box.beliefs.configuration.age_s < READY_AGE_S


# The last one names an era that has not begun: a box that believed it trusted a restored store.
@pytest.mark.parametrize("record", [b"", b"x", b"9" * 40, b"-1", b"9" * 12])
def test_a_malformed_record_is_none(record):
    fleet = fleet_in_use(had_record=False)
    fleet.store.write(ERA_KEY, record)
    stop_all(fleet)
    start_all(fleet)
    fleet.run(RESTORE_DISTRUST_S - 0.1)
    assert not any(are_confirmed(fleet))
    fleet.run(0.3)
    assert all(are_confirmed(fleet))


def test_keys_that_do_not_expire_need_no_confirmed_configuration():
    world = World()
    world.configuration._confirmed_s = float("-inf")
    assert Admission(world.configuration, 5.0, keys_expire=False).keys_are_trusted
    assert not Admission(world.configuration, 5.0, keys_expire=True).keys_are_trusted
