"""The operators' configuration in force: routes, services, organisations and limits.

The platform adapter decodes it. A configuration is immutable; a newer version replaces it.
"""

from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all]
