"""Short calls to targets (reports and orders), over the same pool as requests."""

from http import HTTPStatus
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..errors import TargetBackoffError, TargetBrokenError, TargetNotListeningError
from ..fleet import TargetEntry
from ..platform.orders import TargetCall
from .messages import AnswerBroken, AnswerData, AnswerEnd, AnswerHead, Mailbox, TimedOut
from .target_conn import RequestHead
from .target_pool import TargetPool

__all__ = ["CallAnswer", "call_target"]

_MAX_REPLY_BYTES = 1_000_000


class CallAnswer(NamedTuple):
    """The status and body of a target's reply."""

    status: int
    body: bytes

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


async def call_target(
    clock: IReactorTime, pool: TargetPool, entry: TargetEntry, call: TargetCall, timeout_s: float
) -> CallAnswer:
    """Make a call and return the complete reply.

    Raises
    ------
    TargetBackoffError
        If the target has asked not to receive this kind of call; nothing was sent.
    TargetNotListeningError
        If the target's address refuses connections.
    TargetBrokenError
        If no complete reply came in time; an order may still have taken effect.
    """
    mailbox = Mailbox(clock)
    host = [(b"host", f"{entry.host}:{entry.port}".encode())]
    head = RequestHead(call.method, call.path, host + call.headers)
    exchange = pool.begin(entry, call.kind, lambda: head, call.body, "", True, mailbox.put)
    deadline_s = clock.seconds() + timeout_s
    status, chunks = 0, []
    try:
        while True:
            match await mailbox.get(deadline_s):
                case AnswerHead(status=status):
                    pass
                case AnswerData(data=data):
                    chunks.append(data)
                    if sum(map(len, chunks)) > _MAX_REPLY_BYTES:
                        raise TargetBrokenError(f"{entry.name}: the reply is too long")
                case AnswerEnd():
                    return CallAnswer(status, b"".join(chunks))
                case AnswerBroken(withheld=True, reason=reason):
                    raise TargetBackoffError(f"{entry.name}: {reason}")
                case AnswerBroken(refused=True, reason=reason):
                    raise TargetNotListeningError(f"{entry.name}: {reason}")
                case AnswerBroken(reason=reason):
                    raise TargetBrokenError(f"{entry.name}: {reason}")
                case TimedOut():
                    raise TargetBrokenError(f"{entry.name}: no reply within {timeout_s} s")
    finally:
        exchange.cancel()
