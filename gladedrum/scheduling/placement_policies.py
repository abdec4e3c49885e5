"""Placement functions of the policies: which engines get a forwarded request.

The cell ``policy`` of the table of weights and limits (`gladedrum.table`) names a policy for
queueing (see `policies`) and for placement alike. Placement functions are stateless, so a policy
can be changed while requests run.

Examples
--------
>>> placement_names()
['fair_slack', 'fifo', 'least_loaded', 'length_pools', 'ranked_pools']
"""

from collections.abc import Callable, Sequence

from . import expected_loss
from .arrivals import LongPromptArrivals
from .engine_model import EngineTraits
from .expected_loss import Candidate, Placement, PlacementJob
from .ranked_placement import RANKED_POLICY, place_in_load_pools

__all__ = ["PlacementPolicy", "place_by", "placement_names"]

PlacementPolicy = Callable[
    [EngineTraits, Sequence[Candidate], PlacementJob, float, LongPromptArrivals | None],
    Placement | None,
]
"""Chooses the engines for a request at a given time, given the recent long prompts; None if no set
of candidates has the memory."""

LONG_PROMPT_TOKENS = 32_000
"""Prompts of at least this length count as long for `length_pools`."""

LONG_SHARE = 0.5
"""Share of the engines that `length_pools` reserves for long prompts."""

_policies: dict[str, PlacementPolicy] = {
    "fair_slack": expected_loss.place,
    RANKED_POLICY: place_in_load_pools,
}


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register the decorated function as the placement of the policy `name`."""

    def decorate(policy: PlacementPolicy) -> PlacementPolicy:
        _policies[name] = policy
        return policy

    return decorate


def placement_names() -> list[str]:
    """Return the names of the policies with a placement function, sorted."""
    return sorted(_policies)


def place_by(
    name: str,
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Place a request by a policy; `fair_slack` if the policy has no placement function."""
    return _policies.get(name, expected_loss.place)(
        traits, candidates, job, now_s, long_prompt_arrivals
    )


@register("fifo")
def place_fewest_requests(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    _long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Choose the engine with the fewest requests of any size: a baseline.

    The queueing policy `fifo` selects targets by hashing instead.
    """
    return _least_by(traits, candidates, job, now_s, lambda c: len(c.ledger.rows))


@register("least_loaded")
def place_least_loaded(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    _long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Choose the engine with the fewest tokens in memory: a baseline."""
    return _least_by(traits, candidates, job, now_s, lambda c: c.tokens)


@register("length_pools")
def place_in_pools(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    _long_prompt_arrivals: LongPromptArrivals | None = None,
) -> Placement | None:
    """Choose the least loaded engine of the pool for this prompt length: a common baseline."""
    ordered = sorted(candidates, key=lambda candidate: candidate.name)
    split = max(1, round(len(ordered) * LONG_SHARE))
    pool = ordered[:split] if job.prompt_tokens >= LONG_PROMPT_TOKENS else ordered[split:]
    return place_least_loaded(traits, pool or ordered, job, now_s)


def _least_by(
    traits: EngineTraits,
    candidates: Sequence[Candidate],
    job: PlacementJob,
    now_s: float,
    load: Callable[[Candidate], float],
) -> Placement | None:
    """Choose the engine with the lowest `load` among those with enough free memory.

    `fair_slack` places requests that exceed the whole memory of an engine.
    """
    total_tokens = job.prompt_tokens + job.answer_tokens
    if total_tokens > traits.memory_tokens:
        return expected_loss.place(traits, candidates, job, now_s)
    fitting = [c for c in candidates if c.tokens + total_tokens <= traits.memory_tokens]
    if not fitting:
        return None
    best = min(fitting, key=load)
    return Placement(best.name, (), int(job.prompt_tokens), False, 0.0, 0.0, 0.0)
