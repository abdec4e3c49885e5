"""The daemon: a tree of supervised tasks that together make a box."""

from .box import *
from .box import __all__ as _box_all
from .embedded import *
from .embedded import __all__ as _embedded_all
from .supervisor import *
from .supervisor import __all__ as _supervisor_all

__all__ = [*_box_all, *_embedded_all, *_supervisor_all]
