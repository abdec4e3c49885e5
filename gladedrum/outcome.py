"""The four ways in which a request can end.

An outcome is decided in one place, matched on everywhere, and reads the same in logs,
metrics, response headers and the last event of a stream.

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
    """The whole answer was delivered."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """No part of the request ran, so it is safe to repeat.

    Parameters
    ----------
    reason : str
        What stood in the way, for a person.
    retry_after_s : float
        When to come back, in seconds from now.
    status : HTTPStatus
        The HTTP status for the caller, 429 or 503.
    """

    reason: str
    retry_after_s: float = 1.0
    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed, was refused as wrong, or its time is up.

    Parameters
    ----------
    reason : str
        What went wrong, for a person.
    status : HTTPStatus
        The HTTP status for the caller.
    """

    reason: str
    status: HTTPStatus = HTTPStatus.INTERNAL_SERVER_ERROR


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; it must not be repeated blindly.

    Parameters
    ----------
    reason : str
        What was lost, for a person.
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
    """Return the name of an outcome as headers, logs and metrics spell it."""
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
    """Return the HTTP status code that goes with an outcome."""
    match outcome:
        case Completed():
            return int(HTTPStatus.OK)
        case NotRun(status=status) | Failed(status=status) | Unknown(status=status):
            return int(status)


def retry_after_s(outcome: Outcome) -> int | None:
    """Return the whole seconds for a ``Retry-After`` header, or None if there is none to give."""
    match outcome:
        case NotRun(retry_after_s=wait_s):
            return max(1, -int(-wait_s // 1))
        case _:
            return None
