"""Simulation in virtual time of an engine that computes in passes.

A pass reads parts of prompts (prefill) and writes events (decoding) of several requests. Its
duration follows `scheduling.engine_model`, with a random factor for each engine and each pass and a
random overhead.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from gladedrum.scheduling.engine_model import EngineTraits, reading_order

__all__ = ["Part", "Pass", "PassEngine", "Stream"]

SPREAD = 0.06
"""Maximum deviation of the speed of an engine, and of a pass, from the model, as a share."""

MEAN_OVERHEAD_S = 0.002
"""Mean overhead of a pass over the model, in seconds."""


@dataclass(slots=True, eq=False)
class Stream:
    """A request on its engines: the rest of its answer, and the times of its events.

    Parameters
    ----------
    arrived_s : float
        Time of arrival.
    answer_left : float
        Tokens still to be written.
    unread_parts : int
        Parts of its prompt that are still to be read.
    patience_s : float
        Longest wait for an event after which the caller gives up, in seconds.

    Attributes
    ----------
    first_s : float or None
        Time from the arrival to the first event, None before it.
    last_s : float
        Time of the last event.
    pause_s : float
        Longest pause between two events so far, in seconds.
    ended, lost : bool
        Whether it has ended, and whether it has because the caller gave up.
    """

    arrived_s: float
    answer_left: float
    unread_parts: int
    patience_s: float
    first_s: float | None = None
    last_s: float = 0.0
    pause_s: float = 0.0
    ended: bool = False
    lost: bool = False

    def note_event(self, now_s: float, tokens: int) -> None:
        """Record an event; the request is lost if the caller has given up before it."""
        if self.first_s is None:
            self.first_s = now_s - self.arrived_s
            self.lost = self.first_s > self.patience_s
        else:
            self.pause_s = max(self.pause_s, now_s - self.last_s)
            self.lost = self.pause_s > self.patience_s
        self.last_s = now_s
        self.answer_left -= tokens
        self.ended = self.lost or self.answer_left <= 0


@dataclass(slots=True, eq=False)
class Part:
    """A part of a prompt on one engine.

    Parameters
    ----------
    stream : Stream
        The request.
    unread : float
        Tokens that this engine must still read.
    parts : int
        Number of engines that read the prompt.
    writes : bool
        Whether this engine writes the answer.
    """

    stream: Stream
    unread: float
    parts: int
    writes: bool
    read: float = 0.0

    @property
    def is_joint(self) -> bool:
        """Whether other engines read parts of the same prompt too."""
        return self.parts > 1

    def advance(self, tokens: float, traits: EngineTraits) -> float:
        """Read tokens and return the duration, in seconds."""
        pairs = (tokens * self.read + tokens * tokens / 2) * self.parts
        self.read += tokens
        self.unread -= tokens
        return tokens / traits.read_tokens_per_s + pairs * traits.per_pair_s


class Pass(NamedTuple):
    """A pass: duration in seconds, parts that write an event at its end, and parts fully read."""

    duration_s: float
    writers: list[Part]
    finished_readers: list[Part]


@dataclass
class PassEngine:
    """A simulated engine.

    Parameters
    ----------
    traits : EngineTraits
        Parameters of the model.
    rng : random.Random
        Source of the deviations from the model.
    """

    traits: EngineTraits
    rng: random.Random
    parts: list[Part] = field(default_factory=list)
    is_running: bool = False

    def __post_init__(self) -> None:
        self._slowdown = 1 + SPREAD * self.rng.uniform(-1, 1)

    def next_pass(self) -> Pass | None:
        """Simulate the next pass and return it; None if the engine has no work."""
        self.parts = [p for p in self.parts if not p.stream.ended and (p.writes or p.unread > 0)]
        if not self.parts:
            return None
        running = self.parts[: self.traits.slots]
        writers = [p for p in running if p.writes and not p.unread and not p.stream.unread_parts]
        steps = self.traits.stride if writers else 1
        step_s = self.traits.step_s + len(writers) * self.traits.per_writer_s
        step_s += sum(p.read for p in writers) * self.traits.per_context_token_s
        finished_readers, read_s = self._read([p for p in running if p.unread > 0], steps)
        duration_s = (
            (steps * step_s + read_s) * self._slowdown * (1 + SPREAD * self.rng.uniform(-1, 1))
        )
        return Pass(
            duration_s + self.rng.expovariate(1 / MEAN_OVERHEAD_S), writers, finished_readers
        )

    def _read(self, readers: list[Part], steps: int) -> tuple[list[Part], float]:
        """Read as much as fits into a pass; return the parts fully read, and the duration."""
        budget = steps * self.traits.chunk
        read_s = 0.0
        for part in reading_order(readers, lambda part: part.is_joint):
            tokens = min(part.unread, budget)
            if tokens <= 0:
                break
            read_s += part.advance(tokens, self.traits)
            budget -= tokens
        return [part for part in readers if not part.unread], read_s
