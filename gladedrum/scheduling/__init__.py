"""Scheduling decisions: which request runs where and when. Free of I/O; callers pass the time."""

from .decisions import *
from .decisions import __all__ as _decisions_all
from .jobs import *
from .jobs import __all__ as _jobs_all
from .policies import *
from .policies import __all__ as _policies_all
from .queue import *
from .queue import __all__ as _queue_all
from .quotes import *
from .quotes import __all__ as _quotes_all
from .segments import *
from .segments import __all__ as _segments_all

__all__ = [
    *_decisions_all,
    *_jobs_all,
    *_quotes_all,
    *_policies_all,
    *_queue_all,
    *_segments_all,
]
