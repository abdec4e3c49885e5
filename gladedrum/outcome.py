"""The four outcomes of a request.

An outcome has the same name in logs, metrics, response headers and the last event of a stream.

Examples
--------
>>> outcome_name(NotRun("queue full", retry_after_s=2.0))
'not-run'
>>> http_status(Unknown("connection lost"))
502
"""

from dataclasses import dataclass
from http import HTTPStatus

__all__ = [
    "OUTCOME_NAMES",
    "Completed",
    "Failed",
    "NotRun",
    "Outcome",
    "Unknown",
    "http_status",
    "outcome_name",
    "retry_after_s",
]


@dataclass(frozen=True, slots=True)
class Completed:
    """The complete answer was delivered."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """No part of the request ran, so it is safe to repeat.

    Parameters
    ----------
    reason : str
        Why it did not run, as text for people.
    retry_after_s : float
        When the caller may retry, in seconds from now.
    status : HTTPStatus
        The HTTP status for the caller, 429 or 503.
    """

    reason: str
    retry_after_s: float = 1.0
    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed, was invalid, or exceeded its deadline.

    Parameters
    ----------
    reason : str
        What went wrong, as text for people.
    status : HTTPStatus
        The HTTP status for the caller.
    """

    reason: str
    status: HTTPStatus = HTTPStatus.INTERNAL_SERVER_ERROR


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, so repeating it may run it twice.

    Parameters
    ----------
    reason : str
        Why it is not known whether the request ran, as text for people.
    status : HTTPStatus
        The HTTP status for the caller, 502 or 504.
    """

    reason: str
    status: HTTPStatus = HTTPStatus.BAD_GATEWAY


Outcome = Completed | NotRun | Failed | Unknown
"""Any of the four outcomes."""

OUTCOME_NAMES = ("completed", "not-run", "failed", "unknown")
"""Every name that `outcome_name` can return."""


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome as used in headers, logs and metrics."""
    match outcome:
        case Completed():
            return "completed"
        case NotRun():
            return "not-run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"


def http_status(outcome: Outcome) -> int:
    """Return the HTTP status code of an outcome."""
    match outcome:
        case Completed():
            return int(HTTPStatus.OK)
        case NotRun(status=status) | Failed(status=status) | Unknown(status=status):
            return int(status)


def retry_after_s(outcome: Outcome) -> int | None:
    """Return the ``Retry-After`` value in whole seconds; None if the outcome has none."""
    match outcome:
        case NotRun(retry_after_s=wait_s):
            return max(1, -int(-wait_s // 1))
        case _:
            return None
