"""The client tells refused, conflicting and unknown writes apart, against the stand-in."""

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from gladedrum.config import Settings
from gladedrum.errors import KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import KV_TIMEOUT, KV_URL, KVClient
from gladedrum.standins._http import listen, port_of
from gladedrum.standins.kv import KVService
from gladedrum.utils import WebClient, sleep, start


class KVClientTest(TestCase):
    """Each test has a stand-in of its own."""

    timeout = 20

    async def setUp(self):
        self.service = KVService()
        self.listening = await listen(self.service.app, 0)
        self.web = WebClient(reactor)
        url = f"http://127.0.0.1:{port_of(self.listening)}"
        cfg = Settings({}).replace({KV_URL: url, KV_TIMEOUT: 1.0})
        self.kv = KVClient(cfg, self.web, reactor)

    async def tearDown(self):
        self.service.stop()
        await self.web.close()
        await self.listening.stopListening()

    async def test_a_swap_needs_the_expected_revision(self):
        revision = await self.kv.swap("a", b"1", 0)
        assert (await self.kv.get("a")).value == b"1"
        await self.assertFailure(start(self.kv.swap("a", b"2", 0)), KVConflictError)
        assert await self.kv.swap("a", b"2", revision) > revision
        assert list(await self.kv.get_prefix("a")) == ["a"]

    async def test_a_lost_answer_is_unknown_and_may_have_taken_effect(self):
        self.service.switches.lose_answers = 1
        await self.assertFailure(start(self.kv.swap("a", b"1", 0)), KVUnknownError)
        assert (await self.kv.get("a")).value == b"1"

    async def test_an_outage_makes_reads_unavailable_and_writes_unknown(self):
        self.service.switches.outage = True
        await self.assertFailure(start(self.kv.get("a")), KVUnavailableError)
        await self.assertFailure(start(self.kv.swap("a", b"1", 0)), KVUnknownError)

    async def test_a_call_beyond_the_rate_is_surely_not_taken(self):
        self.service.switches.writes_per_s = 0.0
        await self.assertFailure(start(self.kv.swap("a", b"1", 0)), KVUnavailableError)
        assert await self.kv.get("a") is None

    async def test_keys_end_with_their_lease(self):
        lease = await self.kv.grant_lease(1)
        await self.kv.swap("a", b"1", 0, lease.lease_id)
        lease = await self.kv.renew_lease(lease)
        await self.kv.end_lease(lease)
        assert await self.kv.get("a") is None
        await self.assertFailure(start(self.kv.renew_lease(lease)), KVConflictError)

    async def test_a_watch_reports_changes_in_order_and_ends_in_an_outage(self):
        changes = []
        ended = await self.kv.watch("table/", 1, changes.append)
        await self.kv.swap("table/a", b"1", 0)
        await self.kv.swap("other", b"1", 0)
        await self.kv.swap("table/b", b"2", 0)
        while len(changes) < 2:
            await sleep(reactor, 0.01)
        assert [(c.key, c.value) for c in changes] == [("table/a", b"1"), ("table/b", b"2")]
        self.service.switches.outage = True
        for watch in list(self.service._watches):
            watch.request.transport.abortConnection()
        await ended
