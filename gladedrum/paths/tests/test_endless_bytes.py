"""Bytes without end from a carrier, and from a peer that asks for a tunnel.

Guards against a box that keeps all that the other side of a tunnel sends before the tunnel is open,
or handles each byte that it carries by itself.
"""

import pytest
from twisted.internet import protocol

from gladedrum.paths.framing import frame_header
from gladedrum.paths.tests.pipes import join
from gladedrum.paths.tests.test_tunnel import Carried
from gladedrum.paths.tunnel_client import TunnelFailedError

PART = b"x" * 5000


class ScriptedCarrier(protocol.Protocol):
    """A carrier that sends what a test tells it to."""


def ask(carried, data):
    """Ask for a tunnel, and send data once; return the transport of the carrier and the results."""
    carrier = ScriptedCarrier()
    carried.server.buildProtocol = lambda _addr: carrier
    results = carried.ask()
    carrier.transport.write(data)
    carried.advance()
    return carrier.transport, results


@pytest.mark.parametrize(
    "part",
    [b"HTTP/1.1 102 X\r\n\r\n" * 100, b"HTTP/1.1 200 X\r\n" + b"A: b\r\n" * 1000, PART],
    ids=["interim answers", "header lines", "garbage"],
)
def test_an_answer_of_a_carrier_is_not_read_without_end(part):
    transport, results = ask(Carried(), part)
    assert results[0].check(TunnelFailedError)
    assert transport.closed


@pytest.mark.parametrize(
    "part",
    [b"CONNECT a HTTP/1.1\r\n" + b"A: b\r\n" * 1000, PART, b"CONNECT a HTTP/1.1\r\n" + b"A" * 5000],
    ids=["header lines", "garbage", "a header line"],
)
def test_a_request_for_a_tunnel_is_not_read_without_end(part):
    carried = Carried()
    peer = carried.server.buildProtocol(None)
    client = ScriptedCarrier()
    transport, _server = join(carried.net, client, peer)
    client.transport.write(part)
    carried.advance()
    assert transport.closed


# Guards against one parse of the answer for each byte that a carrier frames by itself.
def test_frames_of_one_byte_are_passed_on_together():
    carried = Carried()
    carried.ask()
    received = []
    carried.conn.dataReceived = received.append
    carried.ends[1].write((frame_header(1) + b"x") * 13_000)
    carried.advance()
    assert received == [b"x" * 13_000]
