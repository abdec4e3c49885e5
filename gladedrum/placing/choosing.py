"""Which targets a request goes to: candidates from the list, judged by a placement policy."""

import hashlib
import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..beliefs.target_list import TargetKeeper
from ..fleet import TargetEntry
from ..routes import Service
from ..scheduling.credit import Candidate, Job, worth_of
from ..scheduling.engine_model import EngineTraits
from ..scheduling.placements import place_by
from ..scheduling.suspects import Standing
from .apart import keep_apart
from .fleet_view import FleetView
from .work_plan import WorkPlan

__all__ = ["AllClosed", "Barred", "Choice", "Chooser", "Demand", "Held", "Hopeless", "NoPlace"]

SHUNNED = 0.6
"""Targets that are distrusted more than this are only used if there are no others."""

CROWDING_S = 0.05
"""What a request in front costs at a plain service, in seconds per slot-share."""

AWAY_S = 0.001
"""What another data hall costs at a plain service, in seconds."""

MOST_ORDERS = 10_000
"""Targets whose place in this box's own order is kept; more have come and gone."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Demand:
    """A request as far as its placement needs it.

    Parameters
    ----------
    service : Service
        The service that it goes to.
    prompt_tokens, answer_tokens : int
        Its size; 0 where the service has no engines.
    first_due_s : float
        When its answer, or first event, is due by the monotonic clock.
    pause_limit_s : float
        The longest pause between events that is aimed at.
    data_hall : str
        Where the box stands that sends it.
    policy : str
        The placement policy that the table names for it.
    lost_s : float
        When its caller leaves, or its answer can't be whole in time, if no event has come; by the
        monotonic clock.
    committed : bool
        Whether it has run somewhere, so that it can't be refused as not run any more.
    connected : frozenset of str
        The targets to which the box that sends it holds an idle connection.
    digest : bytes
        Stands for the request's content, if the box that sends it suspects any request to end
        targets; else empty.
    closed : mapping of str to float
        Targets that take no request of the box that sends it, as that box knows, and for how many
        seconds: by the rates that they name, or since they want rest from it.
    """

    service: Service
    prompt_tokens: int
    answer_tokens: int
    first_due_s: float
    pause_limit_s: float
    data_hall: str
    policy: str
    lost_s: float = float("inf")
    committed: bool = False
    connected: frozenset[str] = frozenset()
    digest: bytes = b""
    closed: Mapping[str, float] = field(default_factory=dict)


class Choice(NamedTuple):
    """A target, its helpers, and what is expected.

    Parameters
    ----------
    main : TargetEntry
        The target that answers.
    helpers : tuple of TargetEntry
        Engines that read with it.
    part_tokens : int
        What each of them reads.
    reserved : bool
        Whether the helpers must set memory aside.
    loss : float
        The credit that is expected to be lost.
    first_event_s, pause_s : float
        Predicted time to the first event, and longest pause after it; 0 for a plain service.
    decided_by : str
        The box that has chosen, if it was another one.
    lost_chance : float
        The chance that the caller has left before the first event.
    """

    main: TargetEntry
    helpers: tuple[TargetEntry, ...] = ()
    part_tokens: int = 0
    reserved: bool = False
    loss: float = 0.0
    first_event_s: float = 0.0
    pause_s: float = 0.0
    decided_by: str = ""
    lost_chance: float = 0.0

    @property
    def names(self) -> tuple[str, ...]:
        """The target's and the helpers' names."""
        return (self.main.name, *(entry.name for entry in self.helpers))


@dataclass(frozen=True, slots=True)
class Hopeless:
    """No target can serve the request before its caller leaves.

    Parameters
    ----------
    come_back_s : float
        After so many seconds one could.
    """

    come_back_s: float


@dataclass(frozen=True, slots=True)
class Barred:
    """The request ends the targets that run it.

    Parameters
    ----------
    come_back_s : float
        After so many seconds it may be tried again.
    """

    come_back_s: float


@dataclass(frozen=True, slots=True)
class Held:
    """The request is suspected to end targets, and must wait before it may run again."""

    reason: str = "another run of it, or the word on its last one, is awaited"


@dataclass(frozen=True, slots=True)
class AllClosed:
    """No target takes a further request now, by the rates and rests that they have named.

    Parameters
    ----------
    come_back_s : float
        After so many seconds one does.
    """

    come_back_s: float


NoPlace = Hopeless | Barred | Held | AllClosed
"""Why a request gets no place though targets have room."""


class Chooser:
    """Chooses targets.

    Parameters
    ----------
    box : str
        This box's name. Each box has an order of its own in which it takes targets that are equally
        good: boxes that do not know of each other's choices yet would else all take the same one.
    clock : IReactorTime
        A monotonic clock.
    targets : TargetKeeper
        The list.
    view : FleetView
        Their work and state.
    """

    def __init__(
        self,
        box: str,
        clock: IReactorTime,
        targets: TargetKeeper,
        view: FleetView,
    ):
        self._box = box
        self._orders: dict[str, bytes] = {}
        self._sorted_of: dict[str, TargetEntry] | None = None
        self._sorted: dict[str, list[TargetEntry]] = {}
        self._clock = clock
        self._targets = targets
        self._view = view

    def choose(self, demand: Demand, tried: Sequence[str]) -> Choice | None:
        """Return where a request goes now, None if there is no place; `tried` come last."""
        now_s = self._clock.seconds()
        listed = self._open(demand, now_s)
        fresh = [entry for entry in listed if entry.name not in tried] if tried else listed
        sound = [e for e in fresh if self._view.state(e.name).distrust_at(now_s) < SHUNNED]
        apart = keep_apart(sound, self.standing(demand), self._view, now_s)
        for entries in (apart, sound, fresh, listed):
            choice = self._choose_among(entries, demand, now_s) if entries else None
            if choice is not None:
                return choice
        return None

    def reopens_s(self, demand: Demand) -> float | None:
        """Return when the first target takes a request again if none does now, in seconds."""
        now_s = self._clock.seconds()
        listed = self._listed(demand.service.name)
        if not listed or self._open(demand, now_s):
            return None
        closed = self._view.closed(now_s)
        return min(max(closed.get(e.name, 0.0), demand.closed.get(e.name, 0.0)) for e in listed)

    def all_rest_s(self, demand: Demand) -> float | None:
        """Return when the first target's rest is over if all want rest, in seconds; else None."""
        listed = self._listed(demand.service.name)
        if not listed or any(entry.name not in demand.closed for entry in listed):
            return None
        return min(demand.closed[entry.name] for entry in listed)

    def all_leave(self, demand: Demand) -> bool:
        """Whether the service has targets, and all of them leave."""
        service = demand.service.name
        if self._listed(service):
            return False
        return any(entry.service == service for entry in self._targets.entries.values())

    def _open(self, demand: Demand, now_s: float) -> list[TargetEntry]:
        """Return the usable targets that take a request now, by what they have said.

        No list of candidates goes beyond these: a place that is refused where it is sent would
        only be sought again.
        """
        listed = self._listed(demand.service.name)
        closed = demand.closed.keys() | self._view.closed(now_s).keys()
        return [entry for entry in listed if entry.name not in closed] if closed else listed

    def standing(self, demand: Demand) -> Standing:
        """Return whether the request is suspected to end targets."""
        if not demand.digest:
            return Standing.CLEAR
        return self._view.suspects.standing(demand.digest, self._clock.seconds())

    def objection(self, demand: Demand) -> Barred | Held | None:
        """Return why a suspected request must not run now, None if it may.

        Prompts that are the same to the byte seldom come at once; plain requests do, and most that
        are lost with a target once are innocent, so those are not held yet.
        """
        if not demand.digest:
            return None
        suspects, now_s = self._view.suspects, self._clock.seconds()
        match suspects.standing(demand.digest, now_s):
            case Standing.CONDEMNED:
                return Barred(suspects.condemned_row(demand.digest, now_s).left_s)
            case Standing.HELD:
                return Held()
            case Standing.ALONE if self._runs_somewhere(demand.digest):
                return Held()
            case Standing.WATCHED if demand.service.engine and self._runs_somewhere(demand.digest):
                return Held()
            case _:
                return None

    def _runs_somewhere(self, digest: bytes) -> bool:
        plans = self._view.suspect_plans(self._clock.seconds())
        return any(plan.digest == digest for plan in plans)

    def plan(self, work_id: str, demand: Demand, choice: Choice) -> WorkPlan:
        """Note a choice in the ledger and return the plan."""
        now_s = self._clock.seconds()
        standing = self.standing(demand)
        plan = WorkPlan(
            work_id,
            choice.names,
            demand.prompt_tokens,
            demand.answer_tokens,
            worth_of(demand.prompt_tokens),
            demand.first_due_s - now_s,
            demand.pause_limit_s,
            choice.reserved,
            demand.lost_s - now_s,
            demand.digest if standing is not Standing.CLEAR else b"",
            standing >= Standing.ALONE,
        )
        self._view.note_placed(plan, now_s)
        return plan

    def _choose_among(
        self, entries: Sequence[TargetEntry], demand: Demand, now_s: float
    ) -> Choice | None:
        traits = demand.service.engine
        if traits is None:
            return Choice(min(entries, key=lambda entry: self._crowding_s(entry, demand, now_s)))
        by_name = {entry.name: entry for entry in entries}
        candidates = [self._candidate(entry, demand, traits, now_s) for entry in entries]
        job = Job(
            demand.prompt_tokens,
            demand.answer_tokens,
            worth_of(demand.prompt_tokens),
            demand.first_due_s - now_s,
            demand.pause_limit_s,
            demand.lost_s - now_s,
        )
        placement = place_by(demand.policy, traits, candidates, job, now_s, self._view.long_reads)
        if placement is None:
            return None
        return Choice(
            by_name[placement.name],
            tuple(by_name[name] for name in placement.helpers),
            placement.part_tokens,
            placement.reserved,
            placement.loss,
            placement.first_event_s,
            placement.pause_s,
            lost_chance=placement.lost_chance,
        )

    def _candidate(
        self, entry: TargetEntry, demand: Demand, traits: EngineTraits, now_s: float
    ) -> Candidate:
        state = self._view.state(entry.name)
        state.ledger.advance(traits, now_s)
        pace = state.report.pace if state.report is not None else 1.0
        away = entry.data_hall != demand.data_hall
        unknown = state.unknown_tokens()
        return Candidate(
            entry.name,
            state.ledger,
            pace,
            state.distrust_at(now_s),
            away,
            unknown,
            entry.name in demand.connected,
            # A part of a prompt is work, too, for a target that asks for less of it.
            state.rate is None,
        )

    def _listed(self, service: str) -> list[TargetEntry]:
        """Return the usable targets of a service in this box's own order.

        Sorted once for each list of targets: a fleet of hundreds is chosen from hundreds of times a
        second.
        """
        if self._sorted_of is not self._targets.entries:
            self._sorted_of, self._sorted = self._targets.entries, {}
        if service not in self._sorted:
            self._sorted[service] = sorted(self._targets.usable(service), key=self._order)
        return self._sorted[service]

    def _order(self, entry: TargetEntry) -> bytes:
        """Return this box's own order of targets."""
        if len(self._orders) > MOST_ORDERS:
            self._orders.clear()
        if entry.name not in self._orders:
            key = f"{self._box}|{entry.name}".encode()
            self._orders[entry.name] = hashlib.blake2b(key, digest_size=8).digest()
        return self._orders[entry.name]

    def _crowding_s(self, entry: TargetEntry, demand: Demand, now_s: float) -> float:
        state = self._view.state(entry.name)
        in_front = len(state.ledger.rows) / max(1, entry.slots)
        away_s = 0.0 if entry.data_hall == demand.data_hall else AWAY_S
        return in_front * CROWDING_S + state.distrust_at(now_s) + away_s
