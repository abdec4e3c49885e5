"""A tunnel from a box through a carrier to a target: what passes, what is refused, how it ends."""

import pytest

from gladedrum.connections.target_conn import TargetConnection
from gladedrum.fleet import TargetEntry
from gladedrum.forward.tests.support import Network
from gladedrum.paths.carriers import Carrier
from gladedrum.paths.framing import END_FRAME
from gladedrum.paths.tests.pipes import LINK_DELAY_S, Connecting, join
from gladedrum.paths.tunnel_client import (
    FRAMES_HEADER,
    TunnelFailedError,
    TunnelRequest,
    open_tunnel,
)
from gladedrum.paths.tunnel_server import (
    HEAD_TIMEOUT_S,
    RATE_WINDOW_S,
    CarrierLimits,
    CarrierPolicy,
    TunnelServer,
)

TARGET = TargetEntry("t1", "pool", "10.0.0.1", 9001, "hall", 8, False)


class RecordingConnection(TargetConnection):
    """A target connection of a box that records what arrives."""

    def __init__(self):
        super().__init__(None, (TARGET.host, TARGET.port), "p1")
        self.received = b""
        self.lost = None

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason=None):
        self.lost = reason


class Carried:
    """A carrier with one target, and a box that asks it for a tunnel."""

    def __init__(self, listed=TARGET):
        self.net = Network()
        self.impaired = False
        self.limits = CarrierLimits(5)
        self.noted = []
        self.conn = RecordingConnection()
        self.loads = []
        self.server = TunnelServer(
            self.net,
            CarrierPolicy(
                lambda: self.limits,
                lambda name: listed if listed and name == listed.name else None,
                lambda _entry: self.impaired,
                lambda: 7,
                lambda entry: self.noted.append(("connected", entry.name)),
                lambda entry, _reason: self.noted.append(("failed", entry.name)),
            ),
        )
        self.ends = None
        self.frames = True

    def connectTCP(self, _host, _port, factory, timeout=30, bindAddress=None):
        connector = Connecting(None)
        factory.startedConnecting(connector)
        client, server = factory.buildProtocol(None), self.server.buildProtocol(None)
        if not self.frames:
            receive = server.dataReceived
            server.dataReceived = lambda data: receive(data.replace(FRAMES_HEADER, b"x-other"))
        self.ends = join(self.net, client, server)
        return connector

    def ask(self, address=(TARGET.host, TARGET.port), frames=True):
        """Ask for the tunnel; return a list that gets the connection or the failure.

        Without `frames`, the carrier ignores the header for them, as earlier versions do.
        """
        results = []
        self.frames = frames
        asking = open_tunnel(
            self,
            Carrier("p1", ("10.0.1.1", 1)),
            TunnelRequest("me", "t1", address, "id-1"),
            lambda: self.conn,
            self.loads.append,
            lambda: self.noted.append("closed"),
        )
        asking.addBoth(results.append)
        self.advance()
        return results

    def advance(self, seconds=5 * LINK_DELAY_S):
        self.net.pump([LINK_DELAY_S] * round(seconds / LINK_DELAY_S))

    @property
    def target(self):
        return self.net.opened[-1]


def test_bytes_pass_both_ways_unchanged():
    carried = Carried()
    assert carried.ask() == [carried.conn]
    assert carried.conn.tunnel_id
    carried.conn.transport.write(b"GET / HTTP/1.1\r\n\r\n")
    carried.advance()
    assert carried.target.sent == b"GET / HTTP/1.1\r\n\r\n"
    carried.target.reply(b"HTTP/1.1 200 OK\r\n\r\n")
    carried.advance()
    assert carried.conn.received == b"HTTP/1.1 200 OK\r\n\r\n"
    assert carried.server.carried_bytes == 18 + 19
    assert carried.loads == [8]
    assert carried.noted == [("connected", "t1")]


# Guards against an answer without a length that was cut off and looks whole, or the reverse.
@pytest.mark.parametrize("orderly", [True, False])
def test_the_way_in_which_the_target_ends_is_passed_on(orderly):
    carried = Carried()
    carried.ask()
    carried.target.reply(b"the end")
    carried.target.disconnect(orderly)
    carried.advance()
    assert carried.conn.received == b"the end"
    assert carried.conn.lost.type.__name__ == ("ConnectionDone" if orderly else "ConnectionLost")
    assert not carried.server.tunnels
    assert carried.noted[-1] == "closed"


# Guards against a part of an answer without a length that is taken for all of it, as the kernel of
# a carrier that is killed closes its connections in an orderly way.
@pytest.mark.parametrize("sent", [b"", b"a part"])
def test_a_carrier_that_ends_cuts_the_answers_that_it_carries(sent):
    carried = Carried()
    carried.ask()
    if sent:
        carried.target.reply(sent)
        carried.advance()
    carried.ends[1].loseConnection()
    carried.advance()
    assert carried.conn.received == sent
    assert carried.conn.lost.type.__name__ == "ConnectionLost"


# Guards against the same behind a carrier that has begun to pass on the end of the target.
def test_a_part_of_the_end_frame_is_no_end():
    carried = Carried()
    carried.ask()
    carried.ends[1].write(END_FRAME[:3])
    carried.ends[1].loseConnection()
    carried.advance()
    assert carried.conn.lost.type.__name__ == "ConnectionLost"


# Guards against peers' versions that misread each other's tunnels during a rolling change.
def test_a_carrier_of_an_earlier_version_carries_bare_bytes_and_ends_no_answer():
    carried = Carried()
    carried.ask(frames=False)
    carried.target.reply(b"\0\0\0\0bytes")
    carried.target.disconnect(orderly=True)
    carried.advance()
    assert carried.conn.received == b"\0\0\0\0bytes"
    assert carried.conn.lost.type.__name__ == "ConnectionLost"


def test_a_box_of_an_earlier_version_gets_bare_bytes():
    carried = Carried()
    client = RecordingConnection()
    join(carried.net, client, carried.server.buildProtocol(None))
    client.transport.write(b"CONNECT 10.0.0.1:9001 HTTP/1.1\r\nhost: x\r\nx-target: t1\r\n\r\n")
    carried.advance()
    carried.target.reply(b"bytes")
    carried.target.disconnect(orderly=True)
    carried.advance()
    assert client.received.endswith(b"\r\n\r\nbytes")
    assert client.lost.type.__name__ == "ConnectionDone"


def test_bytes_pass_unchanged_however_they_are_split():
    carried = Carried()
    carried.ask()
    pieces = [bytes([number]) * size for number, size in enumerate((1, 4, 70_000, 3))]
    for piece in pieces:
        carried.target.reply(piece)
    for part in (b"\0", b"\0\0", b"\2a", b"b\0\0", b"\0\1c"):
        carried.ends[1].write(part)
    carried.advance()
    assert carried.conn.received == b"".join(pieces) + b"abc"


def test_a_carrier_that_stops_resets_what_it_still_carries():
    carried = Carried()
    carried.ask()
    carried.server.abort_all()
    carried.advance()
    assert carried.conn.lost.type.__name__ == "ConnectionLost"
    assert carried.target.closed == "aborted"


def test_a_box_that_aborts_aborts_the_connection_to_the_target():
    carried = Carried()
    carried.ask()
    carried.conn.transport.abortConnection()
    carried.advance()
    assert carried.target.closed == "aborted"


# Guards against a carrier that buffers what a slow box or target does not read.
def test_each_side_is_read_only_as_fast_as_the_other_takes():
    carried = Carried()
    carried.ask()
    box_end = carried.ends[1]
    assert box_end.producer is carried.target.transport
    assert carried.target.transport.producer is box_end
    box_end.producer.pauseProducing()
    assert carried.target.transport.producerState == "paused"


@pytest.mark.parametrize(
    ("case", "status"),
    [("impaired", 502), ("unlisted", 502), ("moved", 502), ("refused", 502),
     ("draining", 503), ("full", 503), ("busy link", 503)],
)  # fmt: skip
def test_a_carrier_refuses_and_says_whether_the_target_is_the_reason(case, status):
    carried = Carried(None if case == "unlisted" else TARGET)
    address = (TARGET.host, 9009 if case == "moved" else TARGET.port)
    match case:
        case "impaired":
            carried.impaired = True
        case "refused":
            carried.net.refusing.add(TARGET.port)
        case "draining":
            carried.server.is_draining = True
        case "full":
            carried.limits = CarrierLimits(0)
        case "busy link":
            carried.limits = CarrierLimits(5, 1000.0)
            carried.server.note_copied(600)
            carried.net.advance(RATE_WINDOW_S)
    (failure,) = carried.ask(address)
    assert failure.check(TunnelFailedError)
    assert failure.value.status == status
    assert not carried.server.tunnels
    assert ("failed", "t1") in carried.noted or case != "refused"


# Guards against requests that are sent before it is known that the target is reached.
def test_bytes_before_the_answer_end_the_tunnel():
    carried = Carried()
    server = carried.server.buildProtocol(None)
    client = RecordingConnection()
    join(carried.net, client, server)
    client.transport.write(b"CONNECT 10.0.0.1:9001 HTTP/1.1\r\nhost: x\r\nx-target: t1\r\n\r\n")
    client.transport.write(b"POST / HTTP/1.1\r\n\r\n")
    carried.advance()
    assert not any(side.sent for side in carried.net.opened)
    assert client.lost


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", b"\0\1\2\r\n\r\n"])
def test_a_peer_that_asks_for_no_tunnel_is_disconnected(data):
    carried = Carried()
    client = RecordingConnection()
    join(carried.net, client, carried.server.buildProtocol(None))
    client.transport.write(data)
    carried.advance(HEAD_TIMEOUT_S + 0.1)
    assert client.lost
    assert not carried.server.tunnels
    assert not carried.net.opened


def test_a_request_that_is_cancelled_leaves_no_connection():
    carried = Carried()
    carried.net.connect_delay_s = 1.0
    asking = open_tunnel(
        carried,
        Carrier("p1", ("10.0.1.1", 1)),
        TunnelRequest("me", "t1", (TARGET.host, TARGET.port)),
        lambda: carried.conn,
        carried.loads.append,
        lambda: None,
    )
    asking.addErrback(lambda _failure: None)
    carried.advance()
    asking.cancel()
    carried.advance(1.2)
    assert not carried.server.tunnels
    assert all(side.closed for side in carried.net.opened)
