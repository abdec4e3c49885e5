"""The life of a forwarded request: admission, tries, retries, one outcome.

Each request is one task. It gets messages from its caller's connection and from the connection
to its target, and matches on them. It alone writes the answer.
"""

import logging
from dataclasses import replace
from functools import cached_property, partial
from http import HTTPStatus

from twisted.internet import defer

from .. import gossip
from ..connections.caller_conn import CallerConnection
from ..connections.messages import CallerGone, CallerRequest, Mailbox
from ..errors import TargetLeftAloneError, TargetNotListeningError
from ..outcome import Failed, NotRun, Outcome, Unknown
from ..placing.choosing import AllClosed, Barred, Choice, Demand, Hopeless
from ..placing.reports import read_report
from ..platform.heads import CallerMarks
from ..routes import Route
from ..scheduling.credit import worth_of
from ..scheduling.engine_model import EngineTraits
from ..utils import sleep, start
from .admission import Admitted
from .caller_answer import CallerAnswer
from .context import ForwardContext
from .event_times import EventTimes
from .hedging import HedgedTries
from .identity import request_digest
from .relaying import CallerGoneError, caller_patience_s
from .request_log import log_no_hedge, log_outcome, log_try_end
from .tries import Forwarded, PlaceBounds, Try, TryMaker
from .try_ends import (
    NOT_RUN_STATUSES,
    AllLeave,
    Done,
    FailedAnswer,
    Lost,
    OverBudget,
    Overtaken,
    Refused,
    TryEnd,
    Withheld,
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

COME_BACK_SPREAD = 1.5
"""Callers that no target takes come back within this many times the wait for the next place."""

MOST_WITHHELD = 3
"""The most tries that are held back at the gate before a request is refused."""

MOST_OFFERS = 6
"""The most targets that a request is offered to, refusals included."""

FRESH_REPORT_S = 0.9
"""A report that a box has heard is fresh for so long, in seconds: two pauses between reports."""

LONGEST_S = 600.0
"""How long a request may take if neither its caller nor its route says, in seconds."""

_log = logging.getLogger(__name__)


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
        self._maker: TryMaker | None = None
        self._hedged: HedgedTries | None = None
        self._ran_at = 0
        self._withheld = 0
        self._inquiring = False
        self._times = EventTimes(req.arrived_s)
        self._failed_answer: FailedAnswer | None = None
        self._caller_left = False

    # What the caller's connection calls.

    def caller_gone(self) -> None:
        """The caller has closed its connection."""
        self._caller_left = True
        self._mail.put(CallerGone())

    def set_reading(self, on: bool) -> None:
        """Stop or go on reading the targets' answers."""
        if self._hedged is not None:
            self._maker.set_reading(on)
            self._hedged.set_reading(on)

    def target_reborn(self, name: str) -> None:
        """A target has started again under its name."""
        if self._hedged is not None:
            self._hedged.target_reborn(name)

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
            if self._maker is not None:
                self._maker.close()
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
        self._maker = TryMaker(
            Forwarded(
                self._ctx,
                self._req,
                admitted,
                self._answer,
                self._mail,
                self._times,
                self._until_s,
            )
        )
        self._ctx.repeats.note_request(self._demand.service.name)
        while True:
            end = await self._try_once()
            if isinstance(end, Done):
                return end.outcome
            final = await self._after(end)
            if final is not None:
                return final

    @cached_property
    def _digest(self) -> bytes:
        """What stands for the request's content; made when it is first needed."""
        organisation = self._admitted.organisation
        return request_digest(self._req, organisation.name if organisation else "")

    def _identified(self, demand: Demand) -> Demand:
        """Return a demand that says which request it is, if any is suspected to end targets."""
        if demand.digest or not self._ctx.suspicion.is_watching:
            return demand
        return replace(demand, digest=self._digest)

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

    # Tries.

    async def _try_once(self) -> TryEnd:
        self._demand = self._identified(self._demand)
        prepared = await self._maker.prepare(self._demand)
        if self._caller_left:
            # It left while a place was sought or memory set aside; nothing is to run for it.
            raise CallerGoneError
        if not isinstance(prepared, Try):
            return prepared
        self._send(prepared)
        self._hedged = HedgedTries(self._ctx.clock, self._mail, self._until_s, prepared, self)
        return await self._hedged.run()

    def _send(self, prepared: Try) -> None:
        self._maker.send(prepared, self._demand)

    def try_ended(self, ended: Try, end: TryEnd) -> None:
        """End a try; a helping engine at fault is noted in place of the main one."""
        if not isinstance(end, Done):
            begun = self._answer.begun
            log_try_end(
                self._ctx, self._admitted, self._demand, ended.choice, end, begun, self._digest
            )
        helper = _helper_at_fault(ended.choice, end)
        self._note_suspicion(ended, end, helper)
        if helper is None:
            ended.end(work_change_of(end))
        else:
            self._ctx.view.note_verdict(helper, failed=True, now_s=self._now_s())
            ended.end(gossip.WITHDRAWN)
        match end:
            case FailedAnswer():
                self._failed_answer = end
                self._note_run()
            case Lost() | Overtaken():
                self._note_run()
            case Withheld():
                self._withheld += 1
                self._maker.take_back(ended)

    def _note_suspicion(self, ended: Try, end: TryEnd, helper: str | None) -> None:
        """Note whether a try speaks for or against that the request ends its targets.

        Engines that helped to read may have ended, too; whether any has is settled later.
        """
        suspicion, admitted = self._ctx.suspicion, self._admitted
        names = ended.choice.names if isinstance(end, Lost) else [helper] if helper else []
        if names:
            organisation = admitted.organisation.name if admitted.organisation else ""
            suspicion.note_lost(self._digest, names, admitted.route.name, organisation)
            if self._demand.service.engine is None:
                place = (ended.choice.main.host, ended.choice.main.port)
                listening = partial(self._ctx.pool.is_listening, place)
                start(suspicion.check(ended.target, listening)).addErrback(_log_fault)
        elif isinstance(end, Done | FailedAnswer) and suspicion.is_watching:
            suspicion.note_served(self._digest)

    def time_up(self) -> Done:
        """Answer that the request's time is up; return how it ended."""
        return Done(self._answer.fail(Unknown("its time is up", HTTPStatus.GATEWAY_TIMEOUT)))

    # Hedges.

    def may_hedge(self, under_way: int) -> bool:
        """Whether another target may run the request beside so many tries."""
        route = self._admitted.route
        more = self._ran_at + under_way < route.max_targets and self._offers < MOST_OFFERS
        return route.idempotent and more

    async def search_hedge(self, silent: Try) -> Try | TryEnd:
        """Prepare a hedge, if it is of use."""
        demand = self._identified(self._demand)
        demand = replace(demand, committed=True, lost_s=self._leaves_s())
        found = await self._maker.prepare(demand, self._bounds_of_hedge(silent))
        if not isinstance(found, Try):
            log_no_hedge(self._admitted, silent.target, found)
            self._ctx.metrics.hedges.labels("none").inc()
        return found

    def _bounds_of_hedge(self, silent: Try) -> PlaceBounds:
        """Return what a hedge must promise: to go on before the caller leaves.

        If the silent target is known to read, it goes on by itself: a hedge must be sooner, and
        cost less than the whole request is worth. Where many engines read one prompt, hedges
        would else use up the repeats, and make new requests late on the engines that are free:
        with the bound on cost a minute of planned work serves 0.938 of its worth, without it
        0.930 (means of five paired runs, of which one differs by more than 0.005).
        """
        if not self.is_explained(silent):
            return PlaceBounds(self._leaves_s())
        before_s = min(self._leaves_s(), self._reads_until_s(silent))
        return PlaceBounds(before_s, worth_of(self._demand.prompt_tokens))

    def send_hedge(self, prepared: Try) -> None:
        """Send a hedge."""
        self._ctx.metrics.hedges.labels("sent").inc()
        self._send(prepared)

    def _leaves_s(self) -> float:
        """Return when the caller leaves if nothing comes, by the clock.

        One that is still there after the usual time is taken to wait for as long as it may.
        """
        route = self._admitted.route
        patience_s = caller_patience_s(route) if route.streaming else float("inf")
        leaves_s = self._times.heard_s + patience_s
        return min(self._until_s, leaves_s if leaves_s > self._now_s() else float("inf"))

    def inquire(self, silent: Try) -> None:
        """Compare what a silent try's engine reports with what it should hold; ask it if need be.

        Boxes that decide for others hear the reports of all engines, the rest of none.
        """
        if not silent.plan.prompt_tokens:
            return
        state = self._ctx.view.state(silent.target)
        if state.rate is not None or self._ctx.view.rest_s(silent.target, self._now_s()):
            # A question would take the place of a request there, or is not wanted.
            return
        if self._now_s() - state.reported_s <= FRESH_REPORT_S:
            silent.note_report(state.report)
        elif not self._inquiring:
            self._inquiring = True
            start(self._ask_report(silent)).addErrback(_log_fault).addBoth(self._asked_report)

    async def _ask_report(self, silent: Try) -> None:
        try:
            report = await read_report(self._ctx.clock, self._ctx.pool, silent.choice.main)
        except TargetLeftAloneError:
            return
        except TargetNotListeningError:
            report = None
        silent.note_report(report)
        if silent.is_missing:
            extra = {
                "request_id": self._admitted.marks.request_id,
                "target": silent.target,
                "prompt_tokens": silent.plan.prompt_tokens,
                "memory_used": None if report is None else report.memory_used,
            }
            _log.info("target does not hold a request that it was sent", extra=extra)

    def _asked_report(self, _result: object) -> None:
        self._inquiring = False

    def is_explained(self, silent: Try) -> bool:
        """Whether a target reports, and reads prompts that explain its silence."""
        now_s = self._now_s()
        suspect = silent.is_missing or self._ctx.view.state(silent.target).is_suspect
        return not suspect and self._reads_until_s(silent) > now_s

    def _reads_until_s(self, silent: Try) -> float:
        """Return until when a target is known to read prompts, by the clock."""
        ledger = self._ctx.view.state(silent.target).ledger
        until_s = ledger.reads_until_s(self._demand.service.engine or EngineTraits())
        return float("-inf") if until_s is None else until_s

    # Between tries.

    async def _after(self, end: TryEnd) -> Outcome | None:
        """Return the outcome if the request ends here, None if it is tried again."""
        route = self._admitted.route
        match end:
            case OverBudget():
                return self._give_up_unrun("the repeats that may be sent are used up")
            case Hopeless(come_back_s=come_back_s):
                reason = "no target can begin it before its caller leaves"
                return self._give_up_unrun(reason, come_back_s)
            case Barred(come_back_s=come_back_s):
                self._ctx.metrics.barred.inc()
                return self._give_up_unrun("the targets that run it end", come_back_s)
            case AllLeave(come_back_s=come_back_s):
                reason = "all targets of the service leave"
                return self._give_up_unrun(reason, self._spread_s(come_back_s))
            case AllClosed(come_back_s=come_back_s):
                return await self._after_closed(come_back_s)
            case Withheld(reason=reason):
                # Another place may be free at once: the wait was for a connection, not for room.
                is_over = self._now_s() >= self._until_s or self._withheld >= MOST_WITHHELD
                return self._give_up_unrun(reason) if is_over else None
            case Refused(reason=reason):
                waited_s = self._now_s() - self._req.arrived_s
                no_place = not end.at_target and waited_s > WAIT_SHARE * route.objective_s
                if no_place or self._offers >= MOST_OFFERS or self._now_s() >= self._until_s:
                    return self._give_up_unrun(reason)
                if not end.at_target:
                    await self._pause(FULL_PAUSE_S)
                return None
            case Lost(reason=reason):
                return None if self._may_run_again() else self._answer.fail(Unknown(reason))
            case FailedAnswer():
                return None if self._may_run_again() else self._pass_failure(end)
        raise AssertionError(f"not an end of a try: {end}")

    async def _after_closed(self, come_back_s: float) -> Outcome | None:
        """Refuse what no target takes now, unless one does so soon that its caller won't notice."""
        held_until_s = self._req.arrived_s + WAIT_SHARE * self._admitted.route.objective_s
        if self._now_s() + come_back_s <= held_until_s:
            await self._pause(come_back_s)
            return None
        self._ctx.metrics.places.labels("none").inc()
        reason = "no target takes more, by the rates and rests that they have named"
        return self._give_up_unrun(reason, self._spread_s(come_back_s))

    def _spread_s(self, come_back_s: float) -> float:
        """Return when a caller is told to come back: apart, or all would meet at one place."""
        return come_back_s * self._ctx.rng.uniform(1.0, COME_BACK_SPREAD)

    def _note_run(self) -> None:
        self._ran_at += 1
        self._demand = replace(self._demand, committed=True)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        in_time = self._now_s() < self._until_s
        # A plain answer that has begun to go out can't be joined with another run's.
        joinable = route.streaming or not self._answer.begun
        return route.idempotent and joinable and self._ran_at < route.max_targets and in_time

    async def _pause(self, pause_s: float) -> None:
        await sleep(self._ctx.clock, min(pause_s, max(0.0, self._until_s - self._now_s())))

    def _now_s(self) -> float:
        return self._ctx.clock.seconds()

    @property
    def _offers(self) -> int:
        return self._maker.offers if self._maker is not None else 0

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


def _log_fault(failure) -> None:
    _log.error("question to a target failed", extra={"reason": failure.getTraceback()})


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
