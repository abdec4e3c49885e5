"""Work placed by peers progresses at the speed of its engine, not of an engine with default traits.

Guards against ledgers that apply the default traits to peers' notes: prompts would seem to be read
more slowly than they are.
"""

from dataclasses import replace

import pytest

from gladedrum import gossip
from gladedrum.gossip.wire.ttypes import Gossip, WorkNote
from gladedrum.placing.fleet_view import FleetView
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.ledger import EngineLedger

FAST = EngineTraits(
    step_s=0.000925, read_tokens_per_s=256_000.0, per_pair_s=0.917e-10, stride=52
)  # fmt: skip


def placed(work_id, prompt, targets=("e1",)):
    return WorkNote(work_id, gossip.PLACED, list(targets), prompt, 800, 1.0, 3.0, 1.0, False, 10.0)


def view_of(traits):
    return FleetView(lambda _target: traits)


def test_a_prompt_is_read_at_its_engines_speed_regardless_of_the_number_of_notes():
    view = view_of(FAST)
    view.receive(Gossip("peer", [placed("w1", 200_000)]), ["e1"], 0.0)
    own = EngineLedger()
    own.add(replace(view.state("e1").ledger.rows["w1"]), FAST, 0.0)
    for step in range(1, 20):
        view.receive(Gossip("peer", [placed(f"s{step}", 0)]), ["e1"], step * 0.1)
    for step in range(1, 20):
        own.advance(FAST, step * 0.1)
    left = view.state("e1").ledger.rows["w1"].read_left
    assert left == pytest.approx(own.rows["w1"].read_left)


def test_an_answer_progresses_by_its_engines_step_time():
    view = view_of(FAST)
    view.receive(Gossip("peer", [placed("w1", 0)]), ["e1"], 0.0)
    view.receive(Gossip("peer", [WorkNote("w1", gossip.FIRST_EVENT, ["e1"])]), ["e1"], 0.0)
    left = view.state("e1").ledger.rows["w1"].work(0.5, FAST).answer_left
    # The engine spends part of the time on reading.
    assert 800 - 0.5 / FAST.step_s < left < 800 - 0.8 * 0.5 / FAST.step_s
