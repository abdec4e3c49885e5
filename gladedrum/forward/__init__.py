"""The life of a request that is forwarded by the operator's routes, and the box around it.

In come requests as `connections` read them; admission, tries and relaying end in one outcome. May
import `beliefs`, `placing`, `connections` and `gossip`; they import nothing from here.
"""

from .settings import *
from .settings import __all__ as _settings_all

__all__ = [*_settings_all]
