"""The planned stop of a box: requests at work are answered, then the connections are closed."""

import logging
from collections.abc import Callable

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..connections.caller_conn import CallerFactory
from ..utils import sleep

__all__ = ["drain_callers"]

ACCEPT_ON_S = 2.6
"""How long a stopping box still takes new connections, in seconds: the balancer asks once a
second and needs two misses. It may go on sending some if it has too few other boxes, and what is
taken later might not be answered before the process is killed."""

STOP_MARGIN_S = 0.6
"""How long before the process would be killed a planned stop ends, in seconds."""

_log = logging.getLogger(__name__)


async def drain_callers(
    clock: IReactorTime, callers: CallerFactory, stop_listening: Callable[[], None], stop_s: float
) -> None:
    """Return when no caller's connection is open, or shortly before `stop_s` is over.

    A connection counts as open until its last bytes have been written: the process must not end
    before.
    """
    ends_s = clock.seconds() + stop_s - STOP_MARGIN_S
    callers.draining = True
    await sleep(clock, min(ACCEPT_ON_S, ends_s - clock.seconds()))
    stop_listening()
    callers.close_idle()
    if callers.connections:
        closed = callers.when_all_closed()
        left_s = max(0.0, ends_s - clock.seconds())
        closed.addTimeout(left_s, clock, onTimeoutCancel=_note_late)
        await closed


def _note_late(_result: object, _timeout_s: float) -> defer.Deferred[None] | None:
    _log.warning("stopping with open connections")
    return None
