"""An owner cancels an unreserved session only if the session's box no longer waits for it."""

import pytest
from twisted.internet.task import Clock

from gladedrum.config import parse_settings
from gladedrum.platform import Target
from gladedrum.targets import EngineSession
from gladedrum.targets.owner import DecisionClock, TargetOwner
from gladedrum.utils import start


class _Engine:
    """An engine with one session for which the owner has no reservation."""

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
def test_an_unreserved_session_is_cancelled_only_if_nobody_waits_for_it(awaited, cancelled):
    """Such sessions exist after a change of owner or a gap in the directory's list."""
    clock, engine = Clock(), _Engine()

    async def ask_live_sessions(_box, _ids):
        return awaited

    target = Target("e", "engine", "http://127.0.0.1:1", memory_tokens=10_000)
    cfg = parse_settings("")
    owner = TargetOwner(target, engine, cfg, DecisionClock(clock, 0.0), ask_live_sessions)
    for _ in range(20):
        start(owner.poll())
        clock.advance(1.0)
    assert bool(engine.cancelled) is cancelled
