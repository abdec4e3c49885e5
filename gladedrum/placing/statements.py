"""Statements of targets about themselves in answers: rate limit, leaving, backoff, cold time.

Every answer counts: also refusals, answers to polls and to memory orders (see `platform.orders`),
and the answer of a hedge that is no longer needed. Each kind of statement has its own scope and
lifetime:

- The rate limit applies to all boxes while answers name it; kept in `FleetView` and enforced by
  `TargetRates`.
- Leaving (the target takes no new work and will stop) applies to all boxes for the lifetime of that
  start of the target; kept in the target list.
- Being cold applies to all boxes for the stated time; kept in `FleetView`, passed on by
  `ColdTargets` and enforced by `TargetRates`.
- A backoff applies to the box that got the answer, until a given time; kept in `FleetView`.

Everything that is sent to a target passes `TargetStatements.authorize`, which enforces leaving and
backoffs, and the operator's evacuations of data halls.
"""

import logging
from typing import NamedTuple, TypedDict

from twisted.internet.interfaces import IReactorTime

from ..beliefs.target_list import TargetListFollower
from ..connections.target_pool import NoLongerAllowedError
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, LeavingNote
from ..platform.orders import CallKind
from ..platform.statements import MalformedStatement, Statements
from .cold_targets import ColdTargets, ShownCold
from .fleet_view import FleetView
from .target_rates import ShownRate, TargetRates

__all__ = ["EVACUATED_REASON", "ShownStatements", "TargetStatements"]

EVACUATED_REASON = "the data hall of the target is evacuated"
"""Why a call that is new work is not sent to a target of an evacuated data hall."""

_NEW_WORK = (CallKind.REQUEST, CallKind.RESERVE)

_log = logging.getLogger(__name__)


class _Heard(NamedTuple):
    """When this box learned that a target is leaving; `told_by` is empty if the target said so."""

    at_s: float
    told_by: str


class ShownLeaving(TypedDict):
    """A target that has announced that it leaves, as shown to operators."""

    target: str
    heard_age_s: float
    told_by: str


class ShownBackoff(TypedDict):
    """A target in backoff, which takes nothing from this box for `left_s` more seconds."""

    target: str
    left_s: float


class ShownStatements(TypedDict):
    """Statements of targets, as shown to operators; `rests` holds the backoffs."""

    rates: list[ShownRate]
    leaving: list[ShownLeaving]
    rests: list[ShownBackoff]
    cold: list[ShownCold]


class TargetStatements:
    """Processes and enforces the statements of targets.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    targets : TargetListFollower
        The list of targets.
    view : FleetView
        The state of targets; keeps their backoffs.
    rates : TargetRates
        Enforces the rate limits that they name.
    port : GossipPort
        Sends datagrams to other boxes.
    cold : ColdTargets
        Keeps and passes on how long targets are cold.
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetListFollower,
        view: FleetView,
        rates: TargetRates,
        port: GossipPort,
        cold: ColdTargets,
    ):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._rates = rates
        self._port = port
        self._cold = cold
        self._malformed: dict[tuple[str, str], str] = {}
        self._leaving: dict[str, _Heard] = {}

    # Called by the connection pool.

    def authorize(self, target: str, kind: CallKind) -> int:
        """Check that a call may be sent to a target now; return the target's known start, or 0.

        Calls other than requests are counted against the target's rate limit here.

        A target that is leaving or evacuated finishes the work that it has begun: its reservations
        are renewed and freed, and its reports are read. A target in backoff gets renewals only:
        without them it would cut running streams. Reservations that are no longer needed expire
        there.

        Raises
        ------
        NoLongerAllowedError
            If the call must not be sent now.
        """
        if kind in _NEW_WORK and not self._targets.accepts_requests(target):
            evacuated = self._targets.is_evacuated(target)
            reason = EVACUATED_REASON if evacuated else "the target is leaving"
            raise NoLongerAllowedError(reason)
        if kind is not CallKind.RENEW and self.backoff_s(target):
            raise NoLongerAllowedError("the target wants rest")
        if target not in self._targets.entries:
            return 0
        if kind is not CallKind.REQUEST:
            self._rates.note_call(target)
        return self._view.state(target).born

    def backoff_s(self, target: str) -> float:
        """Return the remaining backoff of a target in seconds, 0 if there is none."""
        return self._view.backoff_s(target, self._clock.seconds())

    def note_answer(self, target: str, born: int, said: Statements, sent_s: float) -> None:
        """Process the statements in an answer to this box.

        `born` is the start of the target that was known when the request was sent, at `sent_s`.
        Statements of an earlier start are ignored. If a target is not listed, only leaving is
        recorded, in case it is listed again.
        """
        if target not in self._targets.entries:
            if said.leaves:
                self._note_leaving(target, born, "")
            return
        if 0 < born < self._view.state(target).born:
            return
        self._log_malformed(target, said.malformed)
        self._rates.note_rate(target, said.rate_per_s, sent_s)
        if said.leaves:
            self._note_leaving(target, self._view.state(target).born, "")
        if said.cold_s is not None:
            self._cold.note_answer(target, said.cold_s, sent_s)
        if said.rest_s:
            self._view.note_backoff(target, said.rest_s, self._clock.seconds())

    # Peers.

    def receive(self, message: Gossip) -> None:
        """Process a peer's notes on leaving targets and cold ones."""
        self._cold.receive(message)
        for note in message.leaving_targets or ():
            if note.target:
                self._note_leaving(note.target, note.born or 0, message.box or "")

    def _note_leaving(self, target: str, born: int, told_by: str) -> None:
        """Record that a target is leaving.

        A box that learns it from the target notifies all other boxes, which would otherwise keep
        sending there until the store lists the target as leaving.
        """
        if not self._targets.note_leaving(target, born):
            return
        self._leaving = {**self._leaving_listed(), target: _Heard(self._clock.seconds(), told_by)}
        extra = {"target": target, "told_by": told_by, "list_age_s": round(self._targets.age_s, 3)}
        _log.info("target announced that it is leaving", extra=extra)
        if not told_by:
            self._port.broadcast_leaving(LeavingNote(target, born))

    def _leaving_listed(self) -> dict[str, _Heard]:
        """Return the targets that announced leaving, are still listed and still leaving."""
        listed = self._targets.entries
        return {
            name: heard
            for name, heard in self._leaving.items()
            if name in listed and listed[name].leaving
        }

    # Operators.

    def shown(self) -> ShownStatements:
        """Return the statements of targets for operators."""
        now_s = self._clock.seconds()
        leaving = self._leaving_listed().items()
        return ShownStatements(
            rates=self._rates.shown(),
            leaving=[
                ShownLeaving(
                    target=name, heard_age_s=round(now_s - heard.at_s, 1), told_by=heard.told_by
                )
                for name, heard in sorted(leaving)
            ],
            rests=[
                ShownBackoff(target=name, left_s=round(for_s, 2))
                for name, for_s in sorted(self._view.backoffs(now_s).items())
            ],
            cold=self._cold.shown(),
        )

    def _log_malformed(self, target: str, malformed: tuple[MalformedStatement, ...]) -> None:
        """Log a statement that can't be parsed, once until its text changes."""
        for kind, text in malformed:
            if self._malformed.get((target, kind)) != text:
                listed = self._targets.entries
                self._malformed = {
                    key: said for key, said in self._malformed.items() if key[0] in listed
                }
                self._malformed[target, kind] = text
                extra = {"target": target, "statement": kind, "said": text}
                _log.warning("unreadable statement from target", extra=extra)
