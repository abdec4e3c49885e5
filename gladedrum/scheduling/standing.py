"""What may be done with a request that is suspected of crashing targets."""

from collections import defaultdict
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

__all__ = ["ENDS_TO_CONDEMN", "LOSS_RETENTION_S", "Standing", "TargetStart", "count_starts"]

ENDS_TO_CONDEMN = 3
"""Number of targets that a request, or a part of a prompt, must have ended to be condemned. The
figure is given by the users."""

LOSS_RETENTION_S = 600.0
"""How long a settled loss counts, in seconds. After that what was condemned is tried again, as
targets may run another version; if it still ends them, it is condemned again by the same rules."""


class TargetStart(NamedTuple):
    """One start of a target's process.

    `name` is the target's; `born` distinguishes its starts (see `TargetEntry`), 0 if unknown.
    """

    name: str
    born: int


class Standing(IntEnum):
    """What may be done with a request.

    CLEAR : It is not suspected.
    WATCHED : It is kept apart from other suspects.
    ALONE : It runs by itself, one at a time in the fleet.
    HELD : It waits until it is settled whether the targets ended.
    CONDEMNED : It is refused.
    """

    CLEAR = 0
    WATCHED = 1
    ALONE = 2
    HELD = 3
    CONDEMNED = 4


def count_starts(starts: Iterable[TargetStart]) -> int:
    """Return the number of different starts of targets.

    An unknown start counts only if no start of its target is known.
    """
    starts_by_name: dict[str, set[int]] = defaultdict(set)
    for target in starts:
        starts_by_name[target.name].add(target.born)
    return sum(max(1, len(known - {0})) for known in starts_by_name.values())
