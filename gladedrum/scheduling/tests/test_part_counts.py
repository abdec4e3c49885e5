"""The chosen number of parts costs at most slightly more than the best one."""

import random

import pytest

from gladedrum.scheduling import expected_loss
from gladedrum.scheduling.expected_loss import Candidate, PlacementJob, place, worth_of
from gladedrum.scheduling.ledger import EngineLedger
from gladedrum.scheduling.tests.small_fleet import ENGINES, TRAITS, short_row

PROMPTS = (180_000, 350_000, 507_726, 650_000, 800_000)


def long_job(prompt):
    return PlacementJob(prompt, 650, worth_of(prompt), 2.98, 1.0, 12.0)


def engine(name, writers):
    """Return an engine that writes short answers."""
    ledger = EngineLedger()
    for j in range(writers):
        ledger.add(short_row(f"{name}.{j}"), TRAITS, 0.0)
    return Candidate(name, ledger, connected=True)


def least_loss(monkeypatch, fleet, job):
    """Return the lowest loss over all numbers of parts."""
    losses = []
    for count in expected_loss.PART_COUNTS:
        with monkeypatch.context() as patched:
            patched.setattr(expected_loss, "PART_COUNTS", (count,))
            chosen = place(TRAITS, fleet, job, 0.0)
        losses += [chosen.loss] if chosen is not None else []
    return min(losses)


@pytest.mark.parametrize("prompt", PROMPTS)
def test_no_other_part_count_costs_clearly_less(monkeypatch, prompt):
    rng = random.Random(prompt)
    for _ in range(12):
        writers = [rng.choice([1, 2, 2, 3, 3, 4]) for _ in range(ENGINES)]
        fleet = [engine(f"e{i}", count) for i, count in enumerate(writers)]
        chosen = place(TRAITS, fleet, long_job(prompt), 0.0)
        assert chosen.loss <= 1.02 * least_loss(monkeypatch, fleet, long_job(prompt)), writers


def test_long_prompt_does_not_stall_the_whole_fleet():
    """Guards against reading one prompt on nearly all engines at once."""
    fleet = [engine(f"e{i}", 3) for i in range(ENGINES)]
    chosen = place(TRAITS, fleet, long_job(656_533), 0.0)
    assert 1 + len(chosen.helpers) < ENGINES / 2
