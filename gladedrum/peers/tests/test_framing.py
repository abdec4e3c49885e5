"""Frames between boxes.

Guards against a peer that takes the processor with a long frame in small parts, as all that has
come of it is copied with each part.
"""

import struct

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from gladedrum.peers.framing import FRAME_COPIES, PeerServerFactory
from gladedrum.utils.request_memory import RequestMemory


class Transport(StringTransport):
    aborted = False

    def abortConnection(self):
        self.aborted = True


class Frames:
    """A connection of a peer; `received` holds the frames that were passed on."""

    def __init__(self):
        self.received = []
        self.conn = PeerServerFactory(None, None).buildProtocol(None)
        self.conn.stringReceived = self.received.append
        self.conn.transport = self.transport = StringTransport()


def frame(data):
    return struct.pack("!I", len(data)) + data


@pytest.mark.parametrize("size", [1, 2, 3, 5, 1000])
def test_frames_arrive_whole_however_they_are_split(size):
    frames = Frames()
    sent = [b"", b"a", b"xyz" * 50, b"b" * 1000]
    data = b"".join(map(frame, sent))
    for at in range(0, len(data), size):
        frames.conn.dataReceived(data[at : at + size])
    assert frames.received == sent


def test_the_parts_of_a_long_frame_are_not_copied_with_each_part():
    frames, held = Frames(), []
    data = frame(b"x" * 1_000_000)
    for at in range(0, len(data), 1000):
        frames.conn.dataReceived(data[at : at + 1000])
        held.append(len(frames.conn.recvd))
    assert max(held) <= 1000
    assert frames.received == [b"x" * 1_000_000]


def test_a_frame_that_is_too_long_ends_the_connection():
    frames = Frames()
    frames.conn.dataReceived(struct.pack("!I", frames.conn.MAX_LENGTH + 1) + b"x")
    assert frames.transport.disconnecting


# Guards against unfinished frames of many connections that outgrow the box.
def test_unfinished_frames_of_all_connections_are_limited():
    factory, clock = PeerServerFactory(None, None), Clock()
    factory.use_memory(RequestMemory(10 * 1_000_000 * FRAME_COPIES), clock)
    conns = []
    for _ in range(20):
        conn = factory.buildProtocol(None)
        conn.transport = Transport()
        conn.dataReceived(struct.pack("!I", 5_000_000) + b"x" * 1_000_000)
        conns.append(conn)
        clock.advance(0.2)
    assert factory.memory.used <= factory.memory.limit
    assert any(conn.transport.aborted for conn in conns)
    assert not conns[-1].transport.aborted
    for conn in conns:
        conn.connectionLost()
    assert factory.memory.used == 0
