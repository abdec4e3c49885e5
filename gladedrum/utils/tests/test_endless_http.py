"""Answers without end, over real sockets since the client library parses them.

Guards against a server that takes the memory or the processor of the box, as its answer is read for
as long as bytes come, also after its caller has given it up.
"""

from twisted.internet import defer, protocol, reactor
from twisted.trial.unittest import TestCase

from gladedrum.utils import AnswerTimeoutError, LostAnswerError, WebClient, start

LOOPBACK = "127.0.0.1"
HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
BIG = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
TINY = b"1\r\nx\r\n" * 10_000
MAX_SENT_BYTES = 100_000_000
"""Where a server of these tests ends by itself."""

SOCKET_BUFFERS = 8_000_000
"""An upper bound of what two sockets hold."""


class EndlessServer(protocol.Protocol):
    """Answers with `factory.head` and then `factory.part` again and again, until it is closed."""

    _pause = None

    def connectionMade(self):
        self.factory.last = self
        self.sent_bytes = 0
        self.closed = defer.Deferred()

    def dataReceived(self, _data):
        if not self.sent_bytes:
            self._write(self.factory.head)
            self.transport.registerProducer(self, False)

    def resumeProducing(self):
        if self.sent_bytes > MAX_SENT_BYTES:
            self.stopProducing()
        elif self.factory.pause_s:
            self._pause = reactor.callLater(self.factory.pause_s, self._write, self.factory.part)
        else:
            self._write(self.factory.part)

    def stopProducing(self):
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def _write(self, data):
        self.sent_bytes += len(data)
        self.transport.write(data)

    def connectionLost(self, reason=None):
        if self._pause is not None and self._pause.active():
            self._pause.cancel()
        self.closed.callback(None)


class EndlessAnswersTest(TestCase):
    timeout = 30

    def setUp(self):
        self.factory = protocol.Factory.forProtocol(EndlessServer)
        self.factory.pause_s = 0.0
        self.listening = reactor.listenTCP(0, self.factory, interface=LOOPBACK)
        self.url = f"http://{LOOPBACK}:{self.listening.getHost().port}/x"
        self.web = WebClient(reactor, max_answer_bytes=2_000_000)

    async def tearDown(self):
        await self.web.close()
        await self.listening.stopListening()

    async def check_closed(self, head, part, max_bytes, timeout_s=5.0):
        """Check that a call fails and its connection is closed after about so many bytes."""
        self.factory.head, self.factory.part = head, part
        call = start(self.web.call_json("GET", self.url, None, timeout_s))
        exc = await self.assertFailure(call, LostAnswerError)
        # Else it has read until its time was up.
        assert isinstance(exc, AnswerTimeoutError) == (timeout_s < 1.0)
        server = self.factory.last
        await server.closed.addTimeout(2.0, reactor)
        assert server.sent_bytes <= max_bytes + SOCKET_BUFFERS

    async def test_a_body_is_not_read_without_end(self):
        self.web = WebClient(reactor)
        await self.check_closed(HEAD, BIG, 33_554_432)

    async def test_a_body_is_not_read_on_after_its_time(self):
        self.factory.pause_s = 0.01
        await self.check_closed(HEAD, BIG, 0, timeout_s=0.3)

    async def test_header_lines_are_not_read_without_end(self):
        await self.check_closed(b"HTTP/1.1 200 X\r\n", b"A: b\r\n" * 10_000, 2_000_000)

    async def test_interim_answers_are_not_read_without_end(self):
        await self.check_closed(b"", b"HTTP/1.1 102 X\r\n\r\n" * 3000, 2_000_000)

    async def test_chunks_of_one_byte_are_not_read_without_end(self):
        await self.check_closed(HEAD, TINY, 200_000)

    async def test_answers_on_one_connection_may_exceed_the_limit_together(self):
        body = b"[%s1]" % (b" " * 900_000)
        self.factory.head, self.factory.part = (
            b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (len(body)),
            body,
        )
        self.factory.protocol = SmallServer
        for _ in range(4):
            reply = await self.web.call_json("GET", self.url)
            assert reply.body == [1]
        assert self.factory.last.requests == 4


class SmallServer(protocol.Protocol):
    """Answers each request with `factory.head` and `factory.part`."""

    requests = 0

    def connectionMade(self):
        self.factory.last = self

    def dataReceived(self, _data):
        self.requests += 1
        self.transport.write(self.factory.head + self.factory.part)
