"""Requests with an idempotency key: claim, run, write down; and what a second caller is told."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from twisted.internet import defer

from ..claims import Acquired, AlreadyClaimed, Claim, ClaimFailed, Claims, ClaimState, DifferentBody
from ..outcome import Completed, Failed, NotRun, Outcome, Unknown

__all__ = ["RUNNING_RETRY_AFTER_S", "AskRunning", "Duplicate", "KeyedRequest", "run_once"]

RUNNING_RETRY_AFTER_S = 5
"""When a second caller should ask again for a request that still runs, in seconds."""

_UNCLAIMED_RETRY_AFTER_S = 2.0


class KeyedRequest(NamedTuple):
    """An idempotency key and what it is used for.

    Parameters
    ----------
    organisation, key : str
        Keys of different organisations do not meet.
    body : bytes
        What is asked.
    request_id : str
        The request.
    """

    organisation: str
    key: str
    body: bytes
    request_id: str


class Duplicate(NamedTuple):
    """The request was not run again, because its key is known.

    Parameters
    ----------
    outcome : Outcome
        What became of the request that holds the key.
    code : str
        ``still_running``, ``already_completed``, ``already_failed``, ``outcome_unknown``,
        ``key_too_old`` or ``key_reused``.
    first_request_id : str
        The request that holds the key; empty if that is not known.
    status : HTTPStatus
        The HTTP status for the caller.
    """

    outcome: Outcome
    code: str
    first_request_id: str = ""
    status: HTTPStatus = HTTPStatus.CONFLICT


AskRunning = Callable[[str, list[str]], Awaitable[list[str] | None]]
"""Asks a box by name which of some requests it runs; None if that cannot be told."""


async def run_once(
    claims: Claims,
    keyed: KeyedRequest,
    run: Callable[[], Awaitable[Outcome]],
    ask_running: AskRunning,
) -> Outcome | Duplicate:
    """Claim the key, run the request and write down what became of it.

    Parameters
    ----------
    claims : Claims
        The claims.
    claimed : ClaimedKey
        The key.
    run : callable
        Runs the request; called at most once, and only if the key is claimed for it.
    ask_running : callable
        See `AskRunning`.
    """
    try:
        answer = await claims.acquire(*keyed)
    except defer.CancelledError:
        # The claim may be written all the same; nothing will run under it.
        claims.record_outcome(*keyed, NotRun("the caller has gone"))
        raise
    match answer:
        case Acquired():
            pass
        case ClaimFailed(reason=reason):
            return NotRun(reason, _UNCLAIMED_RETRY_AFTER_S)
        case DifferentBody():
            reason = "the idempotency key was used for a different request"
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return Duplicate(Failed(reason, status), "key_reused", status=status)
        case AlreadyClaimed(claim=None):
            reason = "the idempotency key is older than keys are remembered"
            return Duplicate(Unknown(reason), "key_too_old")
        case AlreadyClaimed(claim=claim):
            state = claim.state
            if state == ClaimState.RUNNING and await _is_orphaned(claim, ask_running):
                state = ClaimState.UNKNOWN
            return _duplicate(state, claim.request_id)
    outcome: Outcome = Unknown("the run ended without an outcome")
    try:
        outcome = await run()
    finally:
        claims.record_outcome(*keyed, outcome)
    return outcome


async def _is_orphaned(claim: Claim, ask_running: AskRunning) -> bool:
    """Return True if the box of a running request says, or must be taken to say, it is gone."""
    running = await ask_running(claim.box, [claim.request_id])
    return running is not None and claim.request_id not in running


def _duplicate(state: ClaimState, first: str) -> Duplicate:
    match state:
        case ClaimState.COMPLETED:
            return Duplicate(Completed(), "already_completed", first)
        case ClaimState.FAILED:
            reason = "the request with this key ran and failed"
            return Duplicate(Failed(reason), "already_failed", first)
        case ClaimState.RUNNING:
            reason = "the request with this key still runs"
            return Duplicate(Unknown(reason), "still_running", first)
        case _:
            reason = "it is not known whether the request with this key has run"
            return Duplicate(Unknown(reason), "outcome_unknown", first)
