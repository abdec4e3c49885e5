"""The ways in which an attempt ends, and what each reports about its target.

Some are reasons why no attempt was sent; those of placement are defined in `placing.choosing`. The
class names appear in log lines as `end`.
"""

from dataclasses import dataclass
from http import HTTPStatus

from .. import gossip
from ..connections.messages import AnswerHead
from ..outcome import Completed, Failed, Outcome
from ..placing.choosing import (
    AllTargetsClosed,
    NoTargetInTime,
    RequestCondemned,
    RequestOnHold,
    WaitForEngine,
)

__all__ = [
    "NOT_RUN_STATUSES",
    "AllCutOff",
    "AllEvacuated",
    "AllLeave",
    "AttemptEnd",
    "Done",
    "EndNotShown",
    "FailedAnswer",
    "Lost",
    "OverBudget",
    "Overtaken",
    "Refused",
    "Unreachable",
    "Withheld",
    "known_status",
    "may_be_own_fault",
    "outcome_of_status",
    "work_change_of",
]

NOT_RUN_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses that tell a caller that its request has not run and will not run."""


@dataclass(frozen=True, slots=True)
class Done:
    """The request has ended: its answer was sent, or its time was up."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Refused:
    """The target has not run and will not run the request.

    Parameters
    ----------
    reason : str
        Why.
    at_target : bool
        Whether a target refused it; False if no target was asked.
    at_fault : str
        Name or IP:PORT of the helping target that caused the refusal, empty if there is none.
    """

    reason: str
    at_target: bool
    at_fault: str = ""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection to the target could be opened, so nothing was sent.

    Parameters
    ----------
    reason : str
        Why.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class AllCutOff:
    """No target of the service is reached by this box, nor by any peer that it knows.

    Parameters
    ----------
    retry_after_s : float
        Time until the caller should ask again, in seconds; when a link returns is unknown.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AllLeave:
    """All targets of the service are leaving.

    Parameters
    ----------
    retry_after_s : float
        Time until there may be a new target, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AllEvacuated:
    """All targets of the service are in evacuated data halls, but for those that are leaving.

    Parameters
    ----------
    retry_after_s : float
        Time until the caller should ask again, in seconds; the end of an evacuation is unknown.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, and its answer is lost wholly or in part."""

    reason: str


@dataclass(frozen=True, slots=True)
class EndNotShown:
    """The answer has ended with its connection, and nothing shows yet that it is whole.

    It counts neither as a failure of the target, which may have sent all of its answer, nor as a
    success.

    Parameters
    ----------
    reason : str
        What a further run has to show.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """The target ran the request and answered that it failed.

    Parameters
    ----------
    head : AnswerHead
        The head of its answer.
    body : bytes or None
        The whole text; None if it is too long, or late.
    """

    head: AnswerHead
    body: bytes | None

    @property
    def reason(self) -> str:
        """Why its text is not known; empty if it is."""
        return "" if self.body is not None else "its text is too long or late"


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent: once the connection was ready, the request was no longer allowed."""

    reason: str


@dataclass(frozen=True, slots=True)
class OverBudget:
    """The retry budget allows no further attempt."""


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Another attempt of the request made progress first; this one may have run.

    Parameters
    ----------
    failed : bool
        Whether to count a failure of the target: no known work explains its silence.
    """

    failed: bool


AttemptEnd = (
    Done
    | Refused
    | NoTargetInTime
    | RequestCondemned
    | RequestOnHold
    | AllTargetsClosed
    | Unreachable
    | AllCutOff
    | AllLeave
    | AllEvacuated
    | Lost
    | EndNotShown
    | FailedAnswer
    | OverBudget
    | Overtaken
    | Withheld
    | WaitForEngine
)


def work_change_of(end: AttemptEnd) -> int:
    """Return the `gossip` change that tells other boxes how an attempt ended."""
    match end:
        case Done(outcome=Completed()):
            return gossip.ENDED
        case Lost() | FailedAnswer() | Overtaken(failed=True):
            return gossip.FAILED
        case Refused(at_target=True) | Unreachable():
            return gossip.FAILED
        case _:
            return gossip.WITHDRAWN


def may_be_own_fault(end: AttemptEnd) -> bool:
    """Whether a failed attempt may be due to the box's own link, so that the target needs proof."""
    return isinstance(end, Lost | Overtaken | Unreachable)


def outcome_of_status(status: int) -> Outcome:
    """Return the outcome of a request that was answered with this status."""
    if status < HTTPStatus.BAD_REQUEST:
        return Completed()
    return Failed("the target's answer", known_status(status))


def known_status(status: int) -> HTTPStatus:
    """Return the status, or the first of its class if it is none of the registered ones."""
    try:
        return HTTPStatus(status)
    except ValueError:
        return HTTPStatus(status // 100 * 100)
