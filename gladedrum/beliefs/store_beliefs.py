"""What a box believes from the store: configuration, targets, table and the other boxes."""

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
from .circle import Circle
from .configuration import ConfigurationKeeper
from .membership import BoxRegistry
from .store_pace import StorePace
from .target_list import TargetKeeper

__all__ = ["StoreBeliefs"]

_log = logging.getLogger(__name__)

INTRODUCED_WITHIN_S = 0.03
"""How long a box that starts waits for its seeds before it calls the store, in seconds: two
questions and answers between data halls. A fleet that starts as a whole waits so long in vain."""

FIRST_START_WITHIN_S = 4.0
"""As `INTRODUCED_WITHIN_S` where the whole fleet starts for the first time, in seconds: callers
come later, and the seeds read the store for all. 72 boxes made 662 calls in five seconds without
this wait, and pay for 260 at most (in virtual time)."""

FIRST_START_SPREAD_S = 5.0
"""Over how many seconds the boxes of such a fleet look whether they are to keep an entry, one after
the other: each then knows of the entries before it."""

SPREAD_MARGIN_S = 1.0
"""How long after that time a box takes the entries that it knows for all, in seconds."""

PEERS_WITHIN_S = 3.0
"""How long a box that knows targets, and no other box, does nothing for the fleet, in seconds: it
may be one of hundreds that have started at once while the store was away. 195 boxes that each took
itself for the only one read the load of 150 engines twice a second each: 25,000 reports too many
and 7,000 connections in the second after an outage."""

INTRODUCED_CHECK_S = 0.003
"""How often it looks whether they have answered, in seconds."""


class BeliefSettings(Protocol):
    """What beliefs need of the settings.

    Parameters
    ----------
    peers : (str, int)
        Where this box hears others.
    change_bound_s, leave_bound_s : float
        After so long a changed configuration must be in force; a leaving target get nothing.
    capacity : float
        The cores that this box may use.
    seeds : sequence of (str, int)
        Where other boxes may be asked at the start.
    waits_for_seeds : bool
        Whether the whole fleet starts for the first time, and this box is no seed.
    """

    peers: tuple[str, int]
    change_bound_s: float
    leave_bound_s: float
    capacity: float
    seeds: tuple[tuple[str, int], ...]
    waits_for_seeds: bool


class StoreBeliefs:
    """The parts that follow the store.

    Parameters
    ----------
    reactor : IReactorTime
        A monotonic clock.
    store : StoreClient
        The store.
    box : str
        This start of this box.
    settings : BeliefSettings
        The bounds, and where peers are heard.
    rng : random.Random
        Spreads the calls of several boxes.
    on_gone, on_listed : callable
        Called with each target that has gone for good; that is new, or has started again.

    Attributes
    ----------
    configuration, targets : ConfigurationKeeper, TargetKeeper
        The operator's configuration; the list of targets.
    table, table_store, table_follower : TableInForce, TableStore, TableFollower
        The table of weights and limits, where it is kept, what follows it.
    registry : BoxRegistry
        The other boxes.
    circle : Circle
        Which of them hear of all work.
    pace : StorePace
        How often the store is called.
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
    ):
        self._clock = reactor
        self._informed_s: float | None = None
        self._alone_s = reactor.seconds() + _introduced_within_s(settings)
        self._spread_until_s = float("-inf")
        if settings.waits_for_seeds:
            self._spread_until_s = reactor.seconds() + FIRST_START_SPREAD_S + SPREAD_MARGIN_S
        self.table = TableInForce(reactor)
        self.table_store = TableStore(store)
        spread_s = FIRST_START_SPREAD_S if settings.waits_for_seeds else 0.0
        self.registry = BoxRegistry(
            reactor, store, box, settings.peers, rng, settings.capacity, spread_s
        )
        self.circle = Circle(box, lambda: self.registry.peers, self.registry.capacity_of)
        self.table_follower = TableFollower(reactor, store, self.table, self.circle.excludes_me)
        self.pace = StorePace(
            reactor, rng, self.circle.excludes_me, self.circle.leaves_list_to_others
        )
        self.configuration = ConfigurationKeeper(
            reactor, ConfigurationFeed(store), settings.change_bound_s, self.pace
        )
        self.targets = TargetKeeper(
            reactor, TargetFeed(store), settings.leave_bound_s, on_gone, self.pace, on_listed
        )

        store.on_era.append(self._note_era)

    def _note_era(self, before: int, era: int) -> None:
        """Have each part look again: the store has come back from a copy of itself."""
        extra = {
            "era": era,
            "before": before,
            "entry_written_anew": self.registry.keeps_entry,
            "list_as_of": self.registry.revision.number,
            "version": self.configuration.table.version if self.configuration.table else None,
            "targets": len(self.targets.entries),
            "table_revision": self.table.table.revision,
            "edits_held": len(self.table.held),
        }
        _log.warning("the store has come back from a copy", extra=extra)
        self.configuration.note_era()
        self.targets.note_era()
        self.registry.note_era()
        self.table_follower.note_era()

    @property
    def is_informed(self) -> bool:
        """Whether it is known where requests go."""
        return self.configuration.table is not None and bool(self.targets.entries)

    def knows_peers(self) -> bool:
        """Whether it is known who the other boxes are, or that cannot be learnt."""
        if self.registry.revision != NEVER:
            return True
        if not self.is_informed:
            return False
        if self._informed_s is None:
            self._informed_s = self._clock.seconds()
        return self._clock.seconds() - self._informed_s >= PEERS_WITHIN_S

    def children(self) -> list[Child]:
        """Return what is to run."""
        return [
            Child("configuration", lambda: self._run_introduced(self.configuration.run)),
            Child("targets", lambda: self._run_introduced(self.targets.run)),
            Child("table", lambda: self._run_introduced(self.table_follower.run)),
            Child("registry", self._run_registry),
        ]

    async def _run_introduced(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a part that calls the store, once peers have told what it would read or do not."""
        while not self._is_introduced() and self._clock.seconds() < self._alone_s:
            await sleep(self._clock, INTRODUCED_CHECK_S)
        # Until the entries are there a large fleet looks like a small one, in which each box reads.
        while self._is_introduced() and self._clock.seconds() < self._spread_until_s:
            await sleep(self._clock, SPREAD_MARGIN_S / 2)
        await run()

    async def _run_registry(self) -> None:
        while self.registry.revision == NEVER and self._clock.seconds() < self._alone_s:
            await sleep(self._clock, INTRODUCED_CHECK_S)
        await self.registry.run()

    def _is_introduced(self) -> bool:
        return self.is_informed and self.registry.revision != NEVER

    def set_bounds(self, settings: BeliefSettings) -> None:
        """Take over changed bounds."""
        self.configuration.set_change_bound(settings.change_bound_s)
        self.targets.set_leave_bound(settings.leave_bound_s)

    def limits(self) -> CallerLimits:
        """Return what callers are held to."""
        table = self.configuration.table
        return table.limits if table is not None else CallerLimits()

    def service(self, name: str) -> Service:
        """Return what is known of a service."""
        table = self.configuration.table
        known = table.services.get(name) if table is not None else None
        return known or Service(name)

    def policy(self, organisation: str, route: str) -> str:
        """Return the policy that the table names for an organisation and a route."""
        return self.table.table.effective(organisation, route).name("policy")

    def engines(self) -> list[TargetEntry]:
        """Return the targets that are model engines."""
        entries = self.targets.entries.values()
        return [entry for entry in entries if self.service(entry.service).engine is not None]


def _introduced_within_s(settings: BeliefSettings) -> float:
    """Return how long a box that starts waits for its seeds, in seconds."""
    if not settings.seeds:
        return 0.0
    return FIRST_START_WITHIN_S if settings.waits_for_seeds else INTRODUCED_WITHIN_S
