"""Decides how the requests of all callers share the memory that a box has for them.

Contains no network or clock access. The connections of callers, the pages of operators and the
connections of other boxes carry out the decisions.
"""

from typing import Protocol

__all__ = ["RequestHolder", "RequestMemory", "RequestShare"]

LARGE_SHARE = 0.8
"""Share of the limit that requests of more than `SMALL_BYTES` may use. The rest is for small ones,
which are most: they are served also beside large ones that use up their part. Small ones may use
what large ones leave."""

SMALL_BYTES = 131_072
"""Bytes that a small request holds at most, copies included."""

PROGRESS_BYTES = 16_384
"""Further bytes that count as progress of a request. A single byte does not: otherwise a caller
that sends one now and then holds its memory for as long as it likes."""

STALLED_S = 1.0
"""Time without progress after which a request that is not whole may be refused for others, in
seconds. A caller that sends 16 kB a second is never refused for this reason."""


class RequestHolder(Protocol):
    """The connection whose memory a `RequestShare` counts."""

    def refuse_unfinished(self) -> None:
        """Refuse the request, which has not come whole, and release its share."""


class RequestShare:
    """The bytes that one connection holds for the request that it reads or has read.

    Parameters
    ----------
    memory : RequestMemory
        The memory of the box.
    holder : RequestHolder
        The connection.

    Attributes
    ----------
    size : int
        The bytes that are counted.
    is_whole : bool
        Whether the request has come whole; it is then not refused for others.
    progress_s : float
        When the request last made progress, by the clock of its connection.
    """

    __slots__ = ("_marked", "holder", "is_whole", "memory", "progress_s", "size")

    def __init__(self, memory: "RequestMemory", holder: RequestHolder):
        self.memory = memory
        self.holder = holder
        self.size = 0
        self.is_whole = False
        self.progress_s = float("-inf")
        self._marked = 0

    def begin(self, now_s: float) -> None:
        """Handle that a request begins."""
        self.is_whole = False
        self.progress_s, self._marked = now_s, 0

    def hold(self, size: int, received: int, now_s: float) -> bool:
        """Count `size` bytes for a request of which `received` have come.

        Returns False, and counts nothing more, if they find no room.
        """
        if received - self._marked >= PROGRESS_BYTES:
            self.progress_s, self._marked = now_s, received
        return self.memory.resize(self, size, now_s)

    def release(self) -> None:
        """Return all bytes."""
        self.memory.release(self)


class RequestMemory:
    """The memory for requests, shared between all connections of a kind.

    Made for crowds of hundreds of callers that send the bodies of their requests in part and stay,
    beside a few that send ordinary requests.

    - A request whose bytes find no room is refused, unless others have stalled.
    - Then those are refused that have made no progress for longest, as many as it takes.
    - A request that has come whole keeps its memory until it has been answered.
    - A single large request is read also if it is larger than its part.

    Parameters
    ----------
    limit : float
        The limit in bytes.

    Attributes
    ----------
    refused : int
        Requests that were refused so far, for want of room or for others.
    """

    def __init__(self, limit: float):
        self.limit = limit
        self.refused = 0
        self._small = self._large = 0
        self._holding: set[RequestShare] = set()

    @property
    def used(self) -> int:
        """Bytes in use."""
        return self._small + self._large

    def share(self, holder: RequestHolder) -> RequestShare:
        """Return the share of a new connection, which holds nothing yet."""
        return RequestShare(self, holder)

    def resize(self, share: RequestShare, size: int, now_s: float) -> bool:
        """Change the bytes of a share; returns False if it would grow and has no room."""
        if size > share.size and not self._make_room(share, size, now_s):
            self.refused += 1
            return False
        self._count(share.size, -1)
        self._count(size, 1)
        share.size = size
        if size:
            self._holding.add(share)
        else:
            self._holding.discard(share)
        return True

    def release(self, share: RequestShare) -> None:
        """Forget the bytes of a share."""
        self._count(share.size, -1)
        share.size = 0
        self._holding.discard(share)

    def _count(self, size: int, sign: int) -> None:
        if size <= SMALL_BYTES:
            self._small += sign * size
        else:
            self._large += sign * size

    def _make_room(self, share: RequestShare, size: int, now_s: float) -> bool:
        small, large = _without(share.size, self._small, self._large)
        chosen = []
        if self._fits(size, small, large):
            return True
        for stalled in self._stalled(share, now_s):
            chosen.append(stalled)
            small, large = _without(stalled.size, small, large)
            if self._fits(size, small, large):
                break
        else:
            return False
        for stalled in chosen:
            self.refused += 1
            stalled.holder.refuse_unfinished()
        return True

    def _fits(self, size: int, small: int, large: int) -> bool:
        """Whether a request fits beside small and large ones that hold so many bytes."""
        if size > SMALL_BYTES:
            return not large or large + size <= LARGE_SHARE * self.limit
        is_within_part = small + size <= (1 - LARGE_SHARE) * self.limit
        return is_within_part or small + large + size <= self.limit

    def _stalled(self, share: RequestShare, now_s: float) -> list[RequestShare]:
        """Return the requests that may be refused for another, those that wait longest first."""
        stalled = [
            other
            for other in self._holding
            if other is not share and not other.is_whole and now_s - other.progress_s >= STALLED_S
        ]
        return sorted(stalled, key=lambda other: other.progress_s)


def _without(size: int, small: int, large: int) -> tuple[int, int]:
    """Return the bytes of small and large requests without one of this size."""
    return (small - size, large) if size <= SMALL_BYTES else (small, large - size)
