"""Logs on standard output as JSON lines."""

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

__all__ = ["LOG_LEVEL", "BoundedLineStream", "configure_logging", "request_logger"]

LOG_LEVEL = Item(
    "logging",
    "level",
    "INFO",
    "The least severe level that is written.",
    choices=("DEBUG", "INFO", "WARNING", "ERROR"),
)

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}

MAX_BUFFERED_LINES = 2000
"""Maximum number of lines buffered for a slow reader; further lines are dropped and counted."""

_PIPE_BYTES = 4096
"""Bytes that a writable pipe accepts without blocking: PIPE_BUF on Linux."""


class BoundedLineStream:
    """A text stream that writes to a file descriptor without blocking.

    Lines that the reader does not accept yet are buffered; when the buffer is full, further lines
    are dropped and their number is logged.

    Parameters
    ----------
    fd : int
        The file descriptor. It stays in blocking mode, as other processes may share it.
    max_lines : int
        Maximum number of buffered lines.
    """

    def __init__(self, fd: int, max_lines: int = MAX_BUFFERED_LINES):
        self._fd = fd
        self._max_lines = max_lines
        self._buffer: deque[bytes] = deque()
        self._dropped = 0
        self._poller = select.poll()
        self._poller.register(fd, select.POLLOUT)
        atexit.register(self.flush)

    def write(self, text: str) -> None:
        """Add a line to the buffer, or drop it if the buffer is full."""
        if len(self._buffer) >= self._max_lines:
            self._dropped += 1
            return
        if self._dropped:
            note = {"level": "WARNING", "message": "log lines dropped", "count": self._dropped}
            self._buffer.append(json.dumps(note).encode() + b"\n")
            self._dropped = 0
        self._buffer.append(text.encode("utf-8", "backslashreplace"))

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
        while self._buffer and self._is_ready():
            line = self._buffer.popleft()
            try:
                written = os.write(self._fd, line[:_PIPE_BYTES])
            except OSError:
                # The reader has closed the pipe, and there is nowhere to report it.
                self._dropped += 1
                return
            if written < len(line):
                self._buffer.appendleft(line[written:])

    def _is_ready(self) -> bool:
        return bool(self._poller.poll(0))


def configure_logging(cfg: Settings, box: str, stream: TextIO | None = None) -> None:
    """Send all logs, Twisted's included, to `stream` as JSON lines.

    Parameters
    ----------
    cfg : Settings
        Read for `LOG_LEVEL`.
    box : str
        The name of the box, a field of every line.
    stream : text file, optional
        Defaults to standard output.
    """
    handler = logging.StreamHandler(stream or BoundedLineStream(sys.stdout.fileno()))
    handler.setFormatter(
        JsonFormatter(
            _FIELDS, rename_fields=_RENAMED_FIELDS, static_fields={"box": box}, timestamp=False
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.get(LOG_LEVEL))
    # Twisted logs every connection at INFO, which would double the number of lines.
    logging.getLogger("twisted").setLevel(logging.WARNING)
    observer = twisted_log.PythonLoggingObserver("twisted")
    observer.start()


def request_logger(logger: logging.Logger, request_id: str) -> logging.LoggerAdapter:
    """Return a logger that adds `request_id` to every line."""
    return (
        logging.LoggerAdapter(logger, {"request_id": request_id}, merge_extra=True)
        if (sys.version_info >= (3, 13))
        else _MergingAdapter(logger, {"request_id": request_id})
    )


class _MergingAdapter(logging.LoggerAdapter):
    """A logger adapter that merges the call's ``extra``, as ``merge_extra`` of Python 3.13 does."""

    def process(self, msg, kwargs):
        kwargs["extra"] = {**self.extra, **kwargs.get("extra", {})}
        return msg, kwargs
