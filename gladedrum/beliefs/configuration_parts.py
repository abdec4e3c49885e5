"""Configurations in datagrams, for boxes that have an older version.

A box receives the difference from its version if the sender remembers that one, and otherwise the
whole. Boxes read from the store what does not fit in `MAX_PARTS` datagrams.
"""

import zlib
from collections.abc import Iterable
from typing import NamedTuple

from ..gossip.wire.ttypes import ConfigurationPart
from .configuration_difference import apply_difference, encode_difference

__all__ = ["ConfigurationSender", "EncodedConfiguration", "ReceivedConfiguration"]

BYTES_PER_PART = 1_100
"""Bytes of a configuration per part; with its frame, a part fits in one datagram."""

MAX_PARTS = 48
"""Maximum number of parts. Sending more costs the members of the coordinator group more than reads
cost the store, and one lost datagram makes all others useless."""

MAX_PLAIN_PARTS = 32
"""As `MAX_PARTS` for boxes that accept no differences; they ignore larger configurations."""

REMEMBERED_VERSIONS = 8
"""Number of versions from which differences can be sent: more than the changes in the time that a
box may be behind."""

WHOLE = -1
"""Takes the place of the earlier version if a whole configuration is encoded."""


class ConfigurationSender:
    """Splits the newest configuration into parts, and remembers earlier ones for differences."""

    def __init__(self) -> None:
        self._version = -1
        self._compressed: dict[int, bytes] = {}
        self._parts: dict[int | None, list[ConfigurationPart]] = {}

    def parts(
        self, version: int, raw: bytes, base: int, accepts_differences: bool
    ) -> list[ConfigurationPart]:
        """Return the parts for a box that has version `base`; empty if they are too many.

        `version` and `raw` are the configuration in force.
        """
        self._remember(version, raw)
        key = base if accepts_differences else None
        if key not in self._parts:
            self._parts[key] = self._encode(raw, key)
        return self._parts[key]

    def _remember(self, version: int, raw: bytes) -> None:
        if version == self._version:
            return
        self._version, self._parts = version, {}
        self._compressed[version] = zlib.compress(raw)
        if len(self._compressed) > REMEMBERED_VERSIONS:
            del self._compressed[next(iter(self._compressed))]

    def _encode(self, raw: bytes, base: int | None) -> list[ConfigurationPart]:
        if base is None:
            return self._split(raw, None, MAX_PLAIN_PARTS)
        if base not in self._compressed:
            return self._split(encode_difference(b"", raw), WHOLE, MAX_PARTS)
        old = zlib.decompress(self._compressed[base])
        return self._split(encode_difference(old, raw), base, MAX_PARTS)

    def _split(self, data: bytes, base: int | None, max_parts: int) -> list[ConfigurationPart]:
        starts = range(0, len(data), BYTES_PER_PART)
        if len(starts) > max_parts:
            return []
        return [
            ConfigurationPart(
                self._version, index, len(starts), data[first : first + BYTES_PER_PART], base
            )
            for index, first in enumerate(starts)
        ]


class EncodedConfiguration(NamedTuple):
    """A configuration as received: plain if `base` is None, else the difference from `base`."""

    data: bytes
    base: int | None

    def decode(self, version: int, raw: bytes) -> bytes | None:
        """Return the bytes of the configuration for a box that has a version in force.

        None if the difference is from another version. Raises `ValueError` if it is malformed.
        """
        match self.base:
            case None:
                return self.data
            case base if base == WHOLE:
                return apply_difference(b"", self.data)
            case base if base == version:
                return apply_difference(raw, self.data)
            case _:
                return None


class ReceivedConfiguration:
    """Collects the parts of the newest version received, from any peer."""

    def __init__(self) -> None:
        self._key: tuple[int, int, int | None] = (-1, 0, None)
        self._parts: dict[int, bytes] = {}

    def add(self, parts: Iterable[ConfigurationPart]) -> None:
        """Add parts; those of a version older than the newest are ignored."""
        for part in parts:
            version, index, count = part.version or 0, part.part or 0, part.parts or 0
            if version < self._key[0] or not 0 <= index < count <= MAX_PARTS:
                continue
            key = version, count, part.base
            if key != self._key:
                self._key, self._parts = key, {}
            self._parts[index] = part.raw or b""

    def assemble(self, version: int) -> EncodedConfiguration | None:
        """Return a version as received, or None if parts are missing."""
        newest, count, base = self._key
        if version != newest or len(self._parts) < count:
            return None
        return EncodedConfiguration(b"".join(self._parts[i] for i in range(count)), base)
