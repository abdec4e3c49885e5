"""What is known of a request in each state decides what its caller is told."""

from gladedrum.entry.lifecycle import new_lifecycle
from gladedrum.outcome import Failed, NotRun, Unknown


def _outcome_after(*steps):
    life = new_lifecycle()
    for step in steps:
        getattr(life, step)()
    return type(life.outcome_if_ended("gone"))


def test_nothing_sent_is_not_run():
    assert _outcome_after() is NotRun


def test_sent_without_a_word_is_unknown():
    assert _outcome_after("send") is Unknown


def test_the_target_s_word_makes_it_not_run():
    assert _outcome_after("send", "not_started") is NotRun


def test_a_second_target_s_word_says_nothing_of_the_first():
    """A retry that was refused once turned a request that may have run into one not run."""
    assert _outcome_after("send", "in_doubt", "send", "not_started") is Unknown


def test_an_answer_that_broke_off_is_failed():
    assert _outcome_after("send", "answer") is Failed
    assert _outcome_after("send", "answer", "in_doubt", "send", "not_started") is Failed


def test_each_segment_is_sent_on_its_own():
    assert _outcome_after("send", "send", "answer", "finish") is Failed
