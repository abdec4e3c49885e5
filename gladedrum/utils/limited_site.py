"""A web site whose request bodies are limited in size and time, and kept in memory only."""

import io
import json
from http import HTTPStatus

from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure
from twisted.web.server import Request, Site

from .pacing import is_too_fine

__all__ = ["LimitedSite"]

_IDLE_TIMEOUT_S = 60
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

    def gotLength(self, length: int | None) -> None:
        site: LimitedSite = self.channel.site
        self.content = _BoundedBody(site.max_body_bytes)
        self._timer = site.reactor.callLater(site.body_time_s, self._on_body_timeout)

    def handleContentChunk(self, data: bytes) -> None:
        if self._is_rejected:
            return
        super().handleContentChunk(data)
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
        if self.content.too_large:
            limit_bytes = self.content.limit_bytes
            message = f"body: is larger than the {limit_bytes} bytes that are taken"
            self.setResponseCode(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            self.setHeader(b"content-type", b"application/json")
            self.setHeader(b"gladedrum-outcome", b"failed")
            self.write(_error_body(message))
            self.finish()
            return
        super().process()

    def connectionLost(self, reason: Failure) -> None:
        self._stop_timer()
        super().connectionLost(reason)

    def _on_body_timeout(self) -> None:
        self._timer = None
        self._reject_and_close(HTTPStatus.REQUEST_TIMEOUT, "body: did not arrive in time")

    def _reject_and_close(self, status: HTTPStatus, message: str) -> None:
        self._is_rejected = True
        self._stop_timer()
        body = _error_body(message)
        head = (
            f"HTTP/1.1 {int(status)} {status.phrase}\r\n"
            "content-type: application/json\r\ngladedrum-outcome: failed\r\n"
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
    """

    noisy = False

    def __init__(self, reactor, resource, max_body_bytes: int, body_time_s: float):
        super().__init__(resource, requestFactory=_LimitedRequest, timeout=_IDLE_TIMEOUT_S)
        self.reactor = reactor
        self.max_body_bytes = max_body_bytes
        self.body_time_s = body_time_s


def _error_body(message: str) -> bytes:
    error = {"message": message, "type": "invalid_request_error", "param": "body", "code": None}
    return json.dumps({"error": error}).encode()
