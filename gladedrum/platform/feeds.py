"""Readers of the operator's configuration and of the target list in the store.

The keys that mark data halls as evacuated lie under the prefix of the configuration, so the same
calls return them.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

from ..fleet import TargetEntry
from ..routes import Configuration
from ..utils.validation import MAX_HALL_LENGTH, is_text
from . import wire
from .codecs import MalformedError, decode_configuration, decode_target
from .malformed import MAX_LOGGED, MalformedEntries
from .store import CALL_TIMEOUT_S, Revision, StoreClient, StoredItem

__all__ = ["ConfigurationFeed", "ConfigurationUpdate", "TargetFeed"]

MAX_HALLS = 32
"""The maximum number of evacuation keys that are used. All answers between boxes carry the names,
and a datagram of 64 kB is the most that can be sent; a deployment has a few data halls."""

_log = logging.getLogger(__name__)


class ConfigurationUpdate(NamedTuple):
    """The result of a read or watch.

    Parameters
    ----------
    configuration : Configuration or None
        The decoded configuration; None if it has not changed.
    revision : Revision
        The store's revision.
    raw : bytes
        The encoded configuration; empty if it has not changed.
    evacuated : frozenset of str
        The data halls with an evacuation key: all of them after a read, else the added ones.
    ended : frozenset of str
        The data halls whose evacuation key was removed, as reported by a watch.
    malformed : str
        Why the configuration cannot be decoded; empty if it can. The data halls are valid anyway.
    """

    configuration: Configuration | None
    revision: Revision
    raw: bytes = b""
    evacuated: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    malformed: str = ""


class ConfigurationFeed:
    """Reads the operator's configuration and evacuations from the store."""

    def __init__(self, store: StoreClient):
        self._store = store
        self._malformed_keys: set[str] = set()

    async def read(self, timeout_s: float = CALL_TIMEOUT_S) -> ConfigurationUpdate:
        """Read the current configuration; raises `KVUnavailableError`.

        `timeout_s` as in `StoreClient.list`.
        """
        listing = await self._store.list(wire.CONFIGURATION_PREFIX, timeout_s=timeout_s)
        return self._update(listing.items, listing.revision)

    async def watch(self, after_revision: Revision, wait_s: float) -> ConfigurationUpdate:
        """Wait for a newer configuration; raises as `read` does, or `HistoryGoneError`."""
        result = await self._store.watch(wire.CONFIGURATION_PREFIX, after_revision, wait_s)
        return self._update(result.changes, result.revision)

    def decode(self, raw: bytes) -> Configuration:
        """Decode a configuration; raises `MalformedError`."""
        return decode_configuration(raw)

    def _update(self, items: tuple[StoredItem, ...], revision: Revision) -> ConfigurationUpdate:
        raw = _newest(items)
        configuration, malformed = None, ""
        try:
            configuration = self.decode(raw) if raw else None
        except MalformedError as exc:
            malformed = str(exc)
        # Of several changes of a key, the last one counts.
        is_set = {item.key: item.value is not None for item in items}
        halls = {name: is_set[key] for key, name in self._halls_by_key(is_set).items()}
        return ConfigurationUpdate(
            configuration,
            revision,
            raw,
            frozenset(name for name, present in halls.items() if present),
            frozenset(name for name, present in halls.items() if not present),
            malformed,
        )

    def _halls_by_key(self, keys: Iterable[str]) -> dict[str, str]:
        """Return the data halls that evacuation keys name; malformed keys are logged once."""
        prefix = wire.EVACUATION_PREFIX
        halls = {key: key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
        malformed = {
            k for k, name in halls.items() if not name or not is_text(name, MAX_HALL_LENGTH)
        }
        for key in sorted(malformed - self._malformed_keys)[:MAX_LOGGED]:
            shown = ascii(key[: len(prefix) + MAX_HALL_LENGTH])
            _log.warning("evacuation key names no data hall", extra={"key": shown})
        self._malformed_keys = malformed or self._malformed_keys
        halls = {key: name for key, name in halls.items() if key not in malformed}
        if len(halls) > MAX_HALLS:
            extra = {"keys": len(halls), "used": MAX_HALLS}
            _log.warning("too many evacuation keys; using the first by name", extra=extra)
            halls = dict(sorted(halls.items())[:MAX_HALLS])
        return halls


class TargetFeed:
    """Reads the list of targets from the store.

    Attributes
    ----------
    malformed : MalformedEntries
        The entries that the latest read has skipped.
    """

    def __init__(self, store: StoreClient):
        self._store = store
        self.malformed = MalformedEntries("target")

    async def read(self, timeout_s: float = CALL_TIMEOUT_S) -> dict[str, TargetEntry]:
        """Return all entries by target name; raises `KVUnavailableError`.

        Malformed entries, which other programs may have written, are skipped and logged once.
        `timeout_s` as in `StoreClient.list`.
        """
        listing = await self._store.list(wire.TARGETS_PREFIX, timeout_s=timeout_s)
        entries, malformed = {}, {}
        for item in listing.items:
            name = item.key.removeprefix(wire.TARGETS_PREFIX)
            try:
                entries[name] = decode_target(name, item.value or b"")
            except MalformedError as exc:
                malformed[name] = str(exc)
                continue
            if entries[name].cold_left_s is None:
                malformed[name] = "its remaining cold time is impossible and ignored"
        self.malformed.note(malformed)
        return entries


def _newest(items: tuple[StoredItem, ...]) -> bytes:
    raws = [item.value for item in items if item.key == wire.CONFIGURATION_KEY and item.value]
    return raws[-1] if raws else b""
