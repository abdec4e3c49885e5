"""Datagrams of other programs that decode as messages without a sender."""

import pytest
from twisted.internet.task import Clock

from gladedrum.gossip.port import GossipPort, decode, encode
from gladedrum.gossip.wire.ttypes import Gossip

STRAY = [b"\0", b"\0\0\0", *(encode(Gossip(name)) for name in ("", "a\nb", "x" * 5000))]


# Guards against a peer without a name, which ends the tasks that sort or ask their peers.
@pytest.mark.parametrize("data", STRAY, ids=lambda data: ascii(data)[:20])
def test_datagram_that_names_no_box_is_dropped(data):
    received = []
    port = GossipPort("me", Clock(), list, list, lambda *args: received.append(args))
    assert decode(data) is not None
    port.datagramReceived(data, ("127.0.0.1", 9))
    port.datagramReceived(encode(Gossip("other")), ("127.0.0.1", 9))
    assert [message.box for message, _address in received] == ["other"]
