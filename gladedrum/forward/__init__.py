"""The lifecycle of forwarded requests, and the box that forwards them by the operator's routes.

Requests come from `connections`. Each is admitted, sent to targets in one or more attempts, and has
one outcome. The package may import `beliefs` (the box's copies of shared state), `placing`,
`scheduling`, `connections` and `gossip`, which do not import it.
"""

from .settings import *
from .settings import __all__ as _settings_all

__all__ = [*_settings_all]
