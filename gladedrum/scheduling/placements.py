"""The placement half of each policy, for boxes that forward: which engines get a request.

A policy has one name, in the cell ``policy`` of the table of weights and limits, wherever it
decides. Here it is a function of the engines' traits, the candidates and the request, without
state, so that it can be swapped while requests run.

Examples
--------
>>> placement_names()
['fair_slack', 'fifo', 'least_loaded', 'length_pools']
"""

from collections.abc import Callable, Sequence

from . import credit
from .arrivals import LongReads
from .credit import Candidate, Job, Placement
from .engine_model import EngineTraits

__all__ = ["PlacementPolicy", "place_by", "placement_names"]

PlacementPolicy = Callable[
    [EngineTraits, Sequence[Candidate], Job, float, LongReads | None], Placement | None
]
"""Chooses engines for a request at a time, by the long prompts that came of late; None if no set of
candidates has the memory."""

LONG_TOKENS = 32_000
"""Prompts of so many tokens count as long for `length_pools`."""

LONG_SHARE = 0.5
"""Share of the engines that `length_pools` keeps for long prompts."""

_policies: dict[str, PlacementPolicy] = {"fair_slack": credit.place}


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a function as the placement of the policy `name`."""

    def keep(policy: PlacementPolicy) -> PlacementPolicy:
        _policies[name] = policy
        return policy

    return keep


def placement_names() -> list[str]:
    """Return the names of the policies that can place, sorted."""
    return sorted(_policies)


def place_by(
    name: str,
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    long_reads: LongReads | None = None,
) -> Placement | None:
    """Place a request by a policy; one without a placement of its own places as `fair_slack`."""
    return _policies.get(name, credit.place)(traits, candidates, job, now_s, long_reads)


@register("fifo")
def place_in_turn(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    _long_reads: LongReads | None = None,
) -> Placement | None:
    """Take the engine with the fewest requests, whatever they are: a baseline."""
    return _least(traits, candidates, job, now_s, lambda c: len(c.ledger.rows))


@register("least_loaded")
def place_least_loaded(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    _long_reads: LongReads | None = None,
) -> Placement | None:
    """Take the engine with the fewest tokens: a baseline."""
    return _least(traits, candidates, job, now_s, lambda c: c.tokens)


@register("length_pools")
def place_in_pools(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    _long_reads: LongReads | None = None,
) -> Placement | None:
    """Keep one half of the engines for long prompts: the usual way out, as a baseline."""
    ordered = sorted(candidates, key=lambda candidate: candidate.name)
    split = max(1, round(len(ordered) * LONG_SHARE))
    pool = ordered[:split] if job.prompt_tokens >= LONG_TOKENS else ordered[split:]
    return place_least_loaded(traits, pool or ordered, job, now_s)


def _least(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: Job,
    now_s: float,
    load: Callable[[Candidate], float],
) -> Placement | None:
    """Take the least loaded engine; what fits no one engine is placed as by `fair_slack`."""
    whole = job.prompt_tokens + job.answer_tokens
    if whole > traits.memory_tokens:
        return credit.place(traits, candidates, job, now_s)
    fitting = [c for c in candidates if c.tokens + whole <= traits.memory_tokens]
    if not fitting:
        return None
    best = min(fitting, key=load)
    return Placement(best.name, (), int(job.prompt_tokens), False, 0.0, 0.0, 0.0)
