"""The configuration in datagrams: what a member hands on to boxes that have an older one."""

from collections.abc import Iterable

from ..gossip.wire.ttypes import ConfigurationPart

__all__ = ["HandedConfiguration", "configuration_parts"]

BYTES_A_PART = 1_100
"""Bytes of a configuration in one part: with its frame, one datagram."""

MOST_PARTS = 32
"""A configuration of more parts is read from the store, by the links that are there for that."""


def configuration_parts(version: int, raw: bytes) -> list[ConfigurationPart]:
    """Return a configuration in parts; none if it is too large to be handed on."""
    starts = range(0, len(raw), BYTES_A_PART)
    if len(starts) > MOST_PARTS:
        return []
    return [
        ConfigurationPart(version, index, len(starts), raw[first : first + BYTES_A_PART])
        for index, first in enumerate(starts)
    ]


class HandedConfiguration:
    """The parts of one version that have come, from whichever member."""

    def __init__(self) -> None:
        self._version = -1
        self._count = 0
        self._parts: dict[int, bytes] = {}

    def take(self, parts: Iterable[ConfigurationPart]) -> None:
        """Take parts; those of an older version than others that have come are passed over."""
        for part in parts:
            version, index, count = part.version or 0, part.part or 0, part.parts or 0
            if version < self._version or not 0 <= index < count <= MOST_PARTS:
                continue
            if version > self._version or count != self._count:
                self._version, self._count, self._parts = version, count, {}
            self._parts[index] = part.raw or b""

    def whole(self, version: int) -> bytes | None:
        """Return a version's bytes, None if a part is missing."""
        if version != self._version or len(self._parts) < self._count:
            return None
        return b"".join(self._parts[index] for index in range(self._count))
