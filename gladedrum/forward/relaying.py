"""Relaying of a target's answer to the caller, for one try, until the try has ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from twisted.internet.interfaces import IReactorTime

from ..connections.events import EventSplitter, is_newer
from ..connections.messages import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    CallerGone,
    Mailbox,
    Message,
    TimeIsUp,
)
from ..outcome import Completed, Unknown
from ..platform.heads import answer_marks
from ..routes import Route
from .caller_answer import CallerAnswer
from .try_ends import (
    NOT_RUN_STATUSES,
    Done,
    FailedAnswer,
    Lost,
    Refused,
    TryEnd,
    outcome_of_status,
)

__all__ = ["CallerGoneError", "EventRelay", "Relay", "WholeRelay", "caller_patience_s"]

REPEAT_SILENCE_X, REPEAT_SILENCE_S = 3.0, 0.5
"""A plain request that may be repeated goes elsewhere after this many times its objective, but
not before so many seconds."""

FIRST_SILENCE_X, FIRST_SILENCE_S = 2.5, 0.7
"""A resumable stream whose first event is later than predicted by this factor and so many
seconds is begun elsewhere if its target gives no reports either."""

PAUSE_SILENCE_X, PAUSE_SILENCE_S = 3.0, 0.4
"""A resumable stream that pauses for longer than this many times the pause aimed at, and so many
seconds more, is continued elsewhere if its target gives no reports either."""

PATIENCE_SHARE = 0.7
"""A target that still reports is busy, not dead: moving a stream would not make it timely, and
costs its prompt again. After this share of the time that the caller waits for an event it is
moved all the same, so that it is late and not lost."""

CALLER_WAIT_S, CALLER_WAIT_X, CALLER_WAIT_PAUSES_X = 2.0, 4, 8
"""How long a caller waits for an event before it gives a stream up: the longest of so many seconds,
so many times the objective, and so many times the pause aimed at."""

SUSPECT_CHECK_S = 0.1
"""How often a quiet target is looked at again, in seconds."""

BUFFERED_BYTES = 262_144
"""A plain answer up to this size is sent on when it is whole, so that it can still be repeated."""


class CallerGoneError(Exception):
    """The caller has left."""


@dataclass
class Relay:
    """What both ways of relaying share.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    mail : Mailbox
        Where the messages of the caller's and the target's connections come.
    attempt : int
        Stands in the messages of this try; others are passed over.
    route : Route
        The request's.
    answer : CallerAnswer
        Where the answer goes.
    until_s : float
        When the request's time is up, by the clock.
    may_move : bool
        Whether another target may get the request if this one stays silent.
    note_part : callable
        Called before each part that goes out at once.
    """

    clock: IReactorTime
    mail: Mailbox
    attempt: int
    route: Route
    answer: CallerAnswer
    until_s: float
    may_move: bool
    note_part: Callable[[], None]
    _quiet_until_s: float = field(default=float("inf"), init=False)
    _head: AnswerHead | None = field(default=None, init=False)

    async def run(self) -> TryEnd:
        """Relay the answer; return how the try ended. Raises if the caller has left."""
        end = None
        while end is None:
            message = await self._next(min(self.until_s, self._quiet_until_s))
            end = await self._take(message)
        return end

    async def _take(self, message: Message) -> TryEnd | None:
        match message:
            case TimeIsUp():
                now_s = self.clock.seconds()
                return self._out_of_time() if now_s >= self.until_s else self._silent(now_s)
            case AnswerBroken(sent=False, reason=reason, unreachable=unreachable):
                return Refused(reason, at_target=unreachable)
            case AnswerBroken(reason=reason):
                return Lost(reason)
            case AnswerHead():
                refused = _refusal(message)
                if refused is not None:
                    return refused
                self._head = message
                return await self._begin()
            case AnswerData(data=data):
                return self._pass_on(data)
            case AnswerEnd():
                return self._finish()

    async def _next(self, until_s: float) -> Message:
        """Return the next message of the try."""
        while True:
            message = await self.mail.get(until_s)
            match message:
                case CallerGone():
                    raise CallerGoneError
                case TimeIsUp():
                    if self.clock.seconds() >= until_s:
                        return message
                case _ if message.attempt == self.attempt:
                    return message

    def _out_of_time(self) -> Done:
        return Done(self.answer.fail(Unknown("its time is up", HTTPStatus.GATEWAY_TIMEOUT)))

    # What the two ways do differently.

    def _silent(self, now_s: float) -> TryEnd | None:
        """The target has been silent for as long as it may."""
        raise NotImplementedError

    async def _begin(self) -> TryEnd | None:
        """The head has come and is no refusal."""
        raise NotImplementedError

    def _pass_on(self, data: bytes) -> TryEnd | None:
        """A part of the body has come."""
        raise NotImplementedError

    def _finish(self) -> TryEnd:
        """The body is complete."""
        raise NotImplementedError


@dataclass
class WholeRelay(Relay):
    """Collects a plain answer, or passes on a stream that can't be resumed."""

    _parts: list[bytes] = field(default_factory=list, init=False)
    _size: int = field(default=0, init=False)

    def __post_init__(self) -> None:
        if self.may_move:
            patience_s = max(REPEAT_SILENCE_S, REPEAT_SILENCE_X * self.route.objective_s)
            self._quiet_until_s = self.clock.seconds() + patience_s

    def _silent(self, _now_s: float) -> TryEnd:
        return Lost("no answer from the target")

    async def _begin(self) -> None:
        if self.route.streaming and self._head.status == HTTPStatus.OK:
            self.answer.begin(self._head)

    def _pass_on(self, data: bytes) -> None:
        if self.answer.begun:
            self.note_part()
            self.answer.send(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > BUFFERED_BYTES:
            self.answer.begin(self._head)
            self.answer.send(b"".join(self._parts))
            self._parts = []

    def _finish(self) -> TryEnd:
        status, body = self._head.status, b"".join(self._parts)
        failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES
        if not self.answer.begun:
            if failed:
                return FailedAnswer(self._head, body)
            self.answer.begin(self._head)
            self.answer.send(body)
        self.answer.end()
        return Done(outcome_of_status(status))


@dataclass
class EventRelay(Relay):
    """Passes on a stream event by event, so that another target can continue it.

    Parameters
    ----------
    first_event_s : float
        When the first event was predicted, in seconds from the start of the try.
    is_suspect : callable
        Whether the target has stopped giving reports, at a time by the clock.
    """

    first_event_s: float
    is_suspect: Callable[[float], bool]
    _splitter: EventSplitter = field(default_factory=EventSplitter, init=False)
    _heard_s: float = field(default=0.0, init=False)
    _pause_s: float = field(default=float("inf"), init=False)

    def __post_init__(self) -> None:
        self._heard_s = self.clock.seconds()
        if self.may_move:
            first_s = FIRST_SILENCE_X * self.first_event_s + FIRST_SILENCE_S
            self._quiet_until_s = self._heard_s + max(first_s, self.route.objective_s)
            self._pause_s = PAUSE_SILENCE_X * self.route.pause_objective_s + PAUSE_SILENCE_S

    def _silent(self, now_s: float) -> TryEnd | None:
        patient_until_s = self._heard_s + PATIENCE_SHARE * caller_patience_s(self.route)
        if now_s >= patient_until_s or self.is_suspect(now_s):
            return Lost("the target has fallen silent")
        self._quiet_until_s = min(patient_until_s, now_s + SUSPECT_CHECK_S)
        return None

    async def _begin(self) -> TryEnd | None:
        return None if self._head.status == HTTPStatus.OK else await self._read_failure()

    def _pass_on(self, data: bytes) -> None:
        for event in self._splitter.feed(data):
            self._heard_s = self.clock.seconds()
            self._quiet_until_s = self._heard_s + self._pause_s
            if not is_newer(event.event_id, self.answer.last_event_id):
                continue
            self.answer.begin(self._head)
            self.note_part()
            self.answer.send_event(event)

    def _finish(self) -> TryEnd:
        rest = self._splitter.rest
        if rest and not _is_framed(self._head):
            return Lost("the stream ends within an event")
        self.answer.begin(self._head)
        self.answer.send(rest)
        self.answer.end()
        return Done(Completed())

    async def _read_failure(self) -> TryEnd:
        parts: list[bytes] = []
        while True:
            match await self._next(self.until_s):
                case AnswerData(data=data):
                    parts.append(data)
                case AnswerEnd():
                    return FailedAnswer(self._head, b"".join(parts))
                case AnswerBroken(reason=reason):
                    return Lost(reason)
                case TimeIsUp():
                    return self._out_of_time()


def _refusal(head: AnswerHead) -> Refused | None:
    marks = answer_marks(head.status, head.headers)
    if not marks.not_run:
        return None
    return Refused(f"status {head.status} from the target", at_target=True, at_fault=marks.at_fault)


def caller_patience_s(route: Route) -> float:
    """Return how long a caller waits for an event before it gives the stream up, in seconds."""
    return max(
        CALLER_WAIT_S,
        CALLER_WAIT_X * route.objective_s,
        CALLER_WAIT_PAUSES_X * route.pause_objective_s,
    )


def _is_framed(head: AnswerHead) -> bool:
    names = {name for name, _ in head.headers}
    return bool(names & {b"content-length", b"transfer-encoding"})
