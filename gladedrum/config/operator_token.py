"""The setting that says who may edit the table of weights and limits."""

from . import Item

__all__ = ["OPERATOR_TOKEN"]

OPERATOR_TOKEN = Item(
    "operators", "token", "", "The token that edits of the table must carry; empty allows none.",
    secret=True,
)  # fmt: skip
