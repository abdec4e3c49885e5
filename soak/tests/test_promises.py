"""Each promise's check finds what breaks it, and nothing else."""

import dataclasses

import pytest

from gladedrum.standins.target import event_of, plain_answer_of
from soak.history import Asked, Edited, Ending, Happened, History, Kind, TargetNote
from soak.plan import Shape, make_plan
from soak.promises import PROMISES, check_all


def asked(request_id="r1", kind=Kind.ONCE, sent_s=100.0, **fields):
    events = 3 if kind is Kind.STREAM else 0
    whole = b"".join(event_of(request_id, n) for n in (1, 2, 3))
    row = Asked(
        request_id=request_id, box=0, start=1, kind=kind, key="k1", events=events, limit_s=3.0,
        sent_s=sent_s, status=200, answer_id=request_id,
        body=whole if events else plain_answer_of(request_id), ending=Ending.WHOLE,
        ended_s=sent_s + 0.1,
    )  # fmt: skip
    return dataclasses.replace(row, **fields)


def ran(request_id="r1", at_s=100.0, target="t1", version=1, what="ran"):
    return TargetNote(at_s, target, what, request_id, f"org-{version}")


def left(target, at_s):
    return TargetNote(at_s, target, "leaving", "", "")


SOUND = History(
    asked=[asked(), asked("r2", Kind.STREAM), asked("r3", Kind.REPEATABLE)],
    notes=[ran(), ran("r2"), ran("r3"), ran("r3", target="t2"), ran("r2", target="t2")],
    versions=[(50.0, 1)],
    memory_left={"t1": 0},
    ended_s=200.0,
)


def changed(**fields):
    return dataclasses.replace(SOUND, **fields)


BROKEN = {
    "only what was asked runs": changed(notes=[ran("r9")]),
    "runs once": changed(notes=[ran(), ran(target="t2")]),
    "not run is true": changed(asked=[asked(status=503, body=b"")], notes=[ran()]),
    "own and whole answers": changed(
        asked=[asked(kind=Kind.STREAM, body=event_of("r1", 1) + event_of("r1", 3))], notes=[]
    ),
    "keys end": changed(asked=[asked()], notes=[ran()], keys_taken={"k1": 94.0}),
    "accepted edits stay": changed(
        edited=[Edited(100.0, 0, "organisation:edit-1")], rows_left={0: {"organisation:edit-2"}}
    ),
    "named rates are kept": changed(
        asked=[asked(f"n{n}", sent_s=104.0) for n in range(12)],
        notes=[
            TargetNote(100.0, "t1", "switched", "", "", 1.0),
            *(ran(f"n{n}", 104.0 + 0.1 * n, what="arrived") for n in range(12)),
        ],
    ),
    "told leaving is heeded": changed(
        asked=[asked(), asked("r2", sent_s=103.0)],
        notes=[ran(), ran(what="told leaving"), ran("r2", 103.0, what="arrived")],
        happened=[Happened(99.0, 110.0, "store outage", None, planned=False)],
    ),
    "rest is kept": changed(
        asked=[asked(), *(asked(f"n{n}", sent_s=101.0 + n / 2) for n in range(3))],
        notes=[
            TargetNote(100.0, "t1", "wants rest", "r1", "", rest_s=3.0),
            *(ran(f"n{n}", 101.0 + n / 2, what="arrived") for n in range(3)),
        ],
    ),
    "what ends targets is refused": changed(
        asked=[asked(f"d{n}", Kind.DEADLY, status=502, sent_s=100.0 + n) for n in range(12)],
        notes=[
            *(ran(f"d{n}", 100.0 + n, what="arrived") for n in range(12)),
            *(ran(f"d{n}", 100.1 + n, what="ended by") for n in range(12)),
        ],
    ),
    "a leaving target gets nothing": changed(
        notes=[left("t1", 97.0), ran(what="arrived", at_s=100.0)]
    ),
    "no version reverts": changed(
        asked=[asked(), asked("r2", sent_s=101.0)],
        notes=[ran(version=4), ran("r2", at_s=101.0, version=3)],
        versions=[],
    ),
    "changes are in force": changed(
        notes=[ran(version=1), ran("r2", version=2), ran("r3", version=2)],
        versions=[(50.0, 1), (97.0, 2)],
    ),
    "a stop cuts nothing": changed(
        asked=[asked(status=None, body=b"", ending=Ending.BROKEN)],
        notes=[ran()],
        happened=[Happened(99.0, 104.0, "stopped", 0, planned=True)],
    ),
    "a live stream goes on": changed(
        asked=[asked(kind=Kind.STREAM, body=event_of("r1", 1), ending=Ending.BROKEN)],
        notes=[ran(), ran(what="broken off", at_s=101.0)],
        happened=[
            Happened(99.0, 101.0, "targets paused", None, planned=True),
            Happened(99.0, 104.0, "stopped", 0, planned=True),
            Happened(99.0, 104.0, "store outage", None, planned=False),
        ],
    ),
    "all are answered in time": changed(
        asked=[asked(status=None, body=b"", ending=Ending.OPEN, ended_s=106.0)], notes=[]
    ),
    "faults are played": changed(not_played=["StoreHarmed: no answer"]),
    "memory is freed": changed(memory_left={"t1": 5000}),
    "the fleet recovers": changed(
        asked=[asked(f"r{i}", status=503, body=b"", sent_s=150.0 + i) for i in range(30)],
        notes=[],
        happened=[Happened(100.0, 101.0, "all killed", None, planned=False)],
    ),
}


def test_a_sound_history_has_no_violation():
    assert check_all(SOUND) == []


@pytest.mark.parametrize("promise", PROMISES)
def test_what_breaks_a_promise_is_found(promise):
    assert [violation.promise for violation in check_all(BROKEN[promise])] == [promise]


@pytest.mark.parametrize(
    "promise",
    [
        "a leaving target gets nothing",
        "changes are in force",
        "a stop cuts nothing",
        "a live stream goes on",
    ],
)
def test_trouble_at_the_box_excuses_promises_with_a_bound_in_time(promise):
    trouble = Happened(98.0, 99.0, "paused", 0, planned=False)
    history = BROKEN[promise]
    excused = dataclasses.replace(history, happened=[*history.happened, trouble])
    assert check_all(excused) == []
    elsewhere = trouble._replace(box=1)
    assert check_all(dataclasses.replace(history, happened=[*history.happened, elsewhere]))


def test_a_seed_gives_the_same_plan_each_time():
    plans = [make_plan(7, 20.0, Shape()) for _ in range(2)]
    assert plans[0] == plans[1] != make_plan(8, 20.0, Shape())
