"""A request that crashes each engine that starts it must not be sent to engines again and again.

Guards against losing the record of a crash when the caller's request ends: the same body comes back
under new request ids.
"""

from gladedrum.forward.tests.crashing_fleet import CrashingFleet

ARRIVALS, INTERVAL_S = 24, 0.5
PROPAGATION_S = 3.0
"""Within this time all connected boxes must know of a crash."""
MAX_LATE_SENDS = 3


def sent_late(fleet: CrashingFleet) -> int:
    """Send a deadly request many times; return how often engines got it after three crashes.

    Counts from `PROPAGATION_S` after the third crash.
    """
    for _ in range(ARRIVALS):
        fleet.send_request(b"deadly")
        fleet.advance(INTERVAL_S)
    third_s = fleet.crash_times_of(b"deadly")[2]
    return fleet.sent_after(b"deadly", third_s + PROPAGATION_S)


def test_a_deadly_request_is_soon_no_longer_sent():
    assert sent_late(CrashingFleet(max_targets=2)) <= MAX_LATE_SENDS


def test_a_deadly_request_is_soon_no_longer_sent_with_one_target_per_request():
    assert sent_late(CrashingFleet(max_targets=1, resumable=False)) <= MAX_LATE_SENDS
