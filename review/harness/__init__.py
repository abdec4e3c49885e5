"""Stand-ins and a starter of boxes for the scripts of the review.

Everything runs on loopback addresses and the real clock. The stand-ins of the store, the runners
and the clients run in the process of the script; each box is a process of its own, started with
the command and the settings template of the deploy file. The stand-ins speak the users' protocol
page; a script changes a runner only in the way that its claim names.
"""

from .boxes import BOUNDS, Fleet
from .clients import Client
from .configuration import configuration, engine_service, plain_service, route
from .errors import CannotRunError
from .messages import encode_answer
from .runners import JSON, Runner, encode_head
from .script import run_case
from .store import Store

__all__ = ["BOUNDS", "JSON", "CannotRunError", "Client", "Fleet", "Runner", "Store"]
__all__ += ["configuration", "encode_answer", "encode_head", "engine_service", "plain_service"]
__all__ += ["route", "run_case"]
