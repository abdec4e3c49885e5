"""The pool of connections to targets.

Connections are reused where that is safe. A kept connection may turn out to be closed only after a
request was sent on it; requests that must not be sent twice therefore use only connections that
were idle for a short time.
"""

import itertools
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol as Interface

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..errors import GladedrumError
from ..fleet import TargetEntry
from ..platform.orders import CallKind
from ..platform.statements import Statements
from .messages import AnswerBroken, Message
from .target_conn import Exchange, RequestHead, TargetConnection

__all__ = ["CONNECT_TIMEOUT_S", "ConnectFailedError", "DirectPaths", "MakeConnection"]
__all__ += ["NoLongerAllowedError", "TargetGate", "TargetPaths", "TargetPool"]

CONNECT_TIMEOUT_S = 0.8
"""The timeout for connecting to a target, in seconds; a healthy one accepts in milliseconds."""

IDLE_LIMIT_NON_REPEATABLE_S = 0.25
"""As `target_conn.IDLE_LIMIT_S`, for requests that must not be sent again."""

MAX_IDLE_PER_TARGET = 12
"""The maximum number of idle connections to one target."""


_log = logging.getLogger(__name__)


class NoLongerAllowedError(GladedrumError):
    """A condition for sending a request no longer holds."""


class ConnectFailedError(GladedrumError):
    """No connection to a target could be opened, so nothing was sent.

    Parameters
    ----------
    reason : str
        Why.
    refused : bool
        Whether its address refused the connection.
    """

    def __init__(self, reason: str, refused: bool):
        self.refused = refused
        super().__init__(reason)


MakeConnection = Callable[[tuple[str, int], str], TargetConnection]
"""Returns the protocol of a new connection, from the target's address and the carrier's name."""


class TargetPaths(Interface):
    """Opens connections to targets, and judges failures; see `gladedrum.paths`."""

    def open(
        self, entry: TargetEntry, request_id: str, make_conn: MakeConnection
    ) -> defer.Deferred[TargetConnection]:
        """Open a connection to a target, for a request if `request_id` is not empty.

        The deferred fires with the connection, or fails with `ConnectFailedError` after
        `CONNECT_TIMEOUT_S` at the latest.
        """

    def may_reuse(self, conn: TargetConnection) -> bool:
        """Whether an idle connection may be used now."""

    def is_obsolete(self, conn: TargetConnection) -> bool:
        """Whether an idle connection should be closed."""

    def note_received(self, conn: TargetConnection) -> None:
        """Record that bytes have arrived on a connection."""

    def confirm_failure(
        self,
        entry: TargetEntry,
        by_connection: bool,
        act: Callable[[], None],
        otherwise: Callable[[], None] = lambda: None,
    ) -> None:
        """Call `act`, now or soon, if a failure at a target is not that of the box's own link.

        Else `otherwise` is called. `by_connection` tells that the target failed to accept a
        connection.
        """

    def is_silent(self, entry: TargetEntry) -> bool:
        """Whether open connections to a target over the own link are thought to be dead."""

    def is_cut_off(self, entries: Iterable[TargetEntry]) -> bool:
        """Whether neither this box nor any peer is known to reach one of these targets."""


class DirectPaths:
    """Connects over the box's own link only; all failures are taken for those of targets.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    """

    def __init__(self, reactor):
        self._reactor = reactor

    def open(
        self, entry: TargetEntry, _request_id: str, make_conn: MakeConnection
    ) -> defer.Deferred[TargetConnection]:
        """Open a connection to a target; see `TargetPaths.open`."""
        address = (entry.host, entry.port)
        endpoint = TCP4ClientEndpoint(self._reactor, *address, timeout=CONNECT_TIMEOUT_S)
        factory = protocol.Factory.forProtocol(lambda: make_conn(address, ""))
        factory.noisy = False
        return endpoint.connect(factory).addErrback(_raise_connect_failed)

    def may_reuse(self, _conn: TargetConnection) -> bool:
        """Whether an idle connection may be used now: always."""
        return True

    def is_obsolete(self, _conn: TargetConnection) -> bool:
        """Whether an idle connection should be closed: never."""
        return False

    def note_received(self, conn: TargetConnection) -> None:
        """Record that bytes have arrived on a connection: not needed."""

    def confirm_failure(
        self,
        _entry: TargetEntry,
        _by_connection: bool,
        act: Callable[[], None],
        _otherwise: Callable[[], None] = lambda: None,
    ) -> None:
        """Call `act`."""
        act()

    def is_silent(self, _entry: TargetEntry) -> bool:
        """Whether open connections to a target are thought to be dead: not known."""
        return False

    def is_cut_off(self, _entries: Iterable[TargetEntry]) -> bool:
        """Whether nobody is known to reach one of these targets: not known."""
        return False


def _raise_connect_failed(failure: Failure) -> None:
    refused = bool(failure.check(ConnectionRefusedError))
    raise ConnectFailedError(failure.getErrorMessage(), refused)


class TargetGate(Interface):
    """Authorizes everything that is sent to targets, and receives the statements in answers."""

    def authorize(self, target: str, kind: CallKind) -> int:
        """Return the target's known start time; called right before each send.

        Raises `NoLongerAllowedError` if the target must not get this kind of message.
        """

    def note_answer(self, target: str, born: int, statements: Statements, sent_s: float) -> None:
        """Process what an answer states about its target.

        `born` is what `authorize` returned for the request, and `sent_s` the time of that call.
        """


class _AllowAllGate:
    """Authorizes everything and ignores statements."""

    def authorize(self, _target: str, _kind: CallKind) -> int:
        return 0

    def note_answer(self, target: str, born: int, statements: Statements, sent_s: float) -> None:
        pass


class TargetPool:
    """Opens connections to targets and keeps idle ones for reuse.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        For connections and timers.

    Attributes
    ----------
    opened : int
        The number of connections opened so far.
    dropped_answers : int
        The number of answers dropped so far, since they were not to the request or call.
    reporting_services : set of str
        The services of which a target has answered a call for its report after an unmarked end.
    gate : TargetGate
        Asked right before each send, also after a wait for a connection, because the conditions may
        have changed since the placement.
    paths : TargetPaths
        Opens the connections.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._idle: dict[tuple[str, int], list[TargetConnection]] = defaultdict(list)
        self._attempt_numbers = itertools.count(1)
        self.opened = 0
        self.dropped_answers = 0
        self.reporting_services: set[str] = set()
        self.gate: TargetGate = _AllowAllGate()
        self.paths: TargetPaths = DirectPaths(reactor)

    @property
    def clock(self) -> IReactorTime:
        """A monotonic clock."""
        return self._reactor

    def begin(
        self,
        entry: TargetEntry,
        kind: CallKind,
        make_head: Callable[[], RequestHead],
        body: bytes,
        request_id: str,
        repeatable: bool,
        deliver: Callable[[Message], None],
    ) -> Exchange:
        """Send a request on an idle connection or a new one.

        Returns at once; on a new connection, the request is sent when it is open.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        kind : CallKind
            The kind of message.
        make_head : callable
            Called right before the bytes are sent, since the process may have been suspended after
            the decision; returns the head or raises `NoLongerAllowedError`.
        body : bytes
            The request's body.
        request_id : str
            The request's id.
        repeatable : bool
            Whether the caller of `begin` may send it again if a kept connection turns out to be
            closed. If not, only connections that were idle for a short time are used.
        deliver : callable
            Called with the messages of the answer.
        """
        address = (entry.host, entry.port)
        exchange = Exchange(next(self._attempt_numbers), request_id, entry.name, deliver)
        conn = self._pop_idle(address, repeatable, request_id)
        if conn is not None:
            self._send(conn, exchange, kind, make_head, body)
            return exchange
        self.opened += 1

        def on_connected(conn: TargetConnection) -> None:
            if exchange.over:
                conn.abort()
            else:
                self._send(conn, exchange, kind, make_head, body)

        def on_failed(failure: Failure) -> None:
            failure.trap(ConnectFailedError)
            reason = f"cannot connect: {failure.getErrorMessage()}"
            refused = failure.value.refused
            exchange.deliver(AnswerBroken(exchange.attempt, reason, False, True, refused))

        connecting = self.paths.open(entry, request_id, self.make_connection)
        connecting.addCallbacks(on_connected, on_failed)
        return exchange

    def make_connection(self, address: tuple[str, int], carrier: str) -> TargetConnection:
        """Return the protocol of a new connection."""
        return TargetConnection(self, address, carrier)

    async def is_listening(self, entry: TargetEntry) -> bool | None:
        """Return whether a target accepts connections; None if unknown."""
        try:
            conn = await self.paths.open(entry, "", self.make_connection)
        except ConnectFailedError as exc:
            return False if exc.refused and await self._is_target_at_fault(entry) else None
        conn.abort()
        return True

    def _is_target_at_fault(self, entry: TargetEntry) -> defer.Deferred[bool]:
        """Return whether a refused connection shows that the target does not listen."""
        judged: defer.Deferred[bool] = defer.Deferred()
        self.paths.confirm_failure(
            entry, True, lambda: judged.callback(True), lambda: judged.callback(False)
        )
        return judged

    def _send(
        self,
        conn: TargetConnection,
        exchange: Exchange,
        kind: CallKind,
        make_head: Callable[[], RequestHead],
        body: bytes,
    ) -> None:
        try:
            head = make_head()
            exchange.born = self.gate.authorize(exchange.target, kind)
        except NoLongerAllowedError as exc:
            conn.abort()
            # Delivered in a later turn of the reactor: the caller of `begin` has no exchange yet.
            broken = AnswerBroken(exchange.attempt, str(exc), sent=False, withheld=True)
            self._reactor.callLater(0, exchange.deliver, broken)
            return
        exchange.sent_s = self._reactor.seconds()
        conn.begin(exchange, head, body)

    def note_answer(self, exchange: Exchange, statements: Statements) -> None:
        """Pass an answer's statements about its target to the gate."""
        self.gate.note_answer(exchange.target, exchange.born, statements, exchange.sent_s)

    def note_dropped(self, exchange: Exchange, answer_to: str, status: int) -> None:
        """Log and count an answer that was dropped since it names another request, or none."""
        self.dropped_answers += 1
        extra = {
            "request_id": exchange.request_id,
            "answer_to": answer_to,
            "target": exchange.target,
            "status": status,
        }
        _log.warning("dropped answer to another request", extra=extra)

    def note_received(self, conn: TargetConnection) -> None:
        """Record that bytes have arrived on a connection."""
        self.paths.note_received(conn)

    def keep(self, address: tuple[str, int], conn: TargetConnection) -> None:
        """Keep an idle connection for the next request."""
        if self.paths.is_obsolete(conn):
            conn.abort()
            return
        conn.idle_since_s = self._reactor.seconds()
        idle = self._idle[address]
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.pop(0).abort()

    def forget(self, address: tuple[str, int], conn: TargetConnection) -> None:
        """Remove a connection that cannot be reused."""
        if conn in self._idle.get(address, ()):
            self._idle[address].remove(conn)

    def close_idle_to(self, address: tuple[str, int]) -> None:
        """Close the idle connections to a target that was removed."""
        for conn in self._idle.pop(address, []):
            conn.abort()

    def close_idle_through(self, carrier: str) -> None:
        """Close the idle connections through a peer that carries no further requests."""
        for idle in self._idle.values():
            for conn in [conn for conn in idle if conn.carrier == carrier]:
                idle.remove(conn)
                conn.abort()

    def idle_addresses(self, repeatable: bool) -> set[tuple[str, int]]:
        """Return the addresses with an idle connection that a request may use now."""
        now_s = self._reactor.seconds()
        return {
            address
            for address, idle in self._idle.items()
            if any(self._may_use(conn, repeatable, now_s) for conn in idle)
        }

    def _may_use(self, conn: TargetConnection, repeatable: bool, now_s: float) -> bool:
        in_time = now_s - conn.idle_since_s <= _idle_limit_s(conn, repeatable)
        return in_time and not self.paths.is_obsolete(conn) and self.paths.may_reuse(conn)

    def _pop_idle(
        self, address: tuple[str, int], repeatable: bool, request_id: str
    ) -> TargetConnection | None:
        """Return the connection that was idle for the shortest time and may be used, if any.

        None on which the request has failed before: that answer, said once more and late, would
        count as the answer to this run.
        """
        now_s = self._reactor.seconds()
        idle = self._idle[address]
        for conn in tuple(idle):
            if now_s - conn.idle_since_s > conn.idle_limit_s or self.paths.is_obsolete(conn):
                idle.remove(conn)
                conn.abort()
        usable = [
            conn
            for conn in idle
            if self._may_use(conn, repeatable, now_s) and not conn.has_failed(request_id)
        ]
        if not usable:
            return None
        idle.remove(usable[-1])
        return usable[-1]


def _idle_limit_s(conn: TargetConnection, repeatable: bool) -> float:
    return conn.idle_limit_s if repeatable else min(IDLE_LIMIT_NON_REPEATABLE_S, conn.idle_limit_s)
