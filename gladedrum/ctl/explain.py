"""``gladedrumctl explain``: tells a request's story from the logs of boxes."""

import argparse
import sys
from typing import TextIO

from .command import Command, ExitCode, print_json
from .logs import add_log_arguments, read_logs
from .story import Story, tell

__all__ = ["COMMANDS"]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request_id", metavar="ID", help="the request's id")
    add_log_arguments(parser)


async def _explain(args: argparse.Namespace, reactor) -> ExitCode:
    rows = read_logs(args.logs)
    if rows is None:
        return ExitCode.USAGE
    story = tell(args.request_id, rows)
    if args.json:
        print_json(_as_json(args.request_id, story))
    else:
        _print_story(story, sys.stdout)
    return ExitCode.OK if story.rows else ExitCode.FAILED


def _as_json(request_id: str, story: Story) -> dict[str, object]:
    return {
        "request_id": request_id,
        "summary": story.summary,
        "missing": story.missing,
        "rows": [vars(row) for row in story.rows],
    }


def _print_story(story: Story, out: TextIO) -> None:
    for row in story.rows:
        mark = "*" if row.request_id else " "
        fields = " ".join(f"{name}={value}" for name, value in row.fields.items())
        print(f"{mark} {row.time} {row.box}  {row.message}  {fields}", file=out)
    if story.summary:
        print(f"\nThe request: {story.summary}.", file=out)
    for text in story.missing:
        print(f"Missing: {text}.", file=out)


COMMANDS = [
    Command(
        "explain",
        "Tell a request's story from the logs of boxes: its lines (*), and around them what "
        "happened to its targets and boxes.",
        _add_arguments,
        _explain,
    )
]
