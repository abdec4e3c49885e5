"""Choice of targets for a request, by a placement policy.

A *plain service* is one without engines. Its requests go to the target with the lowest cost;
requests for engines are placed by the policy that the table of weights and limits sets. A target is
*closed* to a request if it takes none now, because of its rate limit or a backoff (in `fleet_view`,
because of its rate limit only).
"""

import hashlib
import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..beliefs.target_list import TargetListFollower
from ..fleet import TargetEntry
from ..routes import Service
from ..scheduling.engine_model import EngineTraits
from ..scheduling.expected_loss import Candidate, PlacementJob, worth_of
from ..scheduling.ledger import EngineLedger
from ..scheduling.placement_policies import place_by
from ..scheduling.suspects import Standing
from .fleet_view import FleetView
from .suspect_separation import separate_suspects
from .work_plan import WorkPlan

__all__ = [
    "AllTargetsClosed",
    "Choice",
    "Chooser",
    "Demand",
    "NoPlacement",
    "NoTargetInTime",
    "RequestCondemned",
    "RequestOnHold",
    "WaitForEngine",
]

DISTRUST_LIMIT = 0.6
"""Targets with a higher distrust (0 to 1) are used only if there are no others."""

SLOT_SHARE_COST_S = 0.05
"""Cost of a target of a plain service whose slots are all taken, in seconds; linear in the load."""

REMOTE_HALL_COST_S = 0.001
"""Cost of a target in another data hall at a plain service, in seconds."""

MAX_CACHED_ORDER_KEYS = 10_000
"""Maximum number of cached sort keys of targets; bounds memory as targets come and go."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Demand:
    """The properties of a request that its placement depends on.

    Parameters
    ----------
    service : Service
        The service that it goes to.
    prompt_tokens, answer_tokens : int
        Size of the request; 0 if the service has no engines.
    first_due_s : float
        Deadline of its answer, or of the first event of a stream, by the monotonic clock.
    pause_limit_s : float
        Longest acceptable pause between events, in seconds.
    data_hall : str
        Data hall of the sending box.
    policy : str
        Name of the placement policy that the table sets for it.
    caller_leaves_s : float
        Time by the monotonic clock from which serving it is useless: its caller leaves if no event
        has arrived, or its answer can no longer complete in time.
    committed : bool
        Whether an earlier attempt may have run, so that a refusal can't state that nothing ran.
    connected : frozenset of str
        Targets to which the sending box holds an idle connection.
    digest : bytes
        Digest of its content, if the sending box suspects any request of ending targets; else
        empty.
    parts : tuple of bytes
        Digests of the parts of its prompt that other requests may share, under the same condition.
    was_writing : bool
        Whether it was lost after its answer had been arriving for a while, so that it hardly ended
        its target.
    closed : mapping of str to float
        Targets that take no request from the sending box now, and for how many more seconds: those
        that asked it for a backoff and, in the demand that a coordinator makes of a peer's
        question, also those closed by their rate limits as far as the peer knows.
    rank_weight : float
        Factor on its worth by its rank, see `ranked_placement.rank_weight`.
    may_wait : bool
        Whether it may be told to wait for a better placement, see `late_binding`.
    """

    service: Service
    prompt_tokens: int
    answer_tokens: int
    first_due_s: float
    pause_limit_s: float
    data_hall: str
    policy: str
    caller_leaves_s: float = float("inf")
    committed: bool = False
    connected: frozenset[str] = frozenset()
    digest: bytes = b""
    parts: tuple[bytes, ...] = ()
    was_writing: bool = False
    closed: Mapping[str, float] = field(default_factory=dict)
    rank_weight: float = 1.0
    may_wait: bool = False

    @property
    def worth(self) -> float:
        """Worth of serving it in time, by its length and rank."""
        return self.rank_weight * worth_of(self.prompt_tokens)


class Choice(NamedTuple):
    """The chosen target, its helpers, and the predicted service.

    Parameters
    ----------
    main : TargetEntry
        The target that answers.
    helpers : tuple of TargetEntry
        Engines that read parts of the prompt.
    part_tokens : int
        Number of tokens that each of them reads.
    reserved : bool
        Whether each engine holds the part of the prompt that it reads, so that helpers must reserve
        memory; else the answering engine holds all of it.
    loss : float
        Expected loss of worth, see `scheduling.expected_loss`.
    first_event_s, pause_s : float
        Predicted time to the first event, and longest pause after it, in seconds; 0 for a plain
        service.
    decided_by : str
        The box that decided, empty if this one.
    alone : bool
        Whether another box that decided found that no other request may run on the targets.
    abandon_chance : float
        Probability that the caller leaves before the first event.
    others_loss : float
        The part of `loss` that other requests bear.
    """

    main: TargetEntry
    helpers: tuple[TargetEntry, ...] = ()
    part_tokens: int = 0
    reserved: bool = False
    loss: float = 0.0
    first_event_s: float = 0.0
    pause_s: float = 0.0
    decided_by: str = ""
    abandon_chance: float = 0.0
    others_loss: float = 0.0
    alone: bool = False

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the target and its helpers."""
        return (self.main.name, *(entry.name for entry in self.helpers))


@dataclass(frozen=True, slots=True)
class NoTargetInTime:
    """Not placed: no target is likely to begin the answer before the caller leaves.

    Parameters
    ----------
    retry_after_s : float
        Seconds until a target could serve the request.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class RequestCondemned:
    """Not placed: the request is condemned, since it ends the targets that run it.

    Parameters
    ----------
    retry_after_s : float
        Seconds until the request may be tried again.
    part : bytes
        Digest of the part of its prompt that is the cause; empty if it is the request itself.
    """

    retry_after_s: float
    part: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestOnHold:
    """Not placed: a suspected request waits for another run, or for the verdict on past ones.

    Parameters
    ----------
    reason : str
        Reason that the caller gets if the request can't wait any longer.
    part : bytes
        Digest of the part of its prompt that is tested by another request; empty if the request
        itself is suspected.
    """

    reason: str = "another run of it, or the word on its last one, is awaited"
    part: bytes = b""


@dataclass(frozen=True, slots=True)
class AllTargetsClosed:
    """Not placed: no target takes another request now, because of rate limits and backoffs.

    Parameters
    ----------
    retry_after_s : float
        Seconds until the first target takes a request.
    target : str
        The only target that was asked, empty if all were considered.
    """

    retry_after_s: float
    target: str = ""


@dataclass(frozen=True, slots=True)
class WaitForEngine:
    """Not placed: a long prompt waits, since a placement now would delay other requests.

    Parameters
    ----------
    wait_s : float
        Seconds until it should be placed again.
    """

    wait_s: float


NoPlacement = NoTargetInTime | RequestCondemned | RequestOnHold | AllTargetsClosed | WaitForEngine
"""Why a request is not placed now; a choice of None means that no target has room."""


class Chooser:
    """Chooses targets for requests.

    Parameters
    ----------
    box : str
        Name of this box. It determines the order in which this box considers equally good targets:
        boxes that do not know each other's choices yet would otherwise all pick the same target.
    clock : IReactorTime
        A monotonic clock.
    targets : TargetListFollower
        The list of targets.
    view : FleetView
        The load and state of targets.
    """

    def __init__(
        self,
        box: str,
        clock: IReactorTime,
        targets: TargetListFollower,
        view: FleetView,
    ):
        self._box = box
        self._order_keys: dict[str, bytes] = {}
        self._sorted_entries: dict[str, TargetEntry] | None = None
        self._sorted_halls: frozenset[str] | None = None
        self._sorted: dict[str, list[TargetEntry]] = {}
        self._clock = clock
        self._targets = targets
        self._view = view

    def choose(self, demand: Demand, tried: Sequence[str]) -> Choice | None:
        """Return the best choice among the open targets; None if none of them has room.

        Targets that should be avoided are used only if no others have room, in this order: those
        occupied by suspected requests, those with a high distrust, those in `tried`.
        """
        now_s = self._clock.seconds()
        listed = self._open_targets(demand, now_s)
        fresh = [entry for entry in listed if entry.name not in tried] if tried else listed
        trusted = [e for e in fresh if self._view.state(e.name).distrust_at(now_s) < DISTRUST_LIMIT]
        separated = separate_suspects(trusted, self.standing(demand), self._view, now_s)
        for entries in (separated, trusted, fresh, listed):
            choice = self._choose_among(entries, demand, now_s) if entries else None
            if choice is not None:
                return choice
        return None

    def reopens_s(self, demand: Demand) -> float | None:
        """Return the seconds until a target takes a request if all are closed now, else None."""
        now_s = self._clock.seconds()
        listed = self._usable_targets(demand.service.name)
        if not listed or self._open_targets(demand, now_s):
            return None
        closed = self._view.closed(now_s)
        return min(max(closed.get(e.name, 0.0), demand.closed.get(e.name, 0.0)) for e in listed)

    def all_in_backoff_s(self, demand: Demand) -> float | None:
        """Return the seconds until the first backoff ends if all targets are in one, else None.

        Only for a request of this box, since `Demand.closed` of a peer's includes rate limits.
        """
        listed = self._usable_targets(demand.service.name)
        if not listed or any(entry.name not in demand.closed for entry in listed):
            return None
        return min(demand.closed[entry.name] for entry in listed)

    def all_evacuated(self, demand: Demand) -> bool:
        """Whether all targets of the service are evacuated, but for those that are leaving."""
        service = demand.service.name
        if not self._targets.evacuations.halls or self._usable_targets(service):
            return False
        return any(e.service == service and not e.leaving for e in self._targets.evacuated())

    def ledgers(self, demand: Demand) -> list[EngineLedger]:
        """Return the ledgers of the usable targets."""
        listed = self._usable_targets(demand.service.name)
        return [self._view.state(entry.name).ledger for entry in listed]

    def all_leave(self, demand: Demand) -> bool:
        """Whether the service has targets and all of them are leaving."""
        service = demand.service.name
        if self._usable_targets(service):
            return False
        return any(entry.service == service for entry in self._targets.entries.values())

    def _open_targets(self, demand: Demand, now_s: float) -> list[TargetEntry]:
        """Return the usable targets that take a request now, given rate limits and backoffs.

        All lists of candidates are subsets of this one. A target that is closed would refuse the
        request, which would have to be placed again.
        """
        listed = self._usable_targets(demand.service.name)
        closed = demand.closed.keys() | self._view.closed(now_s).keys()
        return [entry for entry in listed if entry.name not in closed] if closed else listed

    def standing(self, demand: Demand) -> Standing:
        """Return how strongly the request, or a part of it, is suspected of ending targets."""
        suspects, now_s = self._view.suspects, self._clock.seconds()
        found = [suspects.standing(demand.digest, now_s)] if demand.digest else []
        found += [suspects.standing_of_part(p, demand.parts, now_s) for p in demand.parts]
        return max(found, default=Standing.CLEAR)

    def suspected_cause(self, demand: Demand) -> bytes:
        """Return the digest by which boxes agree who decides where a suspected request runs."""
        suspects, now_s = self._view.suspects, self._clock.seconds()
        if demand.digest and suspects.standing(demand.digest, now_s) >= Standing.ALONE:
            return demand.digest
        return min(suspects.suspected_parts(demand.parts, now_s), default=demand.digest)

    def suspect_refusal(self, demand: Demand) -> RequestCondemned | RequestOnHold | None:
        """Return why a suspected request must not run now, None if it may.

        A request to an engine waits from its first loss (see `suspicion`) on while another run of
        it is under way. A request to a plain service waits only from the second loss on: identical
        plain requests are common, and most requests that were lost with a target once did not cause
        its end.
        """
        if not demand.digest:
            return None
        return self._part_refusal(demand) or self._request_refusal(demand)

    def _part_refusal(self, demand: Demand) -> RequestCondemned | RequestOnHold | None:
        """Return why a request must not run now because of the parts of its prompt."""
        suspects, now_s = self._view.suspects, self._clock.seconds()
        standings = {p: suspects.standing_of_part(p, demand.parts, now_s) for p in demand.parts}
        for part, standing in standings.items():
            if standing is Standing.CONDEMNED:
                return RequestCondemned(suspects.left_s(part, now_s), part)
        for part, standing in standings.items():
            if (standing is Standing.HELD and not demand.was_writing) or (
                standing is Standing.ALONE
                and not (
                    suspects.may_test_part(part, demand.parts, now_s)
                    and self._view.may_test(part, now_s)
                )
            ):
                name = suspects.part_name(part)
                return RequestOnHold(
                    f"part {name} of its prompt is tested by another request", part
                )
        if demand.parts and not demand.was_writing:
            together = suspects.lost_together(demand.digest, now_s)
            if together and not self._view.may_repeat(together, now_s):
                reason = "another request that was lost with the same target is sent again first"
                return RequestOnHold(reason, demand.parts[0])
        return None

    def _request_refusal(self, demand: Demand) -> RequestCondemned | RequestOnHold | None:
        suspects, now_s = self._view.suspects, self._clock.seconds()
        match suspects.standing(demand.digest, now_s):
            case Standing.CONDEMNED:
                return RequestCondemned(suspects.condemned_row(demand.digest, now_s).left_s)
            case Standing.HELD:
                return RequestOnHold()
            case Standing.ALONE if self._is_running(demand.digest):
                return RequestOnHold()
            case Standing.WATCHED if demand.service.engine and self._is_running(demand.digest):
                return RequestOnHold()
            case _:
                return None

    def _is_running(self, digest: bytes) -> bool:
        plans = self._view.suspect_plans(self._clock.seconds())
        return any(plan.digest == digest for plan in plans)

    def record_choice(self, work_id: str, demand: Demand, choice: Choice) -> WorkPlan:
        """Record a choice in the ledgers of its targets; return the plan that was recorded."""
        now_s = self._clock.seconds()
        standing = self.standing(demand)
        suspects = self._view.suspects
        is_suspect = demand.digest and suspects.standing(demand.digest, now_s) > Standing.CLEAR
        plan = WorkPlan(
            work_id,
            choice.names,
            demand.prompt_tokens,
            demand.answer_tokens,
            demand.worth,
            demand.first_due_s - now_s,
            demand.pause_limit_s,
            choice.reserved,
            demand.caller_leaves_s - now_s,
            demand.digest if is_suspect else b"",
            choice.alone or standing >= Standing.ALONE,
            tuple(suspects.suspected_parts(demand.parts, now_s)),
        )
        self._view.note_placed(plan, now_s)
        return plan

    def _choose_among(
        self, entries: Sequence[TargetEntry], demand: Demand, now_s: float
    ) -> Choice | None:
        traits = demand.service.engine
        if traits is None:
            return Choice(min(entries, key=lambda entry: self._plain_cost_s(entry, demand, now_s)))
        by_name = {entry.name: entry for entry in entries}
        candidates = [self._candidate(entry, demand, traits, now_s) for entry in entries]
        job = PlacementJob(
            demand.prompt_tokens,
            demand.answer_tokens,
            demand.worth,
            demand.first_due_s - now_s,
            demand.pause_limit_s,
            demand.caller_leaves_s - now_s,
        )
        placement = place_by(
            demand.policy, traits, candidates, job, now_s, self._view.long_prompt_arrivals
        )
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
            abandon_chance=placement.abandon_chance,
            others_loss=placement.others_loss,
        )

    def _candidate(
        self, entry: TargetEntry, demand: Demand, traits: EngineTraits, now_s: float
    ) -> Candidate:
        state = self._view.state(entry.name)
        state.ledger.advance(traits, now_s)
        pace = state.report.pace if state.report is not None else 1.0
        is_remote = entry.data_hall != demand.data_hall
        unknown = state.unknown_tokens()
        return Candidate(
            entry.name,
            state.ledger,
            pace,
            state.distrust_at(now_s),
            is_remote,
            unknown,
            entry.name in demand.connected,
            # A target with a rate limit does not help with parts of other prompts.
            self._view.limit(entry.name, now_s) is None,
        )

    def _usable_targets(self, service: str) -> list[TargetEntry]:
        """Return the usable targets of a service in the order of this box.

        The order is cached until the target list or the evacuated data halls change, since sorting
        hundreds of targets for each request is expensive.
        """
        entries, halls = self._targets.entries, self._targets.evacuations.halls
        if self._sorted_entries is not entries or self._sorted_halls is not halls:
            self._sorted_entries, self._sorted_halls, self._sorted = entries, halls, {}
        if service not in self._sorted:
            self._sorted[service] = sorted(self._targets.usable(service), key=self._order_key)
        return self._sorted[service]

    def _order_key(self, entry: TargetEntry) -> bytes:
        """Return the sort key of a target, which differs between boxes."""
        if len(self._order_keys) > MAX_CACHED_ORDER_KEYS:
            self._order_keys.clear()
        if entry.name not in self._order_keys:
            key = f"{self._box}|{entry.name}".encode()
            self._order_keys[entry.name] = hashlib.blake2b(key, digest_size=8).digest()
        return self._order_keys[entry.name]

    def _plain_cost_s(self, entry: TargetEntry, demand: Demand, now_s: float) -> float:
        state = self._view.state(entry.name)
        load_share = len(state.ledger.rows) / max(1, entry.slots)
        remote_s = 0.0 if entry.data_hall == demand.data_hall else REMOTE_HALL_COST_S
        return load_share * SLOT_SHARE_COST_S + state.distrust_at(now_s) + remote_s
