"""The report shows how requests were served and the causes of lost worth."""

import json
import sys

import pytest

from gladedrum.ctl.main import _parser, _run
from gladedrum.ctl.report_tables import make_report
from gladedrum.ctl.served_requests import Verdict, served_requests
from gladedrum.ctl.timeline import parse_log_lines
from gladedrum.utils import start


def line(second, message, request_id, **fields):
    time = f"2026-05-09 14:27:{int(second):02},{round(second % 1 * 1000):03}"
    row = {"time": time, "message": message, "box": "b1", "request_id": request_id, **fields}
    return json.dumps(row)


def placed(second, request_id, target="t1", prompt_tokens=5_000, predicted_s=0.1, helpers=()):
    return line(
        second, "request placed", request_id, target=target, helper_names=list(helpers),
        prompt_tokens=prompt_tokens, predicted_s=predicted_s,
    )  # fmt: skip


def ended(second, request_id, **fields):
    fields = {
        "outcome": "completed", "reason": "", "route": "quick", "organisation": "o1",
        "data_hall": "h1", "objective_s": 0.3, "pause_limit_s": 0.25, "prompt_tokens": 5_000,
        "offered_s": 0.001, "took_s": 2.0, "first_event_s": 0.1, "longest_pause_s": 0.1,
        "pause_began_s": 0.0, **fields,
    }  # fmt: skip
    return line(second, "request ended", request_id, **fields)


def only(lines):
    (row,) = [r for r in served_requests(parse_log_lines(lines)) if r.request_id == "r1"]
    return row


def test_request_is_in_time_only_with_first_event_and_pauses_in_time():
    assert only([ended(12, "r1")]).verdict is Verdict.IN_TIME
    assert only([ended(12, "r1", first_event_s=0.4)]).verdict is Verdict.LATE
    assert only([ended(12, "r1", longest_pause_s=0.6)]).verdict is Verdict.LATE
    plain = {"first_event_s": None, "pause_limit_s": None, "objective_s": 0.2}
    assert only([ended(12, "r1", **plain, took_s=0.1)]).verdict is Verdict.IN_TIME
    assert only([ended(12, "r1", **plain, took_s=0.3)]).verdict is Verdict.LATE


@pytest.mark.parametrize(
    "fields, verdict, cause",
    [
        ({"outcome": "not-run", "reason": "the configuration is 5.3 s old", "offered_s": None},
         Verdict.REFUSED, "the configuration is N s old"),
        ({"outcome": "unknown", "reason": "the caller has left"}, Verdict.LEFT,
         "it was being served in time"),
        ({"outcome": "unknown", "reason": "the caller has left", "longest_pause_s": 0.6},
         Verdict.LEFT, "its target paused without a known reason"),
        ({"outcome": "unknown", "reason": "its time is up"}, Verdict.FAILED, "its time is up"),
        ({"first_event_s": 0.9}, Verdict.LATE, "first event later than predicted"),
        ({"first_event_s": 0.9, "offered_s": 0.4}, Verdict.LATE, "waited for a place"),
    ],
)  # fmt: skip
def test_requests_that_were_not_in_time_have_a_cause(fields, verdict, cause):
    row = only([placed(10, "r1"), ended(12, "r1", **fields)])
    assert (row.verdict, row.cause) == (verdict, cause)


def test_long_prompt_placed_beside_a_stream_is_the_cause_of_its_pause():
    paused = ended(12, "r1", longest_pause_s=1.2, pause_began_s=0.5)
    long = placed(10.6, "r2", target="t9", prompt_tokens=180_000, helpers=["t1"])
    assert "a long prompt" in only([placed(10, "r1"), long, paused]).cause
    elsewhere = placed(10.6, "r2", target="t9", prompt_tokens=180_000)
    assert "without a known reason" in only([placed(10, "r1"), elsewhere, paused]).cause
    later = placed(11.9, "r2", target="t1", prompt_tokens=180_000)
    assert "without a known reason" in only([placed(10, "r1"), later, paused]).cause


LINES = [
    placed(10, "r1"), ended(12, "r1"),
    placed(11, "r2", predicted_s=0.8), ended(13, "r2", first_event_s=0.7),
    ended(25, "r3", outcome="not-run", reason="no target has room", offered_s=None, took_s=0.5,
          prompt_tokens=90_000, route="long", data_hall="h2"),
]  # fmt: skip


def test_groups_add_up_and_causes_are_sorted_by_worth_lost():
    report = make_report(served_requests(parse_log_lines(LINES)), window_s=10.0)
    assert report.total["requests"] == 3
    assert sum(row["requests"] for row in report.windows) == 3
    assert [row["requests"] for row in report.windows] == [2, 1]
    by_kind = {row["name"]: row for row in report.kinds}
    assert by_kind["quick"]["in_time_share"] == 0.5
    assert by_kind["long"]["held_s"] == 0.5
    assert [row["example"] for row in report.causes] == ["r3", "r2"]
    causes = sum(row["worth_lost"] for row in report.causes)
    assert report.total["worth_lost"] == pytest.approx(causes)


def test_kinds_are_described_and_unanswered_queries_counted_by_decider():
    placements = [
        line(10, "request placed", "r1", target="t1", helper_names=[], decided_by="b7.1"),
        line(10, "request placed", "r2", target="t1", helper_names=[], decided_by="b7.1"),
        line(10, "request placed", "r3", target="t1", helper_names=[], decided_by=""),
        line(11, "no placement from peer", "", peer="b9.1", waited_s=0.04),
    ]
    rows = list(parse_log_lines([*LINES, *placements]))
    report = make_report(served_requests(rows), 10.0, rows)
    assert {row["name"]: row["about"] for row in report.kinds}["quick"] == "stream, 0.3 s"
    (first, *_rest) = report.deciders
    assert first["name"] == ""
    by_name = {row["name"]: row for row in report.deciders}
    assert (by_name["b7.1"]["placements"], by_name["b7.1"]["share"]) == (2, 0.4)
    assert by_name["b9.1"]["unanswered"] == 1


def test_reasons_that_differ_only_in_names_of_targets_are_counted_together():
    rows = [
        ended(12, f"r{i}", outcome="not-run", reason=f"no memory at {names}", offered_s=None)
        for i, names in enumerate(["i-40b55510cb", "i-a56e09b57f, i-1", "i-7, i-8, i-9"])
    ]
    report = make_report(served_requests(parse_log_lines(rows)), 10.0)
    assert [(row["cause"], row["requests"]) for row in report.causes] == [("no memory at N", 3)]


def run(*argv):
    codes = []
    start(_run(_parser().parse_args(argv), None)).addCallback(codes.append)
    return codes[0]


def test_command_prints_tables_or_json_and_draws_a_plot(tmp_path, capsys):
    log, plot = tmp_path / "box.log", tmp_path / "report.png"
    log.write_text("\n".join(LINES))
    assert run("report", "--logs", str(log), "--plot", str(plot)) == 0
    assert "no target has room" in capsys.readouterr().out
    assert plot.stat().st_size > 10_000
    assert run("--json", "report", "--logs", str(log)) == 0
    assert json.loads(capsys.readouterr().out)["total"]["refused"] == 1


def test_without_matplotlib_the_report_is_printed_and_the_extra_named(
    tmp_path, capsys, monkeypatch
):
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    log = tmp_path / "box.log"
    log.write_text("\n".join(LINES))
    assert run("report", "--logs", str(log), "--plot", str(tmp_path / "report.png")) == 2
    printed = capsys.readouterr()
    assert "no target has room" in printed.out
    assert "extra 'plots'" in printed.err


def test_invalid_files_and_windows_are_usage_errors(tmp_path, capsys):
    assert run("report", "--logs", str(tmp_path / "none")) == 2
    assert run("report", "--logs", "/dev/null", "--window", "0") == 2
    assert run("report", "--logs", "/dev/null") == 1
