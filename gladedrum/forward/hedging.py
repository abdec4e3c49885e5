"""Hedged attempts: a silent target keeps its request until another target has made progress.

Silence alone never ends an attempt. It starts a search for a further target; the request is sent
there only once the hedge has a placement, a retry grant and its memory reservations. The first
attempt that delivers something new wins and the others are ended. If an attempt fails, the others
go on. If silent attempts were ended first, streams that only pause while their engines read a long
prompt would be cut when no other target has room.
"""

import logging
from dataclasses import dataclass, field
from typing import Protocol as Interface

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..connections.messages import (
    AnswerEnd,
    CallerGone,
    Mailbox,
    Message,
    SearchEnded,
    TimedOut,
)
from ..utils import MAX_TIMER_LAG_S, start
from .attempt_ends import AttemptEnd, Done, Overtaken, Refused
from .attempts import Attempt
from .relaying import CallerGoneError

__all__ = ["HedgedAttempts", "HedgedRequest"]

MEMORY_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether a silent attempt still needs its helpers' memory, in seconds."""

SEARCH_AGAIN_S = 0.25
"""Pause after an unsuccessful search for a hedge, in seconds: some scheduling passes of an engine,
and short enough for several searches before a caller leaves."""

_log = logging.getLogger(__name__)


class HedgedRequest(Interface):
    """What `HedgedAttempts` needs from the task of its request."""

    def may_hedge(self, in_progress: int) -> bool:
        """Whether the request may run on one more target beside its attempts in progress."""

    async def search_hedge(self, silent: Attempt) -> Attempt | AttemptEnd:
        """Prepare a hedge of a silent attempt; return it, or why there is none."""

    def send_hedge(self, prepared: Attempt) -> None:
        """Send a hedge that was prepared by `search_hedge`."""

    def check_report(self, silent: Attempt) -> None:
        """Check with a report of the engine whether a silent attempt still runs there."""

    def check_end(self, ended: Attempt) -> None:
        """Check whether the target of an attempt lives on; `EndChecked` tells the result."""

    def is_silence_explained(self, silent: Attempt) -> bool:
        """Whether known work of the target explains the silence of an attempt."""

    def attempt_ended(self, ended: Attempt, end: AttemptEnd) -> None:
        """Handle the end of an attempt."""

    def time_up(self) -> Done:
        """Fail the request because its time is up; return how it ended."""


@dataclass
class HedgedAttempts:
    """The attempts of a request in progress, until one succeeds or all have ended.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    mailbox : Mailbox
        Receives the messages of the caller's and the targets' connections.
    deadline_s : float
        When the request times out, by the monotonic clock.
    first : Attempt
        The first attempt, already sent.
    request : HedgedRequest
        The task of the request.
    """

    clock: IReactorTime
    mailbox: Mailbox
    deadline_s: float
    first: Attempt
    request: HedgedRequest
    _attempts: list[Attempt] = field(default_factory=list, init=False)
    _searching: bool = field(default=False, init=False)
    _hedge_wanted: bool = field(default=False, init=False)
    _found: Attempt | AttemptEnd | None = field(default=None, init=False)
    _last_end: AttemptEnd | None = field(default=None, init=False)
    _caller_reads: bool = field(default=True, init=False)
    _memory_checked_s: float = field(default=float("-inf"), init=False)

    def __post_init__(self) -> None:
        self._attempts.append(self.first)

    def set_reading(self, on: bool) -> None:
        """Pause or resume the silence checks, as the caller stops or resumes reading.

        Targets are not read while the caller is too slow, so they only appear to be silent.
        """
        self._caller_reads = on
        self._hedge_wanted = self._hedge_wanted and on
        # Wakes `run`, which computes the time of the next check.
        self.mailbox.put(TimedOut())

    def end_now(self) -> None:
        """End the request as if its time were up."""
        self.deadline_s = min(self.deadline_s, self.clock.seconds())
        # Wakes `run`, which sees the deadline.
        self.mailbox.put(TimedOut())

    def on_target_restarted(self, name: str) -> None:
        """Search for a hedge at once if an attempt ran on a target that has restarted."""
        now_s = self.clock.seconds()
        self._check_now([other for other in self._attempts if other.note_restart(name, now_s)])

    def on_link_silent(self) -> None:
        """Search for a hedge at once if an attempt runs over a link that has fallen silent."""
        self._check_now([other for other in self._attempts if other.link_is_silent()])

    def _check_now(self, affected: list[Attempt]) -> None:
        now_s = self.clock.seconds()
        for attempt in affected:
            attempt.relay.next_check_s = min(attempt.relay.next_check_s, now_s)
        if affected:
            # Wakes `run`, which checks at once.
            self.mailbox.put(TimedOut())

    async def run(self) -> AttemptEnd:
        """Return how the last attempt ended; raises `CallerGoneError` if the caller has left."""
        end = None
        while end is None:
            due_s = min(
                self.deadline_s,
                self._next_check_s(),
                self._next_memory_check_s(),
                self._next_error_s(),
            )
            message = await self.mailbox.get(due_s)
            end = self._handle(message)
        return end

    def _handle(self, message: Message) -> AttemptEnd | None:
        match message:
            case CallerGone(reason=reason):
                raise CallerGoneError(reason)
            case TimedOut():
                now_s = self.clock.seconds()
                self._check_memory(now_s)
                end = self._check_errors(now_s)
                return self._check_silence(now_s) if end is None else end
            case SearchEnded():
                return self._handle_search_result()
            case _:
                return self._handle_answer(message)

    # Messages of the targets' connections.

    def _handle_answer(self, message: Message) -> AttemptEnd | None:
        attempt = next(
            (other for other in self._attempts if other.exchange.attempt == message.attempt), None
        )
        if attempt is None:
            return None
        attempt.relay.made_progress = False
        end = attempt.relay.handle(message)
        if isinstance(message, AnswerEnd) and attempt.relay.awaits_check:
            self.request.check_end(attempt)
        if attempt.relay.made_progress:
            self._cancel_others(attempt)
        return None if end is None else self._end(attempt, end)

    def _cancel_others(self, winner: Attempt) -> None:
        """End all attempts except the one that has made progress.

        An older attempt counts as failed unless its silence is explained.
        """
        self._hedge_wanted = False
        before = self._attempts.index(winner)
        for index, attempt in enumerate(self._attempts):
            if attempt is not winner:
                failed = index < before and not attempt.silence_is_explained
                self.request.attempt_ended(attempt, Overtaken(failed))
        self._attempts = [winner]

    def _end(self, attempt: Attempt, end: AttemptEnd) -> AttemptEnd | None:
        """Remove an ended attempt; return its end if there is nothing left to wait for."""
        self._attempts.remove(attempt)
        self.request.attempt_ended(attempt, end)
        if isinstance(end, Done) or attempt.relay.is_unresumable:
            return end
        self._last_end = end
        self._postpone_search()
        return None if self._attempts or self._searching else end

    # Errors whose texts do not come.

    def _next_error_s(self) -> float:
        """Return when the text of an error is late, by the monotonic clock."""
        if not self._caller_reads:
            return float("inf")
        return min((other.relay.error_due_s for other in self._attempts), default=float("inf"))

    def _check_errors(self, now_s: float) -> AttemptEnd | None:
        """End an attempt whose error's text is late, before the request's time is up."""
        late_s = now_s - self._next_error_s()
        if late_s < 0 or now_s >= self.deadline_s:
            return None
        attempt = min(self._attempts, key=lambda other: other.relay.error_due_s)
        if late_s > MAX_TIMER_LAG_S:
            # This process may have been suspended; answers that have come are handled first.
            attempt.relay.postpone_error(MAX_TIMER_LAG_S)
            return None
        return self._end(attempt, attempt.relay.end_error())

    # Silence.

    def _next_check_s(self) -> float:
        """Return when the newest attempt is due for a silence check, by the monotonic clock.

        Never once a part was sent that no other attempt can continue: the parts of two would mix.
        """
        if not self._attempts or self._searching or not self._caller_reads:
            return float("inf")
        if any(other.relay.is_unresumable for other in self._attempts):
            return float("inf")
        if not self.request.may_hedge(len(self._attempts)):
            return float("inf")
        return self._attempts[-1].relay.next_check_s

    def _unfollowed(self) -> list[Attempt]:
        """Return the attempts whose silence starts no search, so that no report is asked for."""
        if self.request.may_hedge(len(self._attempts)):
            return self._attempts[:-1]
        return self._attempts

    def _next_memory_check_s(self) -> float:
        """Return when reports have to show whether such attempts still need reserved memory."""
        if not self._caller_reads:
            return float("inf")
        due_s = min((other.memory_check_s for other in self._unfollowed()), default=float("inf"))
        return max(due_s, self._memory_checked_s + MEMORY_CHECK_INTERVAL_S)

    def _check_memory(self, now_s: float) -> None:
        late_s = now_s - self._next_memory_check_s()
        if late_s < 0:
            return
        self._memory_checked_s = now_s
        if late_s > MAX_TIMER_LAG_S:
            # This process may have been suspended; answers that have come are handled first.
            return
        for attempt in self._unfollowed():
            if attempt.memory_check_s <= now_s:
                self.request.check_report(attempt)

    def _check_silence(self, now_s: float) -> AttemptEnd | None:
        if now_s >= self.deadline_s:
            return self.request.time_up()
        late_s = now_s - self._next_check_s()
        if late_s < 0:
            return None
        silent = self._attempts[-1]
        if MAX_TIMER_LAG_S < late_s < float("inf"):
            silent.relay.postpone_check(MAX_TIMER_LAG_S)
            return None
        if not silent.relay.needs_hedge(now_s):
            self.request.check_report(silent)
        else:
            self._searching = self._hedge_wanted = True
            silent.silence_is_explained |= self.request.is_silence_explained(silent)
            searching = start(self.request.search_hedge(silent))
            searching.addErrback(_log_search_failure).addCallback(self._search_ended)
        return None

    def _search_ended(self, found: Attempt | AttemptEnd) -> None:
        self._found = found
        self.mailbox.put(SearchEnded())

    def _handle_search_result(self) -> AttemptEnd | None:
        """Send the hedge that was found, unless an attempt has made progress meanwhile."""
        found, self._found, self._searching = self._found, None, False
        if isinstance(found, Attempt):
            if self._hedge_wanted or not self._attempts:
                self.request.send_hedge(found)
                self._attempts.append(found)
                return None
            found.end(gossip.WITHDRAWN)
        self._postpone_search()
        return None if self._attempts else self._last_end

    def _postpone_search(self) -> None:
        """Delay the next silence check of the newest attempt, and so the next search."""
        if self._attempts:
            self._attempts[-1].relay.postpone_check(SEARCH_AGAIN_S)


def _log_search_failure(failure) -> Refused:
    _log.error("search for a hedge failed", extra={"reason": failure.getTraceback()})
    return Refused("a fault of this box", at_target=False)
