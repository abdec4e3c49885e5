"""Slots of a stand-in target: a limit on concurrent requests with a FIFO queue."""

from twisted.internet import defer

__all__ = ["Slots"]


class Slots:
    """A semaphore with a FIFO queue whose waiters can be cancelled.

    Parameters
    ----------
    count : int
        Maximum number of concurrent requests.
    """

    def __init__(self, count: int):
        self._count = count
        self._waiting: list[defer.Deferred[None]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self) -> None:
        """Wait for a free slot and occupy it."""
        if self.running < self._count:
            self.running += 1
            return
        # Cancelling removes the waiter from the queue, so that no slot goes to a closed request.
        free: defer.Deferred[None] = defer.Deferred(self._waiting.remove)
        self._waiting.append(free)
        await free

    def release(self) -> None:
        """Free a slot, or pass it to the request that has waited longest."""
        if self._waiting:
            self._waiting.pop(0).callback(None)
        else:
            self.running -= 1
