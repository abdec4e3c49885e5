"""An engine whose process is killed refuses connections, and all boxes suspect it quickly.

Guards against notes that do not distinguish a refused connection from a broken link: peers would
not suspect the engine before its last report is old.
"""

import pytest

from gladedrum.connections.calls import call_target
from gladedrum.errors import TargetNotListeningError
from gladedrum.forward.tests.support import World
from gladedrum.placing import reports
from gladedrum.placing.tests.test_reports import ReadingFleet
from gladedrum.platform.orders import report_call
from gladedrum.utils import start


class RefusingFleet(ReadingFleet):
    """A fleet whose engines refuse connections.

    Engines in `dead` refuse all boxes; each pair of a box and an engine in `refused` is refused.
    """

    def __init__(self):
        self.refused: set[tuple[str, str]] = set()
        super().__init__()

    async def answer(self, clock, box, entry, call, timeout_s):
        if entry.name in self.dead or (box.beliefs.coordinators.me, entry.name) in self.refused:
            self.asked.append((clock.seconds(), box.beliefs.coordinators.me, entry.name))
            raise TargetNotListeningError("connection refused")
        return await super().answer(clock, box, entry, call, timeout_s)


def test_an_engine_that_refuses_connections_is_suspected_by_all_boxes_soon(monkeypatch):
    fleet = RefusingFleet()
    monkeypatch.setattr(reports, "call_target", fleet.answer)
    fleet.run(7.0)
    took = []
    for name in ("t0", "t1", "t2", "t3", "t4"):
        fleet.run(0.13)
        fleet.dead.add(name)
        took.append(fleet.until_all_suspect(name, 4.0))
    assert max(took) <= 1.0


def test_an_engine_that_refuses_only_its_reader_is_suspected_by_no_other_box(monkeypatch):
    fleet = RefusingFleet()
    monkeypatch.setattr(reports, "call_target", fleet.answer)
    fleet.run(7.0)
    reader = fleet.reader_of("t0")
    fleet.refused.add((reader.beliefs.coordinators.me, "t0"))
    others = [box for box in fleet.boxes.values() if box is not reader]
    for _ in range(200):
        fleet.run(0.02)
        assert not any("t0" in box.suspects() for box in others)


def test_a_refused_connection_raises_its_own_error():
    world = World(targets=1)
    world.net.refusing = {9001}
    ended = []
    entry = world.targets.entries["t1"]
    asking = start(call_target(world.net, world.ctx.pool, entry, report_call(), 0.7))
    asking.addErrback(ended.append)
    world.run()
    with pytest.raises(TargetNotListeningError):
        ended[0].raiseException()
