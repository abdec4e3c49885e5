"""Entries of the list of targets, and the targets' reports on their load."""

from typing import NamedTuple

__all__ = ["MAX_COLD_S", "TargetEntry", "TargetReport"]

MAX_COLD_S = 3600.0
"""Longest plausible remaining cold time, in seconds. Targets are cold for seconds; a longer time
than an hour is a fault of whoever states it and is treated as malformed."""


class TargetEntry(NamedTuple):
    """A target in the platform's list.

    Parameters
    ----------
    name : str
        Unique among the targets. A restarted target may keep its name; see `born`.
    service : str
        The service that it belongs to.
    host, port : str, int
        The address on which it listens. After the target ends, another one may get the address.
    data_hall : str
        The data hall in which it stands.
    slots : int
        The number of requests that it processes at once.
    leaving : bool
        Whether it must get no new requests.
    born : int
        Distinguishes the starts of a target: larger for a later start; 0 if unknown.
    cold_left_s : float or None
        Remaining time in seconds for which the target is cold, 0 if it is not cold, as of the time
        of the list that the entry was read from. None if the entry says nothing about it.
    """

    name: str
    service: str
    host: str
    port: int
    data_hall: str
    slots: int
    leaving: bool
    born: int = 0
    cold_left_s: float | None = None


class TargetReport(NamedTuple):
    """A target's report on its load; some hundred milliseconds old when the target sends it.

    Parameters
    ----------
    waiting, running : int
        The number of requests in its queue, and of those being processed.
    memory_used, memory_tokens : int
        The memory that cannot be freed, and the total memory, in tokens.
    pace : float
        The target's processing times relative to its service's figures; above 1 if it is slower.
    reservations : tuple of str
        The ids of its reservations of memory.
    born : int
        As in `TargetEntry`.
    """

    waiting: int
    running: int
    memory_used: int
    memory_tokens: int
    pace: float
    reservations: tuple[str, ...]
    born: int = 0
