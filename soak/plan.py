"""What happens in a soak, and when: made from a seed alone."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .proxy import Delayed, LinkMode, OneWay, Resetting, Silenced

__all__ = [
    "DATA_HALLS",
    "AllBoxesKilled",
    "BoxKilled",
    "BoxPaused",
    "BoxStopped",
    "Fault",
    "KeyTaken",
    "LinkHarmed",
    "Planned",
    "SettingsChanged",
    "Shape",
    "StoreFromCopy",
    "StoreHarmed",
    "TargetFails",
    "TargetKilled",
    "TargetLeaves",
    "TargetSays",
    "TargetsPaused",
    "VersionPut",
    "make_plan",
]

DATA_HALLS = 3
"""Over so many data halls boxes and targets are spread, one after another."""


@dataclass(frozen=True)
class Shape:
    """The size of a soak's fleet."""

    boxes: int = 4
    targets: int = 6


@dataclass(frozen=True)
class BoxPaused:
    """A box stands still and goes on (SIGSTOP, SIGCONT)."""

    box: int
    for_s: float


@dataclass(frozen=True)
class BoxKilled:
    """A box is killed and started again after a while."""

    box: int
    for_s: float


@dataclass(frozen=True)
class AllBoxesKilled:
    """All boxes are killed at once and started again after a while."""

    for_s: float


@dataclass(frozen=True)
class BoxStopped:
    """A box is told to stop (SIGTERM), and started again when it has ended."""

    box: int


@dataclass(frozen=True)
class SettingsChanged:
    """A box's settings file changes, with a signal (SIGHUP)."""

    box: int


@dataclass(frozen=True)
class LinkHarmed:
    """One link is harmed: ``store N`` of box N, ``target N``, or ``caller N`` to box N."""

    link: str
    mode: LinkMode
    for_s: float


@dataclass(frozen=True)
class StoreHarmed:
    """A switch of the store's stand-in, with the value that it has meanwhile."""

    switch: str
    value: bool | int | float
    for_s: float


@dataclass(frozen=True)
class StoreFromCopy:
    """The store comes back from a copy of itself that was taken so many seconds before."""

    copy_age_s: float


@dataclass(frozen=True)
class TargetKilled:
    """A target is killed and started again after a while, under another name."""

    target: int
    for_s: float


@dataclass(frozen=True)
class TargetLeaves:
    """A target says that it leaves, serves on, ends, and is started again."""

    target: int


@dataclass(frozen=True)
class TargetFails:
    """A target's next answers fail in one way."""

    target: int
    switch: str
    count: int


@dataclass(frozen=True)
class TargetSays:
    """A target says something of itself, and after a while no more.

    `switch` is a switch of the stand-in: the rate that it takes from all boxes, or for how long it
    wants rest from each box that it turns away.
    """

    target: int
    switch: str
    value: float
    for_s: float


@dataclass(frozen=True)
class TargetsPaused:
    """All targets pause between events, answer reports meanwhile, and go on."""

    for_s: float


@dataclass(frozen=True)
class VersionPut:
    """The operator writes a new version of the configuration."""


@dataclass(frozen=True)
class KeyTaken:
    """The operator takes a key away."""


Fault = (
    BoxPaused | BoxKilled | AllBoxesKilled | BoxStopped | SettingsChanged | LinkHarmed
    | StoreFromCopy | StoreHarmed | TargetKilled | TargetLeaves | TargetFails | TargetSays
    | TargetsPaused | VersionPut | KeyTaken
)  # fmt: skip


@dataclass(frozen=True)
class Planned:
    """A fault, and when it begins in seconds from the start of traffic."""

    at_s: float
    fault: Fault


QUIET_S = 3.0
"""Seconds without faults at the start."""

MEAN_GAP_S = 0.9
"""Mean time between two faults, in seconds; they last longer, so they overlap."""

CALM_SHARE = 0.3
"""Share of seeds that have planned work only."""

TWICE_SHARE, TWICE_WITHIN_S = 0.2, 0.5
"""How often a fault strikes a second time, and within how many seconds."""

KEY_IN_CUT_SHARE = 0.08
"""How often a key is taken away while a box is cut off from the store for longer than its bound."""


LONGEST_CUT_S = 10.0
"""The longest cut that is to outlast the bound on keys, in seconds; all is healed at the end."""

LONG_CUT_SEEDS = 0.5
"""Share of the seeds with faults in which such a cut surely is, with a key taken away in it."""

PAUSE_SEEDS = 0.6
"""Share of all seeds in which all targets pause together while planned work is under way."""

PAUSED_S = (1.4, 1.9)
"""How long such a pause lasts, in seconds: longer than a box waits before it moves a stream, and
shorter than callers wait for an event."""

PAUSES, PAUSE_GAP_S = 3, (2.1, 3.0)
"""How many pauses follow each other, and from one's beginning to the next one's, in seconds: soon
enough that the repeats which one has used up are missing in the next."""

RATE_SEEDS, RATES = 0.6, (0.25, 1.0, 5.0)
"""Share of all seeds in which some targets name a rate, and which, in requests a second."""

RESTS = (1.5, 3.0, 5.0)
"""How long a rest some targets ask for, in as many seeds, in seconds."""

SAYS_FOR_S = (6.0, 14.0)
"""How long they do, in seconds: a window of the promise, and the time until all boxes know."""

UNTOLD_SEEDS, UNTOLD, UNTOLD_FOR_S = 0.5, 2, (4.0, 7.0)
"""Share of the seeds with faults in which targets leave while the store is away, how many at the
most, and for how many seconds it is: longer than boxes may go on sending there."""

COPY_SEEDS, COPIES = 0.5, 2
"""Share of all seeds in which the store comes back from a copy, and how often at the most."""

COPY_AGE_S = (0.5, 5.0)
"""How old the copy is, in seconds."""

STOP_GAP_S = (0.4, 2.0)
"""From one planned stop of a series to the next, in seconds; a stop lasts longer."""

PAUSES_LAST_S = 8.0
"""How long before the end of all faults the pauses begin, in seconds, where the time suffices."""


def make_plan(seed: int, length_s: float, shape: Shape) -> list[Planned]:
    """Return the faults of a soak, in order of time.

    About a third of all seeds have planned work only, since some promises are only made for calm
    times.
    """
    rng = random.Random(seed)
    calm = rng.random() < CALM_SHARE
    plan = []
    at_s = QUIET_S
    while at_s < length_s:
        if not calm and rng.random() < KEY_IN_CUT_SHARE:
            plan += _key_taken_in_a_cut(rng, shape, at_s)
        fault = _planned_work(rng, shape) if calm else _any_fault(rng, shape)
        plan += [Planned(at_s, fault)]
        if rng.random() < TWICE_SHARE:
            # Twice in a row, and overlapping.
            plan += [Planned(at_s + rng.uniform(0.0, TWICE_WITHIN_S), fault)]
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    latest_s = length_s - LONGEST_CUT_S
    if not calm and latest_s > QUIET_S and rng.random() < LONG_CUT_SEEDS:
        plan += _key_taken_in_a_cut(rng, shape, rng.uniform(QUIET_S, latest_s))
    # From numbers of their own: they change nothing of the rest of the plan.
    plan += _pauses_in_planned_work(random.Random(f"pauses of {seed}"), shape, length_s)
    rates, rests = random.Random(f"rates of {seed}"), random.Random(f"rests of {seed}")
    half = max(1, shape.targets // 2)
    plan += _said_by_targets(rates, shape, length_s, "rate_per_s", RATES, half)
    # All of a service at times: what is kept by luck where another one is free shows there.
    plan += _said_by_targets(rests, shape, length_s, "rest_s", RESTS, shape.targets - 1)
    if not calm:
        plan += _leave_untold(random.Random(f"untold of {seed}"), shape, length_s)
    plan += _copies_of_the_store(random.Random(f"copies of {seed}"), length_s)
    return sorted(plan, key=lambda planned: planned.at_s)


def _copies_of_the_store(rng: random.Random, length_s: float) -> list[Planned]:
    """Return when the store comes back from a copy; a second time may follow at once."""
    if rng.random() >= COPY_SEEDS:
        return []
    return [
        Planned(
            rng.uniform(QUIET_S, max(QUIET_S, length_s)), StoreFromCopy(rng.uniform(*COPY_AGE_S))
        )
        for _ in range(rng.randint(1, COPIES))
    ]


def _leave_untold(rng: random.Random, shape: Shape, length_s: float) -> list[Planned]:
    """Return an outage of the store in which targets leave: only their answers say so."""
    if rng.random() >= UNTOLD_SEEDS:
        return []
    at_s = rng.uniform(QUIET_S, max(QUIET_S, length_s / 2))
    leaving = rng.sample(range(shape.targets), rng.randint(1, min(UNTOLD, shape.targets)))
    outage = Planned(at_s, StoreHarmed("outage", True, rng.uniform(*UNTOLD_FOR_S)))
    return [outage, *(Planned(at_s + rng.uniform(0.1, 1.0), TargetLeaves(t)) for t in leaving)]


def _said_by_targets(
    rng: random.Random,
    shape: Shape,
    length_s: float,
    switch: str,
    values: Sequence[float],
    most: int,
) -> list[Planned]:
    """Return up to `most` targets that say something of themselves, each for a while."""
    if rng.random() >= RATE_SEEDS:
        return []
    named = rng.sample(range(shape.targets), rng.randint(1, most))
    return [
        Planned(
            rng.uniform(0.5, max(0.5, length_s / 2)),
            TargetSays(target, switch, rng.choice(values), rng.uniform(*SAYS_FOR_S)),
        )
        for target in named
    ]


def _pauses_in_planned_work(rng: random.Random, shape: Shape, length_s: float) -> list[Planned]:
    """Return pauses of all targets, amid stops of all boxes in turn and changes of all kinds."""
    if rng.random() >= PAUSE_SEEDS:
        return []
    first_s = rng.uniform(QUIET_S, max(QUIET_S, length_s - PAUSES_LAST_S))
    plan = []
    at_s = first_s
    for box in rng.sample(range(shape.boxes), shape.boxes):
        changed = SettingsChanged(rng.randrange(shape.boxes))
        plan += [
            Planned(at_s, BoxStopped(box)),
            Planned(at_s + rng.uniform(*STOP_GAP_S), changed),
            Planned(at_s + rng.uniform(*STOP_GAP_S), VersionPut()),
        ]
        at_s += rng.uniform(*STOP_GAP_S)
    at_s = first_s + rng.uniform(0.0, 1.0)
    for _ in range(PAUSES):
        plan += [Planned(at_s, TargetsPaused(rng.uniform(*PAUSED_S)))]
        at_s += rng.uniform(*PAUSE_GAP_S)
    return [planned for planned in plan if planned.at_s < length_s]


def _key_taken_in_a_cut(rng: random.Random, shape: Shape, at_s: float) -> list[Planned]:
    mode = rng.choice([Silenced(), OneWay(True), OneWay(False), Resetting()])
    cut = LinkHarmed(f"store {rng.randrange(shape.boxes)}", mode, rng.uniform(7.0, 9.0))
    return [Planned(at_s, cut), Planned(at_s + 0.3, KeyTaken())]


def _planned_work(rng: random.Random, shape: Shape) -> Fault:
    box, target = rng.randrange(shape.boxes), rng.randrange(shape.targets)
    faults = [BoxStopped(box), SettingsChanged(box), VersionPut(), TargetLeaves(target)]
    return rng.choices(faults, [3, 2, 3, 1])[0]


def _any_fault(rng: random.Random, shape: Shape) -> Fault:
    box, target = rng.randrange(shape.boxes), rng.randrange(shape.targets)
    for_s = rng.uniform(0.2, 6.0)
    mode = rng.choice(
        [Delayed(rng.uniform(0.05, 0.8)), Silenced(), OneWay(True), OneWay(False), Resetting()]
    )
    switch, value = rng.choice(
        [("outage", True), ("silent", True), ("delay_s", 0.3), ("lose_answers", 3)]
    )
    failure = rng.choice(["lose_answers", "break_streams", "fail"])
    weighted: list[tuple[Fault, float]] = [
        (_planned_work(rng, shape), 4),
        (BoxPaused(box, for_s), 2),
        (BoxKilled(box, for_s / 2), 1.5),
        (AllBoxesKilled(for_s / 3), 0.3),
        (LinkHarmed(f"store {box}", mode, for_s), 2),
        (LinkHarmed(f"target {target}", mode, for_s), 1.5),
        (LinkHarmed(f"caller {box}", mode, for_s / 3), 0.7),
        (StoreHarmed(switch, value, for_s), 1.5),
        (TargetKilled(target, for_s / 2), 1),
        (TargetFails(target, failure, rng.randint(1, 5)), 3),
        (KeyTaken(), 0.7),
    ]
    faults, weights = zip(*weighted, strict=True)
    return rng.choices(faults, weights)[0]
