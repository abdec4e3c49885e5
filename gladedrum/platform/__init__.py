"""The adapter to the operators' platform: its names, formats and calls, without any policy.

No other package may spell out the names in `wire`; `tests/test_words.py` checks this.
"""

from .directory import *
from .directory import __all__ as _directory_all
from .store import *
from .store import __all__ as _store_all

__all__ = [*_directory_all, *_store_all]
