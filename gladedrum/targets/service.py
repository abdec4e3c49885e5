"""HTTP client for plain services, whose calls are forwarded unchanged."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import TargetAnswerCutError, TargetBrokenError, TargetUnreachableError
from ..utils import LostAnswerError, NotSentError, UnmarkedEndError, WebClient, is_final_status
from .content_end import ContentEnd, content_end

__all__ = ["EndShownBy", "ServiceClient", "ServiceReply"]

_FORWARDED_HEADERS = ("content-type", "cache-control", "etag", "last-modified", "location")


class EndShownBy(enum.StrEnum):
    """What shows the end of a response."""

    FRAMING = "framing"
    CONTENT = "content"
    SECOND_RUN = "second run"
    NOTHING = "nothing"


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
    end : EndShownBy
        What shows that the body is whole: a length, chunks or the status; the body itself; or
        another run of the call with the same response. If nothing does, an orderly close of its
        connection has ended it, which may have cut it.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    end: EndShownBy = EndShownBy.FRAMING

    @property
    def is_shown_whole(self) -> bool:
        """Whether anything shows that the body is whole."""
        return self.end is not EndShownBy.NOTHING


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
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        may_repeat: bool = False,
    ) -> ServiceReply:
        """Make a call and return its response.

        A response whose end nothing shows is returned as such. If the call may run only once,
        nothing can be found out about its end but that the service has died: it is then lost. All
        other cuts of a content that is neither JSON nor events look whole; the caller gets them up
        to an orderly close, and no outcome, as a sound service may send all its answers so.

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
        kept = {
            name: ", ".join(response.headers.getRawHeaders(name))
            for name in _FORWARDED_HEADERS
            if response.headers.hasHeader(name)
        }
        reply = ServiceReply(response.code, kept, content)
        if not is_marked:
            reply = reply._replace(end=_unmarked_end(url, reply))
        if not (reply.is_shown_whole or may_repeat):
            await self._require_life(url, len(content), end_s)
        return reply

    async def _require_life(self, url: str, size: int, end_s: float) -> None:
        """Raise `TargetBrokenError` if a service accepts no connection after its response."""
        if not await self._web.accepts_connections(url, end_s - self._clock.seconds()):
            text = f"after {size} bytes of an answer without a marked end"
            raise TargetBrokenError(f"{url}: the service accepts no connection {text}")


def _unmarked_end(url: str, reply: ServiceReply) -> EndShownBy:
    """Return what shows the end of a response that ended with its connection.

    Raises
    ------
    TargetAnswerCutError
        If the response is a success that is certainly cut. The text of a failure may be of another
        type than it is said to be.
    """
    content_type = reply.headers.get("content-type", "")
    end = content_end(content_type, reply.body) if reply.body else ContentEnd.CUT
    is_success = 200 <= reply.status <= 299
    match end:
        case ContentEnd.SHOWN:
            return EndShownBy.CONTENT
        case ContentEnd.CUT if is_success:
            text = f"{len(reply.body)} bytes of an answer without a marked end show that it is cut"
            raise TargetAnswerCutError(f"{url}: {text}")
        case _:
            return EndShownBy.NOTHING
