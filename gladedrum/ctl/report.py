"""``gladedrumctl report``: reports how requests were served, from the logs of boxes."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from .command import Command, ExitCode, print_json, print_table
from .logs import add_log_arguments, read_logs
from .report_plot import plot_service
from .report_tables import GroupFigures, ServiceReport, make_report
from .served_requests import ServedRequest, served_requests

__all__ = ["COMMANDS"]

_COLUMNS = (
    "about", "requests", "in_time", "late", "refused", "failed", "left", "in_time_share",
    "worth_lost", "held_s", "error_s", "abs_error_s",
)  # fmt: skip


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    add_log_arguments(parser)
    parser.add_argument(
        "--window", type=float, default=10.0, metavar="SECONDS", help="length of the time windows"
    )
    parser.add_argument(
        "--plot", type=Path, metavar="FILE", help="also draw a plot, as .png, .svg or .pdf"
    )


async def _report(args: argparse.Namespace, reactor) -> ExitCode:
    rows = read_logs(args.logs)
    if rows is None or args.window <= 0:
        return ExitCode.USAGE
    served = served_requests(rows)
    report = make_report(served, args.window, rows)
    drawn = args.plot is None or _draw(served, args)
    if args.json:
        print_json(report._asdict())
    else:
        _print_report(report)
    if not drawn:
        return ExitCode.USAGE
    return ExitCode.OK if served else ExitCode.FAILED


def _draw(served: Sequence[ServedRequest], args: argparse.Namespace) -> bool:
    """Draw the plot; prints a message and returns False if matplotlib is not installed."""
    try:
        plot_service(served, args.window, args.plot)
    except ImportError as exc:
        message = f"cannot draw the plot: {exc}; install the extra 'plots' of gladedrum"
        print(f"gladedrumctl: {message}", file=sys.stderr)
        return False
    return True


def _print_report(report: ServiceReport) -> None:
    _print_groups("all", [report.total])
    _print_groups("kind", report.kinds)
    _print_groups("organisation", report.organisations)
    _print_groups("data hall", report.data_halls)
    _print_groups("window", report.windows)
    print_table(
        ("decided by", "placements", "share", "unanswered"),
        [(row["name"] or "the box itself", *list(row.values())[1:]) for row in report.deciders],
    )
    print()
    print_table(
        ("worth lost", "requests", "verdict", "cause", "example"),
        [
            (row["worth_lost"], row["requests"], row["verdict"], row["cause"], row["example"])
            for row in report.causes
        ],
    )


def _print_groups(title: str, groups: list[GroupFigures]) -> None:
    heading = (title, *(column.replace("_", " ") for column in _COLUMNS))
    print_table(heading, [(row["name"], *(row[column] for column in _COLUMNS)) for row in groups])
    print()


COMMANDS = [
    Command(
        "report",
        "Report how requests were served, from the logs of boxes: by kind, organisation, data hall "
        "and time window, with the causes of lost worth.",
        _add_arguments,
        _report,
    )
]
