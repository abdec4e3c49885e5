"""Connections to targets, kept for the next request where that is safe."""

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

__all__ = ["NotNowError", "TargetGate", "TargetPool"]

CONNECT_TIMEOUT_S = 0.8
"""How long a connection to a target may take, in seconds; a sound one takes milliseconds."""

KEPT_IDLE_ONCE_S = 0.25
"""As `target_conn.KEPT_IDLE_S`, for requests that can't be sent again if the connection proves
closed."""

KEPT_A_TARGET = 12
"""The most idle connections that are kept to one target."""


class NotNowError(GladedrumError):
    """What allowed a request to be sent does not hold any more."""


class TargetGate(Interface):
    """What all that goes to targets passes, and what their answers say of them."""

    def let_out(self, target: str, kind: CallKind) -> int:
        """Return the start of a target that is known, right before something is sent to it.

        Raises `NotNowError` if it is not to get that.
        """

    def note_answer(self, target: str, born: int, said: Statements, sent_s: float) -> None:
        """Take what an answer says of its target.

        `born` is what `let_out` returned for it, `sent_s` when that was, by the clock.
        """


class _OpenGate:
    """Lets everything out, and hears nothing."""

    def let_out(self, _target: str, _kind: CallKind) -> int:
        return 0

    def note_answer(self, target: str, born: int, said: Statements, sent_s: float) -> None:
        pass


class TargetPool:
    """Opens connections to targets and keeps idle ones.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Where connections and timers live.

    Attributes
    ----------
    gate : TargetGate
        What all that is sent passes right before it goes out, also what has waited for a
        connection: it is the arrival that counts, not the choice.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._idle: dict[tuple[str, int], list[TargetConnection]] = defaultdict(list)
        self._attempts = itertools.count(1)
        self.opened = 0
        self.gate: TargetGate = _OpenGate()

    def begin(
        self,
        entry: TargetEntry,
        kind: CallKind,
        make_head: Callable[[], RequestHead],
        body: bytes,
        request_id: str,
        repeatable: bool,
        tell: Callable[[Message], None],
    ) -> Exchange:
        """Send a request on an idle connection or a new one.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        kind : CallKind
            What is sent.
        make_head : callable
            Called right before the bytes go out, since the process may have stood still after
            the decision; returns the head or raises `NotNowError`.
        body : bytes
            The request's body.
        request_id : str
            Its id.
        repeatable : bool
            Whether it may be sent again if a kept connection proves to be closed.
        tell : callable
            Takes the messages of the answer.
        """
        place = (entry.host, entry.port)
        exchange = Exchange(next(self._attempts), request_id, entry.name, tell)
        conn = self._take_idle(place, repeatable)
        if conn is not None:
            self._send(conn, exchange, kind, make_head, body)
            return exchange
        self.opened += 1
        endpoint = TCP4ClientEndpoint(self._reactor, *place, timeout=CONNECT_TIMEOUT_S)
        factory = protocol.Factory.forProtocol(lambda: TargetConnection(self, place))
        factory.noisy = False
        connecting = endpoint.connect(factory)

        def connected(conn: TargetConnection) -> None:
            if exchange.over:
                conn.abort()
            else:
                self._send(conn, exchange, kind, make_head, body)

        def failed(failure) -> None:
            reason = f"cannot connect: {failure.getErrorMessage()}"
            refused = bool(failure.check(ConnectionRefusedError))
            exchange.tell(AnswerBroken(exchange.attempt, reason, False, True, refused))

        connecting.addCallbacks(connected, failed)
        return exchange

    async def is_listening(self, place: tuple[str, int]) -> bool | None:
        """Return whether a process takes connections at a place; None if that can't be told."""
        endpoint = TCP4ClientEndpoint(self._reactor, *place, timeout=CONNECT_TIMEOUT_S)
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
            exchange.born = self.gate.let_out(exchange.target, kind)
        except NotNowError as exc:
            conn.abort()
            # Told in a later turn, as all messages are: the caller of `begin` has no exchange yet.
            broken = AnswerBroken(exchange.attempt, str(exc), sent=False, withheld=True)
            self._reactor.callLater(0, exchange.tell, broken)
            return
        exchange.sent_s = self._reactor.seconds()
        conn.begin(exchange, head, body)

    def note_answer(self, exchange: Exchange, said: Statements) -> None:
        """Take what the head of an answer says of its target."""
        self.gate.note_answer(exchange.target, exchange.born, said, exchange.sent_s)

    def keep(self, place: tuple[str, int], conn: TargetConnection) -> None:
        """Keep a connection for the next request."""
        conn.idle_since_s = self._reactor.seconds()
        idle = self._idle[place]
        idle.append(conn)
        if len(idle) > KEPT_A_TARGET:
            idle.pop(0).abort()

    def forget(self, place: tuple[str, int], conn: TargetConnection) -> None:
        """Drop a connection that can't be used."""
        if conn in self._idle.get(place, ()):
            self._idle[place].remove(conn)

    def forget_place(self, place: tuple[str, int]) -> None:
        """Close the idle connections to a target that is gone."""
        for conn in self._idle.pop(place, []):
            conn.abort()

    def connected(self, repeatable: bool) -> set[tuple[str, int]]:
        """Return the places to which an idle connection is kept that a request may use now."""
        now_s = self._reactor.seconds()
        return {
            place
            for place, idle in self._idle.items()
            if idle and now_s - idle[-1].idle_since_s <= _idle_limit_s(idle[-1], repeatable)
        }

    def _take_idle(self, place: tuple[str, int], repeatable: bool) -> TargetConnection | None:
        idle = self._idle[place]
        now_s = self._reactor.seconds()
        while idle:
            conn = idle.pop()
            if now_s - conn.idle_since_s <= _idle_limit_s(conn, repeatable):
                return conn
            if repeatable:
                conn.abort()
            else:
                # Still good for a request that may be sent again.
                idle.append(conn)
                return None
        return None


def _idle_limit_s(conn: TargetConnection, repeatable: bool) -> float:
    return conn.idle_limit_s if repeatable else min(KEPT_IDLE_ONCE_S, conn.idle_limit_s)
