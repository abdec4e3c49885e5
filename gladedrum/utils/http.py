"""HTTP client for calls to targets and the platform.

Its errors tell whether the server may have received the request: `NotSentError` means that no
connection could be opened, `LostAnswerError` that the request may have taken effect.
"""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import treq
from treq.client import HTTPClient
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import Agent, HTTPConnectionPool, RequestNotSent
from twisted.web.iweb import IResponse

from ..errors import GladedrumError
from .timing import with_timeout

__all__ = ["JsonReply", "LostAnswerError", "NotSentError", "WebClient"]

_CONNECT_TIMEOUT_S = 2.0
# How long a pooled connection may be idle: less than the idle timeout of common servers, so that no
# request is sent on a connection that the server is closing.
_IDLE_CONNECTION_S = 15.0
_CONNECTIONS_PER_HOST = 64


class NotSentError(GladedrumError):
    """No connection could be opened, so nothing was sent."""


class LostAnswerError(GladedrumError):
    """At least a part of the request was sent, but no complete answer came."""


class JsonReply(NamedTuple):
    """Status, decoded body and headers of an answer; names of headers are in lower case."""

    status: int
    body: Any
    headers: Mapping[bytes, bytes] = MappingProxyType({})


class WebClient:
    """An HTTP client with a connection pool.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Used for connections and timeouts.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
        agent = Agent(reactor, connectTimeout=_CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = HTTPClient(agent)

    def close(self) -> defer.Deferred[None]:
        """Close all pooled connections."""
        return self._pool.closeCachedConnections()

    async def send(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> IResponse:
        """Send a request and return the response before its body is read.

        Parameters
        ----------
        method, url : str
            HTTP method and URL.
        body : object, optional
            Encoded as JSON; ``bytes`` are sent unchanged.
        headers : mapping, optional
            Additional headers.
        timeout_s : float
            Timeout until the head of the response is received.

        Raises
        ------
        NotSentError
            If no connection could be opened.
        LostAnswerError
            If the connection broke or the timeout expired after that.
        """
        all_headers = {"content-type": "application/json", **(headers or {})}
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        try:
            call = self._client.request(
                method, url, data=data, headers=all_headers, unbuffered=True
            )
            return await with_timeout(self._reactor, timeout_s, call)
        except (error.ConnectError, error.DNSLookupError, RequestNotSent) as exc:
            raise NotSentError(f"{url}: {exc}") from exc
        except defer.CancelledError:
            raise
        except TimeoutError as exc:
            raise LostAnswerError(f"{url}: {exc}") from exc
        except Exception as exc:
            # Twisted wraps a broken connection in several classes without a common base.
            raise LostAnswerError(f"{url}: {exc!r}") from exc

    async def call_json(
        self,
        method: str,
        url: str,
        body: object = None,
        timeout_s: float = 5.0,
        headers: Mapping[str, str] | None = None,
    ) -> JsonReply:
        """Send a request and return its decoded answer; raises the errors of `send`."""
        response = await self.send(method, url, body, headers, timeout_s)
        raw = await self.read(response, timeout_s)
        try:
            reply_headers = {
                name.lower(): values[-1] for name, values in response.headers.getAllRawHeaders()
            }
            return JsonReply(response.code, json.loads(raw), reply_headers)
        except ValueError as exc:
            raise LostAnswerError(f"{url}: {exc!r}") from exc

    async def read(self, response: IResponse, timeout_s: float) -> bytes:
        """Return the body of a response; raises `LostAnswerError` if it is incomplete."""
        chunks: list[bytes] = []
        try:
            await with_timeout(self._reactor, timeout_s, treq.collect(response, chunks.append))
        except defer.CancelledError:
            raise
        except Exception as exc:
            # Twisted wraps a broken connection in several classes without a common base.
            received = sum(map(len, chunks))
            raise LostAnswerError(f"{exc!r} after {received} bytes of the body") from exc
        return b"".join(chunks)
