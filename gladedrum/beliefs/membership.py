"""Membership: which other boxes exist, from entries in the store and from received datagrams.

Each start of a box, which is one run of its process, has its own unique name. A registered box has
an entry in the store under a lease. In a small fleet every box is registered.
In a large one only the `REGISTERED_BOXES` boxes with the highest precedence (see `precedence`) are,
because they may become coordinators; registering every box would cost store calls, log lines and
announcements that grow with the square of the fleet. Other boxes are known from their datagrams,
and receive the list of entries from the coordinators that they ask.
"""

import contextlib
import hashlib
import logging
import math
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..errors import KVConflictError, KVUnavailableError, KVUnknownError
from ..platform.codecs import MalformedError
from ..platform.malformed import MalformedEntries
from ..platform.store import NEVER, Lease, Revision, StoreClient
from ..utils import Wait, sleep
from .box_entries import BoxEntry, decode_entry, encode_entry, valid_capacity
from .coordinators import SMALL_FLEET, precedence, rank

__all__ = ["BoxEntry", "BoxRegistry", "digest_of", "valid_capacity"]

BOXES_PREFIX = "gladedrum/boxes/"

LEASE_RENEWALS = 3
"""A lease ends after this many missed renewals. Until then a lost peer only costs datagrams."""

RENEW_INTERVAL_S = 2.0
"""Interval between renewals of the lease and reads of the list in a small fleet, in seconds."""

REGISTERED_BOXES = 14
"""Number of registered boxes in a large fleet.

Enough to form a coordinator group after most of them are lost at once; more than `SMALL_FLEET`, so
that every box can tell a large fleet from a small one; few enough that the list fits in one
datagram. The list takes some 800 bytes. Of 195 boxes, 181 need no lease, entry or renewals.
"""

PEER_LIST_TIMEOUT_S = 4.0
"""An unregistered box reads the list itself if no peer has sent it for this long, in seconds. In
this time it asks eight times."""

LARGE_FLEET_RENEW_INTERVAL_S = 5.0
"""As `RENEW_INTERVAL_S`, in a large fleet."""

RESTORE_JITTER_S = 0.3
"""After a restore of the store, boxes read it again within this many seconds. The random delay
keeps their calls below the rate that the store accepts. 14 registered boxes with four calls each
make 190 a second; the store accepts 400 writes and 2,000 reads."""

PEER_TIMEOUT_S = 6.0
"""How long an unregistered box counts as a peer after its last datagram, in seconds."""

PEER_CHECK_INTERVAL_S = 0.5
"""Interval between checks for silent peers, in seconds."""

ALONE_AFTER_S = 1.5
"""A box that knows others and has heard none for this time is alone, in seconds: three times the
interval at which boxes are asked for newer state."""

REACH_MEMORY_S = 120.0
"""How long the largest number of boxes known at once counts as the size of the fleet, in seconds.
A part of the fleet that is cut off loses the others from its list after some seconds, and must not
take itself for the whole fleet for as long as a partition usually lasts."""

MAX_NAMES_LOGGED = 8
"""Maximum number of added or removed boxes that a log line names; every box may change at once."""

_RETRY_PAUSE_S = (0.5, 1.2)
"""Range of the pause after a failed call to the store, in seconds."""

_STORE_ERRORS = (KVUnavailableError, KVUnknownError, KVConflictError)

_log = logging.getLogger(__name__)


class _LastDatagram(NamedTuple):
    """The sender and the time of the last datagram from an address."""

    name: str
    at_s: float


class BoxRegistry:
    """Keeps this box's entry in the store and the list of other boxes.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    store : StoreClient
        Holds the entries.
    name : str
        Unique name of this start of the box.
    address : (str, int)
        Where this box receives datagrams.
    rng : random.Random
        Adds jitter to store calls.
    capacity : float
        The cores that this box may use.
    stagger_s : float
        On the first start of a fleet, a box that has received the list from a peer delays its first
        registration check by a share of this time that follows from its name, in seconds; 0 checks
        at once.
    data_hall : str
        The data hall of this box.

    Attributes
    ----------
    entries : dict of str to BoxEntry
        The other registered boxes.
    malformed : MalformedEntries
        The entries that this box's latest read has skipped.
    revision : Revision
        Store revision of `entries`; `NEVER` before the first read.
    on_listed : callable
        Called when boxes were added to `entries`.
    on_replaced : callable
        Called with the name of a box that has ended or was replaced by a later start.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: StoreClient,
        name: str,
        address: tuple[str, int],
        rng: random.Random,
        capacity: float = 0.0,
        stagger_s: float = 0.0,
        data_hall: str = "",
    ):
        self.name = name
        self._data_hall = data_hall
        self._stagger_s = stagger_s
        self.capacity = capacity
        self._clock = clock
        self._store = store
        self._address = address
        self._rng = rng
        self._lease: Lease | None = None
        self._lease_s = 0.0
        self._registered = False
        self._leaving = False
        self._connected = True
        self._wait = Wait(clock)
        self.entries: dict[str, BoxEntry] = {}
        self.malformed = MalformedEntries("box")
        self.revision = NEVER
        self._list_received_s = float("-inf")
        self._last_datagrams: dict[tuple[str, int], _LastDatagram] = {}
        self._ended_s: dict[str, float] = {}
        self._reported_capacity: dict[str, float] = {}
        self._reported_halls: dict[str, str] = {}
        self._peers: dict[str, tuple[str, int]] = {}
        self._peers_updated_s = float("-inf")
        self._largest_count, self._largest_s = 1, float("-inf")
        self.on_listed: Callable[[], None] = lambda: None
        self.on_replaced: Callable[[str], None] = lambda _name: None

    @property
    def peers(self) -> dict[str, tuple[str, int]]:
        """Addresses of the other boxes: registered ones, and senders of recent datagrams.

        Datagrams reveal a new or restarted box before the list does. The same mapping is returned
        until a box joins or leaves or a capacity changes.
        """
        if self._clock.seconds() - self._peers_updated_s >= PEER_CHECK_INTERVAL_S:
            self._update_peers()
        return self._peers

    def capacity_of(self, name: str) -> float:
        """Return the cores that a box may use; 0 if unknown."""
        if name == self.name:
            return self.capacity
        entry = self.entries.get(name)
        return entry.capacity if entry is not None else self._reported_capacity.get(name, 0.0)

    def hall_of(self, name: str) -> str:
        """Return the data hall of a box, empty if unknown."""
        entry = self.entries.get(name)
        return self._reported_halls.get(name, "") if entry is None else entry.data_hall

    def note_datagram(
        self,
        name: str,
        address: tuple[str, int],
        capacity: float | None = None,
        data_hall: str | None = None,
    ) -> None:
        """Record a datagram from a box; it replaces any earlier start at the same address.

        `capacity` and `data_hall` are None unless the box tells them.
        """
        if data_hall:
            self._reported_halls[name] = data_hall
        before = self._last_datagrams.get(address)
        self._last_datagrams[address] = _LastDatagram(name, self._clock.seconds())
        self._ended_s.pop(name, None)
        if before is None or before.name != name:
            self._update_peers()
        if before is not None and before.name != name:
            self.on_replaced(before.name)
        if capacity is not None and self.capacity_of(name) != valid_capacity(capacity):
            self._reported_capacity[name] = valid_capacity(capacity)
            self._update_peers(reordered=True)

    def note_ended(self, name: str, address: tuple[str, int]) -> None:
        """Record a planned stop; the box counts again once another datagram arrives from it."""
        before = self._last_datagrams.get(address)
        if before is not None and before.name == name:
            del self._last_datagrams[address]
        self._ended_s[name] = self._clock.seconds()
        self._update_peers()
        self.on_replaced(name)

    def receive_entries(self, entries: Mapping[str, BoxEntry] | None, revision: Revision) -> bool:
        """Apply a peer's list of entries; return whether it is newer than this box's list.

        `entries` is None if the peer sent none, as when both lists are equal. Coordinators read the
        list at different times, so older revisions are ignored.
        """
        self._list_received_s = self._clock.seconds()
        if entries is None or revision <= self.revision:
            return False
        self.revision = revision
        self._replace_entries(entries)
        return True

    @property
    def digest(self) -> str:
        """Digest of `entries`, to compare it with a peer's list."""
        return digest_of(self.entries)

    @property
    def entries_to_send(self) -> dict[str, BoxEntry]:
        """Up to `REGISTERED_BOXES` entries with the highest precedence, for unregistered boxes.

        This box's own entry counts if it is registered. The limit matters while a fleet starts:
        many boxes read an empty list and register, so the store may hold more entries.
        """
        mine = BoxEntry(*self._address, self.capacity, self._data_hall)
        own = {self.name: mine} if self._registered else {}
        entries = {**self.entries, **own}
        first = sorted(entries, key=lambda name: precedence(name, entries[name].capacity))
        return {name: entries[name] for name in first[:REGISTERED_BOXES]}

    @property
    def is_registered(self) -> bool:
        """Whether this box has an entry in the store."""
        return self._registered

    @property
    def count(self) -> int:
        """Number of known boxes, this one included."""
        return len(self.peers) + 1

    @property
    def recent_size(self) -> int:
        """Largest number of boxes known within `REACH_MEMORY_S`, this one included."""
        return max(self.count, self._largest_count)

    @property
    def reach(self) -> float:
        """Share of the fleet that this box can communicate with, itself included.

        0 before the fleet is known. Without the store, only boxes that were heard recently count,
        since entries of others may be outdated.
        """
        if self.revision == NEVER:
            return 0.0
        count = self.count
        if not self._connected:
            count = 1 + len({last.name for last in self._last_datagrams.values()})
        return min(1.0, count / self._largest_count)

    @property
    def is_alone(self) -> bool:
        """Whether this box knows others and has heard none of them for `ALONE_AFTER_S`."""
        if not self.peers:
            return False
        last_s = max((last.at_s for last in self._last_datagrams.values()), default=-math.inf)
        return self._clock.seconds() - last_s > ALONE_AFTER_S

    def _update_peers(self, reordered: bool = False) -> None:
        """Update `peers`; `reordered` if capacities changed, which affects precedence.

        The coordinator group is selected again whenever `peers` is a new mapping.
        """
        now_s = self._peers_updated_s = self._clock.seconds()
        self._last_datagrams = {
            address: last
            for address, last in self._last_datagrams.items()
            if now_s - last.at_s < PEER_TIMEOUT_S
        }
        # The entry of an ended box may remain listed, for example while the store is unavailable.
        self._ended_s = {
            n: s
            for n, s in self._ended_s.items()
            if n in self.entries or now_s - s < PEER_TIMEOUT_S
        }
        names = {last.name for last in self._last_datagrams.values()}
        self._reported_capacity = {n: c for n, c in self._reported_capacity.items() if n in names}
        self._reported_halls = {n: h for n, h in self._reported_halls.items() if n in names}
        listed = {
            n: e.address
            for n, e in self.entries.items()
            if e.address not in self._last_datagrams and n not in self._ended_s
        }
        peers = {
            **listed,
            **{last.name: address for address, last in self._last_datagrams.items()},
        }
        if reordered or peers != self._peers:
            self._peers = peers
        # Noted here since `reach` may first be read after the fleet has come apart.
        count = len(peers) + 1
        if count >= self._largest_count or now_s - self._largest_s > REACH_MEMORY_S:
            self._largest_count, self._largest_s = count, now_s

    async def run(self) -> None:
        """Keep the entry and the list up to date until cancelled."""
        if self._stagger_s and self.revision != NEVER:
            await self._wait_for_turn()
        while not self._leaving:
            try:
                await self._refresh()
                self._connected = True
            except _STORE_ERRORS as exc:
                if isinstance(exc, KVConflictError):
                    self._lease = None
                if self._connected:
                    _log.warning("cannot update the list of boxes", extra={"reason": str(exc)})
                self._connected = False
                await self._wait.wait(self._rng.uniform(*_RETRY_PAUSE_S))
                continue
            await self._wait.wait(self._renew_interval_s * self._rng.uniform(0.8, 1.0))
        # The process ends soon; if this returned, the supervisor would restart the task.
        await sleep(self._clock, 3600)

    def note_store_restored(self) -> None:
        """Discard the lease after the store was restored from a backup.

        The store may have reissued the lease's number to another box, so it is neither renewed nor
        ended. The next refresh, within `RESTORE_JITTER_S`, registers again and reads the list.
        """
        self._lease, self._registered = None, False
        self._wait.end_within(self._rng.uniform(0.0, RESTORE_JITTER_S))

    async def _wait_for_turn(self) -> None:
        """Wait for this box's share of `stagger_s`, then read the list.

        The share follows from `rank`, so that boxes with equal cores check in order of precedence.
        The read may be stale: at worst this box registers needlessly and unregisters at its next
        refresh.
        """
        share = int.from_bytes(rank(self.name)) / 2 ** (8 * len(rank(self.name)))
        await sleep(self._clock, share * self._stagger_s)
        # If the read fails, `run` refreshes anyway and retries.
        with contextlib.suppress(*_STORE_ERRORS):
            await self._list()

    async def _refresh(self) -> None:
        """Read the list unless a peer has sent it, and register or unregister this box."""
        first = self.revision == NEVER
        if first:
            await self._list()
        if self._should_register():
            is_new = await self._renew()
            # Read after writing: if two boxes start at once, at least one sees the other.
            await self._list(fresh=is_new)
            return
        await self._unregister()
        if not first and self._clock.seconds() - self._list_received_s >= PEER_LIST_TIMEOUT_S:
            await self._list()

    def _should_register(self) -> bool:
        """Whether fewer than `REGISTERED_BOXES` boxes have a higher precedence."""
        mine = precedence(self.name, self.capacity)
        before = sum(precedence(n, e.capacity) < mine for n, e in self.entries.items())
        return before < REGISTERED_BOXES

    async def leave(self) -> None:
        """Remove this box's entry before it stops."""
        self._leaving = True
        await self._unregister()

    async def _unregister(self) -> None:
        if self._lease is None:
            return
        lease, self._lease, self._registered = self._lease, None, False
        try:
            await self._store.end_lease(lease)
        except _STORE_ERRORS as exc:
            _log.warning("cannot remove this box's entry", extra={"reason": str(exc)})

    @property
    def _renew_interval_s(self) -> float:
        return LARGE_FLEET_RENEW_INTERVAL_S if self.count > SMALL_FLEET else RENEW_INTERVAL_S

    async def _renew(self) -> bool:
        """Renew the lease or write a new entry; return whether the entry is new."""
        lease_s = LEASE_RENEWALS * self._renew_interval_s
        if self._lease is not None and self._registered and lease_s <= self._lease_s:
            await self._store.keep_lease(self._lease)
            return False
        # Assigned before the entry is written, so that a planned stop in between ends the lease.
        self._lease = await self._store.grant_lease(lease_s)
        self._lease_s = lease_s
        self._registered = False
        value = encode_entry(BoxEntry(*self._address, self.capacity, self._data_hall))
        await self._store.transact({}, {BOXES_PREFIX + self.name: value}, lease=self._lease)
        self._registered = True
        return True

    async def _list(self, fresh: bool = False) -> None:
        """Read the list; by a stale read, which is cheaper, if a list is known and not `fresh`."""
        stale = self.revision != NEVER and not fresh
        listing = await self._store.list(BOXES_PREFIX, stale=stale)
        if listing.revision < self.revision:
            return
        self.revision = listing.revision
        latest: dict[tuple[str, int], tuple[str, BoxEntry]] = {}
        malformed = {}
        for item in sorted(listing.items, key=lambda item: item.revision):
            name = item.key.removeprefix(BOXES_PREFIX)
            try:
                entry = decode_entry(name, item.value or b"")
            except MalformedError as exc:
                malformed[name] = str(exc)
                continue
            # Several starts of a box share an address: the latest one counts.
            latest[entry.address] = name, entry
        self.malformed.note(malformed)
        latest.pop(self._address, None)
        self._replace_entries(dict(latest.values()))

    def _replace_entries(self, entries: Mapping[str, BoxEntry]) -> None:
        """Replace `entries`, and report boxes that were added."""
        others = {n: e for n, e in entries.items() if e.address != self._address}
        if others == self.entries:
            return
        added, removed = (
            sorted(others.keys() - self.entries.keys()),
            sorted(self.entries.keys() - others.keys()),
        )
        _log.info(
            "boxes listed",
            extra={
                "boxes": len(others),
                "come": added[:MAX_NAMES_LOGGED],
                "gone": removed[:MAX_NAMES_LOGGED],
            },
        )
        self.entries = others
        self._update_peers(reordered=True)
        if added:
            self.on_listed()


def digest_of(entries: Mapping[str, BoxEntry]) -> str:
    """Return a digest of a list of entries; equal lists have equal digests."""
    rows = repr(sorted(entries.items())).encode()
    return hashlib.blake2b(rows, digest_size=8).hexdigest()
