"""The messages that a request's task gets, and the mailbox that holds them."""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

__all__ = [
    "AnswerBroken",
    "AnswerData",
    "AnswerEnd",
    "AnswerHead",
    "CallerGone",
    "CallerRequest",
    "Mailbox",
    "Message",
    "SearchEnded",
    "TimeIsUp",
]


@dataclass(slots=True)
class CallerRequest:
    """A whole request as a caller sent it.

    Parameters
    ----------
    method, target : bytes
        As in HTTP.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
        All of it.
    arrived_s : float
        When its head had come, by the monotonic clock.
    has_body : bool
        Whether its headers announced a body, which may be empty.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_s: float
    has_body: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of a target's answer; `attempt` tells to which try it belongs."""

    attempt: int
    status: int
    headers: list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class AnswerData:
    """Bytes of the body of an answer."""

    attempt: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The body of an answer is complete."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """No whole answer comes any more.

    Parameters
    ----------
    attempt : int
        The try that it belongs to.
    reason : str
        What happened.
    sent : bool
        Whether any byte of the request can have reached the target.
    unreachable : bool
        Whether the target took no connection.
    refused : bool
        Whether its address refused it: no process listens there.
    withheld : bool
        Whether it was not sent since what allowed it does not hold any more.
    """

    attempt: int
    reason: str
    sent: bool
    unreachable: bool = False
    refused: bool = False
    withheld: bool = False


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class TimeIsUp:
    """The wait for a message is over."""


@dataclass(frozen=True, slots=True)
class SearchEnded:
    """The search for a further target is over; the task that began it has the result."""


Message = AnswerHead | AnswerData | AnswerEnd | AnswerBroken | CallerGone | SearchEnded | TimeIsUp


@dataclass(slots=True)
class Mailbox:
    """The messages for one task, in order.

    Parameters
    ----------
    clock : IReactorTime
        For waits with a bound.
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

    async def get(self, until_s: float) -> Message:
        """Return the next message, or `TimeIsUp` if none comes until `until_s` on the clock."""
        if not self._messages:
            left_s = until_s - self.clock.seconds()
            if left_s <= 0:
                return TimeIsUp()
            self._waiting = waiting = defer.Deferred()
            call = self.clock.callLater(left_s, self.put, TimeIsUp())
            try:
                await waiting
            finally:
                if call.active():
                    call.cancel()
        return self._messages.popleft()
