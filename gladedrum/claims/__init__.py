"""At-most-once execution of requests that carry an idempotency key.

A box claims the key in the key-value service before it sends anything to a target, and records
the outcome of the request afterwards. A second request with the same key finds that claim and
is not run, unless the first one did not run.
"""

from .buckets import *
from .buckets import __all__ as _buckets_all
from .core import *
from .core import __all__ as _core_all
from .shard import *
from .shard import __all__ as _shard_all

__all__ = [*_buckets_all, *_core_all, *_shard_all]
