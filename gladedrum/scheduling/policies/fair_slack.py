"""The main policy: order by slack, fair shares of engine time, free memory for short prompts.

Each request has an objective for the time to its first token, which grows with the length of its
prompt. Requests are ordered by the latest time at which they can start and still meet it; the time
left until then is their slack. The latest start does not change while a request waits, so new
requests cannot delay a long one indefinitely, while a short request passes a long one that has
slack. A request of an organisation that has used more than its fair share of recent engine time is
ordered later by the excess.
"""

from collections.abc import Sequence

from ..decisions import Expected, TargetView
from ..jobs import Job
from ..segments import SegmentRule
from .core import Policy, QueueState, register
from .rendezvous import rendezvous_order

__all__ = ["FairSlack", "first_token_objective_s"]

_CHOICES = 2
"""Number of targets asked for quotes for a short prompt, beside the one that caches its prefix."""

_LONG_CHOICES = 12
"""Number of targets asked for quotes for a long prompt."""

_LONG_SHARE = 0.8
"""Share of the targets that are preferred for long prompts."""

_POOL_KEY = "long prompts"
"""Hash key for the targets that long prompts prefer; the same on all boxes."""

_LONG_MEMORY_SHARE = 0.85
"""Share of an engine's memory that long prompts may hold."""

_SEGMENT_SHARE = 0.15
"""Preferred share of an engine's memory for a segment."""

_BASE_OBJECTIVE_S = 0.64
"""Objective for the time to the first token of an empty prompt, in seconds."""

_OBJECTIVE_STRETCH = 20.0
"""Seconds added to the objective for each second of prefill on the reference engine."""

_REFERENCE_TOKENS_PER_S = 10_000.0
"""Prefill speed of the reference engine, by which objectives are set for all engines."""

_LONG_PREFILL_STEPS = 1.0
"""Steps of a long prefill that delay a short prompt beside it."""

_PRIORITIES_PER_S = 100
"""Resolution of engine priorities, per second of the queue key."""

_NEAR_DEADLINE_SHARE = 0.5
"""Share of the time until its deadline that a request may wait before it blocks those behind it."""


def first_token_objective_s(prompt_tokens: int) -> float:
    """Return the objective for the time to the first token of a prompt, in seconds."""
    return _BASE_OBJECTIVE_S + _OBJECTIVE_STRETCH * prompt_tokens / _REFERENCE_TOKENS_PER_S


@register
class FairSlack(Policy):
    """Orders by slack and fair shares; chooses targets by the expected first token."""

    name = "fair_slack"
    segments = SegmentRule(_SEGMENT_SHARE, _LONG_MEMORY_SHARE)

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return the target that probably caches the prompt's prefix, and a few others.

        Long prompts prefer a fixed subset of the targets, so that the others stay free for short
        ones.
        """
        fitting = [t.name for t in targets if t.memory_tokens >= job.memory_tokens]
        if job.is_long:
            share = max(1, round(len(targets) * _LONG_SHARE))
            preferred = set(rendezvous_order(_POOL_KEY, [t.name for t in targets])[:share])
            order = rendezvous_order(job.job_id, fitting)
            order.sort(key=lambda name: name not in preferred)
            return order[: _LONG_CHOICES + count - 1]
        order = rendezvous_order(job.job_id, fitting)[: _CHOICES + count - 1]
        if job.prefix:
            order.insert(0, rendezvous_order(str(job.prefix[-1]), fitting)[0])
        return list(dict.fromkeys(order))

    def cost(self, job: Job, expected: Expected, state: QueueState, now_s: float) -> float:
        """Return the expected time to the first token plus the slowdown of others.

        A short prompt beside a long one also waits for the long prompt's part of an engine step,
        which the expected time does not include.
        """
        # The sum of the relative delays of overtaken requests, weighted by the own prefill time.
        slowdown_s = expected.prefill_s * expected.prefill_s * expected.overtaken_per_s
        long_prefill_s = 0.0 if job.is_long else _LONG_PREFILL_STEPS * state.long_step_s
        return expected.first_token_s + slowdown_s + long_prefill_s

    def queue_key(self, job: Job, state: QueueState, now_s: float) -> float:
        """Return the latest start that is on time, plus the organisation's excess."""
        return _latest_start_s(job) + _excess_s(job, state)

    def may_start(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return False for a long prompt that would take memory or time needed by others.

        Part of the memory is kept free for short prompts. A long prompt may overtake longer ones
        but does not start beside a shorter one that is still in prefill, which limits the number of
        concurrent long prefills.
        """
        if not job.is_long:
            return True
        free_tokens = int(state.memory_tokens * _LONG_MEMORY_SHARE) - state.long_tokens
        return job.memory_tokens <= free_tokens and all(
            length > job.length_tokens for length in state.long_prefills
        )

    def blocks(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return True once a request has waited for half of the time until its deadline.

        Until then others may overtake it. Afterwards memory is kept for it, so that smaller
        requests cannot starve it.
        """
        waited = now_s - job.arrival_s
        return waited > _NEAR_DEADLINE_SHARE * (job.deadline_s - job.arrival_s)

    def priority(self, job: Job, state: QueueState, now_s: float) -> int:
        """Return the queue key in hundredths of a second."""
        return int(self.queue_key(job, state, now_s) * _PRIORITIES_PER_S)


def _latest_start_s(job: Job) -> float:
    own_s = job.length_tokens / _REFERENCE_TOKENS_PER_S
    by_objective_s = job.arrival_s + first_token_objective_s(job.length_tokens) - own_s
    return min(by_objective_s, job.deadline_s - own_s)


def _excess_s(job: Job, state: QueueState) -> float:
    """Return how far the organisation is ahead of the least served waiting one, in seconds."""
    own_s = state.work_done_s.get(job.organisation, 0.0) / job.weight
    return max(0.0, own_s - state.least_served_s)
