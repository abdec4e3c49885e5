"""Helpers without a subject of their own."""

from .http import *
from .http import __all__ as _http_all
from .timing import *
from .timing import __all__ as _timing_all

__all__ = [*_http_all, *_timing_all]
