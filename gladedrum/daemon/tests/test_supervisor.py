"""The supervisor restarts a failed child after a backoff; cancelling it stops all children."""

import random

from twisted.internet import defer, task

from gladedrum.utils import start
from gladedrum.utils.supervisor import Child, Supervisor


class _Flaky:
    def __init__(self, failures):
        self.starts, self.stops, self._failures = 0, 0, failures

    async def run(self):
        self.starts += 1
        if self.starts <= self._failures:
            raise RuntimeError("injected failure")
        try:
            await defer.Deferred()
        finally:
            self.stops += 1


def test_failed_child_is_restarted_and_the_others_continue():
    clock, restarts = task.Clock(), []
    flaky, steady = _Flaky(3), _Flaky(0)
    children = [Child("flaky", flaky.run), Child("steady", steady.run)]
    tree = Supervisor("tree", clock, children, restarts.append, random.Random(1))
    running = start(tree.run())
    for _ in range(100):
        clock.advance(0.1)
    assert flaky.starts == 4
    assert steady.starts == 1
    assert restarts == ["flaky"] * 3
    running.addErrback(lambda failure: failure.trap(defer.CancelledError))
    running.cancel()
    assert (flaky.stops, steady.stops) == (1, 1)
    assert not clock.getDelayedCalls()
