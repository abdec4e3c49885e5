"""Which other boxes there are: each keeps an entry in the store under a lease."""

import json
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform.store import StoreClient
from ..utils import sleep

__all__ = ["BoxRegistry"]

BOXES_PREFIX = "gladedrum/boxes/"

LEASE_RENEWALS = 3
"""How many renewals a lease outlasts. Peers that are gone only cost datagrams until it ends."""

RENEW_S = 2.0
"""How often the lease is renewed and the others are listed, in seconds."""

LARGE_FLEET = 12
"""From more boxes than this on, each renews less often: the calls are paid for, and boxes that come
are heard by their datagrams."""

LARGE_RENEW_S = 5.0
"""As `RENEW_S` in a large fleet, in seconds."""

HEARD_S = 6.0
"""How long a box that is not listed counts as a peer after its last datagram, in seconds."""

_RETRY_S = (0.5, 1.2)
_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)

_log = logging.getLogger(__name__)


class _Heard(NamedTuple):
    """Where a datagram of a box came from, and when."""

    address: tuple[str, int]
    at_s: float


class BoxRegistry:
    """This box's entry, and the list of the others.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    store : StoreClient
        Where the entries are.
    name : str
        This start of this box; unique.
    address : (str, int)
        Where its peers send datagrams.
    rng : random.Random
        Spreads the calls of several boxes.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: StoreClient,
        name: str,
        address: tuple[str, int],
        rng: random.Random,
    ):
        self.name = name
        self._clock = clock
        self._store = store
        self._address = address
        self._rng = rng
        self._lease = 0
        self._lease_s = 0.0
        self._written = False
        self._leaving = False
        self._connected = True
        self._listed: dict[str, tuple[str, int]] = {}
        self._heard: dict[str, _Heard] = {}
        self.on_listed: Callable[[], None] = lambda: None

    @property
    def peers(self) -> dict[str, tuple[str, int]]:
        """The other boxes' addresses: those that are listed, and those heard lately.

        A box that comes, or comes back, is heard before the others read the list again.
        """
        now_s = self._clock.seconds()
        heard = {n: h.address for n, h in self._heard.items() if now_s - h.at_s < HEARD_S}
        addresses = set(heard.values())
        listed = {n: a for n, a in self._listed.items() if a not in addresses}
        return {**listed, **heard}

    def note_heard(self, name: str, address: tuple[str, int]) -> None:
        """Note a datagram of another box; an earlier start at that address is over."""
        self._heard = {n: h for n, h in self._heard.items() if h.address != address}
        self._heard[name] = _Heard(address, self._clock.seconds())

    @property
    def count(self) -> int:
        """How many boxes there are, this one included."""
        return len(self.peers) + 1

    async def run(self) -> None:
        """Keep the entry and the list until cancelled."""
        while not self._leaving:
            try:
                await self._renew()
                await self._list()
                self._connected = True
            except _STORE_ERRORS as exc:
                if isinstance(exc, KVConflictError):
                    self._lease = 0
                if self._connected:
                    _log.warning("entry of this box not renewed", extra={"reason": str(exc)})
                self._connected = False
                await sleep(self._clock, self._rng.uniform(*_RETRY_S))
                continue
            await sleep(self._clock, self._renew_s * self._rng.uniform(0.8, 1.0))
        await sleep(self._clock, 3600)

    async def leave(self) -> None:
        """Remove this box's entry."""
        self._leaving = True
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except _STORE_ERRORS as exc:
            _log.warning("entry of this box not removed", extra={"reason": str(exc)})

    @property
    def _renew_s(self) -> float:
        return LARGE_RENEW_S if self.count > LARGE_FLEET else RENEW_S

    async def _renew(self) -> None:
        lease_s = LEASE_RENEWALS * self._renew_s
        if self._lease and self._written and lease_s <= self._lease_s:
            await self._store.keep_lease(self._lease)
            return
        # Known before the entry is written, so that a stop in between ends it all the same.
        self._lease = await self._store.grant_lease(lease_s)
        self._lease_s = lease_s
        self._written = False
        value = json.dumps({"host": self._address[0], "port": self._address[1]}).encode()
        await self._store.transact({}, {BOXES_PREFIX + self.name: value}, lease=self._lease)
        self._written = True

    async def _list(self) -> None:
        listing = await self._store.list(BOXES_PREFIX, stale=bool(self._listed))
        latest: dict[tuple[str, int], str] = {}
        for item in sorted(listing.items, key=lambda item: item.revision):
            row = json.loads(item.value or b"{}")
            # Of several starts of a box, which share an address, the last counts.
            latest[str(row["host"]), int(row["port"])] = item.key.removeprefix(BOXES_PREFIX)
        latest.pop(self._address, None)
        peers = {name: address for address, name in latest.items()}
        for name in sorted(peers.keys() ^ self._listed.keys()):
            state = "listed" if name in peers else "gone"
            _log.info("peer", extra={"peer": name, "state": state})
        news = peers.keys() - self._listed.keys()
        self._listed = peers
        now_s = self._clock.seconds()
        self._heard = {n: h for n, h in self._heard.items() if now_s - h.at_s < HEARD_S}
        if news:
            self.on_listed()
