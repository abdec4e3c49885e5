"""Memory of a stand-in target: reservations that expire."""

import time
from dataclasses import dataclass

__all__ = ["Reservation", "TargetMemory"]


@dataclass
class Reservation:
    """A reservation of memory.

    Parameters
    ----------
    tokens : int
        Size, in tokens.
    ends_s : float
        Time of expiry on the monotonic clock, in seconds.
    """

    tokens: int
    ends_s: float


class TargetMemory:
    """Tracks the reservations of a target's memory.

    Parameters
    ----------
    tokens : int
        Total size, in tokens.
    """

    def __init__(self, tokens: int):
        self.tokens = tokens
        self._rows: dict[str, Reservation] = {}

    def active(self) -> dict[str, Reservation]:
        """Return the reservations that have not expired, by id."""
        now_s = time.monotonic()
        self._rows = {name: row for name, row in self._rows.items() if row.ends_s > now_s}
        return self._rows

    def free_excluding(self, name: str) -> int:
        """Return the number of free tokens, without counting reservation `name` as used."""
        others = sum(row.tokens for other, row in self.active().items() if other != name)
        return self.tokens - others

    def reserve(self, name: str, tokens: int, hold_s: float) -> None:
        """Reserve memory for `hold_s` seconds; replaces an earlier reservation `name`."""
        self._rows[name] = Reservation(tokens, time.monotonic() + hold_s)

    def release(self, name: str) -> None:
        """Release reservation `name`, if it exists."""
        self._rows.pop(name, None)
