"""Sub-commands of ``gladedrumctl``: their type, exit codes and output."""

import argparse
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Command", "ExitCode", "print_json", "print_table"]


class ExitCode(IntEnum):
    """Exit codes; scripts rely on them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    UNKNOWN = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 the command ran, but its answer is negative or a request failed; "
    "2 invalid usage or settings; 3 the box or the platform did not answer; 4 conflict with "
    "another change; 5 unknown whether the change was applied."
)


@dataclass(frozen=True)
class Command:
    """A sub-command.

    Parameters
    ----------
    name : str
        Its name. A space separates the group from the command, as in ``table show``.
    help : str
        Its line in the list of commands.
    add_arguments : callable
        Adds the arguments to a parser.
    run : callable
        Runs the command with the parsed arguments and a reactor; returns an exit code.
    """

    name: str
    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace, object], Awaitable[ExitCode]]


def print_json(body: object) -> None:
    """Print a value as JSON, for programs."""
    print(json.dumps(body, indent=2, sort_keys=True))


def print_table(heading: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows as aligned columns, for people; numbers are right-aligned."""
    texts = [[_cell(value) for value in row] for row in rows]
    widths = [max(len(text) for text in column) for column in zip(heading, *texts, strict=True)]
    print("  ".join(h.ljust(w) for h, w in zip(heading, widths, strict=True)).rstrip())
    for row, values in zip(texts, rows, strict=True):
        cells = [
            text.rjust(width) if isinstance(value, int | float) else text.ljust(width)
            for text, width, value in zip(row, widths, values, strict=True)
        ]
        print("  ".join(cells).rstrip())


def _cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3f}"
        case _:
            return str(value)
