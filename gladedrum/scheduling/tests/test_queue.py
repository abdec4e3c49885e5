"""A queue never overcommits memory, loses no request and starves none."""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gladedrum.scheduling import (
    Job,
    Queued,
    QueueEngineTraits,
    QueueLimits,
    Refused,
    TargetQueue,
    policy,
    policy_names,
)

_TRAITS = QueueEngineTraits(memory_tokens=10_000, prefill_tokens_per_s=1_000, decode_step_s=0.01)


def _job(number, prompt=1_000, output=100, arrival_s=0.0, time_s=1e6, organisation="a"):
    return Job(f"j{number}", organisation, "c", prompt, output, arrival_s, arrival_s + time_s)


class QueueMachine(RuleBasedStateMachine):
    """Offers, grants, releases, adoptions and expiries in any order, under any policy."""

    def __init__(self):
        super().__init__()
        self.queue = TargetQueue(_TRAITS, QueueLimits(max_queued=8, max_running=4, renewal_s=50))
        self.now_s = 0.0
        self.numbers = 0
        self.waiting, self.granted, self.adopted = set(), set(), set()

    @initialize(name=st.sampled_from(policy_names()))
    def choose(self, name):
        self.policy = policy(name)

    @rule(prompt=st.integers(1, 12_000), output=st.integers(1, 3_000), time_s=st.floats(1, 1e5))
    def offer(self, prompt, output, time_s):
        self.numbers += 1
        job = _job(self.numbers, prompt, output, self.now_s, time_s)
        match self.queue.offer(job, self.policy, self.now_s):
            case Queued():
                self.waiting.add(job.job_id)
            case Refused(retry_after_s=retry_after_s):
                assert 0 < retry_after_s < math.inf

    @rule()
    def pump(self):
        for grant in self.queue.pump(self.now_s):
            assert grant.job.job_id in self.waiting
            self.waiting.discard(grant.job.job_id)
            self.granted.add(grant.job.job_id)

    @rule(seconds=st.floats(0.01, 30))
    def pass_time(self, seconds):
        self.now_s += seconds
        for job in self.queue.drop_late(self.now_s):
            self.waiting.discard(job.job_id)
        for job in self.queue.expire(self.now_s):
            self.granted.discard(job.job_id)
            self.adopted.discard(job.job_id)

    @rule(data=st.data())
    def release(self, data):
        known = sorted(self.waiting | self.granted | self.adopted | {"nobody"})
        job_id = data.draw(st.sampled_from(known))
        assert self.queue.release(job_id, self.now_s) == (job_id != "nobody")
        for group in (self.waiting, self.granted, self.adopted):
            group.discard(job_id)

    @rule(data=st.data())
    def first_token(self, data):
        if self.granted:
            job_id = data.draw(st.sampled_from(sorted(self.granted)))
            self.queue.first_token(job_id, self.now_s)

    @rule(prompt=st.integers(1, 9_000))
    def adopt(self, prompt):
        self.numbers += 1
        job = _job(self.numbers, prompt, 1, self.now_s)
        self.queue.adopt(job, self.policy, self.now_s)
        self.adopted.add(job.job_id)

    @invariant()
    def no_request_is_lost_or_duplicated(self):
        assert set(self.queue.waiting) == self.waiting
        assert set(self.queue.running) == self.granted | self.adopted

    @invariant()
    def grants_never_exceed_memory(self):
        if not self.adopted:
            assert self.queue.free_tokens >= 0
            assert len(self.queue.running) <= 4

    @invariant()
    def queue_is_bounded(self):
        assert len(self.queue.waiting) <= 8

    @invariant()
    def remaining_prefill_is_within_bounds(self):
        for reservation in self.queue.running.values():
            assert 0 <= reservation.remaining_s <= reservation.prefill_s


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


@pytest.mark.parametrize("name", policy_names())
def test_long_prompt_is_not_starved_by_short_ones(name):
    """A new short prompt arrives each second until the long prompt's deadline."""
    queue, chosen = TargetQueue(_TRAITS, QueueLimits(renewal_s=math.inf)), policy(name)
    dossier = Job("dossier", "a", "dossier", 8_000, 100, 0.0, 500.0, whole_tokens=40_000)
    assert isinstance(queue.offer(dossier, chosen, 0.0), Queued)
    running = []
    for second in range(500):
        now_s = float(second)
        for grant in queue.pump(now_s):
            if grant.job.job_id == "dossier":
                return
            running.append(grant.job.job_id)
        queue.offer(_job(second, 900, 50, now_s, 400, "b"), chosen, now_s)
        while len(running) > 5:
            queue.release(running.pop(0), now_s)
    pytest.fail("the dossier never started")


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    queue, chosen = TargetQueue(_TRAITS), policy("fair_slack")
    refused = queue.offer(_job(1, 5_000, 100, 0.0, time_s=3.0), chosen, 0.0)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s >= 1


def test_withheld_memory_is_not_granted():
    queue, chosen = TargetQueue(_TRAITS), policy("fifo")
    queue.withhold(9_500)
    queue.offer(_job(1), chosen, 0.0)
    assert queue.pump(0.0) == []
    queue.withhold(0)
    assert len(queue.pump(0.0)) == 1


def test_adopted_reservations_block_new_grants_until_released():
    """After a change of owner, running requests may exceed the engine's memory."""
    queue, chosen = TargetQueue(_TRAITS), policy("fifo")
    for number in (1, 2):
        queue.adopt(_job(number, 7_000), chosen, 0.0)
    assert queue.free_tokens < 0
    queue.offer(_job(3), chosen, 0.0)
    assert queue.pump(0.0) == []
    queue.release("j1", 1.0)
    assert [g.job.job_id for g in queue.pump(1.0)] == ["j3"]


def test_organisation_with_more_recent_work_goes_later():
    queue, chosen = TargetQueue(_TRAITS), policy("fair_slack")
    for number in range(4):
        queue.offer(_job(number, 2_000, 10, 0.0, organisation="large"), chosen, 0.0)
    assert len(queue.pump(0.0)) == 4
    queue.offer(_job(8, 2_000, 10, 1.0, organisation="large"), chosen, 1.0)
    queue.offer(_job(9, 2_000, 10, 1.0, organisation="small"), chosen, 1.0)
    for number in range(4):
        queue.release(f"j{number}", 1.0)
    assert [g.job.job_id for g in queue.pump(1.0)] == ["j9", "j8"]
