"""The exceptions that gladedrum raises, in one place."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "ConfigError",
    "Finding",
    "GladedrumError",
    "KVConflictError",
    "KVUnavailableError",
    "KVUnknownError",
    "TargetBrokenError",
    "TargetLeftAloneError",
    "TargetNotListeningError",
    "TargetRefusedError",
    "TargetUnreachableError",
]


class GladedrumError(Exception):
    """Base class of every exception that this package raises on purpose."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong in something that was checked, and where.

    Parameters
    ----------
    place : str
        Where it is, e.g. ``box.ini [entry] port`` or ``prompt``.
    message : str
        What is wrong and what to do about it.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class ConfigError(GladedrumError):
    """The settings cannot be used; `findings` holds every reason at once."""

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class KVUnavailableError(GladedrumError):
    """The key-value service did not take the call; nothing was changed."""


class KVUnknownError(GladedrumError):
    """No answer came from the key-value service; a write may have taken effect."""


class KVConflictError(GladedrumError):
    """A compare-and-swap found another revision than the one expected."""


class TargetUnreachableError(GladedrumError):
    """No connection to the target could be made, so no byte of the request reached it."""


class TargetRefusedError(GladedrumError):
    """The target vouches that it did not start the request.

    Parameters
    ----------
    message : str
        What the target said.
    status : int
        The HTTP status it gave.
    """

    def __init__(self, message: str, status: int):
        self.status = status
        super().__init__(message)


class TargetBrokenError(GladedrumError):
    """The connection to the target broke, or its answer does not fit the request."""


class TargetLeftAloneError(TargetBrokenError):
    """The target has asked not to get this; nothing was sent."""


class TargetNotListeningError(TargetBrokenError):
    """The target's address refuses connections: no process listens there."""
