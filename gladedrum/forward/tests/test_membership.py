"""Boxes know each other from the store, and from hearing of each other."""

import random

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from gladedrum.forward import membership
from gladedrum.forward.membership import HEARD_S, BoxRegistry
from gladedrum.platform import StoreClient
from gladedrum.standins._http import listen, port_of
from gladedrum.standins.store import StoreService
from gladedrum.utils import WebClient, sleep, start


class BoxRegistryTest(TestCase):
    """Against the stand-in of the store."""

    timeout = 20

    async def setUp(self):
        self.service = StoreService()
        self.listening = await listen(self.service.app, 0)
        self.web = WebClient(reactor)
        self.running = []

    async def tearDown(self):
        for task in self.running:
            task.addErrback(lambda _failure: None)
            task.cancel()
        self.service.stop()
        await self.web.close()
        await self.listening.stopListening()

    def box(self, name, port):
        store = StoreClient(f"127.0.0.1:{port_of(self.listening)}", self.web)
        registry = BoxRegistry(reactor, store, name, ("127.0.0.1", port), random.Random(1))
        self.running.append(start(registry.run()))
        return registry

    async def test_a_later_box_lists_the_earlier_one_and_greets_it(self):
        first = self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        greeted = []
        second = self.box("b.1", 2)
        second.on_listed = lambda: greeted.append(dict(second.peers))
        while not greeted:
            await sleep(reactor, 0.01)
        assert greeted == [{"a.1": ("127.0.0.1", 1)}]
        first.note_heard("b.1", ("127.0.0.1", 2))
        assert first.peers == {"b.1": ("127.0.0.1", 2)}

    async def test_an_entry_that_lapsed_in_a_cut_is_made_anew(self):
        self.patch(membership, "RENEW_S", 0.05)
        registry = self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        self.service._end_lease(registry._lease)
        assert not self.service._entries
        while not self.service._entries:
            await sleep(reactor, 0.01)

    async def test_a_box_that_is_only_heard_is_forgotten_when_it_falls_silent(self):
        registry = self.box("a.1", 1)
        registry.note_heard("b.1", ("127.0.0.1", 2))
        assert registry.count == 2
        registry._heard["b.1"] = registry._heard["b.1"]._replace(at_s=reactor.seconds() - HEARD_S)
        assert registry.count == 1

    async def test_an_earlier_start_of_a_box_counts_no_more(self):
        """Found on a standard day: 8 boxes that had restarted counted as 16."""
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

    async def test_a_box_that_leaves_removes_its_entry(self):
        registry = self.box("a.1", 1)
        while not self.service._entries:
            await sleep(reactor, 0.01)
        await registry.leave()
        assert not self.service._entries
