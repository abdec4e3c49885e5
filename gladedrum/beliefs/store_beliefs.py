"""Creates and connects the followers of the store: configuration, targets, table and boxes."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from twisted.internet.interfaces import IReactorTime

from ..fleet import TargetEntry
from ..platform.feeds import ConfigurationFeed, TargetFeed
from ..platform.store import NEVER, StoreClient
from ..routes import CallerLimits, Service
from ..table import TableFollower, TableInForce, TableStore
from ..utils import sleep
from ..utils.supervisor import Child
from .configuration import ConfigurationFollower
from .coordinators import CoordinatorGroup
from .era_record import EraRecord
from .evacuations import Evacuations
from .membership import BoxRegistry
from .store_pace import StorePace
from .target_list import TargetListFollower

__all__ = ["StoreBeliefs"]

_log = logging.getLogger(__name__)

SEED_TIMEOUT_S = 0.03
"""How long a starting box waits for its seeds before it calls the store, in seconds: two round
trips between data halls."""

FIRST_START_SEED_TIMEOUT_S = 4.0
"""As `SEED_TIMEOUT_S` when the whole fleet starts for the first time: the seeds read the store for
all boxes, and callers connect only later. Without this wait, 72 boxes made 662 calls in five
seconds."""

FIRST_START_STAGGER_S = 5.0
"""Time over which the boxes of a fleet that starts for the first time check one after another
whether to register, in seconds. So each box knows the entries of those before it."""

FIRST_START_MARGIN_S = 1.0
"""How long after the stagger a box assumes that its list of entries is complete, in seconds."""

PEER_DISCOVERY_TIMEOUT_S = 3.0
"""How long a box that knows targets but no peers does no work on behalf of the fleet, in seconds.

It may be one of hundreds that started at once during an outage of the store; if each
assumed that it is the only box, all of them would read the load of every target.
"""

SEED_CHECK_INTERVAL_S = 0.003
"""Interval at which a starting box checks for answers of its seeds, in seconds."""


class BeliefSettings(Protocol):
    """The settings used by this package.

    Attributes
    ----------
    peers : (str, int)
        Where this box receives datagrams from its peers.
    change_bound_s, leave_bound_s : float
        Time within which a changed configuration must be in force, and after which a leaving
        target must get no requests, in seconds.
    capacity : float
        The cores that this box may use.
    seeds : sequence of (str, int)
        Boxes to ask at the start.
    waits_for_seeds : bool
        Whether the whole fleet starts for the first time and this box is not a seed.
    """

    peers: tuple[str, int]
    change_bound_s: float
    leave_bound_s: float
    capacity: float
    seeds: tuple[tuple[str, int], ...]
    waits_for_seeds: bool


class StoreBeliefs:
    """Creates and connects everything that follows the store.

    Parameters
    ----------
    reactor : IReactorTime
        A monotonic clock.
    store : StoreClient
        The store.
    box : str
        Unique name of this start of the box.
    settings : BeliefSettings
        Bounds, addresses and capacity.
    rng : random.Random
        Adds jitter to store calls.
    on_gone : callable
        Called with the entry of each target that was removed from the list.
    on_listed : callable
        Called with the entry of each target that is new or has started again.
    data_hall : str
        The data hall of this box.

    Attributes
    ----------
    configuration, targets : ConfigurationFollower, TargetListFollower
        Followers of the operator's configuration and of the list of targets.
    target_feed : TargetFeed
        Reads the list of targets.
    evacuations : Evacuations
        The evacuated data halls.
    table, table_store, table_follower : TableInForce, TableStore, TableFollower
        The table of weights and limits, its storage and its follower.
    registry : BoxRegistry
        Membership of the fleet.
    coordinators : CoordinatorGroup
        The coordinator group.
    pace : StorePace
        Decides how often the store is called.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: StoreClient,
        box: str,
        settings: BeliefSettings,
        rng: random.Random,
        on_gone: Callable[[TargetEntry], None],
        on_listed: Callable[[TargetEntry], None] = lambda _entry: None,
        data_hall: str = "",
    ):
        self._clock = reactor
        self._informed_at_s: float | None = None
        self._seed_deadline_s = reactor.seconds() + _seed_timeout_s(settings)
        self._stagger_until_s = float("-inf")
        if settings.waits_for_seeds:
            self._stagger_until_s = reactor.seconds() + FIRST_START_STAGGER_S + FIRST_START_MARGIN_S
        self.table = TableInForce(reactor)
        self.table_store = TableStore(store)
        stagger_s = FIRST_START_STAGGER_S if settings.waits_for_seeds else 0.0
        self.registry = BoxRegistry(
            reactor,
            store,
            box,
            settings.peers,
            rng,
            settings.capacity,
            stagger_s,
            data_hall,
        )
        self.coordinators = CoordinatorGroup(
            box,
            lambda: self.registry.peers,
            self.registry.capacity_of,
            lambda: self.registry.recent_size,
        )
        self.table_follower = TableFollower(
            reactor, store, self.table, self.coordinators.excludes_me
        )
        self.pace = StorePace(
            reactor, rng, self.coordinators.excludes_me, self.coordinators.follows_readers
        )
        self.evacuations = Evacuations(reactor)
        self.configuration = ConfigurationFollower(
            reactor,
            ConfigurationFeed(store),
            settings.change_bound_s,
            self.pace,
            self.evacuations.note_read,
            EraRecord(reactor, store, random.Random(box)),
        )
        self.target_feed = TargetFeed(store)
        self.targets = TargetListFollower(
            reactor,
            self.target_feed,
            settings.leave_bound_s,
            on_gone,
            self.pace,
            on_listed,
            self.evacuations,
        )

        store.on_restored.append(self._on_store_restored)

    def _on_store_restored(self, previous_era: int, era: int) -> None:
        """Notify every follower that the store was restored from a backup."""
        extra = {
            "era": era,
            "before": previous_era,
            "entry_written_anew": self.registry.is_registered,
            "list_as_of": self.registry.revision.number,
            "version": self.configuration.in_force.version if self.configuration.in_force else None,
            "targets": len(self.targets.entries),
            "table_revision": self.table.table.revision,
            "edits_held": len(self.table.accepted_edits),
            "evacuated": sorted(self.evacuations.halls),
        }
        _log.warning("the store was restored from an earlier copy", extra=extra)
        self.configuration.note_store_restored()
        self.evacuations.note_store_restored()
        self.targets.note_store_restored()
        self.registry.note_store_restored()
        self.table_follower.note_store_restored()

    @property
    def is_informed(self) -> bool:
        """Whether this box has a configuration and a list of targets."""
        return self.configuration.in_force is not None and bool(self.targets.entries)

    def knows_peers(self) -> bool:
        """Whether the other boxes are known, or the time to discover them is over."""
        if self.registry.revision != NEVER:
            return True
        if not self.is_informed:
            return False
        if self._informed_at_s is None:
            self._informed_at_s = self._clock.seconds()
        return self._clock.seconds() - self._informed_at_s >= PEER_DISCOVERY_TIMEOUT_S

    def children(self) -> list[Child]:
        """Return the tasks to supervise."""
        return [
            Child("configuration", lambda: self._run_after_seeds(self.configuration.run)),
            Child("targets", lambda: self._run_after_seeds(self.targets.run)),
            Child("table", lambda: self._run_after_seeds(self.table_follower.run)),
            Child("registry", self._run_registry),
        ]

    async def _run_after_seeds(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task that calls the store, after peers have sent its data or failed to answer."""
        while not self._has_peer_state() and self._clock.seconds() < self._seed_deadline_s:
            await sleep(self._clock, SEED_CHECK_INTERVAL_S)
        # Until boxes have registered, a large fleet looks like a small one in which all boxes read.
        while self._has_peer_state() and self._clock.seconds() < self._stagger_until_s:
            await sleep(self._clock, FIRST_START_MARGIN_S / 2)
        await run()

    async def _run_registry(self) -> None:
        while self.registry.revision == NEVER and self._clock.seconds() < self._seed_deadline_s:
            await sleep(self._clock, SEED_CHECK_INTERVAL_S)
        await self.registry.run()

    def _has_peer_state(self) -> bool:
        return self.is_informed and self.registry.revision != NEVER

    def set_bounds(self, settings: BeliefSettings) -> None:
        """Apply changed bounds."""
        self.configuration.set_change_bound(settings.change_bound_s)
        self.targets.set_leave_bound(settings.leave_bound_s)

    def limits(self) -> CallerLimits:
        """Return the limits on callers."""
        configuration = self.configuration.in_force
        return configuration.limits if configuration is not None else CallerLimits()

    def service(self, name: str) -> Service:
        """Return the configuration of a service, or defaults if it has none."""
        configuration = self.configuration.in_force
        known = configuration.services.get(name) if configuration is not None else None
        return known or Service(name)

    def policy(self, organisation: str, route: str) -> str:
        """Return the policy that the table sets for an organisation and a route, empty if none."""
        table = self.table.table
        if not table.sets(organisation, route, "policy"):
            return ""
        return table.effective(organisation, route).name("policy")

    def ranks(self, service: str) -> tuple[int, ...]:
        """Return the different ranks of the routes of a service."""
        configuration = self.configuration.in_force
        return configuration.ranks_of(service) if configuration is not None else ()

    def engines(self) -> list[TargetEntry]:
        """Return the targets that report their load: those of services with model engines."""
        entries = self.targets.entries.values()
        return [entry for entry in entries if self.service(entry.service).engine is not None]


def _seed_timeout_s(settings: BeliefSettings) -> float:
    """Return how long a starting box waits for its seeds, in seconds."""
    if not settings.seeds:
        return 0.0
    return FIRST_START_SEED_TIMEOUT_S if settings.waits_for_seeds else SEED_TIMEOUT_S
