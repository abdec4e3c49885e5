"""Opening one connection to a target, over the box's own link or through a peer.

The own link goes first, with a head start; if the connection isn't open by then, tunnels are opened
beside it. For a impaired target (see `evidence`) the tunnels go first.
"""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure

from ..connections.target_conn import TargetConnection
from ..connections.target_pool import CONNECT_TIMEOUT_S, ConnectFailedError, MakeConnection
from ..fleet import TargetEntry
from ..utils import MAX_TIMER_LAG_S
from .carriers import Carrier
from .tunnel_client import TunnelFailedError, TunnelRequest, open_tunnel

if TYPE_CHECKING:
    from .connector import PathConnector

__all__ = ["Opening", "OwnLink"]

HEAD_START_S = 0.1
"""Time for the own link before a tunnel is opened beside it, in seconds: the least that RFC 8305
allows between connection attempts. Targets accept within milliseconds."""

CARRIER_INTERVAL_S = 0.15
"""Time until the next carrier is tried beside a silent one, in seconds."""

MAX_CARRIERS = 3
"""The most carriers that are tried for one connection."""

_log = logging.getLogger(__name__)


class OwnLink:
    """A connection to a target over the own link, and the evidence that it gives.

    Parameters
    ----------
    paths : PathConnector
        Records the evidence.
    entry : TargetEntry
        The target.
    timeout_s : float
        How long to wait for the connection, in seconds.
    on_late : callable or None
        Called once if the connection is not open after `HEAD_START_S`, or has failed before.
    make_conn : callable
        Returns the protocol of the connection.
    """

    def __init__(
        self,
        paths: "PathConnector",
        entry: TargetEntry,
        timeout_s: float,
        on_late: Callable[[], None] | None,
        make_conn: MakeConnection | None = None,
    ):
        self._paths = paths
        self._address = (entry.host, entry.port)
        self._timeout_s = timeout_s
        self._on_late = on_late
        self._make_conn = make_conn or paths.make_idle
        self._timer: IDelayedCall | None = None
        self._is_late = False

    def begin(self) -> defer.Deferred[TargetConnection]:
        """Start to connect; the deferred fires with the connection or the failure."""
        reactor = self._paths.reactor
        factory = protocol.Factory.forProtocol(lambda: self._make_conn(self._address, ""))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(reactor, *self._address, timeout=self._timeout_s)
        self._start_timer()
        return endpoint.connect(factory).addCallbacks(self._connected, self._failed)

    def _start_timer(self) -> None:
        due_s = self._paths.reactor.seconds() + HEAD_START_S
        self._timer = self._paths.reactor.callLater(HEAD_START_S, self._head_start_over, due_s)

    def _head_start_over(self, due_s: float) -> None:
        if self._paths.reactor.seconds() - due_s > MAX_TIMER_LAG_S:
            self._start_timer()
            return
        self._paths.counts["own late"] += 1
        self._note_late("not open in time")

    def _connected(self, conn: TargetConnection) -> TargetConnection:
        self._stop_timer()
        self._paths.counts["own open"] += 1
        self._paths.note_connected(self._address)
        return conn

    def _failed(self, failure: Failure) -> Failure:
        self._stop_timer()
        self._paths.counts["own failed"] += 1
        self._note_late(failure.getErrorMessage())
        return failure

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _note_late(self, reason: str) -> None:
        if self._is_late:
            return
        self._is_late = True
        self._paths.note_failed(self._address, reason)
        if self._on_late is not None:
            self._on_late()


class Opening:
    """One connection to a target that is being opened, by several paths at once."""

    def __init__(
        self, paths: "PathConnector", entry: TargetEntry, request_id: str, make_conn: MakeConnection
    ):
        self._paths = paths
        self._entry = entry
        self._address = (entry.host, entry.port)
        self._request_id = request_id
        self._make_conn = make_conn
        self._result: defer.Deferred[TargetConnection] = defer.Deferred()
        self._is_over = False
        self._own_failure: Failure | None = None
        self._own_begun = False
        self._last_reason = ""
        self._tunnels: dict[str, defer.Deferred[TargetConnection]] = {}
        self._tried: list[str] = []
        self._timers: list[IDelayedCall] = []

    def begin(self) -> defer.Deferred[TargetConnection]:
        """Start to connect; the deferred fires with the connection or `ConnectFailedError`."""
        reactor = self._paths.reactor
        self._timers.append(reactor.callLater(CONNECT_TIMEOUT_S, self._time_out))
        if not self._paths.is_impaired(self._entry) or not self._try_carrier():
            self._try_own_link()
        return self._result

    def _try_own_link(self) -> None:
        self._own_begun = True
        own = OwnLink(
            self._paths, self._entry, CONNECT_TIMEOUT_S, self._own_is_late, self._make_conn
        )
        own.begin().addCallbacks(self._own_connected, self._own_failed)

    def _own_connected(self, conn: TargetConnection) -> None:
        if self._is_over:
            self._paths.keep(conn)
        else:
            self._succeed(conn)

    def _own_is_late(self) -> None:
        if not self._is_over and not self._tried:
            self._try_carrier()

    def _own_failed(self, failure: Failure) -> None:
        self._own_failure = failure
        self._fail_if_nothing_is_left()

    def _try_carrier(self) -> bool:
        """Open a tunnel through the next carrier; return whether there is one."""
        if self._is_over or len(self._tried) >= MAX_CARRIERS:
            return False
        carrier = self._paths.next_carrier(self._entry, self._tried)
        if carrier is None:
            return False
        self._tried.append(carrier.name)
        req = TunnelRequest(self._paths.box, self._entry.name, self._address, self._request_id)
        carriers, clock = self._paths.carriers, self._paths.reactor
        opening = open_tunnel(
            clock,
            carrier,
            req,
            lambda: self._make_tunnel(carrier),
            lambda load: carriers.note_load(carrier.name, load, clock.seconds()),
            lambda: carriers.note_closed(carrier.name),
        )
        self._tunnels[carrier.name] = opening
        opening.addCallbacks(
            self._tunnel_opened,
            self._tunnel_failed,
            callbackArgs=(carrier,),
            errbackArgs=(carrier,),
        )
        if not self._is_over and carrier.name in self._tunnels:
            self._timers.append(clock.callLater(CARRIER_INTERVAL_S, self._try_carrier))
        return True

    def _make_tunnel(self, carrier: Carrier) -> TargetConnection:
        self._paths.carriers.note_opened(carrier.name)
        return self._make_conn(self._address, carrier.name)

    def _tunnel_opened(self, conn: TargetConnection, carrier: Carrier) -> None:
        self._tunnels.pop(carrier.name, None)
        self._paths.note_carried(self._entry)
        if self._is_over:
            conn.abort()
            return
        self._paths.counts["peer open"] += 1
        extra = {
            "request_id": self._request_id,
            "target": self._entry.name,
            "carrier": carrier.name,
            "tunnel": conn.tunnel_id,
        }
        _log.info("tunnel opened", extra=extra)
        self._succeed(conn)

    def _tunnel_failed(self, failure: Failure, carrier: Carrier) -> None:
        self._tunnels.pop(carrier.name, None)
        if self._is_over:
            return
        failure.trap(TunnelFailedError)
        self._paths.counts["peer failed"] += 1
        self._last_reason = f"{carrier.name}: {failure.getErrorMessage()}"
        self._paths.note_tunnel_failed(self._entry, carrier, failure.value)
        if not self._try_carrier() and not self._own_begun:
            self._try_own_link()
        self._fail_if_nothing_is_left()

    def _time_out(self) -> None:
        if not self._is_over:
            self._fail("not connected in time")

    def _succeed(self, conn: TargetConnection) -> None:
        self._end()
        self._result.callback(conn)

    def _fail_if_nothing_is_left(self) -> None:
        if self._is_over or self._tunnels or self._own_failure is None:
            return
        if self._try_carrier():
            return
        reason = self._own_failure.getErrorMessage()
        if self._last_reason:
            reason = f"{reason}; through peers: {self._last_reason}"
        self._fail(reason, bool(self._own_failure.check(ConnectionRefusedError)))

    def _fail(self, reason: str, refused: bool = False) -> None:
        self._paths.counts["all failed"] += 1
        self._end()
        self._result.errback(ConnectFailedError(reason, refused))

    def _end(self) -> None:
        self._is_over = True
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        tunnels, self._tunnels = self._tunnels, {}
        for opening in tunnels.values():
            opening.cancel()
