"""Answers of the platform that an orderly close cuts at each byte are no answers.

Guards against a listing without its last rows, changes that a watch leaves out, and a write or a
lease that counts as done or as undone by a part of an answer.
"""

import json

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from gladedrum.config import Settings
from gladedrum.errors import GladedrumError, KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import DirectoryClient, DirectoryUnavailableError, StoreClient
from gladedrum.platform.directory import DIRECTORY_URL
from gladedrum.platform.store import Lease, Revision
from gladedrum.utils import WebClient
from gladedrum.utils.tests.cut_server import FRAMINGS, CutServer, framed

ROWS = [{"key": f"p/{name}", "value": "eA==", "revision": 7} for name in "ab"]
LISTING = json.dumps({"items": ROWS, "at": 7}).encode()
PAGE = json.dumps({"items": ROWS, "more": True, "at": 7}).encode()
CHANGES = json.dumps({"events": ROWS, "at": 12}).encode()
LEASE = Lease(0, 3)


class CutPlatformAnswersTest(TestCase):
    timeout = 60

    def setUp(self):
        self.server = CutServer()
        self.web = WebClient(reactor)
        self.store = StoreClient(f"127.0.0.1:{self.server.port}", self.web)

    async def tearDown(self):
        await self.web.close()
        await self.server.stop()

    async def check(self, do, body, error, status=200, whole_error=None):
        """Check that a call fails for each cut of its answer; return its results for the whole."""
        results = []
        for framing in FRAMINGS:
            answer = framed(framing, body, status)
            for end in range(answer.index(body) + len(body)):
                self.server.text = answer[:end]
                try:
                    result = await do()
                except GladedrumError as exc:
                    assert type(exc) is error, (framing, end, exc)
                else:
                    raise AssertionError(f"{framing}: {result} of {end} bytes")
            self.server.text = answer
            if whole_error is None:
                results.append(await do())
            else:
                with self.assertRaises(whole_error):
                    await do()
        return results

    async def test_cut_listings_are_not_read(self):
        listings = await self.check(lambda: self.store.list("p/"), LISTING, KVUnavailableError)
        assert {len(listing.items) for listing in listings} == {2}

    async def test_a_listing_whose_second_page_is_cut_is_not_read(self):
        for framing in FRAMINGS:
            for end in range(0, len(LISTING), 5):
                pages = [framed(framing, PAGE), framed(framing, LISTING)]
                pages[1] = pages[1][: pages[1].index(LISTING) + end]
                self.server.answer = lambda conn, pages=pages: self.write(conn, pages.pop(0))
                with self.assertRaises(KVUnavailableError):
                    await self.store.list("p/")
                assert not pages

    def write(self, conn, text):
        conn.transport.write(text)
        conn.transport.loseConnection()

    async def test_a_cut_item_is_not_read(self):
        row = json.dumps(ROWS[0]).encode()
        await self.check(lambda: self.store.get("p/a"), row, KVUnavailableError)

    async def test_cut_changes_are_not_taken(self):
        answers = await self.check(
            lambda: self.store.watch("p/", Revision(0, 3), 0.0), CHANGES, KVUnavailableError
        )
        assert {(len(answer.changes), answer.revision.number) for answer in answers} == {(2, 12)}

    async def test_a_transaction_whose_answer_is_cut_may_have_run(self):
        def write():
            return self.store.transact({}, {"p/a": b"x"})

        revisions = await self.check(write, b'{"revision": 1234}', KVUnknownError)
        assert {revision.number for revision in revisions} == {1234}
        for status in (404, 412):
            await self.check(write, b'{"error": "x"}', KVUnknownError, status, KVConflictError)
        await self.check(write, b'{"error": "x"}', KVUnknownError, 503, KVUnavailableError)

    async def test_a_lease_whose_answer_is_cut_is_neither_held_nor_ended(self):
        granted = await self.check(
            lambda: self.store.grant_lease(1.0), b'{"lease": 1234}', KVUnknownError
        )
        assert {lease.number for lease in granted} == {1234}
        for do in (self.store.keep_lease, self.store.end_lease):
            await self.check(lambda do=do: do(LEASE), b"{}", KVUnknownError)
            gone = b'{"error": "gone"}'
            await self.check(lambda do=do: do(LEASE), gone, KVUnknownError, 404, KVConflictError)

    async def test_a_cut_list_of_targets_is_not_read(self):
        directory = DirectoryClient(
            Settings({(DIRECTORY_URL.section, DIRECTORY_URL.key): self.server.url}), self.web
        )
        boxes, targets = b'{"boxes": []}', b'{"targets": [{"name": "e"}]}'
        for framing in FRAMINGS:
            for body, before in ((boxes, []), (targets, [framed(framing, boxes)])):
                answer = framed(framing, body)
                for end in range(answer.index(body) + len(body)):
                    pages = [*before, answer[:end]]
                    self.server.answer = lambda conn, pages=pages: self.write(conn, pages.pop(0))
                    with self.assertRaises(DirectoryUnavailableError):
                        await directory.read()
