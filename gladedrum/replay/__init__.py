"""Traces of requests: making them, replaying them, comparing policies on them."""

from .caller import *
from .caller import __all__ as _caller_all

__all__ = [*_caller_all]
