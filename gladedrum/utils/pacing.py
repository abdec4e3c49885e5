"""Pacing of bodies that come in small parts.

To parse a part of a body takes about ten microseconds, whatever its size. A sender of chunks of one
byte could so use a whole core at a few hundred kilobytes per second, and all other connections of
the process would wait. Contains no network or clock access.
"""

__all__ = ["MAX_TINY_PARTS", "MIN_MEAN_BYTES", "PartPacer", "SharedPace", "is_too_fine"]

SMALL_PART_BYTES = 512
"""Smaller parts are counted; larger ones come at no more than some ten thousand a second."""

PARTS_PER_S = 2000.0
"""Counted parts that one connection may bring per second: 2% of a core. Events of a stream, of a
few hundred bytes each, come at a tenth of this rate."""

BURST_PARTS = 512
"""Counted parts after which the rate is checked. Up to twice as many may so come at once, as those
of a stream do after it was not read for a while; parsing them takes ten milliseconds."""

RESUMED_PARTS = 64
"""Counted parts that may come after a pause."""

ALL_PARTS_PER_S = 10_000.0
"""Counted parts that all connections with a `SharedPace` may bring per second: a tenth of a core or
two, so that a crowd of them leaves the rest to other connections."""

ALL_BURST_PARTS = 2048
"""Counted parts of all connections after which their rate is checked."""

TURN_PARTS = 64
"""Counted parts that a connection may bring between two pauses when all together are too fast. One
that brings fewer, as ordinary callers do, never pauses for others."""

MAX_TINY_PARTS, MIN_MEAN_BYTES = 4096, 16
"""A body of more parts than `MAX_TINY_PARTS` holds at least `MIN_MEAN_BYTES` for each further one:
one part of a body that is sent at `PARTS_PER_S` takes longer than its bytes are worth."""


class SharedPace:
    """Counts the parts of all connections that share it."""

    def __init__(self) -> None:
        self._parts = 0.0
        self._drained_s = float("-inf")

    def note(self) -> bool:
        """Count a part; return whether all connections together may be too fast."""
        self._parts += 1
        return self._parts >= ALL_BURST_PARTS

    def pause_s(self, now_s: float) -> float:
        """Return how long a connection has to pause for all, in seconds; 0 for no pause."""
        drained = (now_s - self._drained_s) * ALL_PARTS_PER_S
        self._parts, self._drained_s = max(0.0, self._parts - drained), now_s
        return max(0.0, self._parts - ALL_BURST_PARTS + TURN_PARTS) / ALL_PARTS_PER_S


class PartPacer:
    """Tells when to pause the parsing of a connection's bodies.

    Parameters
    ----------
    shared : SharedPace, optional
        The pace of all connections of its kind.
    """

    def __init__(self, shared: SharedPace | None = None) -> None:
        self._shared = shared
        self._parts = 0.0
        self._turn_parts = 0
        self._drained_s = float("-inf")

    def add(self, count: int) -> None:
        """Count work that takes about as long as `count` parts."""
        self._parts += count

    def note(self, size: int) -> bool:
        """Count a part of `size` bytes; return whether to ask for a pause."""
        all_are_fast = False
        if size < SMALL_PART_BYTES:
            self._parts += 1
            self._turn_parts += 1
            all_are_fast = self._shared is not None and self._shared.note()
        return self._parts >= BURST_PARTS or (all_are_fast and self._turn_parts >= TURN_PARTS)

    def pause_s(self, now_s: float) -> float:
        """Return how long to pause after `note` has asked for it, in seconds; 0 for no pause."""
        drained = (now_s - self._drained_s) * PARTS_PER_S
        self._parts, self._drained_s = max(0.0, self._parts - drained), now_s
        excess = self._parts - (BURST_PARTS - RESUMED_PARTS)
        pause_s = excess / PARTS_PER_S if self._parts >= BURST_PARTS else 0.0
        if self._shared is not None and self._turn_parts >= TURN_PARTS:
            pause_s = max(pause_s, self._shared.pause_s(now_s))
        if pause_s:
            self._turn_parts = 0
        return pause_s


def is_too_fine(parts: int, size: int) -> bool:
    """Whether a body that has come in so many parts, of `size` bytes together, is not read on.

    Examples
    --------
    >>> is_too_fine(4000, 4000), is_too_fine(5000, 5000), is_too_fine(100_000, 10_000_000)
    (False, True, False)
    """
    return parts > MAX_TINY_PARTS + size / MIN_MEAN_BYTES
