"""Datagrams between boxes: their format and the UDP port that sends and receives them.

The format is declared in `work.thrift`, from which `wire` is generated. This package only encodes,
decodes and delivers messages; it holds no state of targets, makes no decisions and imports no
other package of gladedrum.
"""

from .port import *
from .port import __all__ as _port_all

__all__ = [*_port_all]
