"""Telemetry: JSON-lines logs of all boxes, metrics and traces of those with the OpenAI interface.

Import `traces` by name: OpenTelemetry is slow to import, and forwarding boxes do not need it.
"""

from .logs import *
from .logs import __all__ as _logs_all
from .metrics import *
from .metrics import __all__ as _metrics_all

__all__ = [*_logs_all, *_metrics_all]
