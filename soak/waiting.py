"""Waiting for something in a soak, with a limit."""

import time
from collections.abc import Awaitable, Callable

from twisted.internet import reactor

from gladedrum.utils import sleep

__all__ = ["READY_S", "until"]

READY_S = 120.0
"""How long the fleet, or a box, may take to become ready, in seconds: several starts of a box on a
busy machine."""

CHECK_S = 0.1
"""How often a condition is looked at, in seconds."""


async def until(what: str, condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait for a condition; raises `TimeoutError`, which says `what`, after `READY_S`."""
    end_s = time.monotonic() + READY_S
    while not await condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"waited {READY_S:g} s in vain until {what}")
        await sleep(reactor, CHECK_S)
