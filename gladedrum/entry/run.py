"""Processing of one completion request, from its arrival to its outcome."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from opentelemetry.trace import Span, Tracer, set_span_in_context
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import TargetRefusedError
from ..outcome import Completed, Failed, NotRun, Outcome, Unknown, outcome_name
from ..scheduling import Job, Refused
from ..table import EffectiveValues
from ..targets import Piece
from ..telemetry import Metrics, length_class, request_logger
from ..telemetry.traces import Traces, context_from_header, header_of_span
from ..utils import WebClient, retry_delay_s, sleep, start, with_timeout
from .attempt import Attempt, AttemptContext, Sink
from .lifecycle import new_lifecycle
from .placement import Placer, Reservation
from .requests import CompletionRequest
from .retries import RetryBudget

__all__ = ["CompletionRun", "RunContext"]

_log = logging.getLogger(__name__)

_MAX_ATTEMPTS = 4
_RETRY_FIRST_DELAY_S, _RETRY_MAX_DELAY_S = 0.05, 1.0


@dataclass
class RunContext:
    """State common to all runs on a box.

    Parameters
    ----------
    box : str
        Name of this box.
    clock : IReactorTime
        Monotonic clock and timers.
    now_s : callable
        Returns the time of the box's `DecisionClock`, in seconds.
    placer : Placer
        Places requests on targets.
    web : WebClient
        HTTP client for calls to the targets.
    metrics : Metrics
        The box's metrics.
    traces : Traces
        Source of trace spans.
    retries : RetryBudget
        Limit on retries.
    own_sessions : set of str
        Ids of the sessions that this box waits for, and of its running requests that hold an
        idempotency key.
    rng : random.Random
        Source of jitter for retry delays.
    """

    box: str
    clock: IReactorTime
    now_s: Callable[[], float]
    placer: Placer
    web: WebClient
    metrics: Metrics
    traces: Traces
    retries: RetryBudget
    own_sessions: set[str]
    rng: random.Random = field(default_factory=random.Random)


class CompletionRun:
    """Places a request, makes attempts until one decides its outcome, and reports metrics.

    Parameters
    ----------
    ctx : RunContext
        State common to all runs.
    request_id : str
        Request id that is returned to the caller.
    req : CompletionRequest
        The request.
    prompt_tokens : int
        Estimated length of the prompt.
    prefix : tuple of int
        Digests of the prompt's prefixes; see `prefix_digests`.
    params : EffectiveValues
        Weights and limits of the table that apply to the request.
    sink : Sink
        Receiver of the answer.
    """

    def __init__(
        self,
        ctx: RunContext,
        request_id: str,
        req: CompletionRequest,
        prompt_tokens: int,
        prefix: tuple[int, ...],
        params: EffectiveValues,
        sink: Sink,
    ):
        self._ctx = ctx
        self._id = request_id
        self._req = req
        self._prompt_tokens = prompt_tokens
        self._prefix = prefix
        self._params = params
        self._sink = sink
        self._lifecycle = new_lifecycle()
        self._offset = 0
        self._attempt_count = 0
        self._arrival_s = ctx.now_s()
        self._deadline_s = self._arrival_s + self._time_limit_s()
        self._last_piece_s: float | None = None
        # The reservation for which the first token has not been reported to the owner.
        self._awaiting_first_token: Reservation | None = None
        self._failed_targets: frozenset[str] = frozenset()
        self._log = request_logger(_log, request_id)
        self._attempt_context = AttemptContext(
            box=ctx.box,
            clock=ctx.clock,
            web=ctx.web,
            placer=ctx.placer,
            own_sessions=ctx.own_sessions,
            rng=ctx.rng,
            lifecycle=self._lifecycle,
            sink=sink,
            time_left_s=lambda: self._deadline_s - ctx.now_s(),
            offset=lambda: self._offset,
            on_pieces=self._on_pieces,
            on_dropped=self._on_dropped,
            on_target_failure=self._on_target_failure,
        )

    @property
    def offset(self) -> int:
        """Number of answer tokens passed to the sink."""
        return self._offset

    async def run(self) -> Outcome:
        """Process the request until its deadline and return its outcome.

        Cancelling the run also cancels its sessions on the targets.
        """
        parent = context_from_header(self._req.traceparent)
        length = length_class(self._prompt_tokens)
        self._ctx.metrics.in_flight.inc()
        with self._ctx.traces.tracer.start_as_current_span("entry", context=parent) as span:
            span.set_attribute("gladedrum.request_id", self._id)
            span.set_attribute("gladedrum.prompt_tokens", self._prompt_tokens)
            try:
                outcome = await self._run_with_deadline(span)
            except defer.CancelledError:
                outcome = self._lifecycle.outcome_if_ended("the caller has gone")
            except Exception:
                self._log.exception("request failed with an internal error")
                outcome = self._lifecycle.outcome_if_ended("a fault in the serving layer")
            finally:
                self._ctx.metrics.in_flight.dec()
            span.set_attribute("gladedrum.outcome", outcome_name(outcome))
        self._ctx.metrics.outcomes.labels(outcome_name(outcome), length).inc()
        self._log_end(outcome)
        return outcome

    def _time_limit_s(self) -> float:
        params = self._params
        longest_s = params.number("max_deadline_s")
        if self._req.timeout_s is not None:
            return min(self._req.timeout_s, longest_s)
        per_token_s = params.number("deadline_s_per_1k") / 1_000
        return min(params.number("deadline_s") + per_token_s * self._prompt_tokens, longest_s)

    async def _run_with_deadline(self, span: Span) -> Outcome:
        try:
            left_s = self._deadline_s - self._ctx.now_s()
            return await with_timeout(self._ctx.clock, left_s, self._attempt_until_done(span))
        except TimeoutError:
            match self._lifecycle.outcome_if_ended("its time is up"):
                case Failed(reason=reason):
                    return Failed(reason, HTTPStatus.GATEWAY_TIMEOUT)
                case Unknown(reason=reason):
                    return Unknown(reason, HTTPStatus.GATEWAY_TIMEOUT)
                case outcome:
                    return outcome

    async def _attempt_until_done(self, span: Span) -> Outcome:
        excluded: frozenset[str] = frozenset()
        self._ctx.retries.note_first_attempt(self._params.number("retry_share"))
        while True:
            self._attempt_count += 1
            reservations = await self._place(excluded, span)
            if isinstance(reservations, Refused):
                return self._refusal_outcome(reservations)
            outcome = await self._attempt(reservations, span)
            if outcome is not None:
                return outcome
            excluded = self._failed_targets
            if self._attempt_count >= _MAX_ATTEMPTS or not self._ctx.retries.try_withdraw():
                return self._lifecycle.outcome_if_ended(
                    "the targets did not serve it, and no retry is left"
                )
            pause_s = retry_delay_s(
                self._attempt_count, _RETRY_FIRST_DELAY_S, _RETRY_MAX_DELAY_S, self._ctx.rng
            )
            await sleep(self._ctx.clock, pause_s)

    def _refusal_outcome(self, refused: Refused) -> Outcome:
        match self._lifecycle.outcome_if_ended(refused.reason):
            case NotRun(reason=reason):
                return NotRun(reason, refused.retry_after_s)
            case outcome:
                return outcome

    async def _place(
        self, excluded: frozenset[str], span: Span
    ) -> tuple[Reservation, ...] | Refused:
        job = Job(
            job_id=f"{self._id}.{self._attempt_count}",
            organisation=self._req.organisation,
            request_class=self._req.request_class,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._req.max_tokens,
            arrival_s=self._arrival_s,
            deadline_s=self._deadline_s,
            weight=self._params.number("weight"),
            prefix=self._prefix,
            entry_box=self._ctx.box,
        )
        with _child_span(self._ctx.traces.tracer, "place", span) as place_span:
            reservations = await self._ctx.placer.place(
                job,
                self._req.model,
                self._params.name("policy"),
                excluded,
                header_of_span(place_span),
            )
            if not isinstance(reservations, Refused):
                names = [reservation.target.name for reservation in reservations]
                place_span.set_attribute("gladedrum.targets", names)
                place_span.set_attribute("gladedrum.owner", reservations[-1].owner.name)
            return reservations

    async def _attempt(self, reservations: tuple[Reservation, ...], span: Span) -> Outcome | None:
        """Make one attempt; return None if the request may be retried on other targets."""
        self._awaiting_first_token = reservations[-1]
        attempt = Attempt(
            self._attempt_context,
            reservations,
            self._req.model,
            self._req.prompt,
            self._req.max_tokens,
            self._may_repeat(),
        )
        completed = False
        try:
            with _child_span(self._ctx.traces.tracer, "target", span) as target_span:
                target_span.set_attribute("gladedrum.session_id", reservations[-1].job.job_id)
                outcome = await attempt.run(target_span)
            completed = isinstance(outcome, Completed)
            return outcome
        finally:
            if completed and not attempt.is_segmented:
                attempt.release()
            else:
                start(attempt.clean_up())

    def _may_repeat(self) -> bool:
        if self._req.idempotency_key:
            return False
        if self._req.may_repeat is not None:
            return self._req.may_repeat
        return self._params.flag("may_repeat")

    def _on_pieces(self, pieces: list[Piece]) -> None:
        now_s = self._ctx.now_s()
        if self._last_piece_s is None:
            length = length_class(self._prompt_tokens)
            self._ctx.metrics.first_token_s.labels(length).observe(now_s - self._arrival_s)
            self._lifecycle.answer()
        else:
            between_s = (now_s - self._last_piece_s) / len(pieces)
            self._ctx.metrics.between_tokens_s.observe(between_s)
        if self._awaiting_first_token is not None:
            self._ctx.placer.first_token(self._awaiting_first_token)
            self._awaiting_first_token = None
        self._last_piece_s = now_s
        self._offset = pieces[-1].offset + 1
        self._sink.pieces(pieces)

    def _on_dropped(self, why: str) -> None:
        self._ctx.metrics.dropped_pieces.labels(why).inc()

    def _on_target_failure(self, reservation: Reservation, exc: Exception) -> None:
        self._log.warning(
            "attempt at a target failed",
            extra={"target": reservation.target.name, "reason": str(exc), "offset": self._offset},
        )
        self._failed_targets |= {reservation.target.name}
        if not isinstance(exc, TargetRefusedError):
            self._ctx.placer.avoid(reservation.target.name)

    def _log_end(self, outcome: Outcome) -> None:
        self._log.info(
            "request ended",
            extra={
                "outcome": outcome_name(outcome),
                "reason": getattr(outcome, "reason", ""),
                "organisation": self._req.organisation,
                "class": self._req.request_class,
                "prompt_tokens": self._prompt_tokens,
                "answer_tokens": self._offset,
                "tries": self._attempt_count,
                "seconds": round(self._ctx.now_s() - self._arrival_s, 4),
            },
        )


def _child_span(tracer: Tracer, name: str, parent: Span):
    return tracer.start_as_current_span(name, context=set_span_in_context(parent))
