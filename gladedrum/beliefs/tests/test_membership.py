"""Membership from entries in the store and from received datagrams."""

import json
import random

from twisted.internet import reactor

from gladedrum.beliefs import membership
from gladedrum.beliefs.coordinators import SMALL_FLEET
from gladedrum.beliefs.membership import (
    PEER_TIMEOUT_S,
    REGISTERED_BOXES,
    BoxEntry,
    BoxRegistry,
    valid_capacity,
)
from gladedrum.platform import NEVER
from gladedrum.platform.tests.store_case import StoreCase
from gladedrum.utils import sleep, start


def shifted(revision, by):
    return revision._replace(number=revision.number + by)


class RegistryCase(StoreCase):
    """Runs registries against the stand-in for the store."""

    timeout = 20

    def box(self, name, port, capacity=0.0):
        store = self.store()
        address = ("127.0.0.1", port)
        registry = BoxRegistry(reactor, store, name, address, random.Random(1), capacity)
        self.running.append(start(registry.run()))
        return registry


class BoxRegistryTest(RegistryCase):
    """In a small fleet every box registers."""

    async def test_a_later_box_lists_the_earlier_one_and_reports_it(self):
        first = self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        listed_peers = []
        second = self.box("b.1", 2)
        second.on_listed = lambda: listed_peers.append(dict(second.peers))
        while not listed_peers:
            await sleep(reactor, 0.01)
        assert listed_peers == [{"a.1": ("127.0.0.1", 1)}]
        first.note_datagram("b.1", ("127.0.0.1", 2))
        assert first.peers == {"b.1": ("127.0.0.1", 2)}

    async def test_an_expired_entry_is_written_again(self):
        self.patch(membership, "RENEW_INTERVAL_S", 0.05)
        registry = self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        self.service._end_lease(registry._lease.number)
        assert not self.service._entries
        while not self.service._entries:
            await sleep(reactor, 0.01)

    async def test_an_unregistered_box_is_dropped_when_it_falls_silent(self):
        registry = self.box("a.1", 1)
        registry.note_datagram("b.1", ("127.0.0.1", 2))
        assert registry.count == 2
        self.patch(membership, "PEER_CHECK_INTERVAL_S", 0.0)
        address = ("127.0.0.1", 2)
        registry._last_datagrams[address] = registry._last_datagrams[address]._replace(
            at_s=reactor.seconds() - PEER_TIMEOUT_S
        )
        assert registry.count == 1

    async def test_an_earlier_start_of_a_box_is_no_peer(self):
        """Otherwise restarted boxes count twice."""
        self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        self.service.write(membership.BOXES_PREFIX + "b.1", b'{"host": "127.0.0.1", "port": 2}')
        self.service.write(membership.BOXES_PREFIX + "b.2", b'{"host": "127.0.0.1", "port": 2}')
        self.service.write(membership.BOXES_PREFIX + "c.1", b'{"host": "127.0.0.1", "port": 3}')
        third = self.box("c.2", 3)
        while not third.peers:
            await sleep(reactor, 0.01)
        assert set(third.peers) == {"a.1", "b.2"}

    async def test_a_leaving_box_removes_its_entry(self):
        registry = self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        await registry.leave()
        assert not self.service._entries


class LargeFleetTest(RegistryCase):
    """In a large fleet only the boxes with the highest precedence register."""

    def list_boxes(self, count, capacity):
        for index in range(count):
            row = {"host": "127.0.0.1", "port": 100 + index, "capacity": capacity}
            key = f"{membership.BOXES_PREFIX}x{index}.1"
            self.service.write(key, json.dumps(row).encode())

    def keys(self):
        return {key.removeprefix(membership.BOXES_PREFIX) for key in self.service._entries}

    async def until(self, condition):
        while not condition():
            await sleep(reactor, 0.01)

    async def test_a_box_does_not_register_if_enough_others_have_a_higher_precedence(self):
        self.list_boxes(REGISTERED_BOXES, capacity=2.0)
        small = self.box("small.1", 1, capacity=0.5)
        await self.until(lambda: small.revision != NEVER)
        self.box("large.1", 2, capacity=4.0)
        await self.until(lambda: "large.1" in self.keys())
        assert "small.1" not in self.keys()
        assert not small.is_registered
        assert len(small.peers) == REGISTERED_BOXES

    async def test_a_box_registers_when_boxes_of_higher_precedence_leave(self):
        self.patch(membership, "LARGE_FLEET_RENEW_INTERVAL_S", 0.05)
        self.patch(membership, "RENEW_INTERVAL_S", 0.05)
        self.patch(membership, "PEER_LIST_TIMEOUT_S", 0.0)
        self.list_boxes(REGISTERED_BOXES, capacity=2.0)
        small = self.box("small.1", 1, capacity=0.5)
        await self.until(lambda: small.revision != NEVER)
        self.service.remove(f"{membership.BOXES_PREFIX}x0.1")
        await self.until(lambda: "small.1" in self.keys())

    async def test_a_box_unregisters_when_enough_larger_ones_have_registered(self):
        self.patch(membership, "LARGE_FLEET_RENEW_INTERVAL_S", 0.05)
        self.patch(membership, "RENEW_INTERVAL_S", 0.05)
        small = self.box("small.1", 1, capacity=0.5)
        await self.until(lambda: small.is_registered)
        self.list_boxes(REGISTERED_BOXES, capacity=2.0)
        await self.until(lambda: "small.1" not in self.keys())
        assert not small.is_registered

    async def test_an_unregistered_box_receives_the_list_and_does_not_read_it(self):
        self.list_boxes(REGISTERED_BOXES, capacity=2.0)
        small = self.box("small.1", 1, capacity=0.5)
        await self.until(lambda: small.revision != NEVER)
        received = {"y.1": BoxEntry("127.0.0.1", 99, 8.0)}
        small.receive_entries(received, shifted(small.revision, -1))
        assert len(small.entries) == REGISTERED_BOXES
        small.receive_entries(received, shifted(small.revision, 1))
        assert small.entries == received
        assert small.capacity_of("y.1") == 8.0
        self.service.stop()
        await small._refresh()

    async def test_a_truncated_list_does_not_make_a_box_register(self):
        """Otherwise a list of too few entries makes every box register on each refresh."""
        self.list_boxes(3 * REGISTERED_BOXES, capacity=2.0)
        member = self.box("large.1", 2, capacity=4.0)
        await self.until(lambda: member.is_registered and member.entries)
        small = self.box("small.1", 1, capacity=0.5)
        await self.until(lambda: small.revision != NEVER)
        assert small.receive_entries(member.entries_to_send, shifted(small.revision, 1))
        assert len(small.peers) > SMALL_FLEET
        await small._refresh()
        assert not small.is_registered
        assert "small.1" not in self.keys()

    async def test_a_missing_or_implausible_capacity_counts_as_zero(self):
        implausible = (None, True, -1, float("nan"), float("inf"), 1e9, "4", [])
        assert {valid_capacity(received) for received in implausible} == {0.0}
        self.service.write(membership.BOXES_PREFIX + "b.1", b'{"host": "127.0.0.1", "port": 2}')
        first = self.box("a.1", 1)
        await self.until(lambda: first.entries)
        assert first.capacity_of("b.1") == 0.0
        first.note_datagram("c.1", ("127.0.0.1", 3), 2.0)
        assert first.capacity_of("c.1") == 2.0

    async def test_a_later_start_at_an_address_replaces_the_earlier_one(self):
        registry = self.box("a.1", 1)
        replaced = []
        registry.on_replaced = replaced.append
        registry.note_datagram("b.1", ("127.0.0.1", 2))
        registry.note_datagram("b.1", ("127.0.0.1", 2))
        registry.note_datagram("b.2", ("127.0.0.1", 2))
        assert replaced == ["b.1"]
