"""Placement by lowest expected loss, predicted with the engine model.

Each request has a *worth*, which grows with its prompt (`worth_of`). It loses a share of its worth
if it is late and all of it if its caller leaves. For each candidate engine the coming passes are
simulated with and without the new request. Its cost there is what the requests already on the
engine lose by the delay, plus what the new request loses itself. The request goes to the engine
with the lowest cost, or, if its prompt is long, to the set of engines that reads it in parts at the
lowest cost. One engine of a set answers; the others are its helpers.

A loss is an amount of worth here. The `Loss` of `suspects` is something else: a request that was
lost with its target.
"""

import bisect
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .arrivals import LongPromptArrivals
from .engine_model import EngineTraits, Prediction, Work, predict, read_time_s
from .ledger import EngineLedger, LedgerRow, Stake

__all__ = [
    "MIN_SPLIT_PROMPT_TOKENS",
    "Candidate",
    "Placement",
    "PlacementJob",
    "backlog_key",
    "engines_to_simulate",
    "place",
    "place_among",
    "worth_of",
]

TOKENS_PER_WORTH_UNIT = 10_000
"""Prompt tokens that add as much worth as one small request has. The figure is given by the
users."""

LATE_LOSS = 0.75
"""Share of its worth that a late answer loses. The figure is given by the users."""

MAX_HELPERS = 16
"""Engines reject a request that names more helpers. The limit is published."""

PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 1 + MAX_HELPERS)
"""Numbers of parts that a prompt may be split into. The cost of reading grows with the square of
the length, so the longest prompts need many parts to be on time. On calm days, 0.7% more of the
worth was served than with six parts at most."""

SEARCH_START_SHARE = 0.6
"""The search for the number of parts starts with the fewest parts that idle engines read in this
share of the time until the first event is due."""

MIN_SPLIT_PROMPT_TOKENS = 30_000
"""Shorter prompts are read by one engine: splitting them delays others more than it gains."""

DEFAULT_SIMULATED_ENGINES = 18
"""Engines that are simulated for most requests. This bounds the time of a decision, since a few
coordinators decide for a large fleet. A decision costs about 0.1 ms for each engine. With all of 60
engines, a long prompt lost 2% less at most, for two to three times the processor time."""

SIMULATED_ENGINES_PER_PART = 1.5
"""Engines that are simulated for each part of a prompt that needs many. Half of the shortlist is
for idle engines, so most parts can get an idle one. A factor of 2.0 gained nothing more."""

HELPER_COST = 0.012
"""Cost of each helper beyond the delays of the requests on it, as a share of the new request's
worth: one more engine that can fail."""

IDLE_COST = 0.04
"""Cost of an idle engine, which a long prompt may need next, in units of worth."""

REMOTE_HALL_COST = 0.01
"""Cost of an engine in another data hall, in units of worth."""

CONNECT_COST = 0.02
"""Cost of an engine to which the box that sends the request has no idle connection, in units of
worth: a round trip, work on both sides and one of the connections that the engine accepts. With 76
boxes and 60 engines, it saved a third of the connections."""

MAX_EXTRA_CONNECTED = 4
"""Engines added to the shortlist because the box that sends the request is connected to them."""

MISS_MIDPOINT_SHARE = 0.9
"""A predicted time of this share of its limit misses the limit with probability one half. The share
is below 1 because reports and the model are inexact."""

MISS_SCALE_SHARE = 0.09
"""Scale of the logistic curve by which the probability of missing a limit rises with the predicted
time, as a share of the limit."""

DELAY_COST_PER_S = 0.02
"""Cost of each second until the first event, as a share of the worth: prefers the earlier of two
placements that are both late."""

MAX_COSTED_DELAY_S = 60.0
"""Longer delays cost no more, which keeps the cost finite."""


class PlacementJob(NamedTuple):
    """A request to be placed.

    Parameters
    ----------
    prompt_tokens, answer_tokens : float
        Length of the prompt, and expected length of the answer.
    worth : float
        Its worth if it is on time, see `worth_of`.
    first_due_in_s : float
        Seconds from now until its first event is due.
    pause_limit_s : float
        Objective for the longest pause between events, in seconds.
    caller_leaves_after_s : float
        Seconds from now until its caller leaves, or its answer can no longer be completed in time,
        if there has been no event.
    """

    prompt_tokens: float
    answer_tokens: float
    worth: float
    first_due_in_s: float
    pause_limit_s: float
    caller_leaves_after_s: float = float("inf")


@dataclass(slots=True)
class Candidate:
    """An engine that may get the request.

    Parameters
    ----------
    name : str
        Its name.
    ledger : EngineLedger
        Its requests, advanced to now.
    pace : float
        Factor by which it is slower than its traits say; 1 if it is not.
    failure_chance : float
        Probability that it fails a request.
    in_other_hall : bool
        Whether it is in another data hall than the box that sends the request.
    unaccounted_tokens : float
        Memory in use according to its report but not in its ledger. It is taken for a long prompt
        that is still to be read.
    connected : bool
        Whether the box that sends the request has an idle connection to it.
    may_help : bool
        Whether it may read a part of a prompt that another engine answers.
    extra_cost : float
        Cost that a policy adds for its use, in units of worth.
    """

    name: str
    ledger: EngineLedger
    pace: float = 1.0
    failure_chance: float = 0.0
    in_other_hall: bool = False
    unaccounted_tokens: float = 0.0
    connected: bool = False
    may_help: bool = True
    extra_cost: float = 0.0

    @property
    def tokens(self) -> float:
        """Memory in use, in tokens."""
        return self.ledger.tokens + self.unaccounted_tokens


class Placement(NamedTuple):
    """The engines chosen for a request.

    Parameters
    ----------
    name : str
        The engine that answers.
    helpers : tuple of str
        Engines that read parts of the prompt for it.
    part_tokens : int
        Length of each part.
    reserved : bool
        Whether the helpers must reserve memory because the answering engine does not hold the
        whole prompt.
    loss : float
        Expected loss of worth, over all requests concerned.
    first_event_s : float
        Predicted time to the first event.
    pause_s : float
        Predicted longest pause.
    abandon_chance : float
        Probability that its caller leaves before the first event.
    others_loss : float
        The part of `loss` that the requests already on these engines bear.
    """

    name: str
    helpers: tuple[str, ...]
    part_tokens: int
    reserved: bool
    loss: float
    first_event_s: float
    pause_s: float
    abandon_chance: float = 0.0
    others_loss: float = 0.0


class _EngineState(NamedTuple):
    """What all simulations of an engine for one request share.

    Parameters
    ----------
    candidate : Candidate
        The engine.
    cost : float
        The part of its cost that is the same for any number of parts.
    rows : list of LedgerRow
        The requests on it.
    present : list of Work
        Their remaining work, and the unaccounted work.
    losses_before : list of float
        Expected loss of each of `rows` without the new request.
    """

    candidate: Candidate
    cost: float
    rows: list[LedgerRow]
    present: list[Work]
    losses_before: list[float]


class _EngineOutcome(NamedTuple):
    """The loss that a request causes on one engine, and the prediction for the request itself.

    `others_loss` is the part of `loss` that the requests already on the engine bear.
    """

    candidate: Candidate
    loss: float
    prediction: Prediction
    others_loss: float


def worth_of(prompt_tokens: float) -> float:
    """Return the worth of a request that is on time, in units of the smallest request's.

    Examples
    --------
    >>> worth_of(0), worth_of(140_000)
    (1.0, 15.0)
    """
    return 1.0 + prompt_tokens / TOKENS_PER_WORTH_UNIT


def place(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Choose the engines for a request; None if no set of candidates has the memory for it.

    `long_prompt_arrivals` holds the recent long prompts, from which the interference of later
    ones is estimated. Of engines with equal cost, the first in the shortlist is taken, which has
    the order of `candidates` if all of them are simulated.
    """
    shortlist = _shortlist(candidates, engines_to_simulate(traits, job))
    return place_among(traits, shortlist, candidates, job, now_s, long_prompt_arrivals)


def place_among(
    traits: EngineTraits,
    shortlist: Sequence[Candidate],
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Choose the engines for a request as `place` does, among those in `shortlist`."""
    interference_loss = _interference_loss_function(
        traits, candidates, job, now_s, long_prompt_arrivals or LongPromptArrivals()
    )
    engines = [
        _engine_state(traits, candidate, now_s, interference_loss(candidate))
        for candidate in shortlist
    ]
    counts = _part_counts(traits, job, len(engines))
    return _lowest_loss(
        lambda index: _best_with_parts(traits, engines, job, counts[index], now_s),
        len(counts),
        _search_start(traits, job, counts),
    )


def engines_to_simulate(traits: EngineTraits, job: PlacementJob) -> int:
    """Return how many engines to simulate: more for prompts that need many parts."""
    parts = _min_parts(traits, job)
    if job.prompt_tokens >= MIN_SPLIT_PROMPT_TOKENS:
        parts = max(parts, min(_parts_to_be_on_time(traits, job), PART_COUNTS[-1]))
    return max(DEFAULT_SIMULATED_ENGINES, math.ceil(SIMULATED_ENGINES_PER_PART * parts))


def _parts_to_be_on_time(traits: EngineTraits, job: PlacementJob) -> float:
    """Return the number of parts, not rounded, that idle engines read well before the due time."""
    wanted_s = SEARCH_START_SHARE * job.first_due_in_s
    return read_time_s(traits, job.prompt_tokens) / wanted_s if wanted_s > 0 else math.inf


def _search_start(traits: EngineTraits, job: PlacementJob, counts: Sequence[int]) -> int:
    """Return the index of the smallest number of parts that exceeds `_parts_to_be_on_time`."""
    wanted = _parts_to_be_on_time(traits, job)
    enough = (i for i, parts in enumerate(counts) if parts > wanted)
    return next(enough, len(counts) - 1)


def _lowest_loss(
    option_at: Callable[[int], Placement | None], count: int, first: int
) -> Placement | None:
    """Return the option with the lowest loss; searches locally from index 0 and from `first`.

    Each further part shortens the reading by less than the one before, so the loss first falls and
    then rises. There can be two minima if only many parts are on time: a prompt that will be late
    anyway costs least on few engines, where it delays few answers. Searching from `first` alone
    gave losses up to 10% higher for single prompts. The second search doubles the processor time of
    a long prompt, to 7 ms.
    """
    known: dict[int, Placement | None] = {}

    def option(index: int) -> Placement | None:
        if index not in known:
            known[index] = option_at(index)
        return known[index]

    found = [_local_minimum(option, count, start) for start in (0, first)] if count else []
    return min((o for o in found if o is not None), key=lambda o: o.loss, default=None)


def _local_minimum(
    option_at: Callable[[int], Placement | None], count: int, first: int
) -> Placement | None:
    """Search from `first` in both directions until the loss rises; return the best option."""
    best = option_at(first)
    for step in (1, -1):
        index = first + step
        while 0 <= index < count:
            option = option_at(index)
            if option is not None and (best is None or option.loss < best.loss):
                best = option
            elif best is not None:
                break
            index += step
    return best


def _shortlist(candidates: Sequence[Candidate], count: int) -> list[Candidate]:
    """Return the engines worth simulating: idle, with the least to read, or connected."""
    if len(candidates) <= count:
        return list(candidates)
    ordered = sorted(candidates, key=backlog_key)
    idle = [candidate for candidate in ordered if not candidate.ledger.rows]
    busy = [candidate for candidate in ordered if candidate.ledger.rows]
    listed_idle = idle[: max(count // 2, count - len(busy))]
    listed = listed_idle + busy[: count - len(listed_idle)]
    names = {candidate.name for candidate in listed}
    connected = [c for c in ordered if c.connected and c.name not in names]
    return listed + connected[:MAX_EXTRA_CONNECTED]


def backlog_key(candidate: Candidate) -> tuple[float, int]:
    """Return the sort key of an engine: its unread tokens, weighted by pace and failures."""
    unread = candidate.unaccounted_tokens + candidate.ledger.unread
    weighted_tokens = unread * candidate.pace / max(0.01, 1 - candidate.failure_chance)
    return weighted_tokens, len(candidate.ledger.rows)


def _min_parts(traits: EngineTraits, job: PlacementJob) -> int:
    return max(1, math.ceil((job.prompt_tokens + job.answer_tokens) / traits.memory_tokens))


def _part_counts(traits: EngineTraits, job: PlacementJob, available: int) -> list[int]:
    least = _min_parts(traits, job)
    if job.prompt_tokens < MIN_SPLIT_PROMPT_TOKENS:
        return [least] if least <= available else []
    counts = {least, *(count for count in PART_COUNTS if count > least)}
    return sorted(count for count in counts if count <= min(available, 1 + MAX_HELPERS))


def _interference_loss_function(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    long_prompt_arrivals: LongPromptArrivals,
) -> Callable[[Candidate], float]:
    """Return a function that gives the loss expected from later long prompts on an engine.

    Each part of a later prompt is assumed to take the engine with the least worth on it. Later
    prompts therefore delay this request only if during its answer at least as many parts arrive as
    there are engines with less worth, counting this engine too. The parts are assumed to arrive as
    a Poisson process. Nearly all that this saves is the worth of short answers, which then have no
    long pause.
    """
    per_s = long_prompt_arrivals.parts_per_s(traits, job.pause_limit_s, now_s)
    if not per_s:
        return lambda _candidate: 0.0
    writing_s = job.answer_tokens * traits.step_s
    probabilities = _chances_of_at_least(per_s * writing_s, len(candidates))
    ordered = sorted([candidate.ledger.total_worth for candidate in candidates])

    def interference_loss(candidate: Candidate) -> float:
        # Counts this engine too, as its worth in `ordered` is without the request.
        cheaper_engines = bisect.bisect_left(ordered, candidate.ledger.total_worth + job.worth)
        return LATE_LOSS * job.worth * probabilities[cheaper_engines - 1]

    return interference_loss


def _chances_of_at_least(mean: float, highest: int) -> list[float]:
    """Return the probabilities that a Poisson count is at least 1, 2, ... `highest`."""
    probability_of_count = math.exp(-mean)
    probabilities, remaining = [], 1.0
    for count in range(1, highest + 1):
        remaining -= probability_of_count
        probabilities.append(max(0.0, remaining))
        probability_of_count *= mean / count
    return probabilities


def _best_with_parts(
    traits: EngineTraits,
    engines: Sequence[_EngineState],
    job: PlacementJob,
    parts: int,
    now_s: float,
) -> Placement | None:
    part_tokens = math.ceil(job.prompt_tokens / parts)
    total_tokens = job.prompt_tokens + job.answer_tokens
    work = Work(part_tokens, job.answer_tokens, pair_factor=float(parts))
    outcomes = sorted(
        (
            _simulate(traits, engine, work, now_s)
            for engine in engines
            if parts > 1 or engine.candidate.tokens + total_tokens <= traits.memory_tokens
        ),
        key=lambda outcome: outcome.loss + _job_loss(job, outcome.prediction),
    )
    if total_tokens > traits.memory_tokens:
        return _select_engines(traits, outcomes, job, parts, reserved=True)
    # If no engine has enough free memory for the whole prompt, each engine holds its part.
    found = _select_engines(traits, outcomes, job, parts, reserved=False)
    return found or (
        _select_engines(traits, outcomes, job, parts, reserved=True) if parts > 1 else None
    )


def _select_engines(
    traits: EngineTraits,
    outcomes: Sequence[_EngineOutcome],
    job: PlacementJob,
    parts: int,
    reserved: bool,
) -> Placement | None:
    """Choose the cheapest simulated engines with enough memory; None if there are too few.

    If `reserved`, each engine holds its part of the prompt, else the answering engine holds all of
    it.
    """
    part_tokens = math.ceil(job.prompt_tokens / parts)
    total_tokens = job.prompt_tokens + job.answer_tokens
    held = part_tokens + job.answer_tokens if reserved else total_tokens
    can_answer = _with_free_memory(traits, outcomes, held)
    if not can_answer:
        return None
    answering = can_answer[0]
    others = [
        outcome for outcome in outcomes if outcome is not answering and outcome.candidate.may_help
    ]
    helpers = _with_free_memory(traits, others, part_tokens if reserved else 0)[: parts - 1]
    if len(helpers) < parts - 1:
        return None
    chosen = [answering, *helpers]
    first_s = max(outcome.prediction.first_event_s for outcome in chosen)
    prediction = Prediction(first_s, answering.prediction.pause_s)
    names = tuple(outcome.candidate.name for outcome in helpers)
    loss = _total_loss(job, chosen, prediction)
    abandoned = _chance_exceeded(first_s, job.caller_leaves_after_s)
    others_loss = sum(outcome.others_loss for outcome in chosen)
    return Placement(
        answering.candidate.name,
        names,
        part_tokens,
        reserved,
        loss,
        first_s,
        prediction.pause_s,
        abandoned,
        others_loss,
    )


def _with_free_memory(
    traits: EngineTraits, outcomes: Sequence[_EngineOutcome], tokens: float
) -> list[_EngineOutcome]:
    limit = traits.memory_tokens
    return [outcome for outcome in outcomes if outcome.candidate.tokens + tokens <= limit]


def _total_loss(
    job: PlacementJob, chosen: Sequence[_EngineOutcome], prediction: Prediction
) -> float:
    """Return the expected loss of all requests on the chosen engines and of the new one."""
    any_failure_chance = 1 - math.prod(1 - outcome.candidate.failure_chance for outcome in chosen)
    return (
        sum(outcome.loss for outcome in chosen)
        + _job_loss(job, prediction)
        + any_failure_chance * job.worth
        + HELPER_COST * job.worth * (len(chosen) - 1)
    )


def _engine_state(
    traits: EngineTraits, candidate: Candidate, now_s: float, interference_loss: float
) -> _EngineState:
    rows = list(candidate.ledger.rows.values())
    present = [row.work(now_s, traits) for row in rows]
    if candidate.unaccounted_tokens:
        present.append(Work(candidate.unaccounted_tokens, 0.0, writes=False))
    cost = candidate.failure_chance + interference_loss
    cost += REMOTE_HALL_COST if candidate.in_other_hall else 0.0
    cost += 0.0 if candidate.connected else CONNECT_COST
    cost += candidate.extra_cost
    if not present:
        cost += IDLE_COST
    no_work = Work(0.0, 0.0)
    before = predict(traits, present, no_work, candidate.pace) if rows else ()
    losses = [
        _row_loss(row, prediction, now_s) for row, prediction in zip(rows, before, strict=False)
    ]
    return _EngineState(candidate, cost, rows, present, losses)


def _simulate(
    traits: EngineTraits, engine: _EngineState, work: Work, now_s: float
) -> _EngineOutcome:
    after = predict(traits, engine.present, work, engine.candidate.pace)
    delays = sum(
        _row_loss(row, prediction, now_s) - loss_before
        for row, loss_before, prediction in zip(
            engine.rows, engine.losses_before, after, strict=False
        )
    )
    return _EngineOutcome(engine.candidate, engine.cost + delays, after[-1], delays)


def _row_loss(row: LedgerRow, prediction: Prediction, now_s: float) -> float:
    stake: Stake = row.stake
    late = abandoned = 0.0
    if row.first_event_s is None:
        late = _chance_exceeded(prediction.first_event_s, stake.first_due_s - now_s)
        abandoned = _chance_exceeded(prediction.first_event_s, stake.caller_leaves_s - now_s)
    if row.writes:
        late = max(late, _chance_exceeded(prediction.pause_s, stake.pause_limit_s))
        # During a pause longer than `caller_wait_s` the caller leaves, so the whole worth is lost.
        abandoned = max(abandoned, _chance_exceeded(prediction.pause_s, row.caller_wait_s))
    return (late * LATE_LOSS + abandoned * (1 - LATE_LOSS)) * stake.worth


def _job_loss(job: PlacementJob, prediction: Prediction) -> float:
    late = max(
        _chance_exceeded(prediction.first_event_s, job.first_due_in_s),
        _chance_exceeded(prediction.pause_s, job.pause_limit_s),
    )
    abandoned = _chance_exceeded(prediction.first_event_s, job.caller_leaves_after_s)
    delay_s = min(prediction.first_event_s, MAX_COSTED_DELAY_S)
    return job.worth * (late * LATE_LOSS + abandoned * (1 - LATE_LOSS) + DELAY_COST_PER_S * delay_s)


def _chance_exceeded(time_s: float, limit_s: float) -> float:
    """Return the probability that a predicted time turns out longer than its limit."""
    if limit_s == float("inf"):
        return 0.0
    if time_s == float("inf") or limit_s <= 0:
        return 1.0
    scaled = (time_s - MISS_MIDPOINT_SHARE * limit_s) / (MISS_SCALE_SHARE * limit_s)
    return 1 / (1 + math.exp(-max(-40.0, min(40.0, scaled))))
