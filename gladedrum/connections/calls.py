"""Calls to targets other than requests: for load reports, and memory orders.

`platform.orders` makes the calls; they share the pool of connections with requests.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..errors import (
    TargetBackoffError,
    TargetBrokenError,
    TargetNotListeningError,
    TargetReplacedError,
)
from ..fleet import TargetEntry
from ..platform.codecs import answers_call
from ..platform.orders import TargetCall
from .messages import AnswerBroken, AnswerData, AnswerEnd, AnswerHead, EndMark, Mailbox, TimedOut
from .target_conn import RequestHead
from .target_pool import TargetPool

__all__ = ["CallAnswer", "call_target"]

_MAX_ANSWER_BYTES = 1_000_000


class CallAnswer(NamedTuple):
    """The status and body of a target's answer, and whether its connection is open now."""

    status: int
    body: bytes
    is_conn_open: Callable[[], bool] = lambda: False

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


async def call_target(
    clock: IReactorTime, pool: TargetPool, entry: TargetEntry, call: TargetCall, timeout_s: float
) -> CallAnswer:
    """Make a call and return the complete answer.

    Raises
    ------
    TargetBackoffError
        If the target asked for a backoff, or is leaving and the call is for a reservation; nothing
        was sent.
    TargetNotListeningError
        If the target's address refuses connections.
    TargetReplacedError
        If another target answers there.
    TargetBrokenError
        If no complete answer came in time; an order may still have taken effect.
    """
    mailbox = Mailbox(clock)
    host = [(b"host", f"{entry.host}:{entry.port}".encode())]
    head = RequestHead(call.method, call.path, host + call.headers_for(entry.name))
    exchange = pool.begin(entry, call.kind, lambda: head, call.body, "", True, mailbox.put)
    deadline_s = clock.seconds() + timeout_s
    status, body, is_framed = 0, bytearray(), True
    try:
        while True:
            match await mailbox.get(deadline_s):
                case AnswerHead(status=status, mark=mark):
                    is_framed = mark is not EndMark.CLOSE
                case AnswerData(data=data):
                    body += data
                    if len(body) > _MAX_ANSWER_BYTES:
                        raise TargetBrokenError(f"{entry.name}: the answer is too long")
                case AnswerEnd():
                    if status == HTTPStatus.MISDIRECTED_REQUEST:
                        raise TargetReplacedError(f"{entry.name}: another target has its address")
                    answer = CallAnswer(status, bytes(body), exchange.is_conn_open)
                    if answer.ok and not answers_call(call.kind, answer.body, is_framed):
                        pool.close_idle_to((entry.host, entry.port))
                        raise TargetBrokenError(f"{entry.name}: cut, or the answer to another call")
                    return answer
                case AnswerBroken(withheld=True, reason=reason):
                    raise TargetBackoffError(f"{entry.name}: {reason}")
                case AnswerBroken(refused=True, reason=reason):
                    raise TargetNotListeningError(f"{entry.name}: {reason}")
                case AnswerBroken(reason=reason):
                    raise TargetBrokenError(f"{entry.name}: {reason}")
                case TimedOut():
                    # The next call shows on a new connection whether only this one is dead.
                    pool.close_idle_to((entry.host, entry.port))
                    raise TargetBrokenError(f"{entry.name}: no answer within {timeout_s} s")
    finally:
        exchange.cancel()
