"""The messages that the task of a request receives, and the mailbox that queues them."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

__all__ = [
    "AnswerBroken",
    "AnswerData",
    "AnswerEnd",
    "AnswerHead",
    "CallerGone",
    "CallerRequest",
    "EndChecked",
    "EndMark",
    "Mailbox",
    "Message",
    "SearchEnded",
    "TargetLife",
    "TimedOut",
]


@dataclass(slots=True)
class CallerRequest:
    """A complete request as the caller sent it.

    Parameters
    ----------
    method, path : bytes
        The method, and the path with the query.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
        The complete body.
    arrived_s : float
        When the head was received, by the monotonic clock.
    has_body : bool
        Whether its headers announced a body, which may be empty.
    """

    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_s: float
    has_body: bool = False


class EndMark(Enum):
    """What marks the end of an answer's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no body"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of a target's answer, and what will mark the end of its body.

    `attempt`, here and in the other messages, is the number that `Exchange` holds.
    """

    attempt: int
    status: int
    headers: list[tuple[bytes, bytes]]
    mark: EndMark = EndMark.LENGTH


@dataclass(frozen=True, slots=True)
class AnswerData:
    """Bytes of an answer's body."""

    attempt: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer has ended; it is complete unless its head's mark is `EndMark.CLOSE`.

    The kernel closes the connections of a process that dies in order, so an orderly close alone
    does not show that the answer is complete.
    """

    attempt: int


class TargetLife(Enum):
    """What has been found out about a target's process after an orderly close."""

    LIVES = "target lives"
    GONE = "target gone"
    UNKNOWN = "target not reached"


@dataclass(frozen=True, slots=True)
class EndChecked:
    """It was checked whether the target lives on after an answer that ended with its connection."""

    attempt: int
    life: TargetLife


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The answer failed and will not be completed.

    Parameters
    ----------
    attempt : int
        The number of the attempt.
    reason : str
        What happened; goes into logs, and into the answer to the caller.
    sent : bool
        Whether any byte of the request may have reached the target.
    unreachable : bool
        Whether no connection to the target could be made.
    refused : bool
        Whether the target's address refused the connection: no process listens there.
    withheld : bool
        Whether the request was not sent because it was no longer allowed.
    """

    attempt: int
    reason: str
    sent: bool
    unreachable: bool = False
    refused: bool = False
    withheld: bool = False


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller's connection has ended, by default because the caller has closed it."""

    reason: str = "the caller has left"


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No message arrived before the deadline."""


@dataclass(frozen=True, slots=True)
class SearchEnded:
    """The search for another target, such as one for a hedge, has ended.

    The task that started the search holds the result.
    """


Message = (
    AnswerHead
    | AnswerData
    | AnswerEnd
    | EndChecked
    | AnswerBroken
    | CallerGone
    | SearchEnded
    | TimedOut
)


@dataclass(slots=True)
class Mailbox:
    """A first-in, first-out queue of messages for one task.

    Parameters
    ----------
    clock : IReactorTime
        For timeouts, and for the deadlines that `get` takes.
    """

    clock: IReactorTime
    _messages: deque[Message] = field(default_factory=deque)
    _waiting: defer.Deferred[None] | None = None

    def put(self, message: Message) -> None:
        """Add a message."""
        self._messages.append(message)
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    async def get(self, deadline_s: float) -> Message:
        """Return the next message, or `TimedOut` if none arrives before `deadline_s`."""
        if not self._messages:
            timeout_s = deadline_s - self.clock.seconds()
            if timeout_s <= 0:
                return TimedOut()
            self._waiting = waiting = defer.Deferred()
            call = self.clock.callLater(timeout_s, self.put, TimedOut())
            try:
                await waiting
            finally:
                if call.active():
                    call.cancel()
        return self._messages.popleft()
