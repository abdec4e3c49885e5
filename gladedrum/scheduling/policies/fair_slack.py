"""The product's own policy: fair shares by work, order by slack, memory and room for the short.

Each request has a time by which its first token should come, which grows with the length of
its prompt. Requests go in the order of the latest moment at which they can start and still
make it. This moment does not move while a request waits, so newcomers cannot hold back a
dossier for good, and a clause question passes a dossier that has time. An organisation that
has had more than its share of the engine's recent time goes later by the excess.
"""

from collections.abc import Sequence

from ..decisions import Expected, TargetView
from ..jobs import Job
from ..segments import SegmentRule
from .core import Policy, QueueState, register
from .rendezvous import rendezvous_order

__all__ = ["FairSlack", "first_token_target_s"]

_CHOICES = 2
_LONG_CHOICES = 12
_LONG_SHARE = 0.8
_POOL_KEY = "long prompts"
_LONG_MEMORY_SHARE = 0.85
_SEGMENT_SHARE = 0.15
_BASE_TARGET_S = 0.64
_TARGET_STRETCH = 20.0
_TARGET_TOKENS_PER_S = 10_000.0
_COMPANY_STEPS = 1.0
_PRIORITIES_PER_S = 100
_NEAR_DEADLINE_SHARE = 0.5


def first_token_target_s(prompt_tokens: int) -> float:
    """Return the time within which the first token of a prompt should come, in seconds."""
    return _BASE_TARGET_S + _TARGET_STRETCH * prompt_tokens / _TARGET_TOKENS_PER_S


@register
class FairSlack(Policy):
    """Order by slack, shares by work, and targets chosen by expected first token."""

    name = "fair_slack"
    segments = SegmentRule(_SEGMENT_SHARE, _LONG_MEMORY_SHARE)

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return the target that may hold the prompt's prefix and a few others.

        Long prompts ask the same part of the targets first, so that the others stay free of
        them; short prompts may go anywhere.
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
        """Return the expected first token, charged with the slowdown of others.

        A short prompt beside a long one also waits for the long one's share of each engine
        step, which the expectation does not hold.
        """
        brought_s = expected.prefill_s * expected.prefill_s * expected.passed_per_s
        company_s = 0.0 if job.is_long else _COMPANY_STEPS * state.long_step_s
        return expected.first_token_s + brought_s + company_s

    def queue_key(self, job: Job, state: QueueState, now_s: float) -> float:
        """Return the latest good start, later by what the organisation had beyond its share."""
        return _latest_start_s(job) + _excess_s(job, state)

    def may_start(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return True unless a long prompt would take what others need.

        Long prompts leave a part of the memory to the short ones. A long prompt may pass a
        longer one, but does not start behind one that is shorter, so that a target prefills
        only a few at once.
        """
        if not job.is_long:
            return True
        room = int(state.memory_tokens * _LONG_MEMORY_SHARE) - state.long_tokens
        return job.memory_tokens <= room and all(
            length > job.length_tokens for length in state.long_prefills
        )

    def blocks(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return True once a request has used up half of its time waiting.

        Until then others may pass it; from then on memory is kept back for it, so that it
        does not starve behind requests that fit into every gap.
        """
        waited = now_s - job.arrival_s
        return waited > _NEAR_DEADLINE_SHARE * (job.deadline_s - job.arrival_s)

    def priority(self, job: Job, state: QueueState, now_s: float) -> int:
        """Return the place in the queue, in hundredths of a second."""
        return int(self.queue_key(job, state, now_s) * _PRIORITIES_PER_S)


def _latest_start_s(job: Job) -> float:
    own_s = job.length_tokens / _TARGET_TOKENS_PER_S
    by_target_s = job.arrival_s + first_token_target_s(job.length_tokens) - own_s
    return min(by_target_s, job.deadline_s - own_s)


def _excess_s(job: Job, state: QueueState) -> float:
    """Return by how much the organisation is ahead of the one that waits with the least."""
    own_s = state.work_done_s.get(job.organisation, 0.0) / job.weight
    return max(0.0, own_s - state.least_served_s)
