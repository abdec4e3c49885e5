"""``python -m soak.guards GUARD ...``: a box without one of its guards.

A soak of such boxes must find the promise broken that the guard stands for; otherwise it proves
nothing about it.
"""

import sys
from collections.abc import Callable

from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.connections import target_conn
from gladedrum.daemon.main import main
from gladedrum.forward import request_task
from gladedrum.forward.admission import Admission
from gladedrum.forward.attempt_ends import AttemptEnd, Lost
from gladedrum.forward.box import ForwardingBox
from gladedrum.forward.hedging import HedgedAttempts
from gladedrum.forward.reservations import ReservationSet
from gladedrum.outcome import NotRun
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.suspicion import Suspicion
from gladedrum.placing.target_rates import TargetRates
from gladedrum.platform import StoreClient
from gladedrum.table import follow

__all__ = ["GUARDS", "run_without"]


def _repeat_everything() -> None:
    """Send a request again, whatever may have run."""
    request_task.RequestTask._may_run_again = lambda task: task._now_s() < task._deadline_s


def _call_lost_not_run() -> None:
    """Tell callers that a request has not run when nobody knows."""
    fail = request_task.CallerAnswer.fail
    request_task.CallerAnswer.fail = lambda answer, outcome: (
        fail(answer, outcome) if answer.begun else answer.refuse(NotRun("lost", 0.1))
    )


def _trust_old_keys() -> None:
    """Trust keys whatever the age of the configuration."""
    Admission.keys_are_trusted = property(lambda _admission: True)


def _send_to_leaving() -> None:
    """Send requests to targets that leave, and to such as are gone."""
    TargetListFollower.accepts_requests = lambda _keeper, _name: True
    TargetListFollower.usable = lambda keeper, service: [
        entry for entry in keeper.entries.values() if entry.service == service
    ]


def _end_at_once() -> None:
    """End a planned stop without waiting for requests."""

    async def drain_nothing(_box: ForwardingBox) -> None:
        return None

    ForwardingBox._drain = drain_nothing


def _give_up_silent() -> None:
    """End a silent try before another target is looked for."""
    look = HedgedAttempts._check_silence

    def give_up_or_look(attempts: HedgedAttempts, now_s: float) -> AttemptEnd | None:
        if attempts._next_check_s() <= now_s < attempts.deadline_s:
            silent = attempts._attempts[-1]
            if silent.relay.needs_hedge(now_s):
                return attempts._end(silent, Lost("the target has fallen silent"))
        return look(attempts, now_s)

    HedgedAttempts._check_silence = give_up_or_look


def _keep_memory() -> None:
    """Do not give memory back, and set it aside for long."""
    ReservationSet.release = lambda _reservations: None
    ReservationSet._hold_s = property(
        lambda _reservations: 20.0, lambda _reservations, _value: None
    )


def _take_any_answer() -> None:
    """Take any answer for one's own, and keep connections whatever was left on them."""

    def cancel(exchange: target_conn.Exchange) -> None:
        exchange.over = True
        if exchange._conn is not None:
            exchange._conn._exchange = None
            exchange._conn._pool.keep(exchange._conn._address, exchange._conn)

    target_conn.Exchange.cancel = cancel


def _never_read_again() -> None:
    """Keep the first configuration."""
    apply = ConfigurationFollower._apply
    ConfigurationFollower._apply = lambda keeper, table: (
        apply(keeper, table) if keeper.table is None else None
    )


def _let_versions_revert() -> None:
    """Put whatever version comes in force, an earlier one at times."""
    seen: list = []

    def apply(keeper: ConfigurationFollower, table) -> None:
        if table is None:
            return
        seen.append(table)
        keeper.table = seen[-2] if len(seen) % 3 == 0 else table

    ConfigurationFollower._apply = apply


def _blame_targets_alone() -> None:
    """Note no losses of requests."""
    Suspicion.note_lost = lambda _suspicion, *_loss: None


def _overlook_rates() -> None:
    """Read no rate that a target names."""
    TargetRates.note_rate = lambda _rates, *_said: None


def _overlook_leaving() -> None:
    """Heed no target's word that it leaves, but for the store's list."""
    TargetListFollower.note_leaving = lambda _keeper, *_start: False


def _overlook_rest() -> None:
    """Leave no target alone for as long as it has asked."""
    FleetView.note_rest = lambda _view, *_rest: None


def _overlook_eras() -> None:
    """Take a store that has come back from a copy for the one before."""
    StoreClient._note_era = lambda client, _reply: client.era


def _forget_edits() -> None:
    """Take the store's table for whole, whatever edits a box holds."""
    follow.lost_edits = lambda _held, _head: []


GUARDS: dict[str, Callable[[], None]] = {
    "runs-once": _repeat_everything,
    "not-run": _call_lost_not_run,
    "keys": _trust_old_keys,
    "leaving": _send_to_leaving,
    "stop": _end_at_once,
    "live-streams": _give_up_silent,
    "memory": _keep_memory,
    "own-answers": _take_any_answer,
    "changes": _never_read_again,
    "versions": _let_versions_revert,
    "ends": _blame_targets_alone,
    "rates": _overlook_rates,
    "told-leaving": _overlook_leaving,
    "rest": _overlook_rest,
    "eras": _overlook_eras,
    "edits": _forget_edits,
}
"""What each guard's absence is brought about by."""


def run_without(guard: str, argv: list[str]) -> int:
    """Run a box without a guard; returns its exit code."""
    GUARDS[guard]()
    return main(argv)


if __name__ == "__main__":
    sys.exit(run_without(sys.argv[1], sys.argv[2:]))
