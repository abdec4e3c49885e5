"""The life of one completion request, from its arrival to its outcome."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from opentelemetry.trace import Span, Tracer, set_span_in_context
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import TargetBrokenError, TargetRefusedError, TargetUnreachableError
from ..outcome import Completed, Failed, NotRun, Outcome, Unknown, outcome_name
from ..scheduling import Job, Refused
from ..table import Effective
from ..targets import AnswerStream, EngineClient, EngineRequest, Piece
from ..telemetry import (
    Metrics,
    Traces,
    context_from_header,
    header_of_span,
    length_class,
    request_logger,
)
from ..utils import WebClient, backoff_s, sleep, start, with_timeout
from .lifecycle import new_lifecycle
from .placement import Placed, Placer
from .requests import CallerRequest
from .retries import RetryBudget

__all__ = ["CompletionRun", "RunContext", "Sink"]

_log = logging.getLogger(__name__)

_MAX_TRIES = 4
_CANCEL_TRIES = 5
_CANCEL_FIRST_S, _CANCEL_LONGEST_S = 0.2, 5.0
_RETRY_FIRST_S, _RETRY_LONGEST_S = 0.05, 1.0


class Sink(Protocol):
    """Where the pieces of an answer go."""

    def piece(self, piece: Piece) -> None:
        """Take a piece."""

    def attach(self, stream: AnswerStream) -> None:
        """Take note of the stream that the pieces come from, to pause it when need be."""


@dataclass
class RunContext:
    """What all runs of a box share.

    Parameters
    ----------
    box : str
        The name of this box.
    clock : IReactorTime
        A monotonic clock and timers.
    now_s : callable
        The decision clock, in seconds.
    placer : Placer
        Finds targets.
    web : WebClient
        Speaks to them.
    metrics : Metrics
        Told what happens.
    traces : Traces
        Gives spans.
    retries : RetryBudget
        Allows retries.
    own_sessions : set of str
        The sessions that this box awaits.
    rng : random.Random
        Spreads retries in time.
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
    """One request on its way.

    Parameters
    ----------
    ctx : RunContext
        Shared by all runs.
    request_id : str
        The id that the caller is told.
    req : CallerRequest
        The request.
    prompt_tokens : int
        The estimated length of the prompt.
    prefix : tuple of int
        Digests of its leading part.
    knobs : Effective
        What the table says for it.
    sink : Sink
        Where the answer goes.
    """

    def __init__(
        self,
        ctx: RunContext,
        request_id: str,
        req: CallerRequest,
        prompt_tokens: int,
        prefix: tuple[int, ...],
        knobs: Effective,
        sink: Sink,
    ):
        self._ctx = ctx
        self._id = request_id
        self._req = req
        self._prompt_tokens = prompt_tokens
        self._prefix = prefix
        self._knobs = knobs
        self._sink = sink
        self._life = new_lifecycle()
        self._offset = 0
        self._tries = 0
        self._arrival_s = ctx.now_s()
        self._deadline_s = self._arrival_s + self._time_s()
        self._last_piece_s: float | None = None
        self._placed: Placed | None = None
        self._log = request_logger(_log, request_id)

    @property
    def offset(self) -> int:
        """The number of answer tokens that have been handed on."""
        return self._offset

    async def run(self) -> Outcome:
        """Serve the request within its time and return its outcome.

        Cancelling the run ends the session on the target too.
        """
        parent = context_from_header(self._req.traceparent)
        length = length_class(self._prompt_tokens)
        self._ctx.metrics.in_flight.inc()
        with self._ctx.traces.tracer.start_as_current_span("entry", context=parent) as span:
            span.set_attribute("gladedrum.request_id", self._id)
            span.set_attribute("gladedrum.prompt_tokens", self._prompt_tokens)
            try:
                outcome = await self._run_in_time(span)
            except defer.CancelledError:
                outcome = self._life.lost("the caller has gone")
            except Exception:
                self._log.exception("request failed by a fault of ours")
                outcome = self._life.lost("a fault in the serving layer")
            finally:
                self._ctx.metrics.in_flight.dec()
            span.set_attribute("gladedrum.outcome", outcome_name(outcome))
        self._ctx.metrics.outcomes.labels(outcome_name(outcome), length).inc()
        self._report(outcome)
        return outcome

    def _time_s(self) -> float:
        knobs = self._knobs
        longest_s = knobs.number("max_deadline_s")
        if self._req.timeout_s is not None:
            return min(self._req.timeout_s, longest_s)
        per_token_s = knobs.number("deadline_s_per_1k") / 1_000
        return min(knobs.number("deadline_s") + per_token_s * self._prompt_tokens, longest_s)

    async def _run_in_time(self, span: Span) -> Outcome:
        try:
            left_s = self._deadline_s - self._ctx.now_s()
            return await with_timeout(self._ctx.clock, left_s, self._try_until_done(span))
        except TimeoutError:
            match self._life.lost("its time is up"):
                case Failed(reason=reason):
                    return Failed(reason, HTTPStatus.GATEWAY_TIMEOUT)
                case Unknown(reason=reason):
                    return Unknown(reason, HTTPStatus.GATEWAY_TIMEOUT)
                case outcome:
                    return outcome

    async def _try_until_done(self, span: Span) -> Outcome:
        excluded: frozenset[str] = frozenset()
        self._ctx.retries.note_first_try(self._knobs.number("retry_share"))
        while True:
            self._tries += 1
            placed = await self._place(excluded, span)
            if isinstance(placed, Refused):
                return self._refused(placed)
            outcome = await self._serve(placed, span)
            if outcome is not None:
                return outcome
            excluded |= {placed.target.name}
            reason = f"target {placed.target.name} did not serve it"
            if self._tries >= _MAX_TRIES or not self._ctx.retries.take():
                return self._life.lost(f"{reason}, and no retry is left")
            pause_s = backoff_s(self._tries, _RETRY_FIRST_S, _RETRY_LONGEST_S, self._ctx.rng)
            await sleep(self._ctx.clock, pause_s)

    def _refused(self, refused: Refused) -> Outcome:
        match self._life.lost(refused.reason):
            case NotRun(reason=reason):
                return NotRun(reason, refused.retry_after_s)
            case outcome:
                return outcome

    async def _place(self, excluded: frozenset[str], span: Span) -> Placed | Refused:
        job = Job(
            job_id=f"{self._id}.{self._tries}",
            organisation=self._req.organisation,
            request_class=self._req.request_class,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._req.max_tokens,
            arrival_s=self._arrival_s,
            deadline_s=self._deadline_s,
            weight=self._knobs.number("weight"),
            prefix=self._prefix,
            entry_box=self._ctx.box,
        )
        with _child_span(self._ctx.traces.tracer, "place", span) as place_span:
            placed = await self._ctx.placer.place(
                job, self._req.model, self._knobs.name("policy"), excluded
            )
            if isinstance(placed, Placed):
                place_span.set_attribute("gladedrum.target", placed.target.name)
                place_span.set_attribute("gladedrum.owner", placed.owner.name)
            return placed

    async def _serve(self, placed: Placed, span: Span) -> Outcome | None:
        """Run the request on a target; None if another target may be tried."""
        session_id = placed.job.job_id
        self._placed = placed
        self._ctx.own_sessions.add(session_id)
        engine = EngineClient(placed.target.url, self._ctx.web)
        ended = False
        try:
            with _child_span(self._ctx.traces.tracer, "target", span) as target_span:
                target_span.set_attribute("gladedrum.session_id", session_id)
                outcome = await self._attempt(engine, placed, target_span)
            ended = isinstance(outcome, Completed)
            return outcome
        finally:
            if ended:
                self._let_go(placed)
            else:
                start(self._clean_up(engine, placed))

    async def _attempt(self, engine: EngineClient, placed: Placed, span: Span) -> Outcome | None:
        req = EngineRequest(
            session_id=placed.job.job_id,
            model=self._req.model,
            prompt=self._req.prompt,
            max_tokens=self._req.max_tokens,
            priority=placed.priority,
            owner=self._ctx.box,
            offset=self._offset,
            traceparent=header_of_span(span),
        )
        left_s = self._deadline_s - self._ctx.now_s()
        self._life.send()
        try:
            stream = await engine.open(req, self._take_piece, self._dropped, left_s)
        except (TargetUnreachableError, TargetRefusedError) as exc:
            self._life.unstarted()
            self._note_trouble(placed, exc)
            return None
        except TargetBrokenError as exc:
            self._note_trouble(placed, exc)
            return await self._after_break(engine, placed, str(exc))
        return await self._read(engine, placed, stream)

    async def _read(
        self, engine: EngineClient, placed: Placed, stream: AnswerStream
    ) -> Outcome | None:
        resumed_at = -1
        while True:
            self._sink.attach(stream)
            try:
                await stream.ended
                self._life.finish()
                return Completed()
            except TargetBrokenError as exc:
                self._note_trouble(placed, exc)
                if resumed_at == self._offset:
                    # The same session broke twice without a token in between.
                    return await self._after_break(engine, placed, str(exc))
                resumed_at = self._offset
                try:
                    left_s = self._deadline_s - self._ctx.now_s()
                    stream = await engine.resume(
                        placed.job.job_id, self._offset, self._take_piece, self._dropped, left_s
                    )
                except (TargetUnreachableError, TargetRefusedError, TargetBrokenError):
                    return await self._after_break(engine, placed, str(exc))

    async def _after_break(
        self, engine: EngineClient, placed: Placed, reason: str
    ) -> Outcome | None:
        """Decide what a broken connection means; None if the request may be tried again."""
        try:
            cancelled = await engine.cancel(placed.job.job_id)
            if not cancelled.started:
                self._life.unstarted()
                return None
        except (TargetUnreachableError, TargetBrokenError):
            pass
        if self._may_repeat():
            return None
        return self._life.lost(reason)

    def _may_repeat(self) -> bool:
        if self._req.may_repeat is not None:
            return self._req.may_repeat
        return self._knobs.flag("may_repeat") and not self._req.idempotency_key

    def _take_piece(self, piece: Piece) -> None:
        now_s = self._ctx.now_s()
        if self._last_piece_s is None:
            length = length_class(self._prompt_tokens)
            self._ctx.metrics.first_token_s.labels(length).observe(now_s - self._arrival_s)
        else:
            self._ctx.metrics.between_tokens_s.observe(now_s - self._last_piece_s)
        if self._offset == 0 and self._placed is not None:
            self._ctx.placer.first_token(self._placed)
        self._last_piece_s = now_s
        self._offset = piece.offset + 1
        self._life.answer()
        self._sink.piece(piece)

    def _dropped(self, why: str) -> None:
        self._ctx.metrics.dropped_pieces.labels(why).inc()

    def _note_trouble(self, placed: Placed, exc: Exception) -> None:
        self._log.warning(
            "trouble with a target",
            extra={"target": placed.target.name, "reason": str(exc), "offset": self._offset},
        )
        if not isinstance(exc, TargetRefusedError):
            self._ctx.placer.distrust(placed.target.name)

    async def _clean_up(self, engine: EngineClient, placed: Placed) -> None:
        """End the session on the target and see that it has ended; then give back its memory."""
        for attempt in range(1, _CANCEL_TRIES + 1):
            try:
                await engine.cancel(placed.job.job_id)
                break
            except TargetUnreachableError:
                # A target that takes no connection holds no session worth freeing here; if
                # it comes back, its owner finds the session by its label.
                break
            except TargetBrokenError:
                pause_s = backoff_s(attempt, _CANCEL_FIRST_S, _CANCEL_LONGEST_S, self._ctx.rng)
                await sleep(self._ctx.clock, pause_s)
        self._let_go(placed)

    def _let_go(self, placed: Placed) -> None:
        self._ctx.own_sessions.discard(placed.job.job_id)
        self._ctx.placer.release(placed)

    def _report(self, outcome: Outcome) -> None:
        self._log.info(
            "request ended",
            extra={
                "outcome": outcome_name(outcome),
                "reason": getattr(outcome, "reason", ""),
                "organisation": self._req.organisation,
                "class": self._req.request_class,
                "prompt_tokens": self._prompt_tokens,
                "answer_tokens": self._offset,
                "tries": self._tries,
                "seconds": round(self._ctx.now_s() - self._arrival_s, 4),
            },
        )


def _child_span(tracer: Tracer, name: str, parent: Span):
    return tracer.start_as_current_span(name, context=set_span_in_context(parent))
