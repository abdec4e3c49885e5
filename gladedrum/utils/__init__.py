"""General helpers: timing, the process's clock, an HTTP client, listening and supervision."""

from .clock import *
from .clock import __all__ as _clock_all
from .http import *
from .http import __all__ as _http_all
from .timing import *
from .timing import __all__ as _timing_all

__all__ = [*_clock_all, *_http_all, *_timing_all]
