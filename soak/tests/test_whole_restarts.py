"""Restarts of all boxes beside other faults, after which they serve again (real processes)."""

import json
import signal
import time

import pytest

from .deployment import running, wait_until

BOXES, REQUESTS = 3, 6
AWAY_S = 3.0
"""How long the store is away or silent, in seconds: longer than each timeout of a start."""


def assert_served(boxes):
    answers = [box.ask().status for box in boxes for _ in range(REQUESTS)]
    assert answers == [200] * len(answers)
    assert not any(box.logged("child failed") for box in boxes)


def start_without_store(deployment):
    for box in deployment.boxes:
        box.start()
    time.sleep(AWAY_S)


# Guards against boxes that wait for each other, or for a store that answers later than they start.
@pytest.mark.parametrize("fault", ["silent", "unavailable"])
def test_boxes_serve_once_the_store_answers_that_was_away_at_their_start(fault, tmp_path):
    with running(tmp_path) as deployment:
        deployment.start()
        deployment.kill_boxes()
        if fault == "silent":
            deployment.store.send(signal.SIGSTOP)
            start_without_store(deployment)
            deployment.store.send(signal.SIGCONT)
        else:
            deployment.switch_store(outage=True)
            start_without_store(deployment)
            deployment.switch_store(outage=False)
        for box in deployment.boxes:
            wait_until(f"{box.name} is ready", box.is_ready)
        assert_served(deployment.boxes)


# Guards against a box that waits for seeds and peers of which none is left.
def test_a_box_serves_that_starts_alone(tmp_path):
    with running(tmp_path) as deployment:
        deployment.start()
        deployment.kill_boxes()
        for box in deployment.boxes[-1:]:
            box.start()
            wait_until(f"{box.name} is ready", box.is_ready)
        assert_served(deployment.boxes[-1:])


# Guards against an entry that looks like a box: the others wait for one that never answers.
def test_boxes_serve_beside_the_entry_of_a_box_that_does_not_exist(tmp_path):
    with running(tmp_path) as deployment:
        deployment.start()
        for number in range(BOXES):
            row = {"host": "127.0.0.9", "port": 9 + number, "capacity": 4096.0, "data_hall": ""}
            deployment.write(f"gladedrum/boxes/a{number}.1", json.dumps(row).encode())
        deployment.kill_boxes()
        deployment.start_boxes()
        assert_served(deployment.boxes)
