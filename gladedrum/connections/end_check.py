"""Whether a target lives on after an answer that ended with its connection.

The kernel of a process that dies closes its connections in order, as a target does that has sent
all of such an answer. A target that has died accepts no connection any more.
"""

from collections.abc import Iterable

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure

from ..fleet import TargetEntry
from ..utils import MAX_TIMER_LAG_S
from .messages import TargetLife
from .target_conn import TargetConnection
from .target_pool import ConnectFailedError, TargetPool

__all__ = ["check_targets"]

CHECK_S = 1.0
"""How long a check goes on that finds out nothing, in seconds."""

CONNECT_INTERVAL_S = 0.25
"""Time until a further connection is tried beside those that are not open, in seconds. A target
accepts within milliseconds; a lost packet is repeated only after a second."""

SETTLE_S = 0.02
"""How long a new connection has to stay open, in seconds. A process that ends closes its port and
its connections in any order, within a few milliseconds."""


def check_targets(pool: TargetPool, entries: Iterable[TargetEntry]) -> defer.Deferred[TargetLife]:
    """Find out whether targets still accept connections.

    A connection that shows it is kept for the next request, in place of the one that has closed.

    Parameters
    ----------
    pool : TargetPool
        Opens and keeps connections.
    entries : iterable of TargetEntry
        The targets that the answer needed until its end.

    Returns
    -------
    Deferred
        Fires with a `TargetLife`: `LIVES` if all do, else what was found out about the first that
        does not. `UNKNOWN` after `CHECK_S` seconds in which connections were neither refused nor
        stayed open, such as those through a relay that has lost the target.
    """
    checking = defer.gatherResults([_Check(pool, entry).begin() for entry in entries])
    return checking.addCallback(
        lambda found: next((life for life in found if life is not TargetLife.LIVES), found[0])
    )


class _Check:
    """One check of a target."""

    def __init__(self, pool: TargetPool, entry: TargetEntry):
        self._pool = pool
        self._entry = entry
        self._result: defer.Deferred[TargetLife] = defer.Deferred()
        self._timeout: IDelayedCall | None = None
        self._next_try: IDelayedCall | None = None

    def begin(self) -> defer.Deferred[TargetLife]:
        self._set_timeout(CHECK_S)
        self._connect()
        return self._result

    def _set_timeout(self, after_s: float) -> None:
        clock = self._pool.clock
        self._timeout = clock.callLater(after_s, self._time_out, clock.seconds() + after_s)

    def _time_out(self, due_s: float) -> None:
        if self._pool.clock.seconds() - due_s > MAX_TIMER_LAG_S:
            # This process may have been suspended; connections that have opened are handled first.
            self._set_timeout(MAX_TIMER_LAG_S)
        else:
            self._end(TargetLife.UNKNOWN)

    def _connect(self) -> None:
        self._next_try = self._pool.clock.callLater(CONNECT_INTERVAL_S, self._connect)
        self._pool.opened += 1
        opening = self._pool.paths.open(self._entry, "", self._pool.make_connection)
        opening.addCallbacks(self._opened, self._failed)

    def _opened(self, conn: TargetConnection) -> None:
        self._pool.clock.callLater(SETTLE_S, self._settled, conn)

    def _settled(self, conn: TargetConnection) -> None:
        if conn.is_open:
            self._pool.keep(conn.address, conn)
            self._end(TargetLife.LIVES)

    def _failed(self, failure: Failure) -> None:
        failure.trap(ConnectFailedError)
        if failure.value.refused:
            self._end(TargetLife.GONE)

    def _end(self, life: TargetLife) -> None:
        if self._result.called:
            return
        for timer in (self._timeout, self._next_try):
            if timer.active():
                timer.cancel()
        self._result.callback(life)
