"""HTTP client for plain services, whose calls are forwarded unchanged."""

from collections.abc import Mapping
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import TargetBrokenError, TargetUnreachableError
from ..utils import LostAnswerError, NotSentError, WebClient, is_final_status

__all__ = ["ServiceClient", "ServiceReply"]

_FORWARDED_HEADERS = ("content-type", "cache-control", "etag", "last-modified", "location")


class ServiceReply(NamedTuple):
    """The complete response of a service."""

    status: int
    headers: dict[str, str]
    body: bytes


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
        """Make a call and return its complete response.

        Raises
        ------
        TargetUnreachableError
            If no byte of the call reached the service.
        TargetBrokenError
            If the service may have run the call, but the response is missing, incomplete or not in
            the protocol.
        """
        end_s = self._clock.seconds() + timeout_s
        try:
            response = await self._web.send(method, url, body, headers, timeout_s)
            left_s = end_s - self._clock.seconds()
            content = await self._web.read(response, left_s)
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
        kept = {
            name: ", ".join(response.headers.getRawHeaders(name))
            for name in _FORWARDED_HEADERS
            if response.headers.hasHeader(name)
        }
        return ServiceReply(response.code, kept, content)
