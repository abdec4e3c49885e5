"""Exceptions that gladedrum raises."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "ConfigError",
    "Finding",
    "GladedrumError",
    "KVConflictError",
    "KVSilentError",
    "KVUnavailableError",
    "KVUnknownError",
    "TargetAnswerCutError",
    "TargetBackoffError",
    "TargetBrokenError",
    "TargetNotListeningError",
    "TargetRefusedError",
    "TargetReplacedError",
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
    """The settings are invalid.

    Parameters
    ----------
    findings : sequence of Finding
        All problems; the message holds one line for each.
    """

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class KVUnavailableError(GladedrumError):
    """The key-value service did not accept the call; nothing was changed."""


class KVSilentError(KVUnavailableError):
    """The key-value service did not answer a read in time; it may be slow or away."""


class KVUnknownError(GladedrumError):
    """The key-value service did not answer; a write may have taken effect."""


class KVConflictError(GladedrumError):
    """A compare-and-swap found a different revision than expected."""


class TargetUnreachableError(GladedrumError):
    """No connection to the target could be opened, whatever the reason, so nothing was sent.

    Raised by the clients of the OpenAI interface; a forwarding box raises
    `TargetNotListeningError` or `TargetBrokenError` instead.
    """


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
    """No valid answer came: the connection broke, or the answer was late, too long or malformed.

    The call may have taken effect, except in subclasses that say otherwise.
    """


class TargetAnswerCutError(TargetBrokenError):
    """An answer that ended with its connection shows in itself that it is cut.

    Its target may live on, and answer the next run whole.
    """


class TargetBackoffError(TargetBrokenError):
    """The target has asked for a backoff, so nothing was sent and the call has no effect."""


class TargetNotListeningError(TargetBrokenError):
    """The target's address refuses connections, so no process listens there.

    Unlike a lost connection, this shows that the target's process has stopped.
    """


class TargetReplacedError(TargetNotListeningError):
    """Another target answers at the target's address, so the call has no effect."""
