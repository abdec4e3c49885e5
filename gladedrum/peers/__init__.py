"""Calls between boxes: the Thrift interface, liveness of boxes, and ownership of targets.

The owner of a target is the box that keeps its queue. Boxes that serve the OpenAI interface use
this package; boxes that forward requests inform each other by the datagrams of `gossip`.
"""

from .link import *
from .link import __all__ as _link_all
from .membership import *
from .membership import __all__ as _membership_all
from .ownership import *
from .ownership import __all__ as _ownership_all
from .records import *
from .records import __all__ as _records_all
from .server import *
from .server import __all__ as _server_all

__all__ = [*_link_all, *_membership_all, *_ownership_all, *_records_all, *_server_all]
