"""At most once: requests with an idempotency key are claimed before a byte goes to a target."""

from .book import *
from .book import __all__ as _book_all
from .core import *
from .core import __all__ as _core_all
from .shard import *
from .shard import __all__ as _shard_all

__all__ = [*_book_all, *_core_all, *_shard_all]
