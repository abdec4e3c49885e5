"""The queue and the reservations of one target, as its owner keeps them.

Memory is reserved for a request's whole life before it starts and never beyond the engine's
size. The queue estimates the engine's backlog from what was granted, what has been reported
since, and the time that has passed; the estimate is corrected by how long first tokens
really took.
"""

import itertools
import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .decisions import Expected, Grant, Offered, Queued, Quote, Refused
from .jobs import PREFIX_GROWTH, PREFIX_STEP_TOKENS, EngineTraits, Job
from .policies.core import Policy, QueueState

__all__ = ["QueueLimits", "Reservation", "TargetQueue"]

_SPEED_SMOOTHING = 0.02
_TOKEN_SMOOTHING = 0.1
_BUSY_STEP_FACTOR = 2.5
_REMEMBERED_PREFIXES = 2_048
# A shorter prefill mostly measures the engine's step and the messages.
_LEAST_LEARNED_S = 0.2
_NOISE_FACTOR = 1.25
_MOST_PASSING_SHARE = 0.9
_NO_WORK_S = 1e-9
_MIN_FACTOR, _MAX_FACTOR = 0.5, 20.0


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds of a target's queue.

    Parameters
    ----------
    max_queued : int
        The most requests that wait.
    max_running : int
        The most requests that hold a reservation.
    renewal_s : float
        A reservation that its entry box does not renew for so long is dropped, in seconds.
    margin : float
        By how much expected times are stretched before they are held against a deadline.
    """

    max_queued: int = 256
    max_running: int = 64
    renewal_s: float = 15.0
    margin: float = 1.25


@dataclass(slots=True)
class Reservation:
    """A request that holds memory on the target.

    Parameters
    ----------
    job : Job
        The request.
    policy : Policy
        The policy that it came under.
    priority : int
        What the engine was told.
    granted_s : float
        When it was granted.
    prefill_s : float
        The expected duration of its prefill alone.
    remaining_s : float
        The part of it that is expected to be still ahead.
    renewed_s : float
        When its entry box last spoke of it.
    first_token_s : float or None
        When its first token came.
    none_ahead : bool
        True if no prefill with a higher priority was under way when it was granted.
    completed_s : float
        The queue's `completed_prefill_s` when it was granted.
    """

    job: Job
    policy: Policy
    priority: int
    granted_s: float
    prefill_s: float
    remaining_s: float
    renewed_s: float
    first_token_s: float | None = None
    none_ahead: bool = False
    completed_s: float = 0.0


@dataclass(slots=True)
class _Waiting:
    job: Job
    policy: Policy
    prefill_s: float


class _Work(NamedTuple):
    """Engine time that was granted."""

    at_s: float
    organisation: str
    seconds: float
    length_tokens: int


@dataclass
class TargetQueue:
    """Queue, reservations and estimates of one engine.

    Parameters
    ----------
    traits : EngineTraits
        The engine's size and speed.
    limits : QueueLimits
        Bounds.
    """

    traits: EngineTraits
    limits: QueueLimits = field(default_factory=QueueLimits)
    running: dict[str, Reservation] = field(default_factory=dict)
    waiting: dict[str, _Waiting] = field(default_factory=dict)
    speed_factor: float = 1.0
    completed_prefill_s: float = 0.0
    token_s: float = 0.0
    work_done_s: dict[str, float] = field(default_factory=dict)
    _prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _advanced_s: float = 0.0
    _withheld_tokens: int = 0
    _recent: deque[_Work] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.token_s = self.token_s or self.traits.decode_step_s * _BUSY_STEP_FACTOR

    @property
    def reserved_tokens(self) -> int:
        """The memory that reservations hold, in tokens."""
        return sum(r.job.memory_tokens for r in self.running.values())

    @property
    def free_tokens(self) -> int:
        """The memory that can still be reserved, in tokens."""
        return self.traits.memory_tokens - self.reserved_tokens - self._withheld_tokens

    def withhold(self, tokens: int) -> None:
        """Keep so much memory out of use, because the engine's own report lacks it."""
        self._withheld_tokens = max(0, min(tokens, self.traits.memory_tokens))

    # Taking requests in.

    def offer(self, job: Job, policy: Policy, now_s: float) -> Offered:
        """Put a request into the queue or refuse it; grants come from `pump`."""
        quote = self.quote(job, policy, now_s)
        if quote.refused is not None:
            return quote.refused
        self.waiting[job.job_id] = _Waiting(job, policy, self._prefill_s(job))
        return Queued(job)

    def quote(self, job: Job, policy: Policy, now_s: float) -> Quote:
        """Return what is expected of a request if it came now; nothing is changed."""
        self.advance(now_s)
        if job.memory_tokens > self.traits.memory_tokens:
            message = f"{job.memory_tokens} tokens do not fit into {self.traits.memory_tokens}"
            return Quote(0.0, float("inf"), Refused(message, 60.0))
        state = self._state(now_s)
        expected = self._expected(job, policy, state, now_s)
        cost = policy.cost(job, expected, state, now_s)
        refused = self._refusal(job, expected.first_token_s, now_s)
        return Quote(expected.first_token_s, cost, refused)

    def pump(self, now_s: float) -> list[Grant]:
        """Grant what may start now and return the grants, in order."""
        self.advance(now_s)
        grants = []
        state = self._state(now_s)
        for waiting in self._in_order(now_s):
            if not self._fits(waiting.job) or not waiting.policy.may_start(
                waiting.job, state, now_s
            ):
                if waiting.policy.blocks(waiting.job, state, now_s):
                    break
                continue
            del self.waiting[waiting.job.job_id]
            grants.append(self._grant(waiting, now_s))
            state = self._state(now_s)
        return grants

    def drop_late(self, now_s: float) -> list[Job]:
        """Take out and return the waiting requests that can no longer make their time."""
        late = [
            w.job
            for w in self.waiting.values()
            if now_s + w.prefill_s + self._decode_s(w.job) > w.job.deadline_s
        ]
        for job in late:
            del self.waiting[job.job_id]
        return late

    # What entry boxes report.

    def first_token(self, job_id: str, now_s: float) -> None:
        """Note that a request's first token has come."""
        self.advance(now_s)
        reservation = self.running.get(job_id)
        if reservation is None or reservation.first_token_s is not None:
            return
        reservation.first_token_s = now_s
        self._learn_speed(reservation, now_s)
        reservation.remaining_s = 0.0
        for digest in reservation.job.prefix:
            self._prefixes[digest] = None
            self._prefixes.move_to_end(digest)
        while len(self._prefixes) > _REMEMBERED_PREFIXES:
            self._prefixes.popitem(last=False)

    def release(self, job_id: str, now_s: float) -> bool:
        """Give back what a request holds or its place in the queue; False if it has neither."""
        self.advance(now_s)
        if self.waiting.pop(job_id, None) is not None:
            return True
        reservation = self.running.pop(job_id, None)
        if reservation is None:
            return False
        if reservation.first_token_s is not None and reservation.job.output_tokens > 1:
            token_s = (now_s - reservation.first_token_s) / reservation.job.output_tokens
            self.token_s += _TOKEN_SMOOTHING * (token_s - self.token_s)
        return True

    def adopt(self, job: Job, policy: Policy, now_s: float) -> None:
        """Renew a running request's reservation, or take it over from an earlier owner.

        What already runs is never refused, so memory can be reserved beyond the engine's size
        for a while after a change of owner; nothing new is granted until it is below again.
        """
        self.advance(now_s)
        reservation = self.running.get(job.job_id)
        if reservation is not None:
            reservation.renewed_s = now_s
            return
        self.waiting.pop(job.job_id, None)
        prefill_s = self._prefill_s(job)
        self.running[job.job_id] = Reservation(
            job,
            policy,
            policy.priority(job, self._state(now_s), now_s),
            now_s,
            prefill_s,
            prefill_s,
            now_s,
        )

    def renew(self, job_id: str, now_s: float) -> None:
        """Renew a reservation, if there is one of this name."""
        if job_id in self.running:
            self.running[job_id].renewed_s = now_s

    def expire(self, now_s: float) -> list[Job]:
        """Drop and return the reservations that nobody has renewed in time."""
        lost = [r.job for r in self.running.values() if now_s - r.renewed_s > self.limits.renewal_s]
        for job in lost:
            del self.running[job.job_id]
        return lost

    # Estimates.

    def advance(self, now_s: float) -> None:
        """Let the time since the last call pass over the expected remaining prefills."""
        passed_s = (now_s - self._advanced_s) / self.speed_factor
        self._advanced_s = now_s
        for reservation in self._prefilling():
            if passed_s <= 0:
                return
            used_s = min(passed_s, reservation.remaining_s)
            reservation.remaining_s -= used_s
            passed_s -= used_s

    def cached_tokens(self, job: Job) -> int:
        """Return how much of the prompt is expected in the engine's prefix cache, in tokens."""
        hits = sum(1 for _ in itertools.takewhile(self._prefixes.__contains__, job.prefix))
        length = PREFIX_STEP_TOKENS * PREFIX_GROWTH ** (hits - 1) if hits else 0
        return min(job.prompt_tokens - 1, length)

    @property
    def _trusted_factor(self) -> float:
        """The speed factor, or 1 where it may be noise.

        Small differences between engines would make every box prefer the same one.
        """
        is_noise = 1 / _NOISE_FACTOR < self.speed_factor < _NOISE_FACTOR
        return 1.0 if is_noise else self.speed_factor

    def _prefilling(self) -> list[Reservation]:
        ahead = (r for r in self.running.values() if r.remaining_s > 0)
        return sorted(ahead, key=lambda r: (r.priority, r.granted_s))

    def _prefill_s(self, job: Job) -> float:
        start = job.start_tokens or self.cached_tokens(job)
        return self.traits.prefill_s(job.start_tokens + job.prompt_tokens, start)

    def _decode_s(self, job: Job) -> float:
        return job.output_tokens * self.token_s

    def _expected(self, job: Job, policy: Policy, state: QueueState, now_s: float) -> Expected:
        priority = policy.priority(job, state, now_s)
        key = policy.queue_key(job, state, now_s)
        own_s = self._prefill_s(job)
        ahead_s = passed_per_s = 0.0
        for reservation in self._prefilling():
            if reservation.priority <= priority:
                ahead_s += reservation.remaining_s
            else:
                passed_per_s += 1 / reservation.prefill_s
        for waiting in self.waiting.values():
            if waiting.policy.queue_key(waiting.job, state, now_s) <= key:
                ahead_s += waiting.prefill_s
            else:
                passed_per_s += 1 / waiting.prefill_s
        work_s = (ahead_s + own_s) * self._trusted_factor
        if job.is_long:
            # Shorter prompts that are yet to come will pass it.
            work_s /= 1 - self._passing_share(job, now_s)
        first_token_s = max(work_s, self._memory_wait_s(job, now_s)) + self.traits.decode_step_s
        return Expected(first_token_s, own_s, passed_per_s)

    def _memory_wait_s(self, job: Job, now_s: float) -> float:
        queued = sum(w.job.memory_tokens for w in self.waiting.values())
        needed = job.memory_tokens + queued - self.free_tokens
        if needed <= 0:
            return 0.0
        ends = sorted((self._end_s(r, now_s), r.job.memory_tokens) for r in self.running.values())
        for end_s, tokens in ends:
            needed -= tokens
            if needed <= 0:
                return max(0.0, end_s - now_s)
        return max((end_s for end_s, _ in ends), default=now_s) - now_s + self._prefill_s(job)

    def _end_s(self, reservation: Reservation, now_s: float) -> float:
        job = reservation.job
        if reservation.first_token_s is not None:
            return reservation.first_token_s + self._decode_s(job)
        return now_s + reservation.remaining_s * self.speed_factor + self._decode_s(job)

    def _learn_speed(self, reservation: Reservation, now_s: float) -> None:
        """Compare the time since a grant with the prefills that were done in it.

        If nothing was ahead of the request, the engine has done its prefill since and those
        that passed it, and nothing else.
        """
        done_s = self.completed_prefill_s - reservation.completed_s + reservation.prefill_s
        self.completed_prefill_s += reservation.prefill_s
        if not reservation.none_ahead or done_s < _LEAST_LEARNED_S:
            return
        factor = (now_s - reservation.granted_s) / done_s
        change = _SPEED_SMOOTHING * (factor - self.speed_factor)
        self.speed_factor = min(_MAX_FACTOR, max(_MIN_FACTOR, self.speed_factor + change))

    # Decisions.

    def _refusal(self, job: Job, first_token_s: float, now_s: float) -> Refused | None:
        if len(self.waiting) >= self.limits.max_queued:
            return Refused("the target's queue is full", max(1.0, first_token_s))
        expected_s = first_token_s + self._later_segments_s(job, now_s) + self._decode_s(job)
        expected_s *= self.limits.margin
        late_s = now_s + expected_s - job.deadline_s
        if late_s > 0:
            reason = f"it would take about {expected_s:.1f} s, more than the time it has"
            return Refused(reason, max(1.0, late_s))
        return None

    def _later_segments_s(self, job: Job, now_s: float) -> float:
        """Return the time for the rest of a long prompt, if this is its first segment."""
        if not job.whole_tokens or job.start_tokens:
            return 0.0
        rest_s = self.traits.prefill_s(job.whole_tokens, job.prompt_tokens)
        return rest_s * self._trusted_factor / (1 - self._passing_share(job, now_s))

    def _passing_share(self, job: Job, now_s: float) -> float:
        """Return the share of the engine's recent time that went to shorter prompts."""
        since_s = now_s - Policy.fairness_window_s
        shorter_s = sum(
            work.seconds
            for work in self._recent
            if work.length_tokens < job.length_tokens and work.at_s > since_s
        )
        return min(_MOST_PASSING_SHARE, shorter_s / Policy.fairness_window_s)

    def _in_order(self, now_s: float) -> list[_Waiting]:
        state = self._state(now_s)
        return sorted(self.waiting.values(), key=lambda w: w.policy.queue_key(w.job, state, now_s))

    def _fits(self, job: Job) -> bool:
        has_slot = len(self.running) < self.limits.max_running
        return has_slot and job.memory_tokens <= self.free_tokens

    def _grant(self, waiting: _Waiting, now_s: float) -> Grant:
        job = waiting.job
        priority = waiting.policy.priority(job, self._state(now_s), now_s)
        none_ahead = all(r.priority > priority for r in self._prefilling())
        self.running[job.job_id] = Reservation(
            job,
            waiting.policy,
            priority,
            now_s,
            waiting.prefill_s,
            waiting.prefill_s,
            now_s,
            none_ahead=none_ahead,
            completed_s=self.completed_prefill_s,
        )
        self._note_work(job, waiting.prefill_s, now_s)
        return Grant(job, priority)

    def _note_work(self, job: Job, prefill_s: float, now_s: float) -> None:
        work_s = prefill_s + self._decode_s(job) / self.limits.max_running
        self._recent.append(_Work(now_s, job.organisation, work_s, job.length_tokens))
        self.work_done_s[job.organisation] = self.work_done_s.get(job.organisation, 0) + work_s
        while self._recent and self._recent[0].at_s < now_s - Policy.fairness_window_s:
            old = self._recent.popleft()
            left_s = self.work_done_s[old.organisation] - old.seconds
            if left_s > _NO_WORK_S:
                self.work_done_s[old.organisation] = left_s
            else:
                del self.work_done_s[old.organisation]

    def _state(self, now_s: float) -> QueueState:
        return QueueState(
            memory_tokens=self.traits.memory_tokens,
            free_tokens=self.free_tokens,
            running=len(self.running),
            waiting=len(self.waiting),
            long_tokens=sum(r.job.memory_tokens for r in self.running.values() if r.job.is_long),
            long_prefills=tuple(r.job.length_tokens for r in self._long_prefilling()),
            long_step_s=self._long_step_s(),
            outstanding_tokens=self._outstanding_tokens(),
            work_done_s=self.work_done_s,
            least_served_s=self._least_served_s(),
        )

    def _least_served_s(self) -> float:
        jobs = (w.job for w in self.waiting.values())
        served = (self.work_done_s.get(j.organisation, 0.0) / j.weight for j in jobs)
        return min(served, default=math.inf)

    def _long_step_s(self) -> float:
        """Return the duration of a prefill step at the expected position of a long prompt."""
        traits = self.traits
        chunk = traits.chunk_tokens
        steps = (
            traits.prefill_s(position + chunk, position)
            for position in (
                int(r.job.prompt_tokens * (1 - r.remaining_s / r.prefill_s))
                for r in self._long_prefilling()
            )
        )
        return max(steps, default=0.0)

    def _long_prefilling(self) -> list[Reservation]:
        # A later segment of a long prompt waits for the earlier ones, for most of its time.
        return [
            r
            for r in self.running.values()
            if r.first_token_s is None and r.job.is_long and not r.job.start_tokens
        ]

    def _outstanding_tokens(self) -> int:
        jobs: Iterable[Job] = itertools.chain(
            (r.job for r in self.running.values()), (w.job for w in self.waiting.values())
        )
        return sum(job.memory_tokens for job in jobs)
