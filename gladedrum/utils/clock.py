"""The clock of ages, leases and timers: seconds since boot, suspended time included."""

import time

from twisted.internet.interfaces import IReactorTime

__all__ = ["elapsed_s", "use_elapsed_clock"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def elapsed_s() -> float:
    """Return the seconds since the system booted, including the time it was suspended.

    The wall clock may be stepped, which would make ages wrong and delay timers or fire them all at
    once. The monotonic clock does not count suspension, while keys may be revoked and targets may
    leave meanwhile; it is used only on systems without ``CLOCK_BOOTTIME``.
    """
    return time.clock_gettime(_CLOCK)


def use_elapsed_clock(reactor: IReactorTime) -> None:
    """Make a reactor use `elapsed_s` as its clock; call this before scheduling anything on it.

    By default, Twisted uses the wall clock. The kernel times the wait for the next event on the
    monotonic clock, so a timer that came due during a suspension fires with the next event after
    it. In a forwarding box that is within half a second, the interval of its calls to peers.
    """
    reactor.seconds = elapsed_s
