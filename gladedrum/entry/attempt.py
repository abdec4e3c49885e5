"""One attempt: sending a request to the targets reserved for it and reading the answer.

A long prompt is split into segments. The engines of all segments but the last prefill and hold
theirs. The engine of the last segment reads them and writes the answer.
"""

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
from ..utils import WebClient, retry_delay_s, sleep
from .lifecycle import Lifecycle
from .placement import Placer, Reservation

__all__ = ["Attempt", "AttemptContext", "Sink"]

_MAX_CANCELS = 5
_CANCEL_FIRST_DELAY_S, _CANCEL_MAX_DELAY_S = 0.2, 5.0

_MAX_RESUMES = 5
_RESUME_FIRST_DELAY_S, _RESUME_MAX_DELAY_S = 0.1, 1.0
"""Delays between resumes that yield no token, in seconds. An engine that
accepts connections again within a second still has the session."""


class Sink(Protocol):
    """Receiver of the pieces of an answer."""

    def pieces(self, pieces: list[Piece]) -> None:
        """Receive the pieces of one chunk."""

    def attach(self, stream: AnswerStream) -> None:
        """Set the stream to pause when the caller reads slowly."""


@dataclass
class AttemptContext:
    """State common to all attempts of one request.

    Parameters
    ----------
    box : str
        Name of this box.
    clock : IReactorTime
        Timer for retry delays.
    web : WebClient
        HTTP client for calls to the targets.
    placer : Placer
        Releases the reservations.
    own_sessions : set of str
        Ids of the sessions that this box waits for, and of its running requests that hold an
        idempotency key.
    rng : random.Random
        Source of jitter for retry delays.
    lifecycle : Lifecycle
        State machine of the request.
    sink : Sink
        Receiver of the answer.
    time_left_s : callable
        Returns the time until the request's deadline, in seconds.
    offset : callable
        Returns the number of answer tokens received so far.
    on_pieces, on_dropped : callable
        Called with the pieces of each chunk, and with the reason for each dropped piece.
    on_target_failure : callable
        Called with the reservation and the exception when a target fails.
    """

    box: str
    clock: IReactorTime
    web: WebClient
    placer: Placer
    own_sessions: set[str]
    rng: random.Random
    lifecycle: Lifecycle
    sink: Sink
    time_left_s: Callable[[], float]
    offset: Callable[[], int]
    on_pieces: Callable[[list[Piece]], None]
    on_dropped: Callable[[str], None]
    on_target_failure: Callable[[Reservation, Exception], None]


class Attempt:
    """Runs a request on its targets: one, or one for each segment of a long prompt.

    Parameters
    ----------
    ctx : AttemptContext
        State common to all attempts of the request.
    reservations : tuple of Reservation
        The reservations, in the order of the segments.
    model, prompt : str
        Model and whole prompt.
    max_tokens : int
        Maximum number of answer tokens.
    may_repeat : bool
        Whether another attempt is allowed although this one may have run.
    """

    def __init__(
        self,
        ctx: AttemptContext,
        reservations: tuple[Reservation, ...],
        model: str,
        prompt: str,
        max_tokens: int,
        may_repeat: bool,
    ):
        self._ctx = ctx
        self._reservations = reservations
        self._segment_prompts = split_prompt(prompt, [r.job.prompt_tokens for r in reservations])
        self._model = model
        self._max_tokens = max_tokens
        self._may_repeat = may_repeat
        self._engines = [EngineClient(r.target.url, ctx.web) for r in reservations]
        self._held: list[HeldStream] = []
        # Segments whose engines have accepted them, or have not listened since. An engine that does
        # not know such a segment has started anew, and can't say whether the earlier one ran it.
        self._must_be_known: set[int] = set()
        ctx.own_sessions.update(r.job.job_id for r in reservations)

    @property
    def last(self) -> Reservation:
        """The reservation on the target that generates the answer."""
        return self._reservations[-1]

    async def run(self, span: Span) -> Outcome | None:
        """Run the attempt; return None if the request may be retried on other targets."""
        number = 0
        try:
            for number in range(len(self._reservations) - 1):
                await self._hold(number, span)
            number = len(self._reservations) - 1
            stream = await self._open(span)
        except (TargetUnreachableError, TargetRefusedError) as exc:
            self._ctx.on_target_failure(self._reservations[number], exc)
            return await self._after_not_started(number, exc)
        except TargetBrokenError as exc:
            self._ctx.on_target_failure(self._reservations[number], exc)
            must_resume = number == len(self._reservations) - 1 and not self._may_repeat
            resumed, _ = await self._resume_with_retries(0) if must_resume else (None, 0)
            if resumed is None:
                return await self._after_failure(str(exc))
            stream = resumed
        return await self._read(stream)

    async def clean_up(self) -> None:
        """Cancel the sessions on all targets, and release the reservations."""
        for held in self._held:
            held.abort()
        for engine, reservation in zip(self._engines, self._reservations, strict=True):
            await self._cancel_with_retries(engine, reservation)
            self._release(reservation)

    def release(self) -> None:
        """Release the reservation of a session that has ended by itself."""
        self._release(self.last)

    @property
    def is_segmented(self) -> bool:
        """True if earlier segments are held on other targets."""
        return len(self._reservations) > 1

    # Start of sessions.

    async def _hold(self, number: int, span: Span) -> None:
        """Prefill a segment and wait until its engine holds it."""
        self._ctx.lifecycle.send()
        req = self._request(number, span)
        held = await self._engines[number].hold(req, self._ctx.time_left_s())
        self._must_be_known.add(number)
        await self._wait_while_held(held.held)
        self._held.append(held)
        self._ctx.placer.first_token(self._reservations[number])

    async def _open(self, span: Span) -> AnswerStream:
        self._ctx.lifecycle.send()
        req = self._request(len(self._reservations) - 1, span)
        stream = await self._engines[-1].open(
            req, self._ctx.on_pieces, self._ctx.on_dropped, self._ctx.time_left_s()
        )
        self._must_be_known.add(len(self._reservations) - 1)
        return stream

    def _request(self, number: int, span: Span) -> EngineRequest:
        reservation = self._reservations[number]
        context = tuple(
            SegmentLocation(r.target.url, r.job.job_id) for r in self._reservations[:number]
        )
        return EngineRequest(
            session_id=reservation.job.job_id,
            model=self._model,
            prompt=self._segment_prompts[number],
            max_tokens=self._max_tokens,
            priority=reservation.priority,
            owner=self._ctx.box,
            offset=self._ctx.offset(),
            traceparent=header_of_span(span),
            start_tokens=reservation.job.start_tokens,
            context=context,
        )

    # Reading of the answer.

    async def _read(self, stream: AnswerStream) -> Outcome | None:
        resumes, broken_offset = 0, -1
        while True:
            self._ctx.sink.attach(stream)
            try:
                await self._wait_while_held(stream.ended)
                self._ctx.lifecycle.finish()
                return Completed()
            except TargetBrokenError as exc:
                stream.abort()
                if stream.is_last_received:
                    # Only the end marker is missing, of which a caller gets this box's own.
                    self._ctx.lifecycle.finish()
                    return Completed()
                self._ctx.on_target_failure(self.last, exc)
                if broken_offset != self._ctx.offset():
                    resumes, broken_offset = 0, self._ctx.offset()
                resumed, resumes = await self._resume_with_retries(resumes)
                if resumed is None:
                    return await self._after_failure(str(exc))
                stream = resumed

    async def _resume_with_retries(self, resumes: int) -> tuple[AnswerStream | None, int]:
        """Resume the session, given the number of resumes since the last token.

        Returns the stream and the new number of resumes. The stream is None if the session is gone,
        an earlier segment is lost, or the limit is reached: one resume if the request may be
        repeated on another target, else `_MAX_RESUMES`, since giving up fails the request.
        """
        max_resumes = 1 if self._may_repeat else _MAX_RESUMES
        while resumes < max_resumes and not self._segment_lost():
            if resumes:
                pause_s = retry_delay_s(
                    resumes, _RESUME_FIRST_DELAY_S, _RESUME_MAX_DELAY_S, self._ctx.rng
                )
                await sleep(self._ctx.clock, pause_s)
            resumes += 1
            try:
                return await self._resume(), resumes
            except TargetRefusedError:
                break
            except TargetUnreachableError:
                self._must_be_known.add(len(self._reservations) - 1)
            except TargetBrokenError:
                continue
        return None, resumes

    async def _wait_while_held(self, wait: defer.Deferred[None]) -> None:
        """Wait for a deferred; fail as soon as an earlier segment is lost."""
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
            # `HeldStream.lost` fires with the exception as its result.
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

    # Failures and cleanup.

    async def _after_not_started(self, number: int, exc: Exception) -> Outcome | None:
        """Handle a target that did not start its segment; earlier segments may have run."""
        if number == 0:
            self._ctx.lifecycle.not_started()
            return None
        return await self._after_failure(str(exc))

    async def _after_failure(self, reason: str) -> Outcome | None:
        """Return the outcome after a target failed; None if the request may be retried."""
        started = [await self._cancel_and_check_started(n) for n in range(len(self._reservations))]
        if not any(started):
            self._ctx.lifecycle.not_started()
            return None
        self._ctx.lifecycle.in_doubt()
        # Repeating a prefill is harmless. Only the last target produces an answer.
        if not started[-1] or self._may_repeat:
            return None
        match self._ctx.lifecycle.outcome_if_ended(reason):
            case Failed(reason=why):
                return Failed(why, HTTPStatus.BAD_GATEWAY)
            case outcome:
                return outcome

    async def _cancel_and_check_started(self, number: int) -> bool:
        """Cancel a segment; return True if its target may have started it.

        Earlier segments that are not held count as not started, and are not cancelled here.
        """
        if number < len(self._reservations) - 1 and number >= len(self._held):
            return False
        try:
            cancelled = await self._engines[number].cancel(self._reservations[number].job.job_id)
            is_forgotten = number in self._must_be_known and not cancelled.found
            return cancelled.started or is_forgotten
        except (TargetUnreachableError, TargetBrokenError):
            return True

    async def _cancel_with_retries(self, engine: EngineClient, reservation: Reservation) -> None:
        for cancel_number in range(1, _MAX_CANCELS + 1):
            try:
                await engine.cancel(reservation.job.job_id)
                return
            except TargetUnreachableError:
                # Nothing to cancel while the target is down. If it comes back with the session,
                # its owner cancels it as an orphan.
                return
            except TargetBrokenError:
                pause_s = retry_delay_s(
                    cancel_number, _CANCEL_FIRST_DELAY_S, _CANCEL_MAX_DELAY_S, self._ctx.rng
                )
                await sleep(self._ctx.clock, pause_s)

    def _release(self, reservation: Reservation) -> None:
        self._ctx.own_sessions.discard(reservation.job.job_id)
        self._ctx.placer.release(reservation)


def _shielded(wait: defer.Deferred) -> defer.Deferred:
    """Return a deferred that fires with `wait`; cancelling it does not cancel `wait`."""
    shielded: defer.Deferred = defer.Deferred()

    def pass_on(result: object) -> None:
        if not shielded.called:
            shielded.callback(result)

    wait.addBoth(pass_on)
    return shielded
