"""A claimed key is always settled, also when its caller goes away."""

from twisted.internet import defer

from gladedrum.claims import Acquired, AlreadyClaimed, Claim, ClaimState
from gladedrum.entry.once import Duplicate, KeyedRequest, run_once
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


def test_a_held_key_is_settled_with_the_outcome():
    claims = _Claims(defer.succeed(Acquired()))
    _, results = _run(claims, _complete)
    assert results == claims.recorded == [Completed()]


def test_a_caller_that_goes_while_the_key_is_claimed_leaves_no_claim_behind():
    """The key once stayed claimed for a request that never ran."""
    claims = _Claims(defer.Deferred())
    task, _ = _run(claims, _complete)
    task.addErrback(lambda _failure: None)
    task.cancel()
    assert [type(outcome) for outcome in claims.recorded] == [NotRun]


def test_a_caller_that_goes_while_the_request_runs_leaves_it_unknown():
    claims = _Claims(defer.succeed(Acquired()))
    task, _ = _run(claims, lambda: defer.Deferred())
    task.addErrback(lambda _failure: None)
    task.cancel()
    assert [type(outcome) for outcome in claims.recorded] == [Unknown]


def _older(running):
    claim = Claim("first", "box-9", "digest", ClaimState.RUNNING, 0.0)
    _, results = _run(_Claims(defer.succeed(AlreadyClaimed(claim))), _complete, running)
    assert isinstance(results[0], Duplicate)
    return results[0].code


def test_a_second_caller_learns_whether_the_first_request_still_runs():
    assert _older(["first"]) == "still_running"
    assert _older(None) == "still_running"
    assert _older([]) == "outcome_unknown"
