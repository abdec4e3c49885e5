"""Expected loss of a long prompt whose reading pauses the answers of a whole fleet.

Guards against underestimating the loss of answers that callers abandon during such pauses. All
engines write short answers; the long prompt is read on 16 of the 18.
"""

import math
from typing import NamedTuple

import pytest

from gladedrum.scheduling import expected_loss
from gladedrum.scheduling.expected_loss import Candidate, Placement, PlacementJob, place, worth_of
from gladedrum.scheduling.ledger import EngineLedger, LedgerRow, Stake
from gladedrum.scheduling.tests.small_fleet import ENGINES, TRAITS, short_row

LONG = PlacementJob(656_533, 650, worth_of(656_533), 2.98, 1.0, 12.0)
WRITERS = (1, 2, 3)
"""Numbers of short answers on successive engines."""


class LossComponents(NamedTuple):
    """The components of an expected loss."""

    own: float
    helpers: float
    failures: float
    others: float


def long_wait_row(name):
    """Return a row of an answer whose caller waits 6 s for an event."""
    stake = Stake(worth_of(40_000), 1.1, 0.6, 5.6)
    return LedgerRow(name, 40_000, 1.0, 800, 40_800, True, stake, -0.4, -0.3, 0.0)


def engine(name, *rows):
    ledger = EngineLedger()
    for row in rows:
        ledger.add(row, TRAITS, 0.0)
    return Candidate(name, ledger, connected=True)


def busy_fleet():
    counts = [WRITERS[i % len(WRITERS)] for i in range(ENGINES)]
    return [
        engine(f"e{i}", *(short_row(f"w{i}.{j}") for j in range(count)))
        for i, count in enumerate(counts)
    ]


def loss_components(fleet: list[Candidate], job: PlacementJob, chosen: Placement) -> LossComponents:
    names = (chosen.name, *chosen.helpers)
    by_name = {candidate.name: candidate for candidate in fleet}
    work = expected_loss.Work(chosen.part_tokens, job.answer_tokens, pair_factor=float(len(names)))
    engines = [expected_loss._engine_state(TRAITS, by_name[name], 0.0, 0.0) for name in names]
    others = sum(expected_loss._simulate(TRAITS, engine, work, 0.0).loss for engine in engines)
    failure_chance = 1 - math.prod(1 - by_name[name].failure_chance for name in names)
    prediction = expected_loss.Prediction(chosen.first_event_s, chosen.pause_s)
    return LossComponents(
        expected_loss._job_loss(job, prediction),
        expected_loss.HELPER_COST * job.worth * len(chosen.helpers),
        failure_chance * job.worth,
        others,
    )


def test_loss_includes_answers_that_callers_abandon_during_a_long_pause(monkeypatch):
    """Forces 16 parts; the search would choose fewer."""
    monkeypatch.setattr(expected_loss, "PART_COUNTS", (16,))
    fleet = busy_fleet()
    chosen = place(TRAITS, fleet, LONG, 0.0)
    components = loss_components(fleet, LONG, chosen)
    names = (chosen.name, *chosen.helpers)
    stalled_worth = sum(
        candidate.ledger.total_worth for candidate in fleet if candidate.name in names
    )
    print(chosen, components, stalled_worth)
    assert len(names) == 16
    assert abs(chosen.first_event_s - 2.557) < 0.05
    assert abs(sum(components) - chosen.loss) < 0.01
    assert components.failures == 0.0
    assert abs(components.own - 22) < 1
    assert abs(components.helpers - 12) < 0.1
    assert components.others > 0.95 * stalled_worth


def test_abandoned_answers_cost_more_than_late_ones():
    """Three abandoned short answers lose more worth than one late long answer."""
    short_wait = engine("short_wait", *(short_row(f"s{i}") for i in range(3)))
    long_wait = engine("long_wait", long_wait_row("p"))
    slow_reader = TRAITS._replace(read_tokens_per_s=11_000.0)
    job = PlacementJob(29_000, 500, worth_of(29_000), 6.0, 5.0, 20.0)
    chosen = place(slow_reader, [short_wait, long_wait], job, 0.0)
    assert 2.5 < chosen.first_event_s < 3.0
    assert chosen.name == "long_wait"


@pytest.mark.parametrize(
    ("objective_s", "pause_s", "caller_wait_s"),
    [(0.3, 0.25, 2.0), (1.5, 0.6, 6.0), (0.3, 1.0, 8.0)],
)
def test_caller_wait_is_the_longest_of_its_bounds(objective_s, pause_s, caller_wait_s):
    stake = Stake(1.0, 10.0 + objective_s, pause_s)
    row = LedgerRow("w", 5_000, 1.0, 500, 5_500, True, stake, 10.0)
    assert abs(row.caller_wait_s - caller_wait_s) < 1e-6
