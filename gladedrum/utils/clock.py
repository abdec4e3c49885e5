"""The one clock by which a process keeps its ages, leases and timers."""

import time

from twisted.internet.interfaces import IReactorTime

__all__ = ["elapsed_s", "keep_elapsed_time"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def elapsed_s() -> float:
    """Return the seconds since the machine started, those in which it was suspended included.

    The time of day may be stepped: an age would be wrong by the step, and all timers would stand
    still for as long or be due at once. The monotonic clock stands still while the machine is
    suspended, in which keys are taken away and targets leave. Where the system has no clock that
    counts that, the monotonic one is read.
    """
    return time.clock_gettime(_CLOCK)


def keep_elapsed_time(reactor: IReactorTime) -> None:
    """Have a reactor go by this clock; to be called before anything is scheduled on it.

    Twisted's own is the time of day. The wait for the next event is timed by the kernel, on the
    monotonic clock, so a timer that was due in a suspension fires when the next event wakes the
    process, half a second later at most in a box: it asks its peers that often.
    """
    reactor.seconds = elapsed_s
