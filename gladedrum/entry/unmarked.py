"""Responses whose end nothing marks but the close of their connection."""

from http import HTTPStatus

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Request

from ..connections.closing import OrderlyClose, set_reset_on_close

__all__ = ["finish_by_close", "finish_when_written", "wait_until_written"]

MAX_WRITE_S = 60.0
"""How long a caller may take to read such a response, in seconds."""


async def finish_by_close(request: Request, clock: IReactorTime, body: bytes) -> None:
    """Send a response and close its connection once everything is handed to the kernel.

    Until then the end of the connection, also by the end of this process, resets it: an orderly
    close would make a part of the response look whole.

    Parameters
    ----------
    request : Request
        The request, with the status and the headers of the response set.
    clock : IReactorTime
        Bounds the time for the caller to read.
    body : bytes
        The body.
    """
    channel = request.channel
    set_reset_on_close(channel.transport, True)
    # `Request.write` would mark the end by chunks of its own.
    request.startedWriting = 1
    request.setHeader(b"connection", b"close")
    channel.persistent = False
    reason = _reason(request.code)
    headers = request.responseHeaders
    channel.writeHeaders(request.clientproto, b"%d" % request.code, reason, headers)
    channel.write(body)
    await wait_until_written(request, clock, finish_when_written(request))


def finish_when_written(request: Request) -> defer.Deferred[None]:
    """Finish a response, and take back that its connection is reset, once all of it is written.

    Returns
    -------
    Deferred
        Fires with None then; never if the connection is lost before.
    """
    written: defer.Deferred[None] = defer.Deferred()

    def finish() -> None:
        request.finish()
        written.callback(None)

    OrderlyClose(request.channel.transport, finish).begin()
    return written


async def wait_until_written(
    request: Request, clock: IReactorTime, written: defer.Deferred[None]
) -> None:
    """Wait until a response is written, or reset its connection after `MAX_WRITE_S`."""
    try:
        await written.addTimeout(MAX_WRITE_S, clock)
    except TimeoutError:
        request.channel.transport.abortConnection()


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown Status"
