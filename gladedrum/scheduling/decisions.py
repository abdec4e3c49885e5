"""Results of offering a request to a target's queue, and the data that policies decide by."""

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
        Priority on the engine; lower goes first.
    """

    job: Job
    priority: int


class Queued(NamedTuple):
    """The request waits; the queue will return a `Grant` for it later."""

    job: Job


class Refused(NamedTuple):
    """The request is not accepted.

    Parameters
    ----------
    reason : str
        Human-readable reason.
    retry_after_s : float
        Seconds after which a retry may succeed.
    """

    reason: str
    retry_after_s: float


Offered = Queued | Refused
"""Result of offering a request to a queue."""


class Expected(NamedTuple):
    """Times that a target's owner expects for a request, as input for the policy.

    Parameters
    ----------
    first_token_s : float
        Time from now to the first token, in seconds.
    prefill_s : float
        Duration of its prefill alone, in seconds.
    overtaken_per_s : float
        Sum of the inverse prefill durations of the requests that it would overtake.
        Multiplied by `prefill_s`, this is the sum of their relative delays.
    """

    first_token_s: float
    prefill_s: float
    overtaken_per_s: float


class Quote(NamedTuple):
    """Expected time and cost of a request on a target.

    The target's owner computes it without queueing the request.

    Parameters
    ----------
    first_token_s : float
        Expected time from now to the first token, in seconds.
    cost : float
        The policy's cost for comparing targets, in seconds; lower is better.
    refused : Refused or None
        Set if the owner would not accept the request.
    """

    first_token_s: float
    cost: float
    refused: Refused | None = None


class TargetView(NamedTuple):
    """What an entry box knows about a candidate target.

    Parameters
    ----------
    name : str
        The target.
    memory_tokens : int
        Its memory, in tokens.
    """

    name: str
    memory_tokens: int
