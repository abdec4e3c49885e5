"""The caller-facing side of a box: HTTP interface, validation and the processing of requests.

`CallerRoutes` serves the HTTP routes. A `CompletionRun` takes one request from its arrival to its
outcome: a `Placer` reserves targets, and an attempt sends the request to them.
"""

from .placement import *
from .placement import __all__ as _placement_all
from .requests import *
from .requests import __all__ as _requests_all
from .run import *
from .run import __all__ as _run_all
from .site import *
from .site import __all__ as _site_all

__all__ = [*_placement_all, *_requests_all, *_run_all, *_site_all]
