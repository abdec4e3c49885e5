"""Calls to the operators' interface of a box."""

import argparse
import os

from ..errors import GladedrumError
from ..utils import JsonReply, LostAnswerError, NotSentError, WebClient
from .status import DEFAULT_OPERATORS

__all__ = ["UnreachableError", "add_operators", "call_operators"]

TOKEN_VARIABLE = "GLADEDRUM_TOKEN"
"""Environment variable that holds the operator's token."""

_TIMEOUT_S = 15.0


class UnreachableError(GladedrumError):
    """The box did not answer."""


def add_operators(parser: argparse.ArgumentParser) -> None:
    """Add the option that selects the box to call."""
    parser.add_argument(
        "--operators",
        default=DEFAULT_OPERATORS,
        metavar="URL",
        help="operators' address of the box",
    )


async def call_operators(
    args: argparse.Namespace, reactor, method: str, path: str, body: object = None
) -> JsonReply:
    """Call a path of the box selected by `args`; raises `UnreachableError` without an answer."""
    token = os.environ.get(TOKEN_VARIABLE, "")
    url = f"{args.operators.rstrip('/')}/{path}"
    headers = {"authorization": f"Bearer {token}"}
    try:
        return await WebClient(reactor).call_json(method, url, body, _TIMEOUT_S, headers)
    except (NotSentError, LostAnswerError) as exc:
        raise UnreachableError(str(exc)) from exc
