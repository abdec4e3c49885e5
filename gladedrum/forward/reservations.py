"""Memory reservations on engines that read a part of a prompt: acquire, renew and release.

A reservation is held for a limited time and renewed until it is released. It expires if this box
dies.
"""

import logging
from collections.abc import Callable, Sequence

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..connections.calls import CallAnswer, call_target
from ..connections.target_pool import TargetPool
from ..errors import TargetBrokenError, TargetReplacedError
from ..fleet import TargetEntry
from ..platform.codecs import decode_start_time
from ..platform.orders import CallKind, release_call, reserve_call
from ..utils import sleep, start

__all__ = ["ReservationSet"]

HOLD_SHARE = 0.85
"""Hold time of a reservation, as a share of `free_bound_s`: below 1, so that memory is free in time
even if this box dies."""

RENEW_SHARE = 0.35
"""Time until a renewal, as a share of the hold time: leaves room for two failed renewals."""

RENEW_RETRY_S = 0.2
"""Pause after a failed renewal, in seconds: short enough for two more before the reservation
expires and the engine aborts the request. This holds for `CALL_TIMEOUT_S` and the default hold of
3.4 s."""

CALL_TIMEOUT_S = 0.6
"""Timeout of a reservation call, in seconds. Engines answer in milliseconds."""

MIN_RENEWAL_LEAD_S = 2 * (CALL_TIMEOUT_S + RENEW_RETRY_S)
"""Latest time of a renewal that is delayed by a requested backoff, in seconds before the
reservation expires: leaves room for one failed renewal."""

RELEASE_ATTEMPTS = 4

_log = logging.getLogger(__name__)


class ReservationSet:
    """The reservations of one attempt, acquired on all engines or on none.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    pool : TargetPool
        Connections to targets.
    reservation_id : str
        The id of the reservations, unique to the attempt.
    engines : sequence of TargetEntry
        The engines to reserve memory on.
    tokens : int
        The memory to reserve on each, in tokens.
    free_bound_s : float
        Time after the end of a request within which its memory must be free, in seconds.
    max_hold_s : float
        The longest hold that one call may ask for, in seconds.
    start_of : callable
        Returns the latest known start of an engine by name, 0 if unknown. Memory does not survive a
        restart, so a reservation made at an earlier start is neither renewed nor released.
    backoff_of : callable
        Returns for how many more seconds an engine has asked this box to send nothing, by name.
    """

    def __init__(
        self,
        clock: IReactorTime,
        pool: TargetPool,
        reservation_id: str,
        engines: Sequence[TargetEntry],
        tokens: int,
        free_bound_s: float,
        max_hold_s: float,
        start_of: Callable[[str], int] = lambda _name: 0,
        backoff_of: Callable[[str], float] = lambda _name: 0.0,
    ):
        self.reservation_id = reservation_id
        self._clock = clock
        self._pool = pool
        self._engines = engines
        self._tokens = tokens
        self._hold_s = min(max_hold_s, HOLD_SHARE * free_bound_s)
        self._renewing: list[defer.Deferred[None]] = []
        self._released = False
        self._start_of = start_of
        self._backoff_of = backoff_of
        self._held_until_s: dict[str, float] = {}
        self._starts: dict[str, int] = {}
        self._superseded: set[str] = set()

    async def acquire(self) -> list[str]:
        """Reserve the memory; return the engines that refused, after releasing the others."""
        self._starts = {entry.name: self._start_of(entry.name) for entry in self._engines}
        granting = [start(self._reserve_first(entry)) for entry in self._engines]
        granted = await defer.gatherResults(granting, consumeErrors=True)
        refused = [e.name for e, ok in zip(self._engines, granted, strict=True) if not ok]
        if refused:
            self.release()
        elif not self._released:
            self._renewing = [start(self._keep_renewed(entry)) for entry in self._engines]
            for task in self._renewing:
                task.addErrback(_log_failure)
        return refused

    @property
    def is_renewed(self) -> bool:
        """Whether the reservations are being renewed."""
        return bool(self._renewing) and not self._released

    def stop_renewing(self) -> None:
        """Let the reservations lapse after their hold, unless they are released before."""
        renewing, self._renewing = self._renewing, []
        for task in renewing:
            task.cancel()

    def release(self) -> None:
        """Release all reservations; retries in the background until they are released or expire."""
        if self._released:
            return
        self._released = True
        self.stop_renewing()
        for entry in self._engines:
            if not self._has_restarted(entry):
                start(self._release(entry)).addErrback(_log_failure)

    async def _reserve(self, entry: TargetEntry, kind: CallKind) -> CallAnswer | None:
        """Make or renew a reservation; return the engine's answer, None if it failed."""
        expires_s = self._clock.seconds() + self._hold_s
        try:
            call = reserve_call(self.reservation_id, self._tokens, self._hold_s, kind)
            answer = await call_target(self._clock, self._pool, entry, call, CALL_TIMEOUT_S)
        except TargetBrokenError as exc:
            if isinstance(exc, TargetReplacedError):
                self._superseded.add(entry.name)
            _log.info("reservation call failed", extra={"target": entry.name, "reason": str(exc)})
            return None
        if not answer.ok:
            return None
        self._held_until_s[entry.name] = expires_s
        return answer

    async def _reserve_first(self, entry: TargetEntry) -> bool:
        answer = await self._reserve(entry, CallKind.RESERVE)
        if answer is not None:
            # The answer names the start that holds the memory; the target list may lag behind.
            self._starts[entry.name] = decode_start_time(answer.body) or self._starts[entry.name]
        return answer is not None

    async def _renew_once(self, entry: TargetEntry) -> bool:
        """Renew a reservation; return whether the engine has accepted the renewal.

        An engine that has restarted makes a new reservation instead. It is released at once, since
        the part of the prompt that was read is gone.
        """
        answer = await self._reserve(entry, CallKind.RENEW)
        if answer is None:
            return False
        if 0 < self._starts[entry.name] < decode_start_time(answer.body):
            self._superseded.add(entry.name)
            start(self._release(entry)).addErrback(_log_failure)
        return True

    def _has_restarted(self, entry: TargetEntry) -> bool:
        """Whether the engine has restarted since it reserved the memory."""
        is_later_known = 0 < self._starts[entry.name] < self._start_of(entry.name)
        return is_later_known or entry.name in self._superseded

    async def _keep_renewed(self, entry: TargetEntry) -> None:
        """Keep one engine's reservation renewed, independently of the other engines."""
        await self._pause(entry, RENEW_SHARE * self._hold_s)
        while not self._has_restarted(entry):
            renewed = await self._renew_once(entry)
            await self._pause(entry, RENEW_SHARE * self._hold_s if renewed else RENEW_RETRY_S)

    async def _pause(self, entry: TargetEntry, pause_s: float) -> None:
        """Sleep before a renewal; longer if the engine asked for backoff and the hold allows it."""
        await sleep(self._clock, pause_s)
        held_s = self._held_until_s[entry.name] - self._clock.seconds()
        delay_s = min(self._backoff_of(entry.name), held_s - MIN_RENEWAL_LEAD_S)
        if delay_s > 0:
            await sleep(self._clock, delay_s)

    async def _release(self, entry: TargetEntry) -> None:
        call = release_call(self.reservation_id)
        for _ in range(RELEASE_ATTEMPTS):
            if not await self._wait_out_backoff(entry):
                return
            try:
                await call_target(self._clock, self._pool, entry, call, CALL_TIMEOUT_S)
                return
            except TargetReplacedError:
                return
            except TargetBrokenError as exc:
                _log.info("release call failed", extra={"target": entry.name, "reason": str(exc)})
            await sleep(self._clock, CALL_TIMEOUT_S)

    async def _wait_out_backoff(self, entry: TargetEntry) -> bool:
        """Wait until the engine may be called again; return False if the hold expires first."""
        backoff_s, now_s = self._backoff_of(entry.name), self._clock.seconds()
        if not backoff_s:
            return True
        if now_s + backoff_s >= self._held_until_s.get(entry.name, now_s):
            return False
        await sleep(self._clock, backoff_s)
        return True


def _was_cancelled(failure) -> bool:
    """Whether the failure is a cancellation, also one of several calls awaited together."""
    inner = failure.value.subFailure if failure.check(defer.FirstError) else failure
    return bool(inner.check(defer.CancelledError))


def _log_failure(failure) -> None:
    if not _was_cancelled(failure):
        _log.error("reservation task failed", extra={"reason": failure.getTraceback()})
