"""How often long prompts come: what is to be read beside an answer after it has been placed.

A prompt that is read beside answers stretches the passes of its engine, and with them the pauses
of these answers. Which prompts will come is not known when an answer is placed, but how often they
came of late is.
"""

import math
from collections import deque
from typing import NamedTuple

from .engine_model import EngineTraits, read_time_s

__all__ = ["LongReads"]

LEAST_TOKENS = 8_000
"""Parts of fewer tokens are not counted: engines read them within the pauses that are aimed at."""

MEMORY_S = 6.0
"""An arrival counts for a third after so many seconds: long enough for several long prompts, short
enough to follow a mix that changes within a minute."""

MOST_KEPT = 512
"""Arrivals that are remembered: in the largest fleets those of the last minute."""


RATE_FOR_S = 0.1
"""A rate that was worked out holds for so long, in seconds: it fades by 2% meanwhile. A box that
decides for a large fleet asks for it a hundred times a second, over some hundred arrivals."""


MOST_RATES = 64
"""Rates that are kept: one for each kind of engine and pause that is aimed at."""


class _Arrival(NamedTuple):
    """A prompt: when it was placed, in how many parts, and how long each is."""

    at_s: float
    parts: int
    part_tokens: float


class _Rate(NamedTuple):
    """Parts a second, and when that was worked out."""

    at_s: float
    per_s: float


class LongReads:
    """The long prompts that were placed of late, on any engine."""

    def __init__(self) -> None:
        self._arrivals: deque[_Arrival] = deque(maxlen=MOST_KEPT)
        self._rates: dict[tuple[EngineTraits, float], _Rate] = {}

    def note(self, prompt_tokens: float, parts: int, now_s: float) -> None:
        """Note a prompt that is read in `parts` parts from now on."""
        part_tokens = prompt_tokens / parts
        if part_tokens >= LEAST_TOKENS:
            self._arrivals.append(_Arrival(now_s, parts, part_tokens))

    def parts_per_s(self, traits: EngineTraits, longer_than_s: float, now_s: float) -> float:
        """Return how many engines a second began to read for longer than a time, of late."""
        key = (traits, longer_than_s)
        known = self._rates.get(key)
        if known is not None and now_s - known.at_s < RATE_FOR_S:
            return known.per_s
        per_s = sum(
            arrival.parts * math.exp((arrival.at_s - now_s) / MEMORY_S) / MEMORY_S
            for arrival in self._arrivals
            if _read_s(traits, arrival) > longer_than_s
        )
        if len(self._rates) >= MOST_RATES:
            self._rates.clear()
        self._rates[key] = _Rate(now_s, per_s)
        return per_s


def _read_s(traits: EngineTraits, arrival: _Arrival) -> float:
    """Return how long one part of a prompt is read; the pairs of all are shared evenly."""
    return read_time_s(traits, arrival.part_tokens * arrival.parts) / arrival.parts
