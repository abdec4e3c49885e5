"""What a sub-command of ``gladedrumctl`` is."""

import argparse
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Command", "ExitCode", "print_json", "print_table"]


class ExitCode(IntEnum):
    """The exit codes that scripts can rely on."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    UNKNOWN = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 done, but the answer is no, or a request failed; 2 wrong usage or "
    "settings; 3 the box or the platform did not answer; 4 somebody else changed the same; "
    "5 nobody can say whether it was done."
)


@dataclass(frozen=True)
class Command:
    """A sub-command.

    Parameters
    ----------
    name : str
        Its name; a space separates a group from its member, as in ``table show``.
    help : str
        One line for the list of commands.
    add_arguments : callable
        Adds its arguments to a parser.
    run : callable
        Runs it with the parsed arguments and a reactor, and returns an exit code.
    """

    name: str
    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace, object], Awaitable[ExitCode]]


def print_json(body: object) -> None:
    """Print something for programs."""
    print(json.dumps(body, indent=2, sort_keys=True))


def print_table(heading: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows for people: aligned, numbers to the right."""
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
