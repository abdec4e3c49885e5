"""Bounded model checking: under every interleaving and fault, at most one request gets a key.

Boxes claim the same key while a scheduler chooses which pending call to the key-value service
takes effect next and whether it fails. Each path of choices is explored in a fresh run.
"""

from collections import Counter

import pytest
from twisted.internet import defer

from gladedrum.claims import (
    Applied,
    Claim,
    ClaimKey,
    ClaimShard,
    ClaimState,
    RecordOutcome,
    ShardLimits,
)
from gladedrum.errors import KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import ABSENT, Revision, StoredItem

_KEY = "k"


class _FakeKV:
    """Holds every call pending until the scheduler executes it."""

    def __init__(self):
        self.rows, self.revision, self.pending = {}, 0, []

    def client(self, box):
        return _FakeClient(self, box)

    def effect(self, kind, args):
        if kind == "read":
            prefix = args[0]
            return {k: v for k, v in self.rows.items() if k.startswith(prefix)}
        key, value, expected = args
        row = self.rows.get(key)
        if (row.revision if row else ABSENT) != expected:
            raise KVConflictError(key)
        self.revision += 1
        self.rows[key] = StoredItem(key, value, Revision(1, self.revision))
        return self.rows[key].revision


class _FakeClient:
    def __init__(self, kv, box):
        self._kv, self._box = kv, box

    def _call(self, kind, *args):
        answer = defer.Deferred()
        self._kv.pending.append((self._box, kind, args, answer))
        return answer

    def get_prefix(self, prefix):
        return self._call("read", prefix)

    def swap(self, key, value, expected):
        return self._call("swap", key, value, expected)


class _Path:
    """A sequence of choices: a given prefix, then always option 0; records the options."""

    def __init__(self, given):
        self._given, self.taken = given, []

    def choose(self, options):
        depth = len(self.taken)
        index = self._given[depth] if depth < len(self._given) else 0
        self.taken.append((index, options))
        return index


def _claim_key(box):
    claim = Claim(f"request-{box}", box, "body", ClaimState.RUNNING, 0.0)
    return ClaimKey(_KEY, claim)


def _run(given, boxes, max_faults, limits, outcome_state):
    """Run one path; return its choices and the boxes that acquired the key."""
    kv, path = _FakeKV(), _Path(given)
    shards = {b: ClaimShard("claims/0/", kv.client(b), lambda: 0.0, limits) for b in boxes}
    held, faults, crashed = [], 0, set()

    def answered(result, box):
        if isinstance(result, Applied):
            held.append(box)
            if outcome_state is not None:
                recorded = Claim(f"request-{box}", box, "body", outcome_state, 0.0)
                shards[box].submit(RecordOutcome(_KEY, recorded)).addErrback(lambda _f: None)

    for box in boxes:
        answer = shards[box].submit(_claim_key(box))
        answer.addCallbacks(answered, lambda _failure: None, callbackArgs=(box,))
    while kv.pending and len(path.taken) < 60:
        kv.pending = [call for call in kv.pending if call[0] not in crashed]
        if not kv.pending:
            break
        call = kv.pending[path.choose(len(kv.pending))]
        kv.pending.remove(call)
        box, kind, args, answer = call
        events = ["success"]
        if faults < max_faults:
            events += ["unavailable", "crash before effect", "crash after effect"]
            events += ["response lost", "call lost"] if kind == "swap" else []
        event = events[path.choose(len(events))]
        faults += event != "success"
        if event == "unavailable":
            answer.errback(KVUnavailableError(kind))
            continue
        if event == "call lost":
            answer.errback(KVUnknownError(kind))
            continue
        if event == "crash before effect":
            crashed.add(box)
            continue
        try:
            result = kv.effect(kind, args)
        except KVConflictError as exc:
            answer.errback(exc)
            continue
        if event == "response lost":
            answer.errback(KVUnknownError(kind))
        elif event == "crash after effect":
            crashed.add(box)
        else:
            answer.callback(result)
    return path.taken, held


def _explore(boxes, max_faults, limits, outcome_state=None, bound=60_000):
    """Run the paths of choices depth first, up to `bound`; yield the boxes that got the key."""
    runs_by_holders, runs, given = Counter(), 0, []
    while True:
        taken, held = _run(given, boxes, max_faults, limits, outcome_state)
        runs += 1
        runs_by_holders[len(held)] += 1
        yield held
        while taken and taken[-1][0] + 1 >= taken[-1][1]:
            taken.pop()
        if not taken or runs >= bound:
            print(f"{runs} paths, {dict(runs_by_holders)} by the number of holders")
            return
        given = [index for index, _ in taken]
        given[-1] += 1


@pytest.mark.parametrize(
    ("boxes", "max_faults", "limits"),
    [
        (("a", "b"), 2, ShardLimits()),
        (("a", "b"), 2, ShardLimits(max_bucket_claims=1)),
        (("a", "b", "c"), 0, ShardLimits(max_bucket_claims=1)),
    ],
)
def test_a_key_is_held_at_most_once(boxes, max_faults, limits):
    for held in _explore(boxes, max_faults, limits):
        assert len(held) <= 1, held


def test_a_key_that_completed_is_never_held_again():
    limits = ShardLimits(max_bucket_claims=1)
    for held in _explore(("a", "b"), 1, limits, outcome_state=ClaimState.COMPLETED):
        assert len(held) <= 1, held


def test_a_key_whose_request_did_not_run_can_be_held_again():
    holders = {
        len(held)
        for held in _explore(("a", "b"), 0, ShardLimits(), outcome_state=ClaimState.NOT_RUN)
    }
    assert holders == {1, 2}


def test_without_faults_one_box_holds_the_key():
    assert all(len(held) == 1 for held in _explore(("a", "b"), 0, ShardLimits(max_bucket_claims=1)))
