"""Waiting for conditions with a timeout."""

import time
from collections.abc import Awaitable, Callable

from twisted.internet import reactor

from gladedrum.utils import sleep

__all__ = ["WAIT_TIMEOUT_S", "until"]

WAIT_TIMEOUT_S = 120.0
"""Timeout of a wait, in seconds: long enough for several starts of a box on a busy machine."""

CHECK_S = 0.1
"""Interval at which a condition is checked, in seconds."""


async def until(what: str, condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        After `WAIT_TIMEOUT_S`, with `what` in its message.
    """
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"timed out after {WAIT_TIMEOUT_S:g} s waiting until {what}")
        await sleep(reactor, CHECK_S)
