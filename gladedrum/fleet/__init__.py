"""Records of the targets of a fleet: their entries in the platform's list, and load reports."""

from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all]
