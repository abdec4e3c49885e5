"""What callers, targets and the operator have seen in a soak."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

__all__ = [
    "STORE_RETURNED",
    "TARGET_ENDED",
    "Asked",
    "Edited",
    "Ending",
    "Happened",
    "History",
    "Kind",
    "TargetNote",
]
__all__ += ["read_target_notes"]


TARGET_ENDED = "ended by"
"""What a target notes of the request that ends it."""

STORE_RETURNED = "store from a copy"
"""What is noted while the store comes back from a copy."""

ENDED_S = 1.0
"""How long a target is away then, in seconds."""


class Kind(Enum):
    """What may be repeated of a request; a deadly one is a stream that ends its target."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    STREAM = "stream"
    DEADLY = "deadly"


class Ending(Enum):
    """How a request ended for its caller; `OPEN` if it waited in vain, or still waits."""

    OPEN = "open"
    WHOLE = "whole"
    BROKEN = "broken"


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

    Attributes
    ----------
    status : int or None
        Status of the answer, None before its head.
    answer_id : str
        The request id that the answer names.
    body : bytes
        What came of the answer's body.
    ending, ended_s : Ending, float
        How and when it ended; 0 before.
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
    """What a target noted: what arrived or ran, its own start and end, what it said of itself."""

    at_s: float
    target: str
    what: str
    request_id: str
    organisation: str
    rate_per_s: float | None = None
    rest_s: float | None = None


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
        Whether it is planned work, or a pause of targets; neither excuses anything.
    """

    from_s: float
    to_s: float
    what: str
    box: int | None
    planned: bool


class Edited(NamedTuple):
    """An accepted edit of the table: when, at which box, and the row that it made."""

    at_s: float
    box: int
    row: str


@dataclass
class History:
    """All that was seen; times by the machine's monotonic clock, in seconds.

    Parameters
    ----------
    asked : list of Asked
        What callers sent.
    notes : list of TargetNote
        What targets noted, read when the soak is over.
    happened : list of Happened
        Faults and changes.
    versions : list of tuple
        When a version of the configuration was acknowledged, and which.
    keys_taken : dict of str to float
        When it was acknowledged that a key is taken away.
    not_played : list of str
        Faults that could not be brought about.
    edited : list of Edited
        Edits of the table that were accepted.
    rows_left : dict of int to set of str
        The rows of the table at the end, by the box that shows them.
    memory_left : dict of str to int
        Tokens still set aside at the end, by target.
    ended_s : float
        When the last look was taken.
    """

    asked: list[Asked] = field(default_factory=list)
    notes: list[TargetNote] = field(default_factory=list)
    happened: list[Happened] = field(default_factory=list)
    versions: list[tuple[float, int]] = field(default_factory=list)
    keys_taken: dict[str, float] = field(default_factory=dict)
    not_played: list[str] = field(default_factory=list)
    edited: list[Edited] = field(default_factory=list)
    rows_left: dict[int, set[str]] = field(default_factory=dict)
    memory_left: dict[str, int] = field(default_factory=dict)
    ended_s: float = 0.0

    def note_ends(self) -> None:
        """Note the ends that requests have brought about; they cut what ran beside them."""
        self.happened += [
            Happened(note.at_s, note.at_s + ENDED_S, TARGET_ENDED, None, False)
            for note in self.notes
            if note.what == TARGET_ENDED
        ]

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
                notes.append(_note_of(row))
    return sorted(notes, key=lambda note: note.at_s)


def _note_of(row: dict[str, Any]) -> TargetNote:
    return TargetNote(
        row["at_s"],
        row["target"],
        row["what"],
        row.get("request_id", ""),
        row.get("organisation", ""),
        row.get("rate_per_s"),
        row.get("rest_s"),
    )
