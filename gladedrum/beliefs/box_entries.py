"""Entries of boxes in the store, and in the lists that boxes send each other.

Other programs may write under the same prefix. An entry that can't be used as a box is skipped and
not passed on to other boxes.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..gossip.wire.ttypes import BoxRow
from ..platform.codecs import MalformedError
from ..utils.validation import MAX_HALL_LENGTH, is_box_name, is_host, is_port, is_text

__all__ = ["MAX_CORES", "BoxEntry", "decode_entry", "encode_entry", "entries_in"]
__all__ += ["valid_capacity"]

MAX_CORES = 4096.0
"""Largest plausible capacity of a box, in cores."""


class BoxEntry(NamedTuple):
    """A registered box: the address of its datagrams, the cores it may use, and its data hall."""

    host: str
    port: int
    capacity: float = 0.0
    data_hall: str = ""

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that receive datagrams."""
        return self.host, self.port


class _Row(msgspec.Struct):
    """An entry as it is encoded; `capacity` may be anything, see `valid_capacity`."""

    host: str
    port: int
    capacity: object = 0.0
    data_hall: str = ""


_decoder = msgspec.json.Decoder(_Row)


def encode_entry(entry: BoxEntry) -> bytes:
    """Return the value of an entry in the store."""
    return json.dumps(entry._asdict()).encode()


def decode_entry(name: str, raw: bytes) -> BoxEntry:
    """Decode the entry of a box in the store; raises `MalformedError`."""
    try:
        row = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedError(str(exc)) from exc
    return _checked(name, row.host, row.port, row.capacity, row.data_hall)


def entries_in(rows: Iterable[BoxRow]) -> dict[str, BoxEntry]:
    """Return the usable entries in a peer's list, by name."""
    entries = {}
    for row in rows:
        hall = row.data_hall or ""
        try:
            entries[row.name] = _checked(row.name, row.host, row.port, row.capacity, hall)
        except MalformedError:
            # The box that has read it from the store has logged it.
            continue
    return entries


def valid_capacity(reported: object) -> float:
    """Return a capacity reported by a box, or 0 if it is missing or implausible."""
    if isinstance(reported, bool) or not isinstance(reported, int | float):
        return 0.0
    return float(reported) if 0.0 < reported <= MAX_CORES else 0.0


def _checked(name: str, host: str, port: int, capacity: object, data_hall: str) -> BoxEntry:
    """Return an entry that can be used; raises `MalformedError`."""
    if not is_box_name(name):
        raise MalformedError("its name is not one of a box")
    if not is_host(host) or not is_port(port):
        raise MalformedError("its host and port are no address")
    if not is_text(data_hall, MAX_HALL_LENGTH):
        raise MalformedError("its data hall is no name")
    return BoxEntry(host, port, valid_capacity(capacity), data_hall)
