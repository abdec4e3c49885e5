"""Whether a server lives on after an answer that ended with its connection.

The kernel of a process that dies closes its connections in order, as a server does that has sent
all of such an answer. A server that has died accepts no connection any more.
"""

from twisted.internet import defer, error
from twisted.internet.interfaces import IDelayedCall, IReactorTime, IStreamClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from .timing import MAX_TIMER_LAG_S

__all__ = ["CHECK_S", "check_server"]

CHECK_S = 1.0
"""How long a check goes on that finds out nothing, in seconds."""

CONNECT_INTERVAL_S = 0.25
"""Time until a further connection is tried beside those that are not open, in seconds. A server
accepts within milliseconds; a lost packet is repeated only after a second."""

SETTLE_S = 0.02
"""How long a new connection has to stay open, in seconds. A process that ends closes its port and
its connections in any order, within a few milliseconds."""


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
    return _Check(clock, endpoint).begin(max(0.0, min(within_s, CHECK_S)))


class _Probe(Protocol):
    """A connection that is only held open."""

    is_open = True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_open = False


class _Check:
    """One check of a server."""

    def __init__(self, clock: IReactorTime, endpoint: IStreamClientEndpoint):
        self._clock = clock
        self._endpoint = endpoint
        self._result: defer.Deferred[bool] = defer.Deferred(lambda _result: self._stop())
        self._timers: dict[str, IDelayedCall] = {}
        self._openings: list[defer.Deferred] = []
        self._probes: list[_Probe] = []

    def begin(self, within_s: float) -> defer.Deferred[bool]:
        self._call_later("timeout", within_s, lambda: self._end(False))
        self._connect()
        return self._result

    def _call_later(self, name: str, after_s: float, do) -> None:
        due_s = self._clock.seconds() + after_s

        def run() -> None:
            if self._clock.seconds() - due_s > MAX_TIMER_LAG_S:
                # This process may have been suspended; what has arrived is handled first.
                self._call_later(name, MAX_TIMER_LAG_S, do)
            else:
                do()

        self._timers[name] = self._clock.callLater(after_s, run)

    def _connect(self) -> None:
        self._call_later("next", CONNECT_INTERVAL_S, self._connect)
        opening = self._endpoint.connect(Factory.forProtocol(_Probe))
        self._openings.append(opening)
        opening.addCallbacks(self._opened, self._failed)

    def _opened(self, probe: _Probe) -> None:
        self._probes.append(probe)
        self._call_later(f"settled {len(self._probes)}", SETTLE_S, lambda: self._settled(probe))

    def _settled(self, probe: _Probe) -> None:
        if probe.is_open:
            self._end(True)

    def _failed(self, failure: Failure) -> None:
        if failure.check(error.ConnectionRefusedError):
            self._end(False)

    def _end(self, lives: bool) -> None:
        if not self._result.called:
            self._stop()
            self._result.callback(lives)

    def _stop(self) -> None:
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        for opening in self._openings:
            opening.cancel()
        for probe in self._probes:
            probe.transport.loseConnection()
