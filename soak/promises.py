"""The promises, checked against what callers and targets have noted.

Each check returns its findings; promises with a bound in time are only checked where nothing that
excuses them happened.
"""

import bisect
import dataclasses
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

from gladedrum.forward.attempt_ends import NOT_RUN_STATUSES
from gladedrum.standins.target import event_of, plain_answer_of

from .boxes import CHANGE_BOUND_S, KEY_BOUND_S, LEAVE_BOUND_S
from .history import STORE_RETURNED, TARGET_ENDED, Asked, Edited, Ending, History, Kind, TargetNote
from .operator import TIME_LIMIT_S

__all__ = ["PROMISES", "Violation", "check_all"]

CONTACT_S = 3.5
"""How long after trouble the promises with a bound in time are not checked, in seconds."""

SLACK_S = 0.4
"""What a busy machine may add to a bound, in seconds."""

REGRESS_SLACK_S = 0.25
"""How long after a version was seen a request may still meet an older one, in seconds."""

RECOVERED_S = 12.0
"""How long after the last fault the fleet must serve again, in seconds."""

ENDS_KNOWN, MOST_LATE = 3, 3
"""A request that has ended so many targets is known, and is sent so often at most after that."""

HELD_S = 2.0
"""After so long other boxes hold an edit of the table, too, in seconds."""

OLDEST_COPY_S = 7.0
"""What is older is in every copy from which the store comes back, in seconds."""

RATE_WINDOW_S, RATE_FACTOR, RATE_SLACK = 4.0, 1.5, 5
"""In a window of so many seconds a target gets so many times the rate that it names, and so many
requests more, at the most; from `CONTACT_S` after it first named one."""

REST_FROM_S, MOST_IN_REST = 0.5, 2
"""From so many seconds after a target has asked a box for rest until its end it gets so many
requests from that box, at the most."""

LEAST_SERVED = 0.75
"""The least share of requests that is served then."""

LEAST_JUDGED = 20
"""With fewer requests than these nothing is said of that share."""

CUT_SHARE = 0.7
"""An answer that broke off later than this share of its caller's limit may have been ended by the
limit, so it is not held against a planned stop."""


class Violation(NamedTuple):
    """A promise that was broken."""

    promise: str
    at_s: float
    text: str


def check_all(history: History) -> list[Violation]:
    """Check every promise."""
    return sorted(
        (found for check in PROMISES.values() for found in check(history)),
        key=lambda violation: violation.at_s,
    )


def _only_asked_runs(history: History) -> list[Violation]:
    asked = {row.request_id for row in history.asked}
    return [
        Violation("only what was asked runs", note.at_s, f"{note.request_id!r} ran")
        for note in history.notes
        if note.what in ("ran", "arrived") and note.request_id not in asked
    ]


def _runs_once(history: History) -> list[Violation]:
    asked = _asked_by_id(history)
    counts = Counter(note.request_id for note in history.ran())
    return [
        Violation("runs once", asked[request_id].sent_s, f"{request_id} ran {count} times")
        for request_id, count in counts.items()
        if count > 1 and request_id in asked and asked[request_id].kind is Kind.ONCE
    ]


def _not_run_is_true(history: History) -> list[Violation]:
    ran = {note.request_id for note in history.ran()}
    return [
        Violation("not run is true", row.sent_s, f"{row.request_id} got {row.status} and ran")
        for row in history.asked
        if row.kind is Kind.ONCE and row.status in NOT_RUN_STATUSES and row.request_id in ran
    ]


def _answers_are_whole(history: History) -> list[Violation]:
    return [
        Violation("own and whole answers", row.sent_s, f"{row.request_id}: {reason}")
        for row in history.asked
        if row.status == HTTPStatus.OK and (reason := _wrong_answer(row))
    ]


def _wrong_answer(row: Asked) -> str:
    if row.answer_id != row.request_id:
        return f"the answer is one to {row.answer_id!r}"
    if row.kind in (Kind.STREAM, Kind.DEADLY):
        right = b"".join(event_of(row.request_id, n) for n in range(1, row.events + 1))
    else:
        right = plain_answer_of(row.request_id)
    if row.ending is Ending.WHOLE and row.body != right:
        return f"a whole answer of {len(row.body)} bytes in place of {len(right)}"
    if not right.startswith(row.body):
        return "its bytes are not those of the target"
    return ""


def _keys_end(history: History) -> list[Violation]:
    asked = _asked_by_id(history)
    late = [
        (asked[note.request_id], taken_s)
        for note in _ran_of(history, asked)
        if (taken_s := history.keys_taken.get(asked[note.request_id].key)) is not None
    ]
    return [
        Violation("keys end", row.sent_s, f"{row.request_id} ran with a key that was taken away")
        for row, taken_s in late
        if row.sent_s > taken_s + KEY_BOUND_S
    ]


def _leaving_gets_nothing(history: History) -> list[Violation]:
    asked = _asked_by_id(history)
    left_s = {note.target: note.at_s for note in history.notes if note.what == "leaving"}
    return [
        Violation("a leaving target gets nothing", note.at_s, f"{note.request_id}: {note.target}")
        for note in history.notes
        if note.what == "arrived"
        and note.request_id in asked
        and note.at_s > left_s.get(note.target, float("inf")) + LEAVE_BOUND_S + SLACK_S
        and _is_calm(history, asked[note.request_id].box, left_s[note.target], note.at_s)
    ]


def _no_version_reverts(history: History) -> list[Violation]:
    asked = _asked_by_id(history)
    by_start: dict[tuple[int, int], list[tuple[float, float, int, str]]] = defaultdict(list)
    for note in _ran_of(history, asked):
        row = asked[note.request_id]
        by_start[row.box, row.start].append(
            (note.at_s, row.sent_s, _version(note.organisation), row.request_id)
        )
    found = []
    for runs in by_start.values():
        runs.sort()
        for at_s, sent_s, version, request_id in runs:
            seen = [v for ran_s, _, v, _ in runs if ran_s < sent_s - REGRESS_SLACK_S]
            if seen and version < max(seen):
                text = f"{request_id} met version {version} after {max(seen)}"
                found.append(Violation("no version reverts", at_s, text))
    return found


def _changes_are_in_force(history: History) -> list[Violation]:
    asked = _asked_by_id(history)
    found = []
    for note in _ran_of(history, asked):
        row = asked[note.request_id]
        due_s = row.sent_s - CHANGE_BOUND_S - SLACK_S
        due = [version for at_s, version in history.versions if at_s < due_s]
        version = _version(note.organisation)
        if due and version < max(due) and _is_calm(history, row.box, due_s, note.at_s):
            text = f"{row.request_id} met version {version}, {max(due)} was due"
            found.append(Violation("changes are in force", note.at_s, text))
    return found


def _stops_cut_nothing(history: History) -> list[Violation]:
    ran = {note.request_id for note in history.ran()}
    return [
        Violation("a stop cuts nothing", row.sent_s, f"{row.request_id} was cut at box {row.box}")
        for row in history.asked
        if row.ending is Ending.BROKEN
        and row.request_id in ran
        and _is_calm(history, row.box, row.sent_s, row.ended_s)
        and row.ended_s - row.sent_s < CUT_SHARE * row.limit_s
    ]


def _live_streams_go_on(history: History) -> list[Violation]:
    """A begun stream is not ended by a box while its target lives and goes on.

    The last target that ran it tells that the connection was closed while it had events to write,
    and no target broke it. Silence is no excuse, nor is planned work, nor trouble with the store.
    """
    last_ran = {note.request_id: note.target for note in history.ran()}
    closed = {(note.request_id, note.target) for note in _noted(history, "broken off")}
    broke = {note.request_id for note in _noted(history, "broke")}
    calm = dataclasses.replace(
        history, happened=[row for row in history.happened if not row.what.startswith("store ")]
    )
    return [
        Violation("a live stream goes on", row.ended_s, f"{row.request_id} ended at box {row.box}")
        for row in history.asked
        if row.ending is Ending.BROKEN
        and row.body
        and (row.request_id, last_ran.get(row.request_id)) in closed
        and row.request_id not in broke
        and row.ended_s - row.sent_s < min(row.limit_s, TIME_LIMIT_S)
        and _is_calm(calm, row.box, row.sent_s, row.ended_s)
    ]


def _deadly_are_refused(history: History) -> list[Violation]:
    """A request that has ended three targets reaches few more, of boxes that could know it."""
    asked = _asked_by_id(history)
    ends_s = sorted(note.at_s for note in _noted(history, TARGET_ENDED))
    if len(ends_s) < ENDS_KNOWN:
        return []
    known_s = ends_s[ENDS_KNOWN - 1] + CONTACT_S
    trouble = [row for row in history.happened if row.what != TARGET_ENDED]
    others = dataclasses.replace(history, happened=trouble)
    late = [
        note
        for note in _noted(history, "arrived")
        if note.at_s > known_s
        and (row := asked.get(note.request_id)) is not None
        and row.kind is Kind.DEADLY
        and _is_calm(others, row.box, row.sent_s, note.at_s)
    ]
    if len(late) <= MOST_LATE:
        return []
    text = f"sent {len(late)} times more, {len(ends_s)} ends in all"
    return [Violation("what ends targets is refused", late[MOST_LATE].at_s, text)]


def _rates_are_kept(history: History) -> list[Violation]:
    """A target that names a rate gets no more from all boxes, reports and orders counted."""
    found = []
    for target, from_s, to_s, per_s in _rates_named(history):
        came_s = [
            note.at_s
            for note in history.notes
            if note.target == target
            and note.what in ("arrived", "reported", "ordered")
            and from_s + CONTACT_S <= note.at_s <= to_s
        ]
        allowed = RATE_FACTOR * per_s * RATE_WINDOW_S + RATE_SLACK
        for index, first_s in enumerate(came_s):
            end_s = first_s + RATE_WINDOW_S
            count = bisect.bisect_left(came_s, end_s) - index
            if count > allowed and _is_calm(history, None, first_s, end_s):
                text = f"{target} got {count} in {RATE_WINDOW_S} s at {per_s} a second"
                found.append(Violation("named rates are kept", first_s, text))
                break
    return found


def _rates_named(history: History) -> Iterable[tuple[str, float, float, float]]:
    """Return which target named a rate from when until when, and which."""
    named: dict[str, TargetNote] = {}
    for note in _noted(history, "switched"):
        before = named.pop(note.target, None)
        if before is not None:
            yield note.target, before.at_s, note.at_s, before.rate_per_s
        if note.rate_per_s is not None:
            named[note.target] = note
    for target, before in named.items():
        yield target, before.at_s, history.ended_s, before.rate_per_s


def _told_leaving_is_heeded(history: History) -> list[Violation]:
    """A box that has passed on an answer by which its target leaves sends nothing there later.

    Trouble excuses nothing but a pause of the box, and another start of it.
    """
    asked = _asked_by_id(history)
    told_s: dict[tuple[int, int, str], float] = {}
    for note in _noted(history, "told leaving"):
        row = asked.get(note.request_id)
        if row is not None and row.ending is Ending.WHOLE:
            key = (row.box, row.start, note.target)
            told_s[key] = min(row.ended_s, told_s.get(key, row.ended_s))
    return [
        Violation("told leaving is heeded", note.at_s, f"{note.request_id}: {note.target}")
        for note in _noted(history, "arrived")
        if (row := asked.get(note.request_id)) is not None
        and (at_s := told_s.get((row.box, row.start, note.target))) is not None
        and row.sent_s > at_s + LEAVE_BOUND_S + SLACK_S
        and not _was_paused(history, row.box, at_s, note.at_s)
    ]


def _rest_is_kept(history: History) -> list[Violation]:
    """A target that has asked a box for rest gets next to nothing from that start of it."""
    asked = _asked_by_id(history)
    came_s: dict[tuple[int, int, str], list[float]] = defaultdict(list)
    for note in _noted(history, "arrived"):
        if (row := asked.get(note.request_id)) is not None:
            came_s[row.box, row.start, note.target].append(note.at_s)
    found = []
    for note in _noted(history, "wants rest"):
        row = asked.get(note.request_id)
        if row is None or not _is_calm(history, row.box, note.at_s, note.at_s + note.rest_s):
            continue
        from_s, to_s = note.at_s + REST_FROM_S + SLACK_S, note.at_s + note.rest_s
        count = sum(from_s <= at_s < to_s for at_s in came_s[row.box, row.start, note.target])
        if count > MOST_IN_REST:
            text = f"{note.target} got {count} from box {row.box} in {note.rest_s} s"
            found.append(Violation("rest is kept", note.at_s, text))
    return found


def _edits_stay(history: History) -> list[Violation]:
    """An accepted edit of the table is there at the end, at every box that shows the table.

    Its box holds it, and the others within seconds; while all are lost only the store has it.
    """
    return [
        Violation("accepted edits stay", edit.at_s, f"{edit.row} is not shown by box {box}")
        for edit in history.edited
        for box, rows in history.rows_left.items()
        if edit.row not in rows and not _is_lost_with_all(history, edit)
    ]


def _is_lost_with_all(history: History, edit: Edited) -> bool:
    """Whether all that held an edit may have been lost before the store came back from a copy."""
    returned_s = [
        row.to_s
        for row in history.happened
        if row.what == STORE_RETURNED and row.to_s - OLDEST_COPY_S < edit.at_s < row.to_s
    ]
    return any(
        row.to_s > edit.at_s
        and row.from_s < at_s + HELD_S
        and (row.what == "all killed" or (row.box == edit.box and row.from_s < edit.at_s + HELD_S))
        for at_s in returned_s
        for row in history.happened
    )


def _all_are_answered(history: History) -> list[Violation]:
    return [
        Violation("all are answered in time", row.sent_s, f"{row.request_id} got no answer")
        for row in history.asked
        if row.ending is Ending.OPEN
        and row.ended_s > 0
        and _is_calm(history, row.box, row.sent_s, row.ended_s)
    ]


def _memory_is_free(history: History) -> list[Violation]:
    return [
        Violation("memory is freed", history.ended_s, f"{target} still holds {tokens} tokens")
        for target, tokens in history.memory_left.items()
        if tokens
    ]


def _faults_are_played(history: History) -> list[Violation]:
    return [Violation("faults are played", 0.0, text) for text in history.not_played]


def _fleet_recovers(history: History) -> list[Violation]:
    last_s = max((row.to_s for row in history.happened if row.to_s < history.ended_s), default=0)
    rows = [
        row
        for row in history.asked
        if row.sent_s > last_s + RECOVERED_S
        and row.key not in history.keys_taken
        and row.kind is not Kind.DEADLY
    ]
    served = sum(row.status == HTTPStatus.OK and row.ending is Ending.WHOLE for row in rows)
    if len(rows) < LEAST_JUDGED or served >= LEAST_SERVED * len(rows):
        return []
    return [Violation("the fleet recovers", last_s, f"{served} of {len(rows)} served at the end")]


def _asked_by_id(history: History) -> dict[str, Asked]:
    return {row.request_id: row for row in history.asked}


def _ran_of(history: History, asked: dict[str, Asked]) -> list[TargetNote]:
    """Return the runs of what was asked with a key; its owner's name tells the version."""
    return [
        note
        for note in history.ran()
        if (row := asked.get(note.request_id)) is not None and row.kind is not Kind.DEADLY
    ]


def _noted(history: History, what: str) -> Iterable[TargetNote]:
    return (note for note in history.notes if note.what == what)


PROMISES: dict[str, Callable[[History], list[Violation]]] = {
    "only what was asked runs": _only_asked_runs,
    "runs once": _runs_once,
    "not run is true": _not_run_is_true,
    "own and whole answers": _answers_are_whole,
    "keys end": _keys_end,
    "a leaving target gets nothing": _leaving_gets_nothing,
    "no version reverts": _no_version_reverts,
    "changes are in force": _changes_are_in_force,
    "a stop cuts nothing": _stops_cut_nothing,
    "a live stream goes on": _live_streams_go_on,
    "what ends targets is refused": _deadly_are_refused,
    "named rates are kept": _rates_are_kept,
    "told leaving is heeded": _told_leaving_is_heeded,
    "rest is kept": _rest_is_kept,
    "accepted edits stay": _edits_stay,
    "all are answered in time": _all_are_answered,
    "memory is freed": _memory_is_free,
    "the fleet recovers": _fleet_recovers,
    "faults are played": _faults_are_played,
}


def _version(organisation: str) -> int:
    return int(organisation.rpartition("-")[2] or 0)


def _is_calm(history: History, box: int | None, from_s: float, to_s: float) -> bool:
    """Whether nothing unplanned happened to a box, or to all, from before `from_s` until `to_s`.

    `box` is None if trouble of any box counts.
    """
    return not any(
        (box is None or row.box in (box, None))
        and row.from_s < to_s
        and row.to_s > from_s - CONTACT_S
        for row in history.happened
        if not row.planned
    )


def _was_paused(history: History, box: int, from_s: float, to_s: float) -> bool:
    return any(
        row.what == "paused" and row.box == box and row.from_s < to_s and row.to_s > from_s
        for row in history.happened
    )
