"""Relaying of a target's answer to the caller, for one try, driven by the try's messages."""

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
    Message,
)
from ..outcome import Completed
from ..platform.heads import answer_marks
from ..routes import Route
from ..scheduling.ledger import CALLER_WAIT_PAUSES_X, CALLER_WAIT_S, CALLER_WAIT_X
from .caller_answer import CallerAnswer
from .try_ends import (
    NOT_RUN_STATUSES,
    Done,
    FailedAnswer,
    Lost,
    Refused,
    TryEnd,
    Withheld,
    outcome_of_status,
)

__all__ = ["CallerGoneError", "EventRelay", "Relay", "WholeRelay", "caller_patience_s"]

REPEAT_SILENCE_X, REPEAT_SILENCE_S = 3.0, 0.5
"""A plain request that may be repeated is hedged after this many times its objective, but not
before so many seconds."""

FIRST_SILENCE_X, FIRST_SILENCE_S = 1.3, 0.4
"""A resumable stream whose first event is later than predicted by this factor and so many
seconds is hedged if its target gives no reports, or reports that it does not hold it: predictions
are 0.02 s off in the mean, where an engine's work is known."""

PAUSE_SILENCE_X, PAUSE_SILENCE_S = 3.0, 0.4
"""A resumable stream that pauses for longer than this many times the pause aimed at, and so many
seconds more, is hedged in the same cases."""

PATIENCE_SHARE = 0.7
"""A target that still reports is busy, not dead: a hedge would not make its stream timely, and
costs its prompt again. After this share of the time that the caller waits for an event it is
hedged all the same, so that it is late and not lost."""

SUSPECT_CHECK_S = 0.1
"""How often a quiet target is looked at again, in seconds."""

BUFFERED_BYTES = 262_144
"""A plain answer up to this size is sent on when it is whole, so that it can still be repeated."""


class CallerGoneError(Exception):
    """The caller has left."""


@dataclass
class Relay:
    """What both ways of relaying share; driven by the messages of one try.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    route : Route
        The request's.
    answer : CallerAnswer
        Where the answer goes.
    note_part : callable
        Called before each part that goes out at once.

    Attributes
    ----------
    quiet_until_s : float
        When `calls_for_hedge` is to be asked, by the clock, if nothing comes before.
    delivered : bool
        Whether something of this try has gone out to the caller.
    went_on : bool
        Whether something new has gone out with the last message; the task clears it before each.
    """

    clock: IReactorTime
    route: Route
    answer: CallerAnswer
    note_part: Callable[[], None]
    quiet_until_s: float = field(default=float("inf"), init=False)
    delivered: bool = field(default=False, init=False)
    went_on: bool = field(default=False, init=False)
    _head: AnswerHead | None = field(default=None, init=False)

    def take(self, message: Message) -> TryEnd | None:
        """Take a message of the try; return how the try ended, None if it goes on."""
        match message:
            case AnswerBroken(withheld=True, reason=reason):
                return Withheld(reason)
            case AnswerBroken(sent=False, reason=reason, unreachable=unreachable):
                return Refused(reason, at_target=unreachable)
            case AnswerBroken(reason=reason):
                return Lost(reason)
            case AnswerHead():
                self._head = message
                refused = _refusal(message)
                return self._begin() if refused is None else refused
            case AnswerData(data=data):
                return self._pass_on(data)
            case AnswerEnd():
                return self._finish()
        raise AssertionError(f"not a message of a try: {message}")

    @property
    def keeps_answer(self) -> bool:
        """Whether no other run can go on with what has gone out."""
        return False

    def leave_alone(self, for_s: float) -> None:
        """Leave the target alone for so many seconds at least."""
        self.quiet_until_s = max(self.quiet_until_s, self.clock.seconds() + for_s)

    def _deliver(self) -> None:
        """Note that something new goes out, and begin the answer."""
        self.delivered = self.went_on = True
        self.answer.begin(self._head)

    # What the two ways do differently.

    def calls_for_hedge(self, now_s: float) -> bool:
        """Whether the target has been silent for so long that another one should be asked."""
        raise NotImplementedError

    def caller_reads_again(self, now_s: float) -> None:
        """The answer is read again after a time in which the caller was too slow for it."""
        raise NotImplementedError

    def _begin(self) -> TryEnd | None:
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
        self.caller_reads_again(self.clock.seconds())

    @property
    def keeps_answer(self) -> bool:
        """Whether a part has gone out, which can't be joined with another run's."""
        return self.delivered

    def calls_for_hedge(self, _now_s: float) -> bool:
        """Whether another target should be asked: once this one is late beyond its objective."""
        return True

    def caller_reads_again(self, now_s: float) -> None:
        """Give the target its time again."""
        if self.delivered:
            return
        patience_s = max(REPEAT_SILENCE_S, REPEAT_SILENCE_X * self.route.objective_s)
        self.quiet_until_s = now_s + patience_s

    def _begin(self) -> None:
        if self.route.streaming and self._head.status == HTTPStatus.OK:
            self._begin_answer()

    def _pass_on(self, data: bytes) -> None:
        if self.delivered:
            self.note_part()
            self.answer.send(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > BUFFERED_BYTES:
            self._begin_answer()
            self.answer.send(b"".join(self._parts))
            self._parts = []

    def _finish(self) -> TryEnd:
        status, body = self._head.status, b"".join(self._parts)
        failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES
        if not self.delivered:
            if failed:
                return FailedAnswer(self._head, body)
            self._begin_answer()
            self.answer.send(body)
        self.answer.end()
        return Done(outcome_of_status(status))

    def _begin_answer(self) -> None:
        # Nobody else can go on with a part: this target keeps its answer, however silent it is.
        self.quiet_until_s = float("inf")
        self._deliver()


@dataclass
class EventRelay(Relay):
    """Passes on a stream event by event, so that another target can continue it.

    Parameters
    ----------
    first_event_s : float
        When the first event was predicted, in seconds from the start of the try.
    is_suspect : callable
        Whether the target has stopped giving reports.
    """

    first_event_s: float
    is_suspect: Callable[[], bool]
    _splitter: EventSplitter = field(default_factory=EventSplitter, init=False)
    _heard_s: float = field(default=0.0, init=False)
    _pause_s: float = field(default=0.0, init=False)
    _failure: list[bytes] = field(default_factory=list, init=False)

    def __post_init__(self) -> None:
        self._heard_s = self.clock.seconds()
        first_s = FIRST_SILENCE_X * self.first_event_s + FIRST_SILENCE_S
        self.quiet_until_s = self._heard_s + first_s
        self._pause_s = PAUSE_SILENCE_X * self.route.pause_objective_s + PAUSE_SILENCE_S

    def calls_for_hedge(self, now_s: float) -> bool:
        """Whether another target should be asked: sooner if this one gives no reports either."""
        patient_until_s = self._heard_s + PATIENCE_SHARE * caller_patience_s(self.route)
        if now_s >= patient_until_s or self.is_suspect():
            return True
        self.quiet_until_s = min(patient_until_s, now_s + SUSPECT_CHECK_S)
        return False

    def caller_reads_again(self, now_s: float) -> None:
        """Give the target its time again."""
        self._heard_s = now_s
        self.quiet_until_s = max(self.quiet_until_s, now_s + self._pause_s)

    def _begin(self) -> None:
        pass

    def _pass_on(self, data: bytes) -> None:
        if self._head.status != HTTPStatus.OK:
            self._failure.append(data)
            return
        for event in self._splitter.feed(data):
            self._heard_s = self.clock.seconds()
            self.quiet_until_s = self._heard_s + self._pause_s
            if not is_newer(event.event_id, self.answer.last_event_id):
                continue
            self._deliver()
            self.note_part()
            self.answer.send_event(event)

    def _finish(self) -> TryEnd:
        if self._head.status != HTTPStatus.OK:
            return FailedAnswer(self._head, b"".join(self._failure))
        rest = self._splitter.rest
        if rest and not _is_framed(self._head):
            return Lost("the stream ends within an event")
        self._deliver()
        self.answer.send(rest)
        self.answer.end()
        return Done(Completed())


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
