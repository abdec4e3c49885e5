"""The answers that the scheduling code gives."""

from typing import NamedTuple

from .jobs import Job

__all__ = ["Expected", "Grant", "Offered", "Queued", "Quote", "Refused", "TargetView"]


class Grant(NamedTuple):
    """Memory and a slot are reserved; the request may start.

    Parameters
    ----------
    job : Job
        The request.
    priority : int
        What the engine is told; lower goes first.
    """

    job: Job
    priority: int


class Queued(NamedTuple):
    """The request waits; a `Grant` for it will come from the queue later."""

    job: Job


class Refused(NamedTuple):
    """The request cannot be taken.

    Parameters
    ----------
    reason : str
        Why, for a person.
    retry_after_s : float
        When it would be worth asking again, in seconds from now.
    """

    reason: str
    retry_after_s: float


Offered = Queued | Refused
"""What offering a request to a queue can lead to."""


class Expected(NamedTuple):
    """What a target's owner expects of a request, for the policy to weigh.

    Parameters
    ----------
    first_token_s : float
        Time from now to the first token, in seconds.
    prefill_s : float
        Duration of its prefill alone, in seconds.
    passed_per_s : float
        For each request that it would pass, one over the duration of that one's prefill, added
        up; times `prefill_s` this is the slowdown that it brings to others.
    """

    first_token_s: float
    prefill_s: float
    passed_per_s: float


class Quote(NamedTuple):
    """What a target's owner expects of a request.

    Parameters
    ----------
    first_token_s : float
        Expected time from now to the first token, in seconds.
    cost : float
        What the policy compares between targets, in seconds; lower is better.
    refused : Refused or None
        Set if the owner would not take the request.
    """

    first_token_s: float
    cost: float
    refused: Refused | None = None


class TargetView(NamedTuple):
    """What an entry box knows of a target when it looks for candidates.

    Parameters
    ----------
    name : str
        The target.
    memory_tokens : int
        Its memory, in tokens.
    """

    name: str
    memory_tokens: int
