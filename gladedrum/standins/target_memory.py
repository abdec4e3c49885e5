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
    expires_at_s: float


class TargetMemory:
    """Tracks the reservations of a target's memory.

    Parameters
    ----------
    tokens : int
        Total size, in tokens.
    """

    def __init__(self, tokens: int):
        self.tokens = tokens
        self._reservations: dict[str, Reservation] = {}

    def active(self) -> dict[str, Reservation]:
        """Return the reservations that have not expired, by id."""
        now_s = time.monotonic()
        self._reservations = {
            reservation_id: reservation
            for reservation_id, reservation in self._reservations.items()
            if reservation.expires_at_s > now_s
        }
        return self._reservations

    def free_excluding(self, reservation_id: str) -> int:
        """Return the number of free tokens; the tokens of `reservation_id` count as free."""
        others = sum(
            reservation.tokens
            for other_id, reservation in self.active().items()
            if other_id != reservation_id
        )
        return self.tokens - others

    def reserve(self, reservation_id: str, tokens: int, hold_s: float) -> None:
        """Reserve memory for `hold_s` seconds; replaces a reservation with the same id."""
        self._reservations[reservation_id] = Reservation(tokens, time.monotonic() + hold_s)

    def release(self, reservation_id: str) -> None:
        """Release a reservation, if it exists."""
        self._reservations.pop(reservation_id, None)
