"""Relaying of a target's answer to the caller, driven by the messages of one attempt.

Resumable streams are relayed event by event (`EventRelay`), all other answers as a whole or as
they come (`WholeRelay`). A relay also decides when a silent target calls for a hedge.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from twisted.internet.interfaces import IReactorTime

from ..connections.events import Event, EventSplitter, StreamPosition
from ..connections.messages import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    EndChecked,
    EndMark,
    Message,
    TargetLife,
)
from ..connections.self_delimiting import shown_by_content
from ..outcome import Completed
from ..platform.headers import parse_answer_headers
from ..routes import Route
from ..scheduling.ledger import (
    CALLER_WAIT_OBJECTIVE_FACTOR,
    CALLER_WAIT_PAUSE_FACTOR,
    MIN_CALLER_WAIT_S,
)
from .attempt_ends import (
    NOT_RUN_STATUSES,
    AttemptEnd,
    Done,
    EndNotShown,
    FailedAnswer,
    Lost,
    Refused,
    Unreachable,
    Withheld,
    outcome_of_status,
)
from .caller_answer import CallerAnswer

__all__ = ["CallerGoneError", "EventRelay", "Relay", "WholeRelay", "caller_timeout_s"]
__all__ += ["first_event_limit_s", "pause_limit_s"]

PLAIN_SILENCE_FACTOR, PLAIN_SILENCE_MIN_S = 3.0, 0.5
"""An idempotent plain request is hedged after `PLAIN_SILENCE_FACTOR` times its objective, but
not before `PLAIN_SILENCE_MIN_S`."""

FIRST_EVENT_FACTOR, FIRST_EVENT_MARGIN_S = 1.3, 0.4
"""The first event of a resumable stream is late after `FIRST_EVENT_FACTOR` times its predicted
time plus `FIRST_EVENT_MARGIN_S`. The stream is then hedged if the target sends no
reports or its report shows that it does not hold the request. Predictions are 0.02 s off in the
mean, where an engine's work is known."""

PAUSE_FACTOR, PAUSE_MARGIN_S = 3.0, 0.4
"""A pause in a resumable stream is too long after `PAUSE_FACTOR` times the route's pause objective
plus `PAUSE_MARGIN_S`. The stream is then hedged under the same conditions."""

LATEST_HEDGE_SHARE = 0.7
"""A late stream of a target that still reports is hedged only after this share of the caller's
timeout: the target is busy, and a hedge would read the prompt again and be late as well. It is
hedged then all the same, so that it is late and not lost."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks of a silent target, in seconds."""

BROKEN = "broken"
"""How an answer has ended that was cut, reset or malformed; see `Relay.ended_by`."""

SHOWN_BY_CONTENT = "close, shown by its content"
"""How an answer has ended whose body shows by itself that it is whole; see `Relay.ended_by`."""

CONTENT_CUT = "the content of the answer is cut"
"""Why an answer without a length or chunks is not whole that shows so by itself."""

NOTHING_SENT = "nothing follows the head of the answer"
"""Why an answer is not whole that has neither a length nor a body."""

WITHIN_EVENT = "the stream ends within an event"
"""Why an answer without a length or chunks is not whole, although its connection has ended."""

STREAM_END_NOT_SHOWN = "nothing shows the end of the stream"
BODY_END_NOT_SHOWN = "nothing shows the end of the answer"
"""Why a request runs again although its target has closed the connection in order and lives."""

ENDS_BEFORE_SENT = "the stream ends before what another target has sent"
"""Why a stream goes on at another target although the last one has marked its end."""

EVENT_TOO_LONG = "an event of the stream does not end"
"""Why a stream is not read on, see `MAX_EVENT_BYTES`."""

UNSIGNED = "a success without the target's signature"
"""Why an answer cannot be shown to be that of the target."""

BUFFERED_BYTES = 262_144
"""Plain answers up to this size are buffered until complete, so that the request can be retried if
the target fails."""

MAX_ERROR_BYTES = 4_194_304
"""The text of an error up to this size is held until complete, as long as the longest body that
callers usually may send; a longer one is not read to its end."""

ERROR_TEXT_S = 2.0
"""How long the text of an error may take after its head, in seconds. Sound targets may fall silent
for a second or so."""

UNUSED_TEXT_S = 0.1
"""The same for a text that cannot be passed on, in seconds: time to keep the connection if the text
comes with its head."""


class CallerGoneError(Exception):
    """The caller has left."""


@dataclass
class Relay:
    """Common part of the relays.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    route : Route
        The route of the request.
    answer : CallerAnswer
        Writes the answer to the caller.
    note_part : callable
        Called before each part that is sent without buffering.
    note_events : callable
        Called with the number of events, beyond the first, that a part of a stream has completed.

    Attributes
    ----------
    next_check_s : float
        When to call `needs_hedge` if no message comes before, by the monotonic clock.
    delivered : bool
        Whether the head or a part of this attempt's answer was sent to the caller.
    made_progress : bool
        Whether the last message sent something new to the caller; the user of the relay resets it.
    error_due_s : float
        When the text of an error is late, by the monotonic clock; infinite for other answers.
    ended_by : str
        How the target's answer has ended, for logs and metrics: the value of an `EndMark`, with
        that of a `TargetLife` if it was checked, or ``broken``; empty while it has not.
    awaits_check : bool
        Whether the answer is held until a check shows whether its target lives on.
    refutes_end : bool
        Whether the answer goes on where an earlier run has ended without a mark.
    """

    clock: IReactorTime
    route: Route
    answer: CallerAnswer
    note_part: Callable[[], None]
    note_events: Callable[[int], None]
    next_check_s: float = field(default=float("inf"), init=False)
    delivered: bool = field(default=False, init=False)
    made_progress: bool = field(default=False, init=False)
    error_due_s: float = field(default=float("inf"), init=False)
    ended_by: str = field(default="", init=False)
    awaits_check: bool = field(default=False, init=False)
    refutes_end: bool = field(default=False, init=False)
    _head: AnswerHead | None = field(default=None, init=False)
    _held: bytearray = field(default_factory=bytearray, init=False)

    def handle(self, message: Message) -> AttemptEnd | None:
        """Handle a message of the attempt; return how the attempt ended, None if it goes on."""
        match message:
            case AnswerBroken(withheld=True, reason=reason):
                return Withheld(reason)
            case AnswerBroken(unreachable=True, reason=reason):
                return Unreachable(reason)
            case AnswerBroken(sent=False, reason=reason):
                return Refused(reason, at_target=False)
            case AnswerBroken(reason=reason):
                self.ended_by = BROKEN
                return Lost(reason)
            case AnswerHead():
                self._head = message
                if self._is_error:
                    self.postpone_error(UNUSED_TEXT_S if self._is_unusable else ERROR_TEXT_S)
                end = _refusal(message) or _unsigned(message)
                return self._begin() if end is None else end
            case AnswerData(data=data):
                end = self._relay_data(data)
                self.answer.note_partial(message.attempt, self.held_bytes)
                return end
            case AnswerEnd():
                self.ended_by = self._head.mark.value
                return self._finish() if self.is_framed else self._finish_by_close()
            case EndChecked(life=life):
                self.ended_by = f"{self.ended_by}, {life.value}"
                return self._finish_unmarked(life)
        raise AssertionError(f"unexpected message of an attempt: {message}")

    @property
    def is_unresumable(self) -> bool:
        """Whether a part was sent that no other attempt can continue."""
        return False

    @property
    def is_framed(self) -> bool:
        """Whether HTTP marks the end of the answer; if not, a closed connection does."""
        return self._head is not None and self._head.mark is not EndMark.CLOSE

    def _finish_by_close(self) -> AttemptEnd | None:
        """Handle the orderly close of the connection of an answer that nothing else ends.

        Unless the answer can't be whole, or is not passed on, a check of the target decides.
        """
        if self._is_error and self._is_unusable:
            return self.end_error()
        if self._is_success and (reason := self._cut_reason()):
            return Lost(reason)
        match self._shown_by_content():
            case True:
                self.ended_by = SHOWN_BY_CONTENT
                return self._finish()
            case False:
                return Lost(CONTENT_CUT)
        self.awaits_check = True
        # The target is silent from now on.
        self.next_check_s = self.error_due_s = float("inf")
        return None

    def _finish_unmarked(self, life: TargetLife) -> AttemptEnd:
        """Handle the end of an answer that nothing marks, once its target has been checked."""
        if life is TargetLife.GONE:
            return Lost(life.value)
        if self.can_be_shown:
            return self._compare_ends()
        return self._finish() if life is TargetLife.LIVES else Lost(life.value)

    def postpone_check(self, for_s: float) -> None:
        """Delay the next silence check by at least `for_s` seconds from now."""
        self.next_check_s = max(self.next_check_s, self.clock.seconds() + for_s)

    @property
    def _is_error(self) -> bool:
        """Whether the answer is a client's or server's error."""
        return self._head.status >= HTTPStatus.BAD_REQUEST

    @property
    def _is_success(self) -> bool:
        return HTTPStatus.OK <= self._head.status < HTTPStatus.MULTIPLE_CHOICES

    @property
    def _is_unusable(self) -> bool:
        """Whether the answer says that a request has not run that may have run."""
        return self._head.status in NOT_RUN_STATUSES and not self.route.idempotent

    def postpone_error(self, for_s: float) -> None:
        """Set the time at which the text of an error is late to `for_s` seconds from now."""
        self.error_due_s = self.clock.seconds() + for_s

    def end_error(self) -> FailedAnswer:
        """Return the end of an attempt whose error has no whole text."""
        return FailedAnswer(self._head, None)

    def _hold_error(self, data: bytes) -> FailedAnswer | None:
        """Hold a part of an error's text; return the end of the attempt if the text is too long.

        Whether the caller gets it is decided once the attempt has ended, whatever its length.
        """
        self._held += data
        return self.end_error() if len(self._held) > MAX_ERROR_BYTES else None

    def _take_held(self) -> bytes:
        """Return what is held, and hold it no more."""
        held, self._held = bytes(self._held), bytearray()
        return held

    def _note_progress(self) -> None:
        """Record that something new is sent, and send the head if it is the first."""
        self.delivered = self.made_progress = True
        self.answer.begin(self._head)

    # Implemented by subclasses.

    @property
    def held_bytes(self) -> int:
        """Bytes that are held back until a part of the answer is whole."""
        raise NotImplementedError

    def needs_hedge(self, now_s: float) -> bool:
        """Whether the target has been silent for too long, so that a hedge is needed."""
        raise NotImplementedError

    def reading_resumed(self, now_s: float) -> None:
        """Restart the silence timeout: the answer was not read while the caller was too slow."""
        raise NotImplementedError

    def _begin(self) -> AttemptEnd | None:
        """Handle the head of an answer that is not a refusal."""
        raise NotImplementedError

    def _cut_reason(self) -> str:
        """Return why a success that ends now with its connection can't be whole, empty if it can.

        One without content has a length of 0, or a status that says so.
        """
        raise NotImplementedError

    def _shown_by_content(self) -> bool | None:
        """Return whether the body is whole, as far as it shows that by itself."""
        return None

    def _relay_data(self, data: bytes) -> AttemptEnd | None:
        """Handle a part of the body."""
        raise NotImplementedError

    def _finish(self) -> AttemptEnd:
        """Handle the end of the body."""
        raise NotImplementedError

    @property
    def can_be_shown(self) -> bool:
        """Whether a further run can show that an answer without a marked end is whole."""
        raise NotImplementedError

    def _compare_ends(self) -> AttemptEnd:
        """Handle an end that nothing marks, which another run has to confirm."""
        raise NotImplementedError


@dataclass
class WholeRelay(Relay):
    """Relays a plain answer, buffered up to `BUFFERED_BYTES`, or a stream that is not resumable."""

    _splitter: EventSplitter | None = field(default=None, init=False)
    _has_body: bool = field(default=False, init=False)

    def __post_init__(self) -> None:
        self.reading_resumed(self.clock.seconds())

    @property
    def held_bytes(self) -> int:
        """Bytes of an answer that is not whole yet."""
        return len(self._held)

    @property
    def is_unresumable(self) -> bool:
        """Whether a part was sent; another attempt's answer cannot be joined to it."""
        return self.delivered

    def needs_hedge(self, _now_s: float) -> bool:
        """Whether a hedge is needed: always, as the first check is made when the answer is late."""
        return True

    def reading_resumed(self, now_s: float) -> None:
        """Restart the silence timeout, unless a part of the answer was sent."""
        if self.delivered:
            return
        silence_limit_s = max(PLAIN_SILENCE_MIN_S, PLAIN_SILENCE_FACTOR * self.route.objective_s)
        self.next_check_s = now_s + silence_limit_s

    def _begin(self) -> None:
        if self.route.streaming and self._head.status == HTTPStatus.OK:
            self._splitter = EventSplitter()
            self._begin_answer()

    def _relay_data(self, data: bytes) -> AttemptEnd | None:
        self._has_body = self._has_body or bool(data)
        if self._is_error:
            return self._hold_error(data)
        if self._splitter is not None:
            self.note_events(max(0, len(self._splitter.feed(data)) - 1))
            if self._splitter.is_too_long:
                return Lost(EVENT_TOO_LONG)
        if self.delivered:
            self.note_part()
            self.answer.send(data)
            return None
        self._held += data
        if len(self._held) > BUFFERED_BYTES:
            self._begin_answer()
            self.answer.send(self._take_held())
        return None

    def _cut_reason(self) -> str:
        if self._splitter is not None and self._splitter.held_bytes:
            return WITHIN_EVENT
        return "" if self._has_body else NOTHING_SENT

    def _shown_by_content(self) -> bool | None:
        if self.delivered:
            return None
        return shown_by_content(self._head.headers, bytes(self._held))

    def _finish(self) -> AttemptEnd:
        status, body = self._head.status, self._take_held()
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES:
            return FailedAnswer(self._head, body)
        if not self.delivered:
            self._begin_answer()
            self.answer.send(body)
        self.answer.end()
        return Done(outcome_of_status(status))

    @property
    def can_be_shown(self) -> bool:
        """Whether the success is held and may run again."""
        may_compare = self.route.idempotent and self.route.max_targets > 1
        return self._is_success and may_compare and not self.delivered

    def _compare_ends(self) -> AttemptEnd:
        """Take the answer for whole if two runs have sent equally long bodies."""
        before = self.answer.unmarked_body_bytes
        if before == len(self._held):
            return self._finish()
        self.refutes_end = before is not None and before < len(self._held)
        self.answer.unmarked_body_bytes = len(self._held)
        return EndNotShown(BODY_END_NOT_SHOWN)

    def _begin_answer(self) -> None:
        # No other attempt can continue this answer, so the target is not checked any more.
        self.next_check_s = float("inf")
        self._note_progress()


@dataclass
class EventRelay(Relay):
    """Relays a stream event by event, so that another target can resume it.

    Parameters
    ----------
    first_event_s : float
        Predicted time from the start of the attempt to its first event, in seconds.
    answer_unlikely : callable
        Returns whether the target has stopped sending reports or appears to have lost the request.
    resumed_after : callable
        Returns the id of the event after which the target was asked to go on, None to begin as the
        caller asked.
    """

    first_event_s: float
    answer_unlikely: Callable[[], bool]
    resumed_after: Callable[[], bytes | None]
    _splitter: EventSplitter = field(default_factory=EventSplitter, init=False)
    _last_event_s: float = field(default=0.0, init=False)
    _max_pause_s: float = field(default=0.0, init=False)
    _position: StreamPosition = field(default=StreamPosition(), init=False)

    def __post_init__(self) -> None:
        self._last_event_s = self.clock.seconds()
        self.next_check_s = self._last_event_s + first_event_limit_s(self.first_event_s)
        self._max_pause_s = pause_limit_s(self.route)

    @property
    def held_bytes(self) -> int:
        """Bytes of an event that is not whole yet, and of a failure's text."""
        return self._splitter.held_bytes + len(self._held)

    def needs_hedge(self, now_s: float) -> bool:
        """Whether a hedge is needed: now if no answer is likely, else near the caller timeout."""
        latest_hedge_s = self._last_event_s + LATEST_HEDGE_SHARE * caller_timeout_s(self.route)
        if now_s >= latest_hedge_s or self.answer_unlikely():
            return True
        self.next_check_s = min(latest_hedge_s, now_s + CHECK_INTERVAL_S)
        return False

    def reading_resumed(self, now_s: float) -> None:
        """Restart the silence timeout."""
        self._last_event_s = now_s
        self.next_check_s = max(self.next_check_s, now_s + self._max_pause_s)

    def _begin(self) -> None:
        pass

    def _relay_data(self, data: bytes) -> AttemptEnd | None:
        if self._head.status != HTTPStatus.OK:
            return self._hold_error(data)
        events = self._splitter.feed(data)
        if events:
            self._last_event_s = self.clock.seconds()
            self.next_check_s = self._last_event_s + self._max_pause_s
            self.note_events(len(events) - 1)
        if new := self._select_new(events):
            if any(not event.is_comment for event in new):
                self.refutes_end = self.answer.unmarked_end is not None
            self._note_progress()
            self.note_part()
            self.answer.send_events(new)
        return Lost(EVENT_TOO_LONG) if self._splitter.is_too_long else None

    def _select_new(self, events: list[Event]) -> list[Event]:
        """Return the events that the caller does not have, and comments."""
        new, sent = [], self.answer.position
        for event in events:
            self._position = self._position.after(event)
            if event.is_comment:
                is_new = self.answer.takes_comments_of(self._head)
            else:
                is_new = self._position.is_ahead_of(sent) and not self._repeats
            if is_new:
                new.append(event)
        return new

    @property
    def _repeats(self) -> bool:
        """Whether the target is still before the last event with an id that the caller has.

        A run that shows an end goes on before it, and may begin with events without an id.
        """
        return (
            self._position.event_id is None
            and self.resumed_after() != self.answer.position.event_id
        )

    @property
    def _ends_before_sent(self) -> bool:
        """Whether the target has repeated events, but not all that the caller has."""
        return self._position.event_id is not None and self.answer.position.is_ahead_of(
            self._position
        )

    def _cut_reason(self) -> str:
        return WITHIN_EVENT if self._splitter.held_bytes else ""

    def _finish(self) -> AttemptEnd:
        if self._head.status != HTTPStatus.OK:
            return FailedAnswer(self._head, self._take_held())
        if self._ends_before_sent:
            return Lost(ENDS_BEFORE_SENT)
        return self._end_answer()

    @property
    def can_be_shown(self) -> bool:
        """Whether it is a stream, not the text of a failure."""
        return self._head.status == HTTPStatus.OK

    def _compare_ends(self) -> AttemptEnd:
        """Take the stream for whole if two runs have ended after the event that they sent last."""
        if self._ends_before_sent:
            return Lost(ENDS_BEFORE_SENT)
        answer = self.answer
        has_sent_end = self._position != StreamPosition() and self._position == answer.position
        if has_sent_end and self._position == answer.unmarked_end:
            return self._end_answer()
        answer.note_unmarked_end(has_sent_end)
        return EndNotShown(STREAM_END_NOT_SHOWN)

    def _end_answer(self) -> Done:
        self._note_progress()
        self.answer.send(self._splitter.remainder)
        self.answer.end()
        return Done(Completed())


def _refusal(head: AnswerHead) -> Refused | None:
    metadata = parse_answer_headers(head.status, head.headers)
    if not metadata.not_run:
        return None
    return Refused(
        f"status {head.status} from the target", at_target=True, at_fault=metadata.at_fault
    )


def _unsigned(head: AnswerHead) -> Lost | None:
    """Return `Lost` for a success without the target's signature; callers cannot use it."""
    is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
    if not is_success or parse_answer_headers(head.status, head.headers).signed:
        return None
    return Lost(UNSIGNED)


def first_event_limit_s(first_event_s: float) -> float:
    """Return after how many seconds a first event that was predicted after so many is late."""
    return FIRST_EVENT_FACTOR * first_event_s + FIRST_EVENT_MARGIN_S


def pause_limit_s(route: Route) -> float:
    """Return how long a pause between events may last before it is too long, in seconds."""
    return PAUSE_FACTOR * route.pause_objective_s + PAUSE_MARGIN_S


def caller_timeout_s(route: Route) -> float:
    """Return how long a caller waits for an event before it closes the stream, in seconds."""
    return max(
        MIN_CALLER_WAIT_S,
        CALLER_WAIT_OBJECTIVE_FACTOR * route.objective_s,
        CALLER_WAIT_PAUSE_FACTOR * route.pause_objective_s,
    )
