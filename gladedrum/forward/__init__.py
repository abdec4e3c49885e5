"""Forwarding of any request by the operator's routes, to the target that serves it best."""

from .settings import *
from .settings import __all__ as _settings_all

__all__ = [*_settings_all]
