"""Least loaded of a few targets, as a baseline."""

from collections.abc import Sequence

from ..decisions import Expected, TargetView
from ..jobs import Job
from .core import Policy, QueueState, register
from .rendezvous import rendezvous_order

__all__ = ["LeastLoaded"]

_CHOICES = 4
"""Number of targets that are asked for quotes for a request that needs one target."""


@register
class LeastLoaded(Policy):
    """Asks a few targets and takes the one with the fewest outstanding tokens.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.
    """

    name = "least_loaded"

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return a few targets with enough memory."""
        names = [t.name for t in targets if t.memory_tokens >= job.memory_tokens]
        return rendezvous_order(job.job_id, names)[: _CHOICES + count - 1]

    def cost(self, job: Job, expected: Expected, state: QueueState, now_s: float) -> float:
        """Return the outstanding tokens of the target."""
        return float(state.outstanding_tokens)
