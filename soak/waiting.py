"""Waiting for conditions with a timeout."""

import time
from collections.abc import Awaitable, Callable

from twisted.internet import reactor

from gladedrum.utils import sleep

__all__ = ["READY_S", "until"]

READY_S = 120.0
"""Timeout for the fleet or a box to become ready, in seconds: several starts of a box on a busy
machine."""

CHECK_S = 0.1
"""Interval at which a condition is checked, in seconds."""


async def until(what: str, condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        After `READY_S`, with `what` in its message.
    """
    end_s = time.monotonic() + READY_S
    while not await condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"timed out after {READY_S:g} s waiting until {what}")
        await sleep(reactor, CHECK_S)
