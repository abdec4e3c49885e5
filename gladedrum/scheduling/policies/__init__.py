"""Queueing policies by name. A new policy is a module that registers it and is imported below."""

from . import fair_slack, fifo, least_loaded, length_pools
from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all, "fair_slack", "fifo", "least_loaded", "length_pools"]
