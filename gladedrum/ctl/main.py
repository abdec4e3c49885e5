"""Entry point of ``gladedrumctl``."""

import argparse
import sys

from twisted.internet import task

from .. import __version__
from ..errors import ConfigError, GladedrumError
from ..replay import TraceError
from ..scheduling import UnknownPolicyError
from ..utils import start, use_elapsed_clock
from . import condemned, evacuations, explain, report, settings, status, table, traces, trial
from .command import EXIT_CODES_HELP, Command, ExitCode

__all__ = ["main"]

_COMMANDS: list[Command] = [
    *status.COMMANDS,
    *settings.COMMANDS,
    *trial.COMMANDS,
    *traces.COMMANDS,
    *table.COMMANDS,
    *condemned.COMMANDS,
    *evacuations.COMMANDS,
    *explain.COMMANDS,
    *report.COMMANDS,
]


def main(argv: list[str] | None = None) -> int:
    """Run a sub-command and return its exit code."""
    args = _parser().parse_args(argv)
    codes: list[int] = []

    async def run(reactor) -> None:
        use_elapsed_clock(reactor)
        codes.append(await _run(args, reactor))

    try:
        task.react(lambda reactor: start(run(reactor)))
    except SystemExit as exc:
        if not codes:
            return int(exc.code or 0)
    return codes[0]


async def _run(args: argparse.Namespace, reactor) -> int:
    try:
        return int(await args.run(args, reactor))
    except ConfigError as exc:
        print(exc, file=sys.stderr)
        return int(ExitCode.USAGE)
    except (UnknownPolicyError, TraceError, table.TableUsageError) as exc:
        print(f"gladedrumctl: {exc}", file=sys.stderr)
        return int(ExitCode.USAGE)
    except GladedrumError as exc:
        print(f"gladedrumctl: {exc}", file=sys.stderr)
        return int(ExitCode.UNAVAILABLE)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="gladedrumctl",
        description="Inspect and control a fleet of gladedrum boxes.",
        epilog=EXIT_CODES_HELP,
    )
    version = f"gladedrumctl {__version__}"
    parser.add_argument("--version", action="version", version=version)
    parser.add_argument("--json", action="store_true", help="print JSON, for programs")
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    groups: dict[str, argparse._SubParsersAction] = {}
    for command in _COMMANDS:
        group, _, member = command.name.rpartition(" ")
        if group and group not in groups:
            group_parser = subparsers.add_parser(group, help=f"commands about the {group}")
            groups[group] = group_parser.add_subparsers(required=True, metavar="COMMAND")
        parsers = groups[group] if group else subparsers
        command_parser = parsers.add_parser(
            member, help=command.help, description=command.help, epilog=EXIT_CODES_HELP
        )
        command_parser.add_argument(
            "--json", action="store_true", default=argparse.SUPPRESS, help="print JSON"
        )
        command.add_arguments(command_parser)
        command_parser.set_defaults(run=command.run)
    return parser


if __name__ == "__main__":
    sys.exit(main())
