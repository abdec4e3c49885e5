"""Supervision: a task that fails is started again, after a pause that grows."""

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from . import backoff_s, sleep, start

__all__ = ["Child", "Supervisor"]

_FIRST_PAUSE_S, _LONGEST_PAUSE_S = 0.1, 10.0
_STEADY_S = 30.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Child:
    """A task under supervision.

    Parameters
    ----------
    name : str
        Its name in logs and metrics.
    run : callable
        Runs it until it is cancelled; it may take and own sockets and state, and gives them
        back when it ends. If it raises, or returns, it is run again.
    """

    name: str
    run: Callable[[], Awaitable[None]]


class Supervisor:
    """Runs children, and is itself a child of whoever made it.

    Parameters
    ----------
    name : str
        Its name in logs.
    clock : IReactorTime
        Where the pauses are waited for.
    children : list of Child
        Started in this order, stopped in the reverse one.
    on_restart : callable
        Called with the name of a child that is started again.
    rng : random.Random, optional
        Spreads the pauses.
    """

    def __init__(
        self,
        name: str,
        clock: IReactorTime,
        children: list[Child],
        on_restart: Callable[[str], None],
        rng: random.Random | None = None,
    ):
        self.name = name
        self._clock = clock
        self._children = children
        self._on_restart = on_restart
        self._rng = rng or random.Random()

    async def run(self) -> None:
        """Run all children until cancelled; then stop the last one first."""
        tasks = [start(self._keep(child)) for child in self._children]
        try:
            # The tasks never end by themselves.
            await defer.Deferred()
        finally:
            for task in reversed(tasks):
                task.addErrback(lambda _failure: None)
                task.cancel()

    async def _keep(self, child: Child) -> None:
        failures = 0
        while True:
            started_s = self._clock.seconds()
            try:
                await child.run()
                _log.error("child ended", extra={"child": child.name})
            except defer.CancelledError:
                raise
            except Exception:
                _log.exception("child failed", extra={"child": child.name})
            steady = self._clock.seconds() - started_s > _STEADY_S
            failures = 1 if steady else failures + 1
            pause_s = backoff_s(failures, _FIRST_PAUSE_S, _LONGEST_PAUSE_S, self._rng)
            await sleep(self._clock, pause_s)
            self._on_restart(child.name)
