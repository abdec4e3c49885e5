"""Pacing of bodies that come in small parts.

To parse a part of a body takes about ten microseconds, whatever its size. A sender of chunks of one
byte could so use a whole core at a few hundred kilobytes per second, and all other connections of
the process would wait. Contains no network or clock access.
"""

__all__ = ["MAX_TINY_PARTS", "MIN_MEAN_BYTES", "PartPacer", "is_too_fine"]

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

MAX_TINY_PARTS, MIN_MEAN_BYTES = 4096, 16
"""A body of more parts than `MAX_TINY_PARTS` holds at least `MIN_MEAN_BYTES` for each further one:
one part of a body that is sent at `PARTS_PER_S` takes longer than its bytes are worth."""


class PartPacer:
    """Tells when to pause the parsing of a connection's bodies."""

    def __init__(self) -> None:
        self._parts = 0.0
        self._drained_s = float("-inf")

    def add(self, count: int) -> None:
        """Count work that takes about as long as `count` parts."""
        self._parts += count

    def note(self, size: int) -> bool:
        """Count a part of `size` bytes; return whether to ask for a pause."""
        if size < SMALL_PART_BYTES:
            self._parts += 1
        return self._parts >= BURST_PARTS

    def pause_s(self, now_s: float) -> float:
        """Return how long to pause after `note` has asked for it, in seconds; 0 for no pause."""
        drained = (now_s - self._drained_s) * PARTS_PER_S
        self._parts, self._drained_s = max(0.0, self._parts - drained), now_s
        excess = self._parts - (BURST_PARTS - RESUMED_PARTS)
        return excess / PARTS_PER_S if self._parts >= BURST_PARTS else 0.0


def is_too_fine(parts: int, size: int) -> bool:
    """Whether a body that has come in so many parts, of `size` bytes together, is not read on.

    Examples
    --------
    >>> is_too_fine(4000, 4000), is_too_fine(5000, 5000), is_too_fine(100_000, 10_000_000)
    (False, True, False)
    """
    return parts > MAX_TINY_PARTS + size / MIN_MEAN_BYTES
