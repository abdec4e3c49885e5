"""HTTP client for plain services, whose calls are forwarded unchanged."""

from collections.abc import Mapping
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import TargetBrokenError, TargetUnreachableError
from ..utils import LostAnswerError, NotSentError, UnmarkedEndError, WebClient, is_final_status

__all__ = ["ServiceClient", "ServiceReply"]

_FORWARDED_HEADERS = ("content-type", "cache-control", "etag", "last-modified", "location")


class ServiceReply(NamedTuple):
    """The response of a service.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict
        The headers that are passed on.
    body : bytes
        The body.
    is_marked : bool
        Whether a length, chunks or the status mark the end of the body. If not, it ended with the
        connection of a service that lives on, which may still have cut it.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_marked: bool = True


class ServiceClient:
    """Client for plain services.

    Parameters
    ----------
    web : WebClient
        HTTP client.
    clock : IReactorTime
        Clock for the timeout of the whole call.
    """

    def __init__(self, web: WebClient, clock: IReactorTime):
        self._web = web
        self._clock = clock

    async def call(
        self, method: str, url: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> ServiceReply:
        """Make a call and return its response; one without a marked end only if its service lives.

        Raises
        ------
        TargetUnreachableError
            If no byte of the call reached the service.
        TargetBrokenError
            If the service may have run the call, but the response is missing, incomplete or not in
            the protocol.
        """
        end_s = self._clock.seconds() + timeout_s
        is_marked = True
        try:
            response = await self._web.send(method, url, body, headers, timeout_s)
            left_s = end_s - self._clock.seconds()
            content = await self._web.read(response, left_s)
        except UnmarkedEndError as exc:
            content, is_marked = exc.body, False
        except NotSentError as exc:
            raise TargetUnreachableError(str(exc)) from exc
        except LostAnswerError as exc:
            raise TargetBrokenError(str(exc)) from exc
        except defer.CancelledError:
            raise
        except Exception as exc:
            raise TargetBrokenError(f"{url}: {exc!r}") from exc
        if not is_final_status(response.code):
            raise TargetBrokenError(f"{url}: {response.code} is no status of an answer")
        if not is_marked:
            await self._require_life(url, response.code, content, end_s)
        kept = {
            name: ", ".join(response.headers.getRawHeaders(name))
            for name in _FORWARDED_HEADERS
            if response.headers.hasHeader(name)
        }
        return ServiceReply(response.code, kept, content, is_marked)

    async def _require_life(self, url: str, status: int, content: bytes, end_s: float) -> None:
        """Fail unless a service lives on after a response that ended with its connection.

        Raises
        ------
        TargetBrokenError
            If it does not, or the response is a success with nothing behind its head.
        """
        if 200 <= status <= 299 and not content:
            raise TargetBrokenError(f"{url}: nothing followed the head of the answer")
        if not await self._web.accepts_connections(url, end_s - self._clock.seconds()):
            text = f"after {len(content)} bytes of an answer without a marked end"
            raise TargetBrokenError(f"{url}: the service accepts no connection {text}")
