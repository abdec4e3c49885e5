"""Checks of entries of targets, whether they come from the store or from another box."""

import re

from ..utils.validation import MAX_HALL_LENGTH, is_host, is_port, is_text
from .core import TargetEntry

__all__ = ["MAX_BORN", "MAX_SLOTS", "fault_of"]

MAX_SLOTS = 10_000
"""Upper limit of concurrent requests; an entry with more was not written by a target."""

MAX_BORN = 10**14
"""Latest start time in milliseconds since 1970. One far in the future would make every statement of
the target look older than its process."""

_MAX_SERVICE_LENGTH = 200
"""Maximum length of a service's name, in characters. Boxes pass entries on in datagrams."""

_NAME = re.compile(r"[!-+\-.0-~]{1,200}")
"""Valid names of targets. Names appear in headers and in keys of the store, so commas, slashes and
spaces are not allowed, and the length is limited."""


def fault_of(entry: TargetEntry) -> str:
    """Return why an entry names no target that can be used, empty if it does.

    Examples
    --------
    >>> entry = TargetEntry("t", "s", "10.9.0.7", 8080, "hall", 6, False)
    >>> fault_of(entry), fault_of(entry._replace(host="0.0.0.0"))
    ('', 'its host and port are not the address of one process')
    """
    checks = {
        "its name is not one of a target": _NAME.fullmatch(entry.name),
        "its host and port are not the address of one process": is_host(entry.host)
        and is_port(entry.port),
        "its service is no name": entry.service and is_text(entry.service, _MAX_SERVICE_LENGTH),
        "its data hall is no name": is_text(entry.data_hall, MAX_HALL_LENGTH),
        "its number of slots is impossible": 0 < entry.slots <= MAX_SLOTS,
        "its start time is impossible": 0 <= entry.born <= MAX_BORN,
    }
    return next((fault for fault, holds in checks.items() if not holds), "")
