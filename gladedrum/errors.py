"""Exceptions that gladedrum raises."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "ConfigError",
    "Finding",
    "GladedrumError",
    "KVConflictError",
    "KVUnavailableError",
    "KVUnknownError",
    "TargetBackoffError",
    "TargetBrokenError",
    "TargetNotListeningError",
    "TargetRefusedError",
    "TargetUnreachableError",
]


class GladedrumError(Exception):
    """Base class of all exceptions that gladedrum raises."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem found in settings or a request.

    Parameters
    ----------
    place : str
        Where the problem is, e.g. ``box.ini [entry] port`` or ``prompt``.
    message : str
        What is wrong and what to do about it.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class ConfigError(GladedrumError):
    """The settings are invalid; `findings` holds all problems."""

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class KVUnavailableError(GladedrumError):
    """The key-value service did not accept the call; nothing was changed."""


class KVUnknownError(GladedrumError):
    """The key-value service did not answer; a write may have taken effect."""


class KVConflictError(GladedrumError):
    """A compare-and-swap found a different revision than expected."""


class TargetUnreachableError(GladedrumError):
    """The connection to the target could not be opened, so nothing was sent."""


class TargetRefusedError(GladedrumError):
    """The target refused the request and did not start it.

    Parameters
    ----------
    message : str
        The reason that the target gave.
    status : int
        The HTTP status of its answer.
    """

    def __init__(self, message: str, status: int):
        self.status = status
        super().__init__(message)


class TargetBrokenError(GladedrumError):
    """The connection to the target broke, or its answer does not match the request."""


class TargetBackoffError(TargetBrokenError):
    """The target has asked for a backoff, so nothing was sent."""


class TargetNotListeningError(TargetBrokenError):
    """The target's address refuses connections, so no process listens there."""
