"""The task of a forwarded request: admission, attempts, retries, and one outcome.

Each request is one task. It receives messages from the caller's connection and from the
connections to targets, and is the only writer of the answer.
"""

import logging
from dataclasses import replace
from functools import cached_property, partial
from http import HTTPStatus

from twisted.internet import defer

from .. import gossip
from ..connections.caller_conn import CallerConnection
from ..connections.end_check import Reports, check_targets
from ..connections.messages import CallerGone, CallerRequest, EndChecked, Mailbox, TargetLife
from ..errors import TargetBackoffError, TargetNotListeningError
from ..fleet import TargetEntry, TargetReport
from ..outcome import Completed, Failed, NotRun, Outcome, Unknown
from ..placing.choosing import (
    AllTargetsClosed,
    Choice,
    Demand,
    NoTargetInTime,
    RequestCondemned,
    RequestOnHold,
    WaitForEngine,
)
from ..placing.reports import read_report
from ..platform.headers import CallerMetadata
from ..routes import Route
from ..scheduling.engine_model import EngineTraits
from ..scheduling.ranked_placement import RANKED_POLICY, default_policy, rank_weight
from ..scheduling.suspects import PartCause
from ..utils import MAX_TIMER_LAG_S, sleep, start
from .admission import Admitted
from .attempt_ends import (
    NOT_RUN_STATUSES,
    AllCutOff,
    AllEvacuated,
    AllLeave,
    AttemptEnd,
    Done,
    EndNotShown,
    FailedAnswer,
    Lost,
    OverBudget,
    Overtaken,
    Refused,
    Unreachable,
    Withheld,
    known_status,
    may_be_own_fault,
    work_change_of,
)
from .attempts import Attempt, AttemptDispatcher, ForwardedRequest, PlacementBounds
from .caller_answer import CallerAnswer
from .context import ForwardContext
from .engine_wait import EngineWait
from .event_times import EventTimes
from .hedging import HedgedAttempts
from .identity import part_causes, request_digest
from .relaying import CallerGoneError, caller_timeout_s
from .request_log import Path, log_attempt_end, log_no_hedge, log_outcome

__all__ = ["RequestTask", "start_request"]

NO_ROOM_PAUSE_S = 0.06
"""Pause before the request is placed again after no target had room, in seconds."""

RETRY_AFTER_S = 0.25
"""Default Retry-After of a refusal, in seconds: a few scheduling passes of an engine."""

MAX_WAIT_SHARE = 0.125
"""A request without a placement is refused after this share of its objective, so that its caller
can still be served in time by another box."""

RETRY_AFTER_SPREAD = 1.5
"""Maximum random factor on the Retry-After of refusals when all targets are leaving, evacuated or
closed (take no request now, because of their rate limit or a backoff)."""

REPEAT_DELAY_S = (0.12, 0.32)
"""Random pause before a request is sent again that was lost with its engine as it was about to
answer, in seconds. Requests with the same deadly part are often lost together, at several boxes;
without the spread all of them would end another engine at once."""

HOLD_PAUSE_S = 0.03
"""Pause before a request is placed again while a part of its prompt is tested, in seconds."""

TEST_RETRY_S = 0.5
"""Retry-After of a request that waited for the test of a part of its prompt, in seconds: a short
answer takes about as long."""

MAX_WITHHELD = 3
"""Maximum number of attempts that are withheld (see `Withheld`); then the request is refused."""

MAX_ATTEMPTS = 6
"""Maximum number of attempts per request, refused ones included."""

FRESH_REPORT_AGE_S = 0.9
"""Maximum age of a report that is used without asking the engine for a new one, in seconds: two
intervals between reports and a margin."""

RESUME_MARGIN_S = 0.2
"""Time before a caller leaves at which its stream is reset if nothing has shown its end, in
seconds: it resumes sooner, and the further run stops before it is of no use."""

DEFAULT_TIME_LIMIT_S = 600.0
"""Time limit of a request whose caller names none, in seconds; the route's limit holds as well."""

UNREPEATABLE_LOSS_FACTOR = 2.0
"""Factor on what the loss of an answer costs whose caller may not repeat the request: it learns
neither the result nor whether there is one."""

_log = logging.getLogger(__name__)


class RequestTask:
    """Serves one request, from its arrival to its outcome.

    Parameters
    ----------
    ctx : ForwardContext
        State shared by all requests.
    req : CallerRequest
        The request.
    caller : CallerConnection
        The caller's connection, which takes the answer.

    Attributes
    ----------
    has_failed : bool
        Whether the request has ended by an exception in this box.
    """

    def __init__(self, ctx: ForwardContext, req: CallerRequest, caller: CallerConnection):
        self.has_failed = False
        self._is_stopped = False
        self._ctx = ctx
        self._req = req
        self._caller = caller
        self._answer = CallerAnswer(req, caller)
        self._mailbox = Mailbox(ctx.clock)
        self._admitted: Admitted | None = None
        self._demand: Demand | None = None
        self._deadline_s = float("inf")
        self._dispatcher: AttemptDispatcher | None = None
        self._hedging: HedgedAttempts | None = None
        self._wait: EngineWait | None = None
        self._run_count = 0
        self._withheld_count = 0
        self._held_since_s: float | None = None
        self._asking_report = False
        self._times = EventTimes(req.arrived_s)
        self._path = Path()
        self._failed_answer: FailedAnswer | None = None
        self._gone: CallerGone | None = None
        self._unmarked_target = ""

    # Called by the caller's connection.

    def caller_gone(self, gone: CallerGone) -> None:
        """Handle that the caller's connection has ended."""
        self._gone = gone
        self._mailbox.put(gone)
        self.end_wait()

    def end_wait(self) -> None:
        """End the wait for a better placement, if the request waits for one now."""
        if self._wait is not None:
            self._wait.end()

    def end_for_stop(self) -> None:
        """Answer the caller before the process ends, unless the answer of a target has begun."""
        if self._hedging is not None and not self._answer.begun:
            self._is_stopped = True
            self._hedging.end_now()

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading the targets' answers."""
        if self._hedging is not None:
            self._dispatcher.set_reading(on)
            self._hedging.set_reading(on)

    def on_target_restarted(self, name: str) -> None:
        """Handle that a target has restarted under the same name."""
        if self._hedging is not None:
            self._hedging.on_target_restarted(name)

    def on_link_silent(self) -> None:
        """Handle that open connections over the box's own link may have fallen silent."""
        if self._hedging is not None:
            self._hedging.on_link_silent()

    # The task.

    async def run(self) -> Outcome:
        """Serve the request; return its outcome after the answer is written and logged."""
        try:
            outcome = await self._serve()
        except CallerGoneError as exc:
            outcome = Unknown(str(exc))
        except Exception as exc:
            self.has_failed = True
            _log.exception("request task failed", extra={"reason": repr(exc)})
            fault = Unknown("a fault of this box", HTTPStatus.INTERNAL_SERVER_ERROR)
            outcome = self._answer.fail(fault)
        finally:
            if self._dispatcher is not None:
                self._dispatcher.close()
            if self._unmarked_target:
                self._count_unmarked_end("not shown")
            if self._wait is not None:
                self._wait.note_end("not placed", self._demand)
        log_outcome(
            self._ctx,
            self._req,
            self._admitted,
            self._demand,
            outcome,
            self._attempt_count,
            self._times,
            self._path,
        )
        return outcome

    async def _serve(self) -> Outcome:
        admitted = self._ctx.admission.check(self._req)
        if not isinstance(admitted, Admitted):
            return self._answer.refuse(admitted)
        self._admitted = admitted
        left_s = admitted.metadata.time_left_s
        limit_s = min(
            admitted.route.time_limit_s, DEFAULT_TIME_LIMIT_S if left_s is None else left_s
        )
        self._deadline_s = self._req.arrived_s + limit_s
        if self._caller.comes_too_late(self._deadline_s):
            # Another box can serve it to its end.
            return self._answer.refuse(NotRun("the box is stopping", RETRY_AFTER_S))
        self._demand = self._make_demand(admitted)
        self._answer.set_worth(self._loss_worth(), self._deadline_s)
        self._dispatcher = AttemptDispatcher(
            ForwardedRequest(
                self._ctx,
                self._req,
                admitted,
                self._answer,
                self._mailbox,
                self._times,
                self._deadline_s,
            )
        )
        self._wait = EngineWait(self._ctx, admitted.metadata.request_id)
        self._ctx.retry_pool.note_request(self._demand.service.name)
        while True:
            end = await self._run_attempt()
            if isinstance(end, Done):
                return end.outcome
            final = await self._decide_next(end)
            if final is not None:
                return final

    def _loss_worth(self) -> float:
        """Return what the caller loses if its answer is dropped; more if it can't ask again."""
        factor = 1.0 if self._admitted.route.idempotent else UNREPEATABLE_LOSS_FACTOR
        return factor * self._demand.worth

    @cached_property
    def _digest(self) -> bytes:
        """The digest of the request's content, computed on first use."""
        organisation = self._admitted.organisation
        return request_digest(self._req, organisation.name if organisation else "")

    @cached_property
    def _parts(self) -> tuple[PartCause, ...]:
        """The parts of the prompt that other requests may share, computed on first use."""
        return part_causes(self._admitted.metadata.prompt_parts, self._demand.service.name)

    def _with_digest(self, demand: Demand) -> Demand:
        """Return the demand with the request's digests if any request is suspected of crashes."""
        if demand.digest or not self._ctx.suspicion.is_watching:
            return demand
        parts = tuple(part.digest for part in self._parts)
        return replace(demand, digest=self._digest, parts=parts)

    def _make_demand(self, admitted: Admitted) -> Demand:
        route, metadata = admitted.route, admitted.metadata
        shares = route.services
        weights = [max(0.0, share.weight) for share in shares]
        name = self._ctx.rng.choices(shares, weights if any(weights) else None)[0].service
        service = self._ctx.service_of(name)
        engine = service.engine
        prompt = metadata.prompt_tokens if engine is not None else 0
        answer = _likely_answer_tokens(metadata, engine) if engine is not None else 0
        first_due_s = self._req.arrived_s + route.objective_s
        organisation = admitted.organisation.name if admitted.organisation else ""
        ranks = self._ctx.ranks_of(name) if engine is not None else ()
        policy = self._ctx.policy_of(organisation, route.name) or default_policy(ranks)
        is_ranked = policy == RANKED_POLICY
        return Demand(
            service,
            prompt,
            answer,
            first_due_s,
            route.pause_objective_s,
            self._ctx.data_hall,
            policy,
            self._lost_at_s(route, answer, engine),
            rank_weight=rank_weight(admitted.urgency, ranks) if is_ranked else 1.0,
        )

    def _lost_at_s(self, route: Route, answer_tokens: int, engine: EngineTraits | None) -> float:
        """Return the latest useful time of the first event, by the monotonic clock."""
        writing_s = answer_tokens * engine.step_s if engine is not None else 0.0
        timeout_s = caller_timeout_s(route) if route.streaming else float("inf")
        return min(self._deadline_s - writing_s, self._req.arrived_s + timeout_s)

    # Attempts.

    async def _run_attempt(self) -> AttemptEnd:
        self._demand = self._with_digest(self._demand)
        may_wait = self._wait.may_wait(self._demand, self._attempt_count)
        prepared = await self._dispatcher.prepare(replace(self._demand, may_wait=may_wait))
        if self._gone is not None:
            # It left during placement or reservation.
            raise CallerGoneError(self._gone.reason)
        if not isinstance(prepared, Attempt):
            return prepared
        self._wait.note_end("placed", self._demand)
        self._held_since_s = None
        self._send(prepared)
        self._hedging = HedgedAttempts(
            self._ctx.clock, self._mailbox, self._deadline_s, prepared, self
        )
        if self._unmarked_target and self._answer.begun:
            self._limit_wait_for_end(self._hedging, self._caller_leaves_s() - RESUME_MARGIN_S)
        return await self._hedging.run()

    def _limit_wait_for_end(self, hedging: HedgedAttempts, until_s: float) -> None:
        """End a request whose caller then still waits for nothing but the end of its stream."""
        clock, sent = self._ctx.clock, self._answer.position

        def end_wait(due_s: float) -> None:
            if clock.seconds() - due_s > MAX_TIMER_LAG_S:
                # This process may have been suspended; answers that have come are handled first.
                clock.callLater(MAX_TIMER_LAG_S, end_wait, clock.seconds() + MAX_TIMER_LAG_S)
            elif hedging is self._hedging and self._answer.position == sent:
                hedging.end_now()

        if until_s < self._deadline_s:
            clock.callLater(max(0.0, until_s - clock.seconds()), end_wait, until_s)

    def _send(self, prepared: Attempt) -> None:
        self._dispatcher.send(prepared, self._demand)

    def attempt_ended(self, ended: Attempt, end: AttemptEnd) -> None:
        """End an attempt and log its failure.

        If a helping engine is at fault, the failure is recorded for it, not for the target.
        """
        ended_by = ended.relay.ended_by
        self._path = Path(ended.exchange.carrier, ended.exchange.tunnel_id, ended_by)
        if ended_by:
            self._ctx.metrics.answer_ends.labels(ended.service, ended_by).inc()
        if not isinstance(end, Done):
            log_attempt_end(
                self._ctx,
                self._admitted,
                self._demand,
                ended.choice,
                end,
                self._answer.begun,
                self._digest,
                self._path,
            )
        self._answer.note_partial(ended.exchange.attempt, 0)
        self._note_unmarked_end(ended, end)
        helper = _helper_at_fault(ended.choice, end)
        self._note_suspicion(ended, end, helper)
        if helper is None:
            by_connection = isinstance(end, Unreachable)
            ended.end(work_change_of(end), may_be_own_fault(end), by_connection)
        else:
            self._ctx.view.note_outcome(helper, failed=True, now_s=self._now_s())
            ended.end(gossip.WITHDRAWN)
        match end:
            case FailedAnswer():
                self._failed_answer = end
                self._count_run()
            case Lost() | EndNotShown() | Overtaken():
                self._count_run()
            case Unreachable():
                self._dispatcher.note_unsent(ended)
            case Withheld():
                self._withheld_count += 1
                self._dispatcher.undo_send(ended)

    def _note_suspicion(self, ended: Attempt, end: AttemptEnd, helper: str | None) -> None:
        """Record evidence from an ended attempt on whether the request crashes its targets.

        If the attempt was lost, any of its engines may have crashed, and if a helping engine was at
        fault, that engine; `Suspicion` finds out later which ones did. An answer is evidence
        against a crash.
        """
        suspicion, admitted = self._ctx.suspicion, self._admitted
        names = ended.choice.names if isinstance(end, Lost) else [helper] if helper else []
        if names:
            organisation = admitted.organisation.name if admitted.organisation else ""
            suspicion.note_lost(
                self._digest,
                names,
                admitted.route.name,
                organisation,
                self._parts,
                ended.plan.alone,
            )
            listening = partial(self._ctx.pool.is_listening, ended.choice.main)
            if self._demand.service.engine is None:
                start(suspicion.check(ended.target, listening)).addErrback(_log_call_failure)
            elif self._parts:
                start(suspicion.check_ended(ended.target, listening)).addErrback(_log_call_failure)
            self._demand = replace(self._demand, was_writing=ended.was_writing)
        elif isinstance(end, Done | FailedAnswer) and suspicion.is_watching:
            # An answer that ends with its connection may have been cut by the end of its engine.
            ran_to_end = end == Done(Completed()) and ended.relay.is_framed
            suspicion.note_served(self._digest, self._parts if ran_to_end else (), ended.sent_s)

    def _note_unmarked_end(self, ended: Attempt, end: AttemptEnd) -> None:
        """Record what a run shows of an earlier one whose answer has ended without a mark."""
        if self._unmarked_target and ended.relay.refutes_end:
            extra = {
                "request_id": self._admitted.metadata.request_id,
                "target": self._unmarked_target,
                "shown_by": ended.target,
            }
            _log.warning("an answer goes on where a target has ended it", extra=extra)
            self._count_unmarked_end("ended early")
        match end:
            case EndNotShown():
                self._unmarked_target = ended.target
            case Done(outcome=Completed()) if self._unmarked_target:
                self._count_unmarked_end("shown whole")

    def _count_unmarked_end(self, result: str) -> None:
        self._ctx.metrics.unmarked_ends.labels(self._demand.service.name, result).inc()
        self._unmarked_target = ""

    def time_up(self) -> Done:
        """Fail the request because its time or the box's is up; return how it ended."""
        reason = "the box stops, and the request may have run"
        reason = reason if self._is_stopped else "its time is up"
        return Done(self._answer.fail(Unknown(reason, HTTPStatus.GATEWAY_TIMEOUT)))

    # Hedges.

    def may_hedge(self, in_progress: int) -> bool:
        """Whether the request may run on one more target beside its attempts in progress."""
        route = self._admitted.route
        more = (
            self._run_count + in_progress < route.max_targets and self._attempt_count < MAX_ATTEMPTS
        )
        return route.idempotent and more

    async def search_hedge(self, silent: Attempt) -> Attempt | AttemptEnd:
        """Prepare a hedge of a silent attempt; return it, or why there is none."""
        demand = self._with_digest(self._demand)
        demand = replace(demand, committed=True, caller_leaves_s=self._caller_leaves_s())
        found = await self._dispatcher.prepare(demand, self._hedge_bounds(silent))
        if not isinstance(found, Attempt):
            log_no_hedge(self._admitted, silent.target, found)
            self._ctx.metrics.hedges.labels("none").inc()
        return found

    def _hedge_bounds(self, silent: Attempt) -> PlacementBounds:
        """Return the bounds on a hedge: its first event must come before the caller leaves.

        A target that is known to be reading prompts will answer by itself. Its hedge must be
        faster, and cost less than the request is worth: otherwise hedges would use up the retry
        budget and delay new requests on free engines.
        """
        if not self.is_silence_explained(silent):
            return PlacementBounds(self._caller_leaves_s())
        before_s = min(self._caller_leaves_s(), self._reads_until_s(silent))
        return PlacementBounds(before_s, self._demand.worth)

    def send_hedge(self, prepared: Attempt) -> None:
        """Send a hedge that was prepared by `search_hedge`."""
        self._ctx.metrics.hedges.labels("sent").inc()
        self._send(prepared)

    def _caller_leaves_s(self) -> float:
        """Return when the caller leaves if nothing is sent to it, by the monotonic clock.

        A caller that is still there after its usual timeout is assumed to wait for the deadline.
        """
        route = self._admitted.route
        timeout_s = caller_timeout_s(route) if route.streaming else float("inf")
        leaves_s = self._times.last_activity_s + timeout_s
        return min(self._deadline_s, leaves_s if leaves_s > self._now_s() else float("inf"))

    def check_report(self, silent: Attempt) -> None:
        """Check a silent attempt against a report of its engine, requesting one if none is fresh.

        Only boxes of the coordinator group receive the reports of all engines.
        """
        if not silent.plan.prompt_tokens:
            return
        state = self._ctx.view.state(silent.target)
        is_limited = self._ctx.view.limit(silent.target, self._now_s()) is not None
        if is_limited or self._ctx.view.backoff_s(silent.target, self._now_s()):
            # A report would use up a request of the target's rate limit, or breach its backoff.
            return
        if self._now_s() - state.reported_s <= FRESH_REPORT_AGE_S:
            silent.update_from_report(state.report)
        elif not self._asking_report:
            self._asking_report = True
            start(self._ask_report(silent)).addErrback(_log_call_failure).addBoth(
                self._report_answered
            )

    async def _ask_report(self, silent: Attempt) -> None:
        try:
            report = await read_report(self._ctx.clock, self._ctx.pool, silent.choice.main)
        except TargetBackoffError:
            return
        except TargetNotListeningError:
            report = None
        silent.update_from_report(report)
        if silent.appears_lost:
            extra = {
                "request_id": self._admitted.metadata.request_id,
                "target": silent.target,
                "prompt_tokens": silent.plan.prompt_tokens,
                "memory_used": None if report is None else report.memory_used,
            }
            _log.info("target does not hold a request that it was sent", extra=extra)

    def _report_answered(self, _result: object) -> None:
        self._asking_report = False

    def check_end(self, ended: Attempt) -> None:
        """Check whether the engines of an attempt live on whose answer a close has ended.

        A target also closes the connection in order if a helper that holds a part of the prompt has
        died.
        """
        choice = ended.choice
        entries = (choice.main, *choice.helpers) if choice.reserved else (choice.main,)
        reports_of = partial(self._reports_of, ended)
        checking = check_targets(self._ctx.pool, entries, reports_of, self._note_target_start)
        checking.addCallback(self._end_checked, ended).addErrback(_log_call_failure)

    def _reports_of(self, ended: Attempt, entry: TargetEntry) -> Reports:
        """Return what a target's report can show of its life; other runs show more."""
        state = self._ctx.view.state(entry.name)
        # A call would use up a request of the target's rate limit.
        is_limited = self._ctx.view.limit(entry.name, self._now_s()) is not None
        if self._demand.service.engine is None or ended.relay.can_be_shown or is_limited:
            return Reports.NONE
        has_reported = state.report is not None or (
            entry.service in self._ctx.pool.reporting_services
        )
        is_expected = has_reported and not state.reports_missing
        return Reports.EXPECTED if is_expected else Reports.POSSIBLE

    def _note_target_start(self, entry: TargetEntry, report: TargetReport) -> None:
        self._ctx.view.note_start(entry.name, report.born, self._now_s())

    def _end_checked(self, life: TargetLife, ended: Attempt) -> None:
        if ended.target_restarted:
            life = TargetLife.GONE
        if life is not TargetLife.LIVES:
            extra = {
                "request_id": self._admitted.metadata.request_id,
                "target": ended.target,
                "result": life.value,
            }
            _log.warning("the end of an answer is not believed", extra=extra)
        self._mailbox.put(EndChecked(ended.exchange.attempt, life))

    def is_silence_explained(self, silent: Attempt) -> bool:
        """Whether the target reports and is reading prompts that explain its silence."""
        now_s = self._now_s()
        suspect = silent.appears_lost or self._ctx.view.state(silent.target).is_unresponsive
        return not suspect and self._reads_until_s(silent) > now_s

    def _reads_until_s(self, silent: Attempt) -> float:
        """Return until when a target is expected to read prompts, by the monotonic clock."""
        ledger = self._ctx.view.state(silent.target).ledger
        until_s = ledger.reads_until_s(self._demand.service.engine or EngineTraits())
        return float("-inf") if until_s is None else until_s

    # Between attempts.

    async def _decide_next(self, end: AttemptEnd) -> Outcome | None:
        """Return the outcome if the request ends here, None for a further attempt."""
        route = self._admitted.route
        match end:
            case WaitForEngine(wait_s=wait_s):
                await self._wait.pause(min(wait_s, max(0.0, self._deadline_s - self._now_s())))
                if self._gone is not None:
                    raise CallerGoneError(self._gone.reason)
                return None
            case OverBudget():
                return self._give_up("the repeats that may be sent are used up")
            case NoTargetInTime(retry_after_s=retry_after_s):
                reason = "no target can begin it before its caller leaves"
                return self._give_up(reason, retry_after_s)
            case RequestCondemned(retry_after_s=retry_after_s, part=part):
                self._ctx.metrics.barred.inc()
                reason = "the targets that run it end"
                if part:
                    name = self._ctx.suspicion.part_name(part)
                    reason = f"the targets that run part {name} of its prompt end"
                return self._give_up(reason, retry_after_s)
            case RequestOnHold(reason=reason):
                return await self._wait_for_test(reason)
            case AllLeave(retry_after_s=retry_after_s):
                reason = "all targets of the service leave"
                return self._give_up(reason, self._jittered_s(retry_after_s))
            case AllEvacuated(retry_after_s=retry_after_s):
                self._ctx.metrics.refused_evacuated.inc()
                reason = "all targets of the service are in evacuated data halls"
                return self._give_up(reason, self._jittered_s(retry_after_s))
            case AllCutOff(retry_after_s=retry_after_s):
                reason = "neither this box nor a peer reaches a target of the service"
                return self._give_up(reason, self._jittered_s(retry_after_s))
            case AllTargetsClosed(retry_after_s=retry_after_s):
                return await self._wait_or_refuse(retry_after_s)
            case Withheld(reason=reason):
                # Placed again without a pause, as another target may take the request at once.
                is_over = self._now_s() >= self._deadline_s or self._withheld_count >= MAX_WITHHELD
                return self._give_up(reason) if is_over else None
            case Refused(reason=reason):
                waited_s = self._now_s() - self._req.arrived_s - self._wait.waited_s
                waited_too_long = (
                    not end.at_target and waited_s > MAX_WAIT_SHARE * route.objective_s
                )
                if (
                    waited_too_long
                    or self._attempt_count >= MAX_ATTEMPTS
                    or self._now_s() >= self._deadline_s
                ):
                    return self._give_up(reason)
                if not end.at_target:
                    await self._pause(NO_ROOM_PAUSE_S)
                return None
            case Unreachable(reason=reason):
                is_over = self._attempt_count >= MAX_ATTEMPTS or self._now_s() >= self._deadline_s
                return self._give_up(reason) if is_over else None
            case Lost(reason=reason):
                if not self._may_run_again():
                    return self._answer.fail(Unknown(reason))
                if self._parts and not self._demand.was_writing:
                    await self._pause(self._ctx.rng.uniform(*REPEAT_DELAY_S))
                return None
            case EndNotShown(reason=reason):
                return None if self._may_run_again() else self._answer.fail(Unknown(reason))
            case FailedAnswer():
                return None if self._may_run_again() else self._forward_failure(end)
        raise AssertionError(f"unexpected end of an attempt: {end}")

    async def _wait_or_refuse(self, retry_after_s: float) -> Outcome | None:
        """Wait if a target takes requests again soon, else refuse the request."""
        wait_until_s = (
            self._req.arrived_s
            + self._wait.waited_s
            + MAX_WAIT_SHARE * self._admitted.route.objective_s
        )
        if self._now_s() + retry_after_s <= wait_until_s:
            await self._pause(retry_after_s)
            return None
        self._ctx.metrics.places.labels("none").inc()
        reason = "no target takes more, by the rates and rests that they have named"
        return self._give_up(reason, self._jittered_s(retry_after_s))

    async def _wait_for_test(self, reason: str) -> Outcome | None:
        """Wait while a part of the prompt is tested, up to the objective; then refuse the request.

        A test takes as long as one answer, after which most requests that wait are served. One
        that has run before can't be refused as not run, and waits as long as its caller does.
        """
        now_s = self._now_s()
        if self._held_since_s is None:
            self._held_since_s = now_s
        until_s = self._held_since_s + self._admitted.route.objective_s
        if self._run_count:
            until_s = max(until_s, self._caller_leaves_s())
        if now_s >= min(until_s, self._deadline_s) or self._ctx.is_draining:
            self._ctx.metrics.refused_on_hold.inc()
            return self._give_up(reason, self._jittered_s(TEST_RETRY_S))
        await self._pause(HOLD_PAUSE_S)
        if self._gone is not None:
            raise CallerGoneError(self._gone.reason)
        return None

    def _jittered_s(self, retry_after_s: float) -> float:
        """Return a Retry-After with random jitter, so that callers do not all return at once."""
        return retry_after_s * self._ctx.rng.uniform(1.0, RETRY_AFTER_SPREAD)

    def _count_run(self) -> None:
        """Count an attempt that may have run; later refusals can't state that nothing ran."""
        self._run_count += 1
        self._demand = replace(self._demand, committed=True)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        in_time = self._now_s() < self._deadline_s
        # A plain answer that is partly sent cannot be continued by another attempt.
        joinable = route.streaming or not self._answer.begun
        return route.idempotent and joinable and self._run_count < route.max_targets and in_time

    async def _pause(self, pause_s: float) -> None:
        await sleep(self._ctx.clock, min(pause_s, max(0.0, self._deadline_s - self._now_s())))

    def _now_s(self) -> float:
        return self._ctx.clock.seconds()

    @property
    def _attempt_count(self) -> int:
        return self._dispatcher.attempt_count if self._dispatcher is not None else 0

    def _give_up(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> Outcome:
        if self._failed_answer is not None:
            return self._forward_failure(self._failed_answer)
        if self._run_count:
            return self._answer.fail(Unknown(reason))
        return self._answer.refuse(NotRun(reason, retry_after_s))

    def _forward_failure(self, answer: FailedAnswer) -> Outcome:
        if self._answer.begun:
            return self._answer.fail(Unknown(f"status {answer.head.status} while resuming"))
        if answer.head.status in NOT_RUN_STATUSES and not self._admitted.route.idempotent:
            reason = f"status {answer.head.status} from a target that may have run it"
            return self._answer.fail(Unknown(reason))
        if answer.body is None:
            reason = f"status {answer.head.status} from a target: {answer.reason}"
            return self._answer.fail(Unknown(reason))
        self._answer.begin(answer.head)
        self._answer.send(answer.body)
        self._answer.end()
        return Failed("failed at the target", known_status(answer.head.status))


def _log_call_failure(failure) -> None:
    _log.error("call to a target failed", extra={"reason": failure.getTraceback()})


def _likely_answer_tokens(metadata: CallerMetadata, engine: EngineTraits) -> int:
    likely = metadata.answer_length_hint or min(metadata.answer_tokens, int(engine.usual_answer))
    return max(1, min(likely, metadata.answer_tokens or likely))


def _helper_at_fault(choice: Choice, end: AttemptEnd) -> str | None:
    """Return the helping engine that caused a refusal, None if there is none."""
    if not isinstance(end, Refused) or not end.at_fault:
        return None
    names = {f"{entry.host}:{entry.port}": entry.name for entry in choice.helpers}
    name = names.get(end.at_fault, end.at_fault)
    return name if name in {entry.name for entry in choice.helpers} else None


def start_request(
    ctx: ForwardContext, req: CallerRequest, caller: CallerConnection
) -> tuple[RequestTask, defer.Deferred[Outcome]]:
    """Start serving a request; the deferred fires with its outcome."""
    task = RequestTask(ctx, req, caller)
    return task, start(task.run())
