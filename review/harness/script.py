"""The frame of a script: its record, the disruption's switch, and the exit code."""

import asyncio
import os
import time
from pathlib import Path

from .boxes import is_built
from .errors import CannotRunError

__all__ = ["Record", "run_case"]

TIMEOUT_S = 110
"""Longest time of a script, in seconds."""

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, it was broken, or the case could not run."""

SWITCH = "TROUBLE"
"""Set to 0, this variable leaves the disruption out."""


class Record:
    """Writes lines with the time since the start to a file and to standard output.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path):
        self._path = path
        self._begun_s = time.monotonic()
        path.write_text("")

    def __call__(self, text):
        """Add a line."""
        line = f"{time.monotonic() - self._begun_s:8.3f} {text}"
        print(line, flush=True)
        with self._path.open("a") as file:
            print(line, file=file)


def run_case(folder, case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    Parameters
    ----------
    folder : Path
        Where `record.txt` is written.
    case : coroutine function
        Takes a `Record`, a list to which it adds what is to be called at the end, and whether the
        disruption takes place; returns whether the rule held.
    """
    record = Record(Path(folder) / "record.txt")
    if not is_built():
        record("neither target/deps nor .venv is there: build first")
        raise SystemExit(NOT_RUN)
    try:
        held = asyncio.run(_run(case, record))
    except (TimeoutError, CannotRunError) as exc:
        record(f"the case could not run: {exc!r}")
        raise SystemExit(NOT_RUN) from exc
    record("the rule held" if held else "the rule is broken")
    raise SystemExit(HELD if held else BROKEN)


async def _run(case, record):
    to_stop = []
    has_trouble = os.environ.get(SWITCH, "1") != "0"
    record(f"the disruption {'takes place' if has_trouble else 'is left out'}")
    try:
        return await asyncio.wait_for(case(record, to_stop, has_trouble), TIMEOUT_S)
    finally:
        for stop in reversed(to_stop):
            stop()
