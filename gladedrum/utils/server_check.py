"""Whether a server lives on after an answer that ended with its connection.

The kernel of a process that dies closes its connections in order, as a server does that has sent
all of such an answer. A server that has died accepts no connection any more.
"""

from typing import Generic, TypeVar
from typing import Protocol as Interface

from twisted.internet import defer, error
from twisted.internet.interfaces import IDelayedCall, IReactorTime, IStreamClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from .timing import MAX_TIMER_LAG_S

__all__ = ["CHECK_S", "SETTLE_S", "LifeCheck", "Watched", "check_server"]

CHECK_S = 1.0
"""How long a check goes on that finds out nothing, in seconds."""

CONNECT_INTERVAL_S = 0.25
"""Time until a further connection is tried beside those that are not open, in seconds. A server
accepts within milliseconds; a lost packet is repeated only after a second."""

SETTLE_S = 0.05
"""How long a new connection has to stay open, in seconds. A process that is killed closes its port
and its connections in any order, within a few milliseconds; one that ends by itself takes longer.
Sound answers wait as long."""


class Watched(Interface):
    """A connection that is watched for its end."""

    is_open: bool


Conn = TypeVar("Conn", bound=Watched)


class LifeCheck(Generic[Conn]):
    """One check of a server: opens connections until one shows whether the server lives.

    Parameters
    ----------
    clock : IReactorTime
        Timers.
    """

    def __init__(self, clock: IReactorTime):
        self._clock = clock
        self._result: defer.Deferred[bool | None] = defer.Deferred(lambda _result: self._stop())
        self._timers: list[IDelayedCall] = []
        self._watched: list[Conn] = []

    def begin(self, within_s: float) -> defer.Deferred[bool | None]:
        """Begin the check.

        Returns
        -------
        Deferred
            Fires with whether the server lives, or with None if that is not found out within
            `within_s` seconds; cancelling it ends the check.
        """
        self._call_later(within_s, self._time_over)
        self._try()
        return self._result

    def _call_later(self, after_s: float, do) -> None:
        due_s = self._clock.seconds() + after_s

        def run() -> None:
            if self._clock.seconds() - due_s > MAX_TIMER_LAG_S:
                # This process may have been suspended; what has arrived is handled first.
                self._call_later(MAX_TIMER_LAG_S, do)
            else:
                do()

        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._clock.callLater(after_s, run))

    def _try(self) -> None:
        self._call_later(CONNECT_INTERVAL_S, self._try)
        self._connect()

    def _connect(self) -> None:
        self._open().addCallbacks(self._opened, self._failed)

    def _opened(self, conn: Conn) -> None:
        if self._result.called:
            self._release(conn)
        else:
            self._watched.append(conn)
            self._call_later(SETTLE_S, lambda: self._settled(conn))

    def _settled(self, conn: Conn) -> None:
        """Handle that a connection has been watched for `SETTLE_S`."""
        if conn.is_open:
            self._end(True)

    def _failed(self, failure: Failure) -> None:
        if self._is_refused(failure):
            self._end(False)

    def _time_over(self) -> None:
        self._end(None)

    def _end(self, lives: bool | None) -> None:
        if not self._result.called:
            self._stop()
            self._result.callback(lives)

    def _stop(self) -> None:
        """Stop the timers and release the connections."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        for conn in self._watched:
            if conn.is_open:
                self._release(conn)

    # Implemented by subclasses.

    def _open(self) -> defer.Deferred[Conn]:
        """Open a connection."""
        raise NotImplementedError

    def _is_refused(self, failure: Failure) -> bool:
        """Whether the server's address has refused a connection."""
        raise NotImplementedError

    def _release(self, conn: Conn) -> None:
        """Release an open connection after the end of the check."""
        raise NotImplementedError


def check_server(
    clock: IReactorTime, endpoint: IStreamClientEndpoint, within_s: float = CHECK_S
) -> defer.Deferred[bool]:
    """Find out whether a server accepts a connection and keeps it open.

    Parameters
    ----------
    clock : IReactorTime
        Timers.
    endpoint : IStreamClientEndpoint
        Connects to the server.
    within_s : float
        The longest time that the check may take, in seconds; at most `CHECK_S`.

    Returns
    -------
    Deferred
        Fires with True once a connection has stayed open for `SETTLE_S`, and with False if one is
        refused or the time is over.
    """
    return _ServerCheck(clock, endpoint).begin(max(0.0, min(within_s, CHECK_S))).addCallback(bool)


class _Probe(Protocol):
    """A connection that is only held open."""

    is_open = True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_open = False


class _ServerCheck(LifeCheck[_Probe]):
    """A check over connections of its own."""

    def __init__(self, clock: IReactorTime, endpoint: IStreamClientEndpoint):
        super().__init__(clock)
        self._endpoint = endpoint
        self._openings: list[defer.Deferred[_Probe]] = []

    def _open(self) -> defer.Deferred[_Probe]:
        opening = self._endpoint.connect(Factory.forProtocol(_Probe))
        self._openings.append(opening)
        return opening

    def _is_refused(self, failure: Failure) -> bool:
        return bool(failure.check(error.ConnectionRefusedError))

    def _release(self, probe: _Probe) -> None:
        probe.transport.loseConnection()

    def _stop(self) -> None:
        super()._stop()
        for opening in self._openings:
            opening.cancel()
