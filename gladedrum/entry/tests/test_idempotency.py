"""An outcome is recorded for every claimed key, also if the caller disconnects."""

from twisted.internet import defer

from gladedrum.claims import Acquired, AlreadyClaimed, Claim, ClaimState
from gladedrum.entry.idempotency import Duplicate, KeyedRequest, run_once
from gladedrum.outcome import Completed, NotRun, Unknown
from gladedrum.utils import start

_KEYED = KeyedRequest("organisation", "key", b"body", "request")


class _Claims:
    def __init__(self, answer):
        self.answer, self.recorded = answer, []

    def acquire(self, *_keyed):
        return self.answer

    def record_outcome(self, *arguments):
        self.recorded.append(arguments[-1])


def _run(claims, run, running=None):
    results = []

    async def ask_running(_box, _ids):
        return running

    task = start(run_once(claims, _KEYED, run, ask_running))
    task.addBoth(results.append)
    return task, results


async def _complete():
    return Completed()


def test_the_outcome_of_a_claimed_key_is_recorded():
    claims = _Claims(defer.succeed(Acquired()))
    _, results = _run(claims, _complete)
    assert results == claims.recorded == [Completed()]


def test_a_disconnect_during_the_claim_is_recorded_as_not_run():
    """Otherwise the key would stay claimed for a request that never ran."""
    claims = _Claims(defer.Deferred())
    task, _ = _run(claims, _complete)
    task.addErrback(lambda _failure: None)
    task.cancel()
    assert [type(outcome) for outcome in claims.recorded] == [NotRun]


def test_a_disconnect_during_the_run_is_recorded_as_unknown():
    claims = _Claims(defer.succeed(Acquired()))
    task, _ = _run(claims, lambda: defer.Deferred())
    task.addErrback(lambda _failure: None)
    task.cancel()
    assert [type(outcome) for outcome in claims.recorded] == [Unknown]


def _code_of_duplicate(running):
    claim = Claim("first", "box-9", "digest", ClaimState.RUNNING, 0.0)
    _, results = _run(_Claims(defer.succeed(AlreadyClaimed(claim))), _complete, running)
    assert isinstance(results[0], Duplicate)
    return results[0].code


def test_a_duplicate_reports_whether_the_first_request_still_runs():
    assert _code_of_duplicate(["first"]) == "still_running"
    assert _code_of_duplicate(None) == "still_running"
    assert _code_of_duplicate([]) == "outcome_unknown"
