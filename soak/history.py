"""Records of a soak run: what callers, targets and the operator observed."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

__all__ = [
    "CUT_FROM_TARGETS",
    "ENDED_EARLY",
    "ISOLATED",
    "STORE_RESTORED",
    "TARGET_CRASHED",
    "Edited",
    "Ending",
    "Evacuation",
    "History",
    "Incident",
    "Kind",
    "MemorySample",
    "SentRequest",
    "TargetNote",
]
__all__ += ["DEADLY_KINDS", "read_target_notes"]


TARGET_CRASHED = "ended by"
"""Type of the note that a target writes when a request crashes it, and of the incident."""

ENDED_EARLY = "ended early"
"""Type of the note that a target writes when a fault ends a run early."""

STORE_RESTORED = "store from a copy"
"""Type of the incident while the store is restored from a copy."""

CUT_FROM_TARGETS = "cut from targets"
"""Type of the incident while the links of a box to all targets are cut."""

ISOLATED = "isolated"
"""Type of the incident while a box is cut off from all targets, all other boxes and the store."""

CRASH_DOWNTIME_S = 1.0
"""How long a target is unavailable after such a crash, in seconds."""


class Kind(Enum):
    """Whether a request may be sent again: never, at any time, or from the last event on.

    `DEADLY` is a stream that crashes its target, always with the same request; `DEADLY_PART` is one
    that crashes it by a part of its prompt, each time with another request.
    """

    ONCE = "once"
    REPEATABLE = "repeatable"
    STREAM = "stream"
    DEADLY = "deadly"
    DEADLY_PART = "deadly-part"


DEADLY_KINDS = (Kind.DEADLY, Kind.DEADLY_PART)
"""Kinds of requests that crash their targets."""


class Ending(Enum):
    """How a request ended for its caller.

    `WHOLE` if the response is complete, `BROKEN` if the connection was closed before that or the
    response is invalid, `OPEN` if the caller timed out or still waits.
    """

    OPEN = "open"
    WHOLE = "whole"
    BROKEN = "broken"


@dataclass
class SentRequest:
    """A request as its caller observed it; times are in seconds of the monotonic clock.

    Parameters
    ----------
    request_id : str
        Unique id.
    box, start : int
        Index of the box that received it, and how often that box had been started.
    kind : Kind
        Whether it may be sent again.
    key : str
        Its API key.
    events : int
        Number of events in its stream, 0 for a plain request.
    limit_s : float
        How long its caller waits.
    sent_s : float
        When its last byte was written.
    pad : int
        Bytes of padding in each event.
    reads : bool
        Whether its caller ever reads the response.
    unmarked_runs : int
        Number of its runs, from the first, whose response has neither a length nor chunks.

    Attributes
    ----------
    status : int or None
        Status of the response, None until its head has arrived.
    answer_id : str
        Request id in the response headers.
    body : bytes
        The part of the response body that has arrived.
    ending, ended_s : Ending, float
        How and when it ended; `ended_s` is 0 until then.
    """

    request_id: str
    box: int
    start: int
    kind: Kind
    key: str
    events: int
    limit_s: float
    sent_s: float
    pad: int = 0
    reads: bool = True
    unmarked_runs: int = 0
    status: int | None = None
    answer_id: str = ""
    body: bytes = b""
    ending: Ending = Ending.OPEN
    ended_s: float = 0.0


class TargetNote(NamedTuple):
    """A line of a target's output.

    Parameters
    ----------
    at_s : float
        Time by the monotonic clock, in seconds.
    target : str
        Name of the target.
    what : str
        Type of the note. ``"arrived"`` and ``"ran"``: a request arrived or was run. ``"told
        leaving"``: its response announces that the target leaves. ``"wants rest"``: it is rejected
        with a backoff. ``"broken off"``: its connection was closed before the last event.
        ``"broke"``: a fault switch broke its stream. `ENDED_EARLY`: a fault ended its run early.
        ``"finished"``: its stream, or answer in pieces, was written to its end.
        `TARGET_CRASHED`: it crashes the target.
        ``"reported"`` and ``"ordered"``: a call for a load report or about memory.
        ``"reserved"``: an order that is no renewal.
        ``"switched"``: fault switches were set. ``"started"``, ``"leaving"`` and ``"ended"``:
        state of the target.
    request_id, organisation : str
        Request id and organisation of a request, empty if there is none.
    rate_per_s : float or None
        Request rate that the target advertises from now on, in ``"switched"``.
    rest_s : float or None
        Duration of the backoff, in seconds.
    data_hall : str
        Data hall of the target, in ``"started"``.
    cold_s : float
        Time for which the target is cold from now on, in seconds, in ``"switched"``.
    after : int
        Number of the event after which a run of a stream begins, in ``"ran"``.
    sent : int
        Number of events or pieces that a run has sent, in `ENDED_EARLY`.
    """

    at_s: float
    target: str
    what: str
    request_id: str
    organisation: str
    rate_per_s: float | None = None
    rest_s: float | None = None
    data_hall: str = ""
    cold_s: float = 0.0
    after: int = 0
    sent: int = 0


class Incident(NamedTuple):
    """A fault or a planned change, with its duration.

    Parameters
    ----------
    from_s, to_s : float
        Start and end by the monotonic clock, in seconds; `to_s` is infinity while it lasts.
    what : str
        Type of the incident, such as ``"paused"``.
    box : int or None
        Index of the only box affected, None if it affects more.
    planned : bool
        Whether it is planned work or normal behavior of targets, during which all promises hold.
    """

    from_s: float
    to_s: float
    what: str
    box: int | None
    planned: bool


class MemorySample(NamedTuple):
    """The resident memory of a box, in MB, with the time and the index of the box."""

    at_s: float
    box: int
    resident_mb: float


class Edited(NamedTuple):
    """An accepted edit of the table: its time, the index of the box, and the row it created."""

    at_s: float
    box: int
    row: str


class Evacuation(NamedTuple):
    """An evacuation of a data hall.

    Parameters
    ----------
    data_hall : str
        The data hall.
    from_s, to_s : float
        When the store acknowledged the order, and when the operator began to end it, by the
        monotonic clock in seconds.
    """

    data_hall: str
    from_s: float
    to_s: float


@dataclass
class History:
    """All records of a run; times are in seconds of the monotonic clock.

    Parameters
    ----------
    requests : list of SentRequest
        Requests of all callers.
    notes : list of TargetNote
        Notes of all targets, read after the run.
    incidents : list of Incident
        Faults and planned changes.
    versions : list of tuple
        Time at which the store acknowledged a configuration version, and the version.
    keys_revoked : dict of str to float
        Time at which the store acknowledged the revocation, by key.
    evacuations : list of Evacuation
        Evacuations of data halls that have ended.
    not_injected : list of str
        Faults that could not be injected.
    edited : list of Edited
        Accepted edits of the table.
    box_memory : list of MemorySample
        Memory of the boxes, sampled while callers read slowly.
    final_rows : dict of int to set of str
        Rows of the table at the end, by index of the box that reported them.
    final_reserved_tokens : dict of str to int
        Tokens still reserved at the end, by target.
    ended_s : float
        Time of the final checks.
    """

    requests: list[SentRequest] = field(default_factory=list)
    notes: list[TargetNote] = field(default_factory=list)
    incidents: list[Incident] = field(default_factory=list)
    versions: list[tuple[float, int]] = field(default_factory=list)
    keys_revoked: dict[str, float] = field(default_factory=dict)
    evacuations: list[Evacuation] = field(default_factory=list)
    not_injected: list[str] = field(default_factory=list)
    edited: list[Edited] = field(default_factory=list)
    box_memory: list[MemorySample] = field(default_factory=list)
    final_rows: dict[int, set[str]] = field(default_factory=dict)
    final_reserved_tokens: dict[str, int] = field(default_factory=dict)
    ended_s: float = 0.0

    def record_crashes(self) -> None:
        """Record crashes caused by requests, and runs that end early, as incidents.

        They also cut other requests.
        """
        whats = {TARGET_CRASHED: TARGET_CRASHED, ENDED_EARLY: f"target {ENDED_EARLY}"}
        self.incidents += [
            Incident(note.at_s, note.at_s + CRASH_DOWNTIME_S, whats[note.what], None, False)
            for note in self.notes
            if note.what in whats
        ]

    def ran(self) -> Iterable[TargetNote]:
        """Iterate over the notes of requests that ran."""
        return (note for note in self.notes if note.what == "ran")


def read_target_notes(paths: Iterable[Path]) -> list[TargetNote]:
    """Return the targets' notes by time; a line truncated by a kill is skipped."""
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
        row.get("data_hall", ""),
        row.get("cold_s", 0.0),
        row.get("after", 0),
        row.get("sent", 0),
    )
