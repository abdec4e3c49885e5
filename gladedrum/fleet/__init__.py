"""Types of the entries and reports of targets."""

from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all]
