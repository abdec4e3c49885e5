"""Supervision of tasks: a task that fails is restarted after an exponential backoff."""

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from . import retry_delay_s, sleep, start

__all__ = ["Child", "Supervisor"]

_FIRST_BACKOFF_S, _MAX_BACKOFF_S = 0.1, 10.0
_STABLE_S = 30.0
"""A child that ran longer than this restarts with the first backoff when it fails."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Child:
    """A supervised task.

    Parameters
    ----------
    name : str
        Its name in logs and metrics.
    run : callable
        Runs the task until it is cancelled. It may own sockets and state, which it releases when
        it ends. If it raises or returns, it is run again.
    """

    name: str
    run: Callable[[], Awaitable[None]]


class Supervisor:
    """Runs children and restarts those that fail; can be a child of another supervisor.

    Parameters
    ----------
    name : str
        Its name in logs.
    clock : IReactorTime
        Clock of the backoff.
    children : list of Child
        Started in this order and stopped in reverse order.
    on_restart : callable
        Called with the name of each child that is restarted.
    rng : random.Random, optional
        Source of the jitter of the backoff.
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
        """Run all children until cancelled, then stop them in reverse order."""
        tasks = [start(self._run_child(child)) for child in self._children]
        try:
            # The tasks never end by themselves.
            await defer.Deferred()
        finally:
            for task in reversed(tasks):
                task.addErrback(lambda _failure: None)
                task.cancel()

    async def _run_child(self, child: Child) -> None:
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
            stable = self._clock.seconds() - started_s > _STABLE_S
            failures = 1 if stable else failures + 1
            delay_s = retry_delay_s(failures, _FIRST_BACKOFF_S, _MAX_BACKOFF_S, self._rng)
            await sleep(self._clock, delay_s)
            self._on_restart(child.name)
