"""Runs a case and returns the exit code of its script."""

import asyncio
import os
import shutil
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

__all__ = ["run_case"]

CANNOT_RUN = 2


Case = Callable[[Path], Awaitable[int]]
"""Runs a case with the logs of its boxes in a folder; returns the exit code."""


async def _run(main: Case, folder: Path) -> int:
    # Connections that are open at the end are cancelled, which asyncio would report one by one.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    return await main(folder)


def run_case(main: Case) -> int:
    """Return what `main` returns: 0 if the rule held, 1 if not; 2 if it fails or cannot run.

    The logs of the boxes are in a temporary folder, which is kept if `KEEP_LOGS` is set.
    """
    try:
        folder = Path(tempfile.mkdtemp(prefix="review-"))
        try:
            return asyncio.run(_run(main, folder))
        finally:
            if not os.environ.get("KEEP_LOGS"):
                shutil.rmtree(folder)
    except Exception:
        traceback.print_exc()
        return CANNOT_RUN
