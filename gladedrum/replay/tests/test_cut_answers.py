"""Answers of a box that an orderly close cuts at each byte, as the replay records them.

Guards against a cut stream that counts as completed, and a replay that never ends as a refusal is
cut within its text.
"""

import json

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from gladedrum.replay.caller import Caller
from gladedrum.utils import WebClient, start
from gladedrum.utils.tests.cut_server import FRAMINGS, CutServer, framed

TIMEOUT_S = 5.0
PIECE = b'data: {"choices": [{"text": "a"}]}\n\n'
OUTCOME = b'data: {"choices": [], "gladedrum": {"outcome": "completed"}}\n\n'
REFUSAL = json.dumps({"error": {"message": "no target"}}).encode()


class CutReplayTest(TestCase):
    timeout = 60

    def setUp(self):
        self.server = CutServer()
        self.web = WebClient(reactor)

    async def tearDown(self):
        await self.web.close()
        await self.server.stop()

    async def record(self, text):
        """Return the record of a call whose answer is closed after some text."""
        self.server.text = text
        caller = Caller(self.server.url, self.web, reactor)
        call = start(caller.complete("m", "prompt", 2, {}, TIMEOUT_S))
        return await call.addTimeout(TIMEOUT_S, reactor)

    async def test_a_cut_stream_is_not_recorded_as_completed(self):
        for framing in FRAMINGS:
            answer = framed(framing, PIECE + OUTCOME)
            size = answer.index(OUTCOME) + len(OUTCOME)
            for end in range(size):
                record = await self.record(answer[:end])
                assert (record.outcome, bool(record.reason)) == ("unknown", True), (framing, end)
            record = await self.record(answer)
            assert (record.outcome, record.text, record.reason) == ("completed", "a", "")

    async def test_a_cut_refusal_is_recorded_by_its_header(self):
        for framing in FRAMINGS:
            answer = framed(framing, REFUSAL, 503)
            answer = answer.replace(b"\r\n", b"\r\ngladedrum-outcome: not-run\r\n", 1)
            start_of_body = answer.index(b"\r\n\r\n") + 4
            for end in range(start_of_body, len(answer)):
                record = await self.record(answer[:end])
                assert record.outcome == "not-run", (framing, end)
            assert (await self.record(answer)).reason == "no target"
