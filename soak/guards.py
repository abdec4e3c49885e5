"""``python -m soak.guards GUARD ...``: run a box with one guard disabled.

A guard is the code that keeps one promise. A soak of boxes without it must report violations of
that promise; otherwise the soak doesn't test it.
"""

import sys
from collections.abc import Callable

from gladedrum.beliefs import store_pace, target_list
from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.evacuations import Evacuations
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.connections import calls, target_conn
from gladedrum.connections.memory_budget import MemoryBudget
from gladedrum.daemon.main import main
from gladedrum.forward import relaying, request_task
from gladedrum.forward.admission import Admission
from gladedrum.forward.attempt_ends import AttemptEnd, Lost
from gladedrum.forward.box import ForwardingBox
from gladedrum.forward.hedging import HedgedAttempts
from gladedrum.forward.reservations import ReservationSet
from gladedrum.outcome import NotRun
from gladedrum.paths import tunnel_client
from gladedrum.paths.carriers import Carriers
from gladedrum.placing.cold_targets import ColdTargets
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.suspicion import Suspicion
from gladedrum.placing.target_rates import TargetRates
from gladedrum.platform import StoreClient
from gladedrum.scheduling.suspects import Standing, SuspectTracker
from gladedrum.table import follow

__all__ = ["GUARDS", "run_without"]


def _always_send_again() -> None:
    """Send a request again even if it may have run already."""
    request_task.RequestTask._may_run_again = lambda task: task._now_s() < task._deadline_s


def _report_lost_as_not_run() -> None:
    """Report that a request has not run when that is unknown."""
    fail = request_task.CallerAnswer.fail
    request_task.CallerAnswer.fail = lambda answer, outcome: (
        fail(answer, outcome) if answer.begun else answer.refuse(NotRun("lost", 0.1))
    )


def _accept_stale_keys() -> None:
    """Accept API keys however stale the configuration is."""
    Admission.keys_are_trusted = property(lambda _admission: True)


def _send_to_leaving() -> None:
    """Send requests to targets that are leaving or gone."""
    TargetListFollower.accepts_requests = lambda _follower, _name: True
    TargetListFollower.usable = lambda follower, service: [
        entry for entry in follower.entries.values() if entry.service == service
    ]


def _send_to_evacuated() -> None:
    """Send requests to targets of evacuated data halls."""
    Evacuations._replace = lambda _evacuations, *_copy: False


def _stop_without_draining() -> None:
    """Exit on a graceful stop without waiting for requests."""

    async def drain_nothing(_box: ForwardingBox) -> None:
        return None

    ForwardingBox._drain = drain_nothing


def _end_silent_attempts() -> None:
    """End a silent attempt before looking for another target."""
    check_silence = HedgedAttempts._check_silence

    def end_or_check(attempts: HedgedAttempts, now_s: float) -> AttemptEnd | None:
        if attempts._next_check_s() <= now_s < attempts.deadline_s:
            silent = attempts._attempts[-1]
            if silent.relay.needs_hedge(now_s):
                return attempts._end(silent, Lost("the target has fallen silent"))
        return check_silence(attempts, now_s)

    HedgedAttempts._check_silence = end_or_check


def _keep_memory() -> None:
    """Never release reserved memory, and reserve it for a long time."""
    ReservationSet.release = lambda _reservations: None
    ReservationSet._hold_s = property(
        lambda _reservations: 20.0, lambda _reservations, _value: None
    )


def _accept_any_response() -> None:
    """Accept any response, and reuse connections that may have unread bytes."""

    def cancel(exchange: target_conn.Exchange) -> None:
        exchange.over = True
        if exchange._conn is not None:
            exchange._conn._exchange = None
            exchange._conn._pool.keep(exchange._conn._address, exchange._conn)

    target_conn.Exchange.cancel = cancel


def _ignore_changes() -> None:
    """Keep the first configuration and ignore later ones."""
    apply = ConfigurationFollower._apply
    ConfigurationFollower._apply = lambda follower, configuration, raw=b"": (
        apply(follower, configuration, raw) if follower.in_force is None else None
    )


def _apply_older_versions() -> None:
    """Apply each version that is read, sometimes an earlier one."""
    seen: list = []

    def apply(follower: ConfigurationFollower, configuration, raw: bytes = b"") -> None:
        if configuration is None:
            return
        seen.append((configuration, raw))
        follower.in_force, follower.raw = seen[-2] if len(seen) % 3 == 0 else seen[-1]

    ConfigurationFollower._apply = apply


def _wait_after_failed_reads() -> None:
    """After a failed read of the configuration, pause as if the store were away for all boxes."""
    ConfigurationFollower._may_retry_soon = lambda _follower: False


def _ignore_losses() -> None:
    """Don't record which requests were lost with their target."""
    Suspicion.note_lost = lambda _suspicion, *_loss: None


def _ignore_rates() -> None:
    """Ignore the rate that a target advertises."""
    TargetRates.note_rate = lambda _rates, *_rate: None


def _ignore_cold() -> None:
    """Ignore that a target is cold."""
    ColdTargets._note = lambda _cold, *_statement, **_source: None


def _ignore_announced_leaving() -> None:
    """Ignore a target's own announcement that it leaves; use only the list in the store."""
    TargetListFollower.note_leaving = lambda _follower, *_start: False


def _ignore_backoff() -> None:
    """Ignore the backoff that a target asks for."""
    FleetView.note_backoff = lambda _view, *_rest: None


def _ignore_eras() -> None:
    """Ignore the store's era, whose change shows that the store was restored from a copy."""
    StoreClient._note_era = lambda client, _reply: client.era


def _ignore_lost_edits() -> None:
    """Don't restore edits that a box holds and the store has lost."""
    follow.lost_edits = lambda _held, _head: []


def _ignore_budget() -> None:
    """Buffer answers without limit."""
    MemoryBudget._balance = lambda _budget: None


def _carry_nothing() -> None:
    """Open connections to targets over the box's own links only."""
    Carriers.ranked = lambda _carriers, *_request: []


def _spare_parts() -> None:
    """Suspect whole requests only, no part of their prompts."""
    SuspectTracker.standing_of_part = lambda _tracker, *_part: Standing.CLEAR


def _complete_cut_tunnels() -> None:
    """Take the end of a connection to a carrier for the end of the target's."""
    client = tunnel_client._TunnelClient
    lost = client.connectionLost
    client.connectionLost = lambda self, reason: (
        self._end(reason) if self._conn is not None else lost(self, reason)
    )


def _believe_closes() -> None:
    """Take the orderly close of a target that can be reached for the end of its answer."""
    for kind in (relaying.EventRelay, relaying.WholeRelay):
        kind.can_be_shown = property(lambda _relay: False)


def _match_answers_by_place() -> None:
    """Accept answers that name no request, and successes without a signature."""
    target_conn.Exchange.matches = lambda exchange, answer_id: (
        not answer_id or answer_id == exchange.request_id
    )
    relaying._unsigned = lambda _head: None
    calls.answers_call = lambda _kind, _raw, _is_framed: True


def _keep_departed_after_cut() -> None:
    """Keep missing targets from this box's own first list after any fault until a later list."""

    def set_keep_limit(follower: TargetListFollower) -> None:
        follower._keep_until_s = follower._gap_ended_s + target_list.REAPPEAR_GRACE_S

    def note_read_failure(follower: TargetListFollower, _reason: str, _sent_s: float) -> None:
        follower._connected = False

    apply_peer_list = TargetListFollower.apply_peer_list
    TargetListFollower.apply_peer_list = lambda follower, listed, read_s, _followed_s=0.0: (
        apply_peer_list(follower, listed, read_s)
    )
    TargetListFollower._note_gap = lambda follower, _gap_s: follower._keep_missing()
    TargetListFollower._note_read_failure = note_read_failure
    TargetListFollower._set_keep_limit = set_keep_limit
    TargetListFollower._schedule_expiry = lambda _follower: None
    store_pace.REGAINED_CONTACT_PAUSE_S = store_pace.RETRY_PAUSE_WITH_PEERS_S


GUARDS: dict[str, Callable[[], None]] = {
    "runs-once": _always_send_again,
    "not-run": _report_lost_as_not_run,
    "keys": _accept_stale_keys,
    "leaving": _send_to_leaving,
    "evacuations": _send_to_evacuated,
    "stop": _stop_without_draining,
    "live-streams": _end_silent_attempts,
    "memory": _keep_memory,
    "own-answers": _accept_any_response,
    "changes": _ignore_changes,
    "versions": _apply_older_versions,
    "soon-retries": _wait_after_failed_reads,
    "ends": _ignore_losses,
    "rates": _ignore_rates,
    "cold": _ignore_cold,
    "told-leaving": _ignore_announced_leaving,
    "rest": _ignore_backoff,
    "eras": _ignore_eras,
    "edits": _ignore_lost_edits,
    "budget": _ignore_budget,
    "paths": _carry_nothing,
    "parts": _spare_parts,
    "tunnel-end": _complete_cut_tunnels,
    "shown-ends": _believe_closes,
    "answer-id": _match_answers_by_place,
    "departed-after-cut": _keep_departed_after_cut,
}
"""Functions that disable a guard, by the guard's name."""


def run_without(guard: str, argv: list[str]) -> int:
    """Run a box with a guard disabled and return its exit code."""
    GUARDS[guard]()
    return main(argv)


if __name__ == "__main__":
    sys.exit(run_without(sys.argv[1], sys.argv[2:]))
