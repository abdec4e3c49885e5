"""Placement of very long prompts in a fleet of 60 engines that write short answers.

Guards against head-of-line blocking: each part of such a prompt delays the answers beside it beyond
their objective for pauses.
"""

import random

import pytest

from gladedrum.scheduling import expected_loss
from gladedrum.scheduling.engine_model import EngineTraits, read_time_s
from gladedrum.scheduling.expected_loss import Candidate, PlacementJob, place, worth_of
from gladedrum.scheduling.ledger import EngineLedger, LedgerRow, Stake

TRAITS = EngineTraits(
    slots=12,
    memory_tokens=382_500,
    step_s=0.000925,
    per_writer_s=4.83e-6,
    per_context_token_s=2.54e-9,
    read_tokens_per_s=256_000.0,
    per_pair_s=0.917e-10,
    stride=52,
    hop_s=0.0001,
)
ENGINES, OBJECTIVE_S, CALLER_LEAVES_AFTER_S = 60, 4.0, 14.0


def fleet(seed, long_prompts, short_answers):
    """Return engines that read recently placed long prompts and write short answers."""
    rng = random.Random(seed)
    ledgers = [EngineLedger() for _ in range(ENGINES)]
    for number in range(long_prompts):
        tokens = min(1_000_000, int(rng.lognormvariate(12.45, 0.5)))
        parts = min(16, 1 + int(read_time_s(TRAITS, tokens) / 2.4))
        at_s = -2.2 * rng.random()
        stake = Stake(worth_of(tokens), at_s + OBJECTIVE_S, 0.8, at_s + CALLER_LEAVES_AFTER_S)
        for index, ledger in enumerate(rng.sample(ledgers, parts)):
            part = tokens / parts
            row = LedgerRow(f"g{number}", part, parts, 800, part, index == 0, stake, at_s)
            ledger.add(row, TRAITS, at_s)
    for number in range(short_answers):
        at_s = -1.5 * rng.random()
        ledger = min(rng.sample(ledgers, 6), key=lambda one: (one.unread, len(one.rows)))
        stake = Stake(1.5, at_s + 0.3, 0.2, at_s + 2.0)
        ledger.add(
            LedgerRow(f"s{number}", 5_000, 1.0, 1_600, 6_600, True, stake, at_s), TRAITS, at_s
        )
        ledger.note_first_event(f"s{number}", at_s + 0.15)
    for ledger in ledgers:
        ledger.advance(TRAITS, 0.0)
    return [Candidate(f"e{i}", ledger, connected=True) for i, ledger in enumerate(ledgers)]


def job(tokens):
    return PlacementJob(tokens, 800, worth_of(tokens), OBJECTIVE_S, 0.8, CALLER_LEAVES_AFTER_S)


def mean_loss(tokens, long_prompts, short_answers, seeds=8):
    found = [
        place(TRAITS, fleet(seed, long_prompts, short_answers), job(tokens), 0.0)
        for seed in range(seeds)
    ]
    return sum(placement.loss for placement in found) / seeds


@pytest.mark.parametrize("tokens", [800_000, 1_000_000])
def test_very_long_prompt_is_split_into_enough_parts(tokens):
    """Compares with the mean loss if at most 16 parts are used and 18 engines simulated."""
    loss_with_16_parts = {800_000: 21.5, 1_000_000: 49.1}[tokens]
    assert mean_loss(tokens, long_prompts=0, short_answers=10) < 0.95 * loss_with_16_parts


@pytest.mark.parametrize("tokens", [600_000, 1_000_000, 5_000_000])
def test_helpers_stay_within_the_limit_of_engines(tokens):
    """Engines reject a request with too many helpers."""
    for seed in range(4):
        placement = place(TRAITS, fleet(seed, long_prompts=0, short_answers=10), job(tokens), 0.0)
        assert placement is None or len(placement.helpers) <= 16


def test_parts_do_not_exceed_available_engines():
    few = fleet(1, long_prompts=3, short_answers=20)[:14]
    placement = place(TRAITS, few, job(1_000_000), 0.0)
    assert 1 + len(placement.helpers) <= 14


@pytest.mark.parametrize(("long_prompts", "short_answers"), [(14, 45), (25, 60), (25, 100)])
@pytest.mark.parametrize("tokens", [300_000, 475_000])
def test_shortlist_is_nearly_as_good_as_all_engines(
    monkeypatch, tokens, long_prompts, short_answers
):
    """Guards the bound on simulated engines under a flash crowd of long prompts."""
    shortlisted = mean_loss(tokens, long_prompts, short_answers)
    monkeypatch.setattr(expected_loss, "DEFAULT_SIMULATED_ENGINES", ENGINES)
    assert shortlisted <= 1.05 * mean_loss(tokens, long_prompts, short_answers)


@pytest.mark.parametrize("tokens", [360_000, 380_000])
def test_prompt_without_engine_with_enough_free_memory_is_held_in_parts(tokens):
    """Guards against refusing a prompt that is just smaller than an engine's memory."""
    for seed in range(4):
        placement = place(TRAITS, fleet(seed, long_prompts=25, short_answers=150), job(tokens), 0.0)
        assert placement is not None
        assert placement.reserved


def test_prompt_that_fits_the_answering_engine_reserves_nothing_on_helpers():
    placement = place(TRAITS, fleet(1, long_prompts=3, short_answers=20), job(300_000), 0.0)
    assert placement.helpers
    assert not placement.reserved


@pytest.mark.parametrize("due_s", [0.3, 0.01, -1.0])
def test_short_prompt_simulates_few_engines(monkeypatch, due_s):
    simulated = []
    simulate = expected_loss._simulate
    monkeypatch.setattr(
        expected_loss, "_simulate", lambda *args: simulated.append(1) or simulate(*args)
    )
    short = PlacementJob(5_000, 1_600, worth_of(5_000), due_s, 0.2, 2.0)
    place(TRAITS, fleet(1, long_prompts=3, short_answers=30), short, 0.0)
    assert len(simulated) <= 18 + expected_loss.MAX_EXTRA_CONNECTED
