"""Targets: model engines and plain services.

Holds the clients that call them, the parsers of their responses, and the owner, which keeps the
queue and the reservations of one engine.
"""

from .engine import *
from .engine import __all__ as _engine_all
from .held import *
from .held import __all__ as _held_all
from .service import *
from .service import __all__ as _service_all
from .stream import *
from .stream import __all__ as _stream_all
from .tokens import *
from .tokens import __all__ as _tokens_all

__all__ = [*_engine_all, *_held_all, *_service_all, *_stream_all, *_tokens_all]
