"""What targets say of themselves in their answers: heard here, whatever the answer is to.

An answer that nobody waits for any more counts, too: one to a hedge that was overtaken, to a report
or an order, or a refusal.
"""

import logging

from twisted.internet.interfaces import IReactorTime

from ..beliefs.target_list import TargetKeeper
from ..platform.orders import CallKind
from ..platform.statements import OddStatement, Statements
from .fleet_view import FleetView
from .target_rates import TargetRates

__all__ = ["TargetStatements"]

_log = logging.getLogger(__name__)


class TargetStatements:
    """What targets have said of themselves, to this box.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    targets : TargetKeeper
        The list of targets.
    view : FleetView
        What is known of them beside.
    rates : TargetRates
        Keeps the rates that they name.
    """

    def __init__(
        self, clock: IReactorTime, targets: TargetKeeper, view: FleetView, rates: TargetRates
    ):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._rates = rates
        self._odd: dict[tuple[str, str], str] = {}
        self._leaving: dict[str, int] = {}

    # What the pool of connections calls.

    def let_out(self, target: str, kind: CallKind) -> int:
        """Return the start of a target that is known, right before something is sent to it."""
        if target not in self._targets.entries:
            return 0
        if kind is not CallKind.REQUEST:
            self._rates.note_call(target)
        return self._view.state(target).born

    def note_answer(self, target: str, born: int, said: Statements, sent_s: float) -> None:
        """Take what an answer to this box says of its target.

        Not of one that is listed no more, nor of an earlier start: `born` is the one that was known
        when the request went out, at `sent_s`.
        """
        if target not in self._targets.entries or 0 < born < self._view.state(target).born:
            return
        self._note_odd(target, said.odd)
        self._rates.note_rate(target, said.rate_per_s, sent_s)
        if said.leaves and self._leaving.get(target) != born:
            self._leaving[target] = born
            _log.info("target says that it leaves", extra={"target": target, "told_by": ""})
        if said.rest_s:
            self._view.note_rest(target, said.rest_s, self._clock.seconds())

    def _note_odd(self, target: str, odd: tuple[OddStatement, ...]) -> None:
        """Log what stands in the place of a statement and is none, once until it changes."""
        for kind, text in odd:
            if self._odd.get((target, kind)) != text:
                listed = self._targets.entries
                self._odd = {key: said for key, said in self._odd.items() if key[0] in listed}
                self._odd[target, kind] = text
                extra = {"target": target, "statement": kind, "said": text}
                _log.warning("target says what can't be read", extra=extra)
