"""Ways to place, compared on one mix of work: short answers and giants by turns, in virtual time.

``python -m benchmarks.placement_mix`` plays 60 engines for 30 seconds, many seeds a way, each way
on the same arrivals. The real `Chooser` decides and knows all work at once; engines follow the
model that it predicts by, but for a pace of their own. No boxes, faults or hedges: what is compared
is the decision alone. The figures of the work are those of a users' sheet.
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

from benchmarks.forward_roles import _entries
from benchmarks.measure import save
from benchmarks.pass_engine import Part, PassEngine, Stream
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.placing import choosing
from gladedrum.placing.choosing import Chooser, Demand
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.placer import MAX_LOST_CHANCE
from gladedrum.routes import Service
from gladedrum.scheduling import arrivals, expected_loss
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.ledger import (
    CALLER_WAIT_OBJECTIVE_FACTOR,
    CALLER_WAIT_PAUSE_FACTOR,
    MIN_CALLER_WAIT_S,
)

TRAITS = EngineTraits(
    slots=12, memory_tokens=382_500, step_s=0.000925, per_writer_s=4.83e-6,
    per_context_token_s=2.54e-9, read_tokens_per_s=256_000.0, per_pair_s=0.917e-10, stride=52,
    hop_s=0.0001, usual_answer=1604,
)  # fmt: skip
"""The engines of the sheet."""

LATE_WORTH = 0.25
"""What a late answer is worth, as a share."""

PHASE_S = 10.0
"""How long a phase of the mix lasts, in seconds."""

AFTER_S = 12.0
"""For how long after the last phase the engines are played on, in seconds."""

FIRST_PASS_AFTER_S = 0.002
"""From a decision until its engine begins, in seconds."""

GUESS_SPREAD = 0.5
"""How far callers' guesses at the length of an answer are off (standard deviation of the log)."""

START_S = 100.0


class Kind(NamedTuple):
    """A kind of request: how often it comes, its sizes, and what is aimed at."""

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

    @property
    def patience_s(self) -> float:
        """How long a caller waits for an event, in seconds."""
        pauses_s = CALLER_WAIT_PAUSE_FACTOR * self.pause_s
        return max(MIN_CALLER_WAIT_S, CALLER_WAIT_OBJECTIVE_FACTOR * self.first_s, pauses_s)

    def worth_of(self, prompt: float) -> float:
        """Return what a request of this kind is worth in time, by its length."""
        return self.worth * min(4.0, 0.3 + 0.7 * prompt / self.prompt)


KINDS = (
    Kind("short", 38.3, 4_960, 0.9, 23_800, 33, 1.4, 0.321, 0.2, 10.684),
    Kind("middle", 6.1, 45_000, 0.5, 110_000, 20, 2.6, 1.532, 0.5, 10.215),
    Kind("giant", 1.04, 300_000, 0.55, 1_000_000, 16, 30.0, 4.055, 0.8, 15.207),
)
"""The users' kinds that engines serve."""

PHASES = ((0.36, 1.3, 2.7), (2.45, 0.5, 0.05), (0.36, 1.3, 2.7))
"""How much more or less often each kind comes, phase by phase."""


class Asked(NamedTuple):
    """A request that will come."""

    kind: Kind
    at_s: float
    prompt: int
    answer: int
    guess: int


class KindResult(NamedTuple):
    """How the requests of one kind were served."""

    requests: int
    late: int
    lost: int
    owed: float
    earned: float


class MixPlay:
    """One play of the mix."""

    def __init__(self, seed: int, engines: int, share: float):
        self._rng = random.Random(seed)
        self._clock = Clock()
        self._clock.advance(START_S)
        self._service = Service("pool", TRAITS)
        self._view = FleetView(lambda _target: TRAITS)
        targets = TargetListFollower(
            self._clock, None, 3.0, lambda _entry: None, StorePace(self._clock, self._rng)
        )
        targets.entries = _entries(engines)
        self._chooser = Chooser("box", self._clock, targets, self._view)
        self._engines = {name: PassEngine(TRAITS, self._rng) for name in targets.entries}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._asked = sorted(self._draw(share), key=lambda asked: asked.at_s)
        self._streams: dict[Asked, Stream] = {}
        self._plans: dict[Stream, object] = {}

    def run(self) -> dict[str, KindResult]:
        """Play it; return the result of each kind."""
        for asked in self._asked:
            self._at(asked.at_s, partial(self._place, asked))
        until_s = START_S + len(PHASES) * PHASE_S + AFTER_S
        while self._due and self._due[0][0] <= until_s:
            at_s, _number, act = heapq.heappop(self._due)
            self._clock.advance(max(0.0, at_s - self._clock.seconds()))
            act()
        return {kind.name: self._result(kind) for kind in KINDS}

    def _draw(self, share: float) -> Iterator[Asked]:
        for index, (kind, more) in (
            (index, pair)
            for index, phase in enumerate(PHASES)
            for pair in zip(KINDS, phase, strict=True)
        ):
            at_s, end_s = START_S + index * PHASE_S, START_S + (index + 1) * PHASE_S
            while (at_s := at_s + self._rng.expovariate(kind.per_s * more * share)) < end_s:
                prompt = int(min(kind.longest, self._lognormal(kind.prompt, kind.prompt_spread)))
                events = max(1, round(min(2.5 * kind.events, self._lognormal(kind.events, 0.6))))
                answer = events * TRAITS.stride
                guess = int(answer * math.exp(self._rng.gauss(0, GUESS_SPREAD)))
                yield Asked(kind, at_s, prompt, answer, guess)

    def _lognormal(self, mean: float, spread: float) -> float:
        sigma = math.sqrt(math.log(1 + spread * spread))
        return self._rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._numbers), act))

    def _place(self, asked: Asked) -> None:
        kind, now_s = asked.kind, self._clock.seconds()
        lost_s = min(kind.deadline_s - asked.guess * TRAITS.step_s, kind.patience_s)
        demand = Demand(
            self._service, asked.prompt, asked.guess, asked.at_s + kind.first_s, kind.pause_s,
            "hall", "", asked.at_s + lost_s,
        )  # fmt: skip
        choice = self._chooser.choose(demand, ())
        if choice is None or choice.abandon_chance > MAX_LOST_CHANCE:
            return
        stream = Stream(asked.at_s, asked.answer, len(choice.names), kind.patience_s)
        work_id = f"box_{len(self._streams)}"
        self._streams[asked] = stream
        self._plans[stream] = self._chooser.record_choice(work_id, demand, choice)
        for index, name in enumerate(choice.names):
            engine = self._engines[name]
            part = Part(stream, asked.prompt / len(choice.names), len(choice.names), index == 0)
            engine.parts.append(part)
            if not engine.works:
                engine.works = True
                self._at(now_s + FIRST_PASS_AFTER_S, partial(self._begin_pass, engine))

    def _begin_pass(self, engine: PassEngine) -> None:
        played = engine.play_pass()
        if played is None:
            engine.works = False
            return
        end_s = self._clock.seconds() + played.took_s
        self._at(end_s, partial(self._end_pass, engine, played.writers, played.read))

    def _end_pass(self, engine: PassEngine, writers: list[Part], read: list[Part]) -> None:
        now_s = self._clock.seconds()
        for part in read:
            part.stream.unread_parts -= 1
        for stream in (part.stream for part in writers if not part.stream.over):
            if stream.first_s is None:
                self._view.note_first_event(self._plans[stream], now_s)
            stream.note_event(now_s, TRAITS.stride)
            if stream.over:
                self._view.note_ended(self._plans[stream])
        self._begin_pass(engine)

    def _result(self, kind: Kind) -> KindResult:
        asked = [one for one in self._asked if one.kind is kind]
        verdicts = [(kind.worth_of(one.prompt), self._share(one)) for one in asked]
        return KindResult(
            len(asked),
            sum(share == LATE_WORTH for _, share in verdicts),
            sum(share == 0.0 for _, share in verdicts),
            sum(worth for worth, _ in verdicts),
            sum(worth * share for worth, share in verdicts),
        )

    def _share(self, asked: Asked) -> float:
        """Return which share of its worth a request has earned."""
        stream = self._streams.get(asked)
        if stream is None or stream.lost or not stream.over:
            return 0.0
        kind = asked.kind
        in_time = stream.first_s <= kind.first_s and stream.pause_s <= kind.pause_s
        return 1.0 if in_time else LATE_WORTH


def _worth_by_kind(prompt: float) -> float:
    """Return a request's worth by the sheet's prices of its kind, which a box is not told."""
    kind = next(kind for kind in KINDS if prompt <= kind.longest)
    return kind.worth_of(prompt)


def _no_exposure(*_args) -> Callable[[expected_loss.Candidate], float]:
    return lambda _candidate: 0.0


WAYS: dict[str, Callable[[], AbstractContextManager]] = {
    "as it stands": nullcontext,
    "worth by kind": lambda: patch.object(choosing, "worth_of", _worth_by_kind),
    "no exposure": lambda: patch.object(expected_loss, "_exposure", _no_exposure),
    "arrivals remembered for 12 s": lambda: patch.object(arrivals, "MEMORY_S", 12.0),
    "idle engines cost nothing": lambda: patch.object(expected_loss, "IDLE_COST", 0.0),
    "idle engines cost 0.12": lambda: patch.object(expected_loss, "IDLE_COST", 0.12),
    "limits from 0.8 on": lambda: patch.object(expected_loss, "MARGIN", 0.8),
    "limits from 0.95 on": lambda: patch.object(expected_loss, "MARGIN", 0.95),
    "limits softer, 0.15": lambda: patch.object(expected_loss, "SOFTNESS", 0.15),
    "limits harder, 0.06": lambda: patch.object(expected_loss, "SOFTNESS", 0.06),
    "all engines quoted": lambda: patch.object(expected_loss, "DEFAULT_QUOTED_ENGINES", 10_000),
    "12 parts at the most": lambda: patch.object(
        expected_loss, "PART_COUNTS", expected_loss.PART_COUNTS[:9]
    ),
}
"""What is compared; each stands for a decision while its context is entered."""


def measure(way: str, engines: int, seeds: int, share: float = 1.0) -> dict:
    """Return the mean result of a way."""
    with WAYS[way]():
        plays = [MixPlay(seed, engines, share).run() for seed in range(1, seeds + 1)]
    kinds = {
        name: KindResult(*map(sum, zip(*(play[name] for play in plays), strict=True)))
        for name in plays[0]
    }
    earned = sum(row.earned for row in kinds.values()) / sum(row.owed for row in kinds.values())
    shares = {name: round(row.earned / row.owed, 4) for name, row in kinds.items()}
    late = {name: [row.requests, row.late, row.lost] for name, row in kinds.items()}
    return {"way": way, "engines": engines, "share": share, "seeds": seeds,
            "earned": round(earned, 4), "by_kind": shares, "requests_late_lost": late}  # fmt: skip


def main() -> None:
    """Measure all ways, print a table and write the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--engines", type=int, nargs="+", default=[60, 45])
    parser.add_argument("--ways", nargs="+", default=list(WAYS), choices=list(WAYS))
    args = parser.parse_args()
    rows = []
    for engines, way in itertools.product(args.engines, args.ways):
        row = measure(way, engines, args.seeds)
        rows.append(row)
        print(f"{engines:>4} {way:<30} {row['earned']:.4f}  {row['by_kind']}", flush=True)
    save("placement_mix", {"rows": rows})


if __name__ == "__main__":
    main()
