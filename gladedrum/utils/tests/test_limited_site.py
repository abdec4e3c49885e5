"""Bodies without end, sent to the operators' pages and to the OpenAI interface.

Guards against a body that fills the disk or the memory, or whose chunks of one byte take the
processor, as it is read for as long as bytes come.
"""

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from gladedrum.forward.ports import MAX_PAGE_BODY_BYTES, BoxPorts
from gladedrum.forward.tests.support import chunk
from gladedrum.utils.limited_site import BODY_COPIES, LimitedSite
from gladedrum.utils.request_memory import RequestMemory

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_BODY_BYTES, BODY_TIME_S = 100_000, 5.0


class Page(Resource):
    isLeaf = True

    def __init__(self):
        super().__init__()
        self.bodies = []

    def render(self, request):
        self.bodies.append(request.content.read())
        return b"ok"


class Site:
    """A connection to a site with one page."""

    def __init__(self, make_site=None):
        self.clock, self.page = task.Clock(), Page()
        site = (make_site or self._make_site)(self.clock, self.page)
        self.transport = StringTransport()
        self.conn = site.buildProtocol(None)
        self.conn.callLater = self.clock.callLater
        self.conn.makeConnection(self.transport)
        self.conn.dataReceived(HEAD)
        self.sent_bytes = 0

    def _make_site(self, clock, page):
        return LimitedSite(clock, page, MAX_BODY_BYTES, BODY_TIME_S)

    def send(self, part, max_bytes):
        """Send a part until the site closes; fail if it takes more than `max_bytes`."""
        while not self.transport.disconnecting:
            assert self.sent_bytes <= max_bytes
            self.conn.dataReceived(part)
            self.sent_bytes += len(part)

    @property
    def answer(self):
        return self.transport.value()


def make_pages(clock, page):
    """Return the site of the operators' pages of a box."""
    ports = BoxPorts(clock, None, None, None, lambda: page, None, None, lambda: True, print)
    settings = {"ready": ("", 0), "page_memory_bytes": 100 * MAX_PAGE_BODY_BYTES}
    ports._settings = lambda: type("Settings", (), {**settings, "page_connections": 10})
    ports._make_pages = lambda: page
    ports._listen = lambda _address, site: site
    return ports._listen_pages()


@pytest.mark.parametrize("make_site", [None, make_pages], ids=["site", "operators' pages"])
@pytest.mark.parametrize(
    ("part", "max_bytes", "status"),
    [(chunk(b"x" * 65_536), 20_000_000, b"413"), (chunk(b"x") * 1000, 100_000, b"400")],
    ids=["large chunks", "chunks of one byte"],
)
def test_a_body_is_not_read_without_end(make_site, part, max_bytes, status):
    site = Site(make_site)
    site.send(part, max_bytes)
    assert site.answer.startswith(b"HTTP/1.1 " + status)
    assert site.answer.count(b"HTTP/1.1") == 1
    assert not site.page.bodies


def test_a_body_that_comes_slowly_is_refused():
    site = Site()
    for _ in range(20):
        site.conn.dataReceived(chunk(b"x" * 100))
        site.clock.advance(0.3)
    assert site.answer.startswith(b"HTTP/1.1 408")


def test_a_rejected_body_is_not_handled_although_its_end_follows():
    site = Site()
    site.conn.dataReceived(chunk(b"x") * 5000 + chunk(b""))
    assert site.answer.count(b"HTTP/1.1") == 1
    assert not site.page.bodies


@pytest.mark.parametrize("size", [1, 40])
def test_a_body_in_small_chunks_is_handled(size):
    site = Site()
    site.conn.dataReceived(chunk(b"x" * size) * 2000 + chunk(b""))
    assert site.page.bodies == [b"x" * size * 2000]


# Guards against bodies of many callers that outgrow the box, though each is within its limit.
def test_bodies_of_all_callers_together_are_limited():
    memory = RequestMemory(4 * BODY_COPIES * 50_000)

    def make_site(clock, page):
        return LimitedSite(clock, page, MAX_BODY_BYTES, BODY_TIME_S, memory)

    sites = [Site(make_site) for _ in range(8)]
    for site in sites:
        site.conn.dataReceived(chunk(b"x" * 50_000))
    answers = [site.answer for site in sites]
    assert [bool(answer) for answer in answers] == [False] * 3 + [True] * 5
    assert answers[-1].startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1" in answers[-1] and b"not-run" in answers[-1]
    for site in sites[:3]:
        site.conn.dataReceived(chunk(b""))
        assert site.page.bodies == [b"x" * 50_000]
    assert memory.used == 0


# Guards against a connection that counts as busy for ever after its first request.
def test_connection_is_busy_while_its_request_is_handled():
    seen = []

    class Watching(Page):
        def render(self, request):
            seen.append(request.channel.transport.is_busy)
            return super().render(request)

    site = Site(lambda clock, _page: LimitedSite(clock, Watching(), MAX_BODY_BYTES, BODY_TIME_S))
    site.conn.dataReceived(chunk(b"x") + chunk(b""))
    assert seen == [True]
    assert not site.transport.is_busy
