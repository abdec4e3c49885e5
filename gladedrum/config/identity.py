"""The settings that identify a box; used by all parts of a box."""

from .core import Item

__all__ = ["BOX_NAME", "DATA_HALL"]

BOX_NAME = Item("box", "name", "box-1", "The name of this box, unique in the fleet.")
DATA_HALL = Item("box", "data_hall", "hall-1", "The data hall in which this box stands.")
