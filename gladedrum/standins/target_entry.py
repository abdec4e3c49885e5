"""A stand-in target's entry in the list of targets: written under a lease, again and again."""

import json
import time

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform import Lease, StoreClient, wire
from ._http import sleep

__all__ = ["TargetEntryWriter"]

LEASE_HEARTBEATS = 3
"""An entry outlives so many heartbeats of silence."""

RETRY_S = 0.1
"""Pause before a write that a leaving target needs is tried again, in seconds."""

_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)


class TargetEntryWriter:
    """Keeps the entry in the store.

    Parameters
    ----------
    store : StoreClient
        Where the list is.
    name : str
        The target's name.
    service, address, data_hall : str
        What the entry says.
    slots : int
        As well.
    heartbeat_s : float
        How often the entry is written, in seconds.
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
    ):
        self._store = store
        self._key = wire.TARGETS_PREFIX + name
        self._told = {
            "service": service, "address": address, "zone": data_hall, "version": "v1",
            "slots": slots, "coldLeftMs": 0, "born": int(time.time() * 1000),
        }  # fmt: skip
        self.born = self._told["born"]
        self._heartbeat_s = heartbeat_s
        self._state = "ready"
        self._beats = 0
        self._lease: Lease | None = None
        self._stopped = False

    @property
    def is_leaving(self) -> bool:
        """Whether the entry says, or is about to say, that the target leaves."""
        return self._state == "draining"

    async def run(self) -> None:
        """Write the entry until stopped."""
        while not self._stopped:
            await self._write()
            await sleep(self._heartbeat_s)

    def stop(self) -> None:
        """Write the entry no more."""
        self._stopped = True

    async def tell_leaving(self) -> None:
        """Say that the target leaves; returns when the store has taken it."""
        self._state = "draining"
        while not await self._write():
            await sleep(RETRY_S)

    async def remove(self) -> None:
        """Write the entry no more, and remove it."""
        self._stopped = True
        while self._lease:
            try:
                await self._store.end_lease(self._lease)
                break
            except KVConflictError:
                # It is over, and the entry with it.
                break
            except (KVUnavailableError, KVUnknownError):
                await sleep(RETRY_S)

    async def _write(self) -> bool:
        """Write the entry; False if the store did not say that it has taken it."""
        self._beats += 1
        raw = json.dumps({**self._told, "state": self._state, "seq": self._beats}).encode()
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
