"""Separate pools of targets for long and short prompts, as a baseline."""

from collections.abc import Sequence

from ..decisions import TargetView
from ..jobs import Job
from .core import register
from .least_loaded import LeastLoaded
from .rendezvous import rendezvous_order

__all__ = ["LengthPools"]

_LONG_SHARE = 0.5
"""Share of the targets that serve long prompts only. With one half, the default workload puts about
as much work on either pool."""

_POOL_KEY = "long prompts"
"""Hash key for these targets; the same on all boxes."""


@register
class LengthPools(LeastLoaded):
    """Like `LeastLoaded`, but in separate halves of the targets for long and short prompts."""

    name = "length_pools"

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return a few targets of the pool for this prompt length."""
        order = rendezvous_order(_POOL_KEY, [t.name for t in targets])
        split = max(1, round(len(order) * _LONG_SHARE)) if len(order) > 1 else 0
        pool = set(order[:split] if job.is_long else order[split:])
        return super().candidates(job, [t for t in targets if t.name in pool], count)
