"""The timeline of a request is built from the logs of several boxes."""

import json

from gladedrum.ctl.main import _parser, _run
from gladedrum.ctl.timeline import build_timeline, parse_log_lines
from gladedrum.utils import start


def line(second, message, box="b1", **fields):
    row = {"time": f"2026-05-09 14:27:{second:02},000", "box": box, "message": message, **fields}
    return json.dumps(row)


LINES = [
    line(9, "request ended", request_id="r1", outcome="unknown", status=502, reason="connection "
         "lost", offers=2, took_s=3.0, first_event_s=0.2),
    line(6, "request placed", request_id="r1", target="t1", helper_names=["t2"]),
    line(7, "try failed", request_id="r1", target="t1", end="Lost"),
    line(8, "request placed", request_id="r1", target="t3", helper_names=[]),
    line(7, "target reports", box="b2", target="t2", answers=False),
    line(7, "target reports", box="b2", target="t9", answers=False),
    line(1, "target gone", box="b2", target="t1"),
    line(8, "request placed", request_id="r2", target="t1"),
    line(8, "configuration not read", age_s=3.0),
    line(8, "configuration not read", box="b2", age_s=3.0),
]  # fmt: skip


def run(*argv):
    """Run the command without a reactor: a process can run a reactor only once."""
    codes = []
    start(_run(_parser().parse_args(argv), None)).addCallback(codes.append)
    return codes[0]


def test_timeline_holds_lines_of_the_request_and_of_its_targets_and_box():
    timeline = build_timeline("r1", parse_log_lines(LINES))
    shown = [(row.time[-6:-4], row.box, row.message) for row in timeline.rows]
    assert shown == [
        ("06", "b1", "request placed"),
        ("07", "b1", "try failed"),
        ("07", "b2", "target reports"),
        ("08", "b1", "request placed"),
        ("08", "b1", "configuration not read"),
        ("09", "b1", "request ended"),
    ]
    assert timeline.summary.startswith(
        "unknown with status 502: connection lost, after 3.0 s and 2"
    )
    assert timeline.missing == []


# Guards against a request whose cause stands in the log of the box that carried it.
def test_timeline_holds_the_lines_of_the_carrier():
    lines = [
        line(5, "own link impaired", service="s", data_hall=""),
        line(5, "own link impaired", box="b3", service="s", data_hall=""),
        line(6, "request placed", request_id="r1", target="t1"),
        line(6, "tunnel opened for a peer", box="b2", request_id="r1", target="t1", tunnel=7),
        line(7, "draining", box="b2"),
        line(8, "request ended", request_id="r1", outcome="completed", status=200, offers=1,
             took_s=2.0, carrier="b2.0f0f", tunnel="7"),
    ]  # fmt: skip
    timeline = build_timeline("r1", parse_log_lines(lines))
    shown = [(row.box, row.message) for row in timeline.rows]
    assert ("b2", "tunnel opened for a peer") in shown
    assert ("b2", "draining") in shown
    assert ("b1", "own link impaired") in shown
    assert ("b3", "own link impaired") not in shown
    assert "the last through b2" in timeline.summary


def test_missing_lines_are_reported():
    assert build_timeline("r9", parse_log_lines(LINES)).missing
    incomplete = [text for text in LINES if "try failed" not in text and '"t3"' not in text]
    assert build_timeline("r1", parse_log_lines(incomplete)).missing == [
        "1 of 2 lines of its tries"
    ]
    assert "killed" in build_timeline("r1", parse_log_lines(LINES[1:])).missing[0]


def test_lines_without_json_are_skipped_and_prefixes_ignored():
    rows = parse_log_lines(["", "{", "[1]", "traceback", "  12.5 b1 " + LINES[0], '{"x": 1}'])
    assert [row.message for row in rows] == ["request ended"]


def test_command_reads_files(tmp_path, capsys):
    path = tmp_path / "b1.log"
    path.write_text("\n".join(LINES))
    assert run("explain", "r1", "--logs", str(path)) == 0
    assert "The request: unknown" in capsys.readouterr().out
    assert run("explain", "r9", "--logs", str(path), "--json") == 1
    assert json.loads(capsys.readouterr().out)["missing"]
    assert run("explain", "r1", "--logs", str(tmp_path / "none")) == 2
