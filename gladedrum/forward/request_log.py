"""What is logged and counted of a request: where each try goes, how it fails, how all ends."""

import logging

from ..connections.messages import CallerRequest
from ..outcome import Outcome, http_status, outcome_name
from ..placing.choosing import Choice, Demand
from ..placing.fleet_view import shown_age_s
from ..scheduling.engine_model import EngineTraits
from .admission import Admitted
from .caller_answer import request_id_of
from .context import ForwardContext
from .event_times import EventTimes
from .try_ends import Done, FailedAnswer, TryEnd

__all__ = ["log_no_hedge", "log_outcome", "log_try", "log_try_end"]

_log = logging.getLogger(__name__)


def log_try(
    ctx: ForwardContext,
    admitted: Admitted,
    demand: Demand,
    choice: Choice,
    offer: int,
    last_event_id: bytes | None,
    under_way: int,
) -> None:
    """Log where a try goes and why.

    `offer` counts the request's offers from 1; `under_way` the other tries that it is a hedge of.
    """
    state = ctx.view.state(choice.main.name)
    now_s = ctx.clock.seconds()
    _log.info(
        "request placed",
        extra={
            "request_id": admitted.marks.request_id,
            "target": choice.main.name,
            "helpers": len(choice.helpers),
            "helper_names": [entry.name for entry in choice.helpers],
            "offer": offer,
            "decided_by": choice.decided_by or ctx.box,
            "policy": demand.policy,
            "loss": round(choice.loss, 3),
            "predicted_s": round(choice.first_event_s, 3),
            "predicted_pause_s": round(choice.pause_s, 3),
            "beside": len(state.ledger.rows) - 1,
            "list_age_s": round(ctx.targets.age_s, 3),
            "report_age_s": shown_age_s(state, now_s),
            "prompt_tokens": demand.prompt_tokens,
            "hedge_of": under_way,
            "resumes_after": (last_event_id or b"").decode("latin-1"),
        },
    )


def log_try_end(
    ctx: ForwardContext,
    admitted: Admitted,
    demand: Demand,
    choice: Choice,
    end: TryEnd,
    begun: bool,
    digest: bytes,
) -> None:
    """Log a try that did not end the request; `begun` if the caller has got the head.

    The digest of its content tells which other attempts of callers are the same request.

    What this box knows of the target tells a silence that known work explains, and that ends by
    itself, from one of a target that has failed.
    """
    if isinstance(end, Done):
        return
    status = end.head.status if isinstance(end, FailedAnswer) else None
    state, now_s = ctx.view.state(choice.main.name), ctx.clock.seconds()
    reads_until_s = state.ledger.reads_until_s(demand.service.engine or EngineTraits())
    _log.info(
        "try failed",
        extra={
            "request_id": admitted.marks.request_id,
            "request_digest": digest.hex(),
            "target": choice.main.name,
            "end": type(end).__name__,
            "reason": getattr(end, "reason", ""),
            "status": status,
            "begun": begun,
            "report_age_s": shown_age_s(state, now_s),
            "suspect": state.is_suspect,
            "reads_on_s": _rounded(None if reads_until_s is None else reads_until_s - now_s),
        },
    )


def log_no_hedge(admitted: Admitted, target: str, end: TryEnd) -> None:
    """Log that a silent try goes on alone, and why."""
    _log.info(
        "no hedge",
        extra={
            "request_id": admitted.marks.request_id,
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
    offers: int,
    times: EventTimes,
) -> None:
    """Log and count how a request ended; `admitted`, `demand` are None if it was refused first."""
    name = outcome_name(outcome)
    took_s = ctx.clock.seconds() - req.arrived_s
    ctx.metrics.outcomes.labels(name).inc()
    ctx.metrics.took_s.labels(name).observe(took_s)
    if times.first_s is not None:
        ctx.metrics.longest_pause_s.observe(times.longest_pause_s)
    _log.info(
        "request ended",
        extra={
            "request_id": request_id_of(req),
            "outcome": name,
            "status": http_status(outcome),
            "reason": getattr(outcome, "reason", ""),
            **_asked_for(admitted),
            "data_hall": ctx.data_hall,
            "prompt_tokens": demand.prompt_tokens if demand else 0,
            "offers": offers,
            "offered_s": _rounded(times.offered_s),
            "took_s": round(took_s, 3),
            "first_event_s": _rounded(times.first_s),
            "longest_pause_s": round(times.longest_pause_s, 3),
            "pause_began_s": round(times.longest_began_s, 3),
        },
    )


def _asked_for(admitted: Admitted | None) -> dict[str, object]:
    """Return whose request it was and what its route aims at."""
    if admitted is None:
        return {"route": ""}
    route, organisation = admitted.route, admitted.organisation
    return {
        "route": route.name,
        "organisation": organisation.name if organisation is not None else "",
        "objective_s": route.objective_s,
        "pause_limit_s": route.pause_objective_s if route.streaming else None,
    }


def _rounded(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s, 3)
