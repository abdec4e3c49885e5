"""The ways in which the links from a box to all targets are cut."""

from enum import Enum

__all__ = ["LinkCut"]


class LinkCut(Enum):
    """How the links from one box to all targets fail; the values stand in the box's file."""

    NONE = "none"
    SILENT = "silent"
    """Nothing passes, and connections hang."""
    ANSWERS_LOST = "answers lost"
    """Bytes reach the targets, nothing comes back, and connections hang."""
    RESET = "reset"
    """Open connections are reset, new ones are refused."""
    REFUSE_NEW = "refuse new"
    """Open connections go on, new ones are refused."""
