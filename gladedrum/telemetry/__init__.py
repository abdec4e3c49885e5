"""What a box tells about itself: JSON-lines logs, metrics and traces.

`traces` is imported by name: its library takes a good part of a start, and only boxes that make
spans need it.
"""

from .logs import *
from .logs import __all__ as _logs_all
from .metrics import *
from .metrics import __all__ as _metrics_all

__all__ = [*_logs_all, *_metrics_all]
