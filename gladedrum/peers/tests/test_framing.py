"""Frames between boxes.

Guards against a peer that takes the processor with a long frame in small parts, as all that has
come of it is copied with each part.
"""

import struct

import pytest
from twisted.internet.testing import StringTransport

from gladedrum.peers.framing import PeerServerFactory


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
