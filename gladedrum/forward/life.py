"""The life of a forwarded request: admission, tries, retries, one outcome.

Each request is one task. It gets messages from its caller's connection and from the connection
to its target, and matches on them. It alone writes the answer.
"""

import itertools
import logging
from dataclasses import replace
from http import HTTPStatus

from twisted.internet import defer

from .. import gossip
from ..connections.caller_conn import CallerConnection
from ..connections.messages import CallerGone, CallerRequest, Mailbox
from ..connections.target_conn import Exchange, RequestHead
from ..connections.target_pool import NotNowError
from ..outcome import Failed, NotRun, Outcome, Unknown
from ..placing.choosing import Choice, Demand, Hopeless
from ..placing.fleet_view import WorkPlan, note_of, work_id_of
from ..platform.heads import CallerMarks, SentMarks, forward_headers
from ..routes import Route
from ..scheduling.engine_model import EngineTraits
from ..utils import sleep, start
from .admission import Admitted
from .caller_answer import CallerAnswer
from .context import ForwardContext
from .event_times import EventTimes
from .relaying import CallerGoneError, EventRelay, Relay, WholeRelay, caller_patience_s
from .request_log import log_outcome, log_try, log_try_end
from .reservations import ReservationSet
from .try_ends import (
    NOT_RUN_STATUSES,
    Done,
    FailedAnswer,
    Lost,
    OverBudget,
    Refused,
    TooLate,
    TryEnd,
    work_change_of,
)

__all__ = ["RequestTask", "start_request"]

FULL_PAUSE_S = 0.06
"""Pause before a request that no target took is offered again, in seconds."""

RETRY_AFTER_S = 0.25
"""When a caller may come back after a refusal, in seconds: a few passes of an engine."""

WAIT_SHARE = 0.125
"""A request for which there is no place is refused after this share of its objective: soon enough
for its caller to be served in time elsewhere, and not held for nothing."""

MOST_OFFERS = 6
"""The most targets that a request is offered to, refusals included."""

LONGEST_S = 600.0
"""How long a request may take if neither its caller nor its route says, in seconds."""

_log = logging.getLogger(__name__)

_work_ids = itertools.count(1)


class RequestTask:
    """One request, from its arrival to its outcome.

    Parameters
    ----------
    ctx : ForwardContext
        What all requests share.
    req : CallerRequest
        The request.
    caller : CallerConnection
        Where the answer goes.
    """

    def __init__(self, ctx: ForwardContext, req: CallerRequest, caller: CallerConnection):
        self._ctx = ctx
        self._req = req
        self._answer = CallerAnswer(req, caller)
        self._mail = Mailbox(ctx.clock)
        self._admitted: Admitted | None = None
        self._demand: Demand | None = None
        self._until_s = float("inf")
        self._exchange: Exchange | None = None
        self._plan: WorkPlan | None = None
        self._reservations: ReservationSet | None = None
        self._tried: list[str] = []
        self._ran_at = 0
        self._offers = 0
        self._times = EventTimes(req.arrived_s)
        self._failed_answer: FailedAnswer | None = None
        self._caller_left = False

    # What the caller's connection calls.

    def caller_gone(self) -> None:
        """The caller has closed its connection."""
        self._caller_left = True
        self._mail.put(CallerGone())

    def set_reading(self, on: bool) -> None:
        """Stop or go on reading the target's answer."""
        if self._exchange is not None:
            self._exchange.set_reading(on)

    # The task.

    async def run(self) -> Outcome:
        """Serve the request; return its outcome, which has been written and logged."""
        try:
            outcome = await self._serve()
        except CallerGoneError:
            outcome = Unknown("the caller has left")
        except Exception as exc:
            _log.exception("request's task failed", extra={"reason": repr(exc)})
            fault = Unknown("a fault of this box", HTTPStatus.INTERNAL_SERVER_ERROR)
            outcome = self._answer.fail(fault)
        finally:
            self._end_try(gossip.WITHDRAWN)
        log_outcome(
            self._ctx,
            self._req,
            self._admitted,
            self._demand,
            outcome,
            self._offers,
            self._times,
        )
        return outcome

    async def _serve(self) -> Outcome:
        admitted = self._ctx.admission.check(self._req)
        if not isinstance(admitted, Admitted):
            return self._answer.refuse(admitted)
        self._admitted = admitted
        left_s = admitted.marks.time_left_s
        limit_s = min(admitted.route.time_limit_s, LONGEST_S if left_s is None else left_s)
        self._until_s = self._req.arrived_s + limit_s
        self._demand = self._make_demand(admitted)
        self._ctx.repeats.note_request(self._demand.service.name)
        while True:
            end = await self._try_once()
            if isinstance(end, Done):
                return end.outcome
            final = await self._after(end)
            if final is not None:
                return final

    def _make_demand(self, admitted: Admitted) -> Demand:
        route, marks = admitted.route, admitted.marks
        shares = route.services
        weights = [max(0.0, share.weight) for share in shares]
        name = self._ctx.rng.choices(shares, weights if any(weights) else None)[0].service
        service = self._ctx.service_of(name)
        engine = service.engine
        prompt = marks.prompt_tokens if engine is not None else 0
        answer = _likely_answer_tokens(marks, engine) if engine is not None else 0
        first_due_s = self._req.arrived_s + route.objective_s
        owner = admitted.organisation.name if admitted.organisation else ""
        return Demand(
            service,
            prompt,
            answer,
            first_due_s,
            route.pause_objective_s,
            self._ctx.data_hall,
            self._ctx.policy_of(owner, route.name),
            self._lost_s(route, answer, engine),
        )

    def _lost_s(self, route: Route, answer_tokens: int, engine: EngineTraits | None) -> float:
        """Return when the request is lost if no event has come, by the clock."""
        writing_s = answer_tokens * engine.step_s if engine is not None else 0.0
        patience_s = caller_patience_s(route) if route.streaming else float("inf")
        return min(self._until_s - writing_s, self._req.arrived_s + patience_s)

    # One try.

    async def _try_once(self) -> TryEnd:
        work_id = work_id_of(self._ctx.box, next(_work_ids))
        demand = replace(self._demand, connected=self._connected_targets())
        placed = await self._ctx.placer.place(work_id, demand, self._tried)
        if placed is None:
            return Refused("no target has room", at_target=False)
        if isinstance(placed, Hopeless):
            return TooLate(placed.come_back_s)
        choice, self._plan = placed
        if self._offers and not await self._take_repeat():
            self._end_try(gossip.WITHDRAWN)
            return OverBudget()
        helpers = tuple(f"{entry.host}:{entry.port}" for entry in choice.helpers)
        if choice.reserved:
            refused = await self._reserve(work_id, choice)
            if refused:
                self._end_try(gossip.WITHDRAWN)
                return Refused(f"no memory at {', '.join(refused)}", at_target=False)
            helpers = tuple(f"{helper}/{work_id}" for helper in helpers)
        if self._caller_left:
            # It left while a place was sought or memory set aside; nothing is to run for it.
            raise CallerGoneError
        self._send(choice, helpers)
        end = await self._relay(choice).run()
        log_try_end(self._ctx, self._admitted, self._demand, choice, end, self._answer.begun)
        self._end_sent_try(choice, end)
        return end

    def _connected_targets(self) -> frozenset[str]:
        """Return the service's targets to which an idle connection is there."""
        places = self._ctx.pool.connected(self._admitted.route.idempotent)
        if not places:
            return frozenset()
        usable = self._ctx.targets.usable(self._demand.service.name)
        return frozenset(entry.name for entry in usable if (entry.host, entry.port) in places)

    def _send(self, choice: Choice, helpers: tuple[str, ...]) -> None:
        """Offer the request to the target that was chosen."""
        self._offers += 1
        self._times.note_offer(self._now_s())
        log_try(
            self._ctx,
            self._admitted,
            self._demand,
            choice,
            self._offers,
            self._answer.last_event_id,
        )
        self._tried.append(choice.main.name)
        self._exchange = self._ctx.pool.begin(
            (choice.main.host, choice.main.port),
            lambda: self._make_head(choice, helpers),
            self._req.body,
            self._admitted.marks.request_id,
            self._admitted.route.idempotent,
            self._mail.put,
        )

    def _end_sent_try(self, choice: Choice, end: TryEnd) -> None:
        """End a try; a helping engine at fault is noted in place of the main one."""
        helper = _helper_at_fault(choice, end)
        if helper is None:
            self._end_try(work_change_of(end))
        else:
            self._ctx.view.note_verdict(helper, failed=True, now_s=self._now_s())
            self._end_try(gossip.WITHDRAWN)

    async def _reserve(self, work_id: str, choice: Choice) -> list[str]:
        self._reservations = ReservationSet(
            self._ctx.clock,
            self._ctx.pool,
            work_id,
            choice.helpers,
            choice.part_tokens,
            self._ctx.free_bound_s,
            self._ctx.reservation_most_s,
        )
        return await self._reservations.take()

    def _make_head(self, choice: Choice, helpers: tuple[str, ...]) -> RequestHead:
        """Return the head for a target; called right before the bytes go out."""
        now_s = self._now_s()
        if now_s >= self._until_s:
            raise NotNowError("its time is up")
        if self._admitted.organisation is not None and not self._ctx.admission.keys_are_vouched_for:
            raise NotNowError("the configuration is too old to trust its key")
        if not self._ctx.targets.may_get_work(choice.main.name):
            raise NotNowError("the target is leaving")
        marks = SentMarks(
            target=choice.main.name,
            time_left_s=self._until_s - now_s,
            organisation=self._admitted.organisation.name if self._admitted.organisation else None,
            urgency=self._admitted.urgency,
            last_event_id=self._answer.last_event_id,
            helpers=helpers,
        )
        body_length = len(self._req.body) if self._req.has_body else None
        headers = forward_headers(self._req.headers, body_length, marks)
        return RequestHead(self._req.method, self._req.target, headers)

    def _relay(self, choice: Choice) -> Relay:
        """Return what passes the answer of the try under way on."""
        route = self._admitted.route
        common = (self._ctx.clock, self._mail, self._exchange.attempt, route, self._answer)
        if route.streaming and route.resumable:
            may_move = self._ran_at + 1 < route.max_targets
            state = self._ctx.view.state
            return EventRelay(
                *common,
                self._until_s,
                may_move,
                self._note_part,
                choice.first_event_s,
                lambda now_s: state(choice.main.name).is_suspect(now_s),
            )
        may_move = route.idempotent and len(self._tried) < route.max_targets
        return WholeRelay(*common, self._until_s, may_move, self._note_part)

    def _note_part(self) -> None:
        now_s = self._now_s()
        if not self._times.note(now_s):
            return
        self._ctx.metrics.first_event_s.observe(self._times.first_s)
        if self._plan is not None:
            self._ctx.view.note_first_event(self._plan, now_s)
            self._ctx.port.tell_work(note_of(self._plan, gossip.FIRST_EVENT))

    def _end_try(self, change: int) -> None:
        """Give back what a try holds, and note how it ended."""
        if self._exchange is not None:
            self._exchange.give_up()
        if self._reservations is not None:
            self._reservations.release()
            self._reservations = None
        if self._plan is None:
            return
        self._ctx.view.note_ended(self._plan)
        if change in (gossip.ENDED, gossip.FAILED):
            failed = change == gossip.FAILED
            now_s = self._now_s()
            self._ctx.view.note_verdict(self._plan.targets[0], failed, now_s)
        self._ctx.port.tell_work(note_of(self._plan, change))
        self._plan = None

    # Between tries.

    async def _after(self, end: TryEnd) -> Outcome | None:
        """Return the outcome if the request ends here, None if it is tried again."""
        route = self._admitted.route
        match end:
            case OverBudget():
                return self._give_up_unrun("the repeats that may be sent are used up")
            case TooLate(come_back_s=come_back_s):
                reason = "no target can begin it before its caller leaves"
                return self._give_up_unrun(reason, come_back_s)
            case Refused(reason=reason):
                waited_s = self._now_s() - self._req.arrived_s
                no_place = not end.at_target and waited_s > WAIT_SHARE * route.objective_s
                if no_place or self._offers >= MOST_OFFERS or self._now_s() >= self._until_s:
                    return self._give_up_unrun(reason)
                if not end.at_target:
                    await self._pause(FULL_PAUSE_S)
                return None
            case Lost(reason=reason):
                self._note_run()
                return None if self._may_run_again() else self._answer.fail(Unknown(reason))
            case FailedAnswer():
                self._note_run()
                self._failed_answer = end
                return None if self._may_run_again() else self._pass_failure(end)
        raise AssertionError(f"not an end of a try: {end}")

    def _note_run(self) -> None:
        self._ran_at += 1
        self._demand = replace(self._demand, committed=True)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        in_time = self._now_s() < self._until_s
        return route.idempotent and self._ran_at < route.max_targets and in_time

    async def _take_repeat(self) -> bool:
        allowed = await self._ctx.repeats.take(self._demand.service.name)
        self._ctx.metrics.repeats.labels("sent" if allowed else "over budget").inc()
        return allowed

    async def _pause(self, pause_s: float) -> None:
        await sleep(self._ctx.clock, min(pause_s, max(0.0, self._until_s - self._now_s())))

    def _now_s(self) -> float:
        return self._ctx.clock.seconds()

    def _give_up_unrun(self, reason: str, come_back_s: float = RETRY_AFTER_S) -> Outcome:
        if self._failed_answer is not None:
            return self._pass_failure(self._failed_answer)
        if self._ran_at:
            return self._answer.fail(Unknown(reason))
        return self._answer.refuse(NotRun(reason, come_back_s))

    def _pass_failure(self, answer: FailedAnswer) -> Outcome:
        if self._answer.begun:
            return self._answer.fail(Unknown(f"status {answer.head.status} while resuming"))
        if answer.head.status in NOT_RUN_STATUSES and not self._admitted.route.idempotent:
            reason = f"status {answer.head.status} from a target that may have run it"
            return self._answer.fail(Unknown(reason))
        self._answer.begin(answer.head)
        self._answer.send(answer.body)
        self._answer.end()
        return Failed("failed at the target", HTTPStatus(answer.head.status))


def _likely_answer_tokens(marks: CallerMarks, engine: EngineTraits) -> int:
    likely = marks.answer_guess or min(marks.answer_tokens, int(engine.usual_answer))
    return max(1, min(likely, marks.answer_tokens or likely))


def _helper_at_fault(choice: Choice, end: TryEnd) -> str | None:
    """Return the helping engine for whose sake a try was refused, None if it was none."""
    if not isinstance(end, Refused) or not end.at_fault:
        return None
    places = {f"{entry.host}:{entry.port}": entry.name for entry in choice.helpers}
    name = places.get(end.at_fault, end.at_fault)
    return name if name in {entry.name for entry in choice.helpers} else None


def start_request(
    ctx: ForwardContext, req: CallerRequest, caller: CallerConnection
) -> tuple[RequestTask, defer.Deferred[Outcome]]:
    """Begin to serve a request; the deferred fires with its outcome."""
    task = RequestTask(ctx, req, caller)
    return task, start(task.run())
