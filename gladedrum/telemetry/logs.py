"""JSON-lines logs on standard output, one object a line."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.python import log as twisted_log

from ..config import Item, Settings

__all__ = ["LOG_LEVEL", "configure_logging", "request_logger"]

LOG_LEVEL = Item(
    "logging",
    "level",
    "INFO",
    "The least severe level that is written.",
    choices=("DEBUG", "INFO", "WARNING", "ERROR"),
)

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


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
    handler = logging.StreamHandler(stream or sys.stdout)
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
