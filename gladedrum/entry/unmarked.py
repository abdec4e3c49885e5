"""Responses whose end nothing marks but the close of their connection."""

from http import HTTPStatus

from twisted.internet import defer
from twisted.internet.interfaces import IPullProducer, IReactorTime, ITCPTransport
from twisted.web.server import Request
from zope.interface import implementer

from ..connections.closing import set_reset_on_close

__all__ = ["finish_by_close"]

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
    channel, transport = request.channel, request.channel.transport
    set_reset_on_close(transport, True)
    # `Request.write` would mark the end by chunks of its own.
    request.startedWriting = 1
    request.setHeader(b"connection", b"close")
    channel.persistent = False
    reason = _reason(request.code)
    headers = request.responseHeaders
    channel.writeHeaders(request.clientproto, b"%d" % request.code, reason, headers)
    channel.write(body)
    try:
        await _written(transport).addTimeout(MAX_WRITE_S, clock)
    except TimeoutError:
        transport.abortConnection()
        return
    set_reset_on_close(transport, False)
    request.finish()


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown Status"


@implementer(IPullProducer)
class _EmptyProducer:
    """Is asked for more when a transport has handed all it held to the kernel."""

    def __init__(self, transport: ITCPTransport):
        self.written: defer.Deferred[None] = defer.Deferred()
        self._transport = transport
        self.is_registered = False

    def resumeProducing(self) -> None:
        """End the wait; the call made by the registration comes before anything is written."""
        if self.is_registered and not self.written.called:
            self._transport.unregisterProducer()
            self.written.callback(None)

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost, which cancels the wait."""


def _written(transport: ITCPTransport) -> defer.Deferred[None]:
    producer = _EmptyProducer(transport)
    # The channel's own producer only holds back writes, and all are made.
    transport.unregisterProducer()
    transport.registerProducer(producer, False)
    producer.is_registered = True
    # A transport with nothing left to write asks for more only if it is told to write.
    transport.startWriting()
    return producer.written
