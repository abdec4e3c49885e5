"""The state of a request decides the outcome that its caller gets."""

from gladedrum.entry.lifecycle import new_lifecycle
from gladedrum.outcome import Failed, NotRun, Unknown


def _outcome_after(*steps):
    lifecycle = new_lifecycle()
    for step in steps:
        getattr(lifecycle, step)()
    return type(lifecycle.outcome_if_ended("gone"))


def test_nothing_sent_is_not_run():
    assert _outcome_after() is NotRun


def test_sent_without_a_response_is_unknown():
    assert _outcome_after("send") is Unknown


def test_confirmed_as_not_started_is_not_run():
    assert _outcome_after("send", "not_started") is NotRun


def test_confirmation_by_a_second_target_does_not_cover_the_first():
    """A refused retry must not turn a request that may have run into one that has not run."""
    assert _outcome_after("send", "in_doubt", "send", "not_started") is Unknown


def test_an_answer_that_broke_off_is_failed():
    assert _outcome_after("send", "answer") is Failed
    assert _outcome_after("send", "answer", "in_doubt", "send", "not_started") is Failed


def test_each_segment_is_sent_separately():
    assert _outcome_after("send", "send", "answer", "finish") is Failed
