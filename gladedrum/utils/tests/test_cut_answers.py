"""Answers that are cut at each byte by an orderly close, as the kernel of a dying process does.

Guards against the end of a connection that is taken for the end of the answer that it carried.
"""

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from gladedrum.utils import LostAnswerError, WebClient

from .cut_server import FRAMINGS, CutServer, framed

TIMEOUT_S = 5.0


class CutAnswersTest(TestCase):
    timeout = 60

    def setUp(self):
        self.server = CutServer()
        self.web = WebClient(reactor)

    async def tearDown(self):
        await self.web.close()
        await self.server.stop()

    async def read(self, text):
        """Return the body of an answer that is closed after some text."""
        self.server.text = text
        response = await self.web.send("GET", self.server.url, None, None, TIMEOUT_S)
        return await self.web.read(response, TIMEOUT_S)

    async def call(self, text):
        """Return the decoded body of such an answer."""
        self.server.text = text
        return (await self.web.call_json("GET", self.server.url, None, TIMEOUT_S)).body

    async def taken(self, do, answer, size):
        """Return what is taken for whole of an answer that is cut at each byte but the last."""
        taken = []
        for end in range(size):
            try:
                taken.append(await do(answer[:end]))
            except LostAnswerError:
                continue
        return taken

    async def test_no_cut_body_is_whole(self):
        for framing in FRAMINGS:
            answer = framed(framing, b"twelve bytes")
            assert await self.taken(self.read, answer, len(answer)) == [], framing

    async def test_a_body_with_a_marked_end_is_whole(self):
        for framing in ("length", "length, HTTP/1.0", "chunks"):
            assert await self.read(framed(framing, b"twelve bytes")) == b"twelve bytes"

    # Guards against an answer that is lost although the text itself shows its end.
    async def test_json_shows_its_own_end_and_no_cut_json_is_taken(self):
        for body in (b'{"a": [1, 22], "b": {}}', b"[12, {}]", b'"text"', b"false"):
            for framing in FRAMINGS:
                answer = framed(framing, body)
                assert await self.taken(self.call, answer, len(answer)) == [], (framing, body)
                assert await self.call(answer) is not None

    # Guards against a number whose last digits are cut: it decodes, and is another number.
    async def test_a_number_shows_no_end(self):
        for framing in FRAMINGS:
            for body in (b"1234", b"12.5", b"1234 "):
                answer = framed(framing, body)
                assert await self.taken(self.call, answer, len(answer)) == [], (framing, body)
        assert await self.call(framed("length", b"1234")) == 1234
