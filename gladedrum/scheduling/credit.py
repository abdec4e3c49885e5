"""Placement by the credit that is expected to be lost, over the engine model.

For each candidate engine the coming passes are played with and without the newcomer. What the
newcomer and the requests already there lose by being late, each weighed by its worth, is the
cost; the cheapest engine, or set of engines that read a long prompt in parts, gets it.
"""

import bisect
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .arrivals import LongReads
from .engine_model import EngineTraits, Prospect, Work, predict, read_time_s
from .ledger import EngineLedger, LedgerRow, Stake

__all__ = ["Candidate", "Job", "Placement", "place", "worth_of"]

TOKENS_A_UNIT = 10_000
"""Prompt tokens that add the worth of one small request; from the users' sheets."""

LATE_LOSS = 0.75
"""Share of the worth that a late answer loses, from the users' sheets."""

MOST_HELPERS = 16
"""An engine rejects a request with more helping engines than these; published."""

PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 1 + MOST_HELPERS)
"""Into how many parts a prompt may be split. A prompt of twice the usual size has four times the
pairs: at 16 parts it is read within an objective that six parts miss by half. Against six parts at
the most, calm days serve 0.7% more of their worth (mean of eleven paired runs)."""

EASY_SHARE = 0.6
"""The search for a number of parts begins where idle engines read a prompt in this share of its
objective; it only decides where the search begins."""

LEAST_HELPED_TOKENS = 30_000
"""Shorter prompts are not read in parts: the parts would disturb more than they gain."""

USUAL_QUOTED = 18
"""Engines that are played through for one request: a decision costs about 0.1 ms for each, and in a
large fleet a few boxes decide for all. With all of 60 engines a long prompt would lose 2% less at
the most, for two to three times the processor time (the same fleets, busy with long prompts)."""

QUOTED_A_PART = 1.5
"""A prompt that needs many parts has so many engines played through for each: half of those that
are listed are idle, so it finds about as many idle engines as it has parts. On a calm fleet of 60 a
prompt of a million tokens loses a fifth less for that and for its 17th part, one of 800,000 a tenth
(the placement played through on eight fleets); 2.0 gains nothing more."""

HELPER_COST = 0.012
"""What each helping engine costs beyond the delays it suffers, as a share of the request's worth: a
further engine that can fail."""

IDLE_COST = 0.04
"""What a short request costs by taking an idle engine, which a long one may need next."""

AWAY_COST = 0.01
"""What an engine in another data hall costs."""

CONNECT_COST = 0.02
"""What an engine costs to which the box that sends the request must open a connection: a round
trip, work on both sides, and a place among the connections that an engine takes. With 76 boxes and
60 engines it saves a third of the connections of a calm minute (one run each way)."""

MOST_CONNECTED = 4
"""Engines beyond the shortlist that are played through because a connection to them is there."""

MARGIN = 0.9
"""A limit counts as half missed at this share of it: reports and the model are inexact."""

SOFTNESS = 0.09
"""How gradually a limit is missed, as a share of the limit."""

DELAY_COST = 0.02
"""What each second to the first event costs, as a share of the worth: among places where it is
late anyway, the sooner is the better."""

LONGEST_DELAY_S = 60.0
"""Beyond so many seconds a later first event costs no more; the model's infinity stays finite."""


class Job(NamedTuple):
    """A request to be placed.

    Parameters
    ----------
    prompt_tokens, answer_tokens : float
        Its size, the latter expected.
    value : float
        What it is worth in time.
    first_due_s : float
        Seconds from now until its first event is due.
    pause_limit_s : float
        The longest pause between events that is aimed at.
    lost_after_s : float
        Seconds from now after which its caller leaves, or its answer can't be whole in time, if no
        event has come.
    """

    prompt_tokens: float
    answer_tokens: float
    value: float
    first_due_s: float
    pause_limit_s: float
    lost_after_s: float = float("inf")


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
        Over 1 if it is slow.
    distrust : float
        The chance that it fails a request, 0 to 1.
    away : bool
        Whether it stands in another data hall.
    unknown_tokens : float
        Memory that it reports beyond its ledger: a long prompt of somebody else, which may still
        be read.
    connected : bool
        Whether the box that sends the request holds an idle connection to it.
    helps : bool
        Whether it may read a part of a prompt that another one answers.
    """

    name: str
    ledger: EngineLedger
    pace: float = 1.0
    distrust: float = 0.0
    away: bool = False
    unknown_tokens: float = 0.0
    connected: bool = False
    helps: bool = True

    @property
    def tokens(self) -> float:
        """Memory that is taken, in tokens."""
        return self.ledger.tokens + self.unknown_tokens


class Placement(NamedTuple):
    """Where a request goes.

    Parameters
    ----------
    name : str
        The engine that answers.
    helpers : tuple of str
        Engines that read with it.
    part_tokens : int
        What each of them reads.
    reserved : bool
        Whether the helpers must set memory aside because the prompt fits no one engine.
    loss : float
        The credit expected to be lost.
    first_event_s : float
        Predicted time to the first event.
    pause_s : float
        Predicted longest pause.
    lost_chance : float
        The chance that its caller has left before the first event.
    """

    name: str
    helpers: tuple[str, ...]
    part_tokens: int
    reserved: bool
    loss: float
    first_event_s: float
    pause_s: float
    lost_chance: float = 0.0


class _Engine(NamedTuple):
    """What all quotes of an engine for one request share.

    Parameters
    ----------
    candidate : Candidate
        The engine.
    cost : float
        What the request loses there whatever its size: by failing, by the way, to what comes later.
    rows : list of LedgerRow
        The requests there.
    present : list of Work
        What is left of them, and of work that is not known.
    before : list of float
        What each of `rows` is to lose without the newcomer.
    """

    candidate: Candidate
    cost: float
    rows: list[LedgerRow]
    present: list[Work]
    before: list[float]


class _Quote(NamedTuple):
    """What one engine would cost: the loss of others there, and the newcomer's prospect."""

    candidate: Candidate
    loss: float
    prospect: Prospect


def worth_of(prompt_tokens: float) -> float:
    """Return a request's worth in time, in units of a small one's.

    Examples
    --------
    >>> worth_of(0), worth_of(140_000)
    (1.0, 15.0)
    """
    return 1.0 + prompt_tokens / TOKENS_A_UNIT


def place(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    long_reads: LongReads | None = None,
) -> Placement | None:
    """Choose engines for a request; None if no set of candidates has the memory for it.

    `long_reads` tells what may come beside it later. Of engines that cost the same the first of
    `candidates` is taken.
    """
    likely = _shortlist(candidates, _quoted_count(traits, job))
    exposed = _exposure(traits, candidates, job, now_s, long_reads or LongReads())
    engines = [_engine(traits, candidate, now_s, exposed(candidate)) for candidate in likely]
    counts = _part_counts(traits, job, len(engines))
    return _cheapest(
        lambda index: _best_of(traits, engines, job, counts[index], now_s),
        len(counts),
        _likely_index(traits, job, counts),
    )


def _quoted_count(traits: EngineTraits, job: Job) -> int:
    """Return how many engines are played through: more for a prompt that needs many parts."""
    parts = _least_parts(traits, job)
    if job.prompt_tokens >= LEAST_HELPED_TOKENS:
        parts = max(parts, min(_easy_parts(traits, job), PART_COUNTS[-1]))
    return max(USUAL_QUOTED, math.ceil(QUOTED_A_PART * parts))


def _easy_parts(traits: EngineTraits, job: Job) -> float:
    """Return in how many parts idle engines would read a prompt easily in time."""
    easy_s = EASY_SHARE * job.first_due_s
    return read_time_s(traits, job.prompt_tokens) / easy_s if easy_s > 0 else math.inf


def _likely_index(traits: EngineTraits, job: Job, counts: Sequence[int]) -> int:
    """Return the place of the least number of parts by which idle engines would be in time."""
    easy = _easy_parts(traits, job)
    enough = (i for i, parts in enumerate(counts) if parts > easy)
    return next(enough, len(counts) - 1)


def _cheapest(
    option_at: Callable[[int], Placement | None], count: int, first: int
) -> Placement | None:
    """Return the option of the least loss, sought from `first` on and from the fewest parts on.

    A further part brings the first event forward by less than the one before, and each costs, so
    the loss falls and then rises. It does so twice where only the most parts are in time: a prompt
    that is late anyway is read best by a few engines, whose answers it stops. Sought from both, the
    loss is the least (60 random fleets of 18 engines), from `first` alone 1.1% above it and up to
    10% for single prompts. A long prompt takes twice the processor time for it, 7 ms.
    """
    known: dict[int, Placement | None] = {}

    def option(index: int) -> Placement | None:
        if index not in known:
            known[index] = option_at(index)
        return known[index]

    found = [_descend(option, count, start) for start in (0, first)] if count else []
    return min((o for o in found if o is not None), key=lambda o: o.loss, default=None)


def _descend(
    option_at: Callable[[int], Placement | None], count: int, first: int
) -> Placement | None:
    """Return the option of the least loss, sought from `first` on to both sides."""
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
    """Return the engines worth playing through: the idle ones and those that read the least."""
    if len(candidates) <= count:
        return list(candidates)
    ordered = sorted(candidates, key=_unread)
    idle = [candidate for candidate in ordered if not candidate.ledger.rows]
    begun = [candidate for candidate in ordered if candidate.ledger.rows]
    some_idle = idle[: max(count // 2, count - len(begun))]
    listed = some_idle + begun[: count - len(some_idle)]
    names = {candidate.name for candidate in listed}
    connected = [c for c in ordered if c.connected and c.name not in names]
    return listed + connected[:MOST_CONNECTED]


def _unread(candidate: Candidate) -> tuple[float, int]:
    unread = candidate.unknown_tokens + candidate.ledger.unread
    slow = unread * candidate.pace / max(0.01, 1 - candidate.distrust)
    return slow, len(candidate.ledger.rows)


def _least_parts(traits: EngineTraits, job: Job) -> int:
    return max(1, math.ceil((job.prompt_tokens + job.answer_tokens) / traits.memory_tokens))


def _part_counts(traits: EngineTraits, job: Job, available: int) -> list[int]:
    least = _least_parts(traits, job)
    if job.prompt_tokens < LEAST_HELPED_TOKENS:
        return [least] if least <= available else []
    counts = {least, *(count for count in PART_COUNTS if count > least)}
    return sorted(count for count in counts if count <= min(available, 1 + MOST_HELPERS))


def _exposure(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    long_reads: LongReads,
) -> Callable[[Candidate], float]:
    """Return what a request loses on an engine to long prompts that come beside it later.

    A long prompt takes the engines on which it delays the least. So the request is late for its
    sake if as many parts of long prompts come while it writes as there are engines with less to
    lose; the parts are taken to come evenly at random (Poisson).

    Serves 1.2% more of a calm day's worth where long and short prompts mix, nearly all of it short
    answers without a pause (mean of four paired runs without it).
    """
    per_s = long_reads.parts_per_s(traits, job.pause_limit_s, now_s)
    if not per_s:
        return lambda _candidate: 0.0
    writing_s = job.answer_tokens * traits.step_s
    chances = _chances_of_at_least(per_s * writing_s, len(candidates))
    ordered = sorted([candidate.ledger.at_stake for candidate in candidates])

    def exposed(candidate: Candidate) -> float:
        less_to_lose = bisect.bisect_left(ordered, candidate.ledger.at_stake + job.value)
        return LATE_LOSS * job.value * chances[less_to_lose - 1]

    return exposed


def _chances_of_at_least(mean: float, most: int) -> list[float]:
    """Return the chances that a Poisson count is at least 1, 2, ... `most`."""
    exact = math.exp(-mean)
    chances, left = [], 1.0
    for count in range(1, most + 1):
        left -= exact
        chances.append(max(0.0, left))
        exact *= mean / count
    return chances


def _best_of(
    traits: EngineTraits,
    engines: Sequence[_Engine],
    job: Job,
    parts: int,
    now_s: float,
) -> Placement | None:
    part_tokens = math.ceil(job.prompt_tokens / parts)
    whole = job.prompt_tokens + job.answer_tokens
    work = Work(part_tokens, job.answer_tokens, pair_share=float(parts))
    quotes = sorted(
        (
            _quote(traits, engine, work, now_s)
            for engine in engines
            if parts > 1 or engine.candidate.tokens + whole <= traits.memory_tokens
        ),
        key=lambda quote: quote.loss + _own_loss(job, quote.prospect),
    )
    if whole > traits.memory_tokens:
        return _arrange(traits, quotes, job, parts, reserved=True)
    # Else it would need an engine with nearly all of its memory free, and often find none.
    found = _arrange(traits, quotes, job, parts, reserved=False)
    return found or (_arrange(traits, quotes, job, parts, reserved=True) if parts > 1 else None)


def _arrange(
    traits: EngineTraits, quotes: Sequence[_Quote], job: Job, parts: int, reserved: bool
) -> Placement | None:
    """Return the best of the quoted engines that have the memory, None if too few have.

    Where helpers reserve memory each engine holds its part, else the answering one holds all.
    """
    part_tokens = math.ceil(job.prompt_tokens / parts)
    whole = job.prompt_tokens + job.answer_tokens
    held = part_tokens + job.answer_tokens if reserved else whole
    mains = _with_room(traits, quotes, held)
    if not mains:
        return None
    main = mains[0]
    others = [quote for quote in quotes if quote is not main and quote.candidate.helps]
    helpers = _with_room(traits, others, part_tokens if reserved else 0)[: parts - 1]
    if len(helpers) < parts - 1:
        return None
    chosen = [main, *helpers]
    first_s = max(quote.prospect.first_event_s for quote in chosen)
    prospect = Prospect(first_s, main.prospect.pause_s)
    names = tuple(quote.candidate.name for quote in helpers)
    loss = _loss_of_all(job, chosen, prospect)
    lost = _chance_late(first_s, job.lost_after_s)
    return Placement(
        main.candidate.name, names, part_tokens, reserved, loss, first_s, prospect.pause_s, lost
    )


def _with_room(traits: EngineTraits, quotes: Sequence[_Quote], tokens: float) -> list[_Quote]:
    most = traits.memory_tokens
    return [quote for quote in quotes if quote.candidate.tokens + tokens <= most]


def _loss_of_all(job: Job, chosen: Sequence[_Quote], prospect: Prospect) -> float:
    """Return what the engines chosen for a request lose together, with the request's own loss."""
    failing = 1 - math.prod(1 - quote.candidate.distrust for quote in chosen)
    return (
        sum(quote.loss for quote in chosen)
        + _own_loss(job, prospect)
        + failing * job.value
        + HELPER_COST * job.value * (len(chosen) - 1)
    )


def _engine(traits: EngineTraits, candidate: Candidate, now_s: float, exposed: float) -> _Engine:
    rows = list(candidate.ledger.rows.values())
    present = [row.work(now_s, traits) for row in rows]
    if candidate.unknown_tokens:
        present.append(Work(candidate.unknown_tokens, 0.0, writes=False))
    cost = candidate.distrust + exposed
    cost += AWAY_COST if candidate.away else 0.0
    cost += 0.0 if candidate.connected else CONNECT_COST
    if not present:
        cost += IDLE_COST
    nothing = Work(0.0, 0.0)
    before = predict(traits, present, nothing, candidate.pace) if rows else ()
    losses = [_loss(row, soon, now_s) for row, soon in zip(rows, before, strict=False)]
    return _Engine(candidate, cost, rows, present, losses)


def _quote(traits: EngineTraits, engine: _Engine, work: Work, now_s: float) -> _Quote:
    after = predict(traits, engine.present, work, engine.candidate.pace)
    delays = sum(
        _loss(row, late, now_s) - before
        for row, before, late in zip(engine.rows, engine.before, after, strict=False)
    )
    return _Quote(engine.candidate, engine.cost + delays, after[-1])


def _loss(row: LedgerRow, prospect: Prospect, now_s: float) -> float:
    stake: Stake = row.stake
    late = lost = 0.0
    if row.first_event_s is None:
        late = _chance_late(prospect.first_event_s, stake.first_due_s - now_s)
        lost = _chance_late(prospect.first_event_s, stake.lost_s - now_s)
    if row.writes:
        late = max(late, _chance_late(prospect.pause_s, stake.pause_limit_s))
        # Its caller leaves in a longer pause, so that all of its worth is lost.
        lost = max(lost, _chance_late(prospect.pause_s, row.patience_s))
    return (late * LATE_LOSS + lost * (1 - LATE_LOSS)) * stake.value


def _own_loss(job: Job, prospect: Prospect) -> float:
    late = max(
        _chance_late(prospect.first_event_s, job.first_due_s),
        _chance_late(prospect.pause_s, job.pause_limit_s),
    )
    lost = _chance_late(prospect.first_event_s, job.lost_after_s)
    delay_s = min(prospect.first_event_s, LONGEST_DELAY_S)
    return job.value * (late * LATE_LOSS + lost * (1 - LATE_LOSS) + DELAY_COST * delay_s)


def _chance_late(time_s: float, limit_s: float) -> float:
    if limit_s == float("inf"):
        return 0.0
    if time_s == float("inf") or limit_s <= 0:
        return 1.0
    scaled = (time_s - MARGIN * limit_s) / (SOFTNESS * limit_s)
    return 1 / (1 + math.exp(-max(-40.0, min(40.0, scaled))))
