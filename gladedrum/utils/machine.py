"""What the machine gives this process: memory and descriptors."""

import os
import resource
from pathlib import Path

__all__ = ["descriptor_limit", "machine_memory_bytes"]

_CGROUP_FILES = (
    Path("/sys/fs/cgroup/memory.max"),
    Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)
"""Files with the limit on the memory of this process's control group, for both versions."""

_MANY_DESCRIPTORS = 1_048_576
"""Taken for a limit that is infinite."""


def machine_memory_bytes() -> int:
    """Return the memory that this process may use, in bytes: the machine's, or its group's."""
    limits = [os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")]
    for path in _CGROUP_FILES:
        try:
            limits.append(int(path.read_text()))
        except (OSError, ValueError):
            # No such group, or a group without a limit.
            continue
    return min(limits)


def descriptor_limit() -> int:
    """Return how many descriptors this process may have open at once."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _MANY_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
