"""The setting that says who may edit the table of weights and limits, and lift a refusal."""

import hmac

from . import Item

__all__ = ["OPERATOR_TOKEN", "bears_token"]

OPERATOR_TOKEN = Item(
    "operators", "token", "",
    "The token that edits of the table, and lifts of condemned requests, must carry; empty allows "
    "none.",
    secret=True,
)  # fmt: skip


def bears_token(authorization: str | None, token: str) -> bool:
    """Whether a request's ``Authorization`` header holds the operators' token; an empty one never.

    The comparison takes as long for a nearly right one as for any other.
    """
    given = (authorization or "").removeprefix("Bearer ")
    return bool(token) and hmac.compare_digest(given.encode(), token.encode())
