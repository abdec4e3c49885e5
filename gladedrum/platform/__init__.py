"""Clients of what the platform gives: the key-value service and the list of boxes and targets."""

from .directory import *
from .directory import __all__ as _directory_all
from .kv import *
from .kv import __all__ as _kv_all

__all__ = [*_directory_all, *_kv_all]
