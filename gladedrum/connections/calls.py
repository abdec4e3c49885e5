"""Short calls to targets, over the same connections as requests."""

from http import HTTPStatus
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..errors import TargetBrokenError, TargetLeftAloneError, TargetNotListeningError
from ..fleet import TargetEntry
from ..platform.orders import TargetCall
from .messages import AnswerBroken, AnswerData, AnswerEnd, AnswerHead, Mailbox, TimeIsUp
from .target_conn import RequestHead
from .target_pool import TargetPool

__all__ = ["CallAnswer", "call_target"]

_LONGEST_ANSWER = 1_000_000


class CallAnswer(NamedTuple):
    """The status and body of an answer."""

    status: int
    body: bytes

    @property
    def ok(self) -> bool:
        """Whether the target did what it was asked."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


async def call_target(
    clock: IReactorTime, pool: TargetPool, entry: TargetEntry, call: TargetCall, timeout_s: float
) -> CallAnswer:
    """Make a call and return its whole answer.

    Raises
    ------
    TargetLeftAloneError
        If it has asked not to get such a call.
    TargetNotListeningError
        If its address refuses connections.
    TargetBrokenError
        If no whole answer came in time; an order may have been taken all the same.
    """
    mail = Mailbox(clock)
    host = [(b"host", f"{entry.host}:{entry.port}".encode())]
    head = RequestHead(call.method, call.path, host + call.headers)
    exchange = pool.begin(entry, call.kind, lambda: head, call.body, "", True, mail.put)
    until_s = clock.seconds() + timeout_s
    status, parts = 0, []
    try:
        while True:
            match await mail.get(until_s):
                case AnswerHead(status=status):
                    pass
                case AnswerData(data=data):
                    parts.append(data)
                    if sum(map(len, parts)) > _LONGEST_ANSWER:
                        raise TargetBrokenError(f"{entry.name}: the answer is too long")
                case AnswerEnd():
                    return CallAnswer(status, b"".join(parts))
                case AnswerBroken(withheld=True, reason=reason):
                    raise TargetLeftAloneError(f"{entry.name}: {reason}")
                case AnswerBroken(refused=True, reason=reason):
                    raise TargetNotListeningError(f"{entry.name}: {reason}")
                case AnswerBroken(reason=reason):
                    raise TargetBrokenError(f"{entry.name}: {reason}")
                case TimeIsUp():
                    raise TargetBrokenError(f"{entry.name}: no answer within {timeout_s} s")
    finally:
        exchange.give_up()
