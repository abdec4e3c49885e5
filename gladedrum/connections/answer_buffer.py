"""The buffer between the answers for a caller and its connection, counted in a memory budget."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime, ITransport

from .closing import close_if_reset, set_reset_on_close
from .memory_budget import Account

__all__ = ["AnswerBuffer"]

SLICE_BYTES = 65_536
"""The most that is given to the transport at once. It is copied there, so it is kept small."""

STALL_LIMIT_S = 60.0
"""A connection whose caller takes nothing for this long is dropped. The kernel reports progress
only when a third of its send buffer (up to 4 MB) is free, so a caller that reads 25 KB/s shows some
within this time; one that shows none has hung or left."""


class AnswerBuffer:
    """Takes a caller's answers at the targets' speed, and hands them over as the caller reads.

    It is a pull producer: the transport asks for the next slice when it has written the last one,
    so all bytes that the process holds for the caller are counted.

    Parameters
    ----------
    clock : IReactorTime
        For the limit on stalled callers.
    transport : ITransport
        The transport of the caller's connection.
    account : Account
        Counts the bytes.
    on_stalled : callable
        Called when the caller has taken nothing for `STALL_LIMIT_S`.
    """

    def __init__(
        self,
        clock: IReactorTime,
        transport: ITransport,
        account: Account,
        on_stalled: Callable[[], None],
    ):
        self._clock = clock
        self._transport = transport
        self._account = account
        self._on_stalled = on_stalled
        self._queue = bytearray()
        self._slice_bytes = 0
        self._progress_s = 0.0
        self._timer: IDelayedCall | None = None
        self._closing = self._is_reset_on_close = False
        self._discarded = False
        transport.registerProducer(self, False)

    @property
    def unsent(self) -> int:
        """Bytes that the transport has not written yet."""
        return len(self._queue) + self._slice_bytes

    @property
    def stalled_s(self) -> float:
        """For how long the caller has taken none of the unsent bytes, in seconds."""
        return self._clock.seconds() - self._progress_s if self.unsent else 0.0

    def write(self, data: bytes) -> None:
        """Add bytes of an answer."""
        if self._discarded:
            return
        if not self.unsent:
            self._progress_s = self._clock.seconds()
        self._start_timer()
        self._queue += data
        if not self._slice_bytes:
            self._write_slice()
        self._account.set_unsent(self.unsent)

    def close(self, is_reset_on_close: bool = False) -> None:
        """Close the connection in an orderly way once all bytes are written.

        `is_reset_on_close` tells that `set_reset_on_close` is on, which would reset it.
        """
        self._closing = True
        self._is_reset_on_close |= is_reset_on_close
        if not self.unsent and not self._discarded:
            if self._is_reset_on_close:
                set_reset_on_close(self._transport, False)
            self._transport.unregisterProducer()
            self._transport.loseConnection()

    def discard(self) -> None:
        """Drop all bytes, and ignore what is written later; the caller must abort the transport."""
        self._discarded = True
        self._queue = bytearray()
        self._slice_bytes = 0
        self._stop_timer()
        self._account.close()

    # Called by the transport.

    def resumeProducing(self) -> None:
        """Hand over the next slice: the transport has written the last one."""
        if self._discarded:
            return
        self._progress_s = self._clock.seconds()
        self._slice_bytes = 0
        if self._queue:
            self._write_slice()
        elif self._closing:
            self.close()
        self._account.set_unsent(self.unsent)

    def stopProducing(self) -> None:
        """Reset the connection if its loss cuts an answer; `connectionLost` discards the buffer."""
        close_if_reset(self._transport)

    def _write_slice(self) -> None:
        data = bytes(self._queue[:SLICE_BYTES])
        del self._queue[:SLICE_BYTES]
        self._slice_bytes = len(data)
        self._transport.write(data)

    # Stalled callers.

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self._clock.callLater(STALL_LIMIT_S, self._check_progress)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _check_progress(self) -> None:
        self._timer = None
        if not self.unsent:
            return
        left_s = self._progress_s + STALL_LIMIT_S - self._clock.seconds()
        if left_s <= 0:
            self._on_stalled()
        else:
            self._timer = self._clock.callLater(left_s, self._check_progress)
