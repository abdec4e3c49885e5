"""One try of a request on the targets that were reserved for it."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from opentelemetry.trace import Span
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import TargetBrokenError, TargetRefusedError, TargetUnreachableError
from ..outcome import Completed, Failed, Outcome
from ..targets import (
    AnswerStream,
    EngineClient,
    EngineRequest,
    HeldStream,
    Piece,
    SegmentLocation,
    split_prompt,
)
from ..telemetry.traces import header_of_span
from ..utils import WebClient, backoff_s, sleep
from .lifecycle import Lifecycle
from .placement import Placed, Placer

__all__ = ["Attempt", "AttemptContext", "Sink"]

_MAX_CANCEL_ATTEMPTS = 5
_CANCEL_MIN_BACKOFF_S, _CANCEL_MAX_BACKOFF_S = 0.2, 5.0

_MAX_RESUME_ATTEMPTS = 5
_RESUME_MIN_BACKOFF_S, _RESUME_MAX_BACKOFF_S = 0.1, 1.0
"""How often an answer that can't be had elsewhere is resumed without a token in between, and after
which pauses, in seconds: an engine that takes connections again within a second still has it."""


class Sink(Protocol):
    """Where the pieces of an answer go."""

    def pieces(self, pieces: list[Piece]) -> None:
        """Take pieces that came together."""

    def attach(self, stream: AnswerStream) -> None:
        """Take note of the stream that the pieces come from, to pause it when need be."""


@dataclass
class AttemptContext:
    """What all tries of one request share.

    Parameters
    ----------
    box : str
        The name of this box.
    clock : IReactorTime
        Where pauses are waited for.
    web : WebClient
        Speaks to the targets.
    placer : Placer
        Takes reservations back.
    own_sessions : set of str
        The sessions that this box awaits.
    rng : random.Random
        Spreads pauses.
    life : Lifecycle
        The request's state.
    sink : Sink
        Where the answer goes.
    time_left_s : callable
        Returns the time that the request has left, in seconds.
    offset : callable
        Returns the number of answer tokens that have come.
    on_pieces, on_dropped : callable
        Called with pieces that came together, and with the reason for each that was dropped.
    on_trouble : callable
        Called with a reservation and an exception when its target causes trouble.
    """

    box: str
    clock: IReactorTime
    web: WebClient
    placer: Placer
    own_sessions: set[str]
    rng: random.Random
    life: Lifecycle
    sink: Sink
    time_left_s: Callable[[], float]
    offset: Callable[[], int]
    on_pieces: Callable[[list[Piece]], None]
    on_dropped: Callable[[str], None]
    on_target_failure: Callable[[Placed, Exception], None]


class Attempt:
    """Runs a request on its targets: one, or one for each segment of a long prompt.

    Parameters
    ----------
    ctx : AttemptContext
        Shared by all tries of the request.
    parts : tuple of Placed
        The reservations, in the order of the segments.
    model, prompt : str
        What is asked.
    max_tokens : int
        The most answer tokens.
    may_repeat : bool
        Whether another try is allowed after this one may have run.
    """

    def __init__(
        self,
        ctx: AttemptContext,
        parts: tuple[Placed, ...],
        model: str,
        prompt: str,
        max_tokens: int,
        may_repeat: bool,
    ):
        self._ctx = ctx
        self._parts = parts
        self._segment_prompts = split_prompt(prompt, [p.job.prompt_tokens for p in parts])
        self._model = model
        self._max_tokens = max_tokens
        self._may_repeat = may_repeat
        self._engines = [EngineClient(p.target.url, ctx.web) for p in parts]
        self._held: list[HeldStream] = []
        ctx.own_sessions.update(p.job.job_id for p in parts)

    @property
    def last(self) -> Placed:
        """The reservation on the target that writes the answer."""
        return self._parts[-1]

    async def run(self, span: Span) -> Outcome | None:
        """Run to the end; None if the request may be tried on other targets."""
        number = 0
        try:
            for number in range(len(self._parts) - 1):
                await self._hold(number, span)
            number = len(self._parts) - 1
            stream = await self._open(span)
        except (TargetUnreachableError, TargetRefusedError) as exc:
            self._ctx.on_target_failure(self._parts[number], exc)
            return await self._after_not_started(number, exc)
        except TargetBrokenError as exc:
            self._ctx.on_target_failure(self._parts[number], exc)
            must_resume = number == len(self._parts) - 1 and not self._may_repeat
            resumed, _ = await self._resume_within(0) if must_resume else (None, 0)
            if resumed is None:
                return await self._after_connection_loss(str(exc))
            stream = resumed
        return await self._read(stream)

    async def clean_up(self) -> None:
        """End the sessions on the targets, see that they have ended, and free their memory."""
        for held in self._held:
            held.abort()
        for engine, part in zip(self._engines, self._parts, strict=True):
            await self._cancel_with_retries(engine, part)
            self._release(part)

    def release(self) -> None:
        """Give back the reservation of a request whose session has ended by itself."""
        self._release(self.last)

    @property
    def is_segmented(self) -> bool:
        """True if earlier segments are held on other targets."""
        return len(self._parts) > 1

    # Starting.

    async def _hold(self, number: int, span: Span) -> None:
        """Prefill a segment and have it held."""
        self._ctx.life.send()
        req = self._request(number, span)
        held = await self._engines[number].hold(req, self._ctx.time_left_s())
        await self._wait_while_held(held.held)
        self._held.append(held)
        self._ctx.placer.first_token(self._parts[number])

    async def _open(self, span: Span) -> AnswerStream:
        self._ctx.life.send()
        req = self._request(len(self._parts) - 1, span)
        return await self._engines[-1].open(
            req, self._ctx.on_pieces, self._ctx.on_dropped, self._ctx.time_left_s()
        )

    def _request(self, number: int, span: Span) -> EngineRequest:
        part = self._parts[number]
        context = tuple(SegmentLocation(p.target.url, p.job.job_id) for p in self._parts[:number])
        return EngineRequest(
            session_id=part.job.job_id,
            model=self._model,
            prompt=self._segment_prompts[number],
            max_tokens=self._max_tokens,
            priority=part.priority,
            owner=self._ctx.box,
            offset=self._ctx.offset(),
            traceparent=header_of_span(span),
            start_tokens=part.job.start_tokens,
            context=context,
        )

    # Reading.

    async def _read(self, stream: AnswerStream) -> Outcome | None:
        resumes, broken_offset = 0, -1
        while True:
            self._ctx.sink.attach(stream)
            try:
                await self._wait_while_held(stream.ended)
                self._ctx.life.finish()
                return Completed()
            except TargetBrokenError as exc:
                stream.abort()
                self._ctx.on_target_failure(self.last, exc)
                if broken_offset != self._ctx.offset():
                    resumes, broken_offset = 0, self._ctx.offset()
                resumed, resumes = await self._resume_within(resumes)
                if resumed is None:
                    return await self._after_connection_loss(str(exc))
                stream = resumed

    async def _resume_within(self, resumes: int) -> tuple[AnswerStream | None, int]:
        """Resume the session after so many tries without a token; return also the new number.

        None if it is gone, would go on without a part of its prompt, or has had its tries: one if
        the request may be repeated elsewhere, else several, since to give it up ends it for good.
        """
        max_resumes = 1 if self._may_repeat else _MAX_RESUME_ATTEMPTS
        while resumes < max_resumes and not self._segment_lost():
            if resumes:
                pause_s = backoff_s(
                    resumes, _RESUME_MIN_BACKOFF_S, _RESUME_MAX_BACKOFF_S, self._ctx.rng
                )
                await sleep(self._ctx.clock, pause_s)
            resumes += 1
            try:
                return await self._resume(), resumes
            except TargetRefusedError:
                break
            except (TargetUnreachableError, TargetBrokenError):
                continue
        return None, resumes

    async def _wait_while_held(self, wait: defer.Deferred[None]) -> None:
        """Wait for something, but no longer than all earlier segments are held."""
        if not self._held:
            await wait
            return
        waits = [_shielded(wait), *(_shielded(held.lost) for held in self._held)]
        try:
            result, index = await defer.DeferredList(
                waits, fireOnOneCallback=True, fireOnOneErrback=True, consumeErrors=True
            )
        except defer.FirstError as exc:
            raise exc.subFailure.value from exc
        if index > 0:
            raise result

    async def _resume(self) -> AnswerStream:
        return await self._engines[-1].resume(
            self.last.job.job_id,
            self._ctx.offset(),
            self._ctx.on_pieces,
            self._ctx.on_dropped,
            self._ctx.time_left_s(),
        )

    def _segment_lost(self) -> bool:
        return any(held.lost.called for held in self._held)

    # Ends.

    async def _after_not_started(self, number: int, exc: Exception) -> Outcome | None:
        """Decide after a target did not start its part; earlier segments have been prefilled."""
        if number == 0:
            self._ctx.life.not_started()
            return None
        return await self._after_connection_loss(str(exc))

    async def _after_connection_loss(self, reason: str) -> Outcome | None:
        """Decide what a broken connection means; None if the request may be tried again."""
        started = [await self._started(n) for n in range(len(self._parts))]
        if not any(started):
            self._ctx.life.not_started()
            return None
        self._ctx.life.in_doubt()
        # A prefill alone has no effect that could be had twice; only the last target answers.
        if not started[-1] or self._may_repeat:
            return None
        match self._ctx.life.outcome_if_ended(reason):
            case Failed(reason=why):
                return Failed(why, HTTPStatus.BAD_GATEWAY)
            case outcome:
                return outcome

    async def _started(self, number: int) -> bool:
        """Cancel a part; False only on its target's word that it never started it."""
        if number < len(self._parts) - 1 and number >= len(self._held):
            return False
        try:
            cancelled = await self._engines[number].cancel(self._parts[number].job.job_id)
            return cancelled.started
        except (TargetUnreachableError, TargetBrokenError):
            return True

    async def _cancel_with_retries(self, engine: EngineClient, part: Placed) -> None:
        for attempt in range(1, _MAX_CANCEL_ATTEMPTS + 1):
            try:
                await engine.cancel(part.job.job_id)
                return
            except TargetUnreachableError:
                # A target that takes no connection holds no session worth freeing here; if
                # it comes back, its owner finds the session by its label.
                return
            except TargetBrokenError:
                pause_s = backoff_s(
                    attempt, _CANCEL_MIN_BACKOFF_S, _CANCEL_MAX_BACKOFF_S, self._ctx.rng
                )
                await sleep(self._ctx.clock, pause_s)

    def _release(self, part: Placed) -> None:
        self._ctx.own_sessions.discard(part.job.job_id)
        self._ctx.placer.release(part)


def _shielded(wait: defer.Deferred) -> defer.Deferred:
    """Return a deferred that fires as `wait` does and may be cancelled without it."""
    shielded: defer.Deferred = defer.Deferred()

    def pass_on(result: object) -> None:
        if not shielded.called:
            shielded.callback(result)

    wait.addBoth(pass_on)
    return shielded
