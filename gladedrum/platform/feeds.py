"""Readers of the operator's configuration and of the target list in the store."""

import logging
from typing import NamedTuple

from ..fleet import TargetEntry
from ..routes import Configuration
from . import wire
from .codecs import MalformedError, decode_configuration, decode_target
from .store import CALL_TIMEOUT_S, Revision, StoreClient, StoredItem

__all__ = ["ConfigurationFeed", "ConfigurationUpdate", "TargetFeed"]

MAX_MALFORMED_LOGGED = 20
"""The maximum number of malformed entries that one read logs one by one."""

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
    """

    configuration: Configuration | None
    revision: Revision
    raw: bytes = b""


class ConfigurationFeed:
    """Reads the operator's configuration from the store."""

    def __init__(self, store: StoreClient):
        self._store = store

    async def read(self, timeout_s: float = CALL_TIMEOUT_S) -> ConfigurationUpdate:
        """Read the current configuration; raises `KVUnavailableError` or `MalformedError`.

        `timeout_s` as in `StoreClient.list`.
        """
        listing = await self._store.list(wire.CONFIGURATION_PREFIX, timeout_s=timeout_s)
        raw = _newest(listing.items)
        return ConfigurationUpdate(self.decode(raw) if raw else None, listing.revision, raw)

    async def watch(self, after_revision: Revision, wait_s: float) -> ConfigurationUpdate:
        """Wait for a newer configuration; raises as `read` does, or `HistoryGoneError`."""
        result = await self._store.watch(wire.CONFIGURATION_PREFIX, after_revision, wait_s)
        raw = _newest(result.changes)
        return ConfigurationUpdate(self.decode(raw) if raw else None, result.revision, raw)

    def decode(self, raw: bytes) -> Configuration:
        """Decode a configuration; raises `MalformedError`."""
        return decode_configuration(raw)


class TargetFeed:
    """Reads the list of targets from the store."""

    def __init__(self, store: StoreClient):
        self._store = store
        self._malformed: set[str] = set()

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
        self._log_malformed(malformed)
        return entries

    def _log_malformed(self, malformed: dict[str, str]) -> None:
        new_names = sorted(malformed.keys() - self._malformed)
        self._malformed = set(malformed)
        for name in new_names[:MAX_MALFORMED_LOGGED]:
            extra = {"target": name, "reason": malformed[name]}
            _log.error("target's entry not read", extra=extra)
        if len(new_names) > MAX_MALFORMED_LOGGED:
            _log.error(
                "further targets' entries not read",
                extra={"more": len(new_names) - MAX_MALFORMED_LOGGED},
            )


def _newest(items: tuple[StoredItem, ...]) -> bytes:
    raws = [item.value for item in items if item.key == wire.CONFIGURATION_KEY and item.value]
    return raws[-1] if raws else b""
