"""What a box does about targets that name the rate of requests that they take."""

import logging
from collections.abc import Mapping

from twisted.internet.interfaces import IReactorTime

from ..beliefs.target_list import TargetKeeper
from ..fleet import TargetEntry
from ..platform.heads import AnswerMarks
from .fleet_view import FleetView

__all__ = ["TargetRates"]

_log = logging.getLogger(__name__)


class TargetRates:
    """This box's part in keeping the rates that targets name.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    targets : TargetKeeper
        The list of targets.
    view : FleetView
        Where the rates are noted.
    """

    def __init__(self, clock: IReactorTime, targets: TargetKeeper, view: FleetView):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._listed: Mapping[str, TargetEntry] | None = None
        self._by_place: dict[tuple[str, int], TargetEntry] = {}
        self._odd: dict[str, str] = {}

    def note_answer(self, place: tuple[str, int], marks: AnswerMarks, sent_s: float) -> None:
        """Take what an answer to this box says of its target: a rate, or that it names none."""
        entry = self._entry_at(place)
        if entry is None:
            return
        self._note_odd(entry.name, marks.odd_rate)
        now_s = self._clock.seconds()
        self._view.note_rate(entry.name, marks.rate_per_s, sent_s, now_s)

    def _entry_at(self, place: tuple[str, int]) -> TargetEntry | None:
        if self._listed is not self._targets.entries:
            self._listed = self._targets.entries
            self._by_place = {(e.host, e.port): e for e in self._listed.values()}
        return self._by_place.get(place)

    def _note_odd(self, target: str, text: str) -> None:
        """Log what stands in the place of a rate and is none, once until it changes."""
        if text == self._odd.get(target, ""):
            return
        self._odd = {name: odd for name, odd in self._odd.items() if name in self._targets.entries}
        self._odd[target] = text
        if text:
            extra = {"target": target, "named": text, "expected": "a decimal number of requests"}
            _log.warning("target names a rate that is none", extra=extra)
