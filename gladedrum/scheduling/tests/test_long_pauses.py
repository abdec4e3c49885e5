"""What the expected loss of a long prompt counts that stops the answers of a whole fleet.

Seen in a run of planned work: a prompt of 656,533 tokens was placed on 16 of 18 engines, predicted
to be read in 2.557 s (it took 2.592 s), with an expected loss of 72.6 where it is worth 66.7; some
30 short answers stood still meanwhile.
"""

import math
from typing import NamedTuple

import pytest

from gladedrum.scheduling import credit
from gladedrum.scheduling.credit import Candidate, Job, Placement, place, worth_of
from gladedrum.scheduling.ledger import EngineLedger, LedgerRow, Stake
from gladedrum.scheduling.tests.eighteen import ENGINES, TRAITS, short_row

LONG = Job(656_533, 650, worth_of(656_533), 2.98, 1.0, 12.0)
WRITERS = (1, 2, 3)
"""Short answers on an engine, in turn."""


class Shares(NamedTuple):
    """An expected loss, by whose it is."""

    own: float
    helpers: float
    failure_chance: float
    others: float


def patient_row(name):
    """Return an answer of 40,000 tokens, whose caller waits for 6 s for an event."""
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


def shares_of(fleet: list[Candidate], job: Job, chosen: Placement) -> Shares:
    names = (chosen.name, *chosen.helpers)
    by_name = {candidate.name: candidate for candidate in fleet}
    work = credit.Work(chosen.part_tokens, job.answer_tokens, pair_share=float(len(names)))
    engines = [credit._engine_state(TRAITS, by_name[name], 0.0, 0.0) for name in names]
    others = sum(credit._quote(TRAITS, engine, work, 0.0).loss for engine in engines)
    failure_chance = 1 - math.prod(1 - by_name[name].failure_chance for name in names)
    prediction = credit.Prediction(chosen.first_event_s, chosen.pause_s)
    return Shares(
        credit._job_loss(job, prediction),
        credit.HELPER_COST * job.value * len(chosen.helpers),
        failure_chance * job.value,
        others,
    )


def test_a_prompt_that_stops_a_fleet_costs_others_all_that_their_callers_leave_behind(monkeypatch):
    """The decision as seen; the search takes fewer engines here by now."""
    monkeypatch.setattr(credit, "PART_COUNTS", (16,))
    fleet = busy_fleet()
    chosen = place(TRAITS, fleet, LONG, 0.0)
    shares = shares_of(fleet, LONG, chosen)
    names = (chosen.name, *chosen.helpers)
    stopped = sum(candidate.ledger.total_worth for candidate in fleet if candidate.name in names)
    print(chosen, shares, stopped)
    assert len(names) == 16
    assert abs(chosen.first_event_s - 2.557) < 0.05
    assert abs(sum(shares) - chosen.loss) < 0.01
    assert shares.failure_chance == 0.0
    assert abs(shares.own - 22) < 1
    assert abs(shares.helpers - 12) < 0.1
    assert shares.others > 0.95 * stopped


def test_answers_whose_callers_leave_in_the_pause_count_for_more_than_late_ones():
    """Three short answers are worth 4.5, all of it lost; the patient one 5.0, of which 0.75."""
    impatient = engine("impatient", *(short_row(f"s{i}") for i in range(3)))
    patient = engine("patient", patient_row("p"))
    reads_in_2_7_s = TRAITS._replace(read_tokens_per_s=11_000.0)
    job = Job(29_000, 500, worth_of(29_000), 6.0, 5.0, 20.0)
    chosen = place(reads_in_2_7_s, [impatient, patient], job, 0.0)
    assert 2.5 < chosen.first_event_s < 3.0
    assert chosen.name == "patient"


@pytest.mark.parametrize(
    ("objective_s", "pause_s", "caller_wait_s"),
    [(0.3, 0.25, 2.0), (1.5, 0.6, 6.0), (0.3, 1.0, 8.0)],
)
def test_a_row_tells_how_long_its_caller_waits_for_an_event(objective_s, pause_s, caller_wait_s):
    stake = Stake(1.0, 10.0 + objective_s, pause_s)
    row = LedgerRow("w", 5_000, 1.0, 500, 5_500, True, stake, 10.0)
    assert abs(row.caller_wait_s - caller_wait_s) < 1e-6
