"""A change of a cell in the store comes into force on a box that follows the table."""

import msgspec
from twisted.internet import reactor
from twisted.internet.task import Clock
from twisted.trial.unittest import TestCase

from gladedrum.errors import KVUnavailableError
from gladedrum.platform import Revision, StoreClient
from gladedrum.standins._http import listen, port_of
from gladedrum.standins.store import StoreService
from gladedrum.table import Accepted, Cell, Table, TableFollower, TableInForce, TableStore, follow
from gladedrum.table.edits import Edit, Head, usable_rows
from gladedrum.table.store import HEAD_KEY
from gladedrum.utils import WebClient, sleep, start


class TableFollowerTest(TestCase):
    """Runs against the stand-in of the store."""

    timeout = 20

    async def setUp(self):
        self.service = StoreService()
        self.listening = await listen(self.service.app, 0)
        self.web = WebClient(reactor)
        self.kv = StoreClient(f"127.0.0.1:{port_of(self.listening)}", self.web)

    async def tearDown(self):
        self.service.stop()
        self.service.abort_watches()
        await self.web.close()
        await self.listening.stopListening()

    async def test_a_changed_policy_comes_into_force_without_a_restart(self):
        in_force = TableInForce(reactor)
        running = start(TableFollower(reactor, self.kv, in_force).run())
        running.addErrback(lambda _failure: None)
        while not in_force.known:
            await sleep(reactor, 0.01)
        assert in_force.table.effective("org", "r1").name("policy") == "fair_slack"
        cell = Cell("class:r1", "policy", "least_loaded")
        result = await TableStore(self.kv).edit([cell], 0, "somebody", "a trial")
        assert isinstance(result, Accepted)
        while in_force.table.revision < result.revision:
            await sleep(reactor, 0.01)
        assert in_force.table.effective("org", "r1").name("policy") == "least_loaded"
        assert in_force.table.effective("org", "r2").name("policy") == "fair_slack"
        running.cancel()

    # Guards against a table of another writer that ends the task which follows it.
    async def test_a_malformed_stored_table_leaves_the_last_one_in_force(self):
        self.patch(follow, "RETRY_DELAY_S", 0.01)
        in_force = TableInForce(reactor)
        cell = Cell("class:r1", "policy", "least_loaded")
        store = TableStore(self.kv)
        await store.edit([cell], 0, "somebody", "a trial")
        sound = self.service._entries[HEAD_KEY].value
        stored = await store.read(in_force.table)
        in_force.adopt(stored.table, stored.head.edits)
        running = start(TableFollower(reactor, self.kv, in_force).run())
        for value in (b"{no table", b"", b"[]", b"\xff", b"[" * 100_000, b'{"base": -1}'):
            self.service.write(HEAD_KEY, value)
            with self.assertRaises(KVUnavailableError):
                await store.read(Table())
            await sleep(reactor, 0.05)
            assert not running.called
            assert in_force.table.effective("org", "r1").name("policy") == "least_loaded"
        self.service.write(HEAD_KEY, sound)
        assert isinstance(
            await store.edit([cell], stored.table.revision, "somebody", "again"), Accepted
        )
        while in_force.table.revision == stored.table.revision:
            await sleep(reactor, 0.01)
        running.addErrback(lambda _failure: None)
        running.cancel()

    # Guards against cells of another writer that make each request's lookup raise.
    async def test_cells_that_no_edit_could_set_are_skipped(self):
        odd = [
            Cell("default", "weight", "heavy"),
            Cell("default", "odd", 1),
            Cell("odd", "weight", 1),
        ]
        sound = Cell("default", "weight", 2.0)
        head = Head(0, [Edit("e", 1, [*odd, sound], "somebody", "", 0.0)])
        self.service.write(HEAD_KEY, msgspec.json.encode(head))
        table = (await TableStore(self.kv).read(Table())).table
        assert table.rows == {"default": {"weight": 2.0}}
        assert usable_rows({"odd": {"weight": 1.0}, "default": {"weight": "x"}}) == {}


class FailingStore:
    """Fails each read of the table and notes when."""

    era = 1

    def __init__(self, clock):
        self.clock = clock
        self.reads_s = []

    async def list(self, _prefix):
        self.reads_s.append(self.clock.seconds())
        raise KVUnavailableError("status 503")


def test_a_revision_that_peers_have_is_read_again_soon_after_a_failure():
    """An accepted edit must not wait for a pause meant for a store that is away."""
    clock = Clock()
    store = FailingStore(clock)
    follower = TableFollower(clock, store, TableInForce(clock), lambda: True)
    running = start(follower.run())
    follower.note_peer_revision(Revision(1, 4))
    assert store.reads_s == [0.0]
    clock.pump([0.05] * 20)
    follower.note_peer_revision(Revision(1, 4))
    assert len(store.reads_s) == 3
    assert store.reads_s[1] < 0.3
    # A higher revision ends a pause, however long it has become.
    clock.pump([0.05] * 200)
    assert len(store.reads_s) <= 3 + 6
    follower.note_peer_revision(Revision(1, 5))
    reads = len(store.reads_s)
    clock.pump([0.05] * 6)
    assert len(store.reads_s) > reads
    running.addErrback(lambda _failure: None)
    running.cancel()


def test_a_box_without_news_from_peers_reads_a_failing_store_rarely():
    clock = Clock()
    store = FailingStore(clock)
    running = start(TableFollower(clock, store, TableInForce(clock), lambda: False).run())
    clock.pump([0.1] * 100)
    assert len(store.reads_s) <= 6
    running.addErrback(lambda _failure: None)
    running.cancel()
