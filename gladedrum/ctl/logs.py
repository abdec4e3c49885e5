"""Reads the log files that a sub-command is given."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from .timeline import LogRow, parse_log_lines

__all__ = ["add_log_arguments", "read_logs"]


def add_log_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the option with the names of the files."""
    parser.add_argument(
        "--logs", nargs="+", metavar="FILE", default=["-"],
        help="log files of boxes; - is standard input",
    )  # fmt: skip


def read_logs(names: Sequence[str]) -> list[LogRow] | None:
    """Return the rows of all files; prints a message and returns None if one cannot be read."""
    rows: list[LogRow] = []
    for name in names:
        if name == "-":
            rows += parse_log_lines(sys.stdin)
            continue
        try:
            with Path(name).open(errors="replace") as file:
                rows += parse_log_lines(file)
        except OSError as exc:
            print(f"gladedrumctl: {name}: {exc.strerror}", file=sys.stderr)
            return None
    return rows
