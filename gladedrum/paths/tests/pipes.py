"""TCP connections between two protocols of one test, on a virtual clock."""

from twisted.internet import error
from twisted.python.failure import Failure

from gladedrum.forward.tests.support import RecordingTransport

LINK_DELAY_S = 0.001
"""Latency of a connection."""


class Connecting:
    """A connection that is being opened; part of `IConnector`."""

    def __init__(self, address):
        self._address = address
        self.is_stopped = False

    def getDestination(self):
        return self._address

    def stopConnecting(self):
        self.is_stopped = True


class PipeTransport(RecordingTransport):
    """One end of a TCP connection between two boxes."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self._unread: list[bytes] = []
        self.other: PipeTransport | None = None

    def write(self, data):
        if not self.closed:
            self._clock.callLater(LINK_DELAY_S, self.other.receive, data)

    def receive(self, data):
        if self.closed:
            return
        if self.producerState == "paused":
            self._unread.append(data)
        else:
            self.proto.dataReceived(data)

    def resumeProducing(self):
        super().resumeProducing()
        unread, self._unread = self._unread, []
        for data in unread:
            self.receive(data)

    def _close(self, how, reason):
        if not self.closed:
            ended = error.ConnectionDone() if how == "closed" else error.ConnectionLost()
            self._clock.callLater(LINK_DELAY_S, self.other.end, ended)
        super()._close(how, reason)

    def end(self, reason):
        if not self.closed:
            self.closed = "by the peer"
            self.proto.connectionLost(Failure(reason))


def join(clock, client, server) -> tuple[PipeTransport, PipeTransport]:
    """Connect two protocols; return the transports of the client and of the server."""
    ends = PipeTransport(clock), PipeTransport(clock)
    ends[0].other, ends[1].other = ends[1], ends[0]
    ends[0].proto, ends[1].proto = client, server
    server.makeConnection(ends[1])
    client.makeConnection(ends[0])
    return ends
