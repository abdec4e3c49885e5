"""Sleeping, waiting, repeating, timeouts and backoff on Twisted's clock."""

import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet import defer, task
from twisted.internet.interfaces import IDelayedCall, IReactorTime

__all__ = ["MAX_TIMER_LAG_S", "Wait", "repeat", "retry_delay_s", "sleep", "start", "with_timeout"]

T = TypeVar("T")

MAX_TIMER_LAG_S = 0.05
"""A timer that runs later than this, in seconds, shows that the process was stopped or short of
processor time. What has arrived meanwhile is read after it, so silence proves nothing then."""


def sleep(clock: IReactorTime, delay_s: float) -> defer.Deferred[None]:
    """Return a deferred that fires after `delay_s` seconds and can be cancelled."""
    done: defer.Deferred[None] = defer.Deferred(lambda _done: call.cancel())
    call = clock.callLater(max(0.0, delay_s), done.callback, None)
    return done


class Wait:
    """A wait of one task that other code can shorten.

    Parameters
    ----------
    clock : IReactorTime
        Times the wait.
    """

    def __init__(self, clock: IReactorTime):
        self._clock = clock
        self._done: defer.Deferred[None] | None = None
        self._call: IDelayedCall | None = None

    async def wait(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds, or less if `end_within` is called meanwhile."""
        self._done = done = defer.Deferred()
        self._call = self._clock.callLater(max(0.0, delay_s), self._end)
        try:
            await done
        finally:
            call, self._call, self._done = self._call, None, None
            if call is not None and call.active():
                call.cancel()

    def end_within(self, delay_s: float = 0.0) -> None:
        """End the present wait, if there is one, after at most `delay_s` seconds; at once for 0."""
        if self._call is None or not self._call.active():
            return
        if delay_s <= 0:
            self._call.cancel()
            self._end()
        elif self._call.getTime() > self._clock.seconds() + delay_s:
            self._call.reset(delay_s)

    def _end(self) -> None:
        if self._done is not None:
            self._done.callback(None)


def start(coroutine: Coroutine[Any, Any, T]) -> defer.Deferred[T]:
    """Run a coroutine as a task; cancelling the deferred cancels what the coroutine awaits."""
    return defer.Deferred.fromCoroutine(coroutine)


async def repeat(clock: IReactorTime, interval_s: float, action: Callable[[], Any]) -> None:
    """Call `action` immediately and then every `interval_s` seconds, until cancelled.

    If `action` returns a deferred, the next call waits for it. An exception ends the repetition and
    is raised.
    """
    loop = task.LoopingCall(action)
    loop.clock = clock
    try:
        await loop.start(interval_s)
    finally:
        if loop.running:
            loop.stop()


async def with_timeout(clock: IReactorTime, timeout_s: float, awaitable: Awaitable[T]) -> T:
    """Await something for at most `timeout_s` seconds.

    Raises
    ------
    TimeoutError
        If the timeout expires; the awaitable is then cancelled.
    CancelledError
        If the wait itself is cancelled, whichever error the awaitable then fails with. Twisted's
        HTTP client fails with its own error when it is cancelled, which would look like a broken
        connection and be retried.
    """
    deferred = awaitable if isinstance(awaitable, defer.Deferred) else start(awaitable)
    deferred.addTimeout(max(0.0, timeout_s), clock, onTimeoutCancel=_raise_timeout)
    cancelled = False

    def cancel(_outer: defer.Deferred[T]) -> None:
        nonlocal cancelled
        cancelled = True
        deferred.cancel()

    outer: defer.Deferred[T] = defer.Deferred(cancel)

    def forward_result(result: object) -> None:
        if not cancelled:
            outer.callback(result)

    deferred.addBoth(forward_result)
    return await outer


def _raise_timeout(result: object, timeout_s: float) -> None:
    raise TimeoutError(f"no answer within {timeout_s:g} s")


def retry_delay_s(failed_attempts: int, first_s: float, max_s: float, rng: random.Random) -> float:
    """Return the delay after 1 or more failed attempts: exponential with full jitter.

    Examples
    --------
    >>> 0 <= retry_delay_s(3, 0.1, 10.0, random.Random(1)) <= 0.4
    True
    """
    return rng.uniform(0, min(max_s, first_s * 2 ** (failed_attempts - 1)))
