"""``gladedrumctl condemned``: lists and lifts condemned requests.

A condemned request, or a request with a condemned part in its prompt, has crashed the targets that
ran it. No target gets it until its entry expires or an operator lifts it.
"""

import argparse
from http import HTTPStatus

from .calls import UnreachableError, add_operators, call_operators
from .command import Command, ExitCode, print_json, print_table

__all__ = ["COMMANDS"]


def _add_lift(parser: argparse.ArgumentParser) -> None:
    add_operators(parser)
    parser.add_argument("digest", metavar="DIGEST", help="digest of the request or part, as listed")


async def _list(args: argparse.Namespace, reactor) -> ExitCode:
    reply = await call_operators(args, reactor, "GET", "condemned")
    if reply.status != HTTPStatus.OK:
        raise UnreachableError(f"{args.operators}: no list of condemned requests from this box")
    rows = reply.body["condemned"]
    if args.json:
        print_json(rows)
        return ExitCode.OK
    heading = ["DIGEST", "PART", "ROUTE", "ORGANISATION", "TARGETS", "LAST ENDED", "TRIED AGAIN IN"]
    print_table(heading, [_cells(row) for row in rows])
    return ExitCode.OK


def _cells(row: dict) -> list[object]:
    times = [f"{row['age_s']:.0f} s ago", f"{row['left_s']:.0f} s"]
    # Tests are marked: a request ran alone on the target when it ended.
    tests = row.get("tests", ())
    targets = ",".join(f"{name}*" if name in tests else name for name in row["targets"])
    part = " with ".join([row.get("part", ""), *row.get("beside", ())])
    return [
        row["request_digest"], part, row["route"], row["organisation"], targets,
        *times,
    ]  # fmt: skip


async def _lift(args: argparse.Namespace, reactor) -> ExitCode:
    reply = await call_operators(args, reactor, "DELETE", f"condemned/{args.digest}")
    lifted = reply.status == HTTPStatus.OK
    if args.json:
        print_json(reply.body)
    else:
        print(
            f"lifted: {args.digest}" if lifted else (reply.body or {}).get("reason", reply.status)
        )
    return ExitCode.OK if lifted else ExitCode.FAILED


COMMANDS = [
    Command(
        "condemned list",
        "List condemned requests and parts of prompts: those that crash their targets.",
        add_operators,
        _list,
    ),
    Command("condemned lift", "Allow a condemned request or part again.", _add_lift, _lift),
]
"""The commands of this module."""
