"""``gladedrumctl status``: shows the state of boxes."""

import argparse

from ..utils import LostAnswerError, NotSentError, WebClient, sleep
from .command import Command, ExitCode, print_json, print_table

__all__ = ["COMMANDS", "DEFAULT_OPERATORS"]

DEFAULT_OPERATORS = "http://127.0.0.1:8081"
"""Operators' address in the sample settings."""

_POLL_INTERVAL_S = 0.1


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--operators",
        action="append",
        metavar="URL",
        help=f"operators' address of a box; may be repeated; default {DEFAULT_OPERATORS}",
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="how long to wait until all boxes are ready",
    )


async def _run(args: argparse.Namespace, reactor) -> ExitCode:
    web = WebClient(reactor)
    urls = [url.rstrip("/") for url in args.operators or [DEFAULT_OPERATORS]]
    deadline_s = reactor.seconds() + args.wait
    while True:
        rows = [await _fetch_row(web, url) for url in urls]
        ready = all(row.get("ready") for row in rows)
        if ready or reactor.seconds() >= deadline_s:
            break
        await sleep(reactor, _POLL_INTERVAL_S)
    if args.json:
        print_json(rows)
    else:
        _print(rows)
    if any("error" in row for row in rows):
        return ExitCode.UNAVAILABLE
    return ExitCode.OK if ready else ExitCode.FAILED


async def _fetch_row(web: WebClient, url: str) -> dict:
    try:
        ready = await web.call_json("GET", f"{url}/readyz")
        status = await web.call_json("GET", f"{url}/status")
    except (NotSentError, LostAnswerError) as exc:
        return {"operators": url, "ready": False, "error": str(exc)}
    return {"operators": url, **ready.body, **status.body}


def _print(rows: list[dict]) -> None:
    heading = ["BOX", "DATA HALL", "STATE", "READY", "TABLE", "PEERS", "SUSPECTED", "TARGETS"]
    print_table(
        heading,
        [
            [
                row.get("box", row["operators"]),
                row.get("data_hall"),
                row.get("state", "no answer"),
                row["ready"],
                row.get("table_revision"),
                len(row.get("peers", [])),
                ",".join(row.get("suspected", [])) or None,
                len(row.get("targets", [])),
            ]
            for row in rows
        ],
    )
    for row in rows:
        for reason in row.get("reasons", []):
            print(f"{row.get('box')}: {reason}")


COMMANDS = [Command("status", "Show the state of boxes.", _add_arguments, _run)]
"""The commands of this module."""
