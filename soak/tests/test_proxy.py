"""A harmed link holds back, delays or resets what passes, and is sound again afterwards."""

from twisted.internet import defer, protocol, reactor
from twisted.trial.unittest import TestCase

from gladedrum.utils import sleep
from soak.proxy import LOOPBACK, Delayed, LinkProxy, OneWay, Passing, Resetting, Silenced


class Echo(protocol.Protocol):
    """Sends back what comes."""

    def dataReceived(self, data):
        self.transport.write(data)


class Collector(protocol.Protocol):
    """Keeps what comes."""

    def __init__(self):
        self.got = b""
        self.lost = defer.Deferred()

    def dataReceived(self, data):
        self.got += data

    def connectionLost(self, reason=None):
        self.lost.callback(None)


class LinkProxyTest(TestCase):
    """Against an echo server."""

    timeout = 20

    async def setUp(self):
        factory = protocol.Factory.forProtocol(Echo)
        self.server = reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.link = LinkProxy(self.server.getHost().port)
        creator = protocol.ClientCreator(reactor, Collector)
        self.conn = await creator.connectTCP(LOOPBACK, self.link.port)

    async def tearDown(self):
        self.conn.transport.abortConnection()
        # What a delayed link still holds back.
        await sleep(reactor, 0.05)
        await self.link.close()
        await self.server.stopListening()

    async def until(self, condition):
        while not condition():
            await sleep(reactor, 0.01)

    async def echoed(self, data):
        before = len(self.conn.got)
        self.conn.transport.write(data)
        await self.until(lambda: self.conn.got[before:] == data)

    async def test_what_is_held_back_comes_when_the_link_is_sound_again(self):
        await self.echoed(b"a")
        for mode in (Silenced(), OneWay(to_caller=True), OneWay(to_caller=False)):
            self.link.set_mode(mode)
            before = self.conn.got
            self.conn.transport.write(b"b")
            await sleep(reactor, 0.05)
            assert self.conn.got == before
            self.link.set_mode(Passing())
            await self.until(lambda before=before: self.conn.got == before + b"b")

    async def test_delayed_bytes_come_in_order(self):
        self.link.set_mode(Delayed(0.02))
        await self.echoed(b"one two three")

    async def test_bytes_that_come_after_a_delay_do_not_pass_those_that_were_delayed(self):
        """Found by the soak: a stream's events came in another order."""
        self.link.set_mode(Delayed(0.05))
        self.conn.transport.write(b"one")
        await sleep(reactor, 0.02)
        self.link.set_mode(Passing())
        self.conn.transport.write(b"two")
        await self.until(lambda: len(self.conn.got) == 6)
        assert self.conn.got == b"onetwo"

    async def test_a_reset_ends_open_connections_and_new_ones(self):
        await self.echoed(b"a")
        self.link.set_mode(Resetting())
        await self.conn.lost
        creator = protocol.ClientCreator(reactor, Collector)
        conn = await creator.connectTCP(LOOPBACK, self.link.port)
        await conn.lost
        assert conn.got == b""
