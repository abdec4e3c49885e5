"""A slot goes to a request that still waits, and is not lost with one that was closed."""

from twisted.internet import defer

from gladedrum.standins.slots import Slots


def test_a_request_that_is_closed_while_it_waits_takes_no_slot():
    slots = Slots(1)
    defer.ensureDeferred(slots.take())
    closed = defer.ensureDeferred(slots.take())
    closed.addErrback(lambda failure: failure.trap(defer.CancelledError))
    closed.cancel()
    slots.give()
    assert (slots.running, slots.waiting) == (0, 0)
