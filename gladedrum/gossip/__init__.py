"""Datagrams between boxes: what they say (`work.thrift`, `wire` is made from it) and their port.

Takes bytes from the network and gives messages to whoever the box names. Knows no belief and no
policy: imports nothing of the product.
"""

from .port import *
from .port import __all__ as _port_all

__all__ = [*_port_all]
