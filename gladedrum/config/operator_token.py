"""The token that operators need to edit the table, or to allow a condemned request again."""

import hmac

from . import Item

__all__ = ["OPERATOR_TOKEN", "is_authorized"]

OPERATOR_TOKEN = Item(
    "operators", "token", "",
    "The token that edits of the table, and lifts of condemned requests, must carry; empty allows "
    "none.",
    secret=True,
)  # fmt: skip


def is_authorized(authorization: str | None, token: str) -> bool:
    """Whether an ``Authorization`` header holds the operators' token; False if `token` is empty.

    The comparison takes constant time, to prevent timing attacks.
    """
    given = (authorization or "").removeprefix("Bearer ")
    return bool(token) and hmac.compare_digest(given.encode(), token.encode())
