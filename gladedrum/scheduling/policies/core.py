"""What a policy is, and the registry of policies."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import ClassVar, TypeVar

from ...errors import GladedrumError
from ..decisions import Expected, TargetView
from ..jobs import Job
from ..segments import SegmentRule

__all__ = ["Policy", "QueueState", "UnknownPolicyError", "policy", "policy_names", "register"]


class UnknownPolicyError(GladedrumError):
    """No policy has this name."""


@dataclass(frozen=True, slots=True)
class QueueState:
    """The state of a target's queue, as a policy sees it.

    Parameters
    ----------
    memory_tokens, free_tokens : int
        The engine's memory, and what of it is not reserved, in tokens.
    running, waiting : int
        Requests with a reservation and requests in the queue.
    long_tokens : int
        The memory that long requests hold, in tokens.
    long_prefills : tuple of int
        The prompt lengths of the long requests whose first token has not come, in tokens.
    long_step_s : float
        The time that one step of the slowest of them is expected to take, in seconds; 0 if
        there is none.
    outstanding_tokens : int
        The tokens of all running and waiting requests.
    work_done_s : mapping of str to float
        Recent engine time of each organisation, in seconds.
    least_served_s : float
        The least of it, divided by the weight, among the organisations that wait.
    """

    memory_tokens: int
    free_tokens: int
    running: int
    waiting: int
    long_tokens: int
    long_prefills: tuple[int, ...]
    long_step_s: float
    outstanding_tokens: int
    work_done_s: Mapping[str, float]
    least_served_s: float


class Policy:
    """Decides the order of requests. Subclasses override what they do differently.

    A policy keeps no state between calls, so that it can be swapped while requests run and
    so that all boxes agree on what it does.
    """

    name: ClassVar[str]
    """The name in the table of weights and limits."""

    fairness_window_s: ClassVar[float] = 60.0
    """The time over which the work of organisations is added up, in seconds."""

    segments: ClassVar[SegmentRule] = SegmentRule()
    """How long prompts are cut into segments."""

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return the targets whose owners are asked for a quote, best first.

        Parameters
        ----------
        job : Job
            The request, or one segment of it.
        targets : sequence of TargetView
            Every target that could serve it.
        count : int
            How many targets it needs; fewer in return mean that there is no way.
        """
        raise NotImplementedError

    def cost(self, job: Job, expected: Expected, state: QueueState, now_s: float) -> float:
        """Return what is compared between the quotes of the candidates; the lowest wins."""
        return expected.first_token_s

    def queue_key(self, job: Job, state: QueueState, now_s: float) -> float:
        """Return the request's place in a queue, in seconds; the lowest goes first."""
        return job.arrival_s

    def may_start(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return whether a request that fits into memory may start now."""
        return True

    def blocks(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return whether a request that cannot start now holds back those behind it."""
        return True

    def priority(self, job: Job, state: QueueState, now_s: float) -> int:
        """Return the priority for the engine; lower goes first."""
        return 0


P = TypeVar("P", bound=type[Policy])
_policies: dict[str, Policy] = {}


def register(policy_type: P) -> P:
    """Make a policy known under its name; used as a class decorator."""
    _policies[policy_type.name] = policy_type()
    return policy_type


def policy(name: str) -> Policy:
    """Return the policy of this name.

    Raises
    ------
    UnknownPolicyError
        If there is none; the message lists those that exist.
    """
    try:
        return _policies[name]
    except KeyError:
        known = ", ".join(policy_names())
        raise UnknownPolicyError(f"there is no policy {name!r}; there are {known}") from None


def policy_names() -> list[str]:
    """Return the names of all policies, sorted."""
    return sorted(_policies)
