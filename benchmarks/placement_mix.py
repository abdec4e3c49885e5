"""Comparison of variants of the placement decision, in a simulation in virtual time.

``python -m benchmarks.placement_mix`` simulates 30 seconds of a workload whose phases alternate
between mostly long and mostly short prompts. All variants get the same arrivals for a seed. The
product's `Chooser` decides with complete and current information, and the engines follow the model
that it predicts with, apart from random deviations in speed. There are no boxes, faults or hedges,
so that only the decision is compared. In a mix whose kinds differ in rank, long prompts may wait
and ask again, as the box that holds them does.
"""

import argparse
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, nullcontext
from functools import partial
from typing import NamedTuple
from unittest.mock import patch

from twisted.internet.task import Clock

from benchmarks.forward_roles import target_entries
from benchmarks.measure import save
from benchmarks.pass_engine import Part, PassEngine, Stream
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.placing import choosing
from gladedrum.placing.choosing import Chooser, Demand, WaitForEngine
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.late_binding import LateBinding
from gladedrum.placing.placer import MAX_ABANDON_CHANCE
from gladedrum.routes import Service
from gladedrum.scheduling import arrivals, expected_loss, ranked_placement, waiting
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.ledger import (
    CALLER_WAIT_OBJECTIVE_FACTOR,
    CALLER_WAIT_PAUSE_FACTOR,
    MIN_CALLER_WAIT_S,
)

PHASE_S = 10.0
"""Duration of a phase of the workload, in seconds."""

DRAIN_S = 12.0
"""Time after the last phase in which running requests may finish, in seconds."""

FIRST_PASS_DELAY_S = 0.002
"""Delay between a decision and the first pass of an idle engine, in seconds."""

ESTIMATE_SPREAD = 0.5
"""Standard deviation of the logarithm of the error in callers' estimates of the answer length."""

START_S = 100.0
"""Virtual time at which the simulation starts, in seconds."""


class Kind(NamedTuple):
    """A kind of request: its rate, distribution of sizes, worth and time objectives.

    Parameters
    ----------
    per_s : float
        Mean number of arrivals per second.
    prompt, prompt_spread : float
        Mean prompt size in tokens, and its standard deviation as a share of the mean.
    longest : float
        Maximum prompt size, in tokens.
    events : float
        Mean number of events of an answer.
    worth : float
        Worth of a request with a mean prompt that is served in time.
    first_s, pause_s : float
        Objectives for the first event and for the pause between events, in seconds.
    deadline_s : float
        Time from arrival within which the whole answer must be written, in seconds.
    late_worth : float
        Worth of a late answer, as a share of its worth in time.
    rank : int
        Rank of its route; 0 is the most urgent.
    """

    name: str
    per_s: float
    prompt: float
    prompt_spread: float
    longest: float
    events: float
    worth: float
    first_s: float
    pause_s: float
    deadline_s: float
    late_worth: float = 0.25
    rank: int = 5

    @property
    def patience_s(self) -> float:
        """Longest time for which a caller waits for an event, in seconds."""
        pauses_s = CALLER_WAIT_PAUSE_FACTOR * self.pause_s
        return max(MIN_CALLER_WAIT_S, CALLER_WAIT_OBJECTIVE_FACTOR * self.first_s, pauses_s)

    def worth_of(self, prompt: float) -> float:
        """Return the worth of a request of this kind that is served in time, by prompt size."""
        return self.worth * min(4.0, 0.3 + 0.7 * prompt / self.prompt)


class Mix(NamedTuple):
    """A workload: traits of the engines, kinds of requests, and factors on their rates by phase."""

    traits: EngineTraits
    kinds: tuple[Kind, ...]
    phases: tuple[tuple[float, ...], ...]

    @property
    def ranks(self) -> tuple[int, ...]:
        """The different ranks of the kinds, sorted."""
        return tuple(sorted({kind.rank for kind in self.kinds}))


LONG_AND_SHORT = Mix(
    EngineTraits(
        slots=12, memory_tokens=382_500, step_s=0.000925, per_writer_s=4.83e-6,
        per_context_token_s=2.54e-9, read_tokens_per_s=256_000.0, per_pair_s=0.917e-10, stride=52,
        hop_s=0.0001, usual_answer=1604,
    ),
    (
        Kind("short", 38.3, 4_960, 0.9, 23_800, 33, 1.4, 0.321, 0.2, 10.684),
        Kind("middle", 6.1, 45_000, 0.5, 110_000, 20, 2.6, 1.532, 0.5, 10.215),
        Kind("giant", 1.04, 300_000, 0.55, 1_000_000, 16, 30.0, 4.055, 0.8, 15.207),
    ),
    ((0.36, 1.3, 2.7), (2.45, 0.5, 0.05), (0.36, 1.3, 2.7)),
)  # fmt: skip
"""Phases of mostly long and of mostly short prompts, with equal ranks."""

RANKS = Mix(
    EngineTraits(
        slots=12, memory_tokens=197_200, step_s=0.00102, per_writer_s=2.26e-6,
        per_context_token_s=4.31e-9, read_tokens_per_s=206_000.0, per_pair_s=1.38e-10, stride=48,
        hop_s=0.000075, usual_answer=1386,
    ),
    (
        Kind("short", 43.1, 4_960, 0.9, 23_800, 30.7, 1.8, 0.271, 0.25, 10.8, 0.1, 0),
        Kind("middle", 5.1, 45_000, 0.5, 110_000, 18.4, 2.4, 1.532, 0.6, 10.215, 0.25, 1),
        Kind("giant", 1.8, 190_000, 0.55, 600_000, 15.3, 7.3, 6.055, 1.0, 15.138, 0.38, 2),
    ),
    ((1.0, 1.0, 2.4), (1.8, 1.0, 1.0), (1.0, 1.0, 2.4)),
)  # fmt: skip
"""Bursts of the least urgent kind, whose prompts are long, and of the most urgent one."""

WAVES = Mix(
    EngineTraits(
        slots=12, memory_tokens=267_750, step_s=0.00085, per_writer_s=3.8e-6,
        per_context_token_s=3.6e-9, read_tokens_per_s=177_000.0, per_pair_s=1.38e-10, stride=57,
        hop_s=0.000075, usual_answer=1600,
    ),
    (
        Kind("short", 31.9, 4_960, 0.9, 23_800, 32, 1.3, 0.308, 0.25, 10.28, rank=1),
        Kind("middle", 2.03, 45_000, 0.5, 110_000, 19, 3.5, 1.513, 0.6, 10.088, rank=1),
        Kind("giant", 0.863, 220_000, 0.55, 700_000, 16, 29, 4.023, 1.0, 15.085, rank=1),
    ),
    ((2.5, 1.0, 1.0), (1.0, 1.0, 2.9), (1.0, 1.0, 1.0)),
)  # fmt: skip
"""Bursts of short and of long prompts, all with the same rank."""

MIXES = {"long and short": LONG_AND_SHORT, "ranks": RANKS, "waves": WAVES}
"""The mixes by name."""


class Arrival(NamedTuple):
    """A request that arrives at `at_s`; sizes are in tokens, `estimate` is the caller's."""

    kind: Kind
    at_s: float
    prompt: int
    answer: int
    estimate: int


class KindResult(NamedTuple):
    """Results of the requests of one kind: numbers of requests, and possible and earned worth."""

    requests: int
    late: int
    lost: int
    possible: float
    earned: float


class MixSimulation:
    """One run of the simulation.

    Parameters
    ----------
    seed : int
        Seed of the arrivals and the engines.
    engines : int
        Number of engines.
    share : float
        Factor on the arrival rates of all kinds.
    mix : Mix
        The workload.
    """

    def __init__(self, seed: int, engines: int, share: float, mix: Mix = LONG_AND_SHORT):
        self._mix = mix
        self._rng = random.Random(seed)
        self._clock = Clock()
        self._clock.advance(START_S)
        self._service = Service("pool", mix.traits)
        self._view = FleetView(lambda _target: mix.traits)
        targets = TargetListFollower(
            self._clock, None, 3.0, lambda _entry: None, StorePace(self._clock, self._rng)
        )
        targets.entries = target_entries(engines)
        self._chooser = Chooser("box", self._clock, targets, self._view)
        self._late_binding = LateBinding(self._clock, self._chooser)
        self._engines = {name: PassEngine(mix.traits, self._rng) for name in targets.entries}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._arrivals = sorted(self._draw(share), key=lambda arrival: arrival.at_s)
        self._ids = {arrival: index for index, arrival in enumerate(self._arrivals)}
        self._streams: dict[Arrival, Stream] = {}
        self._plans: dict[Stream, object] = {}

    def run(self) -> dict[str, KindResult]:
        """Run the simulation and return the result of each kind."""
        for arrival in self._arrivals:
            self._schedule(arrival.at_s, partial(self._place, arrival))
        until_s = START_S + len(self._mix.phases) * PHASE_S + DRAIN_S
        while self._events and self._events[0][0] <= until_s:
            at_s, _number, callback = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at_s - self._clock.seconds()))
            callback()
        return {kind.name: self._result(kind) for kind in self._mix.kinds}

    def _draw(self, share: float) -> Iterator[Arrival]:
        for index, (kind, factor) in (
            (index, pair)
            for index, phase in enumerate(self._mix.phases)
            for pair in zip(self._mix.kinds, phase, strict=True)
        ):
            at_s, end_s = START_S + index * PHASE_S, START_S + (index + 1) * PHASE_S
            while (at_s := at_s + self._rng.expovariate(kind.per_s * factor * share)) < end_s:
                prompt = int(min(kind.longest, self._lognormal(kind.prompt, kind.prompt_spread)))
                events = max(1, round(min(2.5 * kind.events, self._lognormal(kind.events, 0.6))))
                answer = events * self._mix.traits.stride
                estimate = int(answer * math.exp(self._rng.gauss(0, ESTIMATE_SPREAD)))
                yield Arrival(kind, at_s, prompt, answer, estimate)

    def _lognormal(self, mean: float, spread: float) -> float:
        sigma = math.sqrt(math.log(1 + spread * spread))
        return self._rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), callback))

    def _place(self, arrival: Arrival) -> None:
        kind, now_s = arrival.kind, self._clock.seconds()
        lost_s = min(kind.deadline_s - arrival.estimate * self._mix.traits.step_s, kind.patience_s)
        ranks, first_due_s = self._mix.ranks, arrival.at_s + kind.first_s
        may_wait = len(ranks) > 1 and waiting.is_long(arrival.prompt) and now_s < first_due_s
        demand = Demand(
            self._service, arrival.prompt, arrival.estimate, first_due_s, kind.pause_s, "hall",
            ranked_placement.default_policy(ranks), arrival.at_s + lost_s, may_wait=may_wait,
            rank_weight=ranked_placement.rank_weight(kind.rank, ranks),
        )  # fmt: skip
        work_id = f"box_{self._ids[arrival]}"
        choice = self._late_binding.choose(work_id, demand, ())
        if isinstance(choice, WaitForEngine):
            self._schedule(now_s + choice.wait_s, partial(self._place, arrival))
            return
        if choice is None or choice.abandon_chance > MAX_ABANDON_CHANCE:
            return
        stream = Stream(arrival.at_s, arrival.answer, len(choice.names), kind.patience_s)
        self._streams[arrival] = stream
        self._plans[stream] = self._chooser.record_choice(work_id, demand, choice)
        for index, name in enumerate(choice.names):
            engine = self._engines[name]
            part = Part(stream, arrival.prompt / len(choice.names), len(choice.names), index == 0)
            engine.parts.append(part)
            if not engine.is_running:
                engine.is_running = True
                self._schedule(now_s + FIRST_PASS_DELAY_S, partial(self._begin_pass, engine))

    def _begin_pass(self, engine: PassEngine) -> None:
        next_pass = engine.next_pass()
        if next_pass is None:
            engine.is_running = False
            return
        end_s = self._clock.seconds() + next_pass.duration_s
        self._schedule(
            end_s, partial(self._end_pass, engine, next_pass.writers, next_pass.finished_readers)
        )

    def _end_pass(
        self, engine: PassEngine, writers: list[Part], finished_readers: list[Part]
    ) -> None:
        now_s = self._clock.seconds()
        for part in finished_readers:
            part.stream.unread_parts -= 1
        for stream in (part.stream for part in writers if not part.stream.ended):
            if stream.first_s is None:
                self._view.note_first_event(self._plans[stream], now_s)
            stream.note_event(now_s, self._mix.traits.stride)
            if stream.ended:
                self._view.note_ended(self._plans[stream])
        self._begin_pass(engine)

    def _result(self, kind: Kind) -> KindResult:
        of_kind = [arrival for arrival in self._arrivals if arrival.kind is kind]
        scores = [
            (kind.worth_of(arrival.prompt), self._earned_share(arrival)) for arrival in of_kind
        ]
        return KindResult(
            len(of_kind),
            sum(share == kind.late_worth for _, share in scores),
            sum(share == 0.0 for _, share in scores),
            sum(worth for worth, _ in scores),
            sum(worth * share for worth, share in scores),
        )

    def _earned_share(self, arrival: Arrival) -> float:
        """Return the share of its worth that a request has earned."""
        stream = self._streams.get(arrival)
        if stream is None or stream.lost or not stream.ended:
            return 0.0
        kind = arrival.kind
        in_time = stream.first_s <= kind.first_s and stream.pause_s <= kind.pause_s
        return 1.0 if in_time else kind.late_worth


def _worth_by_kind(prompt: float) -> float:
    """Return a request's worth by its kind; the product knows only the prompt size."""
    kind = next(kind for kind in LONG_AND_SHORT.kinds if prompt <= kind.longest)
    return kind.worth_of(prompt)


def _no_exposure(*_args) -> Callable[[expected_loss.Candidate], float]:
    return lambda _candidate: 0.0


VARIANTS: dict[str, Callable[[], AbstractContextManager]] = {
    "as it stands": nullcontext,
    "ranks ignored": lambda: patch.object(Mix, "ranks", (5,)),
    "worth by kind": lambda: patch.object(choosing, "worth_of", _worth_by_kind),
    "no exposure": lambda: patch.object(expected_loss, "_interference_loss_function", _no_exposure),
    "arrivals remembered for 12 s": lambda: patch.object(arrivals, "DECAY_S", 12.0),
    "idle engines cost nothing": lambda: patch.object(expected_loss, "IDLE_COST", 0.0),
    "idle engines cost 0.12": lambda: patch.object(expected_loss, "IDLE_COST", 0.12),
    "limits from 0.8 on": lambda: patch.object(expected_loss, "MISS_MIDPOINT_SHARE", 0.8),
    "limits from 0.95 on": lambda: patch.object(expected_loss, "MISS_MIDPOINT_SHARE", 0.95),
    "limits softer, 0.15": lambda: patch.object(expected_loss, "MISS_SCALE_SHARE", 0.15),
    "limits harder, 0.06": lambda: patch.object(expected_loss, "MISS_SCALE_SHARE", 0.06),
    "all engines quoted": lambda: patch.object(expected_loss, "DEFAULT_SIMULATED_ENGINES", 10_000),
    "12 parts at the most": lambda: patch.object(
        expected_loss, "PART_COUNTS", expected_loss.PART_COUNTS[:9]
    ),
}
"""Variants of the decision; each applies while its context is entered."""


def measure(
    variant: str, engines: int, seeds: int, share: float = 1.0, mix: str = "long and short"
) -> dict:
    """Return the result of a variant over all seeds."""
    with VARIANTS[variant]():
        runs = [
            MixSimulation(seed, engines, share, MIXES[mix]).run() for seed in range(1, seeds + 1)
        ]
    kinds = {
        name: KindResult(*map(sum, zip(*(run[name] for run in runs), strict=True)))
        for name in runs[0]
    }
    earned = sum(row.earned for row in kinds.values()) / sum(row.possible for row in kinds.values())
    shares = {name: round(row.earned / row.possible, 4) for name, row in kinds.items()}
    late = {name: [row.requests, row.late, row.lost] for name, row in kinds.items()}
    return {"mix": mix, "way": variant, "engines": engines, "share": share, "seeds": seeds,
            "earned": round(earned, 4), "by_kind": shares, "requests_late_lost": late}  # fmt: skip


def main() -> None:
    """Run all variants, print a table and save the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--engines", type=int, nargs="+", default=[60, 45])
    parser.add_argument("--ways", nargs="+", default=list(VARIANTS), choices=list(VARIANTS))
    parser.add_argument("--mix", default="long and short", choices=list(MIXES))
    args = parser.parse_args()
    rows = []
    for engines, variant in itertools.product(args.engines, args.ways):
        row = measure(variant, engines, args.seeds, mix=args.mix)
        rows.append(row)
        print(f"{engines:>4} {variant:<30} {row['earned']:.4f}  {row['by_kind']}", flush=True)
    save("placement_mix", {"rows": rows})


if __name__ == "__main__":
    main()
