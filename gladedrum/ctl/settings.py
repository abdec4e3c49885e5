"""``gladedrumctl settings``: prints and checks settings of the daemon."""

import argparse

# Importing the daemon's modules declares their settings.
from .. import forward  # noqa: F401
from ..config import load_settings, render_reference, render_sample
from ..daemon import box, embedded  # noqa: F401
from .command import Command, ExitCode

__all__ = ["COMMANDS"]


def _no_arguments(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


async def _sample(args: argparse.Namespace, reactor) -> ExitCode:
    print(render_sample(), end="")
    return ExitCode.OK


async def _reference(args: argparse.Namespace, reactor) -> ExitCode:
    print(render_reference(), end="")
    return ExitCode.OK


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE.ini", help="the settings")


async def _check(args: argparse.Namespace, reactor) -> ExitCode:
    load_settings(args.file)
    print(f"{args.file}: the settings are valid")
    return ExitCode.OK


COMMANDS = [
    Command("settings sample", "Print a sample file with all settings.", _no_arguments, _sample),
    Command(
        "settings reference", "Print the reference page of the settings.", _no_arguments, _reference
    ),
    Command("settings check", "Check a settings file.", _add_file, _check),
]
"""The commands of this module."""
