"""The logs of boxes that a sub-command reads."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from .story import LogRow, read_rows

__all__ = ["add_log_arguments", "read_logs"]


def add_log_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the files."""
    parser.add_argument(
        "--logs", nargs="+", metavar="FILE", default=["-"],
        help="logs of boxes, one or more; - is standard input",
    )  # fmt: skip


def read_logs(names: Sequence[str]) -> list[LogRow] | None:
    """Return the rows of all files; None, with a message, if one can't be read."""
    rows: list[LogRow] = []
    for name in names:
        if name == "-":
            rows += read_rows(sys.stdin)
            continue
        try:
            with Path(name).open(errors="replace") as file:
                rows += read_rows(file)
        except OSError as exc:
            print(f"gladedrumctl: {name}: {exc.strerror}", file=sys.stderr)
            return None
    return rows
