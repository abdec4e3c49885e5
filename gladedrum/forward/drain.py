"""The planned stop of a box: finish the requests in flight, then close the connections."""

import logging
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from ..connections.caller_conn import CallerFactory
from ..utils import sleep
from .box_paths import BoxPaths

__all__ = ["drain_callers", "drain_tunnels"]

KEEP_ACCEPTING_S = 2.6
"""How long a stopping box still accepts connections, in seconds: the balancer polls once a second
and removes a box after two failures. It may keep using this box if few others are left, but
requests accepted later might not finish before the process is killed."""

LATE_AFTER_S = 3.0
"""Time from which a request that comes whole is refused if it may outlast the process, in seconds.
Its sending was under way when idle connections were closed. Callers that sent theirs earlier accept
that the end of the process cuts long answers."""

LAST_ANSWERS_S = 0.2
"""Time before the end of a planned stop at which requests without an answer get one from the box,
in seconds: their callers learn that they may have run, in place of a closed connection."""

STOP_MARGIN_S = 0.6
"""Time between the end of a planned stop and the latest time at which the process is killed, in
seconds."""

_log = logging.getLogger(__name__)


async def drain_callers(
    clock: IReactorTime,
    callers: CallerFactory,
    stop_listening: Callable[[], None],
    stop_s: float,
    end_requests: Callable[[], None] = lambda: None,
) -> None:
    """Wait until all connections of callers are closed, or until shortly before `stop_s` is over.

    A connection counts as open until its last bytes are written.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    callers : CallerFactory
        The connections of callers.
    stop_listening : callable
        Stops accepting connections.
    stop_s : float
        Time from now until the process is killed, in seconds.
    end_requests : callable
        Called shortly before the end to answer requests that no target has answered yet.
    """
    deadline_s = clock.seconds() + stop_s - STOP_MARGIN_S
    callers.late_from_s, callers.ends_s = clock.seconds() + LATE_AFTER_S, deadline_s
    callers.draining = True
    await sleep(clock, min(KEEP_ACCEPTING_S, deadline_s - clock.seconds()))
    stop_listening()
    callers.close_idle()
    await _wait_until_closed(clock, callers, deadline_s - LAST_ANSWERS_S)
    end_requests()
    if not await _wait_until_closed(clock, callers, deadline_s):
        _log.warning("stopping with open connections")
    callers.abort_unsent()


async def _wait_until_closed(clock: IReactorTime, callers: CallerFactory, end_s: float) -> bool:
    """Wait for the callers' connections to close; return False if some are open at `end_s`."""
    if callers.connections:
        closed = callers.when_all_closed()
        left_s = max(0.0, end_s - clock.seconds())
        closed.addTimeout(left_s, clock, onTimeoutCancel=lambda _result, _timeout_s: None)
        await closed
    return not callers.connections


async def drain_tunnels(clock: IReactorTime, paths: BoxPaths, killed_s: float) -> None:
    """Wait until no connection is carried for other boxes, or until shortly before `killed_s`."""
    left_s = killed_s - STOP_MARGIN_S - clock.seconds()
    if left_s > 0:
        drained = paths.when_drained()
        drained.addTimeout(left_s, clock, onTimeoutCancel=_log_open_tunnels)
        await drained
    paths.abort_tunnels()


def _log_open_tunnels(_result: object, _timeout_s: float) -> None:
    _log.warning("stopping with open tunnels")
