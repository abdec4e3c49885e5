"""Execution of requests with an idempotency key.

A request runs only after it has claimed its key, and its outcome is recorded with the claim. A
later request with the same key is answered with a `Duplicate`, unless the first did not run.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from twisted.internet import defer

from ..claims import Acquired, AlreadyClaimed, Claim, ClaimFailed, Claims, ClaimState, DifferentBody
from ..outcome import Completed, Failed, NotRun, Outcome, Unknown

__all__ = ["RUNNING_RETRY_AFTER_S", "AskRunning", "Duplicate", "KeyedRequest", "run_once"]

RUNNING_RETRY_AFTER_S = 5
"""Retry-After for a duplicate of a request that is still running, in seconds."""

_CLAIM_FAILED_RETRY_AFTER_S = 2.0


class KeyedRequest(NamedTuple):
    """A request with an idempotency key.

    Parameters
    ----------
    organisation, key : str
        The key, and the organisation that defines its namespace.
    body : bytes
        Content of the request, to detect reuse of the key for a different request.
    request_id : str
        Id of the request.
    """

    organisation: str
    key: str
    body: bytes
    request_id: str


class Duplicate(NamedTuple):
    """Result of a request that was not run because its key was already used.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the request that holds the key.
    code : str
        ``still_running``, ``already_completed``, ``already_failed``, ``outcome_unknown``,
        ``key_too_old`` or ``key_reused``.
    first_request_id : str
        Id of the request that holds the key; empty if unknown.
    status : HTTPStatus
        HTTP status of the response.
    """

    outcome: Outcome
    code: str
    first_request_id: str = ""
    status: HTTPStatus = HTTPStatus.CONFLICT


AskRunning = Callable[[str, list[str]], Awaitable[list[str] | None]]
"""Asks a box, by name, which of some requests it is running; None if this is unknown."""


async def run_once(
    claims: Claims,
    keyed: KeyedRequest,
    run: Callable[[], Awaitable[Outcome]],
    ask_running: AskRunning,
) -> Outcome | Duplicate:
    """Claim the key, run the request and record its outcome.

    Parameters
    ----------
    claims : Claims
        Store of the claims.
    keyed : KeyedRequest
        The key and its request.
    run : callable
        Runs the request; called at most once, and only after the key is claimed.
    ask_running : callable
        See `AskRunning`.
    """
    try:
        result = await claims.acquire(*keyed)
    except defer.CancelledError:
        # The claim may still be written. Record that its request never runs.
        claims.record_outcome(*keyed, NotRun("the caller has gone"))
        raise
    match result:
        case Acquired():
            pass
        case ClaimFailed(reason=reason):
            return NotRun(reason, _CLAIM_FAILED_RETRY_AFTER_S)
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
    """Return True if the claim's box reports that it no longer runs the request."""
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
