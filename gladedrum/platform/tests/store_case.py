"""Base class of tests that run against the stand-in of the store."""

from twisted.internet import defer, reactor
from twisted.trial.unittest import TestCase

from gladedrum.platform import StoreClient
from gladedrum.standins._http import listen, port_of
from gladedrum.standins.store import StoreService
from gladedrum.utils import WebClient

__all__ = ["StoreCase"]


class StoreCase(TestCase):
    """Starts a stand-in for each test; tasks in `running` are cancelled when the test ends."""

    timeout = 40

    async def setUp(self):
        self.service = StoreService()
        self.listening = await listen(self.service.app, 0)
        self.web = WebClient(reactor)
        self.running: list[defer.Deferred] = []

    async def tearDown(self):
        for task in self.running:
            task.addErrback(lambda _failure: None)
            task.cancel()
        self.service.stop()
        await self.web.close()
        await self.listening.stopListening()

    def store(self) -> StoreClient:
        """Return a new client of the stand-in."""
        return StoreClient(f"127.0.0.1:{port_of(self.listening)}", self.web)
