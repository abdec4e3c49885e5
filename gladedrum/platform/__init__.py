"""The adapter to the operators' platform: its names, formats and calls, without any policy.

The platform lists targets in two places: the directory (`directory`: boxes, engines and plain
services) and the store (`feeds.TargetFeed`: entries that targets write themselves).

No other package may spell out the names in `wire`; `tests/test_wire_names.py` checks this.
"""

from .directory import *
from .directory import __all__ as _directory_all
from .store import *
from .store import __all__ as _store_all

__all__ = [*_directory_all, *_store_all]
