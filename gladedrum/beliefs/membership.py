"""Which other boxes there are: some keep an entry in the store under a lease, the rest are heard.

In a small fleet every box keeps an entry. In a large one only those do that may have to decide for
the others, by their capacity: an entry of each would cost calls to the store, log lines and
greetings that grow with the square of the fleet. The others are heard by the members when they ask,
and have the list of entries from them.
"""

import contextlib
import hashlib
import json
import logging
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform.store import NEVER, Lease, Revision, StoreClient
from ..utils import sleep
from .circle import SMALL_FLEET, precedence, rank

__all__ = ["BoxEntry", "BoxRegistry", "digest_of", "sane_capacity"]

BOXES_PREFIX = "gladedrum/boxes/"

LEASE_RENEWALS = 3
"""How many renewals a lease outlasts. Peers that are gone only cost datagrams until it ends."""

RENEW_S = 2.0
"""How often the lease is renewed and the others are listed, in seconds."""

ENTRIES = 14
"""How many boxes of a large fleet keep an entry: enough that a circle is there after most of them
are lost at once; more than `SMALL_FLEET`, so that all boxes can tell which kind of fleet it is; and
so few that the others are told of all of them in one datagram of some 800 bytes. Of 195 boxes, 181
make no lease, no entry and no renewals."""

TOLD_S = 4.0
"""A box that keeps no entry reads the list of entries itself if no peer has told it for so long, in
seconds: eight questions."""

LARGE_RENEW_S = 5.0
"""As `RENEW_S` in a large fleet, in seconds."""

ERA_SPREAD_S = 0.3
"""Within so many seconds boxes look again when the store has come back from a copy: 14 boxes with
an entry make four calls each, 190 a second of the 400 writing and 2,000 reading ones it takes."""

HEARD_S = 6.0
"""How long a box that is not listed counts as a peer after its last datagram, in seconds."""

PEERS_FOR_S = 0.5
"""How often boxes that have fallen silent are looked for, in seconds."""

MOST_CORES = 4096.0
"""More cores than this are no capacity that a box can have."""

NAMES_LOGGED = 8
"""Names that a log line about the list holds: after a loss of a whole fleet all have changed."""

_RETRY_S = (0.5, 1.2)
_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)

_log = logging.getLogger(__name__)


class BoxEntry(NamedTuple):
    """A box that keeps an entry: where it takes datagrams, and the cores that it may use."""

    host: str
    port: int
    capacity: float = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """Where it takes datagrams."""
        return self.host, self.port


class _Heard(NamedTuple):
    """Which box sent the last datagram from an address, and when."""

    name: str
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
    capacity : float
        The cores that this box may use.
    spread_s : float
        Within so many seconds of its start it looks for the first time whether it is to keep an
        entry; 0 to look at once.

    Attributes
    ----------
    entries : dict of str to BoxEntry
        The other boxes that keep entries.
    revision : Revision
        The store's revision as of which they are listed, `NEVER` before the first.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: StoreClient,
        name: str,
        address: tuple[str, int],
        rng: random.Random,
        capacity: float = 0.0,
        spread_s: float = 0.0,
    ):
        self.name = name
        self._spread_s = spread_s
        self.capacity = capacity
        self._clock = clock
        self._store = store
        self._address = address
        self._rng = rng
        self._lease: Lease | None = None
        self._lease_s = 0.0
        self._written = False
        self._leaving = False
        self._connected = True
        self._news: defer.Deferred[None] | None = None
        self.entries: dict[str, BoxEntry] = {}
        self.revision = NEVER
        self._told_s = float("-inf")
        self._heard: dict[tuple[str, int], _Heard] = {}
        self._ended_s: dict[str, float] = {}
        self._heard_capacity: dict[str, float] = {}
        self._peers: dict[str, tuple[str, int]] = {}
        self._peers_at_s = float("-inf")
        self.on_listed: Callable[[], None] = lambda: None
        self.on_replaced: Callable[[str], None] = lambda _name: None

    @property
    def peers(self) -> dict[str, tuple[str, int]]:
        """The other boxes' addresses: those that keep an entry, and those heard lately.

        A box that comes, or comes back, is heard before the others read the list again. The same
        mapping is returned until a box comes or goes.
        """
        if self._clock.seconds() - self._peers_at_s >= PEERS_FOR_S:
            self._find_peers()
        return self._peers

    def capacity_of(self, name: str) -> float:
        """Return the cores that a box may use, 0 if it has not told them."""
        if name == self.name:
            return self.capacity
        entry = self.entries.get(name)
        return entry.capacity if entry is not None else self._heard_capacity.get(name, 0.0)

    def note_heard(
        self, name: str, address: tuple[str, int], capacity: float | None = None
    ) -> None:
        """Note a datagram of another box; an earlier start at that address is over."""
        before = self._heard.get(address)
        self._heard[address] = _Heard(name, self._clock.seconds())
        self._ended_s.pop(name, None)
        if before is None or before.name != name:
            self._find_peers()
        if before is not None and before.name != name:
            self.on_replaced(before.name)
        if capacity is not None and self.capacity_of(name) != sane_capacity(capacity):
            self._heard_capacity[name] = sane_capacity(capacity)
            self._find_peers(reordered=True)

    def note_ended(self, name: str, address: tuple[str, int]) -> None:
        """Note that a box has ended as planned; it counts again if it is heard again."""
        before = self._heard.get(address)
        if before is not None and before.name == name:
            del self._heard[address]
        self._ended_s[name] = self._clock.seconds()
        self._find_peers()
        self.on_replaced(name)

    def take_told(self, entries: Mapping[str, BoxEntry] | None, revision: Revision) -> bool:
        """Take a peer's list of entries as of a revision of the store; return whether it is newer.

        None if this box has the same one. Members read the list at different times, so an older
        one than this box's own is passed over.
        """
        self._told_s = self._clock.seconds()
        if entries is None or revision <= self.revision:
            return False
        self.revision = revision
        self._take_entries(entries)
        return True

    @property
    def digest(self) -> str:
        """What stands for the list of entries that this box has."""
        return digest_of(self.entries)

    @property
    def told_entries(self) -> dict[str, BoxEntry]:
        """The entries that count, with this box's own, as boxes without one are told them.

        While a fleet starts there are more, since many list the entries before any is there.
        """
        own = {self.name: BoxEntry(*self._address, self.capacity)} if self._written else {}
        entries = {**self.entries, **own}
        first = sorted(entries, key=lambda name: precedence(name, entries[name].capacity))
        return {name: entries[name] for name in first[:ENTRIES]}

    @property
    def keeps_entry(self) -> bool:
        """Whether this box has an entry in the store."""
        return self._written

    @property
    def count(self) -> int:
        """How many boxes are known, this one included."""
        return len(self.peers) + 1

    def _find_peers(self, reordered: bool = False) -> None:
        """Find who the peers are; `reordered` if a capacity has changed, which orders them."""
        now_s = self._peers_at_s = self._clock.seconds()
        self._heard = {a: h for a, h in self._heard.items() if now_s - h.at_s < HEARD_S}
        # Its entry may be listed for a while yet, or for as long as the store is away.
        self._ended_s = {
            n: s for n, s in self._ended_s.items() if n in self.entries or now_s - s < HEARD_S
        }
        names = {heard.name for heard in self._heard.values()}
        self._heard_capacity = {n: c for n, c in self._heard_capacity.items() if n in names}
        listed = {
            n: e.address
            for n, e in self.entries.items()
            if e.address not in self._heard and n not in self._ended_s
        }
        peers = {**listed, **{heard.name: address for address, heard in self._heard.items()}}
        if reordered or peers != self._peers:
            self._peers = peers

    async def run(self) -> None:
        """Keep the entry and the list until cancelled."""
        if self._spread_s and self.revision != NEVER:
            await self._await_turn()
        while not self._leaving:
            try:
                await self._keep_up()
                self._connected = True
            except _STORE_ERRORS as exc:
                if isinstance(exc, KVConflictError):
                    self._lease = None
                if self._connected:
                    _log.warning("list of boxes not kept up", extra={"reason": str(exc)})
                self._connected = False
                await sleep(self._clock, self._rng.uniform(*_RETRY_S))
                continue
            await self._pause(self._renew_s * self._rng.uniform(0.8, 1.0))
        await sleep(self._clock, 3600)

    async def _pause(self, pause_s: float) -> None:
        """Wait for the next look, which comes at once when the store has come back from a copy."""
        self._news = defer.Deferred()
        self._news.addTimeout(pause_s, self._clock, onTimeoutCancel=lambda _result, _s: None)
        try:
            await self._news
        finally:
            self._news = None

    def note_era(self) -> None:
        """Note that the store has come back from a copy: this box's lease is no more.

        Its number may be another box's by now, so it is neither renewed nor ended. The entry is
        written anew, and the others' are read, at a time of its own within `ERA_SPREAD_S`.
        """
        self._lease, self._written = None, False
        if self._news is not None:
            self._clock.callLater(self._rng.uniform(0.0, ERA_SPREAD_S), self._wake, self._news)

    def _wake(self, news: defer.Deferred[None]) -> None:
        if news is self._news and not news.called:
            news.callback(None)

    async def _await_turn(self) -> None:
        """Wait until the boxes have written their entries that come before this one, and list them.

        The list may be seconds old, and costs a tenth for that: at worst an entry too many is
        written, and given up at the next look.
        """
        share = int.from_bytes(rank(self.name)) / 2 ** (8 * len(rank(self.name)))
        await sleep(self._clock, share * self._spread_s)
        with contextlib.suppress(*_STORE_ERRORS):
            await self._list()

    async def _keep_up(self) -> None:
        """Read the list of entries, unless a peer has told it, and keep this box's if needed."""
        first = self.revision == NEVER
        if first:
            await self._list()
        if self._is_needed():
            is_new = await self._renew()
            # After the entry is written: of two boxes that start at once, one sees the other.
            await self._list(fresh=is_new)
            return
        await self._give_up_entry()
        if not first and self._clock.seconds() - self._told_s >= TOLD_S:
            await self._list()

    def _is_needed(self) -> bool:
        """Whether fewer boxes than are to keep entries come before this one."""
        mine = precedence(self.name, self.capacity)
        before = sum(precedence(n, e.capacity) < mine for n, e in self.entries.items())
        return before < ENTRIES

    async def leave(self) -> None:
        """Remove this box's entry."""
        self._leaving = True
        await self._give_up_entry()

    async def _give_up_entry(self) -> None:
        if self._lease is None:
            return
        lease, self._lease, self._written = self._lease, None, False
        try:
            await self._store.end_lease(lease)
        except _STORE_ERRORS as exc:
            _log.warning("entry of this box not removed", extra={"reason": str(exc)})

    @property
    def _renew_s(self) -> float:
        return LARGE_RENEW_S if self.count > SMALL_FLEET else RENEW_S

    async def _renew(self) -> bool:
        """Keep this box's entry; return whether it was written anew."""
        lease_s = LEASE_RENEWALS * self._renew_s
        if self._lease is not None and self._written and lease_s <= self._lease_s:
            await self._store.keep_lease(self._lease)
            return False
        # Known before the entry is written, so that a stop in between ends it all the same.
        self._lease = await self._store.grant_lease(lease_s)
        self._lease_s = lease_s
        self._written = False
        row = {"host": self._address[0], "port": self._address[1], "capacity": self.capacity}
        value = json.dumps(row).encode()
        await self._store.transact({}, {BOXES_PREFIX + self.name: value}, lease=self._lease)
        self._written = True
        return True

    async def _list(self, fresh: bool = False) -> None:
        stale = self.revision != NEVER and not fresh
        listing = await self._store.list(BOXES_PREFIX, stale=stale)
        if listing.revision < self.revision:
            return
        self.revision = listing.revision
        latest: dict[tuple[str, int], tuple[str, BoxEntry]] = {}
        for item in sorted(listing.items, key=lambda item: item.revision):
            entry = _entry_of(json.loads(item.value or b"{}"))
            # Of several starts of a box, which share an address, the last counts.
            latest[entry.address] = item.key.removeprefix(BOXES_PREFIX), entry
        latest.pop(self._address, None)
        self._take_entries(dict(latest.values()))

    def _take_entries(self, entries: Mapping[str, BoxEntry]) -> None:
        """Put another list of entries in force."""
        others = {n: e for n, e in entries.items() if e.address != self._address}
        if others == self.entries:
            return
        come, gone = (
            sorted(others.keys() - self.entries.keys()),
            sorted(self.entries.keys() - others.keys()),
        )
        _log.info(
            "boxes listed",
            extra={"boxes": len(others), "come": come[:NAMES_LOGGED], "gone": gone[:NAMES_LOGGED]},
        )
        self.entries = others
        self._find_peers(reordered=True)
        if come:
            self.on_listed()


def sane_capacity(told: object) -> float:
    """Return a capacity that a box has told; one that is missing or absurd counts as none."""
    if isinstance(told, bool) or not isinstance(told, int | float):
        return 0.0
    return float(told) if 0.0 < told <= MOST_CORES else 0.0


def digest_of(entries: Mapping[str, BoxEntry]) -> str:
    """Return what stands for a list of entries; equal for equal ones."""
    rows = repr(sorted(entries.items())).encode()
    return hashlib.blake2b(rows, digest_size=8).hexdigest()


def _entry_of(row: dict[str, object]) -> BoxEntry:
    return BoxEntry(str(row["host"]), int(row["port"]), sane_capacity(row.get("capacity")))
