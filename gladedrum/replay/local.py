"""Replay of a trace in one process under a deterministic clock.

A discrete-event simulation. It runs the production code for scheduling decisions (`scheduling`)
on the engine model of the stand-in (`standins.engine_core`), and adds a simulated clock and
message delays. Replays of the same trace under the same policy give identical results.
"""

import hashlib
import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ..scheduling import (
    MAX_DIGESTS,
    PREFIX_GROWTH,
    PREFIX_STEP_TOKENS,
    Grant,
    Job,
    Policy,
    QueueEngineTraits,
    QueueLimits,
    Refused,
    TargetQueue,
    TargetView,
    best_refusal,
    order_by_cost,
    policy,
    reservation_order,
    segment_jobs,
)
from ..standins.engine_core import BLOCK_TOKENS, EngineCore, EngineSpec, Session, StepOutput
from .trace import TraceRow

__all__ = ["LocalFleet", "ReplayRecord", "replay_locally"]

MESSAGE_S = 0.001
"""One-way delay of a message between boxes, or between a box and a target, in seconds."""

_LATE_CHECK_INTERVAL_S = 0.05
"""Interval between checks for queued requests that are too late to start, in seconds."""


class LocalFleet(NamedTuple):
    """Simulated engines that run a trace.

    Parameters
    ----------
    engines : int
        Number of engines.
    spec : EngineSpec
        Size and speed of each engine.
    lost_engines : int
        Number of engines that fail.
    lost_at_s : float
        Time of the failure, in seconds from the start.
    """

    engines: int = 18
    spec: EngineSpec = EngineSpec()
    lost_engines: int = 0
    lost_at_s: float = 0.0


class ReplayRecord(NamedTuple):
    """The result of one request of a trace.

    Parameters
    ----------
    row : TraceRow
        Row of the request in the trace.
    outcome : str
        ``completed``, ``not-run`` or ``failed``.
    first_token_s, total_s : float or None
        Time to first token and to the end of the answer, in seconds.
    reason : str
        Why the request did not complete; empty if it did.
    """

    row: TraceRow
    outcome: str
    first_token_s: float | None = None
    total_s: float | None = None
    reason: str = ""


def replay_locally(
    rows: Sequence[TraceRow], policy_name: str, fleet: LocalFleet
) -> list[ReplayRecord]:
    """Replay a trace and return one record per row, in the order of the rows."""
    return _Replay(rows, policy(policy_name), fleet).run()


@dataclass
class _Engine:
    """A simulated engine and the queue that its owner keeps."""

    name: str
    queue: TargetQueue
    core: EngineCore
    stepping: bool = False
    failed: bool = False


@dataclass
class _Segment:
    """A segment of a request and the engine that runs it.

    A request that is not split has one segment.
    """

    job: Job
    engine: _Engine
    priority: int = 0


@dataclass
class _Request:
    """A request of the trace and its progress; `granted_count` counts segments with a grant."""

    number: int
    row: TraceRow
    job: Job
    segments: list[_Segment] = field(default_factory=list)
    granted_count: int = 0
    first_token_at_s: float | None = None
    record: ReplayRecord | None = None


class _Replay:
    """State of one replay: the simulated clock, the pending events, engines and requests."""

    def __init__(self, rows: Sequence[TraceRow], chosen: Policy, fleet: LocalFleet):
        self._policy = chosen
        self._fleet = fleet
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._engines = {e.name: e for e in _make_engines(fleet)}
        self._requests = [
            _Request(number, row, _make_job(number, row)) for number, row in enumerate(rows)
        ]
        self._request_by_job_id: dict[str, _Request] = {}
        self._unfinished = len(self._requests)

    def run(self) -> list[ReplayRecord]:
        for req in self._requests:
            self._call_at(req.row.arrival_s, lambda r=req: self._on_arrival(r))
        if self._fleet.lost_engines:
            self._call_at(self._fleet.lost_at_s, self._fail_engines)
        self._call_at(_LATE_CHECK_INTERVAL_S, self._drop_late_jobs)
        while self._unfinished:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return [req.record for req in self._requests]

    def _call_at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._call_at(self._now_s + delay_s, action)

    # Placement, with the same steps as `entry.placement`.

    def _on_arrival(self, req: _Request) -> None:
        self._call_at(req.job.deadline_s, lambda: self._finish(req, "failed", "deadline exceeded"))
        views = [
            TargetView(e.name, e.queue.traits.memory_tokens)
            for e in self._engines.values()
            if not e.failed
        ]
        memory_tokens = self._fleet.spec.memory_tokens
        jobs = segment_jobs(req.job, memory_tokens, len(views), self._policy.segments)
        names = self._policy.candidates(jobs[0], views, len(jobs)) if jobs else []
        if len(names) < max(1, len(jobs)):
            self._finish(req, "not-run", "no target can run the request")
            return
        self._call_later(2 * MESSAGE_S, lambda: self._choose_engines(req, jobs, names))

    def _choose_engines(self, req: _Request, jobs: list[Job], names: list[str]) -> None:
        quotes = {
            name: self._engines[name].queue.quote(jobs[0], self._policy, self._now_s)
            for name in names
        }
        accepted = order_by_cost(quotes)
        if len(accepted) < len(jobs):
            refused = best_refusal(quotes)
            self._finish(req, "not-run", refused.reason if refused else "")
            return
        chosen = reservation_order(accepted[: len(jobs)])
        req.segments = [
            _Segment(job, self._engines[name]) for job, name in zip(jobs, chosen, strict=True)
        ]
        alternatives = accepted[1:] if len(jobs) == 1 else []
        self._request_by_job_id.update({segment.job.job_id: req for segment in req.segments})
        self._call_later(MESSAGE_S, lambda: self._reserve(req, alternatives))

    def _reserve(self, req: _Request, alternatives: list[str]) -> None:
        """Request a reservation for the next segment; its grant triggers the following one."""
        if req.record is not None:
            return
        segment = req.segments[req.granted_count]
        answer = segment.engine.queue.offer(segment.job, self._policy, self._now_s)
        if isinstance(answer, Refused):
            if not alternatives:
                self._finish(req, "not-run", answer.reason)
                return
            segment.engine = self._engines[alternatives[0]]
            self._call_later(MESSAGE_S, lambda: self._reserve(req, alternatives[1:]))
            return
        self._send_grants(segment.engine)

    def _send_grants(self, engine: _Engine) -> None:
        for grant in engine.queue.pump(self._now_s):
            self._call_later(MESSAGE_S, lambda g=grant: self._on_grant(g))

    def _on_grant(self, grant: Grant) -> None:
        req = self._request_by_job_id[grant.job.job_id]
        if req.record is not None:
            return
        req.segments[req.granted_count].priority = grant.priority
        req.granted_count += 1
        if req.granted_count < len(req.segments):
            self._call_later(MESSAGE_S, lambda: self._reserve(req, []))
        else:
            self._call_later(MESSAGE_S, lambda: self._start_segment(req, 0))

    # Engines.

    def _start_segment(self, req: _Request, number: int) -> None:
        segment = req.segments[number]
        if req.record is not None or segment.engine.failed:
            return
        segment.engine.core.submit(
            Session(
                segment.job.job_id,
                segment.job.prompt_tokens,
                segment.job.output_tokens,
                segment.priority,
                _block_hashes(req.row, req.number) if len(req.segments) == 1 else (),
                start=segment.job.start_tokens,
                hold=number + 1 < len(req.segments),
            )
        )
        self._step(segment.engine)

    def _step(self, engine: _Engine) -> None:
        if engine.stepping or engine.failed:
            return
        step = engine.core.begin_step()
        if step is not None:
            engine.stepping = True
            duration_s, chunks = step
            self._call_later(duration_s, lambda: self._finish_step(engine, chunks))

    def _finish_step(self, engine: _Engine, chunks: list[tuple[Session, int]]) -> None:
        engine.stepping = False
        if engine.failed:
            return
        for output in engine.core.finish_step(chunks):
            self._deliver(output)
        self._step(engine)

    def _deliver(self, output: StepOutput) -> None:
        session_id = output.session.session_id
        req = self._request_by_job_id[session_id]
        if output.held:
            number = next(
                n for n, segment in enumerate(req.segments) if segment.job.job_id == session_id
            )
            self._call_later(2 * MESSAGE_S, lambda: self._on_prefill_done(req, number))
            self._call_later(2 * MESSAGE_S, lambda: self._start_segment(req, number + 1))
            return
        if output.offset == 0:
            req.first_token_at_s = self._now_s + MESSAGE_S
            self._call_later(
                2 * MESSAGE_S, lambda: self._on_prefill_done(req, len(req.segments) - 1)
            )
        if output.last:
            self._call_later(MESSAGE_S, lambda: self._finish(req, "completed"))

    def _on_prefill_done(self, req: _Request, number: int) -> None:
        """Report the end of a segment's prefill to the queue, which grants further requests."""
        if req.record is None:
            segment = req.segments[number]
            segment.engine.queue.first_token(segment.job.job_id, self._now_s)
            self._send_grants(segment.engine)

    def _fail_engines(self) -> None:
        for engine in list(self._engines.values())[: self._fleet.lost_engines]:
            engine.failed = True
        for req in self._requests:
            if req.record is None and any(segment.engine.failed for segment in req.segments):
                self._finish(req, "failed", "engine failed")

    # Completion and expiry.

    def _finish(self, req: _Request, outcome: str, reason: str = "") -> None:
        if req.record is not None:
            return
        arrival_s = req.row.arrival_s
        first_token_s = None if req.first_token_at_s is None else req.first_token_at_s - arrival_s
        total_s = self._now_s - arrival_s
        req.record = ReplayRecord(req.row, outcome, first_token_s, total_s, reason)
        self._unfinished -= 1
        for segment in req.segments:
            segment.engine.core.cancel(segment.job.job_id)
            segment.engine.queue.release(segment.job.job_id, self._now_s)
            self._send_grants(segment.engine)

    def _drop_late_jobs(self) -> None:
        for engine in self._engines.values():
            for job in engine.queue.drop_late(self._now_s):
                self._finish(
                    self._request_by_job_id[job.job_id],
                    "not-run",
                    "cannot start in time to meet the deadline",
                )
            self._send_grants(engine)
        self._call_later(_LATE_CHECK_INTERVAL_S, self._drop_late_jobs)


def _make_engines(fleet: LocalFleet) -> list[_Engine]:
    spec = fleet.spec
    traits = QueueEngineTraits(
        spec.memory_tokens,
        spec.prefill_tokens_per_s,
        spec.attention_tokens,
        spec.decode_step_s,
        spec.chunk_tokens,
    )
    # Reservations in a replay are always released, so they need no renewal to stay valid.
    limits = QueueLimits(max_running=spec.max_sessions, renewal_s=float("inf"))
    return [
        _Engine(f"engine-{n}", TargetQueue(traits, limits), EngineCore(spec))
        for n in range(1, fleet.engines + 1)
    ]


def _make_job(number: int, row: TraceRow) -> Job:
    return Job(
        job_id=f"r{number}",
        organisation=row.organisation,
        request_class=row.request_class,
        prompt_tokens=row.prompt_tokens,
        output_tokens=row.output_tokens,
        arrival_s=row.arrival_s,
        deadline_s=row.arrival_s + row.deadline_s,
        prefix=_digests(row, number),
    )


def _digests(row: TraceRow, number: int) -> tuple[int, ...]:
    """Return prefix digests as `targets.prefix_digests` does, from names in the trace."""
    lengths = (PREFIX_STEP_TOKENS * PREFIX_GROWTH**n for n in range(MAX_DIGESTS))
    within = itertools.takewhile(lambda length: length <= row.prompt_tokens, lengths)
    return tuple(_prefix_hash(row, number, length) for length in within)


def _block_hashes(row: TraceRow, number: int) -> tuple[int, ...]:
    """Return the hashes of the prompt's blocks for the engine's prefix cache."""
    ends = range(BLOCK_TOKENS, row.prompt_tokens + 1, BLOCK_TOKENS)
    return tuple(_prefix_hash(row, number, end) for end in ends)


def _prefix_hash(row: TraceRow, number: int, length: int) -> int:
    shared = row.prefix and length <= row.prefix_tokens
    name = f"{row.prefix if shared else number}/{length}"
    # The built-in hash differs between processes.
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big")
