"""The attempts of one request: placing, sending and releasing what each of them holds.

An attempt is one send of a request to a target. Before it is sent it needs a placement, a grant
from the retry budget unless it is the first, and memory reservations on helping engines if its
prompt is read by several.

What an attempt costs its targets is called its work (`WorkPlan`). For each target a box keeps a
ledger of the work placed there, and tells other boxes by gossip when work starts, changes or ends.
"""

import itertools
from dataclasses import dataclass, field, replace
from functools import partial
from typing import NamedTuple

from twisted.internet.interfaces import IDelayedCall

from .. import gossip
from ..connections.messages import CallerRequest, Mailbox
from ..connections.target_conn import Exchange, RequestHead
from ..connections.target_pool import NoLongerAllowedError
from ..fleet import TargetReport
from ..placing.choosing import (
    AllTargetsClosed,
    Choice,
    Demand,
    NoPlacement,
    NoTargetInTime,
    RequestCondemned,
    RequestOnHold,
    WaitForEngine,
)
from ..placing.fleet_view import START_KNOWN_WITHIN_S
from ..placing.retry_pool import RetryGrant
from ..placing.statements import EVACUATED_REASON
from ..placing.work_plan import WorkPlan, note_from_plan, request_of, work_id_of
from ..platform.headers import ForwardMetadata, forward_headers
from ..platform.orders import CallKind
from ..scheduling.part_tests import WRITING_S
from ..utils import MAX_TIMER_LAG_S
from .admission import Admitted
from .attempt_ends import AllCutOff, AllEvacuated, AllLeave, AttemptEnd, OverBudget, Refused
from .caller_answer import CallerAnswer
from .context import ForwardContext
from .event_times import EventTimes
from .relaying import EventRelay, Relay, WholeRelay, first_event_limit_s, pause_limit_s
from .request_log import log_attempt
from .reservations import ReservationSet

__all__ = ["Attempt", "AttemptDispatcher", "ForwardedRequest", "PlacementBounds"]

MIN_HELD_SHARE = 0.5
"""An engine that reports less memory in use than this share of a prompt does not hold the prompt.
Below 1 because reports lag by some hundred milliseconds."""

REPLACEMENT_WAIT_S = 2.0
"""Retry-after for a service whose targets are all leaving, in seconds: time for a new target to
start and to be listed."""

EVACUATION_RETRY_S = 2.0
"""Retry-after for a service whose targets are all evacuated, in seconds. The end of an evacuation
is not known; callers that ask again at this interval (with jitter) cost a box little, and callers
with a time limit of several seconds can still be served after it ends."""

CUT_OFF_RETRY_S = 1.0
"""Retry-after for a service that neither this box nor a peer reaches, in seconds. A link that is
back is noticed within this time."""

MAX_PLACEMENTS = 3
"""Maximum number of placements per attempt. A placement is repeated if the chosen target turns out
to take no further requests now. Each further one costs a question to another box and its answer."""

_work_ids = itertools.count(1)


class PlacementBounds(NamedTuple):
    """Conditions that a placement has to meet to be used.

    Parameters
    ----------
    before_s : float
        Latest predicted time of the first event, by the monotonic clock.
    below_loss : float
        Upper bound (exclusive) on the expected loss of worth over all requests, see
        `scheduling.expected_loss`.
    """

    before_s: float = float("inf")
    below_loss: float = float("inf")


NO_BOUNDS = PlacementBounds()


@dataclass
class ForwardedRequest:
    """A request that is being forwarded, with everything that its attempts need.

    Parameters
    ----------
    ctx : ForwardContext
        State shared by all requests.
    req : CallerRequest
        The request as the caller sent it.
    admitted : Admitted
        Its route and organisation.
    answer : CallerAnswer
        Writes the answer to the caller.
    mailbox : Mailbox
        Receives the messages of its attempts.
    times : EventTimes
        When the parts of the answer were sent.
    deadline_s : float
        When the request times out, by the monotonic clock.
    """

    ctx: ForwardContext
    req: CallerRequest
    admitted: Admitted
    answer: CallerAnswer
    mailbox: Mailbox
    times: EventTimes
    deadline_s: float


@dataclass(eq=False)
class Attempt:
    """One attempt: work noted in the ledgers and, once it is sent, an exchange with the target.

    Parameters
    ----------
    ctx : ForwardContext
        State shared by all requests.
    choice : Choice
        The target and its helpers.
    plan : WorkPlan
        The work as noted in the ledgers.
    service : str
        The name of the service.
    retry_grant : RetryGrant or None
        The grant from the retry budget, None for the first attempt.
    has_place, has_cold_place : bool
        Whether it was granted a place at a target with a rate limit, and whether the target was
        cold then.
    reservations : ReservationSet or None
        Memory reserved on the helping engines.
    exchange, relay : Exchange and Relay, or None
        The exchange with the target and the relay of its answer, None before the attempt is sent.
    ended : bool
        Whether the attempt has ended.
    silence_is_explained : bool
        Whether the work known when the target fell silent explains the silence.
    target_restarted : bool
        Whether an engine that the attempt needs has restarted since it was sent.
    appears_lost : bool
        Whether the engine, asked for a report since it fell silent, did not answer or does not
        hold the request.
    resumed_after : bytes or None
        The id of the event after which the target was asked to go on, None to begin as the caller
        asked.
    """

    ctx: ForwardContext
    choice: Choice
    plan: WorkPlan
    service: str
    retry_grant: RetryGrant | None = None
    has_place: bool = False
    has_cold_place: bool = False
    reservations: ReservationSet | None = None
    exchange: Exchange | None = None
    relay: Relay | None = None
    ended: bool = False
    silence_is_explained: bool = False
    target_restarted: bool = False
    appears_lost: bool = False
    resumed_after: bytes | None = None
    _sent_s: float = field(default=float("inf"), init=False)
    _overdue_timer: IDelayedCall | None = field(default=None, init=False)
    _begun_s: float | None = field(default=None, init=False)
    _last_part_s: float = field(default=0.0, init=False)

    @property
    def target(self) -> str:
        """The name of the target that answers the attempt."""
        return self.choice.main.name

    @property
    def sent_s(self) -> float:
        """When it was sent, by the monotonic clock; infinite if it was not."""
        return self._sent_s

    @property
    def was_writing(self) -> bool:
        """Whether its answer has been arriving for so long that it has hardly ended its engine."""
        return self._begun_s is not None and self.ctx.clock.seconds() - self._begun_s >= WRITING_S

    @property
    def is_in_progress(self) -> bool:
        """Whether the attempt was sent and has not ended."""
        return self.exchange is not None and not self.ended

    @property
    def memory_check_s(self) -> float:
        """When to check, by a report, whether the helpers' memory is needed if no part has come.

        Infinite if none is reserved, or if it is not renewed any more.
        """
        if self.reservations is None or not self.reservations.is_renewed:
            return float("inf")
        if self._begun_s is None:
            return self._sent_s + first_event_limit_s(self.choice.first_event_s)
        return self._last_part_s + pause_limit_s(self.relay.route)

    def note_sent(self, now_s: float) -> None:
        """Record when the attempt was sent."""
        self._sent_s = now_s

    def start_overdue_timer(self, within_s: float) -> None:
        """Record a failure of the target if it has not answered within `within_s` seconds.

        The attempt goes on. Without the timer a target that hangs is avoided only after the time
        limit of the route, and never if the request must not run twice.
        """
        due_s = self.ctx.clock.seconds() + within_s
        self._overdue_timer = self.ctx.clock.callLater(within_s, self._overdue_timer_ran, due_s)

    def _overdue_timer_ran(self, due_s: float) -> None:
        if self.ctx.clock.seconds() - due_s > MAX_TIMER_LAG_S:
            self.start_overdue_timer(MAX_TIMER_LAG_S)
        else:
            self._note_overdue()

    def _note_overdue(self) -> None:
        self._count_failure_if_confirmed(by_connection=False)

    def _count_failure_if_confirmed(self, by_connection: bool) -> None:
        """Count a failure against the target unless it may be that of this box's own link.

        The work itself may go on, or has ended; a failure in a tunnel may be the carrier's.
        """
        if self.exchange is None or not self.exchange.carrier:
            self.ctx.pool.paths.confirm_failure(
                self.choice.main, by_connection, self._count_failure
            )

    def _count_failure(self) -> None:
        self.ctx.view.note_outcome(self.target, True, self.ctx.clock.seconds())
        self.ctx.port.broadcast_work(note_from_plan(self.plan, gossip.OVERDUE))

    def link_is_silent(self) -> bool:
        """Whether it was sent over the box's own link, from which nothing arrives any more."""
        sent = self.is_in_progress and not self.exchange.carrier
        return sent and self.ctx.pool.paths.is_silent(self.choice.main)

    def update_from_report(self, report: TargetReport | None) -> None:
        """Update `appears_lost` from a report of the engine, None if the engine sent no report.

        Called for attempts whose prompt should have been read by now. A long prompt shows in the
        memory in use; a short one is only known to be missing if the engine is idle.
        """
        self.appears_lost = report is None or self._is_missing_in(report)
        # A part may have come since the report was asked for.
        if self.appears_lost and self.ctx.clock.seconds() >= self.memory_check_s:
            self._give_up_reservations()

    def _is_missing_in(self, report: TargetReport) -> bool:
        parts = len(self.plan.targets) if self.plan.reserved else 1
        held = MIN_HELD_SHARE * self.plan.prompt_tokens / parts
        idle = not report.running and not report.waiting
        return idle or report.memory_used < held

    def _give_up_reservations(self) -> None:
        """Let the helpers' memory lapse, which the target does not use, and tell the other boxes.

        A target that takes requests and runs none stays idle, so all long prompts would choose it,
        and each would hold the memory of its helpers until its caller's deadline.
        """
        self.reservations.stop_renewing()
        self._note_overdue()

    def note_restart(self, name: str, now_s: float) -> bool:
        """Record that a target has restarted; return whether this or an earlier restart matters.

        An attempt sent shortly before the restart was noticed may run on the new start.
        """
        # Helpers are needed until the prompt is read, and longer if they hold reserved memory.
        needed = {self.target}
        if self.choice.reserved or self._begun_s is None:
            needed.update(self.choice.names)
        if name in needed and now_s - self._sent_s > START_KNOWN_WITHIN_S:
            self.target_restarted = True
        return self.target_restarted

    def note_part(self) -> None:
        """Record that a part of the answer is sent; the first shows that the prompt was read."""
        self._last_part_s = self.ctx.clock.seconds()
        if self._begun_s is not None:
            return
        self._begun_s = self._last_part_s
        self.ctx.view.note_first_event(self.plan, self._begun_s)
        self.ctx.port.broadcast_work(note_from_plan(self.plan, gossip.FIRST_EVENT))

    def end(self, change: int, unconfirmed: bool = False, by_connection: bool = False) -> None:
        """Release what the attempt holds and report how it ended. Later calls do nothing.

        `change` is the way in which its work ended, such as `gossip.ENDED` or `gossip.WITHDRAWN`.
        If a failure is `unconfirmed`, it counts against the target only once the box's own link is
        known to be sound; `by_connection` tells that no connection was opened.
        """
        if self.ended:
            return
        if unconfirmed and change == gossip.FAILED:
            change = gossip.WITHDRAWN
            self._count_failure_if_confirmed(by_connection)
        self.ended = True
        if self._overdue_timer is not None and self._overdue_timer.active():
            self._overdue_timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
        elif self.retry_grant is not None:
            self.ctx.retry_pool.give_back(self.service, self.retry_grant)
        if self.reservations is not None:
            self.reservations.release()
        self.ctx.view.note_ended(self.plan)
        if change in (gossip.ENDED, gossip.FAILED):
            failed = change == gossip.FAILED
            self.ctx.view.note_outcome(self.target, failed, self.ctx.clock.seconds())
        self.ctx.port.broadcast_work(note_from_plan(self.plan, change))


class AttemptDispatcher:
    """Places and sends the attempts of a request.

    Parameters
    ----------
    fwd : ForwardedRequest
        The request.

    Attributes
    ----------
    tried : list of str
        The targets that the request was sent to.
    """

    def __init__(self, fwd: ForwardedRequest):
        self._fwd = fwd
        self._ctx = fwd.ctx
        self._attempts: list[Attempt] = []
        self._closed = False
        self._waiting_id = ""
        self._wait_count = 0
        self._unsent_count = 0
        self.tried: list[str] = []

    @property
    def attempt_count(self) -> int:
        """How many attempts were made, those included that reached no target."""
        return len(self.tried)

    @property
    def _sent_count(self) -> int:
        """How often the request was sent to a target."""
        return len(self.tried) - self._unsent_count

    async def prepare(
        self, demand: Demand, bounds: PlacementBounds = NO_BOUNDS
    ) -> Attempt | AttemptEnd:
        """Return an attempt that is ready to be sent, or why there is none.

        Releases what it has acquired if the attempt cannot be completed.
        """
        backoffs = self._ctx.view.backoffs(self._ctx.clock.seconds())
        demand = replace(demand, connected=self._connected_targets(demand), closed=backoffs)
        refused = self._known_refusal(demand) or self._check_bounds_locally(demand, bounds)
        if refused is not None:
            return refused
        retry_grant = await self._take_retry(demand) if self._sent_count else None
        if isinstance(retry_grant, Refused | OverBudget):
            return retry_grant
        try:
            found = await self._place(demand, bounds)
        except Exception:
            self._return_retry(demand, retry_grant)
            raise
        if isinstance(found, Attempt):
            found.retry_grant = retry_grant
        else:
            self._return_retry(demand, retry_grant)
        return found

    async def _place(self, demand: Demand, bounds: PlacementBounds) -> Attempt | AttemptEnd:
        """Return a placed attempt; place again if the chosen target takes no requests now."""
        for _ in range(MAX_PLACEMENTS):
            found = await self._place_once(demand, bounds)
            if not isinstance(found, AllTargetsClosed):
                return found
            demand = self._without_cold(demand, found)
        return found

    def _without_cold(self, demand: Demand, refused: AllTargetsClosed) -> Demand:
        """Return the demand without cold targets, if the service has targets that are not.

        Also without the target that has refused a place, since the limit of
        an uninformed box (see `TargetRates`) is not recorded as closing it.

        Placing again among many cold targets would meet one after another that takes no more now,
        and the request would be refused while targets that aren't cold have room.
        """
        now_s = self._ctx.clock.seconds()
        usable = {entry.name for entry in self._ctx.targets.usable(demand.service.name)}
        cold = {
            name: known.until_s - now_s
            for name, known in self._ctx.view.cold(now_s).items()
            if self._ctx.view.is_cold(name, now_s)
        }
        if refused.target and self._ctx.view.cold_per_s_of(refused.target):
            cold[refused.target] = refused.retry_after_s
        has_others = usable - cold.keys() - demand.closed.keys()
        return replace(demand, closed={**cold, **demand.closed}) if has_others else demand

    async def _place_once(self, demand: Demand, bounds: PlacementBounds) -> Attempt | AttemptEnd:
        work_id = self._next_work_id()
        placed = await self._ctx.placer.place(work_id, demand, self.tried)
        self._waiting_id = request_of(work_id) if isinstance(placed, WaitForEngine) else ""
        if placed is None or isinstance(placed, NoPlacement):
            return _end_without_placement(placed)
        attempt = Attempt(self._ctx, *placed, demand.service.name)
        self._attempts = [other for other in self._attempts if not other.ended] + [attempt]
        try:
            refused = (
                self._refusal_if_closed()
                or self._check_bounds(attempt.choice, bounds)
                or await self._acquire(attempt)
                or self._refusal_if_closed()
            )
        except Exception:
            attempt.end(gossip.WITHDRAWN)
            raise
        if refused is not None:
            attempt.end(gossip.WITHDRAWN)
            return refused
        return attempt

    def _next_work_id(self) -> str:
        """Return a new id of work; while the request waits, one that tells it is the same."""
        if not self._waiting_id:
            return work_id_of(self._ctx.box, next(_work_ids))
        self._wait_count += 1
        return f"{self._waiting_id}.w{self._wait_count}"

    def send(self, attempt: Attempt, demand: Demand) -> None:
        """Send the request to the target of an attempt."""
        fwd, choice = self._fwd, attempt.choice
        fwd.times.note_send(self._ctx.clock.seconds())
        self.tried.append(attempt.target)
        in_progress = sum(not other.ended for other in self._attempts) - 1
        last_id = fwd.answer.resume_id
        log_attempt(
            self._ctx, fwd.admitted, demand, choice, self.attempt_count, last_id, in_progress
        )
        attempt.exchange = self._ctx.pool.begin(
            choice.main,
            CallKind.REQUEST,
            lambda: self._make_head(attempt),
            fwd.req.body,
            fwd.admitted.metadata.request_id,
            fwd.admitted.route.idempotent,
            fwd.mailbox.put,
        )
        attempt.note_sent(self._ctx.clock.seconds())
        attempt.relay = self._make_relay(attempt)
        if not fwd.admitted.route.streaming:
            attempt.start_overdue_timer(fwd.admitted.route.objective_s)

    def undo_send(self, attempt: Attempt) -> None:
        """Undo the bookkeeping of `send` for an attempt that was withheld before it was sent."""
        self.tried.remove(attempt.target)
        self._return_grant(attempt)

    def note_unsent(self, attempt: Attempt) -> None:
        """Record that nothing was sent, as there was no connection; the target stays in `tried`.

        The retry budget bounds what targets receive.
        """
        self._unsent_count += 1
        self._return_grant(attempt)

    def _return_grant(self, attempt: Attempt) -> None:
        if attempt.retry_grant is not None:
            self._ctx.retry_pool.give_back(attempt.service, attempt.retry_grant)
            attempt.retry_grant = None

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading the answers that are in progress."""
        for attempt in self._attempts:
            if attempt.exchange is not None:
                attempt.exchange.set_reading(on)
            if on and attempt.relay is not None:
                attempt.relay.reading_resumed(self._ctx.clock.seconds())

    def close(self) -> None:
        """End all attempts that have not ended, including those being prepared."""
        self._closed = True
        for attempt in self._attempts:
            attempt.end(gossip.WITHDRAWN)

    def _refusal_if_closed(self) -> Refused | None:
        """Return a refusal if the request was closed meanwhile, for example by its caller."""
        return Refused("not wanted any more", at_target=False) if self._closed else None

    def _known_refusal(
        self, demand: Demand
    ) -> RequestCondemned | AllEvacuated | AllLeave | AllCutOff | AllTargetsClosed | None:
        """Return a refusal that this box can give without asking another box."""
        refusal = self._ctx.chooser.suspect_refusal(demand)
        if isinstance(refusal, RequestCondemned):
            return refusal
        if self._ctx.chooser.all_evacuated(demand):
            return AllEvacuated(EVACUATION_RETRY_S)
        if self._ctx.chooser.all_leave(demand):
            return AllLeave(REPLACEMENT_WAIT_S)
        if self._ctx.pool.paths.is_cut_off(self._ctx.targets.usable(demand.service.name)):
            return AllCutOff(CUT_OFF_RETRY_S)
        backoff_s = self._ctx.chooser.all_in_backoff_s(demand)
        return None if backoff_s is None else AllTargetsClosed(backoff_s)

    def _check_bounds_locally(self, demand: Demand, bounds: PlacementBounds) -> Refused | None:
        """Check the bounds against a placement from this box's own view.

        A hedge that is rejected here is neither noted in ledgers nor counted in
        `FleetView.long_prompt_arrivals`.
        """
        if bounds is NO_BOUNDS:
            return None
        choice = self._ctx.chooser.choose(demand, self.tried)
        return _no_room() if choice is None else self._check_bounds(choice, bounds)

    def _check_bounds(self, choice: Choice, bounds: PlacementBounds) -> Refused | None:
        """Return why a placement does not meet the bounds, None if it does."""
        if any(
            other.target == choice.main.name for other in self._attempts if other.is_in_progress
        ):
            # The engine would read the prompt twice, which delays the silent answer further.
            return Refused("no other target has room", at_target=False)
        if self._ctx.clock.seconds() + choice.first_event_s > bounds.before_s:
            return Refused("no target would continue sooner", at_target=False)
        if choice.loss >= bounds.below_loss:
            return Refused("it would cost other requests at least its worth", at_target=False)
        return None

    async def _take_retry(self, demand: Demand) -> RetryGrant | Refused | OverBudget:
        grant = await self._ctx.retry_pool.take(demand.service.name)
        if not grant:
            self._ctx.metrics.repeats.labels("over budget").inc()
            return OverBudget()
        if self._closed:
            self._return_retry(demand, grant)
        return self._refusal_if_closed() or grant

    def _return_retry(self, demand: Demand, retry_grant: RetryGrant | None) -> None:
        if retry_grant is not None:
            self._ctx.retry_pool.give_back(demand.service.name, retry_grant)

    async def _acquire(self, attempt: Attempt) -> Refused | AllTargetsClosed | None:
        """Acquire a slot in the target's rate limit and the memory reservations."""
        wait_s = await self._ctx.rates.take_place(attempt.target)
        if wait_s:
            return AllTargetsClosed(wait_s, attempt.target)
        now_s = self._ctx.clock.seconds()
        attempt.has_place = self._ctx.view.limit(attempt.target, now_s) is not None
        attempt.has_cold_place = self._ctx.view.is_cold(attempt.target, now_s)
        refused = await self._reserve_memory(attempt)
        if refused is not None and attempt.has_place:
            self._ctx.rates.give_back(attempt.target)
        return refused

    async def _reserve_memory(self, attempt: Attempt) -> Refused | None:
        refused = await self._reserve(attempt) if attempt.choice.reserved else []
        if refused:
            return Refused(f"no memory at {', '.join(refused)}", at_target=False)
        return None

    async def _reserve(self, attempt: Attempt) -> list[str]:
        attempt.reservations = ReservationSet(
            self._ctx.clock,
            self._ctx.pool,
            attempt.plan.work_id,
            attempt.choice.helpers,
            attempt.choice.part_tokens,
            self._ctx.free_bound_s,
            self._ctx.reservation_most_s,
            lambda name: self._ctx.view.state(name).born,
            lambda name: self._ctx.view.backoff_s(name, self._ctx.clock.seconds()),
        )
        return await attempt.reservations.acquire()

    def _connected_targets(self, demand: Demand) -> frozenset[str]:
        """Return the targets of the service that have an idle connection."""
        addresses = self._ctx.pool.idle_addresses(self._fwd.admitted.route.idempotent)
        if not addresses:
            return frozenset()
        usable = self._ctx.targets.usable(demand.service.name)
        return frozenset(entry.name for entry in usable if (entry.host, entry.port) in addresses)

    def _make_head(self, attempt: Attempt) -> RequestHead:
        """Return the request head for a target; called right before the request is written."""
        fwd, admitted = self._fwd, self._fwd.admitted
        now_s = self._ctx.clock.seconds()
        if now_s >= fwd.deadline_s:
            raise NoLongerAllowedError("its time is up")
        if not attempt.has_cold_place and self._ctx.view.is_cold(attempt.target, now_s):
            raise NoLongerAllowedError("the target has become cold")
        if admitted.organisation is not None and not self._ctx.admission.keys_are_trusted:
            raise NoLongerAllowedError("the configuration is too old to trust its key")
        # The helpers too: the target would have them read parts of the prompt.
        # By their data halls, since a helper may not be listed any more.
        evacuations = self._ctx.targets.evacuations
        entries = (attempt.choice.main, *attempt.choice.helpers)
        if any(evacuations.includes(entry.data_hall) for entry in entries):
            raise NoLongerAllowedError(EVACUATED_REASON)
        if attempt.retry_grant is not None:
            self._ctx.metrics.repeats.labels("sent").inc()
        attempt.resumed_after = fwd.answer.resume_id
        metadata = ForwardMetadata(
            target=attempt.target,
            time_left_s=fwd.deadline_s - now_s,
            organisation=admitted.organisation.name if admitted.organisation else None,
            urgency=admitted.urgency,
            last_event_id=attempt.resumed_after,
            helpers=_helper_addresses(attempt),
        )
        body_length = len(fwd.req.body) if fwd.req.has_body else None
        headers = forward_headers(fwd.req.headers, body_length, metadata)
        return RequestHead(fwd.req.method, fwd.req.path, headers)

    def _make_relay(self, attempt: Attempt) -> Relay:
        """Return the relay for the answer of an attempt."""
        route = self._fwd.admitted.route
        note_part = partial(self._note_part, attempt)
        common = (
            self._ctx.clock, route, self._fwd.answer, note_part, attempt.exchange.note_events
        )  # fmt: skip
        if not (route.streaming and route.resumable):
            return WholeRelay(*common)
        state = self._ctx.view.state
        return EventRelay(
            *common,
            attempt.choice.first_event_s,
            lambda: (
                attempt.target_restarted
                or attempt.appears_lost
                or attempt.link_is_silent()
                or state(attempt.target).is_unresponsive
            ),
            lambda: attempt.resumed_after,
        )

    def _note_part(self, attempt: Attempt) -> None:
        if self._fwd.times.note_part(self._ctx.clock.seconds()):
            self._ctx.metrics.first_event_s.observe(self._fwd.times.first_part_s)
        attempt.note_part()


def _no_room() -> Refused:
    return Refused("no target has room", at_target=False)


def _end_without_placement(placed: NoPlacement | None) -> AttemptEnd:
    match placed:
        case RequestOnHold(reason=reason, part=b""):
            return Refused(reason, at_target=False)
        case RequestOnHold():
            return placed
        case NoTargetInTime() | RequestCondemned() | AllTargetsClosed() | WaitForEngine():
            return placed
        case _:
            return _no_room()


def _helper_addresses(attempt: Attempt) -> tuple[str, ...]:
    """Return the addresses of the helping engines, with the reservation id if there is one."""
    addresses = (f"{entry.host}:{entry.port}" for entry in attempt.choice.helpers)
    suffix = f"/{attempt.plan.work_id}" if attempt.choice.reserved else ""
    return tuple(f"{address}{suffix}" for address in addresses)
