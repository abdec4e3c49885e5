"""Forwarding of requests by the operator's routes, and the box that does it.

Requests come from `connections`; admission, attempts and relaying lead to one outcome each. The
package may import `beliefs`, `placing`, `connections` and `gossip`, which do not import it.
"""

from .settings import *
from .settings import __all__ as _settings_all

__all__ = [*_settings_all]
