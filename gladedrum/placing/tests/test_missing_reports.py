"""Only consecutive missing reports make an engine unresponsive; an old miss does not count."""

from twisted.internet.task import Clock

from gladedrum.errors import TargetBrokenError
from gladedrum.fleet import TargetEntry
from gladedrum.gossip.wire.ttypes import Gossip, ReportNote
from gladedrum.placing import reports
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.reports import INTERVAL_S, SECOND_READER_AGE_S, ReportReader
from gladedrum.utils import start

ENGINE = TargetEntry("t0", "s", "10.0.0.1", 1, "h", 6, False)


async def unanswered(*_args):
    raise TargetBrokenError("no answer")


def test_a_miss_before_a_peers_report_does_not_count(monkeypatch):
    monkeypatch.setattr(reports, "call_target", unanswered)
    clock, view = Clock(), FleetView()
    second = reports.responsible_boxes(ENGINE.name, ["a", "b"])[1]
    notes = []
    reader = ReportReader(
        clock, None, view, lambda: [ENGINE], second, lambda: ["a", "b"], notes.append
    )
    start(reader.run())
    for _ in range(10):
        note = ReportNote(ENGINE.name, True, 0, 0, 1.0, 0)
        view.receive(Gossip(reports=[note]), {ENGINE.name}, clock.seconds())
        clock.advance(INTERVAL_S)
    for _ in range(round(SECOND_READER_AGE_S / INTERVAL_S)):
        clock.advance(INTERVAL_S)
    assert not notes
    clock.advance(INTERVAL_S)
    assert [note.answered for note in notes] == [False]
