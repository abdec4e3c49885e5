"""The tries of one request: where each goes, and what it holds there until it has ended."""

import itertools
from dataclasses import dataclass, field, replace
from functools import partial
from typing import NamedTuple

from twisted.internet.interfaces import IDelayedCall

from .. import gossip
from ..connections.messages import CallerRequest, Mailbox
from ..connections.target_conn import Exchange, RequestHead
from ..connections.target_pool import NotNowError
from ..fleet import TargetReport
from ..placing.choosing import AllClosed, Barred, Choice, Demand, Held, Hopeless, NoPlace
from ..placing.fleet_view import START_KNOWN_WITHIN_S
from ..placing.repeat_pool import Grant
from ..placing.work_plan import WorkPlan, note_of, work_id_of
from ..platform.heads import SentMarks, forward_headers
from ..platform.orders import CallKind
from .admission import Admitted
from .caller_answer import CallerAnswer
from .context import ForwardContext
from .event_times import EventTimes
from .relaying import EventRelay, Relay, WholeRelay
from .request_log import log_try
from .reservations import ReservationSet
from .try_ends import AllLeave, OverBudget, Refused, TryEnd

__all__ = ["Forwarded", "PlaceBounds", "Try", "TryMaker"]

HELD_SHARE = 0.5
"""An engine that uses less memory than this share of a prompt does not hold it; reports are some
hundred milliseconds old, and the prompt should have been read before."""

REPLACED_WITHIN_S = 2.0
"""When a caller comes back to a service whose targets all leave, in seconds: time for another one
to start and to be listed."""

PLACES_SOUGHT = 3
"""How often a place is sought if its target proves to take no further request: boxes learn so of
what others have sent there, one question and its answer each time."""

_work_ids = itertools.count(1)


class PlaceBounds(NamedTuple):
    """What a place must promise to be of use.

    Parameters
    ----------
    before_s : float
        Its first event is predicted before this, by the clock.
    below_loss : float
        Less worth than this is expected to be lost, others' included.
    """

    before_s: float = float("inf")
    below_loss: float = float("inf")


ANY_PLACE = PlaceBounds()


@dataclass
class Forwarded:
    """A request that is forwarded, as all of its tries need it.

    Parameters
    ----------
    ctx : ForwardContext
        What all requests share.
    req : CallerRequest
        As the caller sent it.
    admitted : Admitted
        Its route, and whose it is.
    answer : CallerAnswer
        Where its answer goes.
    mail : Mailbox
        Where the messages of its tries come.
    times : EventTimes
        When its parts went out.
    until_s : float
        When its time is up, by the clock.
    """

    ctx: ForwardContext
    req: CallerRequest
    admitted: Admitted
    answer: CallerAnswer
    mail: Mailbox
    times: EventTimes
    until_s: float


@dataclass(eq=False)
class Try:
    """One try: a place that is noted in the ledgers, and after it was sent, an exchange.

    Parameters
    ----------
    ctx : ForwardContext
        What all requests share.
    choice : Choice
        The target and its helpers.
    plan : WorkPlan
        As noted in the ledgers.
    reservations : ReservationSet or None
        Memory that is set aside on the engines.
    service : str
        The name of the service that it goes to.
    repeat : Grant or None
        The repeat that it has, None if it needs none.
    exchange, relay : Exchange and Relay, or None
        What carries its answer, None before it was sent.
    over : bool
        Whether it has ended.
    silence_is_explained : bool
        Whether work that was known when it fell silent explains that.
    is_orphaned : bool
        Whether an engine that it needs has started again since it was sent.
    is_missing : bool
        Whether its engine, asked for a report since it fell silent, does not answer or does not
        hold it.
    """

    ctx: ForwardContext
    choice: Choice
    plan: WorkPlan
    service: str
    repeat: Grant | None = None
    reservations: ReservationSet | None = None
    exchange: Exchange | None = None
    relay: Relay | None = None
    over: bool = False
    silence_is_explained: bool = False
    is_orphaned: bool = False
    is_missing: bool = False
    _sent_s: float = field(default=float("inf"), init=False)
    _overdue: IDelayedCall | None = field(default=None, init=False)
    _has_begun: bool = field(default=False, init=False)

    @property
    def target(self) -> str:
        """The name of the target that answers."""
        return self.choice.main.name

    @property
    def is_under_way(self) -> bool:
        """Whether it was sent and has not ended."""
        return self.exchange is not None and not self.over

    def note_sent(self, now_s: float) -> None:
        """Note when it was sent."""
        self._sent_s = now_s

    def await_answer(self, within_s: float) -> None:
        """Count it against its target if it is not answered within a time.

        It is not given up. A plain target that hangs for some requests is left after its first one
        is overdue; judged by their ends alone, it would be after the time limit of the route, four
        to six times later, and not at all for requests that may run only once.
        """
        self._overdue = self.ctx.clock.callLater(within_s, self._note_overdue)

    def _note_overdue(self) -> None:
        self.ctx.view.note_verdict(self.target, True, self.ctx.clock.seconds())
        self.ctx.port.tell_work(note_of(self.plan, gossip.OVERDUE))

    def note_report(self, report: TargetReport | None) -> None:
        """Take what its engine reports of itself while the try is silent; None if nothing.

        Used for tries whose prompt should have been read by now. A long prompt shows in the memory
        that is used; of a short one only an engine without work can be told not to run it.
        """
        if report is None:
            self.is_missing = True
            return
        parts = len(self.plan.targets) if self.plan.reserved else 1
        held = HELD_SHARE * self.plan.prompt_tokens / parts
        idle = not report.running and not report.waiting
        self.is_missing = idle or report.memory_used < held

    def note_reborn(self, name: str, now_s: float) -> bool:
        """Note that a target has started again; return whether the try ran on the earlier start.

        One that was sent right before may run on the later one.
        """
        needed = {self.target}
        if self.choice.reserved or not self._has_begun:
            needed.update(self.choice.names)
        if name in needed and now_s - self._sent_s > START_KNOWN_WITHIN_S:
            self.is_orphaned = True
        return self.is_orphaned

    def note_begun(self) -> None:
        """Note that its first part goes out, so its prompt has been read."""
        if self._has_begun:
            return
        self._has_begun = True
        self.ctx.view.note_first_event(self.plan, self.ctx.clock.seconds())
        self.ctx.port.tell_work(note_of(self.plan, gossip.FIRST_EVENT))

    def end(self, change: int) -> None:
        """Give back what it holds, and note how it ended; once."""
        if self.over:
            return
        self.over = True
        if self._overdue is not None and self._overdue.active():
            self._overdue.cancel()
        if self.exchange is not None:
            self.exchange.give_up()
        elif self.repeat is not None:
            self.ctx.repeats.give_back(self.service, self.repeat)
        if self.reservations is not None:
            self.reservations.release()
        self.ctx.view.note_ended(self.plan)
        if change in (gossip.ENDED, gossip.FAILED):
            failed = change == gossip.FAILED
            self.ctx.view.note_verdict(self.target, failed, self.ctx.clock.seconds())
        self.ctx.port.tell_work(note_of(self.plan, change))


class TryMaker:
    """Finds places for the tries of a request, and sends them.

    Parameters
    ----------
    fwd : Forwarded
        The request.

    Attributes
    ----------
    tried : list of str
        The targets that it was sent to.
    """

    def __init__(self, fwd: Forwarded):
        self._fwd = fwd
        self._ctx = fwd.ctx
        self._open: list[Try] = []
        self._closed = False
        self.tried: list[str] = []

    @property
    def offers(self) -> int:
        """How often the request was sent."""
        return len(self.tried)

    async def prepare(self, demand: Demand, bounds: PlaceBounds = ANY_PLACE) -> Try | TryEnd:
        """Return a try that can be sent at once: with a place, a repeat, and memory if needed.

        What it got is given back if the rest can't be had.
        """
        rests = self._ctx.view.rests(self._ctx.clock.seconds())
        demand = replace(demand, connected=self._connected_targets(demand), closed=rests)
        refused = self._refused_at_once(demand) or self._objection_here(demand, bounds)
        if refused is not None:
            return refused
        repeat = await self._get_repeat(demand) if self.offers else None
        if isinstance(repeat, Refused | OverBudget):
            return repeat
        try:
            found = await self._find(demand, bounds)
        except Exception:
            self._give_back(demand, repeat)
            raise
        if isinstance(found, Try):
            found.repeat = repeat
        else:
            self._give_back(demand, repeat)
        return found

    async def _find(self, demand: Demand, bounds: PlaceBounds) -> Try | TryEnd:
        """Return a try with a place and memory, sought again if its target takes no request now."""
        for _ in range(PLACES_SOUGHT):
            found = await self._find_once(demand, bounds)
            if not isinstance(found, AllClosed):
                return found
        return found

    async def _find_once(self, demand: Demand, bounds: PlaceBounds) -> Try | TryEnd:
        work_id = work_id_of(self._ctx.box, next(_work_ids))
        placed = await self._ctx.placer.place(work_id, demand, self.tried)
        if placed is None or isinstance(placed, NoPlace):
            return _end_without_place(placed)
        try_ = Try(self._ctx, *placed, demand.service.name)
        self._open = [other for other in self._open if not other.over] + [try_]
        try:
            refused = (
                self._closed_end()
                or self._objection_to(try_.choice, bounds)
                or await self._admit(try_)
                or self._closed_end()
            )
        except Exception:
            try_.end(gossip.WITHDRAWN)
            raise
        if refused is not None:
            try_.end(gossip.WITHDRAWN)
            return refused
        return try_

    def send(self, try_: Try, demand: Demand) -> None:
        """Offer the request to the target that was chosen."""
        fwd, choice = self._fwd, try_.choice
        fwd.times.note_offer(self._ctx.clock.seconds())
        if try_.repeat is not None:
            self._ctx.metrics.repeats.labels("sent").inc()
        self.tried.append(try_.target)
        under_way = sum(not other.over for other in self._open) - 1
        last_id = fwd.answer.last_event_id
        log_try(self._ctx, fwd.admitted, demand, choice, self.offers, last_id, under_way)
        try_.exchange = self._ctx.pool.begin(
            choice.main,
            CallKind.REQUEST,
            lambda: self._make_head(try_),
            fwd.req.body,
            fwd.admitted.marks.request_id,
            fwd.admitted.route.idempotent,
            fwd.mail.put,
        )
        try_.note_sent(self._ctx.clock.seconds())
        try_.relay = self._relay(try_)
        if not fwd.admitted.route.streaming:
            try_.await_answer(fwd.admitted.route.objective_s)

    def take_back(self, try_: Try) -> None:
        """Take back that a try was sent: it was held back, and costs no offer and no repeat."""
        self.tried.remove(try_.target)
        if try_.repeat is not None:
            self._ctx.repeats.give_back(try_.service, try_.repeat)

    def set_reading(self, on: bool) -> None:
        """Stop or go on reading the answers that are under way."""
        for try_ in self._open:
            if try_.exchange is not None:
                try_.exchange.set_reading(on)
            if on and try_.relay is not None:
                try_.relay.caller_reads_again(self._ctx.clock.seconds())

    def close(self) -> None:
        """End all tries that have not ended, also those that are being prepared."""
        self._closed = True
        for try_ in self._open:
            try_.end(gossip.WITHDRAWN)

    def _closed_end(self) -> Refused | None:
        """Return why nothing is to run any more: the caller left meanwhile."""
        return Refused("not wanted any more", at_target=False) if self._closed else None

    def _refused_at_once(self, demand: Demand) -> Barred | AllLeave | AllClosed | None:
        """Return why this box knows that no target is to run it; it then asks nobody."""
        objection = self._ctx.chooser.objection(demand)
        if isinstance(objection, Barred):
            return objection
        if self._ctx.chooser.all_leave(demand):
            return AllLeave(REPLACED_WITHIN_S)
        rest_s = self._ctx.chooser.all_rest_s(demand)
        return None if rest_s is None else AllClosed(rest_s)

    def _objection_here(self, demand: Demand, bounds: PlaceBounds) -> Refused | None:
        """Return why a place would be of no use, by what this box knows itself.

        A search that sends nothing is then neither noted in ledgers nor counted as a prompt.
        """
        if bounds is ANY_PLACE:
            return None
        quote = self._ctx.chooser.choose(demand, self.tried)
        return _no_place() if quote is None else self._objection_to(quote, bounds)

    def _objection_to(self, choice: Choice, bounds: PlaceBounds) -> Refused | None:
        """Return why a place is of no use, None if it is."""
        if any(other.target == choice.main.name for other in self._open if other.is_under_way):
            # The engine would read the prompt twice, and the silent answer wait for that.
            return Refused("no other target has room", at_target=False)
        if self._ctx.clock.seconds() + choice.first_event_s > bounds.before_s:
            return Refused("no target would go on sooner", at_target=False)
        if choice.loss >= bounds.below_loss:
            return Refused("it would cost others more than it keeps", at_target=False)
        return None

    async def _get_repeat(self, demand: Demand) -> Grant | Refused | OverBudget:
        grant = await self._ctx.repeats.take(demand.service.name)
        if not grant:
            self._ctx.metrics.repeats.labels("over budget").inc()
            return OverBudget()
        if self._closed:
            self._give_back(demand, grant)
        return self._closed_end() or grant

    def _give_back(self, demand: Demand, repeat: Grant | None) -> None:
        if repeat is not None:
            self._ctx.repeats.give_back(demand.service.name, repeat)

    async def _admit(self, try_: Try) -> Refused | AllClosed | None:
        """Take the request's place by the rate that its target names, and memory where needed."""
        wait_s = await self._ctx.rates.take_place(try_.target)
        if wait_s:
            return AllClosed(wait_s)
        refused = await self._get_memory(try_)
        if refused is not None:
            self._ctx.rates.give_back(try_.target)
        return refused

    async def _get_memory(self, try_: Try) -> Refused | None:
        refused = await self._reserve(try_) if try_.choice.reserved else []
        if refused:
            return Refused(f"no memory at {', '.join(refused)}", at_target=False)
        return None

    async def _reserve(self, try_: Try) -> list[str]:
        try_.reservations = ReservationSet(
            self._ctx.clock,
            self._ctx.pool,
            try_.plan.work_id,
            try_.choice.helpers,
            try_.choice.part_tokens,
            self._ctx.free_bound_s,
            self._ctx.reservation_most_s,
            lambda name: self._ctx.view.state(name).born,
            lambda name: self._ctx.view.rest_s(name, self._ctx.clock.seconds()),
        )
        return await try_.reservations.take()

    def _connected_targets(self, demand: Demand) -> frozenset[str]:
        """Return the service's targets to which an idle connection is there."""
        places = self._ctx.pool.connected(self._fwd.admitted.route.idempotent)
        if not places:
            return frozenset()
        usable = self._ctx.targets.usable(demand.service.name)
        return frozenset(entry.name for entry in usable if (entry.host, entry.port) in places)

    def _make_head(self, try_: Try) -> RequestHead:
        """Return the head for a target; called right before the bytes go out."""
        fwd, admitted = self._fwd, self._fwd.admitted
        now_s = self._ctx.clock.seconds()
        if now_s >= fwd.until_s:
            raise NotNowError("its time is up")
        if admitted.organisation is not None and not self._ctx.admission.keys_are_vouched_for:
            raise NotNowError("the configuration is too old to trust its key")
        marks = SentMarks(
            target=try_.target,
            time_left_s=fwd.until_s - now_s,
            organisation=admitted.organisation.name if admitted.organisation else None,
            urgency=admitted.urgency,
            last_event_id=fwd.answer.last_event_id,
            helpers=_helper_places(try_),
        )
        body_length = len(fwd.req.body) if fwd.req.has_body else None
        headers = forward_headers(fwd.req.headers, body_length, marks)
        return RequestHead(fwd.req.method, fwd.req.target, headers)

    def _relay(self, try_: Try) -> Relay:
        """Return what passes the answer of a try on."""
        route = self._fwd.admitted.route
        common = (self._ctx.clock, route, self._fwd.answer, partial(self._note_part, try_))
        if not (route.streaming and route.resumable):
            return WholeRelay(*common)
        state = self._ctx.view.state
        return EventRelay(
            *common,
            try_.choice.first_event_s,
            lambda: try_.is_orphaned or try_.is_missing or state(try_.target).is_suspect,
        )

    def _note_part(self, try_: Try) -> None:
        if self._fwd.times.note(self._ctx.clock.seconds()):
            self._ctx.metrics.first_event_s.observe(self._fwd.times.first_s)
        try_.note_begun()


def _no_place() -> Refused:
    return Refused("no target has room", at_target=False)


def _end_without_place(placed: NoPlace | None) -> TryEnd:
    match placed:
        case Held(reason=reason):
            return Refused(reason, at_target=False)
        case Hopeless() | Barred() | AllClosed():
            return placed
        case _:
            return _no_place()


def _helper_places(try_: Try) -> tuple[str, ...]:
    """Return where the helping engines are, with the ids of the memory that is set aside there."""
    places = (f"{entry.host}:{entry.port}" for entry in try_.choice.helpers)
    ticket = f"/{try_.plan.work_id}" if try_.choice.reserved else ""
    return tuple(f"{place}{ticket}" for place in places)
