"""Logging of malformed entries, which other programs may have written into the store."""

import logging
from collections.abc import Mapping

__all__ = ["MalformedEntries"]

MAX_LOGGED = 20
"""The maximum number of malformed entries that one read logs one by one."""

MAX_SHOWN_LENGTH = 200
"""Characters of a key, and of a reason, that a log line shows."""

_log = logging.getLogger(__name__)


class MalformedEntries:
    """The malformed entries of a list; each is logged once, until it is well-formed or gone.

    Parameters
    ----------
    what : str
        What the entries describe, such as ``target``; part of the log lines.
    """

    def __init__(self, what: str):
        self._what = what
        self._known: frozenset[str] = frozenset()

    @property
    def count(self) -> int:
        """Number of malformed entries in the latest read."""
        return len(self._known)

    def note(self, reasons: Mapping[str, str]) -> None:
        """Record the malformed entries of a whole read: for each name, why it can't be used."""
        new_names = sorted(reasons.keys() - self._known)
        self._known = frozenset(reasons)
        for name in new_names[:MAX_LOGGED]:
            extra = {
                self._what: name[:MAX_SHOWN_LENGTH],
                "reason": reasons[name][:MAX_SHOWN_LENGTH],
            }
            _log.error(f"{self._what}'s entry not read", extra=extra)
        if len(new_names) > MAX_LOGGED:
            extra = {"more": len(new_names) - MAX_LOGGED}
            _log.error(f"further {self._what}s' entries not read", extra=extra)
