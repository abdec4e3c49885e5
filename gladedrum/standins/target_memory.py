"""The memory of a stand-in target: reservations, each with an end of its own."""

import time
from dataclasses import dataclass

__all__ = ["Reservation", "TargetMemory"]


@dataclass
class Reservation:
    """Memory that is set aside.

    Parameters
    ----------
    tokens : int
        How much.
    ends_s : float
        When it is free again by itself, by the monotonic clock in seconds.
    """

    tokens: int
    ends_s: float


class TargetMemory:
    """The memory for reservations.

    Parameters
    ----------
    tokens : int
        How much there is.
    """

    def __init__(self, tokens: int):
        self.tokens = tokens
        self._rows: dict[str, Reservation] = {}

    def held(self) -> dict[str, Reservation]:
        """Return the reservations that have not ended, by their ids."""
        now_s = time.monotonic()
        self._rows = {name: row for name, row in self._rows.items() if row.ends_s > now_s}
        return self._rows

    def free_beside(self, name: str) -> int:
        """Return how many tokens are free if the reservation `name` does not count."""
        others = sum(row.tokens for other, row in self.held().items() if other != name)
        return self.tokens - others

    def set_aside(self, name: str, tokens: int, hold_s: float) -> None:
        """Set memory aside for `hold_s` seconds, in place of what `name` held before."""
        self._rows[name] = Reservation(tokens, time.monotonic() + hold_s)

    def release(self, name: str) -> None:
        """Free what `name` holds, if anything."""
        self._rows.pop(name, None)
