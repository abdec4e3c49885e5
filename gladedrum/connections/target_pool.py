"""The pool of connections to targets.

Connections are reused where that is safe. A kept connection may turn out to be closed only after a
request was sent on it; requests that must not be sent twice therefore use only connections that
were idle for a short time.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol as Interface

from twisted.internet import protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime

from ..errors import GladedrumError
from ..fleet import TargetEntry
from ..platform.orders import CallKind
from ..platform.statements import Statements
from .messages import AnswerBroken, Message
from .target_conn import Exchange, RequestHead, TargetConnection

__all__ = ["NoLongerAllowedError", "TargetGate", "TargetPool"]

CONNECT_TIMEOUT_S = 0.8
"""The timeout for connecting to a target, in seconds; a healthy one accepts in milliseconds."""

IDLE_LIMIT_NON_REPEATABLE_S = 0.25
"""As `target_conn.IDLE_LIMIT_S`, for requests that must not be sent again."""

MAX_IDLE_PER_TARGET = 12
"""The maximum number of idle connections to one target."""


class NoLongerAllowedError(GladedrumError):
    """A condition for sending a request no longer holds."""


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
    gate : TargetGate
        Asked right before each send, also after a wait for a connection, because the conditions may
        have changed since the placement.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._idle: dict[tuple[str, int], list[TargetConnection]] = defaultdict(list)
        self._attempt_numbers = itertools.count(1)
        self.opened = 0
        self.gate: TargetGate = _AllowAllGate()

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
        conn = self._pop_idle(address, repeatable)
        if conn is not None:
            self._send(conn, exchange, kind, make_head, body)
            return exchange
        self.opened += 1
        endpoint = TCP4ClientEndpoint(self._reactor, *address, timeout=CONNECT_TIMEOUT_S)
        factory = protocol.Factory.forProtocol(lambda: TargetConnection(self, address))
        factory.noisy = False
        connecting = endpoint.connect(factory)

        def on_connected(conn: TargetConnection) -> None:
            if exchange.over:
                conn.abort()
            else:
                self._send(conn, exchange, kind, make_head, body)

        def on_failed(failure) -> None:
            reason = f"cannot connect: {failure.getErrorMessage()}"
            refused = bool(failure.check(ConnectionRefusedError))
            exchange.deliver(AnswerBroken(exchange.attempt, reason, False, True, refused))

        connecting.addCallbacks(on_connected, on_failed)
        return exchange

    async def is_listening(self, address: tuple[str, int]) -> bool | None:
        """Return whether a process accepts connections at an address; None if unknown."""
        endpoint = TCP4ClientEndpoint(self._reactor, *address, timeout=CONNECT_TIMEOUT_S)
        factory = protocol.Factory.forProtocol(protocol.Protocol)
        factory.noisy = False
        try:
            conn = await endpoint.connect(factory)
        except ConnectionRefusedError:
            return False
        except ConnectError:
            return None
        conn.transport.abortConnection()
        return True

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

    def keep(self, address: tuple[str, int], conn: TargetConnection) -> None:
        """Keep an idle connection for the next request."""
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

    def idle_addresses(self, repeatable: bool) -> set[tuple[str, int]]:
        """Return the addresses with an idle connection that a request may use now."""
        now_s = self._reactor.seconds()
        return {
            address
            for address, idle in self._idle.items()
            if idle and now_s - idle[-1].idle_since_s <= _idle_limit_s(idle[-1], repeatable)
        }

    def _pop_idle(self, address: tuple[str, int], repeatable: bool) -> TargetConnection | None:
        idle = self._idle[address]
        now_s = self._reactor.seconds()
        while idle:
            conn = idle.pop()
            if now_s - conn.idle_since_s <= _idle_limit_s(conn, repeatable):
                return conn
            if repeatable:
                conn.abort()
            else:
                # A repeatable request may still use it.
                idle.append(conn)
                return None
        return None


def _idle_limit_s(conn: TargetConnection, repeatable: bool) -> float:
    return conn.idle_limit_s if repeatable else min(IDLE_LIMIT_NON_REPEATABLE_S, conn.idle_limit_s)
