"""The table of weights and limits: knobs, rows, revisions."""

from .core import *
from .core import __all__ as _core_all
from .knobs import *
from .knobs import __all__ as _knobs_all

__all__ = [*_core_all, *_knobs_all]
