"""A server that answers with a part of an answer and then closes its connection in order."""

from twisted.internet import defer, protocol, reactor

__all__ = ["FRAMINGS", "LOOPBACK", "CutServer", "framed"]

LOOPBACK = "127.0.0.1"

_CLOSE = b"Connection: close\r\n"

FRAMINGS = {
    "length": (b"HTTP/1.1", b"Content-Length: %(size)d\r\n" + _CLOSE, b"%(body)s"),
    "length, HTTP/1.0": (b"HTTP/1.0", b"Content-Length: %(size)d\r\n" + _CLOSE, b"%(body)s"),
    "chunks": (
        b"HTTP/1.1",
        b"Transfer-Encoding: chunked\r\n" + _CLOSE,
        b"%(size)x\r\n%(body)s\r\n0\r\n\r\n",
    ),
    "none": (b"HTTP/1.1", b"", b"%(body)s"),
    "none, HTTP/1.0": (b"HTTP/1.0", b"", b"%(body)s"),
}
"""Version, header lines and body of answers, by what marks their end."""


def framed(framing: str, body: bytes, status: int = 200) -> bytes:
    """Return an answer with a body of at least one byte."""
    version, fields, text = FRAMINGS[framing]
    answer = version + b" %(status)d X\r\n" + fields + b"\r\n" + text
    return answer % {b"status": status, b"size": len(body), b"body": body}


class _Answering(protocol.Protocol):
    def dataReceived(self, data):
        self.factory.server.requests.append(data)
        self.factory.server.answer(self)


class CutServer:
    """A server whose answers the test sets.

    Attributes
    ----------
    text : bytes
        What is written before the connection is closed.
    dies : bool
        Whether the port refuses connections before the connection is closed.
    requests : list of bytes
        What has been received.
    """

    def __init__(self, text: bytes = b"", dies: bool = False):
        self.text, self.dies = text, dies
        self.requests: list[bytes] = []
        factory = protocol.Factory.forProtocol(_Answering)
        factory.server = self
        self._listening = reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.port = self._listening.getHost().port

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{LOOPBACK}:{self.port}"

    def answer(self, conn: protocol.Protocol) -> None:
        """Answer a request."""
        stopped = defer.maybeDeferred(self.stop) if self.dies else defer.succeed(None)
        stopped.addCallback(lambda _none: self._write(conn))

    def _write(self, conn: protocol.Protocol) -> None:
        conn.transport.write(self.text)
        conn.transport.loseConnection()

    def stop(self) -> defer.Deferred[None]:
        """Refuse connections from now on."""
        return defer.maybeDeferred(self._listening.stopListening)
