"""Memory set aside on engines that read a part of a prompt, and its release on every way out."""

import logging
from collections.abc import Callable, Sequence

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..connections.calls import CallAnswer, call_target
from ..connections.target_pool import TargetPool
from ..errors import TargetBrokenError
from ..fleet import TargetEntry
from ..platform.codecs import decode_born
from ..platform.orders import CallKind, release_call, reserve_call
from ..utils import sleep, start

__all__ = ["ReservationSet"]

HOLD_SHARE = 0.85
"""How long memory is held by one order, as a share of the time after which it must be free: so
it is freed in time even if this box dies."""

RENEW_SHARE = 0.35
"""When it is renewed, as a share of that hold: two renewals may be lost, see `RENEW_AGAIN_S`."""

RENEW_AGAIN_S = 0.2
"""Pause after a renewal that got no answer or was refused, in seconds: with its time-out and a hold
of 3.4 s a second and a third one come before the memory lapses and its engine cuts the request."""

ORDER_TIMEOUT_S = 0.6
"""How long an order may take, in seconds; engines answer in milliseconds."""

LATEST_RENEWAL_S = 2 * (ORDER_TIMEOUT_S + RENEW_AGAIN_S)
"""Memory at an engine that wants rest is renewed so long before it lapses, in seconds: one renewal
may be lost."""

RELEASE_TRIES = 4

_log = logging.getLogger(__name__)


class ReservationSet:
    """The reservations of one try: all of them, or none.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    pool : TargetPool
        Connections to targets.
    name : str
        The id of the reservation; unique to the try.
    engines : sequence of TargetEntry
        Where memory is set aside.
    tokens : int
        How much on each.
    free_bound_s, most_s : float
        After so long it must be free once the request has ended; the longest hold.
    born_of : callable
        Returns the latest start of an engine that is known, by its name. A later start than the one
        that has set memory aside holds none: there it is neither renewed nor given back.
    rest_of : callable
        Returns for how many seconds an engine wants nothing from this box, by its name.
    """

    def __init__(
        self,
        clock: IReactorTime,
        pool: TargetPool,
        name: str,
        engines: Sequence[TargetEntry],
        tokens: int,
        free_bound_s: float,
        most_s: float,
        born_of: Callable[[str], int] = lambda _name: 0,
        rest_of: Callable[[str], float] = lambda _name: 0.0,
    ):
        self.name = name
        self._clock = clock
        self._pool = pool
        self._engines = engines
        self._tokens = tokens
        self._hold_s = min(most_s, HOLD_SHARE * free_bound_s)
        self._renewing: list[defer.Deferred[None]] = []
        self._released = False
        self._born_of = born_of
        self._rest_of = rest_of
        self._held_until_s: dict[str, float] = {}
        self._born: dict[str, int] = {}
        self._ended: set[str] = set()

    async def take(self) -> list[str]:
        """Set the memory aside; return the engines that refused, after giving back the rest."""
        self._born = {entry.name: self._born_of(entry.name) for entry in self._engines}
        orders = [start(self._reserve_first(entry)) for entry in self._engines]
        granted = await defer.gatherResults(orders, consumeErrors=True)
        refused = [e.name for e, ok in zip(self._engines, granted, strict=True) if not ok]
        if refused:
            self.release()
        elif not self._released:
            self._renewing = [start(self._renew(entry)) for entry in self._engines]
            for task in self._renewing:
                task.addErrback(_note_end)
        return refused

    def release(self) -> None:
        """Give all back; goes on by itself until each engine has answered or the hold is over."""
        if self._released:
            return
        self._released = True
        for task in self._renewing:
            task.cancel()
        for entry in self._engines:
            if not self._is_reborn(entry):
                start(self._release(entry)).addErrback(_note_end)

    async def _reserve(self, entry: TargetEntry, kind: CallKind) -> CallAnswer | None:
        """Have memory set aside or renewed; return the answer if it was."""
        lapses_s = self._clock.seconds() + self._hold_s
        try:
            call = reserve_call(self.name, self._tokens, self._hold_s, kind)
            answer = await call_target(self._clock, self._pool, entry, call, ORDER_TIMEOUT_S)
        except TargetBrokenError as exc:
            _log.info("no reservation", extra={"target": entry.name, "reason": str(exc)})
            return None
        if not answer.ok:
            return None
        self._held_until_s[entry.name] = lapses_s
        return answer

    async def _reserve_first(self, entry: TargetEntry) -> bool:
        answer = await self._reserve(entry, CallKind.SET_ASIDE)
        if answer is not None:
            # The engine knows better than its entry or report which start this is.
            self._born[entry.name] = decode_born(answer.body) or self._born[entry.name]
        return answer is not None

    async def _reserve_again(self, entry: TargetEntry) -> bool:
        """Renew; memory that a later start has set aside for this is given back at once."""
        answer = await self._reserve(entry, CallKind.RENEW)
        if answer is None:
            return False
        if 0 < self._born[entry.name] < decode_born(answer.body):
            self._ended.add(entry.name)
            start(self._release(entry)).addErrback(_note_end)
        return True

    def _is_reborn(self, entry: TargetEntry) -> bool:
        """Whether the start of an engine that has set memory aside is over."""
        is_later_known = 0 < self._born[entry.name] < self._born_of(entry.name)
        return is_later_known or entry.name in self._ended

    async def _renew(self, entry: TargetEntry) -> None:
        """Renew one engine's; on its own, so that a silent one delays no other."""
        await self._pause(entry, RENEW_SHARE * self._hold_s)
        while not self._is_reborn(entry):
            renewed = await self._reserve_again(entry)
            await self._pause(entry, RENEW_SHARE * self._hold_s if renewed else RENEW_AGAIN_S)

    async def _pause(self, entry: TargetEntry, pause_s: float) -> None:
        """Pause before a renewal; while its engine wants rest, for as long as the memory bears."""
        await sleep(self._clock, pause_s)
        held_s = self._held_until_s[entry.name] - self._clock.seconds()
        put_off_s = min(self._rest_of(entry.name), held_s - LATEST_RENEWAL_S)
        if put_off_s > 0:
            await sleep(self._clock, put_off_s)

    async def _release(self, entry: TargetEntry) -> None:
        call = release_call(self.name)
        for _ in range(RELEASE_TRIES):
            if not await self._rest_over(entry):
                return
            try:
                await call_target(self._clock, self._pool, entry, call, ORDER_TIMEOUT_S)
                return
            except TargetBrokenError as exc:
                _log.info("not released", extra={"target": entry.name, "reason": str(exc)})
            await sleep(self._clock, ORDER_TIMEOUT_S)

    async def _rest_over(self, entry: TargetEntry) -> bool:
        """Wait until an engine may be asked again; return False if its memory lapses before."""
        rest_s, now_s = self._rest_of(entry.name), self._clock.seconds()
        if not rest_s:
            return True
        if now_s + rest_s >= self._held_until_s.get(entry.name, now_s):
            return False
        await sleep(self._clock, rest_s)
        return True


def _was_cancelled(failure) -> bool:
    """Whether a task was cancelled, also while it waited for several orders at once."""
    inner = failure.value.subFailure if failure.check(defer.FirstError) else failure
    return bool(inner.check(defer.CancelledError))


def _note_end(failure) -> None:
    if not _was_cancelled(failure):
        _log.error("reservation's task failed", extra={"reason": failure.getTraceback()})
