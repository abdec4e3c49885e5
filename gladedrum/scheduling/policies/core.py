"""The interface of policies, and their registry."""

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
        The engine's memory, and the part of it that is not reserved, in tokens.
    running, waiting : int
        Number of requests with a reservation, and of requests in the queue.
    long_tokens : int
        Memory held by long requests, in tokens.
    long_prefills : tuple of int
        Prompt lengths of the long requests before their first token, in tokens. Later segments
        are left out, as they mostly wait for earlier ones.
    long_step_s : float
        Longest expected step of these requests, in seconds; 0 if there are none.
    outstanding_tokens : int
        Tokens of all running and waiting requests.
    work_done_s : mapping of str to float
        Engine time granted to each organisation within `Policy.fairness_window_s`, in seconds.
    least_served_s : float
        `work_done_s` divided by the weight, of the organisation for which this is lowest among
        those with waiting requests.
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
    """Chooses targets for a request, and the order in which a target's queue starts requests.

    Subclasses override the methods in which they differ from first come, first served.

    A policy keeps no state between calls, so it can be changed while requests run, and all boxes
    reach the same decisions.
    """

    name: ClassVar[str]
    """The policy's name in the table of weights and limits, see `gladedrum.table`."""

    fairness_window_s: ClassVar[float] = 60.0
    """Window over which the engine time of organisations is summed, in seconds. Queues use this
    value under every policy; a subclass cannot override it."""

    segments: ClassVar[SegmentRule] = SegmentRule()
    """Sizes of the segments into which prompts are split."""

    def candidates(self, job: Job, targets: Sequence[TargetView], count: int) -> list[str]:
        """Return the targets whose owners are asked for a quote, best first.

        Parameters
        ----------
        job : Job
            The request, or one segment of it.
        targets : sequence of TargetView
            All targets that could serve it.
        count : int
            Number of targets needed; the request cannot be placed if fewer are returned.
        """
        raise NotImplementedError

    def cost(self, job: Job, expected: Expected, state: QueueState, now_s: float) -> float:
        """Return the cost by which the quotes of candidates are compared; the lowest wins."""
        return expected.first_token_s

    def queue_key(self, job: Job, state: QueueState, now_s: float) -> float:
        """Return the sort key of a request in the queue, in seconds; the lowest goes first."""
        return job.arrival_s

    def may_start(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return whether a request whose memory is available may start now."""
        return True

    def blocks(self, job: Job, state: QueueState, now_s: float) -> bool:
        """Return whether a request that cannot start now blocks those behind it."""
        return True

    def priority(self, job: Job, state: QueueState, now_s: float) -> int:
        """Return the priority on the engine; lower goes first."""
        return 0


P = TypeVar("P", bound=type[Policy])
_policies: dict[str, Policy] = {}


def register(policy_type: P) -> P:
    """Register a policy class under its name; used as a class decorator."""
    _policies[policy_type.name] = policy_type()
    return policy_type


def policy(name: str) -> Policy:
    """Return the policy with this name.

    Raises
    ------
    UnknownPolicyError
        If there is none; the message lists the registered ones.
    """
    try:
        return _policies[name]
    except KeyError:
        known = ", ".join(policy_names())
        raise UnknownPolicyError(f"unknown policy {name!r}; known policies: {known}") from None


def policy_names() -> list[str]:
    """Return the names of all policies, sorted."""
    return sorted(_policies)
