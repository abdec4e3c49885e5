"""Writer of a stand-in target's entry in the store's list of targets.

The entry belongs to a lease, which every heartbeat renews.
"""

import json
import time
from collections.abc import Callable

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import Lease, StoreClient, wire
from ._http import sleep

__all__ = ["TargetEntryWriter"]

LEASE_HEARTBEATS = 3
"""Duration of the lease, in heartbeats."""

RETRY_S = 0.1
"""Delay before a leaving target retries a failed write or removal of its entry, in seconds."""

_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)


class TargetEntryWriter:
    """Writes the entry at every heartbeat and removes it at the end.

    Parameters
    ----------
    store : StoreClient
        Client of the store that has the list.
    name : str
        The target's name.
    service, address, data_hall : str
        Service, address (IP:PORT) and data hall of the target.
    slots : int
        Number of concurrent requests that the target runs.
    heartbeat_s : float
        Interval between writes of the entry, in seconds.
    cold_left_ms : callable
        Returns for how much longer the target is cold, in milliseconds.
    """

    def __init__(
        self,
        store: StoreClient,
        name: str,
        service: str,
        address: str,
        data_hall: str,
        slots: int,
        heartbeat_s: float,
        cold_left_ms: Callable[[], int] = lambda: 0,
    ):
        self._store = store
        self._key = wire.TARGETS_PREFIX + name
        # The platform's field names: "zone" is the data hall, "born" the start of the process.
        self._fields = {
            "service": service, "address": address, "zone": data_hall, "version": "v1",
            "slots": slots, "born": int(time.time() * 1000),
        }  # fmt: skip
        # Start of the target's process, in milliseconds since the epoch.
        self.start_ms = self._fields["born"]
        self._heartbeat_s = heartbeat_s
        self._cold_left_ms = cold_left_ms
        self._state = "ready"
        self._sequence = 0
        self._lease: Lease | None = None
        self._stopped = False

    @property
    def is_leaving(self) -> bool:
        """True once the target has started to announce that it leaves."""
        return self._state == "draining"

    async def run(self) -> None:
        """Write the entry at every heartbeat until stopped."""
        while not self._stopped:
            await self._write()
            await sleep(self._heartbeat_s)

    def stop(self) -> None:
        """Stop writing the entry."""
        self._stopped = True

    async def announce_leaving(self) -> None:
        """Set the entry's state to "draining"; return when the store has confirmed the write."""
        self._state = "draining"
        while not await self._write():
            await sleep(RETRY_S)

    async def remove(self) -> None:
        """Stop writing the entry and remove it by ending its lease."""
        self._stopped = True
        while self._lease:
            try:
                await self._store.end_lease(self._lease)
                break
            except KVConflictError:
                # The lease has already ended, so the entry is gone.
                break
            except (KVUnavailableError, KVUnknownError):
                await sleep(RETRY_S)

    async def _write(self) -> bool:
        """Write the entry; return False if the store did not confirm the write."""
        self._sequence += 1
        changing = {
            "state": self._state,
            "seq": self._sequence,
            "coldLeftMs": self._cold_left_ms(),
        }
        raw = json.dumps({**self._fields, **changing}).encode()
        try:
            if not self._lease:
                self._lease = await self._store.grant_lease(LEASE_HEARTBEATS * self._heartbeat_s)
            await self._store.keep_lease(self._lease)
            await self._store.transact({}, {self._key: raw}, (), self._lease)
        except KVConflictError:
            self._lease = None
            return False
        except (KVUnavailableError, KVUnknownError):
            return False
        return True
