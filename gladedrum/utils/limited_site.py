"""A web site whose request bodies are limited in size and time, and kept in memory only."""

import io
import json
from http import HTTPStatus

from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure
from twisted.web.server import Request, Site

from .pacing import is_too_fine
from .request_memory import RequestMemory, RequestShare

__all__ = ["LimitedSite"]

_IDLE_TIMEOUT_S = 60

BODY_COPIES = 3
"""Number of copies of a body that a request may hold: as received, as text, and decoded."""

NO_MEMORY_RETRY_S = 1
"""Retry-After of a request that found no memory, in seconds."""

# A body up to this multiple of the limit is read to its end, so that the caller can finish sending
# and read the error response.
_MAX_DISCARD_FACTOR = 4


class _BoundedBody(io.BytesIO):
    """A buffer that stores data up to a limit and only counts what follows."""

    def __init__(self, limit_bytes: int):
        super().__init__()
        self.limit_bytes = limit_bytes
        self.received_bytes = self.received_parts = 0

    def write(self, data: bytes) -> int:
        self.received_bytes += len(data)
        self.received_parts += 1
        if self.received_bytes <= self.limit_bytes:
            super().write(data)
        return len(data)

    @property
    def too_large(self) -> bool:
        return self.received_bytes > self.limit_bytes

    @property
    def too_fine(self) -> bool:
        return is_too_fine(self.received_parts, self.received_bytes)


class _LimitedRequest(Request):
    """A request that applies the site's limits to its body."""

    _timer: IDelayedCall | None = None
    _is_rejected = False
    _share: RequestShare | None = None

    def gotLength(self, length: int | None) -> None:
        site: LimitedSite = self.channel.site
        self.content = _BoundedBody(site.max_body_bytes)
        self._timer = site.reactor.callLater(site.body_time_s, self._on_body_timeout)
        self._share = site.memory.share(self)
        self._share.begin(site.reactor.seconds())
        # The channel is gone when the request has ended.
        self._conn = self.channel.transport
        self.notifyFinish().addBoth(lambda _result: self._release())

    def handleContentChunk(self, data: bytes) -> None:
        if self._is_rejected:
            return
        super().handleContentChunk(data)
        received = self.content.received_bytes
        size = BODY_COPIES * min(received, self.content.limit_bytes)
        if not self._share.hold(size, received, self.channel.site.reactor.seconds()):
            self.refuse_unfinished()
            return
        if self.content.received_bytes > _MAX_DISCARD_FACTOR * self.content.limit_bytes:
            self._reject_and_close(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is much too large"
            )
        elif self.content.too_fine:
            self._reject_and_close(HTTPStatus.BAD_REQUEST, "body: its chunks are too small")

    def process(self) -> None:
        self._stop_timer()
        if self._is_rejected:
            return
        self._share.is_whole = True
        self._conn.is_busy = True
        if self.content.too_large:
            limit_bytes = self.content.limit_bytes
            message = f"body: is larger than the {limit_bytes} bytes that are taken"
            self.setResponseCode(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            self.setHeader(b"content-type", b"application/json")
            self.setHeader(b"gladedrum-outcome", b"failed")
            body = _error_body(message)
            # Callers of HTTP/1.0 know no chunks, and a close shows no end.
            self.setHeader(b"content-length", b"%d" % len(body))
            self.write(body)
            self.finish()
            return
        super().process()

    def connectionLost(self, reason: Failure) -> None:
        self._stop_timer()
        super().connectionLost(reason)

    def _on_body_timeout(self) -> None:
        self._timer = None
        self._reject_and_close(HTTPStatus.REQUEST_TIMEOUT, "body: did not arrive in time")

    def refuse_unfinished(self) -> None:
        """Refuse the request, as the box has no memory for it."""
        fields = f"gladedrum-outcome: not-run\r\nretry-after: {NO_MEMORY_RETRY_S}\r\n"
        message = "the box has no memory for the request"
        self._reject_and_close(HTTPStatus.SERVICE_UNAVAILABLE, message, fields)

    def _release(self) -> None:
        self._share.release()
        self._conn.is_busy = False

    def _reject_and_close(
        self,
        status: HTTPStatus,
        message: str,
        fields: str = "gladedrum-outcome: failed\r\n",
    ) -> None:
        self._is_rejected = True
        self._stop_timer()
        self._share.release()
        self.content = _BoundedBody(0)
        body = _error_body(message)
        head = (
            f"HTTP/1.1 {int(status)} {status.phrase}\r\n"
            f"content-type: application/json\r\n{fields}"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.transport.loseConnection()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class LimitedSite(Site):
    """A site that limits the size, the parts and the arrival time of request bodies.

    Parameters
    ----------
    reactor : IReactorTime
        Clock for the timers.
    resource : IResource
        Root resource.
    max_body_bytes : int
        The largest body that is taken.
    body_time_s : float
        How long a body may take to arrive, in seconds.
    memory : RequestMemory, optional
        The memory for the bodies of all requests; without it there is no limit.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        resource,
        max_body_bytes: int,
        body_time_s: float,
        memory: RequestMemory | None = None,
    ):
        super().__init__(resource, requestFactory=_LimitedRequest, timeout=_IDLE_TIMEOUT_S)
        self.reactor = reactor
        self.memory = memory or RequestMemory(float("inf"))
        self.max_body_bytes = max_body_bytes
        self.body_time_s = body_time_s


def _error_body(message: str) -> bytes:
    error = {"message": message, "type": "invalid_request_error", "param": "body", "code": None}
    return json.dumps({"error": error}).encode()
