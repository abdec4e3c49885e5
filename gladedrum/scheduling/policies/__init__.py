"""Queueing policies by name. To add one, register it in a new module and import this below."""

from . import fair_slack, fifo, least_loaded, length_pools
from .core import *
from .core import __all__ as _core_all

__all__ = [*_core_all, "fair_slack", "fifo", "least_loaded", "length_pools"]
