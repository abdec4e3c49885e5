"""The life of a forwarded request: admission, tries, retries, one outcome.

Each request is one task. It gets messages from its caller's connection and from the connection
to its target, and matches on them. It alone writes the answer.
"""

import itertools
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..outcome import Completed, Failed, NotRun, Outcome, Unknown, http_status, outcome_name
from ..platform.heads import (
    SentMarks,
    answer_headers,
    answer_marks,
    caller_marks,
    forward_headers,
    refusal_headers,
)
from ..routes import Route, Service
from ..utils import sleep, start
from . import gossip
from .admission import Admission, Admitted
from .beliefs import TargetKeeper
from .caller_conn import CallerConnection
from .choosing import Choice, Chooser, Demand
from .events import EventSplitter, is_newer
from .fleet_view import FleetView, WorkPlan, note_of
from .measures import ForwardMetrics
from .messages import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    CallerGone,
    CallerRequest,
    Mailbox,
    TimeIsUp,
)
from .placing import Placer
from .repeats import RepeatShares
from .reservations import ReservationSet
from .target_conn import Exchange, NotNowError, RequestHead, TargetPool
from .try_ends import (
    NOT_RUN_STATUSES,
    Done,
    FailedAnswer,
    Lost,
    OverBudget,
    Refused,
    TryEnd,
    outcome_of_status,
    work_change_of,
)

__all__ = ["ForwardContext", "RequestTask", "start_request"]

FULL_PAUSE_S = 0.06
"""Pause before a request that no target took is offered again, in seconds."""

RETRY_AFTER_S = 0.25
"""When a caller may come back after a refusal, in seconds: a few passes of an engine."""

WAIT_SHARE = 0.25
"""A request for which there is no place is refused after this share of its objective: soon enough
for its caller to be served in time elsewhere."""

MOST_OFFERS = 6
"""The most targets that a request is offered to, refusals included."""

REPEAT_SILENCE_X, REPEAT_SILENCE_S = 3.0, 0.5
"""A plain request that may be repeated goes elsewhere after this many times its objective, but
not before so many seconds."""

FIRST_SILENCE_X, FIRST_SILENCE_S = 2.5, 0.7
"""A resumable stream whose first event is later than predicted by this factor and so many
seconds is begun elsewhere if its target gives no reports either."""

PAUSE_SILENCE_X, PAUSE_SILENCE_S = 3.0, 0.4
"""A resumable stream that pauses for longer than this many times the pause aimed at, and so many
seconds more, is continued elsewhere if its target gives no reports either."""

PATIENCE_SHARE = 0.7
"""A target that still reports is busy, not dead: moving a stream would not make it timely, and
costs its prompt again. After this share of the time that the caller waits for an event it is
moved all the same, so that it is late and not lost."""

SUSPECT_CHECK_S = 0.1
"""How often a quiet target is looked at again, in seconds."""

BUFFERED_BYTES = 262_144
"""A plain answer up to this size is sent on when it is whole, so that it can still be repeated."""

LONGEST_S = 600.0
"""How long a request may take if neither its caller nor its route says, in seconds."""

_log = logging.getLogger(__name__)
_work_ids = itertools.count(1)


@dataclass
class ForwardContext:
    """What all requests of a box share.

    Parameters
    ----------
    box : str
        This start of this box.
    clock : IReactorTime
        A monotonic clock.
    data_hall : str
        Where it stands.
    admission, targets, chooser, placer, view, pool, port : various
        The box's parts.
    repeats : RepeatShares
        This box's share of the fleet's repeats.
    free_bound_s, reservation_most_s : float
        See `ForwardSettings`.
    metrics : ForwardMetrics
        Counters and histograms.
    service_of : callable
        Returns what is known of a service, by its name.
    policy_of : callable
        Returns the policy that the table names for an organisation and a route.
    rng : random.Random
        For the shares of services.
    """

    box: str
    data_hall: str
    clock: IReactorTime
    admission: Admission
    targets: TargetKeeper
    chooser: Chooser
    placer: Placer
    view: FleetView
    pool: TargetPool
    port: gossip.GossipPort
    repeats: RepeatShares
    free_bound_s: float
    reservation_most_s: float
    metrics: ForwardMetrics
    service_of: Callable[[str], Service]
    policy_of: Callable[[str, str], str]
    rng: random.Random = field(default_factory=random.Random)


class _CallerGoneError(Exception):
    """The caller has left."""


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
        self._caller = caller
        self._mail = Mailbox(ctx.clock)
        self._admitted: Admitted | None = None
        self._demand: Demand | None = None
        self._until_s = float("inf")
        self._exchange: Exchange | None = None
        self._plan: WorkPlan | None = None
        self._reservations: ReservationSet | None = None
        self._choice: Choice | None = None
        self._tried: list[str] = []
        self._ran_at = 0
        self._offers = 0
        self._head_sent = False
        self._last_event_id: bytes | None = None
        self._first_event_s: float | None = None
        self._failed_answer: FailedAnswer | None = None

    # What the caller's connection calls.

    def caller_gone(self) -> None:
        """The caller has closed its connection."""
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
        except _CallerGoneError:
            outcome = Unknown("the caller has left")
        finally:
            self._end_try(gossip.WITHDRAWN)
        self._log_outcome(outcome)
        return outcome

    async def _serve(self) -> Outcome:
        admitted = self._ctx.admission.check(self._req)
        if not isinstance(admitted, Admitted):
            return self._refuse(admitted)
        self._admitted = admitted
        self._demand = self._make_demand(admitted)
        left_s = admitted.marks.time_left_s
        limit_s = min(admitted.route.time_limit_s, LONGEST_S if left_s is None else left_s)
        self._until_s = self._req.arrived_s + limit_s
        self._ctx.repeats.note_request(self._demand.service.name, self._now_s())
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
        answer = 0
        if engine is not None:
            likely = marks.answer_guess or min(marks.answer_tokens, int(engine.usual_answer))
            answer = max(1, min(likely, marks.answer_tokens or likely))
        prompt = marks.prompt_tokens if engine is not None else 0
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
        )

    # One try.

    async def _try_once(self) -> TryEnd:
        work_id = f"{self._ctx.box}.{next(_work_ids)}"
        placed = await self._ctx.placer.place(work_id, self._demand, self._tried)
        if placed is None:
            return Refused("no target has room", at_target=False)
        choice, self._plan = placed
        self._choice = choice
        if self._offers and not self._take_repeat():
            self._end_try(gossip.WITHDRAWN)
            return OverBudget()
        helpers = tuple(f"{entry.host}:{entry.port}" for entry in choice.helpers)
        if choice.reserved:
            refused = await self._reserve(work_id, choice)
            if refused:
                self._end_try(gossip.WITHDRAWN)
                return Refused(f"no memory at {', '.join(refused)}", at_target=False)
            helpers = tuple(f"{helper}/{work_id}" for helper in helpers)
        self._offers += 1
        self._log_try(choice)
        self._tried.append(choice.main.name)
        self._exchange = self._ctx.pool.begin(
            (choice.main.host, choice.main.port),
            lambda: self._make_head(choice, helpers),
            self._req.body,
            self._admitted.marks.request_id,
            self._admitted.route.idempotent,
            self._mail.put,
        )
        if self._admitted.route.streaming and self._admitted.route.resumable:
            end = await self._relay_events()
        else:
            end = await self._relay_whole()
        self._log_try_end(end)
        self._end_try(work_change_of(end))
        return end

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
        now_s = self._ctx.clock.seconds()
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
            last_event_id=self._last_event_id,
            helpers=helpers,
        )
        body_length = len(self._req.body) if self._req.has_body else None
        headers = forward_headers(self._req.headers, body_length, marks)
        return RequestHead(self._req.method, self._req.target, headers)

    async def _next(self, until_s: float):
        """Return the next message of the try under way; raises if the caller has left."""
        while True:
            message = await self._mail.get(until_s)
            match message:
                case CallerGone():
                    raise _CallerGoneError
                case TimeIsUp():
                    if self._ctx.clock.seconds() >= until_s:
                        return message
                case _ if message.attempt == self._exchange.attempt:
                    return message

    async def _relay_whole(self) -> TryEnd:
        """Collect a plain answer, or pass on a stream that can't be resumed."""
        route = self._admitted.route
        patience_s = float("inf")
        if route.idempotent and len(self._tried) < route.max_targets:
            patience_s = max(REPEAT_SILENCE_S, REPEAT_SILENCE_X * route.objective_s)
        quiet_until_s = self._ctx.clock.seconds() + patience_s
        head: AnswerHead | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._next(min(self._until_s, quiet_until_s))
            match message:
                case TimeIsUp():
                    if self._ctx.clock.seconds() >= self._until_s:
                        return self._out_of_time()
                    return Lost("no answer from the target")
                case AnswerBroken(sent=False, reason=reason, unreachable=unreachable):
                    return Refused(reason, at_target=unreachable)
                case AnswerBroken(reason=reason):
                    return Lost(reason)
                case AnswerHead():
                    refused = self._refusal(message)
                    if refused is not None:
                        return refused
                    head = message
                    if route.streaming and head.status == HTTPStatus.OK:
                        self._send_head(head)
                case AnswerData(data=data):
                    if self._head_sent:
                        self._note_first_event()
                        self._caller.send_data(data)
                        continue
                    parts.append(data)
                    size += len(data)
                    if size > BUFFERED_BYTES:
                        self._send_head(head)
                        self._caller.send_data(b"".join(parts))
                        parts = []
                case AnswerEnd():
                    return self._finish_whole(head, b"".join(parts))

    def _finish_whole(self, head: AnswerHead, body: bytes) -> TryEnd:
        failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR or head.status in NOT_RUN_STATUSES
        if not self._head_sent and failed:
            return FailedAnswer(head, body)
        if not self._head_sent:
            self._send_head(head)
            self._caller.send_data(body)
        self._caller.end_answer()
        return Done(outcome_of_status(head.status))

    async def _relay_events(self) -> TryEnd:
        """Pass on a stream event by event, so that another target can continue it."""
        route = self._admitted.route
        splitter = EventSplitter()
        head: AnswerHead | None = None
        heard_s = self._now_s()
        first_s = FIRST_SILENCE_X * self._choice.first_event_s + FIRST_SILENCE_S
        quiet_until_s = heard_s + max(first_s, route.objective_s)
        pause_s = PAUSE_SILENCE_X * route.pause_objective_s + PAUSE_SILENCE_S
        if self._ran_at + 1 >= route.max_targets:
            quiet_until_s = pause_s = float("inf")
        most_s = PATIENCE_SHARE * _caller_patience_s(route)
        while True:
            message = await self._next(min(self._until_s, quiet_until_s))
            match message:
                case TimeIsUp():
                    now_s = self._now_s()
                    if now_s >= self._until_s:
                        return self._out_of_time()
                    patient_until_s = heard_s + most_s
                    state = self._ctx.view.state(self._choice.main.name)
                    if now_s >= patient_until_s or state.is_suspect(now_s):
                        return Lost("the target has fallen silent")
                    quiet_until_s = min(patient_until_s, now_s + SUSPECT_CHECK_S)
                case AnswerBroken(sent=False, reason=reason, unreachable=unreachable):
                    return Refused(reason, at_target=unreachable)
                case AnswerBroken(reason=reason):
                    return Lost(reason)
                case AnswerHead():
                    refused = self._refusal(message)
                    if refused is not None:
                        return refused
                    head = message
                    if head.status != HTTPStatus.OK:
                        return await self._read_failure(head)
                case AnswerData(data=data):
                    for event in splitter.feed(data):
                        heard_s = self._now_s()
                        quiet_until_s = heard_s + pause_s
                        if not is_newer(event.event_id, self._last_event_id):
                            continue
                        self._send_head(head)
                        self._note_first_event()
                        self._caller.send_data(event.raw)
                        self._last_event_id = event.event_id or self._last_event_id
                case AnswerEnd():
                    if splitter.rest and not _is_framed(head):
                        return Lost("the stream ends within an event")
                    self._send_head(head)
                    self._caller.send_data(splitter.rest)
                    self._caller.end_answer()
                    return Done(Completed())

    async def _read_failure(self, head: AnswerHead) -> TryEnd:
        parts: list[bytes] = []
        while True:
            match await self._next(self._until_s):
                case AnswerData(data=data):
                    parts.append(data)
                case AnswerEnd():
                    return FailedAnswer(head, b"".join(parts))
                case AnswerBroken(reason=reason):
                    return Lost(reason)
                case TimeIsUp():
                    return self._out_of_time()

    def _refusal(self, head: AnswerHead) -> Refused | None:
        marks = answer_marks(head.status, head.headers)
        if not marks.not_run:
            return None
        return Refused(f"status {head.status} from the target", at_target=True)

    def _send_head(self, head: AnswerHead) -> None:
        if not self._head_sent:
            self._head_sent = True
            self._caller.send_head(head.status, answer_headers(head.headers))

    def _note_first_event(self) -> None:
        if self._first_event_s is not None:
            return
        now_s = self._ctx.clock.seconds()
        self._first_event_s = now_s - self._req.arrived_s
        self._ctx.metrics.first_event_s.observe(self._first_event_s)
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
            now_s = self._ctx.clock.seconds()
            self._ctx.view.note_verdict(self._plan.targets[0], failed, now_s)
        self._ctx.port.tell_work(note_of(self._plan, change))
        self._plan = None

    # Between tries.

    async def _after(self, end: TryEnd) -> Outcome | None:
        """Return the outcome if the request ends here, None if it is tried again."""
        route = self._admitted.route
        match end:
            case OverBudget():
                return self._give_up_unrun("this box's share of repeats is used up")
            case Refused(reason=reason):
                waited_s = self._now_s() - self._req.arrived_s
                no_place = not end.at_target and waited_s > WAIT_SHARE * route.objective_s
                if no_place or self._offers >= MOST_OFFERS or self._now_s() >= self._until_s:
                    return self._give_up_unrun(reason)
                if not end.at_target:
                    await self._pause(FULL_PAUSE_S)
                return None
            case Lost(reason=reason):
                self._ran_at += 1
                return None if self._may_run_again() else self._fail(Unknown(reason))
            case FailedAnswer():
                self._ran_at += 1
                self._failed_answer = end
                return None if self._may_run_again() else self._pass_failure(end)
        raise AssertionError(f"not an end of a try: {end}")

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        in_time = self._now_s() < self._until_s
        return route.idempotent and self._ran_at < route.max_targets and in_time

    def _take_repeat(self) -> bool:
        allowed = self._ctx.repeats.take(self._demand.service.name, self._now_s())
        self._ctx.metrics.repeats.labels("sent" if allowed else "over budget").inc()
        return allowed

    async def _pause(self, pause_s: float) -> None:
        await sleep(self._ctx.clock, min(pause_s, max(0.0, self._until_s - self._now_s())))

    def _now_s(self) -> float:
        return self._ctx.clock.seconds()

    def _give_up_unrun(self, reason: str) -> Outcome:
        if self._failed_answer is not None:
            return self._pass_failure(self._failed_answer)
        if self._ran_at:
            return self._fail(Unknown(reason))
        return self._refuse(NotRun(reason, RETRY_AFTER_S))

    def _pass_failure(self, answer: FailedAnswer) -> Outcome:
        if self._head_sent:
            return self._fail(Unknown(f"status {answer.head.status} while resuming"))
        if answer.head.status in NOT_RUN_STATUSES and not self._admitted.route.idempotent:
            reason = f"status {answer.head.status} from a target that may have run it"
            return self._fail(Unknown(reason))
        self._send_head(answer.head)
        self._caller.send_data(answer.body)
        self._caller.end_answer()
        return Failed("failed at the target", HTTPStatus(answer.head.status))

    def _out_of_time(self) -> Done:
        reason = "its time is up"
        return Done(self._fail(Unknown(reason, HTTPStatus.GATEWAY_TIMEOUT)))

    # Answers of the box's own.

    def _refuse(self, outcome: NotRun | Failed) -> Outcome:
        retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else None
        self._answer(http_status(outcome), outcome.reason, retry_after_s)
        return outcome

    def _fail(self, outcome: Unknown) -> Outcome:
        if self._head_sent:
            self._caller.abort_answer()
        else:
            self._answer(http_status(outcome), outcome.reason, None)
        return outcome

    def _answer(self, status: int, reason: str, retry_after_s: float | None) -> None:
        text = reason.encode("latin-1", "replace")
        request_id = self._admitted.marks.request_id if self._admitted else _id_of(self._req)
        headers = refusal_headers(request_id, retry_after_s)
        headers.append((b"content-length", b"%d" % len(text)))
        self._head_sent = True
        self._caller.send_head(status, headers)
        self._caller.send_data(text)
        self._caller.end_answer()

    # Logs.

    def _log_try(self, choice: Choice) -> None:
        state = self._ctx.view.state(choice.main.name)
        now_s = self._now_s()
        _log.info(
            "request placed",
            extra={
                "request_id": self._admitted.marks.request_id,
                "target": choice.main.name,
                "helpers": len(choice.helpers),
                "helper_names": [entry.name for entry in choice.helpers],
                "offer": self._offers,
                "policy": self._demand.policy,
                "loss": round(choice.loss, 3),
                "predicted_s": round(choice.first_event_s, 3),
                "beside": len(state.ledger.rows) - 1,
                "list_age_s": round(self._ctx.targets.age_s, 3),
                "report_age_s": round(min(now_s - state.reported_s, 999.0), 3),
                "resumes_after": (self._last_event_id or b"").decode("latin-1"),
            },
        )

    def _log_try_end(self, end: TryEnd) -> None:
        if isinstance(end, Done):
            return
        status = end.head.status if isinstance(end, FailedAnswer) else None
        _log.info(
            "try failed",
            extra={
                "request_id": self._admitted.marks.request_id,
                "target": self._choice.main.name,
                "end": type(end).__name__,
                "reason": getattr(end, "reason", ""),
                "status": status,
                "begun": self._head_sent,
            },
        )

    def _log_outcome(self, outcome: Outcome) -> None:
        name = outcome_name(outcome)
        took_s = self._now_s() - self._req.arrived_s
        self._ctx.metrics.outcomes.labels(name).inc()
        self._ctx.metrics.took_s.labels(name).observe(took_s)
        first_s = self._first_event_s
        _log.info(
            "request ended",
            extra={
                "request_id": _id_of(self._req),
                "outcome": name,
                "status": http_status(outcome),
                "reason": getattr(outcome, "reason", ""),
                "route": self._admitted.route.name if self._admitted else "",
                "prompt_tokens": self._demand.prompt_tokens if self._demand else 0,
                "offers": self._offers,
                "took_s": round(took_s, 3),
                "first_event_s": None if first_s is None else round(first_s, 3),
            },
        )


def start_request(
    ctx: ForwardContext, req: CallerRequest, caller: CallerConnection
) -> tuple[RequestTask, defer.Deferred[Outcome]]:
    """Begin to serve a request; the deferred fires with its outcome."""
    task = RequestTask(ctx, req, caller)
    return task, start(task.run())


def _caller_patience_s(route: Route) -> float:
    """Return how long a caller waits for an event before it gives the stream up, in seconds."""
    return max(2.0, 4 * route.objective_s, 8 * route.pause_objective_s)


def _is_framed(head: AnswerHead) -> bool:
    names = {name for name, _ in head.headers}
    return bool(names & {b"content-length", b"transfer-encoding"})


def _id_of(req: CallerRequest) -> str:
    return caller_marks(req.headers).request_id
