"""Placement by expected loss: choices of engines, and properties for arbitrary load."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from gladedrum.scheduling import expected_loss
from gladedrum.scheduling.arrivals import LongPromptArrivals
from gladedrum.scheduling.engine_model import EngineTraits, Work, predict, read_time_s
from gladedrum.scheduling.expected_loss import Candidate, PlacementJob, place, worth_of
from gladedrum.scheduling.ledger import EngineLedger, LedgerRow, Stake
from gladedrum.scheduling.placement_policies import place_by, placement_names

TRAITS = EngineTraits()
SHORT = PlacementJob(5_000, 1_300, worth_of(5_000), 0.3, 0.25)
LONG = PlacementJob(130_000, 700, worth_of(130_000), 2.5, 1.0)


def row(name, prompt, answer=1_000, writing=False, held=None):
    stake = Stake(worth_of(prompt), 0.3, 0.25 if prompt < 30_000 else 1.0)
    first_s = -0.1 if writing else None
    held = prompt + answer if held is None else held
    return LedgerRow(
        name, prompt, 1.0, answer, held, True, stake, -0.2, first_s, 0.0 if writing else prompt
    )


def candidate(name, *rows, **fields):
    ledger = EngineLedger()
    for entry in rows:
        ledger.add(entry, TRAITS, 0.0)
    return Candidate(name, ledger, **fields)


def test_short_prompt_avoids_engine_that_reads_long_prompt():
    busy = candidate("busy", row("long", 130_000))
    quiet = candidate("quiet", *(row(f"s{i}", 5_000, writing=True) for i in range(5)))
    assert place(TRAITS, [busy, quiet], SHORT, 0.0).name == "quiet"


def test_long_prompt_avoids_engine_with_short_answers():
    short = candidate("short", *(row(f"s{i}", 5_000, writing=True) for i in range(3)))
    assert place(TRAITS, [short, candidate("idle")], LONG, 0.0).name == "idle"


def test_short_prompt_leaves_idle_engine_to_long_prompts():
    busy = candidate("busy", row("s1", 5_000, writing=True))
    assert place(TRAITS, [candidate("idle"), busy], SHORT, 0.0).name == "busy"


def test_frequent_long_prompts_concentrate_short_prompts_on_fewer_engines():
    arrivals = LongPromptArrivals()
    for at_s in range(6):
        arrivals.note(130_000, 3, float(at_s))
    busy = candidate("busy", *(row(f"s{i}", 5_000, writing=True) for i in range(6)))
    engines = [busy, *(candidate(f"e{i}", row(f"r{i}", 2_000, writing=True)) for i in range(4))]
    assert place(TRAITS, engines, SHORT, 6.0).name != "busy"
    assert place(TRAITS, engines, SHORT, 6.0, arrivals).name == "busy"
    assert place(TRAITS, engines, SHORT, 200.0, arrivals).name != "busy"


def test_arrival_rate_counts_parts_read_longer_than_the_pause_limit_and_decays():
    arrivals = LongPromptArrivals()
    arrivals.note(5_000, 1, 0.0)
    arrivals.note(45_000, 1, 0.0)
    assert arrivals.parts_per_s(TRAITS, 0.6, 0.0) == 0.0
    soon, later = (arrivals.parts_per_s(TRAITS, 0.25, at_s) for at_s in (0.0, 6.0))
    assert 0.0 < later < soon / 2


def test_prompt_that_one_engine_reads_too_late_is_split():
    job = LONG._replace(prompt_tokens=200_000)
    chosen = place(TRAITS, [candidate(f"e{i}") for i in range(4)], job, 0.0)
    assert chosen.helpers
    assert not chosen.reserved
    assert chosen.first_event_s < job.first_due_in_s


def test_prompt_larger_than_one_engine_reserves_memory_on_helpers():
    job = LONG._replace(prompt_tokens=400_000)
    chosen = place(TRAITS, [candidate(f"e{i}") for i in range(4)], job, 0.0)
    assert chosen.reserved
    assert chosen.part_tokens * (1 + len(chosen.helpers)) >= job.prompt_tokens
    assert place(TRAITS, [candidate("only")], job, 0.0) is None


def test_engine_without_enough_memory_is_not_chosen():
    full = candidate("full", row("big", 228_000, writing=True))
    assert place(TRAITS, [full], SHORT, 0.0) is None


def test_unaccounted_memory_counts_as_long_prompt_being_read():
    unaccounted = candidate("a", unaccounted_tokens=190_000.0)
    known = candidate("b", row("s1", 5_000, writing=True))
    assert place(TRAITS, [unaccounted, known], SHORT, 0.0).name == "b"
    assert place(TRAITS, [unaccounted], LONG, 0.0) is None


def test_policies_choose_different_engines():
    """Only `fifo` prefers the engine with fewer requests, although it reads a long prompt."""
    engines = [
        candidate("short", *(row(f"s{i}", 5_000, writing=True) for i in range(3))),
        candidate("long", row("l", 130_000)),
    ]
    chosen = {name: place_by(name, TRAITS, engines, SHORT, 0.0).name for name in placement_names()}
    assert chosen["fair_slack"] == "short"
    assert chosen["fifo"] == "long"
    assert chosen["least_loaded"] == "short"
    assert chosen["length_pools"] == "short"


def test_connected_engine_is_preferred_beyond_the_shortlist():
    engines = [candidate(f"e{i}", row(f"s{i}", 5_000, writing=True)) for i in range(60)]
    busier = [row(f"x{i}", 5_000, writing=True) for i in range(2)]
    engines.append(candidate("connected", *busier, connected=True))
    assert place(TRAITS, engines, SHORT, 0.0).name == "connected"
    engines.append(candidate("reading", row("long", 130_000), connected=True))
    engines.remove(engines[-2])
    assert place(TRAITS, engines, SHORT, 0.0).name not in ("reading", "connected")


def test_engine_with_failures_is_avoided():
    failing = candidate("failing", failure_chance=0.5)
    assert (
        place(TRAITS, [failing, candidate("well", in_other_hall=True)], SHORT, 0.0).name == "well"
    )


def busy_fleet(rng, count=60):
    """Return engines with random load: short answers and a few longer prompts."""
    share = rng.choice([0.1, 0.3, 0.6])
    return [
        candidate(
            f"e{i}",
            *(
                row(
                    f"{i}.{j}",
                    rng.choice([5_000] * 17 + [30_000, 45_000]),
                    writing=rng.random() < 0.7,
                )
                for j in range(5)
                if rng.random() < share
            ),
        )
        for i in range(count)
    ]


def test_search_for_part_count_is_close_to_exhaustive_search(monkeypatch):
    rng = random.Random(3)
    chosen_loss, lowest_loss = 0.0, 0.0
    for _ in range(30):
        engines, prompt = busy_fleet(rng), rng.choice([45_000, 100_000, 190_000, 400_000])
        job = PlacementJob(
            prompt, 800, worth_of(prompt), 1.5 if prompt < 50_000 else 3.0, 1.0, 12.0
        )
        chosen_loss += place(TRAITS, engines, job, 0.0).loss
        losses = []
        with monkeypatch.context() as patched:
            for count in expected_loss.PART_COUNTS:
                patched.setattr(expected_loss, "PART_COUNTS", (count,))
                chosen = place(TRAITS, engines, job, 0.0)
                losses += [chosen.loss] if chosen is not None else []
        lowest_loss += min(losses)
    assert chosen_loss <= 1.03 * lowest_loss


def test_model_reproduces_known_engine_timings():
    assert abs(read_time_s(TRAITS, 4_960) - 0.0258) < 0.001
    (alone,) = predict(TRAITS, [], Work(45_000, 800))
    assert abs(alone.first_event_s - (0.358 + 22 * 0.00102 + 0.044)) < 0.02
    writer = Work(0, 1_000, depth=5_000)
    beside, _ = predict(TRAITS, [writer], Work(45_000, 800))
    assert beside.pause_s > 0.25


def test_joint_part_is_read_before_earlier_prompts():
    """Guards against predicting the first events of earlier prompts too early."""
    for earlier in (Work(100_000, 500), Work(60_000, 500, pair_factor=2.0)):
        alone = predict(TRAITS, [], earlier)[0].first_event_s
        part = Work(60_000, 0.0, pair_factor=3.0, writes=False)
        beside = predict(TRAITS, [earlier], part)
        assert beside[0].first_event_s > alone + 0.9
        assert beside[1].first_event_s < 1.2


works = st.builds(
    Work,
    read_left=st.integers(0, 200_000),
    answer_left=st.integers(1, 2_000),
    depth=st.integers(0, 50_000),
    pair_factor=st.sampled_from([1.0, 2.0, 3.0]),
    writes=st.booleans(),
)


newcomers = st.builds(
    Work,
    read_left=st.integers(1, 200_000),
    answer_left=st.integers(1, 2_000),
    pair_factor=st.sampled_from([1.0, 2.0, 3.0]),
    writes=st.booleans(),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(works, max_size=10), newcomers, st.floats(1.0, 4.0))
def test_additional_whole_prompt_speeds_up_no_request(present, newcomer, pace):
    """Holds for whole prompts only: a joint part is read first and reorders the others."""
    newcomer.pair_factor, newcomer.writes = 1.0, True
    without = predict(TRAITS, present, Work(0.0, 0.0, writes=False), pace)
    beside = predict(TRAITS, present, newcomer, pace)
    for before, after in zip(without[:-1], beside[:-1], strict=True):
        assert after.first_event_s >= before.first_event_s - 1e-9


@settings(max_examples=200, deadline=None)
@given(st.lists(works, max_size=10), newcomers, st.floats(1.0, 4.0))
def test_slower_engine_speeds_up_no_request(present, newcomer, pace):
    beside = predict(TRAITS, present, newcomer, pace)
    fast = predict(TRAITS, present, newcomer)
    assert len(beside) == len(present) + 1
    for slow, quick in zip(beside, fast, strict=True):
        assert slow.first_event_s >= quick.first_event_s - 1e-9


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.lists(st.tuples(st.integers(10, 200_000), st.booleans()), max_size=5), max_size=6),
    st.integers(10, 600_000),
)
def test_placement_fits_into_memory(engines, prompt):
    candidates = [
        candidate(f"e{i}", *(row(f"w{i}.{j}", p, writing=w) for j, (p, w) in enumerate(rows)))
        for i, rows in enumerate(engines)
    ]
    job = PlacementJob(prompt, 500, worth_of(prompt), 2.0, 1.0)
    chosen = place(TRAITS, candidates, job, 0.0)
    if chosen is None:
        return
    used = {entry.name: entry.ledger.tokens for entry in candidates}
    assert chosen.name not in chosen.helpers
    assert len(set(chosen.helpers)) == len(chosen.helpers)
    held = chosen.part_tokens if chosen.reserved else prompt
    assert used[chosen.name] + held + 500 <= TRAITS.memory_tokens
    if chosen.reserved:
        assert all(
            used[name] + chosen.part_tokens <= TRAITS.memory_tokens for name in chosen.helpers
        )
