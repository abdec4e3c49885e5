"""The store's client distinguishes refused, conflicting and unknown writes."""

from twisted.internet import defer, protocol, reactor
from twisted.trial.unittest import TestCase

from gladedrum.errors import KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import ABSENT, HistoryGoneError, Lease, Revision, StoreClient
from gladedrum.platform import store as store_module
from gladedrum.standins._http import listen, port_of
from gladedrum.standins.store import PAGE_ITEMS, StoreService
from gladedrum.utils import WebClient, sleep, start

START = Revision(1, 1)
"""The first revision of a new stand-in."""


class _EmptyStoreConnection(protocol.Protocol):
    """A connection to an empty store; it can stop answering without being closed."""

    def dataReceived(self, data):
        if self not in self.factory.silent:
            for _ in range(data.count(b"\r\n\r\n")):
                self.transport.write(b"HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}")

    def connectionMade(self):
        self.factory.opened.append(self)


class SilentConnectionsTest(TestCase):
    """Open connections stop answering without a reset, while new ones work."""

    timeout = 20

    async def setUp(self):
        self.factory = protocol.Factory.forProtocol(_EmptyStoreConnection)
        self.factory.opened, self.factory.silent = [], []
        self.listening = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.web = WebClient(reactor)
        self.kv = StoreClient(f"127.0.0.1:{port_of(self.listening)}", self.web)

    async def tearDown(self):
        await self.web.close()
        for conn in self.factory.opened:
            conn.transport.abortConnection()
        await self.listening.stopListening()

    async def test_one_timeout_closes_all_idle_connections(self):
        await defer.gatherResults([start(self.kv.get(key)) for key in "abc"])
        assert len(self.factory.opened) == 3
        self.factory.silent = list(self.factory.opened)
        self.patch(store_module, "CALL_TIMEOUT_S", 0.3)
        await self.assertFailure(start(self.kv.get("a")), KVUnavailableError)
        self.patch(store_module, "CALL_TIMEOUT_S", 15.0)
        assert await self.kv.get("a") is None
        assert len(self.factory.opened) == 4

    async def test_timeout_leaves_other_calls_in_progress_alone(self):
        await defer.gatherResults([start(self.kv.get(key)) for key in "ab"])
        self.factory.silent = list(self.factory.opened)
        self.patch(store_module, "CALL_TIMEOUT_S", 15.0)
        waiting = start(self.kv.get("a"))
        self.patch(store_module, "CALL_TIMEOUT_S", 0.3)
        await self.assertFailure(start(self.kv.get("b")), KVUnavailableError)
        assert not waiting.called
        for conn in self.factory.silent:
            if conn.transport.connected:
                conn.transport.write(b"HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}")
        assert await waiting is None


class StoreClientTest(TestCase):
    """Tests of the client against a stand-in, started for each test."""

    timeout = 20

    async def setUp(self):
        self.service = StoreService()
        self.listening = await listen(self.service.app, 0)
        self.web = WebClient(reactor)
        self.kv = StoreClient(f"127.0.0.1:{port_of(self.listening)}", self.web)
        # Long enough for a busy machine; tests of timeouts set their own value.
        self.patch(store_module, "CALL_TIMEOUT_S", 15.0)

    async def tearDown(self):
        self.service.stop()
        await self.web.close()
        await self.listening.stopListening()

    async def test_swap_requires_the_expected_revision(self):
        revision = await self.kv.swap("a", b"1", ABSENT)
        assert (await self.kv.get("a")).value == b"1"
        await self.assertFailure(start(self.kv.swap("a", b"2", ABSENT)), KVConflictError)
        assert await self.kv.swap("a", b"2", revision) > revision
        assert list(await self.kv.get_prefix("a")) == ["a"]

    async def test_write_without_an_answer_is_unknown_and_may_have_taken_effect(self):
        self.service.switches.lose_answers = 1
        await self.assertFailure(start(self.kv.swap("a", b"1", ABSENT)), KVUnknownError)
        assert (await self.kv.get("a")).value == b"1"

    async def test_refused_call_has_no_effect(self):
        self.service.switches.outage = True
        await self.assertFailure(start(self.kv.get("a")), KVUnavailableError)
        await self.assertFailure(start(self.kv.swap("a", b"1", ABSENT)), KVUnavailableError)
        self.service.switches.outage = False
        assert await self.kv.get("a") is None

    async def test_timeout_makes_reads_unavailable_and_writes_unknown(self):
        self.patch(store_module, "CALL_TIMEOUT_S", 0.3)
        self.service.switches.silent = True
        await self.assertFailure(start(self.kv.get("a")), KVUnavailableError)
        await self.assertFailure(start(self.kv.swap("a", b"1", ABSENT)), KVUnknownError)

    async def test_rate_limited_write_has_no_effect(self):
        self.service.switches.writes_per_s = 0.0
        await self.assertFailure(start(self.kv.swap("a", b"1", ABSENT)), KVUnavailableError)
        assert await self.kv.get("a") is None

    async def test_keys_are_removed_with_their_lease(self):
        lease = await self.kv.grant_lease(1)
        await self.kv.swap("a", b"1", ABSENT, lease)
        await self.kv.keep_lease(lease)
        await self.kv.end_lease(lease)
        assert await self.kv.get("a") is None
        await self.assertFailure(start(self.kv.keep_lease(lease)), KVConflictError)
        await self.assertFailure(start(self.kv.swap("a", b"1", ABSENT, lease)), KVConflictError)

    async def test_transaction_is_atomic(self):
        revision = await self.kv.swap("a", b"1", ABSENT)
        wrong = {"a": revision, "b": revision}
        failed = start(self.kv.transact(wrong, {"c": b"1"}, ["a"]))
        await self.assertFailure(failed, KVConflictError)
        assert list(await self.kv.get_prefix("")) == ["a"]
        await self.kv.transact({"a": revision, "b": ABSENT}, {"c": b"1"}, ["a"])
        assert list(await self.kv.get_prefix("")) == ["c"]

    async def test_watch_reports_changes_in_order_and_continues_from_there(self):
        await self.kv.get("a")
        answer = await self.kv.watch("table/", START, 0.01)
        assert answer.changes == ()
        waiting = start(self.kv.watch("table/", answer.revision, 5.0))
        revision = await self.kv.swap("table/a", b"1", ABSENT)
        answer = await waiting
        assert [(c.key, c.value) for c in answer.changes] == [("table/a", b"1")]
        await self.kv.swap("other", b"1", ABSENT)
        await self.kv.swap("table/b", b"2", ABSENT)
        await self.kv.delete("table/a", revision)
        answer = await self.kv.watch("table/", answer.revision, 5.0)
        assert [(c.key, c.value) for c in answer.changes] == [("table/b", b"2"), ("table/a", None)]

    async def test_watch_reports_a_lost_connection_and_missing_history(self):
        await self.kv.get("a")
        waiting = start(self.kv.watch("table/", START, 5.0))
        while not self.service._watches:
            await sleep(reactor, 0.01)
        self.service.switches.outage = True
        self.service.abort_watches()
        await self.assertFailure(waiting, KVUnavailableError)
        self.service.switches.outage = False
        self.service.switches.forget_before = 10
        await self.assertFailure(start(self.kv.watch("table/", START, 5.0)), HistoryGoneError)

    async def test_long_list_is_read_in_pages(self):
        for number in range(PAGE_ITEMS + 3):
            self.service.write(f"many/{number:04d}", b"x")
        listing = await self.kv.list("many/")
        assert len(listing.items) == PAGE_ITEMS + 3
        assert len({item.key for item in listing.items}) == PAGE_ITEMS + 3

    async def test_revisions_and_leases_of_an_earlier_era_are_rejected(self):
        restores = []
        self.kv.on_restored.append(lambda before, era: restores.append((before, era)))
        revision = await self.kv.swap("a", b"1", ABSENT)
        self.service.save_snapshot()
        lease = await self.kv.grant_lease(5)
        self.service.restore_snapshot(None)
        assert (await self.kv.get("a")).revision > revision
        assert restores == [(1, 2)]
        again = await self.kv.grant_lease(5)
        assert again.number == lease.number
        for stale in (
            self.kv.swap("a", b"2", revision),
            self.kv.swap("b", b"2", ABSENT, lease),
            self.kv.keep_lease(lease),
            self.kv.end_lease(lease),
        ):
            await self.assertFailure(start(stale), KVConflictError)
        await self.assertFailure(start(self.kv.watch("a", revision, 0.1)), HistoryGoneError)
        await self.kv.keep_lease(again)

    async def test_refusal_names_the_era_too(self):
        await self.kv.get("a")
        self.service.restore_snapshot(None)
        self.service.switches.reads_per_s = 0.0
        await self.assertFailure(start(self.kv.get("a")), KVUnavailableError)
        assert self.kv.era == 2

    async def test_late_answer_of_an_earlier_era_is_ignored(self):
        await self.kv.get("a")
        self.service.switches.delay_s = 0.3
        waiting = start(self.kv.get("a"))
        await sleep(reactor, 0.1)
        self.kv.era = 5
        await self.assertFailure(waiting, KVUnavailableError)
        assert self.kv.era == 5
        writing = start(self.kv.keep_lease(Lease(5, 1)))
        await self.assertFailure(writing, KVConflictError, KVUnknownError)
