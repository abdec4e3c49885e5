"""A session without a reservation is cancelled only on its own box's word."""

import pytest
from twisted.internet.task import Clock

from gladedrum.config import parse_settings
from gladedrum.platform import Target
from gladedrum.targets import EngineSession
from gladedrum.targets.owner import DecisionClock, TargetOwner
from gladedrum.utils import start


class _Engine:
    """An engine with one session that this owner has not granted."""

    def __init__(self):
        self.cancelled = []

    async def sessions(self):
        return [EngineSession("s", "other", 100, True)]

    async def cancel(self, session_id):
        self.cancelled.append(session_id)


@pytest.mark.parametrize(
    ("awaited", "cancelled"), [(["s"], False), (None, False), ([], True)],
    ids=["awaited", "no answer", "not awaited"],
)  # fmt: skip
def test_a_session_that_the_last_owner_granted_is_left_to_its_box(awaited, cancelled):
    """As after a change of owners, or when the target had left the list for a moment."""
    clock, engine = Clock(), _Engine()

    async def live_sessions(_box, _ids):
        return awaited

    target = Target("e", "engine", "http://127.0.0.1:1", memory_tokens=10_000)
    cfg = parse_settings("")
    owner = TargetOwner(target, engine, cfg, DecisionClock(clock, 0.0), live_sessions)
    for _ in range(20):
        start(owner.poll())
        clock.advance(1.0)
    assert bool(engine.cancelled) is cancelled
