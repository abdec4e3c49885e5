"""HTTP client for calls to targets and the platform.

Its errors tell whether the server may have received the request: `NotSentError` means that no
connection could be opened, `LostAnswerError` that the request may have taken effect.
"""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlsplit

from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ..errors import GladedrumError
from .pacing import is_too_fine
from .timing import with_timeout

if TYPE_CHECKING:
    from treq.client import HTTPClient
    from twisted.web.client import URI, HTTPConnectionPool
    from twisted.web.iweb import IResponse

    from .limited_conn import LimitedEndpoint

__all__ = ["AnswerTimeoutError", "JsonReply", "LostAnswerError", "NotSentError", "WebClient"]
__all__ += ["UnmarkedEndError", "is_final_status"]

MAX_BODY_BYTES = 33_554_432
"""The longest body of an answer that is read into memory."""

_CONNECT_TIMEOUT_S = 2.0
# How long a pooled connection may be idle: less than the idle timeout of common servers, so that no
# request is sent on a connection that the server is closing.
_IDLE_CONNECTION_S = 15.0
_CONNECTIONS_PER_HOST = 64
_DEFAULT_PORTS = {"http": 80, "https": 443}


def is_final_status(status: int) -> bool:
    """Whether a number is the status of a final answer in RFC 9110; HTTP clients take others too.

    Examples
    --------
    >>> [is_final_status(status) for status in (0, 99, 200, 599, 600)]
    [False, False, True, True, False]
    """
    return 200 <= status <= 599


class NotSentError(GladedrumError):
    """No connection could be opened, so nothing was sent."""


class LostAnswerError(GladedrumError):
    """At least a part of the request was sent, but no complete answer came."""


class AnswerTimeoutError(LostAnswerError):
    """The answer did not begin or go on in time."""


class UnmarkedEndError(LostAnswerError):
    """An answer without a length or chunks ended with an orderly close of its connection.

    The kernel closes the connections of a process that dies in that way too, so only the body
    itself can show that it is whole.

    Parameters
    ----------
    body : bytes
        What has come.
    """

    def __init__(self, body: bytes):
        self.body = body
        super().__init__(f"nothing shows that the {len(body)} bytes of the body are all")


class JsonReply(NamedTuple):
    """Status, decoded body and headers of an answer; names of headers are in lower case."""

    status: int
    body: Any
    headers: Mapping[bytes, bytes] = MappingProxyType({})


class WebClient:
    """An HTTP client with a connection pool.

    `treq` is imported by the first call: a starting box whose peers know the configuration serves
    before it calls the store.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Used for connections and timeouts.
    max_answer_bytes : float
        The most bytes of one answer, head and body; its connection is closed if more come. Infinite
        for clients that read streams, whose bodies are bounded by their readers.
    """

    def __init__(self, reactor: IReactorTime, max_answer_bytes: float = float("inf")):
        self._reactor = reactor
        self._max_answer_bytes = max_answer_bytes
        self._is_reset = False
        self._pool: HTTPConnectionPool | None = None
        self._client: HTTPClient | None = None

    def close(self) -> defer.Deferred[None]:
        """Close all pooled connections."""
        return defer.succeed(None) if self._pool is None else self._pool.closeCachedConnections()

    def _make_client(self) -> "HTTPClient":
        from treq.client import HTTPClient
        from twisted.web.client import Agent, HTTPConnectionPool

        self._pool = HTTPConnectionPool(self._reactor, persistent=True)
        self._pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
        return HTTPClient(Agent.usingEndpointFactory(self._reactor, self, self._pool))

    def endpointForURI(self, uri: "URI") -> "LimitedEndpoint":
        """Return the endpoint for a URI; called by Twisted's `Agent`."""
        from twisted.internet.endpoints import HostnameEndpoint

        from .limited_conn import LimitedEndpoint

        host = uri.host.decode("ascii")
        endpoint = HostnameEndpoint(self._reactor, host, uri.port, timeout=_CONNECT_TIMEOUT_S)
        return LimitedEndpoint(endpoint, self._max_answer_bytes, self._note_reset)

    def _note_reset(self, on: bool) -> None:
        self._is_reset = on

    async def send(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> "IResponse":
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
            If the connection broke after that.
        AnswerTimeoutError
            If the timeout expired.
        """
        all_headers = {"content-type": "application/json", **(headers or {})}
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        from twisted.web.client import RequestNotSent

        if self._client is None:
            self._client = self._make_client()
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
            raise AnswerTimeoutError(f"{url}: {exc}") from exc
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
        max_body_s: float | None = None,
    ) -> JsonReply:
        """Send a request and return its decoded answer; raises the errors of `send`.

        `timeout_s` and `max_body_s` apply to the body as in `read`.
        """
        response = await self.send(method, url, body, headers, timeout_s)
        decoded = await self.read_json(response, timeout_s, max_body_s)
        reply_headers = {
            name.lower(): values[-1] for name, values in response.headers.getAllRawHeaders()
        }
        return JsonReply(response.code, decoded, reply_headers)

    async def read_json(
        self, response: "IResponse", timeout_s: float, max_s: float | None = None
    ) -> Any:
        """Return the decoded body of a response; the parameters are those of `read`.

        Raises
        ------
        AnswerTimeoutError
            If either time is exceeded.
        LostAnswerError
            If the body is incomplete or no JSON. All JSON but a number shows its own end.
        """
        is_marked = True
        try:
            raw = await self.read(response, timeout_s, max_s)
        except UnmarkedEndError as exc:
            raw, is_marked = exc.body, False
        try:
            decoded = json.loads(raw)
            is_number = isinstance(decoded, int | float) and not isinstance(decoded, bool)
            if is_number and not is_marked:
                raise ValueError("nothing shows that a number is whole")
            return decoded
        except (ValueError, RecursionError) as exc:
            raise LostAnswerError(f"no JSON in {len(raw)} bytes of the body: {exc!r}") from exc

    async def read(
        self,
        response: "IResponse",
        timeout_s: float,
        max_s: float | None = None,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> bytes:
        """Return the body of a response; its connection is closed if it is not read to its end.

        Parameters
        ----------
        response : IResponse
            A response whose body has not been read.
        timeout_s : float
            Longest time without a byte, in seconds.
        max_s : float, optional
            Longest time for the whole body, in seconds; `timeout_s` if not given.
        max_bytes : int
            Length of the longest body.

        Raises
        ------
        AnswerTimeoutError
            If either time is exceeded.
        UnmarkedEndError
            If only the orderly close of the connection has ended the body.
        LostAnswerError
            If the body is incomplete for another reason, or too long.
        """
        if response.length == 0:
            return b""
        reader = _BodyReader(max_bytes, lambda: stalled.reset(timeout_s), lambda: self._is_reset)
        body = reader.ended
        stalled = self._reactor.callLater(timeout_s, body.cancel)
        try:
            response.deliverBody(reader)
            limit_s = timeout_s if max_s is None else max_s
            is_marked = await with_timeout(self._reactor, limit_s, body)
        except (TimeoutError, defer.CancelledError) as exc:
            if isinstance(exc, defer.CancelledError) and stalled.active():
                raise
            text = f"the answer did not end in time, {len(reader.body)} bytes of its body received"
            raise AnswerTimeoutError(text) from exc
        except Exception as exc:
            # Twisted wraps a broken connection in several classes without a common base.
            raise LostAnswerError(f"{exc!r} after {len(reader.body)} bytes of the body") from exc
        finally:
            if stalled.active():
                stalled.cancel()
        if not is_marked:
            raise UnmarkedEndError(bytes(reader.body))
        return bytes(reader.body)

    async def accepts_connections(self, url: str, within_s: float) -> bool:
        """Whether the server of a URL accepts a new connection; see `check_server`."""
        from twisted.internet.endpoints import HostnameEndpoint

        from .server_check import check_server

        parts = urlsplit(url)
        port = parts.port or _DEFAULT_PORTS[parts.scheme]
        return await check_server(
            self._reactor, HostnameEndpoint(self._reactor, parts.hostname, port), within_s
        )


class _BodyTooLongError(GladedrumError):
    """A body is longer than what is read of it, or comes in too many parts."""


class _BodyReader(Protocol):
    """Reads a body into memory.

    Parameters
    ----------
    max_bytes : int
        Length of the longest body.
    on_part : callable
        Called after each part.
    is_reset : callable
        Whether the connection that is being lost was reset.

    Attributes
    ----------
    body : bytearray
        What has come.
    ended : Deferred
        Fires at the end of the body with whether a length or chunks marked it, rather than only an
        orderly close of the connection; cancelling it closes the connection.
    """

    def __init__(
        self, max_bytes: int, on_part: Callable[[], None], is_reset: Callable[[], bool]
    ) -> None:
        self.body = bytearray()
        self.ended: defer.Deferred[bool] = defer.Deferred(lambda _ended: self._close())
        self._parts = 0
        self._max_bytes = max_bytes
        self._on_part = on_part
        self._is_reset = is_reset

    def dataReceived(self, data: bytes) -> None:
        """Add a part, unless the body has been given up."""
        if self.ended.called:
            return
        self._parts += 1
        self.body += data
        size = len(self.body)
        if size > self._max_bytes or is_too_fine(self._parts, size):
            self._close()
            self.ended.errback(_BodyTooLongError(f"too long, or in too many parts ({self._parts})"))
        else:
            self._on_part()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the body, or fail if it is cut."""
        from twisted.web.client import ResponseDone
        from twisted.web.http import PotentialDataLoss

        if self.ended.called:
            return
        if reason.check(ResponseDone):
            self.ended.callback(True)
        elif reason.check(PotentialDataLoss) and not self._is_reset():
            self.ended.callback(False)
        else:
            self.ended.errback(reason)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
