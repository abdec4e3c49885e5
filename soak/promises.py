"""The promises of the serving layer, checked against the records of a soak run.

Each check returns its violations. A promise with a time bound is checked only while no fault that
suspends it is in progress or has just ended.
"""

import bisect
import dataclasses
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

from gladedrum.forward.attempt_ends import NOT_RUN_STATUSES
from gladedrum.standins.target import event_of, plain_answer_of

from .boxes import (
    CHANGE_BOUND_S,
    COLD_OVERAGE,
    COLD_SLACK,
    EVACUATION_BOUND_S,
    KEY_BOUND_S,
    LEAVE_BOUND_S,
)
from .history import (
    CUT_FROM_TARGETS,
    DEADLY_KINDS,
    ENDED_EARLY,
    ISOLATED,
    STORE_RESTORED,
    TARGET_CRASHED,
    Edited,
    Ending,
    History,
    Kind,
    SentRequest,
    TargetNote,
)
from .operator import COLD_PER_S, TIME_LIMIT_S

__all__ = ["PROMISES", "Violation", "check_all"]

SETTLE_S = 3.5
"""Time after a fault during which promises with a time bound are not checked, in seconds."""

SLACK_S = 0.4
"""Tolerance of time bounds for a busy machine, in seconds."""

REVERT_SLACK_S = 0.25
"""Time after a version was first used in which a request may still use an older one, in seconds."""

RECOVERY_BOUND_S = 12.0
"""Time after the last fault within which the fleet must recover, in seconds."""

CRASHES_UNTIL_REFUSED, PART_CRASHES_UNTIL_REFUSED, MAX_LATE_ARRIVALS = 3, 5, 3
"""Number of target crashes after which a request must be refused, and the number of times that it
may still arrive at targets after that."""

REPLICATED_S = 2.0
"""Time within which an accepted edit of the table reaches other boxes, in seconds."""

MAX_COPY_AGE_S = 7.0
"""Maximum age of a copy from which the store is restored, in seconds."""

UNDISTURBED_S = 4.0
"""Time without faults of a box, its links and the store after which the bound for new work in an
evacuated data hall holds for the box, in seconds."""

RATE_WINDOW_S, RATE_FACTOR, RATE_SLACK = 4.0, 1.5, 5
"""In each window of `RATE_WINDOW_S`, a target receives at most `RATE_FACTOR` times its advertised
rate plus `RATE_SLACK` requests, starting `SETTLE_S` after it advertised the rate."""

COLD_KNOWN_S = 1.0
"""Time after a target has turned cold from which its limit is checked, in seconds: the target
announces it in its answers, and is polled twice in this time."""

BACKOFF_FROM_S, MAX_IN_BACKOFF = 0.5, 2
"""From `BACKOFF_FROM_S` after a target asked a box for backoff until the backoff ends, the target
receives at most `MAX_IN_BACKOFF` requests from that box."""

CONTACT_S = 3.0
"""Time after its links to targets were cut from which callers of a box must be served, and time
after its isolation from which it sends nothing to departed targets, in seconds."""

MIN_CUT_SHARE, CUT_SLACK, CUT_SLACK_SHARE = 2 / 3, 10, 1 / 50
"""Callers of such a box must be served at least `MIN_CUT_SHARE` as often as others, unless no more
than `CUT_SLACK` of them and `CUT_SLACK_SHARE` of them all fail."""

MAX_BOX_MB = 115.0
"""Maximum resident memory of a box with a memory budget of `boxes.ANSWER_BUFFER_MB`, in MB: the
process, and twice the budget."""

MIN_SERVED_SHARE = 0.75
"""Minimum share of requests that must be served after recovery."""

MIN_CHECKED_REQUESTS = 20
"""Minimum number of requests for which that share is checked."""

CHECKED_LIMIT_SHARE = 0.7
"""Share of a caller's time limit. A response that is cut later may have been cut by the time limit,
so it is no violation by a planned stop."""


class Violation(NamedTuple):
    """A violation of a promise, with its time by the monotonic clock in seconds."""

    promise: str
    at_s: float
    text: str


def check_all(history: History) -> list[Violation]:
    """Check every promise and return the violations by time."""
    return sorted(
        (found for check in PROMISES.values() for found in check(history)),
        key=lambda violation: violation.at_s,
    )


def _only_sent_requests_run(history: History) -> list[Violation]:
    requests = {row.request_id for row in history.requests}
    return [
        Violation("only what was asked runs", note.at_s, f"{note.request_id!r} ran")
        for note in history.notes
        if note.what in ("ran", "arrived") and note.request_id not in requests
    ]


def _runs_once(history: History) -> list[Violation]:
    requests = _requests_by_id(history)
    counts = Counter(note.request_id for note in history.ran())
    return [
        Violation("runs once", requests[request_id].sent_s, f"{request_id} ran {count} times")
        for request_id, count in counts.items()
        if count > 1 and request_id in requests and requests[request_id].kind is Kind.ONCE
    ]


def _not_run_is_true(history: History) -> list[Violation]:
    ran = {note.request_id for note in history.ran()}
    return [
        Violation("not run is true", row.sent_s, f"{row.request_id} got {row.status} and ran")
        for row in history.requests
        if row.kind is Kind.ONCE and row.status in NOT_RUN_STATUSES and row.request_id in ran
    ]


def _answers_are_whole(history: History) -> list[Violation]:
    """A success is the answer to its request, and whole if its end is orderly.

    Without a length or chunks, the orderly close of its connection is its end.
    """
    notes = defaultdict(list)
    for note in history.notes:
        if note.what in ("ran", "finished", ENDED_EARLY):
            notes[note.request_id].append(note)
    return [
        Violation("own and whole answers", row.sent_s, f"{row.request_id}: {reason}")
        for row in history.requests
        if row.status == HTTPStatus.OK and (reason := _answer_error(row, notes[row.request_id]))
    ]


def _answer_error(row: SentRequest, notes: list[TargetNote]) -> str:
    if row.answer_id != row.request_id:
        return f"the answer is one to {row.answer_id!r}"
    if row.kind in (Kind.STREAM, *DEADLY_KINDS):
        numbers = range(1, row.events + 1)
        right = b"".join(event_of(row.request_id, n, row.pad) for n in numbers)
    else:
        right = plain_answer_of(row.request_id)
    is_short = row.ending is Ending.WHOLE and row.body != right
    if is_short and not (row.body and _may_look_whole(row, notes)):
        return f"a whole answer of {len(row.body)} bytes in place of {len(right)}"
    if not right.startswith(row.body):
        return "its bytes are not those of the target"
    return ""


def _may_look_whole(row: SentRequest, notes: list[TargetNote]) -> bool:
    """Whether nothing tells a part of an answer from all of it, by the notes of its runs.

    Two runs that end at the same event, or with the same body, agree on the end; what must not be
    repeated has one run only. An end behind the head agrees with nothing.
    """
    runs = [note for note in notes if note.what == "ran"]
    sent = [note.sent for note in notes if note.what == ENDED_EARLY]
    if not sent:
        return False
    finished = sum(note.what == "finished" for note in notes)
    cut_by_others = len(runs) - finished - len(sent)
    if row.kind is Kind.ONCE:
        return row.unmarked_runs > 0
    if row.kind is Kind.REPEATABLE:
        same = max(Counter(number for number in sent if number).values(), default=0)
        return cut_by_others + same >= 2
    last = row.body.count(b"\n\n")
    repeats_last = any(run.after == last - 1 for run in runs[1:])
    return repeats_last and cut_by_others + sum(number > 0 for number in sent) >= 2


def _keys_end(history: History) -> list[Violation]:
    requests = _requests_by_id(history)
    revoked = [
        (requests[note.request_id], revoked_s)
        for note in _keyed_runs(history, requests)
        if (revoked_s := history.keys_revoked.get(requests[note.request_id].key)) is not None
    ]
    return [
        Violation("keys end", row.sent_s, f"{row.request_id} ran with a key that was taken away")
        for row, revoked_s in revoked
        if row.sent_s > revoked_s + KEY_BOUND_S
    ]


def _cut_boxes_serve(history: History) -> list[Violation]:
    """Callers of a box without links to targets are served like those of the other boxes.

    From `CONTACT_S` after the cut, at least `MIN_CUT_SHARE` as often, unless few fail in all.
    Faults of single boxes excuse these boxes; all other faults affect the boxes alike in the time
    that is compared.
    """
    found = []
    cuts = [row for row in history.incidents if row.what == CUT_FROM_TARGETS]
    for cut in cuts:
        from_s, to_s = cut.from_s + CONTACT_S + SLACK_S, cut.to_s
        compared = [
            row
            for row in history.requests
            if from_s <= row.sent_s < to_s
            and row.ended_s > 0
            and row.kind not in DEADLY_KINDS
            and row.reads
            and row.status != HTTPStatus.UNAUTHORIZED
            and not _has_own_fault(history, row.box, row.sent_s, row.ended_s)
        ]
        own = [row for row in compared if row.box == cut.box]
        cut_boxes = {row.box for row in cuts if row.from_s < to_s and row.to_s > from_s}
        sent_s = [row.sent_s for row in own]
        others = [
            row
            for row in compared
            if row.box not in cut_boxes and own and min(sent_s) <= row.sent_s <= max(sent_s)
        ]
        failed = len(own) - _served(own)
        if not others or failed <= CUT_SLACK + len(own) * CUT_SLACK_SHARE:
            continue
        if _served(own) / len(own) < MIN_CUT_SHARE * _served(others) / len(others):
            text = (
                f"box {cut.box} served {_served(own)} of {len(own)}, "
                f"the others {_served(others)} of {len(others)}"
            )
            found.append(Violation("a cut box serves", from_s, text))
    return found


def _served(rows: list[SentRequest]) -> int:
    return sum(row.status == HTTPStatus.OK and row.ending is Ending.WHOLE for row in rows)


def _has_own_fault(history: History, box: int, from_s: float, to_s: float) -> bool:
    """Whether a box was killed, stopped, paused, or cut from callers or the store."""
    return any(
        (row.box == box or row.what == "all killed")
        and row.what != CUT_FROM_TARGETS
        and row.from_s < to_s
        and row.to_s > from_s - SETTLE_S
        for row in history.incidents
    )


def _leaving_gets_nothing(history: History) -> list[Violation]:
    requests = _requests_by_id(history)
    left_s = {note.target: note.at_s for note in history.notes if note.what == "leaving"}
    return [
        Violation("a leaving target gets nothing", note.at_s, f"{note.request_id}: {note.target}")
        for note in history.notes
        if note.what == "arrived"
        and note.request_id in requests
        and note.at_s > left_s.get(note.target, float("inf")) + LEAVE_BOUND_S + SLACK_S
        and _is_undisturbed(history, requests[note.request_id].box, left_s[note.target], note.at_s)
    ]


def _departed_get_nothing_after_isolation(history: History) -> list[Violation]:
    """A box that was isolated sends nothing to departed targets once it is back in contact.

    From `CONTACT_S` after its end the isolation excuses nothing; other boxes' isolations and faults
    of targets alone never do.
    """
    requests = _requests_by_id(history)
    left_s = {note.target: note.at_s for note in _notes_of(history, "leaving")}
    isolations = [row for row in history.incidents if row.what == ISOLATED]
    others = [
        row
        for row in history.incidents
        if row.what != ISOLATED and not _is_fault_of_target(row.what)
    ]
    other_faults = dataclasses.replace(history, incidents=others)
    found = []
    for note in _notes_of(history, "arrived"):
        row = requests.get(note.request_id)
        if row is None or note.target not in left_s:
            continue
        before_s = [i.to_s for i in isolations if i.box == row.box and i.from_s < note.at_s]
        in_contact_s = max(before_s, default=float("inf")) + CONTACT_S
        due_s = max(left_s[note.target] + LEAVE_BOUND_S, in_contact_s) + SLACK_S
        if note.at_s > due_s and _is_undisturbed(other_faults, row.box, left_s[note.target], due_s):
            text = f"{note.request_id}: {note.target}, from box {row.box}"
            found.append(Violation("departed targets get nothing after a cut", note.at_s, text))
    return found


def _evacuated_gets_nothing(history: History) -> list[Violation]:
    """No new work reaches a target of an evacuated data hall: no request, no order for memory.

    An order does not name its box, so faults of any box excuse it. Faults of targets alone, such as
    their end, excuse nothing.
    """
    requests = _requests_by_id(history)
    faults = [row for row in history.incidents if not _is_fault_of_target(row.what)]
    other_faults = dataclasses.replace(history, incidents=faults)
    halls = {note.target: note.data_hall for note in _notes_of(history, "started")}
    return [
        Violation(
            "an evacuated data hall gets nothing",
            note.at_s,
            f"{note.request_id or 'an order for memory'}: {note.target}",
        )
        for evacuation in history.evacuations
        for note in history.notes
        if note.what in ("arrived", "reserved")
        and evacuation.from_s + EVACUATION_BOUND_S + SLACK_S < note.at_s < evacuation.to_s
        and halls.get(note.target) == evacuation.data_hall
        and (note.what == "reserved" or note.request_id in requests)
        and _is_undisturbed(
            other_faults,
            requests[note.request_id].box if note.what == "arrived" else None,
            note.at_s - max(0.0, UNDISTURBED_S - SETTLE_S),
            note.at_s,
        )
    ]


def _is_fault_of_target(what: str) -> bool:
    """Whether an incident is a fault of targets and not of a link to one (``target N ...``)."""
    kind, _, rest = what.partition(" ")
    return what == TARGET_CRASHED or (kind == "target" and not rest[:1].isdigit())


def _no_version_reverts(history: History) -> list[Violation]:
    requests = _requests_by_id(history)
    by_start: dict[tuple[int, int], list[tuple[float, float, int, str]]] = defaultdict(list)
    for note in _keyed_runs(history, requests):
        row = requests[note.request_id]
        by_start[row.box, row.start].append(
            (note.at_s, row.sent_s, _version(note.organisation), row.request_id)
        )
    found = []
    for runs in by_start.values():
        runs.sort()
        for at_s, sent_s, version, request_id in runs:
            seen = [v for ran_s, _, v, _ in runs if ran_s < sent_s - REVERT_SLACK_S]
            if seen and version < max(seen):
                text = f"{request_id} met version {version} after {max(seen)}"
                found.append(Violation("no version reverts", at_s, text))
    return found


def _changes_are_in_force(history: History) -> list[Violation]:
    requests = _requests_by_id(history)
    found = []
    for note in _keyed_runs(history, requests):
        row = requests[note.request_id]
        due_s = row.sent_s - CHANGE_BOUND_S - SLACK_S
        due = [version for at_s, version in history.versions if at_s < due_s]
        version = _version(note.organisation)
        if due and version < max(due) and _is_undisturbed(history, row.box, due_s, note.at_s):
            text = f"{row.request_id} met version {version}, {max(due)} was due"
            found.append(Violation("changes are in force", note.at_s, text))
    return found


def _stops_cut_nothing(history: History) -> list[Violation]:
    """A request that has run gets its answer, whatever is planned.

    Excused is one whose target has written all of it without a mark of its end: a box cuts such an
    answer if no further run may show that it is whole, as when the repeats are used up.
    """
    ran = Counter(note.request_id for note in history.ran())
    finished = {note.request_id for note in _notes_of(history, "finished")}
    return [
        Violation("a stop cuts nothing", row.sent_s, f"{row.request_id} was cut at box {row.box}")
        for row in history.requests
        if row.ending is Ending.BROKEN
        and row.request_id in ran
        and not (row.request_id in finished and ran[row.request_id] <= row.unmarked_runs)
        and _is_undisturbed(history, row.box, row.sent_s, row.ended_s)
        and row.ended_s - row.sent_s < CHECKED_LIMIT_SHARE * row.limit_s
    ]


def _live_streams_go_on(history: History) -> list[Violation]:
    """A box does not end a begun stream while its target is alive and still writing.

    Violated if the last target that ran the stream recorded that the connection was closed before
    its last event, and no target broke the stream itself. The promise also holds while targets
    pause, during planned work and during store faults.
    """
    last_ran = {note.request_id: note.target for note in history.ran()}
    closed = {(note.request_id, note.target) for note in _notes_of(history, "broken off")}
    broke = {note.request_id for note in _notes_of(history, "broke")}
    without_store = dataclasses.replace(
        history, incidents=[row for row in history.incidents if not row.what.startswith("store ")]
    )
    return [
        Violation("a live stream goes on", row.ended_s, f"{row.request_id} ended at box {row.box}")
        for row in history.requests
        if row.ending is Ending.BROKEN
        and row.body
        and (row.request_id, last_ran.get(row.request_id)) in closed
        and row.request_id not in broke
        and row.ended_s - row.sent_s < min(row.limit_s, TIME_LIMIT_S)
        and _is_undisturbed(without_store, row.box, row.sent_s, row.ended_s)
    ]


def _deadly_requests_are_refused(history: History) -> list[Violation]:
    """Boxes refuse a request once they can know that it crashed `CRASHES_UNTIL_REFUSED` targets."""
    return _refused_after(history, Kind.DEADLY, CRASHES_UNTIL_REFUSED)


def _deadly_parts_are_refused(history: History) -> list[Violation]:
    """Boxes refuse requests with a part that they can know to have crashed several targets."""
    return _refused_after(history, Kind.DEADLY_PART, PART_CRASHES_UNTIL_REFUSED)


def _refused_after(history: History, kind: Kind, crashes: int) -> list[Violation]:
    """Return a violation if requests of a kind reach targets after so many crashes of that kind."""
    requests = _requests_by_id(history)
    crashes_s = sorted(
        note.at_s
        for note in _notes_of(history, TARGET_CRASHED)
        if (row := requests.get(note.request_id)) is not None and row.kind is kind
    )
    if len(crashes_s) < crashes:
        return []
    known_s = crashes_s[crashes - 1] + SETTLE_S
    faults = [row for row in history.incidents if row.what != TARGET_CRASHED]
    other_faults = dataclasses.replace(history, incidents=faults)
    late = [
        note
        for note in _notes_of(history, "arrived")
        if note.at_s > known_s
        and (row := requests.get(note.request_id)) is not None
        and row.kind is kind
        and _is_undisturbed(other_faults, row.box, row.sent_s, note.at_s)
    ]
    if len(late) <= MAX_LATE_ARRIVALS:
        return []
    text = f"sent {len(late)} times more, {len(crashes_s)} ends in all"
    promise = "what ends targets is refused"
    if kind is Kind.DEADLY_PART:
        promise = "parts that end targets are refused"
    return [Violation(promise, late[MAX_LATE_ARRIVALS].at_s, text)]


def _rates_are_kept(history: History) -> list[Violation]:
    """All boxes together keep to a target's advertised rate.

    Calls for load reports and calls about memory count as requests.
    """
    found = []
    for target, from_s, to_s, per_s in _advertised_rates(history):
        arrived_s = [
            note.at_s
            for note in history.notes
            if note.target == target
            and note.what in ("arrived", "reported", "ordered")
            and from_s + SETTLE_S <= note.at_s <= to_s
        ]
        allowed = RATE_FACTOR * per_s * RATE_WINDOW_S + RATE_SLACK
        for index, first_s in enumerate(arrived_s):
            end_s = first_s + RATE_WINDOW_S
            count = bisect.bisect_left(arrived_s, end_s) - index
            if count > allowed and _is_undisturbed(history, None, first_s, end_s):
                text = f"{target} got {count} in {RATE_WINDOW_S} s at {per_s} a second"
                found.append(Violation("named rates are kept", first_s, text))
                break
    return found


def _cold_targets_are_spared(history: History) -> list[Violation]:
    """All boxes together send a cold target no more in any one second than it can take.

    Calls for load reports and calls about memory count as requests.
    """
    allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    found = []
    for cold in _notes_of(history, "switched"):
        from_s, to_s = cold.at_s + COLD_KNOWN_S, cold.at_s + cold.cold_s
        arrived_s = [
            note.at_s
            for note in history.notes
            if note.target == cold.target
            and note.what in ("arrived", "reported", "ordered")
            and from_s <= note.at_s <= to_s
        ]
        for index, first_s in enumerate(arrived_s):
            count = bisect.bisect_left(arrived_s, first_s + 1.0) - index
            if count > allowed and _is_undisturbed(history, None, first_s, first_s + 1.0):
                text = f"{cold.target} got {count} in a second, {allowed:g} are allowed"
                found.append(Violation("cold targets are spared", first_s, text))
                break
    return found


def _advertised_rates(history: History) -> Iterable[tuple[str, float, float, float]]:
    """Iterate over advertised rates: target, start and end in seconds, requests per second."""
    advertised: dict[str, TargetNote] = {}
    for note in _notes_of(history, "switched"):
        before = advertised.pop(note.target, None)
        if before is not None:
            yield note.target, before.at_s, note.at_s, before.rate_per_s
        if note.rate_per_s is not None:
            advertised[note.target] = note
    for target, before in advertised.items():
        yield target, before.at_s, history.ended_s, before.rate_per_s


def _announced_leaving_is_respected(history: History) -> list[Violation]:
    """A box that forwarded a target's announcement to leave sends no more requests there.

    Only a pause or a restart of the box suspends this promise.
    """
    requests = _requests_by_id(history)
    announced_s: dict[tuple[int, int, str], float] = {}
    for note in _notes_of(history, "told leaving"):
        row = requests.get(note.request_id)
        if row is not None and row.ending is Ending.WHOLE:
            key = (row.box, row.start, note.target)
            announced_s[key] = min(row.ended_s, announced_s.get(key, row.ended_s))
    return [
        Violation("told leaving is heeded", note.at_s, f"{note.request_id}: {note.target}")
        for note in _notes_of(history, "arrived")
        if (row := requests.get(note.request_id)) is not None
        and (at_s := announced_s.get((row.box, row.start, note.target))) is not None
        and row.sent_s > at_s + LEAVE_BOUND_S + SLACK_S
        and not _was_paused(history, row.box, at_s, note.at_s)
    ]


def _backoff_is_kept(history: History) -> list[Violation]:
    """A box honors the backoff that a target asks for; a restarted box may have forgotten it."""
    requests = _requests_by_id(history)
    arrived_s: dict[tuple[int, int, str], list[float]] = defaultdict(list)
    for note in _notes_of(history, "arrived"):
        if (row := requests.get(note.request_id)) is not None:
            arrived_s[row.box, row.start, note.target].append(note.at_s)
    found = []
    for note in _notes_of(history, "wants rest"):
        row = requests.get(note.request_id)
        if row is None or not _is_undisturbed(history, row.box, note.at_s, note.at_s + note.rest_s):
            continue
        from_s, to_s = note.at_s + BACKOFF_FROM_S + SLACK_S, note.at_s + note.rest_s
        count = sum(from_s <= at_s < to_s for at_s in arrived_s[row.box, row.start, note.target])
        if count > MAX_IN_BACKOFF:
            text = f"{note.target} got {count} from box {row.box} in {note.rest_s} s"
            found.append(Violation("rest is kept", note.at_s, text))
    return found


def _edits_stay(history: History) -> list[Violation]:
    """At the end, every box that reports the table has every accepted edit.

    The box that accepted an edit holds it, and the others get it within `REPLICATED_S`. While all
    of these boxes are down, only the store has it.
    """
    return [
        Violation("accepted edits stay", edit.at_s, f"{edit.row} is not shown by box {box}")
        for edit in history.edited
        for box, rows in history.final_rows.items()
        if edit.row not in rows and not _may_be_lost_everywhere(history, edit)
    ]


def _may_be_lost_everywhere(history: History, edit: Edited) -> bool:
    """Whether an edit may have been lost on all boxes and by a restore of the store."""
    restored_s = [
        row.to_s
        for row in history.incidents
        if row.what == STORE_RESTORED and row.to_s - MAX_COPY_AGE_S < edit.at_s < row.to_s
    ]
    return any(
        row.to_s > edit.at_s
        and row.from_s < at_s + REPLICATED_S
        and (
            row.what == "all killed"
            or (row.box == edit.box and row.from_s < edit.at_s + REPLICATED_S)
        )
        for at_s in restored_s
        for row in history.incidents
    )


def _all_are_answered(history: History) -> list[Violation]:
    return [
        Violation(
            "all are answered in time",
            row.sent_s,
            f"{row.request_id} got {len(row.body)} bytes of an answer from box {row.box}",
        )
        for row in history.requests
        if row.ending is Ending.OPEN
        and row.reads
        and row.ended_s > 0
        and _is_undisturbed(history, row.box, row.sent_s, row.ended_s)
    ]


def _memory_is_freed(history: History) -> list[Violation]:
    return [
        Violation("memory is freed", history.ended_s, f"{target} still holds {tokens} tokens")
        for target, tokens in history.final_reserved_tokens.items()
        if tokens
    ]


def _box_memory_is_bounded(history: History) -> list[Violation]:
    """A box stays within its memory, whatever its callers read."""
    return [
        Violation("a box keeps to its memory", row.at_s, f"box {row.box}: {row.resident_mb:.0f} MB")
        for row in history.box_memory
        if row.resident_mb > MAX_BOX_MB
    ]


def _faults_are_injected(history: History) -> list[Violation]:
    return [Violation("faults are played", 0.0, text) for text in history.not_injected]


def _fleet_recovers(history: History) -> list[Violation]:
    last_s = max((row.to_s for row in history.incidents if row.to_s < history.ended_s), default=0)
    rows = [
        row
        for row in history.requests
        if row.sent_s > last_s + RECOVERY_BOUND_S
        and row.key not in history.keys_revoked
        and row.kind not in DEADLY_KINDS
    ]
    served = sum(row.status == HTTPStatus.OK and row.ending is Ending.WHOLE for row in rows)
    if len(rows) < MIN_CHECKED_REQUESTS or served >= MIN_SERVED_SHARE * len(rows):
        return []
    return [Violation("the fleet recovers", last_s, f"{served} of {len(rows)} served at the end")]


def _requests_by_id(history: History) -> dict[str, SentRequest]:
    return {row.request_id: row for row in history.requests}


def _keyed_runs(history: History, requests: dict[str, SentRequest]) -> list[TargetNote]:
    """Return the notes of runs with an API key, whose organisation names the version."""
    return [
        note
        for note in history.ran()
        if (row := requests.get(note.request_id)) is not None and row.kind not in DEADLY_KINDS
    ]


def _notes_of(history: History, what: str) -> Iterable[TargetNote]:
    return (note for note in history.notes if note.what == what)


PROMISES: dict[str, Callable[[History], list[Violation]]] = {
    "only what was asked runs": _only_sent_requests_run,
    "runs once": _runs_once,
    "not run is true": _not_run_is_true,
    "own and whole answers": _answers_are_whole,
    "keys end": _keys_end,
    "a leaving target gets nothing": _leaving_gets_nothing,
    "departed targets get nothing after a cut": _departed_get_nothing_after_isolation,
    "a cut box serves": _cut_boxes_serve,
    "an evacuated data hall gets nothing": _evacuated_gets_nothing,
    "no version reverts": _no_version_reverts,
    "changes are in force": _changes_are_in_force,
    "a stop cuts nothing": _stops_cut_nothing,
    "a live stream goes on": _live_streams_go_on,
    "what ends targets is refused": _deadly_requests_are_refused,
    "parts that end targets are refused": _deadly_parts_are_refused,
    "named rates are kept": _rates_are_kept,
    "cold targets are spared": _cold_targets_are_spared,
    "told leaving is heeded": _announced_leaving_is_respected,
    "rest is kept": _backoff_is_kept,
    "accepted edits stay": _edits_stay,
    "all are answered in time": _all_are_answered,
    "memory is freed": _memory_is_freed,
    "a box keeps to its memory": _box_memory_is_bounded,
    "the fleet recovers": _fleet_recovers,
    "faults are played": _faults_are_injected,
}
"""Check of each promise, by the promise's name in reports."""


def _version(organisation: str) -> int:
    return int(organisation.rpartition("-")[2] or 0)


def _is_undisturbed(history: History, box: int | None, from_s: float, to_s: float) -> bool:
    """Whether no fault affected a box between `SETTLE_S` before `from_s` and `to_s`.

    Faults that affect several boxes count for each of them. `box` is None if faults of any box
    count.
    """
    return not any(
        (box is None or row.box in (box, None))
        and row.from_s < to_s
        and row.to_s > from_s - SETTLE_S
        for row in history.incidents
        if not row.planned
    )


def _was_paused(history: History, box: int, from_s: float, to_s: float) -> bool:
    return any(
        row.what == "paused" and row.box == box and row.from_s < to_s and row.to_s > from_s
        for row in history.incidents
    )
