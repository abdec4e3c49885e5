"""Marks the tests listed in `KNOWN-RED.txt` as expected failures.

Each line of the list is: test, cause, issue. A listed pytest test that passes fails the run, so
that its line is removed together with the fix. Other tests are commands, which name their seed.
"""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

_LIST = Path(__file__).parent / "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """A line of the list: a test's id or command, what was seen, and the open issue."""

    test: str
    cause: str
    issue: str


def known_red() -> list[KnownRed]:
    """Return the lines of the list; raises `pytest.UsageError` if the list is malformed."""
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    rows = [line.split(", ") for line in lines if line.strip()]
    known = [KnownRed(row[0], ", ".join(row[1:-1]), row[-1]) for row in rows]
    for entry in known:
        is_command = "::" not in entry.test
        if not entry.cause or not re.fullmatch(r"issue \d+", entry.issue):
            raise pytest.UsageError(
                f"{_LIST}: {entry.test}: write one line of: test, cause, issue N"
            )
        if is_command and "seed" not in entry.test + entry.cause:
            raise pytest.UsageError(f"{_LIST}: {entry.test}: a command names its seed")
    return known


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures."""
    collected = {item.nodeid: item for item in items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    for known in known_red():
        item = collected.get(known.test)
        if item is not None:
            reason = f"{known.cause} ({known.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif known.test.partition("::")[0] in files and not _is_selection(items):
            raise pytest.UsageError(f"{_LIST}: no test {known.test}; remove its line from the list")


def _is_selection(items):
    """Whether the command line selects single tests, so that a listed test may be left out."""
    args = items[0].config.invocation_params.args if items else ()
    return any("::" in str(arg) or arg == "-k" for arg in args)


def pytest_terminal_summary(terminalreporter):
    """Print the list of known failures."""
    for known in known_red():
        terminalreporter.write_line(f"KNOWN RED: {known.test}: {known.cause} ({known.issue})")
