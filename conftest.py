"""Tests that are known to fail: `KNOWN-RED.txt` lists them, a line each: test, cause, issue.

A listed test must fail; one that passes fails the run, since its line is to go with the mend.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

MOST_KNOWN = 3
"""The most tests that may be listed."""

_LIST = Path(__file__).parent / "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """A line of the list: a test's id, why it fails, and the issue that is open for it."""

    test: str
    cause: str
    issue: str


def known_red() -> list[KnownRed]:
    """Return the lines of the list; raises `pytest.UsageError` if one is not as described."""
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    rows = [line.split(", ") for line in lines if line.strip()]
    if any(len(row) < 3 for row in rows) or len(rows) > MOST_KNOWN:
        raise pytest.UsageError(f"{_LIST}: at most {MOST_KNOWN} lines of: test, cause, issue")
    return [KnownRed(row[0], ", ".join(row[1:-1]), row[-1]) for row in rows]


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail."""
    collected = {item.nodeid: item for item in items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    for known in known_red():
        item = collected.get(known.test)
        if item is not None:
            reason = f"{known.cause} ({known.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif known.test.partition("::")[0] in files and not _is_selection(items):
            raise pytest.UsageError(f"{_LIST}: no test {known.test}; take its line off the list")


def _is_selection(items):
    args = items[0].config.invocation_params.args if items else ()
    return any("::" in str(arg) or arg == "-k" for arg in args)


def pytest_terminal_summary(terminalreporter):
    """Print what is known to fail."""
    for known in known_red():
        terminalreporter.write_line(f"KNOWN RED: {known.test}: {known.cause} ({known.issue})")
