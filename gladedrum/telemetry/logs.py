"""JSON-lines logs on standard output, one object a line."""

import atexit
import json
import logging
import os
import select
import sys
from collections import deque
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.python import log as twisted_log

from ..config import Item, Settings

__all__ = ["LOG_LEVEL", "BoundedLines", "configure_logging", "request_logger"]

LOG_LEVEL = Item(
    "logging",
    "level",
    "INFO",
    "The least severe level that is written.",
    choices=("DEBUG", "INFO", "WARNING", "ERROR"),
)

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


MOST_WAITING_LINES = 2000
"""Lines that wait for a slow reader, about half a megabyte; more are dropped and counted."""

_PIPE_BYTES = 4096
"""What a pipe that is ready takes at once without blocking, in bytes (POSIX's PIPE_BUF)."""


class BoundedLines:
    """A text stream onto a file descriptor that never blocks and holds a bounded number of lines.

    Parameters
    ----------
    fd : int
        The descriptor, which is left in its mode, since others may share it.
    most : int
        Lines that wait at the most.
    """

    def __init__(self, fd: int, most: int = MOST_WAITING_LINES):
        self._fd = fd
        self._most = most
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._poller = select.poll()
        self._poller.register(fd, select.POLLOUT)
        atexit.register(self.flush)

    def write(self, text: str) -> None:
        """Add a line, or drop it if too many wait."""
        if len(self._waiting) >= self._most:
            self._dropped += 1
            return
        if self._dropped:
            note = {"level": "WARNING", "message": "log lines dropped", "count": self._dropped}
            self._waiting.append(json.dumps(note).encode() + b"\n")
            self._dropped = 0
        self._waiting.append(text.encode("utf-8", "backslashreplace"))

    def flush(self) -> None:
        """Write what the other side takes now."""
        while self._waiting and self._is_ready():
            line = self._waiting.popleft()
            try:
                written = os.write(self._fd, line[:_PIPE_BYTES])
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                self._dropped += 1
                return
            if written < len(line):
                self._waiting.appendleft(line[written:])

    def _is_ready(self) -> bool:
        return bool(self._poller.poll(0))


def configure_logging(cfg: Settings, box: str, stream: TextIO | None = None) -> None:
    """Send all logs, Twisted's included, to `stream` as JSON lines.

    Parameters
    ----------
    cfg : Settings
        Read for `LOG_LEVEL`.
    box : str
        The name of this process, a field of every line.
    stream : text file, optional
        Standard output if left out.
    """
    handler = logging.StreamHandler(stream or BoundedLines(sys.stdout.fileno()))
    handler.setFormatter(
        JsonFormatter(_FIELDS, rename_fields=_RENAMED, static_fields={"box": box}, timestamp=False)
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.get(LOG_LEVEL))
    # Twisted reports each connection at INFO, which would double the lines of a request.
    logging.getLogger("twisted").setLevel(logging.WARNING)
    observer = twisted_log.PythonLoggingObserver("twisted")
    observer.start()


def request_logger(logger: logging.Logger, request_id: str) -> logging.LoggerAdapter:
    """Return a logger that puts `request_id` on every line."""
    return (
        logging.LoggerAdapter(logger, {"request_id": request_id}, merge_extra=True)
        if (sys.version_info >= (3, 13))
        else _MergingAdapter(logger, {"request_id": request_id})
    )


class _MergingAdapter(logging.LoggerAdapter):
    """A logger adapter that keeps the ``extra`` of the call, as Python 3.13's can."""

    def process(self, msg, kwargs):
        kwargs["extra"] = {**self.extra, **kwargs.get("extra", {})}
        return msg, kwargs
