"""Settings: declared next to the code that uses them, and read from an INI file.

A file is validated as a whole.
"""

from .core import *
from .core import __all__ as _core_all
from .identity import *
from .identity import __all__ as _identity_all
from .render import *
from .render import __all__ as _render_all

__all__ = [*_core_all, *_identity_all, *_render_all]
