"""Slots of a stand-in target: so many requests run at once, others wait in order."""

from twisted.internet import defer

__all__ = ["Slots"]


class Slots:
    """The slots and the queue for them.

    Parameters
    ----------
    count : int
        How many requests run at once.
    """

    def __init__(self, count: int):
        self._count = count
        self._waiting: list[defer.Deferred[None]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    async def take(self) -> None:
        """Wait for a slot and take it."""
        if self.running < self._count:
            self.running += 1
            return
        # One whose request is closed while it waits takes no slot.
        free: defer.Deferred[None] = defer.Deferred(self._waiting.remove)
        self._waiting.append(free)
        await free

    def give(self) -> None:
        """Give a slot back: to the request that has waited longest, if one waits."""
        if self._waiting:
            self._waiting.pop(0).callback(None)
        else:
            self.running -= 1
