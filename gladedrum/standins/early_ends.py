"""Runs of a stand-in target that end early, and the count of a request's runs at all targets."""

import itertools
from enum import Enum
from pathlib import Path
from typing import NamedTuple

__all__ = ["EarlyEnd", "EarlyKind", "RunCounter"]


class EarlyKind(Enum):
    """What ends a run early; the values stand in queries and switches."""

    LIVES = "lives"
    """The connection closes in order, and the target goes on."""
    RESET = "reset"
    """The connection is reset, and the target goes on."""
    DIES = "dies"
    """The process exits, which closes its port and its connections at once."""
    LATE = "late"
    """The connection closes in order, and the process exits later."""
    REBORN = "reborn"
    """All connections close in order, and the port answers at once under another id."""


class EarlyEnd(NamedTuple):
    """An early end of a run.

    Parameters
    ----------
    kind : EarlyKind
        What ends it.
    after : int
        Number of events or pieces that the run sends before; 0 for none behind its head.
    port_s : float
        Time from the end of a run of kind `LATE` to that of its process, in seconds.
    """

    kind: EarlyKind
    after: int
    port_s: float = 0.0


class RunCounter:
    """Counts the runs of each request.

    Parameters
    ----------
    directory : Path or None
        Directory that targets share, with a file for each run; None to count those of this target
        alone.
    """

    def __init__(self, directory: Path | None = None):
        self._directory = directory
        self._counts: dict[str, int] = {}

    def count(self, request_id: str) -> int:
        """Count a run of a request; return how many came before it."""
        if self._directory is None:
            self._counts[request_id] = self._counts.get(request_id, -1) + 1
            return self._counts[request_id]
        return next(n for n in itertools.count() if self._create(f"{request_id}.{n}"))

    def _create(self, name: str) -> bool:
        try:
            (self._directory / name).touch(exist_ok=False)
        except FileExistsError:
            return False
        return True
