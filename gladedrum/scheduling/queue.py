"""Queue and reservations of one target, kept by the target's owner.

A request starts only once the memory for its whole life is reserved. The sum of granted
reservations never exceeds the engine's memory. The queue estimates the engine's backlog from what
it has granted, from the first tokens reported since and from the time that has passed. It corrects
its estimate of the engine's slowdown by the actual times to the first token.
"""

import itertools
import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .decisions import Expected, Grant, Offered, Queued, Quote, Refused
from .jobs import PREFIX_GROWTH, PREFIX_STEP_TOKENS, Job, QueueEngineTraits
from .policies.core import Policy, QueueState

__all__ = ["QueueLimits", "Reservation", "TargetQueue"]

_SLOWDOWN_SMOOTHING = 0.02
"""Weight of the newest sample in the moving average of the slowdown factor."""

_TOKEN_SMOOTHING = 0.1
"""Weight of the newest sample in the moving average of the time per output token."""

_INITIAL_TOKEN_TIME_FACTOR = 2.5
"""Initial estimate of the time per output token, as a multiple of a step without prefill."""

_MAX_PREFIXES = 2_048
"""Maximum number of prefix digests that are assumed to be in the engine's cache."""

_MIN_SAMPLE_S = 0.2
"""Shorter prefills are not used as samples: step time and message delays dominate them."""

_SLOWDOWN_NOISE_FACTOR = 1.25
"""Slowdown factors within this ratio of 1 are treated as 1."""

_MAX_OVERTAKING_SHARE = 0.9
"""Upper bound of the time share of overtaking requests, which keeps expected times finite."""

_WORK_EPSILON_S = 1e-9
"""Less engine time than this is rounding error and counts as none."""

_MIN_SLOWDOWN_FACTOR, _MAX_SLOWDOWN_FACTOR = 0.5, 20.0


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Limits of a target's queue.

    Parameters
    ----------
    max_queued : int
        Maximum number of waiting requests.
    max_running : int
        Maximum number of requests that hold a reservation.
    renewal_s : float
        A reservation expires if the request's entry box does not renew it within this time, in
        seconds.
    margin : float
        Safety factor on the expected duration when it is compared with a deadline.
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
        The policy in force when it was accepted.
    priority : int
        Its priority on the engine; lower goes first.
    granted_s : float
        Time of the grant.
    prefill_s : float
        Expected duration of its prefill without others, in seconds.
    remaining_s : float
        Expected remainder of `prefill_s`, in seconds.
    renewed_s : float
        Time of the last renewal by its entry box.
    first_token_s : float or None
        Time of its first token, None before.
    none_ahead : bool
        True if no prefill with the same or a higher priority was running at the time of the grant.
    completed_prefill_s : float
        The queue's `completed_prefill_s` at the time of the grant.
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
    completed_prefill_s: float = 0.0


@dataclass(slots=True)
class _Waiting:
    job: Job
    policy: Policy
    prefill_s: float


class _GrantedTime(NamedTuple):
    """Engine time granted to a request, from which the shares of organisations are computed."""

    at_s: float
    organisation: str
    seconds: float
    length_tokens: int


@dataclass
class TargetQueue:
    """Queue, reservations and estimates of one engine.

    Parameters
    ----------
    traits : QueueEngineTraits
        The engine's size and speed.
    limits : QueueLimits
        Limits of the queue.

    Attributes
    ----------
    running, waiting : dict
        Reservations and waiting requests, by job id.
    slowdown_factor : float
        Estimated factor by which prefills take longer than `traits` say.
    completed_prefill_s : float
        Sum of the expected durations of all completed prefills, in seconds.
    token_s : float
        Estimated time per output token, in seconds.
    work_done_s : dict of str to float
        Expected engine time granted to each organisation within `Policy.fairness_window_s`, in
        seconds.
    """

    traits: QueueEngineTraits
    limits: QueueLimits = field(default_factory=QueueLimits)
    running: dict[str, Reservation] = field(default_factory=dict)
    waiting: dict[str, _Waiting] = field(default_factory=dict)
    slowdown_factor: float = 1.0
    completed_prefill_s: float = 0.0
    token_s: float = 0.0
    work_done_s: dict[str, float] = field(default_factory=dict)
    _prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _advanced_s: float = 0.0
    _withheld_tokens: int = 0
    _recent: deque[_GrantedTime] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.token_s = self.token_s or self.traits.decode_step_s * _INITIAL_TOKEN_TIME_FACTOR

    @property
    def reserved_tokens(self) -> int:
        """Memory held by reservations, in tokens."""
        return sum(r.job.memory_tokens for r in self.running.values())

    @property
    def free_tokens(self) -> int:
        """Memory that can still be reserved, in tokens; negative after a takeover."""
        return self.traits.memory_tokens - self.reserved_tokens - self._withheld_tokens

    def withhold(self, tokens: int) -> None:
        """Exclude memory that is in use according to the engine's report but not reserved here."""
        self._withheld_tokens = max(0, min(tokens, self.traits.memory_tokens))

    # Admission.

    def offer(self, job: Job, policy: Policy, now_s: float) -> Offered:
        """Queue a request or refuse it; `pump` grants queued requests."""
        quote = self.quote(job, policy, now_s)
        if quote.refused is not None:
            return quote.refused
        self.waiting[job.job_id] = _Waiting(job, policy, self._prefill_s(job))
        return Queued(job)

    def quote(self, job: Job, policy: Policy, now_s: float) -> Quote:
        """Return the expected times and cost of a request without queueing it."""
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
        """Grant all requests that may start now; return the grants in order."""
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
        """Remove and return the waiting requests that can no longer meet their deadline."""
        late = [
            w.job
            for w in self.waiting.values()
            if now_s + w.prefill_s + self._decode_s(w.job) > w.job.deadline_s
        ]
        for job in late:
            del self.waiting[job.job_id]
        return late

    # Reports of entry boxes.

    def first_token(self, job_id: str, now_s: float) -> None:
        """Record the first token of a request."""
        self.advance(now_s)
        reservation = self.running.get(job_id)
        if reservation is None or reservation.first_token_s is not None:
            return
        reservation.first_token_s = now_s
        self._update_slowdown(reservation, now_s)
        reservation.remaining_s = 0.0
        for digest in reservation.job.prefix:
            self._prefixes[digest] = None
            self._prefixes.move_to_end(digest)
        while len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def release(self, job_id: str, now_s: float) -> bool:
        """Release a reservation or remove a waiting request; False if there is neither."""
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
        """Renew a running request's reservation, or take it over from a previous owner.

        A running request is never refused, so after a change of owner the reservations may exceed
        the engine's memory. No new request is granted until they fit again.
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
        """Renew a reservation if it exists."""
        if job_id in self.running:
            self.running[job_id].renewed_s = now_s

    def expire(self, now_s: float) -> list[Job]:
        """Remove the reservations that were not renewed in time; return their requests."""
        lost = [r.job for r in self.running.values() if now_s - r.renewed_s > self.limits.renewal_s]
        for job in lost:
            del self.running[job.job_id]
        return lost

    # Estimates.

    def advance(self, now_s: float) -> None:
        """Update the remaining prefill times for the time since the last call."""
        passed_s = (now_s - self._advanced_s) / self.slowdown_factor
        self._advanced_s = now_s
        for reservation in self._prefilling():
            if passed_s <= 0:
                return
            used_s = min(passed_s, reservation.remaining_s)
            reservation.remaining_s -= used_s
            passed_s -= used_s

    def cached_tokens(self, job: Job) -> int:
        """Return how many prompt tokens the engine's prefix cache probably holds."""
        hits = sum(1 for _ in itertools.takewhile(self._prefixes.__contains__, job.prefix))
        length = PREFIX_STEP_TOKENS * PREFIX_GROWTH ** (hits - 1) if hits else 0
        return min(job.prompt_tokens - 1, length)

    @property
    def _effective_slowdown_factor(self) -> float:
        """The slowdown factor, or 1 if the difference may be noise.

        Without this threshold, small random differences would make all boxes prefer the same
        engine.
        """
        is_noise = 1 / _SLOWDOWN_NOISE_FACTOR < self.slowdown_factor < _SLOWDOWN_NOISE_FACTOR
        return 1.0 if is_noise else self.slowdown_factor

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
        ahead_s = overtaken_per_s = 0.0
        for reservation in self._prefilling():
            if reservation.priority <= priority:
                ahead_s += reservation.remaining_s
            else:
                overtaken_per_s += 1 / reservation.prefill_s
        for waiting in self.waiting.values():
            if waiting.policy.queue_key(waiting.job, state, now_s) <= key:
                ahead_s += waiting.prefill_s
            else:
                overtaken_per_s += 1 / waiting.prefill_s
        work_s = (ahead_s + own_s) * self._effective_slowdown_factor
        if job.is_long:
            # Shorter prompts that arrive later will overtake it.
            work_s /= 1 - self._overtaking_share(job, now_s)
        first_token_s = max(work_s, self._memory_wait_s(job, now_s)) + self.traits.decode_step_s
        return Expected(first_token_s, own_s, overtaken_per_s)

    def _memory_wait_s(self, job: Job, now_s: float) -> float:
        """Return the expected time until running requests free the memory for a request.

        The requests in the queue are counted as if they all went first. If the running requests do
        not free enough, the duration of the request's prefill is added to their last end.
        """
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
        """Return the expected time of the last token of a request, by the clock of `now_s`."""
        job = reservation.job
        if reservation.first_token_s is not None:
            return reservation.first_token_s + self._decode_s(job)
        return now_s + reservation.remaining_s * self.slowdown_factor + self._decode_s(job)

    def _update_slowdown(self, reservation: Reservation, now_s: float) -> None:
        """Update the slowdown factor from the time between a request's grant and its first token.

        If no prefill was ahead of the request, the engine has since done just its prefill and those
        that overtook it, so the time can be compared with their expected durations.
        """
        done_s = self.completed_prefill_s - reservation.completed_prefill_s + reservation.prefill_s
        self.completed_prefill_s += reservation.prefill_s
        if not reservation.none_ahead or done_s < _MIN_SAMPLE_S:
            return
        factor = (now_s - reservation.granted_s) / done_s
        change = _SLOWDOWN_SMOOTHING * (factor - self.slowdown_factor)
        self.slowdown_factor = min(
            _MAX_SLOWDOWN_FACTOR, max(_MIN_SLOWDOWN_FACTOR, self.slowdown_factor + change)
        )

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
        """Return the expected time for the later segments; 0 unless this is the first."""
        if not job.whole_tokens or job.start_tokens:
            return 0.0
        rest_s = self.traits.prefill_s(job.whole_tokens, job.prompt_tokens)
        return rest_s * self._effective_slowdown_factor / (1 - self._overtaking_share(job, now_s))

    def _overtaking_share(self, job: Job, now_s: float) -> float:
        """Return the share of recent engine time that went to shorter prompts."""
        since_s = now_s - Policy.fairness_window_s
        shorter_s = sum(
            work.seconds
            for work in self._recent
            if work.length_tokens < job.length_tokens and work.at_s > since_s
        )
        return min(_MAX_OVERTAKING_SHARE, shorter_s / Policy.fairness_window_s)

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
            completed_prefill_s=self.completed_prefill_s,
        )
        self._record_work(job, waiting.prefill_s, now_s)
        return Grant(job, priority)

    def _record_work(self, job: Job, prefill_s: float, now_s: float) -> None:
        """Add the expected engine time of a granted request to that of its organisation.

        Running requests decode in the same steps, so only a share of the decode time counts.
        """
        work_s = prefill_s + self._decode_s(job) / self.limits.max_running
        self._recent.append(_GrantedTime(now_s, job.organisation, work_s, job.length_tokens))
        self.work_done_s[job.organisation] = self.work_done_s.get(job.organisation, 0) + work_s
        while self._recent and self._recent[0].at_s < now_s - Policy.fairness_window_s:
            old = self._recent.popleft()
            left_s = self.work_done_s[old.organisation] - old.seconds
            if left_s > _WORK_EPSILON_S:
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
        """Return the longest expected duration of a prefill step among the running long prompts."""
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
        # A later segment mostly waits for the earlier ones and does not prefill.
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
