"""An engine that restarts under its own name: the state of its earlier start is discarded.

Guards against placement by the work, memory and pace of a process that is gone, which wastes
reservations, refuses requests and delays streams.
"""

import pytest

from gladedrum.fleet import TargetReport
from gladedrum.gossip.wire.ttypes import Gossip, ReportNote
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.work_plan import WorkPlan

OLD, NEW = 1_000_000, 1_004_000


def report(born, pace=1.0, used=0):
    return TargetReport(0, 0, used, 232_000, pace, (), born)


@pytest.fixture
def view():
    """A view in which the old start of an engine has work, a pace and one failed request."""
    view = FleetView()
    view.restarted = []
    view.on_restart = view.restarted.append
    view.note_report("e1", report(OLD, pace=3.0, used=90_000), 10.0)
    view.note_placed(WorkPlan("w1", ("e1",), 50_000, 100, reserved=True), 10.0)
    view.note_outcome("e1", failed=True, now_s=10.5)
    return view


def is_reset(view):
    state = view.state("e1")
    rows = state.ledger.rows
    return not rows and not state.distrust_at(13.0) and not state.unknown_tokens()


def test_a_report_of_a_later_start_discards_the_state_of_the_earlier_one(view):
    view.note_report("e1", report(NEW), 13.0)
    assert is_reset(view)
    assert view.state("e1").report.pace == 1.0
    assert view.restarted == ["e1"]


def test_an_entry_of_a_later_start_discards_the_state_of_the_earlier_one(view):
    view.note_start("e1", NEW, 13.0)
    assert is_reset(view)
    assert view.state("e1").report is None
    assert view.restarted == ["e1"]


def test_a_peers_note_of_a_later_start_discards_the_state_of_the_earlier_one(view):
    note = ReportNote("e1", True, 0, 0, 1.0, 0, False, NEW)
    view.receive(Gossip("peer", [], [note]), ["e1"], 13.0)
    assert is_reset(view)
    assert view.restarted == ["e1"]


def test_work_placed_right_before_the_restart_is_known_is_kept(view):
    view.note_placed(WorkPlan("w2", ("e1",), 5_000, 100), 12.9)
    view.note_report("e1", report(NEW), 13.0)
    assert set(view.state("e1").ledger.rows) == {"w2"}


def test_a_late_report_of_the_earlier_start_is_ignored(view):
    view.note_report("e1", report(NEW), 13.0)
    view.note_report("e1", report(OLD, pace=3.0, used=90_000), 13.1)
    note = ReportNote("e1", True, 3, 3, 3.0, 90_000, False, OLD)
    view.receive(Gossip("peer", [], [note]), ["e1"], 13.1)
    view.note_start("e1", OLD, 13.2)
    assert is_reset(view)
    assert view.state("e1").report.pace == 1.0
    assert view.state("e1").born == NEW
    assert view.restarted == ["e1"]


def test_a_late_note_that_the_earlier_start_was_silent_is_ignored(view):
    view.note_report("e1", report(NEW), 13.0)
    view.receive(Gossip("peer", [], [ReportNote("e1", False, born=OLD)]), ["e1"], 15.0)
    assert not view.state("e1").is_unresponsive


def test_a_report_without_a_start_keeps_the_state(view):
    view.note_report("e1", report(0, pace=2.0), 13.0)
    view.note_start("e1", 0, 13.0)
    assert "w1" in view.state("e1").ledger.rows
    assert view.state("e1").report.pace == 2.0
    assert view.restarted == []


def test_a_first_report_with_the_start_of_the_entry_is_no_restart():
    view = FleetView()
    view.on_restart = lambda _target: pytest.fail("it has started once")
    view.note_report("e1", report(0), 10.0)
    view.note_placed(WorkPlan("w1", ("e1",), 50_000, 100), 10.0)
    view.note_start("e1", OLD, 11.0)
    view.note_report("e1", report(OLD), 11.1)
    assert "w1" in view.state("e1").ledger.rows
