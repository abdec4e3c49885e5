"""Calls of the command line to a box's operators' pages."""

import argparse
import os

from ..errors import GladedrumError
from ..utils import JsonReply, LostAnswerError, NotSentError, WebClient
from .status import DEFAULT_OPERATORS

__all__ = ["UnreachableError", "add_operators", "call_operators"]

TOKEN_VARIABLE = "GLADEDRUM_TOKEN"
"""The environment variable from which the operator's token is taken."""

_TIMEOUT_S = 15.0


class UnreachableError(GladedrumError):
    """The box did not answer."""


def add_operators(parser: argparse.ArgumentParser) -> None:
    """Add the argument that says which box is asked."""
    parser.add_argument(
        "--operators", default=DEFAULT_OPERATORS, metavar="URL", help="operators' address"
    )


async def call_operators(
    args: argparse.Namespace, reactor, method: str, path: str, body: object = None
) -> JsonReply:
    """Call a page of the box that `args` name; raises `UnreachableError`."""
    token = os.environ.get(TOKEN_VARIABLE, "")
    url = f"{args.operators.rstrip('/')}/{path}"
    headers = {"authorization": f"Bearer {token}"}
    try:
        return await WebClient(reactor).call_json(method, url, body, _TIMEOUT_S, headers)
    except (NotSentError, LostAnswerError) as exc:
        raise UnreachableError(str(exc)) from exc
