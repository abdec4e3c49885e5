"""Request traces: generation, replay and comparison of scheduling policies.

A trace is a list of requests with their arrival times. It is replayed in one process under a
simulated clock (`replay_locally`) or against running boxes (`replay_live`).
"""

from .caller import *
from .caller import __all__ as _caller_all
from .compare import *
from .compare import __all__ as _compare_all
from .live import *
from .live import __all__ as _live_all
from .local import *
from .local import __all__ as _local_all
from .report import *
from .report import __all__ as _report_all
from .trace import *
from .trace import __all__ as _trace_all

__all__ = [*_caller_all, *_compare_all, *_live_all, *_local_all, *_report_all, *_trace_all]
