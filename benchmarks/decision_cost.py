"""What a placement costs the box that decides: microseconds by engines, by size, by work known.

``python -m benchmarks.decision_cost`` measures it in one process, on a fleet busy with short
answers and some long prompts. The figures are processor time of one core; a box with half a core
takes twice as long.
"""

import random
from collections.abc import Sequence

from twisted.internet.task import Clock

from benchmarks.forward_roles import _cpu_us, _entries
from benchmarks.measure import save
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.placing.choosing import Chooser, Demand
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.work_plan import WorkPlan
from gladedrum.routes import Service
from gladedrum.scheduling.engine_model import EngineTraits

ENGINES = (20, 60, 150, 600)
"""Numbers of engines that are measured."""

SIZES = {"short": 5_000, "middle": 45_000, "long": 190_000, "giant": 1_000_000}
"""Sizes of prompts, in tokens."""

OBJECTIVE_S = {"short": 0.3, "middle": 1.5, "long": 3.0, "giant": 4.0}
"""When their first events are due, in seconds: it decides how many parts are weighed."""

WORK_AN_ENGINE = (0.5, 1.5, 3.0)
"""Requests on each engine that the deciding box knows of: a calm, a usual, a full fleet."""

MIX = (*[5_000] * 17, 45_000, 45_000, 190_000)
"""Prompts of that work, in tokens: the users' mix."""

STEP_S = 0.004
"""Time between two placements, in seconds: a box that decides 250 times a second."""

REPEATS = 60
"""Placements that a figure is the mean of."""


def _fleet(engines: int, work: float) -> tuple[Clock, Chooser, FleetView]:
    clock, rng = Clock(), random.Random(1)
    view = FleetView(lambda _target: EngineTraits(slots=5))
    clock.advance(100.0)
    entries = _entries(engines)
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


def measure(engines: Sequence[int] = ENGINES) -> list[dict]:
    """Return one row a fleet, load and size."""
    rows = []
    traits = EngineTraits(slots=5)
    for count in engines:
        for work in WORK_AN_ENGINE:
            for size, prompt in SIZES.items():
                clock, chooser, _view = _fleet(count, work)

                def decide(clock=clock, chooser=chooser, prompt=prompt, size=size) -> None:
                    clock.advance(STEP_S)
                    due_s = clock.seconds() + OBJECTIVE_S[size]
                    demand = Demand(Service("pool", traits), prompt, 900, due_s, 0.25, "hall", "")
                    chooser.choose(demand, ())

                us = _cpu_us(decide, REPEATS)
                rows.append({"engines": count, "work": work, "size": size, "us": round(us)})
    return rows


def main() -> None:
    """Measure all, print a table and write the results."""
    rows = measure()
    for row in rows:
        print(f"{row['engines']:>5} {row['work']:>4} {row['size']:<7}{row['us']:>8} us")
    save("decision_cost", {"placements": rows})


if __name__ == "__main__":
    main()
