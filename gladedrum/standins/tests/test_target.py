"""A target whose answers are held lives and goes on, and tells which streams were closed."""

import io
import json
import sys
import time

from twisted.internet import defer, protocol, reactor
from twisted.trial.unittest import TestCase

from gladedrum.standins._http import LOOPBACK, listen, port_of, sleep
from gladedrum.standins.target import TargetService, event_of
from gladedrum.utils import WebClient

HELD_S, LONG_HELD_S = 0.3, 3600.0
"""How long answers are held, in seconds: until the test sees them, and for longer than it lasts."""

CHECK_S = 0.01
"""How often it is looked for a note, in seconds."""

REQUEST = b"GET /stream/x?events=2&pause_ms=1 HTTP/1.1\r\nHost: a\r\n\r\n"


class Collector(protocol.Protocol):
    """Keeps what comes, and when the first event came."""

    def __init__(self):
        self.got = b""
        self.first_event_s = None
        self.whole = defer.Deferred()

    def dataReceived(self, data):
        self.got += data
        if self.first_event_s is None and b"data:" in self.got:
            self.first_event_s = time.monotonic()
        if self.got.endswith(b"\r\n0\r\n\r\n"):
            self.whole.callback(None)


class HeldAnswersTest(TestCase):
    """Against a target in this process."""

    timeout = 20

    async def setUp(self):
        self.stdout = io.StringIO()
        self.patch(sys, "stdout", self.stdout)
        self.web = WebClient(reactor)
        service = TargetService("pool", "hall-a", "", 8, 1000, None, 1.0, 1.0)
        self.listening = await listen(service.app, 0)
        self.port = port_of(self.listening)

    async def tearDown(self):
        await self.web.close()
        await self.listening.stopListening()

    async def call(self, method, path, body=None):
        return await self.web.call_json(method, f"http://{LOOPBACK}:{self.port}{path}", body)

    async def hold(self, for_s):
        held_until_s = time.monotonic() + for_s
        await self.call("POST", "/switches", {"held_until_s": held_until_s})
        return held_until_s

    async def ask(self):
        creator = protocol.ClientCreator(reactor, Collector)
        conn = await creator.connectTCP(LOOPBACK, self.port)
        conn.transport.write(REQUEST)
        await self.noted("ran")
        return conn

    async def noted(self, what):
        while what not in self.notes():
            await sleep(CHECK_S)

    def notes(self):
        return [json.loads(line)["what"] for line in self.stdout.getvalue().splitlines()]

    async def test_it_goes_on_when_the_time_has_come(self):
        held_until_s = await self.hold(HELD_S)
        conn = await self.ask()
        await conn.whole
        assert conn.first_event_s >= held_until_s
        assert event_of("", 1) in conn.got
        assert event_of("", 2) in conn.got
        assert "broken off" not in self.notes()
        conn.transport.abortConnection()

    async def test_it_answers_reports_meanwhile_and_tells_which_streams_were_closed(self):
        await self.hold(LONG_HELD_S)
        conn = await self.ask()
        assert (await self.call("GET", "/api/report")).body["running"] == 1
        conn.transport.abortConnection()
        await self.noted("broken off")
        assert conn.first_event_s is None
