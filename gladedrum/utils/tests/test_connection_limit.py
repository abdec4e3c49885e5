"""More connections to a server than it may have."""

from twisted.internet import protocol, task
from twisted.internet.testing import StringTransport

from gladedrum.entry.connections import TrackedConnections
from gladedrum.utils.connection_limit import LimitedConnections

LIMIT = 3


class Transport(StringTransport):
    def abortConnection(self):
        self.aborted = True

    def connectionLost(self, reason):
        self.proto.connectionLost(reason)


def connect(factory, clock):
    clock.advance(1)
    conn = factory.buildProtocol(None)
    if conn is not None:
        transport = Transport()
        transport.proto = conn
        conn.makeConnection(transport)
    return conn


def make():
    clock = task.Clock()
    return LimitedConnections(protocol.Factory.forProtocol(protocol.Protocol), clock, LIMIT), clock


# Guards against silent connections that take all descriptors of the process.
def test_connection_that_waits_longest_is_closed_for_a_new_one():
    factory, clock = make()
    conns = [connect(factory, clock) for _ in range(LIMIT)]
    conns[0].write(b"answer")
    assert connect(factory, clock) is not None
    assert [conn in factory.protocols for conn in conns] == [True, False, True]


def test_busy_connections_are_kept():
    factory, clock = make()
    for _ in range(LIMIT):
        connect(factory, clock).is_busy = True
    assert connect(factory, clock) is None
    assert len(factory.protocols) == LIMIT


# Guards against a connection that is unregistered twice, and against a wrapper of no connection.
def test_limited_connections_can_be_tracked():
    limited, clock = make()
    tracked = TrackedConnections(limited, clock)
    conns = [connect(tracked, clock) for _ in range(LIMIT + 1)]
    assert len(tracked.protocols) == len(limited.protocols) == LIMIT
    assert conns[0] not in tracked.protocols
    for conn in limited.protocols:
        conn.is_busy = True
    assert connect(tracked, clock) is None
