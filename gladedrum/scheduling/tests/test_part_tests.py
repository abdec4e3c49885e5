"""Group testing of prompt parts: what is tested, what is condemned, and what is spared.

Guards against condemning what all prompts share, and against looking for a cause in whole requests
only.
"""

import itertools
import random

import pytest

from gladedrum.scheduling.part_tests import (
    MAX_PATIENCE_ENDS,
    PATIENCE_S,
    SETTLE_S,
    TEST_TIMEOUT_S,
    WRITING_S,
    may_start_test,
    patience_s,
)
from gladedrum.scheduling.suspects import (
    LOSS_RETENTION_S,
    MAX_PARTS,
    PartCause,
    Standing,
    SuspectTracker,
    TargetStart,
)

COMMON, DEADLY, OTHER, RARE = (PartCause(name.encode(), name) for name in "cdor")
GAP_S = 1.0
"""Time between the losses of these tests, longer than `SETTLE_S`."""


class Evidence:
    """A tracker with a clock, to which ends and whole runs are told one after another."""

    def __init__(self):
        self.tracker = SuspectTracker()
        self.now_s = 100.0
        self._count = itertools.count(1)

    def end(self, *parts, isolated=False, request=None):
        """A target ends under a request with these parts; returns the losses."""
        number = next(self._count)
        start = TargetStart(f"t{number}", 7)
        request = request or b"request-%d" % number
        losses = self.tracker.note_lost(
            request, [start], self.now_s, "r", "org", parts, isolated=isolated
        )
        self.tracker.note_ended(start, self.now_s)
        self.now_s += GAP_S
        return losses

    def serve(self, *parts, began_ago_s=0.5):
        for part in parts:
            self.tracker.note_part_served(part.digest, self.now_s - began_ago_s, self.now_s)

    def standing(self, part, *others):
        parts = [cause.digest for cause in (part, *others)]
        return self.tracker.standing_of_part(part.digest, parts, self.now_s)


@pytest.fixture
def evidence():
    return Evidence()


def test_a_part_is_tested_after_two_ends_and_condemned_after_two_tests(evidence):
    found = []
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, isolated=isolated)
        found.append(evidence.standing(DEADLY))
    assert found == [Standing.CLEAR, Standing.ALONE, Standing.ALONE, Standing.CONDEMNED]


def test_requests_with_a_part_wait_for_a_moment_after_each_loss(evidence):
    evidence.end(COMMON)
    evidence.now_s += SETTLE_S / 2 - GAP_S
    assert evidence.standing(COMMON) is Standing.HELD
    evidence.now_s += SETTLE_S
    assert evidence.standing(COMMON) is Standing.CLEAR


def test_ends_that_were_no_tests_never_condemn_what_all_prompts_share(evidence):
    for _ in range(20):
        evidence.end(COMMON)
    assert evidence.standing(COMMON) is Standing.ALONE
    evidence.serve(COMMON)
    assert evidence.standing(COMMON) is Standing.CLEAR


def test_a_run_that_began_before_the_loss_clears_nothing(evidence):
    for _ in range(2):
        evidence.end(DEADLY)
    evidence.serve(DEADLY, began_ago_s=10.0)
    assert evidence.standing(DEADLY) is Standing.ALONE


def test_repeats_of_one_request_condemn_no_part_of_it(evidence):
    for _ in range(5):
        evidence.end(COMMON, isolated=True, request=b"same")
    assert evidence.standing(COMMON) is Standing.ALONE
    assert evidence.tracker.standing(b"same", evidence.now_s) is Standing.CONDEMNED


def test_two_parts_that_always_came_together_are_refused_together_only(evidence):
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, RARE, isolated=isolated)
    assert evidence.standing(DEADLY, RARE) is Standing.CONDEMNED
    assert evidence.standing(DEADLY) is Standing.ALONE
    assert evidence.standing(RARE) is Standing.ALONE
    evidence.serve(RARE)
    assert evidence.standing(RARE) is Standing.CLEAR
    assert evidence.standing(DEADLY) is Standing.CONDEMNED


def test_operators_see_parts_that_are_refused_together_only(evidence):
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, RARE, isolated=isolated)
    rows = evidence.tracker.condemned(evidence.now_s)
    assert {(row.part, row.beside) for row in rows} == {("d", ("r",)), ("r", ("d",))}
    evidence.serve(RARE)
    (row,) = evidence.tracker.condemned(evidence.now_s)
    assert (row.part, row.beside, len(row.tests)) == ("d", (), 2)


def test_a_test_of_one_of_two_parts_convicts_that_one(evidence):
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, RARE, isolated=isolated)
    evidence.end(DEADLY, isolated=True)
    assert evidence.standing(DEADLY) is Standing.CONDEMNED
    assert evidence.standing(RARE) is Standing.CLEAR


def test_two_deadly_parts_do_not_convict_what_they_have_in_common(evidence):
    for part, isolated in itertools.product((DEADLY, OTHER), (False, False, True)):
        evidence.end(COMMON, part, isolated=isolated)
    assert evidence.standing(COMMON) is not Standing.CONDEMNED
    evidence.serve(COMMON)
    assert evidence.standing(COMMON) is Standing.CLEAR


def test_repeats_of_lost_requests_are_tests_as_well(evidence):
    # Each request has a part of its own too, under which its first run and its test ended.
    own = [PartCause(b"own%d" % number, f"own{number}") for number in range(3)]
    for part, isolated in itertools.product(own, (False, True)):
        evidence.end(DEADLY, part, isolated=isolated)
    assert evidence.standing(DEADLY) is Standing.CONDEMNED


def test_a_condemned_part_explains_the_ends_of_parts_beside_it(evidence):
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, isolated=isolated)
    evidence.end(COMMON, DEADLY, isolated=True)
    evidence.end(COMMON, DEADLY, isolated=True)
    assert evidence.standing(DEADLY) is Standing.CONDEMNED
    assert evidence.standing(COMMON) is Standing.CLEAR


def test_after_ten_minutes_one_end_condemns_for_as_long_again(evidence):
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, isolated=isolated)
    for _ in range(3):
        evidence.now_s += LOSS_RETENTION_S + 1.0
        assert evidence.standing(DEADLY) is Standing.ALONE
        evidence.end(DEADLY, isolated=True)
        assert evidence.standing(DEADLY) is Standing.CONDEMNED
    evidence.now_s += 2 * LOSS_RETENTION_S + 2.0
    assert evidence.standing(DEADLY) is Standing.CLEAR
    assert not evidence.tracker.losses()


def test_a_report_of_a_later_start_clears_nothing(evidence):
    for _ in range(2):
        evidence.end(DEADLY)
    evidence.tracker.note_alive(TargetStart("t1", 8), evidence.now_s)
    assert evidence.standing(DEADLY) is Standing.ALONE


@pytest.mark.parametrize("seed", range(20))
def test_boxes_with_the_same_losses_agree_in_any_order(seed):
    evidence, rng = Evidence(), random.Random(seed)
    parts = (COMMON, DEADLY, OTHER, RARE)
    for _ in range(8):
        evidence.end(*rng.sample(parts, 2), isolated=rng.random() < 0.5)
        if rng.random() < 0.2:
            evidence.serve(rng.choice(parts))
    losses = evidence.tracker.losses()
    other = SuspectTracker()
    for _ in range(2):
        rng.shuffle(losses)
        other.merge(losses, evidence.now_s)
    for part, companion in itertools.permutations(parts, 2):
        together = [part.digest, companion.digest]
        assert other.standing_of_part(part.digest, together, evidence.now_s) == (
            evidence.standing(part, companion)
        )


def test_a_flood_of_parts_is_bounded_and_keeps_what_is_condemned(evidence):
    for isolated in (False, False, True, True):
        evidence.end(DEADLY, isolated=isolated)
    for number in range(MAX_PARTS + 50):
        evidence.tracker.note_lost(
            b"%d" % number,
            [TargetStart(f"flood{number // 8}", 1)],
            evidence.now_s,
            parts=[PartCause(b"p%d" % number, f"p{number}")],
        )
    names = {loss.part for loss in evidence.tracker.losses() if loss.part}
    assert len(names) <= MAX_PARTS
    assert evidence.standing(DEADLY) is Standing.CONDEMNED


def test_the_least_suspect_request_is_tested_first():
    waits_s = [patience_s(ends) for ends in range(MAX_PATIENCE_ENDS + 2)]
    assert waits_s[0] == 0
    assert waits_s == sorted(waits_s)
    assert waits_s[-1] == MAX_PATIENCE_ENDS * PATIENCE_S


def test_tests_that_write_allow_more_and_others_allow_none():
    assert may_start_test([], [])
    assert not may_start_test([None], [0.1])
    assert not may_start_test([WRITING_S / 2], [0.5])
    assert may_start_test([WRITING_S], [0.5])
    assert may_start_test([WRITING_S, None], [0.5, 0.1])
    assert not may_start_test([WRITING_S, None, None], [0.5, 0.1, 0.1])
    assert may_start_test([None], [TEST_TIMEOUT_S])
