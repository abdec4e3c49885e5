"""What a box tells about itself: JSON-lines logs, metrics and traces."""

from .logs import *
from .logs import __all__ as _logs_all
from .metrics import *
from .metrics import __all__ as _metrics_all
from .traces import *
from .traces import __all__ as _traces_all

__all__ = [*_logs_all, *_metrics_all, *_traces_all]
