"""The ways in which the links from a box to all targets, and to all other boxes, are cut."""

from enum import Enum

__all__ = ["TARGET_CUTS", "LinkCut"]


class LinkCut(Enum):
    """How the links from one box fail; the values stand in the box's file."""

    NONE = "none"
    SILENT = "silent"
    """Nothing passes, and connections hang."""
    ANSWERS_LOST = "answers lost"
    """Bytes reach the targets, nothing comes back, and connections hang."""
    RESET = "reset"
    """Open connections are reset, new ones are refused."""
    REFUSE_NEW = "refuse new"
    """Open connections go on, new ones are refused."""
    ALL = "all"
    """As `SILENT`, and no datagrams pass between the box and others."""


TARGET_CUTS = tuple(cut for cut in LinkCut if cut not in (LinkCut.NONE, LinkCut.ALL))
"""The ways in which only the links to targets are cut."""
