"""Traces and local replays: determinism, file format, and the default policy against others."""

import pytest

from gladedrum.errors import Finding
from gladedrum.replay import (
    LocalFleet,
    TraceError,
    Workload,
    compare_locally,
    make_trace,
    read_trace,
    replay_locally,
    write_trace,
)
from gladedrum.scheduling import policy_names

_FLEET = LocalFleet(engines=4)
_WORKLOAD = Workload(duration_s=60, engines=4, seed=3)


def test_default_workload_has_the_specified_prompt_lengths():
    rows = make_trace(Workload(duration_s=2_000, engines=18))
    long_share = sum(r.prompt_tokens > 100_000 for r in rows) / len(rows)
    assert 0.015 < long_share < 0.025
    assert min(r.prompt_tokens for r in rows) >= 1_000
    assert 900_000 < max(r.prompt_tokens for r in rows) <= 1_000_000


def test_trace_round_trips_through_a_file(tmp_path):
    rows = make_trace(_WORKLOAD)
    write_trace(tmp_path / "t", rows)
    assert read_trace(tmp_path / "t") == rows


def test_every_invalid_line_of_a_trace_is_reported(tmp_path):
    path = tmp_path / "t"
    path.write_text('{"arrival_s": 1}\n[]\n')
    with pytest.raises(TraceError) as caught:
        read_trace(path)
    places = [finding.place for finding in caught.value.findings]
    assert places == [f"{path}:1", f"{path}:2"]
    assert isinstance(caught.value.findings[0], Finding)


@pytest.mark.parametrize("name", policy_names())
def test_replay_is_deterministic_and_every_request_ends(name):
    rows = make_trace(_WORKLOAD)
    first, second = (replay_locally(rows, name, _FLEET) for _ in range(2))
    assert first == second
    assert len(first) == len(rows)
    for record in first:
        assert record.outcome in ("completed", "not-run", "failed")
        assert record.total_s <= record.row.deadline_s + 0.01


def test_fair_slack_has_the_lowest_first_token_time_for_short_prompts():
    by_policy = {
        metrics["policy"]: metrics
        for metrics in compare_locally(make_trace(_WORKLOAD), policy_names(), _FLEET)
    }
    fair_slack = by_policy.pop("fair_slack")
    for other in by_policy.values():
        for length in ("under-4k",):
            fair_slack_p95 = fair_slack["by_length"][length]["first_token_s"]["p95"]
            assert fair_slack_p95 < other["by_length"][length]["first_token_s"]["p95"]
        assert fair_slack["completed"] >= other["completed"]


def test_every_request_ends_when_half_the_engines_fail():
    fleet = LocalFleet(engines=4, lost_engines=2, lost_at_s=20.0)
    records = replay_locally(make_trace(_WORKLOAD), "fair_slack", fleet)
    assert all(r.outcome for r in records)
    assert any(r.reason == "engine failed" for r in records)
