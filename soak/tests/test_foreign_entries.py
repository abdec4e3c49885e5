"""Entries of another writer in the store, while all boxes are restarted (real processes)."""

import json
import socket

import pytest

from .deployment import running

TARGET = {
    "service": "plain", "address": "10.9.0.7:8080", "zone": "hall-1", "version": "v1", "slots": 8,
    "state": "ready", "coldLeftMs": 0, "seq": 1,
}  # fmt: skip
BOX = {"host": "127.0.0.1", "port": 9, "capacity": 1.0, "data_hall": "hall-1"}

REQUESTS = 12


def odd_target(**fields) -> tuple[str, bytes]:
    return "servers/odd", json.dumps({**TARGET, **fields}).encode()


def odd_box(**fields) -> tuple[str, bytes]:
    return "gladedrum/boxes/x.1", json.dumps({**BOX, **fields}).encode()


ENTRIES = {
    "target-address-is-a-word": odd_target(address="odd"),
    "target-port-of-5000-digits": odd_target(address="10.9.0.7:" + "9" * 5000),
    "box-port-out-of-range": odd_box(port=70_000),
    "box-host-is-a-word": odd_box(host="odd"),
    "box-entry-is-no-object": ("gladedrum/boxes/x.1", b"[]"),
    "box-entry-is-nested-too-deeply": ("gladedrum/boxes/x.1", b"[" * 100_000),
    "condemned-request-is-nested-too-deeply": ("gladedrum/condemned/" + "ab" * 8, b"[" * 100_000),
}


# Guards against a restart of all boxes after which no request is served while an entry of another
# writer stands in the store.
@pytest.mark.parametrize("case", ENTRIES)
def test_foreign_entry_does_not_stop_service_after_a_restart(case, tmp_path):
    with running(tmp_path) as deployment:
        deployment.start()
        deployment.write(*ENTRIES[case])
        deployment.kill_boxes()
        deployment.start_boxes()
        answers = [box.ask().status for box in deployment.boxes for _ in range(REQUESTS)]
        assert answers == [200] * len(answers)
        for box in deployment.boxes:
            assert not box.logged("request task failed")
            assert not box.logged("child failed")


# Guards against a stray datagram that decodes as a message of a box without a name.
def test_stray_datagrams_end_no_task(tmp_path):
    with running(tmp_path) as deployment, socket.socket(type=socket.SOCK_DGRAM) as sock:
        deployment.start()
        for box in deployment.boxes:
            sock.sendto(b"\0", box.peers_address)
        answers = [box.ask().status for box in deployment.boxes for _ in range(REQUESTS)]
        assert answers == [200] * len(answers)
        for box in deployment.boxes:
            assert not box.logged("child failed")
