"""How a try of a request at a target ends, and what that says of the target."""

from dataclasses import dataclass
from http import HTTPStatus

from .. import gossip
from ..connections.messages import AnswerHead
from ..outcome import Completed, Failed, Outcome
from ..placing.choosing import AllClosed, Barred, Hopeless

__all__ = [
    "NOT_RUN_STATUSES",
    "AllLeave",
    "Done",
    "FailedAnswer",
    "Lost",
    "OverBudget",
    "Overtaken",
    "Refused",
    "TryEnd",
    "Withheld",
    "outcome_of_status",
    "work_change_of",
]

NOT_RUN_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses by which a caller is told that its request has not run and never will."""


@dataclass(frozen=True, slots=True)
class Done:
    """The answer has gone out, or the request is over in another way."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Refused:
    """The target has not run and will not run the request.

    Parameters
    ----------
    reason : str
        Why.
    at_target : bool
        Whether it was offered to a target.
    at_fault : str
        The target that was the reason, by name or IP:PORT, if it is known to be another one than
        the target that answers; else empty.
    """

    reason: str
    at_target: bool
    at_fault: str = ""


@dataclass(frozen=True, slots=True)
class AllLeave:
    """All targets of the service leave.

    Parameters
    ----------
    come_back_s : float
        After so many seconds there may be another one.
    """

    come_back_s: float


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, and its answer is lost in whole or in part."""

    reason: str


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """The target ran the request and says that it failed; its whole answer."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent: what allowed it did not hold any more when its connection was there."""

    reason: str


@dataclass(frozen=True, slots=True)
class OverBudget:
    """A further target would go beyond the repeats that this box may send."""


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Another try of the request has gone on sooner; this one may have run.

    Parameters
    ----------
    failed : bool
        Whether that speaks against its target: it was silent without known work that explains it.
    """

    failed: bool


TryEnd = (
    Done
    | Refused
    | Hopeless
    | Barred
    | AllClosed
    | AllLeave
    | Lost
    | FailedAnswer
    | OverBudget
    | Overtaken
    | Withheld
)


def work_change_of(end: TryEnd) -> int:
    """Return the change by which other boxes are told how a try ended; see `gossip`."""
    match end:
        case Done(outcome=Completed()):
            return gossip.ENDED
        case Lost() | FailedAnswer() | Overtaken(failed=True):
            return gossip.FAILED
        case Refused(at_target=True):
            return gossip.FAILED
        case _:
            return gossip.WITHDRAWN


def outcome_of_status(status: int) -> Outcome:
    """Return the outcome of a request whose caller got an answer with this status."""
    if status < HTTPStatus.BAD_REQUEST:
        return Completed()
    return Failed("the target's answer", HTTPStatus(status))
