"""Log lines and metrics of a request: where attempts go, why they fail, how the request ends."""

import logging
from typing import NamedTuple

from ..connections.messages import CallerRequest
from ..outcome import Completed, Outcome, http_status, outcome_name
from ..placing.choosing import Choice, Demand
from ..placing.fleet_view import shown_age_s
from ..scheduling.engine_model import EngineTraits
from .admission import Admitted
from .attempt_ends import AttemptEnd, Done, FailedAnswer
from .caller_answer import request_id_of
from .context import ForwardContext
from .event_times import EventTimes

__all__ = ["Path", "log_attempt", "log_attempt_end", "log_no_hedge", "log_outcome"]

_log = logging.getLogger(__name__)


class Path(NamedTuple):
    """The path of an attempt, and how its answer ended.

    Parameters
    ----------
    carrier, tunnel : str
        The peer that carried it, and the tunnel's number in its log; empty for the own link.
    answer_end : str
        As `Relay.ended_by`.
    """

    carrier: str = ""
    tunnel: str = ""
    answer_end: str = ""


def log_attempt(
    ctx: ForwardContext,
    admitted: Admitted,
    demand: Demand,
    choice: Choice,
    number: int,
    last_event_id: bytes | None,
    in_progress: int,
) -> None:
    """Log the placement of an attempt and the predictions that it is based on.

    `number` counts the attempts of the request from 1 and is logged as `offer`. `in_progress` is
    the number of other attempts that this one hedges, logged as `hedge_of`. In the line, `beside`
    is the number of other requests in the target's ledger, and `loss` the expected loss of worth
    over all requests.
    """
    state = ctx.view.state(choice.main.name)
    now_s = ctx.clock.seconds()
    _log.info(
        "request placed",
        extra={
            "request_id": admitted.metadata.request_id,
            "target": choice.main.name,
            "helpers": len(choice.helpers),
            "helper_names": [entry.name for entry in choice.helpers],
            "offer": number,
            "decided_by": choice.decided_by or ctx.box,
            "policy": demand.policy,
            "loss": round(choice.loss, 3),
            "predicted_s": round(choice.first_event_s, 3),
            "predicted_pause_s": round(choice.pause_s, 3),
            "beside": len(state.ledger.rows) - 1,
            "list_age_s": round(ctx.targets.age_s, 3),
            "report_age_s": shown_age_s(state, now_s),
            "prompt_tokens": demand.prompt_tokens,
            "hedge_of": in_progress,
            "resumes_after": (last_event_id or b"").decode("latin-1"),
        },
    )


def log_attempt_end(
    ctx: ForwardContext,
    admitted: Admitted,
    demand: Demand,
    choice: Choice,
    end: AttemptEnd,
    begun: bool,
    digest: bytes,
    path: Path,
) -> None:
    """Log an attempt that did not complete the request.

    `begun` tells whether the head was sent to the caller. `digest` identifies repeats of the same
    request by callers. The report's age and `reads_on_s` tell a target that is busy reading
    prompts from one that has failed.
    """
    if isinstance(end, Done):
        return
    status = end.head.status if isinstance(end, FailedAnswer) else None
    state, now_s = ctx.view.state(choice.main.name), ctx.clock.seconds()
    reads_until_s = state.ledger.reads_until_s(demand.service.engine or EngineTraits())
    _log.info(
        "try failed",
        extra={
            "request_id": admitted.metadata.request_id,
            "request_digest": digest.hex(),
            "target": choice.main.name,
            "end": type(end).__name__,
            "reason": getattr(end, "reason", ""),
            "status": status,
            **path._asdict(),
            "begun": begun,
            "report_age_s": shown_age_s(state, now_s),
            "suspect": state.is_unresponsive,
            "reads_on_s": _round_s(None if reads_until_s is None else reads_until_s - now_s),
        },
    )


def log_no_hedge(admitted: Admitted, target: str, end: AttemptEnd) -> None:
    """Log why a silent attempt gets no hedge."""
    _log.info(
        "no hedge",
        extra={
            "request_id": admitted.metadata.request_id,
            "target": target,
            "end": type(end).__name__,
            "reason": getattr(end, "reason", ""),
        },
    )


def log_outcome(
    ctx: ForwardContext,
    req: CallerRequest,
    admitted: Admitted | None,
    demand: Demand | None,
    outcome: Outcome,
    attempt_count: int,
    times: EventTimes,
    path: Path,
) -> None:
    """Log and count the end of a request; `admitted` and `demand` are None if not admitted.

    `path` is that of the attempt that ended last. In the line, `offers` is the number of attempts,
    `offered_s` the time from the arrival to the first attempt, and `pause_limit_s` the route's
    pause objective.
    """
    name = outcome_name(outcome)
    took_s = ctx.clock.seconds() - req.arrived_s
    ctx.metrics.outcomes.labels(name).inc()
    ctx.metrics.took_s.labels(name).observe(took_s)
    result = ""
    if admitted is not None and demand is not None:
        result = served_result(admitted, outcome, times, took_s)
        rank = str(min(9, max(0, admitted.urgency)))
        ctx.metrics.served.labels(demand.service.name, rank, result).inc()
    if times.first_part_s is not None:
        ctx.metrics.longest_pause_s.observe(times.longest_pause_s)
    _log.info(
        "request ended",
        extra={
            "request_id": request_id_of(req),
            "outcome": name,
            "served": result,
            "status": http_status(outcome),
            "reason": getattr(outcome, "reason", ""),
            **_route_fields(admitted),
            "data_hall": ctx.data_hall,
            "prompt_tokens": demand.prompt_tokens if demand else 0,
            "offers": attempt_count,
            **path._asdict(),
            "offered_s": _round_s(times.first_attempt_s),
            "took_s": round(took_s, 3),
            "first_event_s": _round_s(times.first_part_s),
            "longest_pause_s": round(times.longest_pause_s, 3),
            "pause_began_s": round(times.longest_pause_began_s, 3),
        },
    )


def served_result(admitted: Admitted, outcome: Outcome, times: EventTimes, took_s: float) -> str:
    """Return ``in time``, ``late`` or ``lost``, by the objectives of the route."""
    if not isinstance(outcome, Completed):
        return "lost"
    route = admitted.route
    first_s = times.first_part_s if times.first_part_s is not None else took_s
    if not route.streaming:
        return "in time" if took_s <= route.objective_s else "late"
    in_time = first_s <= route.objective_s and times.longest_pause_s <= route.pause_objective_s
    return "in time" if in_time else "late"


def _route_fields(admitted: Admitted | None) -> dict[str, object]:
    """Return the log fields for the route, its objectives and the organisation."""
    if admitted is None:
        return {"route": ""}
    route, organisation = admitted.route, admitted.organisation
    return {
        "route": route.name,
        "rank": admitted.urgency,
        "organisation": organisation.name if organisation is not None else "",
        "objective_s": route.objective_s,
        "pause_limit_s": route.pause_objective_s if route.streaming else None,
    }


def _round_s(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s, 3)
