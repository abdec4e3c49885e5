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


LONG_PROMPT_TOKENS = 30_000
"""Prompts of at least this many tokens count in `LongPromptArrivals.engines_busy`. Shorter ones
take an engine less than two tenths of a second, and so don't need one for themselves."""


class _LongWork(NamedTuple):
    """The placement of a long prompt: its time, lengths, and the traits of its engines."""

    at_s: float
    prompt_tokens: float
    answer_tokens: float
    traits: EngineTraits


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
        self._work: deque[_LongWork] = deque(maxlen=MAX_ARRIVALS)
        self._busy: dict[EngineTraits, _CachedRate] = {}

    def note(
        self,
        prompt_tokens: float,
        parts: int,
        now_s: float,
        answer_tokens: float = 0.0,
        traits: EngineTraits | None = None,
    ) -> None:
        """Record a prompt that engines with these traits read in `parts` parts from now on."""
        if traits is not None and prompt_tokens >= LONG_PROMPT_TOKENS:
            self._work.append(_LongWork(now_s, prompt_tokens, answer_tokens, traits))
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

    def engines_busy(self, traits: EngineTraits, now_s: float) -> float:
        """Return how many engines with these traits the recent long prompts keep busy.

        That is the time to read them and to write their answers, in engine-seconds per second.
        """
        known = self._busy.get(traits)
        if known is not None and now_s - known.at_s < RATE_CACHE_S:
            return known.per_s
        busy = sum(
            (read_time_s(traits, work.prompt_tokens) + work.answer_tokens * traits.step_s)
            * math.exp((work.at_s - now_s) / DECAY_S)
            / DECAY_S
            for work in self._work
            if work.traits == traits
        )
        if len(self._busy) >= MAX_CACHED_RATES:
            self._busy.clear()
        self._busy[traits] = _CachedRate(now_s, busy)
        return busy


def _part_read_time_s(traits: EngineTraits, arrival: _Arrival) -> float:
    """Return the reading time of one part; the pairs of the whole prompt are shared evenly."""
    return read_time_s(traits, arrival.part_tokens * arrival.parts) / arrival.parts
