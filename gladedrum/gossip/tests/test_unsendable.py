"""Datagrams that can't be sent or encoded, which must not disturb their senders."""

import logging

import pytest
from twisted.internet import error
from twisted.internet.task import Clock

from gladedrum.gossip.port import PLACED, GossipPort, decode
from gladedrum.gossip.wire.ttypes import ReportNote, VouchNote, WorkNote

ODD, SOUND = ("odd", 9), ("127.0.0.1", 9)


class FailingTransport:
    """A transport that raises for one address and records what it sends to others."""

    def __init__(self, exc):
        self.exc = exc
        self.sent = []

    def write(self, data, address):
        if address == ODD:
            raise self.exc
        self.sent.append((address, decode(data)))


def make_port(exc=None):
    port = GossipPort("me", Clock(), lambda: [ODD, SOUND], lambda: [ODD, SOUND], lambda *_: None)
    port.transport = FailingTransport(exc or error.InvalidAddressError("odd", "not an address"))
    return port


FAILURES = [
    error.InvalidAddressError("odd", "not an address"), OverflowError("port must be 0-65535"),
    TypeError("an integer is required"), ValueError("embedded null"), OSError(90, "too long"),
]  # fmt: skip


# Guards against a request that ends with a datagram to an address that can't exist.
@pytest.mark.parametrize("exc", FAILURES, ids=lambda exc: type(exc).__name__)
def test_failed_datagram_is_logged_once_and_the_other_boxes_get_theirs(exc, caplog):
    caplog.set_level(logging.WARNING)
    port = make_port(exc)
    for _ in range(3):
        port.broadcast_work(WorkNote("w", PLACED, ["t"]))
        port.announce_box()
    assert [address for address, _message in port.transport.sent] == [SOUND] * 6
    assert len(caplog.records) == 1


# Guards against notes that can't be encoded and so keep back all later ones.
def test_note_that_cannot_be_encoded_is_dropped_and_later_ones_are_sent():
    port = make_port()
    port.broadcast_report(ReportNote("t", 1, waiting=10**30))
    port._clock.advance(1)
    port.broadcast_work(WorkNote("w", PLACED, ["t"]))
    port.vouch(SOUND, VouchNote(1, 10**30, 0.0))
    port.vouch(SOUND, VouchNote(2, 5, 0.0))
    assert [bool(message.work) for _address, message in port.transport.sent] == [True, False]
