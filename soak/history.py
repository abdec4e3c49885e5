"""What callers, targets and the operator have seen in a soak."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import NamedTuple

__all__ = ["Asked", "Ending", "Happened", "History", "Kind", "TargetNote", "read_target_notes"]


class Kind(Enum):
    """What may be repeated of a request."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    STREAM = "stream"


class Ending(Enum):
    """How a request ended for its caller."""

    OPEN = "open"
    WHOLE = "whole"
    BROKEN = "broken"
    NOT_SENT = "not sent"


@dataclass
class Asked:
    """A request, as its caller knows it; times by the machine's monotonic clock, in seconds.

    Parameters
    ----------
    request_id : str
        Unique.
    box, start : int
        The box that got it, and which start of it.
    kind : Kind
        What may be repeated.
    key : str
        Its API key.
    events : int
        How many events its stream has, 0 for a plain request.
    limit_s : float
        How long its caller waits.
    sent_s : float
        When its last byte was written.
    """

    request_id: str
    box: int
    start: int
    kind: Kind
    key: str
    events: int
    limit_s: float
    sent_s: float
    status: int | None = None
    answer_id: str = ""
    body: bytes = b""
    ending: Ending = Ending.OPEN
    ended_s: float = 0.0


class TargetNote(NamedTuple):
    """What a target noted: a request that arrived or ran, or its own start, leaving and end."""

    at_s: float
    target: str
    what: str
    request_id: str
    organisation: str


class Happened(NamedTuple):
    """A fault or a change, from its beginning to its end.

    Parameters
    ----------
    from_s, to_s : float
        By the machine's monotonic clock; `to_s` is infinity while it lasts.
    what : str
        The class of the fault.
    box : int or None
        The box that it strikes alone, None if it strikes others too.
    planned : bool
        Whether it is planned work.
    detail : str
        What was changed.
    """

    from_s: float
    to_s: float
    what: str
    box: int | None
    planned: bool
    detail: str = ""


@dataclass
class History:
    """All that was seen."""

    asked: list[Asked] = field(default_factory=list)
    notes: list[TargetNote] = field(default_factory=list)
    happened: list[Happened] = field(default_factory=list)
    versions: list[tuple[float, int]] = field(default_factory=list)
    keys_taken: dict[str, float] = field(default_factory=dict)
    memory_left: dict[str, int] = field(default_factory=dict)
    ended_s: float = 0.0

    def ran(self) -> Iterable[TargetNote]:
        """Return the notes of requests that ran."""
        return (note for note in self.notes if note.what == "ran")


def read_target_notes(paths: Iterable[Path]) -> list[TargetNote]:
    """Return the notes in the outputs of targets; a line that was cut by a kill is passed over."""
    notes = []
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if "what" in row:
                notes.append(
                    TargetNote(
                        row["at_s"],
                        row["target"],
                        row["what"],
                        row.get("request_id", ""),
                        row.get("organisation", ""),
                    )
                )
    return sorted(notes)
