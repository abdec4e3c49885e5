"""Simulated fleet for tests: the real state followers of many boxes on one virtual clock.

No sockets and no processes. The store answers after a delay, counts calls, can be unavailable,
expires leases and can be restored from a snapshot. Datagrams take `DATAGRAM_DELAY_S`.
"""

import json
import random
from collections import Counter
from types import SimpleNamespace

from twisted.internet import defer
from twisted.internet.task import Clock

from gladedrum.beliefs.era_record import ERA_KEY
from gladedrum.beliefs.peer_sync import PeerSync
from gladedrum.beliefs.store_beliefs import StoreBeliefs
from gladedrum.beliefs.target_list import SYN_RETRY_S
from gladedrum.errors import KVConflictError, KVSilentError, KVUnavailableError
from gladedrum.gossip import GossipPort, is_shutdown_notice
from gladedrum.platform import wire
from gladedrum.platform.store import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    Lease,
    Listing,
    Revision,
    StoredItem,
    WatchAnswer,
)
from gladedrum.platform.tests.test_codecs import CONFIGURATION
from gladedrum.utils import sleep, start

CALL_S = 0.006
"""Duration of a call to the store, in seconds."""
DATAGRAM_DELAY_S = 0.0014
"""Delay of a datagram between data halls, in seconds."""
STEP_S = 0.002
"""Step of the virtual clock, in seconds."""


class StoreCalls:
    """One box's client of a `VirtualStore`; reports a restore like the real client.

    Of this box's next reads of the configuration, `refused_reads` fail at once and then
    `unanswered_reads` get no answer. Each further one is refused with probability `refusal_chance`.
    While the box `is_cut`, no call is answered.
    """

    def __init__(self, store: "VirtualStore", is_cut=lambda: False):
        self._store = store
        self._is_cut = is_cut
        self.era = 0
        self.on_restored = []
        self.refused_reads = 0
        self.unanswered_reads = 0
        self.refusal_chance = 0.0
        self._rng = random.Random(0)

    async def list(self, prefix, stale=False, timeout_s=None):
        await self._store.pass_fault(self._is_cut, timeout_s)
        if prefix == wire.CONFIGURATION_PREFIX:
            if self.refused_reads or self._rng.random() < self.refusal_chance:
                self.refused_reads = max(0, self.refused_reads - 1)
                self._store.calls["refused"] += 1
                await sleep(self._store.clock, CALL_S)
                raise KVUnavailableError("status 503")
            if self.unanswered_reads:
                self.unanswered_reads -= 1
                await self._store.time_out(timeout_s)
        try:
            return await self._store.list(prefix, stale, timeout_s)
        finally:
            if not self._store.unavailable:
                self._note_era()

    def __getattr__(self, name: str):
        call = getattr(self._store, name)

        async def answered(*args, **kwargs):
            await self._store.pass_fault(self._is_cut, None)
            try:
                return await call(*args, **kwargs)
            finally:
                if not self._store.unavailable:
                    self._note_era()

        return answered

    def _note_era(self) -> None:
        before, self.era = self.era, self._store.era
        if 0 < before < self.era:
            for callback in self.on_restored:
                callback(before, self.era)


class VirtualStore:
    """In-memory store on a virtual clock.

    `calls` counts calls by kind: "list op" reads the configuration, "list servers" the targets,
    "list gladedrum" boxes or the table; "stale list" is a stale read of any list. `listed` counts
    reads of a list by prefix. While it is `silent`, calls get no answer. A read of the
    configuration takes `read_s` seconds longer than other calls.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.silent = False
        self.read_s = 0.0
        self.calls: Counter[str] = Counter()
        self.listed: Counter[str] = Counter()
        self.unavailable = False
        self.revision = 0
        self._items: dict[str, StoredItem] = {}
        self._removed: list[StoredItem] = []
        self._lease_of: dict[str, Lease | None] = {}
        self._expires_s: dict[Lease, float] = {}
        self._ttl_s: dict[Lease, float] = {}
        self._next_lease = 1
        self.era = 1
        self._copy = None
        self._changed: defer.Deferred[None] = defer.Deferred()

    def save_snapshot(self) -> None:
        rows = self._items, self._lease_of, self._expires_s, self._ttl_s
        self._copy = self.revision, self._next_lease, [dict(row) for row in rows]

    def restore_snapshot(self, rewrite_delay_s: float = 0.0) -> None:
        """Restore the snapshot; targets and the operator then write their entries again."""
        written = {
            key: item.value
            for key, item in self._items.items()
            if key.startswith((wire.CONFIGURATION_PREFIX, wire.TARGETS_PREFIX))
        }
        self.revision, self._next_lease, rows = self._copy
        self._items, self._lease_of, self._expires_s, self._ttl_s = (dict(row) for row in rows)
        self.era += 1
        self._notify()
        if rewrite_delay_s:
            self.clock.callLater(rewrite_delay_s, self._write_all, written)
        else:
            self._write_all(written)

    def _write_all(self, written: dict[str, bytes]) -> None:
        for key, value in written.items():
            self.write(key, value)

    def write(self, key: str, value: bytes, lease: Lease | None = None) -> None:
        self.revision += 1
        self._items[key] = StoredItem(key, value, self._current_revision)
        self._lease_of[key] = lease
        self._notify()

    def remove(self, key: str) -> None:
        self.revision += 1
        del self._items[key], self._lease_of[key]
        self._removed.append(StoredItem(key, None, self._current_revision))
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, defer.Deferred()
        changed.callback(None)

    @property
    def _current_revision(self) -> Revision:
        return Revision(self.era, self.revision)

    def keys(self, prefix: str) -> list[str]:
        self._drop_expired()
        return [key for key in self._items if key.startswith(prefix)]

    async def list(self, prefix, stale=False, timeout_s=None):
        self.listed[prefix] += 1
        await self._call("stale list" if stale else f"list {prefix.split('/')[0]}", timeout_s)
        if prefix == wire.CONFIGURATION_PREFIX and self.read_s:
            limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
            if self.read_s > limit_s:
                await self.time_out(limit_s)
            await sleep(self.clock, self.read_s)
        items = [self._items[key] for key in self.keys(prefix)]
        return Listing(tuple(items), self._current_revision)

    async def watch(self, prefix, after_revision, wait_s):
        await self._call("watch", wait_s + CALL_S)
        until_s, era = self.clock.seconds() + wait_s, self.era
        while self.clock.seconds() < until_s:
            if self.era != era or self.era != after_revision.era:
                raise HistoryGoneError("the store was restored")
            if self._changes(prefix, after_revision):
                break
            self._changed.addTimeout(
                until_s - self.clock.seconds(), self.clock, onTimeoutCancel=lambda _r, _s: None
            )
            waiting, self._changed = self._changed, defer.Deferred()
            self._changed.addCallback(lambda _none, waiting=waiting: _resolve(waiting))
            await waiting
        return WatchAnswer(self._changes(prefix, after_revision), self._current_revision)

    def _changes(self, prefix, after_revision):
        """Return the changes under a prefix since a revision, in order."""
        changes = sorted([*self._items.values(), *self._removed], key=lambda i: i.revision)
        return tuple(i for i in changes if i.key.startswith(prefix) and i.revision > after_revision)

    async def grant_lease(self, ttl_s):
        await self._call("grant")
        lease, self._next_lease = Lease(self.era, self._next_lease), self._next_lease + 1
        self._ttl_s[lease] = ttl_s
        self._expires_s[lease] = self.clock.seconds() + ttl_s
        return lease

    async def keep_lease(self, lease):
        await self._call("keep")
        self._drop_expired()
        if lease not in self._expires_s:
            raise KVConflictError("the lease has ended")
        self._expires_s[lease] = self.clock.seconds() + self._ttl_s[lease]

    async def end_lease(self, lease):
        await self._call("end")
        self._expires_s.pop(lease, None)
        self._drop_expired()

    async def transact(self, _conditions, puts, removals=(), lease=None):
        await self._call("write")
        for key, value in puts.items():
            self.write(key, value, lease)
        for key in removals:
            self._items.pop(key, None)
            self._lease_of.pop(key, None)
        return self._current_revision

    async def pass_fault(self, is_away, timeout_s: float | None) -> None:
        """Return at once, or when TCP sends the lost packets again; fail if it is too late."""
        if not is_away():
            return
        limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
        if limit_s > SYN_RETRY_S:
            await sleep(self.clock, SYN_RETRY_S)
            if not is_away():
                return
            limit_s -= SYN_RETRY_S
        await self.time_out(limit_s)

    async def time_out(self, timeout_s: float | None) -> None:
        """Fail after the timeout of a call that gets no answer."""
        await sleep(self.clock, CALL_TIMEOUT_S if timeout_s is None else timeout_s)
        raise KVSilentError("no answer")

    async def _call(self, kind: str, timeout_s: float | None = None) -> None:
        self.calls[kind] += 1
        await self.pass_fault(lambda: self.silent, timeout_s)
        await sleep(self.clock, CALL_S)
        if self.unavailable:
            raise KVUnavailableError("unavailable")

    def _drop_expired(self) -> None:
        now_s = self.clock.seconds()
        self._expires_s = {lease: s for lease, s in self._expires_s.items() if s > now_s}
        for key, lease in list(self._lease_of.items()):
            if lease and lease not in self._expires_s:
                del self._items[key], self._lease_of[key]
                self.revision += 1


def _resolve(waiting: defer.Deferred) -> None:
    if not waiting.called:
        waiting.callback(None)


class NoLosses:
    """Stands in for `KnownLosses`: there are none."""

    checksum = 0
    is_informed = True

    def note_compared(self) -> None:
        pass

    def send_all(self, _address) -> None:
        raise AssertionError("there are no losses to send")


class VirtualBox:
    """One start of a box: its state followers, peer synchronisation and datagrams."""

    def __init__(self, fleet: "VirtualFleet", number: int, generation: int, seeds: tuple):
        self.fleet = fleet
        self.address = (f"10.0.{number // 250}.{number % 250}", 7000)
        # Every 13th box has four times the cores of the others.
        capacity = 2.15 if number % 13 == 0 else 0.516
        settings = SimpleNamespace(
            peers=self.address,
            change_bound_s=fleet.change_bound_s,
            leave_bound_s=fleet.leave_bound_s,
            capacity=capacity,
            seeds=tuple(seed for seed in seeds if seed != self.address),
            waits_for_seeds=fleet.first_start and self.address not in seeds,
        )
        rng = random.Random(number * 1000 + generation)
        name = f"box-{number}.{generation}"
        self.store = StoreCalls(
            fleet.store, lambda: self.address in fleet.cut | fleet.cut_from_store
        )
        self.beliefs = StoreBeliefs(
            fleet.clock, self.store, name, settings, rng, lambda _entry: None
        )
        registry = self.beliefs.registry
        self.port = GossipPort(
            name,
            fleet.clock,
            self.beliefs.coordinators.recipients,
            lambda: [entry.address for entry in registry.entries.values()],
            self._receive,
            capacity,
        )
        self.port.transport = SimpleNamespace(write=self._send)
        self.beliefs.evacuations.broadcast = self.port.broadcast_evacuations
        registry.on_listed = self.port.announce_box
        self.losses = self.make_losses()
        self.peer_sync = PeerSync(
            fleet.clock,
            self.beliefs.coordinators,
            registry,
            self.port,
            self.beliefs.configuration,
            self.beliefs.targets,
            self.beliefs.table,
            self.beliefs.table_follower,
            self.beliefs.pace,
            self.losses,
            settings.seeds,
            settings.waits_for_seeds,
        )
        self.running = [start(child.run()) for child in self.beliefs.children()]
        self.running.append(start(self.peer_sync.run()))
        for task in self.running:
            task.addErrback(lambda failure: failure.trap(defer.CancelledError))

    def make_losses(self):
        """Return this box's `KnownLosses`."""
        return NoLosses()

    def leave(self) -> None:
        """Begin a planned stop; the box still serves.

        In a large fleet its entry is removed now, in a small one only at the end.
        """
        if not self.beliefs.coordinators.is_whole_fleet:
            start(self.beliefs.registry.leave())

    def end(self) -> None:
        """Complete a planned stop."""
        start(self.beliefs.registry.leave())
        self.port.announce_shutdown()
        self.stop()

    def stop(self) -> None:
        for task in self.running:
            task.cancel()
        self.fleet.boxes.pop(self.address, None)

    @property
    def version(self) -> int:
        configuration = self.beliefs.configuration.in_force
        return -1 if configuration is None else configuration.version

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.clock.callLater(
            DATAGRAM_DELAY_S, self.fleet.deliver, data, self.address, address
        )

    def _receive(self, received, address) -> None:
        if is_shutdown_notice(received):
            self.beliefs.registry.note_ended(received.box, address)
            return
        self.beliefs.registry.note_datagram(received.box, address, received.capacity)
        self.peer_sync.receive(received, address)


class VirtualFleet:
    """Boxes on one virtual clock; `box_class` is the class of each.

    The boxes whose addresses are in `cut` reach neither the store nor other boxes, and those in
    `cut_from_store` reach other boxes only.
    """

    box_class = VirtualBox

    def __init__(
        self,
        count: int,
        targets: int = 30,
        first_start: bool = False,
        change_bound_s: float = 4.0,
        leave_bound_s: float = 4.0,
    ):
        self.first_start = first_start
        self.change_bound_s = change_bound_s
        self.leave_bound_s = leave_bound_s
        self.cut: set[tuple[str, int]] = set()
        self.cut_from_store: set[tuple[str, int]] = set()
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = VirtualStore(self.clock)
        self.boxes: dict[tuple[str, int], VirtualBox] = {}
        self.write_configuration(1)
        if not first_start:
            # Boxes that ran before have trusted the store.
            self.store.write(ERA_KEY, b"%d" % self.store.era)
        for index in range(targets):
            self.write_target(f"t{index}")
        self.seeds = tuple((f"10.0.0.{number}", 7000) for number in (1, 2, 3))
        self._generation = 0
        for number in range(count):
            self.start(number)
            self.clock.advance(0.3 / count)

    def start(self, number: int) -> VirtualBox:
        self._generation += 1
        box = self.box_class(self, number, self._generation, self.seeds)
        self.boxes[box.address] = box
        return box

    def write_configuration(self, version: int, padding: int = 0, note: str = "") -> None:
        cfg = {**CONFIGURATION, "version": version, "note": note or "x" * padding}
        self.store.write(wire.CONFIGURATION_KEY, json.dumps(cfg).encode())

    def lose_members_in_outage(self, outage_s: float) -> None:
        """Make the store unavailable, and lose the coordinator group 0.1 s before its return."""
        members = next(iter(self.boxes.values())).beliefs.coordinators.members()
        self.store.unavailable = True
        self.run(outage_s - 0.1)
        for box in list(self.boxes.values()):
            if box.beliefs.registry.name in members:
                box.stop()
        self.run(0.1)
        self.store.unavailable = False

    def write_target(self, name: str, leaving: bool = False) -> None:
        row = {"service": "s1", "address": f"10.9.0.{name[1:]}:80", "zone": "h", "slots": 5}
        row |= {"state": "draining" if leaving else "ready", "version": "v1"}
        row |= {"seq": 0, "coldLeftMs": 0}
        self.store.write(f"{wire.TARGETS_PREFIX}{name}", json.dumps(row).encode())

    def deliver(self, data: bytes, sender: tuple[str, int], address: tuple[str, int]) -> None:
        box = self.boxes.get(address)
        if box is not None and not self.cut & {sender, address}:
            box.port.datagramReceived(data, sender)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
