"""Processor time of a placement decision by number of engines, prompt size and load.

``python -m benchmarks.decision_cost`` runs decisions in one process, for a fleet busy with short
and some long prompts. Results are microseconds of one core; a box with half a core takes twice as
long.
"""

import argparse
import random
from collections.abc import Sequence

from twisted.internet.task import Clock

from benchmarks.forward_roles import cpu_us, target_entries
from benchmarks.measure import save
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.placing.choosing import Chooser, Demand
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.routes import Service
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.placement_policies import placement_names

ENGINES = (20, 60, 150, 600)
"""Numbers of engines in the fleet."""

SIZES = {"short": 5_000, "middle": 45_000, "long": 190_000, "giant": 1_000_000}
"""Sizes of prompts, in tokens."""

OBJECTIVE_S = {"short": 0.3, "middle": 1.5, "long": 3.0, "giant": 4.0}
"""Objectives for the first event, in seconds; they affect into how many parts a prompt is split."""

REQUESTS_PER_ENGINE = (0.5, 1.5, 3.0)
"""Known requests per engine: a fleet with light, usual and full load."""

MIX = (*[5_000] * 17, 45_000, 45_000, 190_000)
"""Prompt sizes of the known requests in tokens, in the proportions of the expected workload."""

STEP_S = 0.004
"""Time between two decisions, in seconds: 250 decisions per second."""

REPEATS = 60
"""Number of decisions over which each result is averaged."""


def _fleet(engines: int, work: float) -> tuple[Clock, Chooser, FleetView]:
    clock, rng = Clock(), random.Random(1)
    view = FleetView(lambda _target: EngineTraits(slots=5))
    clock.advance(100.0)
    entries = target_entries(engines)
    for number in range(int(engines * work)):
        prompt = rng.choice(MIX)
        targets = rng.sample(list(entries), 1 if prompt < 30_000 else 3)
        plan = WorkPlan(f"box.{number}", tuple(targets), prompt, 900, 1.5, 0.3, 0.25)
        view.note_placed(plan, clock.seconds())
        if rng.random() < 0.8:
            view.note_first_event(plan, clock.seconds())
    targets = TargetListFollower(clock, None, 3.0, lambda _entry: None, StorePace(clock, rng))
    targets.entries = entries
    return clock, Chooser("box-1", clock, targets, view), view


def measure(engines: Sequence[int] = ENGINES, policy: str = "") -> list[dict]:
    """Return one row for each fleet, load and prompt size."""
    rows = []
    traits = EngineTraits(slots=5)
    for count in engines:
        for work in REQUESTS_PER_ENGINE:
            for size, prompt in SIZES.items():
                clock, chooser, _view = _fleet(count, work)

                def decide(clock=clock, chooser=chooser, prompt=prompt, size=size) -> None:
                    clock.advance(STEP_S)
                    due_s = clock.seconds() + OBJECTIVE_S[size]
                    demand = Demand(
                        Service("pool", traits), prompt, 900, due_s, 0.25, "hall", policy
                    )
                    chooser.choose(demand, ())

                us = cpu_us(decide, REPEATS)
                rows.append({"engines": count, "work": work, "size": size, "us": round(us)})
    return rows


def main() -> None:
    """Run the benchmark, print a table and save the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--policy", default="fair_slack", choices=placement_names())
    args = parser.parse_args()
    rows = measure(policy=args.policy)
    for row in rows:
        print(f"{row['engines']:>5} {row['work']:>4} {row['size']:<7}{row['us']:>8} us")
    save("decision_cost", {"policy": args.policy, "placements": rows})


if __name__ == "__main__":
    main()
