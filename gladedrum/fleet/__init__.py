"""What is known of targets and boxes, as plain values."""

from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all]
