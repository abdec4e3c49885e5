"""Replay of a trace in one process under a deterministic clock.

The decisions are the product's own (`scheduling`) and the engines are the stand-in engine's
own model; what is added here is the clock and the messages between them. Two replays of the
same trace under the same policy agree to the digit.
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
from ..standins.engine_core import BLOCK_TOKENS, EngineCore, EngineSpec, Piece, Session
from .trace import TraceRow

__all__ = ["LocalFleet", "ReplayRecord", "replay_locally"]

MESSAGE_S = 0.001
"""The time that a message between a box and another box or a target takes, in seconds."""

_TICK_S = 0.05


class LocalFleet(NamedTuple):
    """The fleet that a trace is replayed on.

    Parameters
    ----------
    engines : int
        How many.
    spec : EngineSpec
        Their size and speed.
    lost_engines : int
        How many of them die.
    lost_at_s : float
        When they die, in seconds from the start.
    """

    engines: int = 18
    spec: EngineSpec = EngineSpec()
    lost_engines: int = 0
    lost_at_s: float = 0.0


class ReplayRecord(NamedTuple):
    """What became of a request of a trace.

    Parameters
    ----------
    row : TraceRow
        The request.
    outcome : str
        ``completed``, ``not-run`` or ``failed``.
    first_token_s, total_s : float or None
        Time to first token and to the end of the answer, in seconds.
    reason : str
        Why it is not complete.
    """

    row: TraceRow
    outcome: str
    first_token_s: float | None = None
    total_s: float | None = None
    reason: str = ""


def replay_locally(
    rows: Sequence[TraceRow], policy_name: str, fleet: LocalFleet
) -> list[ReplayRecord]:
    """Replay a trace; returns a record for each row, in the order of the rows."""
    return _Replay(rows, policy(policy_name), fleet).run()


@dataclass
class _Engine:
    name: str
    queue: TargetQueue
    core: EngineCore
    stepping: bool = False
    dead: bool = False


@dataclass
class _Part:
    """A segment of a request, or the whole of it, and where it is to run."""

    job: Job
    engine: _Engine
    priority: int = 0


@dataclass
class _Request:
    number: int
    row: TraceRow
    job: Job
    parts: list[_Part] = field(default_factory=list)
    granted: int = 0
    first_s: float | None = None
    record: ReplayRecord | None = None


class _Replay:
    """A replay under way: the clock and what is to happen."""

    def __init__(self, rows: Sequence[TraceRow], chosen: Policy, fleet: LocalFleet):
        self._policy = chosen
        self._fleet = fleet
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._engines = {e.name: e for e in _make_engines(fleet)}
        self._requests = [
            _Request(number, row, _job(number, row)) for number, row in enumerate(rows)
        ]
        self._by_id: dict[str, _Request] = {}
        self._open = len(self._requests)

    def run(self) -> list[ReplayRecord]:
        for req in self._requests:
            self._at(req.row.arrival_s, lambda r=req: self._arrive(r))
        if self._fleet.lost_engines:
            self._at(self._fleet.lost_at_s, self._lose_engines)
        self._at(_TICK_S, self._tick)
        while self._open:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return [req.record for req in self._requests]

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self._now_s + delay_s, action)

    # Placement, as `entry.placement` does it.

    def _arrive(self, req: _Request) -> None:
        self._at(req.job.deadline_s, lambda: self._end(req, "failed", "its time is up"))
        views = [
            TargetView(e.name, e.queue.traits.memory_tokens)
            for e in self._engines.values()
            if not e.dead
        ]
        memory_tokens = self._fleet.spec.memory_tokens
        jobs = segment_jobs(req.job, memory_tokens, len(views), self._policy.segments)
        names = self._policy.candidates(jobs[0], views, len(jobs)) if jobs else []
        if len(names) < max(1, len(jobs)):
            self._end(req, "not-run", "no target would take it")
            return
        self._after(2 * MESSAGE_S, lambda: self._choose(req, jobs, names))

    def _choose(self, req: _Request, jobs: list[Job], names: list[str]) -> None:
        quotes = {
            name: self._engines[name].queue.quote(jobs[0], self._policy, self._now_s)
            for name in names
        }
        accepted = order_by_cost(quotes)
        if len(accepted) < len(jobs):
            refused = best_refusal(quotes)
            self._end(req, "not-run", refused.reason if refused else "")
            return
        chosen = reservation_order(accepted[: len(jobs)])
        req.parts = [
            _Part(job, self._engines[name]) for job, name in zip(jobs, chosen, strict=True)
        ]
        spare = accepted[1:] if len(jobs) == 1 else []
        self._by_id.update({part.job.job_id: req for part in req.parts})
        self._after(MESSAGE_S, lambda: self._reserve(req, spare))

    def _reserve(self, req: _Request, spare: list[str]) -> None:
        """Ask for the next part's reservation; its grant asks for the one after it."""
        if req.record is not None:
            return
        part = req.parts[req.granted]
        answer = part.engine.queue.offer(part.job, self._policy, self._now_s)
        if isinstance(answer, Refused):
            if not spare:
                self._end(req, "not-run", answer.reason)
                return
            part.engine = self._engines[spare[0]]
            self._after(MESSAGE_S, lambda: self._reserve(req, spare[1:]))
            return
        self._pump(part.engine)

    def _pump(self, engine: _Engine) -> None:
        for grant in engine.queue.pump(self._now_s):
            self._after(MESSAGE_S, lambda g=grant: self._granted(g))

    def _granted(self, grant: Grant) -> None:
        req = self._by_id[grant.job.job_id]
        if req.record is not None:
            return
        req.parts[req.granted].priority = grant.priority
        req.granted += 1
        if req.granted < len(req.parts):
            self._after(MESSAGE_S, lambda: self._reserve(req, []))
        else:
            self._after(MESSAGE_S, lambda: self._start(req, 0))

    # Engines.

    def _start(self, req: _Request, number: int) -> None:
        part = req.parts[number]
        if req.record is not None or part.engine.dead:
            return
        part.engine.core.submit(
            Session(
                part.job.job_id,
                part.job.prompt_tokens,
                part.job.output_tokens,
                part.priority,
                _blocks(req.row, req.number) if len(req.parts) == 1 else (),
                start=part.job.start_tokens,
                hold=number + 1 < len(req.parts),
            )
        )
        self._step(part.engine)

    def _step(self, engine: _Engine) -> None:
        if engine.stepping or engine.dead:
            return
        step = engine.core.begin_step()
        if step is not None:
            engine.stepping = True
            duration_s, chunks = step
            self._after(duration_s, lambda: self._finish_step(engine, chunks))

    def _finish_step(self, engine: _Engine, chunks: list[tuple[Session, int]]) -> None:
        engine.stepping = False
        if engine.dead:
            return
        for piece in engine.core.finish_step(chunks):
            self._take(piece)
        self._step(engine)

    def _take(self, piece: Piece) -> None:
        session_id = piece.session.session_id
        req = self._by_id[session_id]
        if piece.held:
            number = next(n for n, p in enumerate(req.parts) if p.job.job_id == session_id)
            self._after(2 * MESSAGE_S, lambda: self._first_token(req, number))
            self._after(2 * MESSAGE_S, lambda: self._start(req, number + 1))
            return
        if piece.offset == 0:
            req.first_s = self._now_s + MESSAGE_S
            self._after(2 * MESSAGE_S, lambda: self._first_token(req, len(req.parts) - 1))
        if piece.last:
            self._after(MESSAGE_S, lambda: self._end(req, "completed"))

    def _first_token(self, req: _Request, number: int) -> None:
        if req.record is None:
            part = req.parts[number]
            part.engine.queue.first_token(part.job.job_id, self._now_s)
            self._pump(part.engine)

    def _lose_engines(self) -> None:
        for engine in list(self._engines.values())[: self._fleet.lost_engines]:
            engine.dead = True
        for req in self._requests:
            if req.record is None and any(part.engine.dead for part in req.parts):
                self._end(req, "failed", "its engine died")

    # Ends.

    def _end(self, req: _Request, outcome: str, reason: str = "") -> None:
        if req.record is not None:
            return
        arrival_s = req.row.arrival_s
        first_s = None if req.first_s is None else req.first_s - arrival_s
        total_s = self._now_s - arrival_s
        req.record = ReplayRecord(req.row, outcome, first_s, total_s, reason)
        self._open -= 1
        for part in req.parts:
            part.engine.core.cancel(part.job.job_id)
            part.engine.queue.release(part.job.job_id, self._now_s)
            self._pump(part.engine)

    def _tick(self) -> None:
        for engine in self._engines.values():
            for job in engine.queue.drop_late(self._now_s):
                self._end(self._by_id[job.job_id], "not-run", "too late to start")
            self._pump(engine)
        self._after(_TICK_S, self._tick)


def _make_engines(fleet: LocalFleet) -> list[_Engine]:
    spec = fleet.spec
    traits = QueueEngineTraits(
        spec.memory_tokens,
        spec.prefill_tokens_per_s,
        spec.attention_tokens,
        spec.decode_step_s,
        spec.chunk_tokens,
    )
    # In a replay nobody forgets a reservation, so none is dropped for want of renewal.
    limits = QueueLimits(max_running=spec.max_sessions, renewal_s=float("inf"))
    return [
        _Engine(f"engine-{n}", TargetQueue(traits, limits), EngineCore(spec))
        for n in range(1, fleet.engines + 1)
    ]


def _job(number: int, row: TraceRow) -> Job:
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
    """Return digests as `targets.prefix_digests` would, made from the names in the trace."""
    lengths = (PREFIX_STEP_TOKENS * PREFIX_GROWTH**n for n in range(MAX_DIGESTS))
    within = itertools.takewhile(lambda length: length <= row.prompt_tokens, lengths)
    return tuple(_part_id(row, number, length) for length in within)


def _blocks(row: TraceRow, number: int) -> tuple[int, ...]:
    ends = range(BLOCK_TOKENS, row.prompt_tokens + 1, BLOCK_TOKENS)
    return tuple(_part_id(row, number, end) for end in ends)


def _part_id(row: TraceRow, number: int, length: int) -> int:
    shared = row.prefix and length <= row.prefix_tokens
    name = f"{row.prefix if shared else number}/{length}"
    # Not the built-in hash, which differs from process to process.
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big")
