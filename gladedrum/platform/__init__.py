"""The adapter to the users' platform: names, formats and calls. Nothing here decides.

The rest of the product knows none of the names in `wire`; a test reads the tree for them.
"""

from .directory import *
from .directory import __all__ as _directory_all
from .store import *
from .store import __all__ as _store_all

__all__ = [*_directory_all, *_store_all]
