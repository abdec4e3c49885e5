"""The owner of one target: polls it, keeps its queue and grants reservations.

Each target has one owner among the boxes; `peers.membership` decides which. A box acts as owner
of any target for which it receives a request, so boxes that disagree on the owner are both served.
"""

import logging
import time
from collections.abc import Awaitable, Callable

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..config import Item, Settings
from ..errors import TargetBrokenError, TargetUnreachableError
from ..platform import Target
from ..scheduling import Grant, Job, QueueEngineTraits, QueueLimits, Quote, Refused, TargetQueue
from ..scheduling.policies import Policy
from .engine import EngineClient, EngineSession

__all__ = [
    "DEFAULT_POLICY",
    "LEAVING_REASON",
    "MAX_QUEUED",
    "MAX_RUNNING",
    "ORPHAN_GRACE",
    "RENEWAL",
    "DecisionClock",
    "TargetOwner",
]

MAX_QUEUED = Item(
    "targets", "max_queued", 256, "The most requests that wait for one target.", minimum=1
)
MAX_RUNNING = Item(
    "targets", "max_running", 64, "The most requests that hold memory on one target.", minimum=1
)
RENEWAL = Item(
    "targets", "renewal_s", 30.0,
    "A reservation that its entry box has not renewed for so long is dropped.",
    unit="s", minimum=0.1, maximum=600,
)  # fmt: skip
ORPHAN_GRACE = Item(
    "targets", "orphan_grace_s", 5.0,
    "How long a session may be on a target without a reservation before its box is asked for it.",
    unit="s", minimum=0.1, maximum=600,
)  # fmt: skip
DEFAULT_POLICY = Item(
    "targets", "default_policy", "fair_slack",
    "The policy of request classes for which the table names none.",
)  # fmt: skip

LEAVING_REASON = "the owner of the target is leaving"
"""Refusal reason that tells an entry box to ask the target's next owner."""

_FAILURES_BEFORE_DISTRUST = 2
_DISTRUST_RETRY_AFTER_S = 2.0
_IDLE_S = 60.0

_log = logging.getLogger(__name__)

AskLiveSessions = Callable[[str, list[str]], Awaitable[list[str] | None]]
"""Asks a box, by name, which of some sessions it still waits for; None if this is unknown."""


class DecisionClock:
    """A monotonic clock that starts at the wall-clock time.

    Arrivals, deadlines and reservations are expressed in its time, which is comparable between
    boxes as far as their wall clocks agree, and never jumps.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    wall_s : float, optional
        Current wall-clock time, in seconds since the epoch.
    """

    def __init__(self, clock: IReactorTime, wall_s: float | None = None):
        self._clock = clock
        self._offset_s = (time.time() if wall_s is None else wall_s) - clock.seconds()

    def now_s(self) -> float:
        """Return the time, in seconds."""
        return self._clock.seconds() + self._offset_s


class TargetOwner:
    """Queue, reservations and health of one target.

    Parameters
    ----------
    target : Target
        The target as listed in the directory.
    engine : EngineClient
        Client of the target.
    cfg : Settings
        Source of the ``[targets]`` settings.
    clock : DecisionClock
        Clock for queueing and reservations.
    ask_live_sessions : callable
        Asks a box which sessions it waits for; see `AskLiveSessions`.
    """

    def __init__(
        self,
        target: Target,
        engine: EngineClient,
        cfg: Settings,
        clock: DecisionClock,
        ask_live_sessions: AskLiveSessions,
    ):
        traits = QueueEngineTraits(
            target.memory_tokens,
            target.prefill_tokens_per_s,
            target.attention_tokens,
            target.decode_step_s,
            target.chunk_tokens,
        )
        limits = QueueLimits(cfg.get(MAX_QUEUED), cfg.get(MAX_RUNNING), cfg.get(RENEWAL))
        self.target = target
        self.queue = TargetQueue(traits, limits)
        self.last_used_s = clock.now_s()
        self._engine = engine
        self._clock = clock
        self._orphan_grace_s = cfg.get(ORPHAN_GRACE)
        self._ask_live_sessions = ask_live_sessions
        self._pending_answers: dict[str, defer.Deferred[Grant | Refused]] = {}
        self._failures = 0
        self._polling = False
        self._sessions_known = False
        self._unreserved_since: dict[str, float] = {}

    @property
    def sessions_known(self) -> bool:
        """True once the target has listed its sessions; nothing is granted before that."""
        return self._sessions_known

    @property
    def distrusted(self) -> bool:
        """True if the target has failed to answer the last polls."""
        return self._failures >= _FAILURES_BEFORE_DISTRUST

    @property
    def idle(self) -> bool:
        """True if nothing runs or waits and no request has come for `_IDLE_S`."""
        busy = self.queue.running or self.queue.waiting
        return not busy and self._clock.now_s() - self.last_used_s > _IDLE_S

    def quote(self, job: Job, chosen: Policy) -> Quote:
        """Return the target's quote for a request."""
        self.last_used_s = self._clock.now_s()
        if self.distrusted:
            refused = Refused("the target does not answer", _DISTRUST_RETRY_AFTER_S)
            return Quote(0.0, float("inf"), refused)
        return self.queue.quote(job, chosen, self.last_used_s)

    def reserve(self, job: Job, chosen: Policy) -> defer.Deferred[Grant | Refused]:
        """Queue a request; the deferred fires when it is granted or refused."""
        self.last_used_s = self._clock.now_s()
        if job.job_id in self._pending_answers:
            return defer.succeed(Refused("this request already waits here", 1.0))
        if self.distrusted:
            return defer.succeed(Refused("the target does not answer", _DISTRUST_RETRY_AFTER_S))
        offered = self.queue.offer(job, chosen, self.last_used_s)
        if isinstance(offered, Refused):
            return defer.succeed(offered)
        answer: defer.Deferred[Grant | Refused] = defer.Deferred(
            lambda _answer: self.release(job.job_id)
        )
        self._pending_answers[job.job_id] = answer
        self.grant_ready()
        return answer

    def first_token(self, job_id: str) -> None:
        """Record that a request has produced its first token."""
        self.queue.first_token(job_id, self._clock.now_s())
        self.grant_ready()

    def release(self, job_id: str) -> None:
        """Release a request's reservation and grant the waiting requests that now fit."""
        self._pending_answers.pop(job_id, None)
        if self.queue.release(job_id, self._clock.now_s()):
            self.grant_ready()

    def renew(self, job: Job, chosen: Policy) -> None:
        """Renew a request's reservation, or take it over from another owner."""
        self.last_used_s = self._clock.now_s()
        self.queue.adopt(job, chosen, self.last_used_s)

    def tick(self) -> None:
        """Drop what has expired, then grant the requests that now fit.

        Drops reservations that were not renewed, and waiting requests that can no longer be
        completed before their deadline.
        """
        now_s = self._clock.now_s()
        if not self.queue.running and not self.queue.waiting:
            return
        for job in self.queue.expire(now_s):
            _log.warning(
                "reservation expired",
                extra={"session_id": job.job_id, "entry_box": job.entry_box},
            )
        for job in self.queue.drop_late(now_s):
            self._answer(job.job_id, Refused("its time would be up before it is done", 1.0))
        self.grant_ready()

    def grant_ready(self) -> None:
        """Grant the waiting requests that can start now.

        Does nothing until the target has listed its sessions, because they occupy its memory.
        """
        if not self._sessions_known:
            return
        for grant in self.queue.pump(self._clock.now_s()):
            self._answer(grant.job.job_id, grant)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all waiting requests, so that they are placed on other targets."""
        for job_id in list(self.queue.waiting):
            self.queue.release(job_id, self._clock.now_s())
            self._answer(job_id, Refused(reason, 1.0))

    async def poll(self) -> None:
        """Fetch the target's sessions, and cancel those that no box waits for."""
        if self._polling:
            return
        self._polling = True
        try:
            await self._poll_once()
        finally:
            self._polling = False

    async def _poll_once(self) -> None:
        try:
            sessions = await self._engine.sessions()
        except (TargetUnreachableError, TargetBrokenError) as exc:
            self._failures += 1
            if self._failures == _FAILURES_BEFORE_DISTRUST:
                _log.warning(
                    "target distrusted",
                    extra={"target": self.target.name, "reason": str(exc)},
                )
                self.refuse_waiting("the target does not answer")
            return
        self._failures = 0
        unreserved = [s for s in sessions if s.session_id not in self.queue.running]
        # Sessions without a reservation here still occupy the engine's memory.
        self.queue.withhold(sum(s.memory_tokens for s in unreserved if s.running))
        self._sessions_known = True
        self.grant_ready()
        await self._cancel_orphans(unreserved)

    async def _cancel_orphans(self, unreserved: list[EngineSession]) -> None:
        now_s = self._clock.now_s()
        since = self._unreserved_since
        self._unreserved_since = {s.session_id: since.get(s.session_id, now_s) for s in unreserved}
        old = [
            s
            for s in unreserved
            if now_s - self._unreserved_since[s.session_id] >= self._orphan_grace_s
        ]
        for box in {s.owner for s in old}:
            await self._cancel_orphans_of(box, [s.session_id for s in old if s.owner == box])

    async def _cancel_orphans_of(self, box: str, session_ids: list[str]) -> None:
        live = await self._ask_live_sessions(box, session_ids)
        if live is None:
            return
        for session_id in set(session_ids) - set(live):
            _log.warning(
                "cancelling orphaned session",
                extra={"session_id": session_id, "target": self.target.name, "entry_box": box},
            )
            try:
                await self._engine.cancel(session_id)
            except (TargetUnreachableError, TargetBrokenError):
                return

    def _answer(self, job_id: str, answer: Grant | Refused) -> None:
        waiting = self._pending_answers.pop(job_id, None)
        if waiting is not None:
            waiting.callback(answer)
