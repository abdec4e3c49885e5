"""Placement where the routes of a service have different ranks: pools of engines by load.

The load that it is made for: short streams whose pauses must stay below some 0.25 s, most urgent,
beside prompts of up to a million tokens, least urgent, that need a third of the engines. While an
engine reads a long prompt its passes take longer than that, so every stream written there pauses
too long. One more short stream, in contrast, costs an engine almost nothing.

All boxes put the engines in the same order. Long prompts get as many engines from its end as the
recent long prompts keep busy; short ones are spread over the others by the lowest expected loss.
The boundary is soft: either side may cross it at a cost. Worth grows with the rank, so that a
placement at the cost of more urgent requests is avoided.

Examples
--------
>>> [rank_weight(rank, (0, 1, 2)) for rank in (0, 1, 2)]
[4.0, 2.0, 1.0]
>>> rank_weight(5, (5,))
1.0
"""

import hashlib
from collections.abc import Sequence
from dataclasses import replace
from functools import lru_cache

from .arrivals import LONG_PROMPT_TOKENS, MIN_PART_TOKENS, LongPromptArrivals
from .engine_model import EngineTraits
from .expected_loss import (
    Candidate,
    Placement,
    PlacementJob,
    backlog_key,
    engines_to_simulate,
    place_among,
)

__all__ = [
    "MAX_RANK_WEIGHT",
    "RANKED_POLICY",
    "VALID_RANKS",
    "default_policy",
    "place_in_load_pools",
    "rank_weight",
]

RANKED_POLICY = "ranked_pools"
"""Name of this policy in the table of weights and limits."""

VALID_RANKS = range(10)
"""Valid ranks of routes and organisations; 0 is the most urgent."""

WEIGHT_PER_RANK = 2.0
"""Factor on the worth with each rank above the lowest. In virtual time a factor of 3 served long
prompts worse and short ones no better."""

MAX_RANK_STEPS = 3
"""Ranks further above the lowest get no more weight. With a larger factor the worth of the least
urgent requests would hardly count, however many of them there are."""

MAX_RANK_WEIGHT = WEIGHT_PER_RANK**MAX_RANK_STEPS
"""Maximum factor on the worth by rank."""

HEADROOM = 2.2
"""Engines for long prompts, per engine that recent ones kept busy: they arrive in bursts, and a
prompt that is read in parts needs several engines at once."""

SPARE_ENGINES = 1.0
"""Further engines for long prompts, so that the first one after a pause finds an idle one."""

MAX_LONG_SHARE = 0.6
"""Maximum share of the engines that is kept for long prompts."""

CROSSING_COST = 0.3
"""Cost of an engine beyond the boundary for a short prompt, in units of worth: a fraction of what
the prompt itself is worth, so that it crosses before it is late."""

READING_COST = 1.0
"""Cost of an engine that holds a long part without a first event, for a short prompt, in units of
worth: about that of a short request. The ledger may take the part for read while the engine is
still in the pass that it stretches."""

ORDER_COST = 0.1
"""Cost of the last engine in the order of preference of a long prompt, in units of worth, and
proportionally less for others. Keeps idle engines together at the end of the order."""

SIMULATED_NEAR, SIMULATED_BEYOND = 16, 4
"""Engines on each side of the boundary that are simulated for a short prompt."""

SLOW_PACE = 1.5
"""Long prompts use idle engines that are slower than their traits by this factor after the others:
a part that is read late delays all other parts."""


def default_policy(ranks: Sequence[int]) -> str:
    """Return the policy of a service whose routes have these ranks, if the table sets none."""
    return RANKED_POLICY if len(ranks) > 1 else "fair_slack"


def rank_weight(rank: int, ranks: Sequence[int]) -> float:
    """Return the factor on the worth of a request of a rank.

    `ranks` are the different ranks of the service's routes. A rank of an organisation may be
    between or beyond them; an invalid one gets no weight.
    """
    if len(ranks) < 2 or rank not in VALID_RANKS:
        return 1.0
    steps = sum(other > rank for other in ranks)
    return WEIGHT_PER_RANK ** min(steps, MAX_RANK_STEPS)


def place_in_load_pools(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Choose the engines for a request by its length and the recent load of long prompts."""
    arrivals = long_prompt_arrivals or LongPromptArrivals()
    ordered = sorted(candidates, key=lambda candidate: _position(candidate.name))
    if job.prompt_tokens >= LONG_PROMPT_TOKENS:
        shortlist = _shortlist_for_long(ordered, engines_to_simulate(traits, job))
    else:
        kept = engines_for_long(arrivals.engines_busy(traits, now_s), len(ordered))
        shortlist = _shortlist_for_short(ordered, len(ordered) - kept, traits.slots)
    return place_among(traits, shortlist, candidates, job, now_s, arrivals)


def engines_for_long(busy: float, count: int) -> int:
    """Return how many of `count` engines are for long prompts if recent ones kept `busy` busy."""
    return int(min(busy * HEADROOM + SPARE_ENGINES, count * MAX_LONG_SHARE))


@lru_cache(maxsize=4096)
def _position(name: str) -> bytes:
    """Return the sort key of an engine, which is the same on all boxes."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _shortlist_for_short(
    ordered: Sequence[Candidate], boundary: int, slots: int
) -> list[Candidate]:
    """Return the engines with the least to read: with a free slot, and some beyond the boundary."""
    near = list(ordered[:boundary])
    if any(len(candidate.ledger.rows) < slots for candidate in ordered):
        near = [candidate for candidate in near if len(candidate.ledger.rows) < slots]
    # Without a free slot anywhere all engines count, so that a burst queues at all of them.
    near.sort(key=backlog_key)
    near = [
        replace(c, extra_cost=READING_COST) if _reads_long(c) else c for c in near[:SIMULATED_NEAR]
    ]
    beyond = sorted(ordered[boundary:], key=backlog_key)[:SIMULATED_BEYOND]
    return near + [replace(c, extra_cost=CROSSING_COST) for c in beyond]


def _reads_long(candidate: Candidate) -> bool:
    """Whether a long part has no first event yet; the ledger may take it for read too early."""
    rows = candidate.ledger.rows.values()
    return any(r.first_event_s is None and r.prompt_tokens >= MIN_PART_TOKENS for r in rows)


def _shortlist_for_long(ordered: Sequence[Candidate], count: int) -> list[Candidate]:
    """Return idle engines from the end of the order, then those with the least worth on them."""
    from_end = list(enumerate(reversed(ordered)))
    idle = [row for row in from_end if _is_idle(row[1])]
    idle.sort(key=lambda row: row[1].pace >= SLOW_PACE)
    busy = [row for row in from_end if not _is_idle(row[1])] if len(idle) < count else []
    busy.sort(key=lambda row: row[1].ledger.total_worth)
    return [
        replace(candidate, extra_cost=ORDER_COST * index / len(ordered))
        for index, candidate in (idle + busy)[:count]
    ]


def _is_idle(candidate: Candidate) -> bool:
    return not candidate.ledger.rows and not candidate.unaccounted_tokens
