"""An engine whose process is killed refuses connections: how soon the other boxes know."""

from gladedrum.errors import TargetBrokenError
from gladedrum.placing import reports
from gladedrum.placing.tests.test_reports import ReadingFleet


class RefusingFleet(ReadingFleet):
    async def answer(self, clock, box, entry, call, timeout_s):
        if entry.name in self.dead:
            self.asked.append((clock.seconds(), box.beliefs.circle.me, entry.name))
            raise TargetBrokenError("connection refused")
        return await super().answer(clock, box, entry, call, timeout_s)


def test_an_engine_that_refuses_connections_is_suspected_by_all_after_two_reports(monkeypatch):
    fleet = RefusingFleet()
    monkeypatch.setattr(reports, "call_target", fleet.answer)
    fleet.run(7.0)
    took = []
    for name in ("t0", "t1", "t2", "t3", "t4"):
        fleet.run(0.13)
        fleet.dead.add(name)
        took.append(fleet.until_all_suspect(name, 4.0))
    assert max(took) <= 1.0
