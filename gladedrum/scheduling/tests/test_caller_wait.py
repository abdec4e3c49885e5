"""Estimate of how long a caller waits during a pause."""

import pytest

from gladedrum.scheduling.ledger import MIN_CALLER_WAIT_S, LedgerRow, Stake


def row(first_due_s, placed_s, pause_limit_s=0.25):
    return LedgerRow(
        "w", 5000, 1.0, 100, 5100, True, Stake(1.0, first_due_s, pause_limit_s), placed_s
    )


@pytest.mark.parametrize(("due_s", "placed_s"), [(1.0, 9.0), (1.0, 1.0), (float("-inf"), 9.0)])
def test_request_placed_after_its_due_time_has_the_minimum_wait(due_s, placed_s):
    assert row(due_s, placed_s).caller_wait_s == MIN_CALLER_WAIT_S


def test_caller_without_objective_waits_forever():
    assert row(float("inf"), 9.0).caller_wait_s == float("inf")
    assert row(1.0, 9.0, float("inf")).caller_wait_s == float("inf")
