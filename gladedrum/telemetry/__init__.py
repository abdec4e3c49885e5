"""Telemetry of a box: JSON-lines logs, metrics and traces.

Import `traces` by name: OpenTelemetry is slow to import, and only boxes that make spans need it.
"""

from .logs import *
from .logs import __all__ as _logs_all
from .metrics import *
from .metrics import __all__ as _metrics_all

__all__ = [*_logs_all, *_metrics_all]
