"""``gladedrumctl explain``: shows the timeline of a request from the logs of boxes."""

import argparse
import sys
from typing import TextIO

from .command import Command, ExitCode, print_json
from .logs import add_log_arguments, read_logs
from .timeline import Timeline, build_timeline

__all__ = ["COMMANDS"]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request_id", metavar="ID", help="the request's id")
    add_log_arguments(parser)


async def _explain(args: argparse.Namespace, reactor) -> ExitCode:
    rows = read_logs(args.logs)
    if rows is None:
        return ExitCode.USAGE
    timeline = build_timeline(args.request_id, rows)
    if args.json:
        print_json(_as_json(args.request_id, timeline))
    else:
        _print_timeline(timeline, sys.stdout)
    return ExitCode.OK if timeline.rows else ExitCode.FAILED


def _as_json(request_id: str, timeline: Timeline) -> dict[str, object]:
    return {
        "request_id": request_id,
        "summary": timeline.summary,
        "missing": timeline.missing,
        "rows": [vars(row) for row in timeline.rows],
    }


def _print_timeline(timeline: Timeline, out: TextIO) -> None:
    for row in timeline.rows:
        mark = "*" if row.request_id else " "
        fields = " ".join(f"{name}={value}" for name, value in row.fields.items())
        print(f"{mark} {row.time} {row.box}  {row.message}  {fields}", file=out)
    if timeline.summary:
        print(f"\nThe request: {timeline.summary}.", file=out)
    for text in timeline.missing:
        print(f"Missing: {text}.", file=out)


COMMANDS = [
    Command(
        "explain",
        "Show the timeline of a request from the logs of boxes: its own lines (*) and events of "
        "its targets and boxes around them.",
        _add_arguments,
        _explain,
    )
]
