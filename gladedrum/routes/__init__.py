"""The operators' configuration in force: routes, services, organisations and limits.

It is decoded by the platform adapter and never changed afterwards; a new one replaces it whole.
"""

from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all]
