"""Encoding of the configuration in datagrams, for boxes that have an older version."""

from collections.abc import Iterable

from ..gossip.wire.ttypes import ConfigurationPart

__all__ = ["ReceivedConfiguration", "configuration_parts"]

BYTES_PER_PART = 1_100
"""Bytes of the configuration per part; with its frame, a part fits in one datagram."""

MAX_PARTS = 32
"""Maximum number of parts. Boxes read a larger configuration from the store."""


def configuration_parts(version: int, raw: bytes) -> list[ConfigurationPart]:
    """Split a configuration into parts; empty if it is too large for datagrams."""
    starts = range(0, len(raw), BYTES_PER_PART)
    if len(starts) > MAX_PARTS:
        return []
    return [
        ConfigurationPart(version, index, len(starts), raw[first : first + BYTES_PER_PART])
        for index, first in enumerate(starts)
    ]


class ReceivedConfiguration:
    """Collects the parts of the newest version received, from any peer."""

    def __init__(self) -> None:
        self._version = -1
        self._count = 0
        self._parts: dict[int, bytes] = {}

    def add(self, parts: Iterable[ConfigurationPart]) -> None:
        """Add parts; those of a version older than the newest are ignored."""
        for part in parts:
            version, index, count = part.version or 0, part.part or 0, part.parts or 0
            if version < self._version or not 0 <= index < count <= MAX_PARTS:
                continue
            if version > self._version or count != self._count:
                self._version, self._count, self._parts = version, count, {}
            self._parts[index] = part.raw or b""

    def assemble(self, version: int) -> bytes | None:
        """Return the bytes of a version, or None if parts are missing."""
        if version != self._version or len(self._parts) < self._count:
            return None
        return b"".join(self._parts[index] for index in range(self._count))
