"""A slot is not leaked to a request that was closed while it waited."""

from twisted.internet import defer

from gladedrum.standins.slots import Slots


def test_request_closed_while_waiting_occupies_no_slot():
    slots = Slots(1)
    defer.ensureDeferred(slots.acquire())
    closed = defer.ensureDeferred(slots.acquire())
    closed.addErrback(lambda failure: failure.trap(defer.CancelledError))
    closed.cancel()
    slots.release()
    assert (slots.running, slots.waiting) == (0, 0)
