"""The schedule of faults of a soak run, generated from a seed.

A plan mixes real faults, such as kills and network partitions, with planned work, such as restarts
and changes of settings. The type `Fault` covers both.
"""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass

from gladedrum.standins.early_ends import EarlyKind

from .links import TARGET_CUTS, LinkCut
from .proxy import Delayed, LinkMode, OneWay, Resetting, ResettingReads, Silenced, Throttled

__all__ = [
    "DATA_HALLS",
    "AllBoxesKilled",
    "BoxCut",
    "BoxIsolated",
    "BoxKilled",
    "BoxPaused",
    "BoxStopped",
    "Fault",
    "FleetSize",
    "HallEvacuated",
    "KeyRevoked",
    "LargeVersionWritten",
    "LinkFault",
    "ScheduledFault",
    "SettingsChanged",
    "StoreFault",
    "StoreRestored",
    "TargetAdvertises",
    "TargetDeparts",
    "TargetEndsRuns",
    "TargetFails",
    "TargetKilled",
    "TargetKilledBehindRelay",
    "TargetLeaves",
    "TargetsPaused",
    "VersionWritten",
    "has_ends_of_carriers",
    "make_plan",
]

DATA_HALLS = 3
"""Number of data halls; boxes and targets are assigned to them in turn."""


@dataclass(frozen=True)
class FleetSize:
    """Number of boxes and targets in a soak."""

    boxes: int = 4
    targets: int = 6


@dataclass(frozen=True)
class BoxPaused:
    """A box is paused and resumed (SIGSTOP, SIGCONT)."""

    box: int
    for_s: float


@dataclass(frozen=True)
class BoxCut:
    """The links of a box to all targets are cut for `for_s`; all other links work."""

    box: int
    cut: LinkCut
    for_s: float


@dataclass(frozen=True)
class BoxIsolated:
    """A box is cut off from all targets, all other boxes and the store for `for_s`."""

    box: int
    for_s: float


@dataclass(frozen=True)
class BoxKilled:
    """A box is killed (SIGKILL) and restarted after `for_s`."""

    box: int
    for_s: float


@dataclass(frozen=True)
class AllBoxesKilled:
    """All boxes are killed at once and restarted after `for_s`."""

    for_s: float


@dataclass(frozen=True)
class BoxStopped:
    """A box is stopped gracefully (SIGTERM) and restarted once it has exited."""

    box: int


@dataclass(frozen=True)
class SettingsChanged:
    """A box's settings file changes and the box reloads it (SIGHUP)."""

    box: int


@dataclass(frozen=True)
class LinkFault:
    """A link gets a mode for `for_s`.

    Links are ``store N`` from box N to the store, ``target N`` from all boxes to target N, and
    ``caller N`` from callers to box N.
    """

    link: str
    mode: LinkMode
    for_s: float


@dataclass(frozen=True)
class StoreFault:
    """A fault switch of the store's stand-in, such as an outage, is set to `value` for `for_s`."""

    switch: str
    value: bool | int | float
    for_s: float


@dataclass(frozen=True)
class StoreRestored:
    """A copy of the store is taken, and the store is restored from it `copy_age_s` later."""

    copy_age_s: float


@dataclass(frozen=True)
class TargetKilled:
    """A target is killed and restarted after `for_s`, under another name."""

    target: int
    for_s: float


@dataclass(frozen=True)
class TargetLeaves:
    """A target announces that it leaves, keeps serving, exits, and is restarted."""

    target: int


@dataclass(frozen=True)
class TargetDeparts:
    """A target leaves without an announcement: its entry goes first, and it serves on."""

    target: int


@dataclass(frozen=True)
class TargetFails:
    """The next `count` responses of a target fail or are sent twice, as `switch` says."""

    target: int
    switch: str
    count: int


@dataclass(frozen=True)
class TargetEndsRuns:
    """The next `count` runs of a target, within `for_s`, end early; see `EarlyEnd`."""

    target: int
    kind: EarlyKind
    after: int
    port_s: float
    count: int
    for_s: float


@dataclass(frozen=True)
class TargetKilledBehindRelay:
    """As `TargetKilled`, while a relay accepts in its place and closes after `outlives_s`."""

    target: int
    outlives_s: float
    for_s: float


@dataclass(frozen=True)
class TargetAdvertises:
    """A target advertises a limit for `for_s`.

    `switch` is a switch of the stand-in: the request rate that the target accepts from all boxes
    together, the backoff that it asks of each box whose request it rejects, or `COLD_SWITCH`: for
    how long it is cold, in seconds from now.
    """

    target: int
    switch: str
    value: float
    for_s: float


@dataclass(frozen=True)
class TargetsPaused:
    """All targets send no events and no plain responses for `for_s`.

    They still answer calls for load reports and calls about memory.
    """

    for_s: float


@dataclass(frozen=True)
class VersionWritten:
    """The operator writes a new version of the configuration."""


@dataclass(frozen=True)
class LargeVersionWritten:
    """As `VersionWritten`, but too large for datagrams, as are all later versions."""


@dataclass(frozen=True)
class KeyRevoked:
    """The operator revokes a key."""


@dataclass(frozen=True)
class HallEvacuated:
    """The operator evacuates a data hall for `for_s`."""

    data_hall: str
    for_s: float


Fault = (
    BoxPaused | BoxCut | BoxIsolated | BoxKilled | AllBoxesKilled | BoxStopped | SettingsChanged
    | LinkFault | StoreRestored | StoreFault | TargetKilled | TargetLeaves | TargetDeparts
    | TargetFails | TargetEndsRuns | TargetKilledBehindRelay | TargetAdvertises | TargetsPaused
    | VersionWritten | LargeVersionWritten | KeyRevoked | HallEvacuated
)  # fmt: skip


@dataclass(frozen=True)
class ScheduledFault:
    """A fault and its start time, in seconds from the start of traffic."""

    at_s: float
    fault: Fault


WARMUP_S = 3.0
"""Time without faults at the start, in seconds."""

MEAN_GAP_S = 0.9
"""Mean time between two faults, in seconds; most faults last longer, so they overlap."""

PLANNED_ONLY_SHARE = 0.3
"""Share of the seeds that have only planned work."""

REPEAT_SHARE, REPEAT_WITHIN_S = 0.2, 0.5
"""Share of the faults that are repeated, and the longest delay of the repetition in seconds."""

REVOKE_IN_PARTITION_SHARE = 0.08
"""Probability, before each fault, that a key is revoked during a network partition between a box
and the store that lasts longer than `KEY_BOUND_S`."""

MAX_PARTITION_S = 10.0
"""Minimum time between the start of such a partition and the end of the fault injection, which
restores all links, in seconds."""

EXTRA_PARTITION_SHARE = 0.5
"""Share of the seeds with faults that get one more such partition with a revoked key."""

PAUSES_SHARE = 0.6
"""Share of all seeds in which all targets pause together during planned work."""

PAUSED_S = (1.4, 1.9)
"""Shortest and longest pause, in seconds: longer than a box waits before it moves a stream, and
shorter than callers wait for an event."""

PAUSES, PAUSE_GAP_S = 3, (2.1, 3.0)
"""Number of pauses, and the time between the starts of two of them in seconds: too short for the
retry budget to refill."""

ADVERTISE_SHARE, RATES_PER_S = 0.6, (0.25, 1.0, 5.0)
"""Share of all seeds in which some targets advertise a rate, and the rates in requests per second.
The share also holds for backoffs."""

BACKOFFS_S = (1.5, 3.0, 5.0)
"""Backoffs that targets ask for, in seconds."""

COLD_SWITCH, COLD_S = "cold_until_s", (1.0, 3.0, 6.0)
"""Switch of a target that turns cold, and how long it stays so, in seconds."""

ADVERTISED_FOR_S = (6.0, 14.0)
"""How long a target advertises a limit, in seconds: enough for all boxes to learn it, plus one
window in which the request rate is checked."""

OUTAGE_LEAVE_SHARE, MAX_OUTAGE_LEAVES, LEAVE_OUTAGE_S = 0.5, 2, (4.0, 7.0)
"""Share of the seeds with faults in which targets leave during a store outage, the maximum number
of these targets, and the duration of the outage in seconds: longer than `LEAVE_BOUND_S`."""

RESTORE_SHARE, MAX_RESTORES = 0.5, 2
"""Share of all seeds in which the store is restored from a copy, and the maximum number of
restores."""

COPY_AGE_S = (0.5, 5.0)
"""Age of the copy, in seconds."""

STOP_GAP_S = (0.4, 2.0)
"""Time between the planned stops of two boxes, in seconds; a stop lasts longer, so they overlap."""

LARGE_CHANGES_SHARE, LARGE_CHANGES, LARGE_CHANGE_GAP_S = 0.5, (3, 6), (0.3, 2.5)
"""Share of all seeds in which large versions follow each other while single reads of them are reset
or throttled, their number, and the time between two of them in seconds."""

RESET_READS, READ_BYTES_PER_S = (1, 2), (300_000, 1_500_000)
"""How many reads of a box are reset, and the rates to which reads are throttled, in bytes per
second: at the lowest a read takes about a second."""

EVACUATION_SHARE, EVACUATED_FOR_S = 0.5, (7.0, 12.0)
"""Share of all seeds in which a data hall is evacuated, and for how long, in seconds: longer than
the bound for new work there. Only one, since the other targets must serve enough requests for the
other promises to be tested."""

CUT_SHARE, CUT_FOR_S, CUT_APART_S = 0.6, (7.0, 11.0), 0.4
"""Share of all seeds in which some boxes lose their links to all targets, for how long,
in seconds: longer than it may take until their callers are served again, and how far apart the
cuts of several boxes begin, in seconds."""

CUTS_ONLY_SHARE = 0.2
"""Share of all seeds that consist of cuts and a little planned work: other faults excuse so many
requests that few are left by which to compare the boxes."""

CARRIERS_SHARE, CARRIER_GAP_S, CARRIER_DOWN_S = 0.12, (0.6, 1.5), (0.2, 0.8)
"""Share of all seeds in which boxes end that carry connections for boxes without links, the time
between two such ends, and how long a killed one is away, in seconds."""

SURPLUS_SHARE, SURPLUS_GAP_S, SURPLUS_ANSWERS = 0.4, (0.2, 1.0), (1, 4)
"""Share of all seeds in which targets send answers twice, the time between two such faults of a
target in seconds, and the number of answers that each repeats."""

ISOLATED_SHARES = (0.7, 1.0)
"""Shares of the boxes that are isolated together: most of them, or all."""

SETTLE_AFTER_DEPARTURE_S = 5.0
"""Time between a departure and the next isolation, in seconds: longer than the boxes' bound for
requests to departed targets after a cut."""

DEPARTURES_SHARE, ISOLATED_FOR_S, DEPARTS_AFTER_S = 0.12, (4.0, 7.0), 0.3
"""Share of all seeds in which boxes are isolated and targets depart soon after, for how long they
are isolated, and the time from its end to the departures, in seconds."""

EARLY_END_GAP_S, EARLY_RUNS, EARLY_ENDS_FOR_S = (0.3, 1.2), (1, 4), 2.0
"""Time between two faults that end runs early, the number of runs that a target ends in one of
them while it lives, and how long it waits for such runs, in seconds."""

EARLY_KINDS, EARLY_KIND_WEIGHTS = (EarlyKind.LIVES, EarlyKind.LATE, EarlyKind.REBORN), (4, 1, 1)
"""How these runs end, and the relative frequencies."""

EARLY_AFTER, PORT_S, OUTLIVES_S = (0, 2, 3, 5), (0.03, 0.2, 1.0), (0.0, 0.1, 2.0)
"""Numbers of events or pieces that such a run still sends, the times from its end to that of its
process, and after how long a relay closes what it accepts in place of its target, in seconds. The
numbers are not 1: a second run that repeats the last event alone, and ends, agrees with the first
on its end."""

RELAYED_SHARE, RELAYED_DOWN_S = 0.15, (0.3, 2.5)
"""Share of these faults that kill a target behind a relay, and for how long, in seconds."""

PAUSES_LEAD_S = 8.0
"""Minimum time between the first planned stop and the end of the fault injection, in seconds, if
the run is long enough."""


def make_plan(
    seed: int, length_s: float, size: FleetSize, early_ends: bool = False
) -> list[ScheduledFault]:
    """Return the faults of a soak, ordered by time.

    Some seeds have only planned work, since some promises hold only in the absence of faults. Some
    have only cuts of boxes from all targets, among a little planned work or with ends of the boxes
    that carry for them, and some only isolations of boxes with departures of targets. With
    `early_ends`, targets end runs early besides.
    """
    plan = _plan_of_seed(seed, length_s, size)
    if early_ends:
        plan += _early_ends(random.Random(f"early ends of {seed}"), size, length_s)
    return sorted(plan, key=lambda scheduled: scheduled.at_s)


def _early_ends(rng: random.Random, size: FleetSize, length_s: float) -> list[ScheduledFault]:
    """Return ends of runs whose targets live, or whose ports go on accepting."""
    plan, at_s = [], WARMUP_S
    while at_s < length_s:
        target = rng.randrange(size.targets)
        kind = rng.choices(EARLY_KINDS, EARLY_KIND_WEIGHTS)[0]
        count = rng.randint(*EARLY_RUNS) if kind is EarlyKind.LIVES else 1
        fault: Fault = TargetEndsRuns(
            target, kind, rng.choice(EARLY_AFTER), rng.choice(PORT_S), count, EARLY_ENDS_FOR_S
        )
        if rng.random() < RELAYED_SHARE:
            for_s = rng.uniform(*RELAYED_DOWN_S)
            fault = TargetKilledBehindRelay(target, rng.choice(OUTLIVES_S), for_s)
        plan += [ScheduledFault(at_s, fault)]
        at_s += rng.uniform(*EARLY_END_GAP_S)
    return plan


def _plan_of_seed(seed: int, length_s: float, size: FleetSize) -> list[ScheduledFault]:
    cuts = random.Random(f"cuts only of {seed}")
    if cuts.random() < CUTS_ONLY_SHARE:
        return _cuts_among_changes(cuts, size, length_s)
    if has_ends_of_carriers(seed):
        return _ends_of_carriers(random.Random(f"ends of {seed}"), size, length_s)
    departures = random.Random(f"departures of {seed}")
    if departures.random() < DEPARTURES_SHARE:
        return _departures_after_cuts(departures, size, length_s)
    rng = random.Random(seed)
    planned_only = rng.random() < PLANNED_ONLY_SHARE
    plan = []
    at_s = WARMUP_S
    while at_s < length_s:
        if not planned_only and rng.random() < REVOKE_IN_PARTITION_SHARE:
            plan += _key_revoked_in_partition(rng, size, at_s)
        fault = _planned_work(rng, size) if planned_only else _any_fault(rng, size)
        plan += [ScheduledFault(at_s, fault)]
        if rng.random() < REPEAT_SHARE:
            # The repetition overlaps with the first one.
            plan += [ScheduledFault(at_s + rng.uniform(0.0, REPEAT_WITHIN_S), fault)]
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    latest_s = length_s - MAX_PARTITION_S
    if not planned_only and latest_s > WARMUP_S and rng.random() < EXTRA_PARTITION_SHARE:
        plan += _key_revoked_in_partition(rng, size, rng.uniform(WARMUP_S, latest_s))
    # Separate generators, so that these parts don't change the rest of the plan. Their texts are
    # part of the seeds: changing one changes the plans of all seeds.
    plan += _pauses_in_planned_work(random.Random(f"pauses of {seed}"), size, length_s)
    rates, backoffs = random.Random(f"rates of {seed}"), random.Random(f"rests of {seed}")
    half = max(1, size.targets // 2)
    plan += _advertised_by_targets(rates, size, length_s, "rate_per_s", RATES_PER_S, half)
    # Sometimes all targets of a service ask for backoff, so that no other target takes the load.
    plan += _advertised_by_targets(backoffs, size, length_s, "rest_s", BACKOFFS_S, size.targets - 1)
    colds = random.Random(f"colds of {seed}")
    plan += _advertised_by_targets(colds, size, length_s, COLD_SWITCH, COLD_S, size.targets)
    if not planned_only:
        plan += _leaves_in_outage(random.Random(f"untold of {seed}"), size, length_s)
    plan += _cuts(random.Random(f"cuts of {seed}"), size, length_s)
    plan += _store_restores(random.Random(f"copies of {seed}"), length_s)
    plan += _evacuation(random.Random(f"evacuated of {seed}"), length_s)
    plan += _large_changes(random.Random(f"large of {seed}"), size, length_s)
    plan += _surplus_answers(random.Random(f"surplus of {seed}"), size, length_s)
    return sorted(plan, key=lambda scheduled: scheduled.at_s)


def _cuts_among_changes(
    rng: random.Random, size: FleetSize, length_s: float
) -> list[ScheduledFault]:
    """Return cuts of some boxes, a stop of one, and changes meanwhile."""
    cut = rng.choice(TARGET_CUTS)
    boxes = rng.sample(range(size.boxes), rng.randint(1, max(1, size.boxes - 2)))
    for_s = max(CUT_FOR_S[0], length_s - WARMUP_S - 1.0)
    plan = [
        ScheduledFault(WARMUP_S + rng.uniform(0.0, CUT_APART_S), BoxCut(box, cut, for_s))
        for box in boxes
    ]
    at_s = WARMUP_S + rng.uniform(*STOP_GAP_S)
    plan += [ScheduledFault(at_s, BoxStopped(rng.randrange(size.boxes)))]
    while at_s < length_s:
        changed = rng.choice([VersionWritten(), SettingsChanged(rng.randrange(size.boxes))])
        plan += [ScheduledFault(at_s, changed)]
        at_s += rng.uniform(*STOP_GAP_S)
    return sorted(plan, key=lambda scheduled: scheduled.at_s)


def _cuts(rng: random.Random, size: FleetSize, length_s: float) -> list[ScheduledFault]:
    """Return cuts of some boxes from all targets, at about the same time; one box is spared."""
    if rng.random() >= CUT_SHARE or size.boxes < 2:
        return []
    at_s = rng.uniform(WARMUP_S, max(WARMUP_S, length_s - CUT_FOR_S[1]))
    cut, for_s = rng.choice(TARGET_CUTS), rng.uniform(*CUT_FOR_S)
    boxes = rng.sample(range(size.boxes), rng.randint(1, size.boxes - 1))
    return [
        ScheduledFault(at_s + rng.uniform(0.0, CUT_APART_S), BoxCut(box, cut, for_s))
        for box in boxes
    ]


def has_ends_of_carriers(seed: int) -> bool:
    """Whether boxes end while they carry connections for boxes without links, and little else."""
    is_other = random.Random(f"cuts only of {seed}").random() < CUTS_ONLY_SHARE
    return not is_other and random.Random(f"carriers of {seed}").random() < CARRIERS_SHARE


def _ends_of_carriers(rng: random.Random, size: FleetSize, length_s: float) -> list[ScheduledFault]:
    """Return a cut of some boxes from all targets, and ends of the others one after another."""
    boxes = rng.sample(range(size.boxes), size.boxes)
    cut_boxes, carriers = boxes[: size.boxes // 2], boxes[size.boxes // 2 :]
    cut, for_s = rng.choice(TARGET_CUTS), max(CUT_FOR_S[0], length_s - WARMUP_S)
    plan = [ScheduledFault(WARMUP_S, BoxCut(box, cut, for_s)) for box in cut_boxes]
    at_s = WARMUP_S + 1.0
    while at_s < length_s:
        box = rng.choice(carriers)
        end = (
            BoxKilled(box, rng.uniform(*CARRIER_DOWN_S)) if rng.random() < 0.7 else BoxStopped(box)
        )
        plan += [ScheduledFault(at_s, end), ScheduledFault(at_s, VersionWritten())]
        at_s += rng.uniform(*CARRIER_GAP_S)
    return plan


def _surplus_answers(rng: random.Random, size: FleetSize, length_s: float) -> list[ScheduledFault]:
    """Return targets that send some of their answers twice."""
    if rng.random() >= SURPLUS_SHARE:
        return []
    plan = []
    for target in rng.sample(range(size.targets), max(1, size.targets // 2)):
        at_s = WARMUP_S
        while at_s < length_s:
            switch = rng.choice(["send_again", "send_again_late"])
            fault = TargetFails(target, switch, rng.randint(*SURPLUS_ANSWERS))
            plan += [ScheduledFault(at_s, fault)]
            at_s += rng.uniform(*SURPLUS_GAP_S)
    return plan


def _departures_after_cuts(
    rng: random.Random, size: FleetSize, length_s: float
) -> list[ScheduledFault]:
    """Return isolations of most boxes, or all, and departures of targets soon after each end."""
    plan, at_s = [], WARMUP_S
    targets = itertools.cycle(rng.sample(range(size.targets), size.targets))
    while at_s < length_s - ISOLATED_FOR_S[0]:
        for_s = rng.uniform(*ISOLATED_FOR_S)
        boxes = rng.sample(range(size.boxes), round(rng.choice(ISOLATED_SHARES) * size.boxes))
        plan += [ScheduledFault(at_s, BoxIsolated(box, for_s)) for box in boxes]
        at_s += for_s + DEPARTS_AFTER_S
        plan += [ScheduledFault(at_s, TargetDeparts(next(targets))) for _ in range(2)]
        at_s += SETTLE_AFTER_DEPARTURE_S
    return plan


def _store_restores(rng: random.Random, length_s: float) -> list[ScheduledFault]:
    """Return restores of the store, which may follow each other closely."""
    if rng.random() >= RESTORE_SHARE:
        return []
    return [
        ScheduledFault(
            rng.uniform(WARMUP_S, max(WARMUP_S, length_s)), StoreRestored(rng.uniform(*COPY_AGE_S))
        )
        for _ in range(rng.randint(1, MAX_RESTORES))
    ]


def _evacuation(rng: random.Random, length_s: float) -> list[ScheduledFault]:
    """Return an evacuation, early enough that its bound can be checked."""
    if rng.random() >= EVACUATION_SHARE:
        return []
    latest_s = max(WARMUP_S, length_s - EVACUATED_FOR_S[0])
    fault = HallEvacuated(f"hall-{rng.randrange(DATA_HALLS)}", rng.uniform(*EVACUATED_FOR_S))
    return [ScheduledFault(rng.uniform(WARMUP_S, latest_s), fault)]


def _large_changes(rng: random.Random, size: FleetSize, length_s: float) -> list[ScheduledFault]:
    """Return large versions in quick succession, each of whose reads may be reset or slow."""
    if rng.random() >= LARGE_CHANGES_SHARE:
        return []
    at_s = WARMUP_S
    plan = []
    for _ in range(rng.randint(*LARGE_CHANGES)):
        plan += [
            ScheduledFault(at_s, LinkFault(f"store {box}", _read_fault(rng), LARGE_CHANGE_GAP_S[1]))
            for box in range(size.boxes)
        ]
        plan += [ScheduledFault(at_s + 0.1, LargeVersionWritten())]
        at_s += rng.uniform(*LARGE_CHANGE_GAP_S)
    return [scheduled for scheduled in plan if scheduled.at_s < length_s]


def _read_fault(rng: random.Random) -> LinkMode:
    if rng.random() < 0.5:
        return ResettingReads(rng.randint(*RESET_READS))
    return Throttled(rng.uniform(*READ_BYTES_PER_S))


def _leaves_in_outage(rng: random.Random, size: FleetSize, length_s: float) -> list[ScheduledFault]:
    """Return a store outage in which targets leave, so that only their responses announce it."""
    if rng.random() >= OUTAGE_LEAVE_SHARE:
        return []
    at_s = rng.uniform(WARMUP_S, max(WARMUP_S, length_s / 2))
    leaving = rng.sample(range(size.targets), rng.randint(1, min(MAX_OUTAGE_LEAVES, size.targets)))
    outage = ScheduledFault(at_s, StoreFault("outage", True, rng.uniform(*LEAVE_OUTAGE_S)))
    return [
        outage,
        *(ScheduledFault(at_s + rng.uniform(0.1, 1.0), TargetLeaves(t)) for t in leaving),
    ]


def _advertised_by_targets(
    rng: random.Random,
    size: FleetSize,
    length_s: float,
    switch: str,
    values: Sequence[float],
    max_targets: int,
) -> list[ScheduledFault]:
    """Return advertised limits of up to `max_targets` targets."""
    if rng.random() >= ADVERTISE_SHARE:
        return []
    chosen = rng.sample(range(size.targets), rng.randint(1, max_targets))
    return [
        ScheduledFault(
            rng.uniform(0.5, max(0.5, length_s / 2)),
            TargetAdvertises(target, switch, rng.choice(values), rng.uniform(*ADVERTISED_FOR_S)),
        )
        for target in chosen
    ]


def _pauses_in_planned_work(
    rng: random.Random, size: FleetSize, length_s: float
) -> list[ScheduledFault]:
    """Return pauses of all targets during a rolling restart of all boxes with other changes."""
    if rng.random() >= PAUSES_SHARE:
        return []
    first_s = rng.uniform(WARMUP_S, max(WARMUP_S, length_s - PAUSES_LEAD_S))
    plan = []
    at_s = first_s
    for box in rng.sample(range(size.boxes), size.boxes):
        changed = SettingsChanged(rng.randrange(size.boxes))
        plan += [
            ScheduledFault(at_s, BoxStopped(box)),
            ScheduledFault(at_s + rng.uniform(*STOP_GAP_S), changed),
            ScheduledFault(at_s + rng.uniform(*STOP_GAP_S), VersionWritten()),
        ]
        at_s += rng.uniform(*STOP_GAP_S)
    at_s = first_s + rng.uniform(0.0, 1.0)
    for _ in range(PAUSES):
        plan += [ScheduledFault(at_s, TargetsPaused(rng.uniform(*PAUSED_S)))]
        at_s += rng.uniform(*PAUSE_GAP_S)
    return [scheduled for scheduled in plan if scheduled.at_s < length_s]


def _key_revoked_in_partition(
    rng: random.Random, size: FleetSize, at_s: float
) -> list[ScheduledFault]:
    mode = rng.choice([Silenced(), OneWay(True), OneWay(False), Resetting()])
    partition = LinkFault(f"store {rng.randrange(size.boxes)}", mode, rng.uniform(7.0, 9.0))
    return [ScheduledFault(at_s, partition), ScheduledFault(at_s + 0.3, KeyRevoked())]


def _planned_work(rng: random.Random, size: FleetSize) -> Fault:
    box, target = rng.randrange(size.boxes), rng.randrange(size.targets)
    faults = [BoxStopped(box), SettingsChanged(box), VersionWritten(), TargetLeaves(target)]
    return rng.choices(faults, [3, 2, 3, 1])[0]


def _any_fault(rng: random.Random, size: FleetSize) -> Fault:
    box, target = rng.randrange(size.boxes), rng.randrange(size.targets)
    for_s = rng.uniform(0.2, 6.0)
    mode = rng.choice(
        [Delayed(rng.uniform(0.05, 0.8)), Silenced(), OneWay(True), OneWay(False), Resetting()]
    )
    switch, value = rng.choice(
        [("outage", True), ("silent", True), ("delay_s", 0.3), ("lose_answers", 3)]
    )
    failure = rng.choice(["lose_answers", "break_streams", "fail"])
    weighted: list[tuple[Fault, float]] = [
        (_planned_work(rng, size), 4),
        (BoxPaused(box, for_s), 2),
        (BoxKilled(box, for_s / 2), 1.5),
        (AllBoxesKilled(for_s / 3), 0.3),
        (LinkFault(f"store {box}", mode, for_s), 2),
        (LinkFault(f"target {target}", mode, for_s), 1.5),
        (LinkFault(f"caller {box}", mode, for_s / 3), 0.7),
        (StoreFault(switch, value, for_s), 1.5),
        (TargetKilled(target, for_s / 2), 1),
        (TargetFails(target, failure, rng.randint(1, 5)), 3),
        (KeyRevoked(), 0.7),
    ]
    faults, weights = zip(*weighted, strict=True)
    return rng.choices(faults, weights)[0]
