"""Simulation of an inference engine with continuous batching, without I/O and without a clock.

A step prefills a bounded number of prompt tokens, in order of priority, and decodes one token of
every session whose prefill is complete. The caller plans a step (`EngineCore.begin_step`), waits
for its duration and collects the tokens (`EngineCore.finish_step`). The HTTP stand-in (`engine`)
does this in real time, and `replay.local` under a simulated clock.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["BLOCK_TOKENS", "EngineCore", "EngineSpec", "MemoryFullError", "Session", "StepOutput"]

BLOCK_TOKENS = 512
"""Length of a block of the prefix cache, in tokens."""


class MemoryFullError(Exception):
    """A session needs more memory than the engine has in total."""


class EngineSpec(NamedTuple):
    """Size and speed of an engine.

    Parameters
    ----------
    memory_tokens : int
        KV-cache memory, in tokens.
    prefill_tokens_per_s : float
        Prefill speed at the start of a prompt.
    attention_tokens : int
        Position in a prompt at which the prefill of a token takes twice as long as at the start.
    decode_step_s : float
        Duration of a step that does no prefill, in seconds.
    chunk_tokens : int
        Maximum number of tokens that one step prefills.
    max_sessions : int
        Maximum number of sessions in a batch.
    """

    memory_tokens: int = 400_000
    prefill_tokens_per_s: float = 25_000.0
    attention_tokens: int = 250_000
    decode_step_s: float = 0.015
    chunk_tokens: int = 512
    max_sessions: int = 64

    def prefill_s(self, start: int, tokens: int) -> float:
        """Return the time to prefill `tokens` tokens from position `start` on, in seconds."""
        middle = start + tokens / 2
        return tokens / self.prefill_tokens_per_s * (1 + middle / self.attention_tokens)


@dataclass(slots=True, eq=False)
class Session:
    """One request on the engine.

    Parameters
    ----------
    session_id : str
        Id that the caller chose.
    prompt_tokens, output_tokens : int
        Lengths of the prompt and of the complete answer.
    priority : int
        Sessions with a lower value go first.
    blocks : tuple of int
        Hashes of the prompt's leading blocks; each hash covers all blocks up to its own.
    offset : int
        First answer token to produce; earlier ones are prefilled with the prompt.
    owner : str
        Box that opened the session; a label that the engine does not interpret.
    start : int
        Position of the prompt in a longer one whose earlier segments other engines hold.
    hold : bool
        True to prefill the prompt only and keep it for other engines to read.
    arrival_number : int
        Rank among sessions of equal priority, set by `EngineCore.submit`.
    prefilled : int
        Number of tokens prefilled so far, including those found in the prefix cache.
    emitted : int
        Number of answer tokens produced so far, including those before `offset`.
    running : bool
        True once the session is in the batch and uses memory.
    """

    session_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    blocks: tuple[int, ...] = ()
    offset: int = 0
    owner: str = ""
    start: int = 0
    hold: bool = False
    arrival_number: int = 0
    prefilled: int = 0
    emitted: int = 0
    running: bool = False

    @property
    def memory_tokens(self) -> int:
        """The memory that the session uses while it runs, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_held(self) -> bool:
        """True if the prefill is complete and other engines can read it."""
        return self.hold and self.running and self.prefilled >= self.prefill_tokens

    @property
    def prefill_tokens(self) -> int:
        """The number of tokens to prefill: the prompt and the answer before `offset`."""
        return self.prompt_tokens + self.offset


class StepOutput(NamedTuple):
    """One answer token, or the end of the prefill of a session with `hold`.

    Parameters
    ----------
    session : Session
        Session that produced the token.
    offset : int
        Position of the token in the answer.
    last : bool
        True for the last token of the answer.
    held : bool
        True for the end of a held prefill, which has no token.
    """

    session: Session
    offset: int
    last: bool
    held: bool = False


@dataclass
class EngineCore:
    """State of an engine: its sessions, batch and prefix cache.

    Parameters
    ----------
    spec : EngineSpec
        Size and speed.
    sessions : dict of str to Session
        Queued and running sessions by id.
    cache : OrderedDict of int to None
        Hashes of the cached prompt blocks, the least recently used first.
    cache_log : list of tuple
        Changes of the cache: ``stored`` or ``removed``, and the hash of the block.
    """

    spec: EngineSpec = field(default_factory=EngineSpec)
    sessions: dict[str, Session] = field(default_factory=dict)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    cache_log: list[tuple[str, int]] = field(default_factory=list)
    _arrival_numbers: Iterable[int] = field(default_factory=itertools.count)

    @property
    def reserved_tokens(self) -> int:
        """The memory of the running sessions, in tokens."""
        return sum(s.memory_tokens for s in self.sessions.values() if s.running)

    @property
    def free_tokens(self) -> int:
        """The memory that no running session uses, in tokens; the prefix cache may occupy it."""
        return self.spec.memory_tokens - self.reserved_tokens

    @property
    def queued_prefill_tokens(self) -> int:
        """The number of tokens that all sessions still have to prefill."""
        return sum(s.prefill_tokens - s.prefilled for s in self.sessions.values())

    def submit(self, session: Session) -> None:
        """Queue a session.

        Raises
        ------
        MemoryFullError
            If the session does not fit even on an idle engine.
        """
        if session.memory_tokens > self.spec.memory_tokens:
            raise MemoryFullError(
                f"{session.memory_tokens} tokens do not fit into {self.spec.memory_tokens}"
            )
        session.arrival_number = next(self._arrival_numbers)
        session.emitted = session.offset
        self.sessions[session.session_id] = session

    def cancel(self, session_id: str) -> bool:
        """Remove a session and free its memory; return False if there is no such session."""
        return self.sessions.pop(session_id, None) is not None

    def begin_step(self) -> tuple[float, list[tuple[Session, int]]] | None:
        """Plan a step.

        Returns
        -------
        tuple of float and list, or None
            The step's duration in seconds and its prefill chunks, the argument of
            `finish_step`; None if there is nothing to do.
        """
        by_priority = sorted(
            (s for s in self.sessions.values() if not s.is_held),
            key=lambda s: (s.priority, s.arrival_number),
        )
        self._admit(by_priority)
        if not any(s.running for s in by_priority):
            return None
        chunks: list[tuple[Session, int]] = []
        budget = self.spec.chunk_tokens
        duration_s = self.spec.decode_step_s
        for session in by_priority:
            remaining = session.prefill_tokens - session.prefilled
            if not session.running or remaining <= 0:
                continue
            chunk = min(budget, remaining)
            duration_s += self.spec.prefill_s(session.start + session.prefilled, chunk)
            chunks.append((session, chunk))
            budget -= chunk
            if budget <= 0:
                break
        return duration_s, chunks

    def finish_step(self, chunks: list[tuple[Session, int]]) -> list[StepOutput]:
        """Apply a planned step and return the tokens that it produced."""
        decoding = [
            s
            for s in self.sessions.values()
            if s.running and not s.hold and s.prefilled >= s.prefill_tokens
        ]
        for session, chunk in chunks:
            if session.session_id not in self.sessions:
                continue
            session.prefilled += chunk
            if session.prefilled >= session.prefill_tokens:
                self._cache_blocks(session)
                # The step that ends the prefill also yields the first token.
                decoding.append(session)
        return [self._emit(session) for session in decoding]

    def _emit(self, session: Session) -> StepOutput:
        if session.hold:
            return StepOutput(session, 0, last=False, held=True)
        offset = session.emitted
        session.emitted += 1
        last = session.emitted >= session.output_tokens
        if last:
            del self.sessions[session.session_id]
        return StepOutput(session, offset, last)

    def _admit(self, by_priority: list[Session]) -> None:
        free = self.free_tokens
        running = sum(s.running for s in self.sessions.values())
        for session in (s for s in by_priority if not s.running):
            if session.memory_tokens > free or running >= self.spec.max_sessions:
                return
            session.running = True
            session.prefilled = self._cached_tokens(session)
            free -= session.memory_tokens
            running += 1
            self._evict_blocks(free)

    def _cached_tokens(self, session: Session) -> int:
        hits = list(itertools.takewhile(self.cache.__contains__, session.blocks))
        for block in hits:
            self.cache.move_to_end(block)
        # The last token is always prefilled, since its output is the first answer token.
        return min(len(hits) * BLOCK_TOKENS, session.prefill_tokens - 1)

    def _cache_blocks(self, session: Session) -> None:
        for block in session.blocks:
            if block not in self.cache:
                self.cache_log.append(("stored", block))
            self.cache[block] = None
            self.cache.move_to_end(block)
        self._evict_blocks(self.free_tokens)

    def _evict_blocks(self, free_tokens: int) -> None:
        while len(self.cache) * BLOCK_TOKENS > max(0, free_tokens):
            block, _ = self.cache.popitem(last=False)
            self.cache_log.append(("removed", block))
