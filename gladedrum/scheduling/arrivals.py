"""Arrival rate of long prompts.

Reading a prompt stretches the passes of its engine, and so the pauses of the answers beside it.
Placement uses the recent arrival rate to estimate the delay of an answer by long prompts that
arrive while it is written. A prompt is long here if its parts have at least `MIN_PART_TOKENS`. The
other terms are those of `engine_model`.
"""

import math
from collections import deque
from typing import NamedTuple

from .engine_model import EngineTraits, read_time_s

__all__ = ["LongPromptArrivals"]

MIN_PART_TOKENS = 8_000
"""Shorter parts are not counted: engines read them within any objective for pauses."""

DECAY_S = 6.0
"""Time constant of the exponential decay, in seconds: long enough to average over several long
prompts, short enough to follow a changing mix."""

MAX_ARRIVALS = 512
"""Maximum number of arrivals kept, enough for the decay time in the largest fleets."""


RATE_CACHE_S = 0.1
"""How long a computed rate is reused, in seconds. A coordinator of a large fleet needs it a
hundred times a second, and it changes little in this time."""


MAX_CACHED_RATES = 64
"""Maximum number of cached rates, one for each kind of engine and pause limit."""


class _Arrival(NamedTuple):
    """The placement of a long prompt: its time, the number of parts and their length."""

    at_s: float
    parts: int
    part_tokens: float


class _CachedRate(NamedTuple):
    """A rate in parts a second, and the time of its computation."""

    at_s: float
    per_s: float


class LongPromptArrivals:
    """The recently placed long prompts, over all engines."""

    def __init__(self) -> None:
        self._arrivals: deque[_Arrival] = deque(maxlen=MAX_ARRIVALS)
        self._rates: dict[tuple[EngineTraits, float], _CachedRate] = {}

    def note(self, prompt_tokens: float, parts: int, now_s: float) -> None:
        """Record a prompt that is read in `parts` parts from now on."""
        part_tokens = prompt_tokens / parts
        if part_tokens >= MIN_PART_TOKENS:
            self._arrivals.append(_Arrival(now_s, parts, part_tokens))

    def parts_per_s(self, traits: EngineTraits, longer_than_s: float, now_s: float) -> float:
        """Return the recent parts per second that take longer than `longer_than_s` to read."""
        key = (traits, longer_than_s)
        known = self._rates.get(key)
        if known is not None and now_s - known.at_s < RATE_CACHE_S:
            return known.per_s
        per_s = sum(
            arrival.parts * math.exp((arrival.at_s - now_s) / DECAY_S) / DECAY_S
            for arrival in self._arrivals
            if _part_read_time_s(traits, arrival) > longer_than_s
        )
        if len(self._rates) >= MAX_CACHED_RATES:
            self._rates.clear()
        self._rates[key] = _CachedRate(now_s, per_s)
        return per_s


def _part_read_time_s(traits: EngineTraits, arrival: _Arrival) -> float:
    """Return the reading time of one part; the pairs of the whole prompt are shared evenly."""
    return read_time_s(traits, arrival.part_tokens * arrival.parts) / arrival.parts
