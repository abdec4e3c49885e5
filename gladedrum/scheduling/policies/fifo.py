"""First come, first served, as a baseline."""

from collections.abc import Sequence

from ..decisions import TargetView
from ..jobs import Job
from .core import Policy, register
from .rendezvous import rendezvous_order

__all__ = ["Fifo"]


@register
class Fifo(Policy):
    """Sends each request to a target selected by hashing; queues in order of arrival."""

    name = "fifo"

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return only as many targets as are needed, always the same for a job id."""
        names = [t.name for t in targets if t.memory_tokens >= job.memory_tokens]
        return rendezvous_order(job.job_id, names)[:count]
