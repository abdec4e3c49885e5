"""``gladedrumctl evacuations``: shows the evacuated data halls that a box knows."""

import argparse
from http import HTTPStatus

from .calls import UnreachableError, add_operators, call_operators
from .command import Command, ExitCode, print_json, print_table

__all__ = ["COMMANDS"]


async def _show(args: argparse.Namespace, reactor) -> ExitCode:
    reply = await call_operators(args, reactor, "GET", "evacuations")
    if reply.status != HTTPStatus.OK:
        raise UnreachableError(f"{args.operators}: no list of evacuations from this box")
    if args.json:
        print_json(reply.body)
        return ExitCode.OK
    print(_copy_text(reply.body["copy"]))
    rows = reply.body["data_halls"]
    if rows:
        heading = ["EVACUATED DATA HALL", "TARGETS", "STILL RUNNING"]
        print_table(heading, [[row["data_hall"], row["targets"], row["running"]] for row in rows])
    return ExitCode.OK


def _copy_text(copy: dict) -> str:
    """Return a line on the copy: whether there is one, its revision, and where it is from."""
    if copy["halls"] is None:
        return "this box does not know yet which data halls are evacuated"
    told_by = copy["told_by"]
    origin = f"told by {told_by}" if told_by else f"read {copy['age_s']:.1f} s ago"
    state = "no data hall is evacuated, " if not copy["halls"] else ""
    return f"{state}as of era {copy['era']}, revision {copy['revision']}, {origin}"


COMMANDS = [
    Command(
        "evacuations",
        "Show evacuated data halls, and the work that still runs there.",
        add_operators,
        _show,
    ),
]
"""The commands of this module."""
