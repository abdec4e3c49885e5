"""What a box knows of targets beyond the list: their work, their reports, how they fare."""

import logging
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import gossip
from ..fleet import TargetReport
from ..gossip.wire.ttypes import Gossip, ReportNote, WorkNote
from ..scheduling.arrivals import LongReads
from ..scheduling.engine_model import EngineTraits
from ..scheduling.ledger import EngineLedger, LedgerRow, Stake
from ..scheduling.rates import NamedRate, interval_s, settle_rate
from ..scheduling.suspects import SuspectBook, TargetStart
from .work_plan import WorkPlan, box_of, plan_of

__all__ = ["FleetView", "TargetState", "shown_age_s"]

FAILURE_WEIGHT = 0.35
"""How much one failed request raises the distrust in a target (weight of a moving mean)."""

TRUST_WEIGHT = 0.2
"""How much one good request lowers it."""

FORGIVEN_IN_S = 4.0
"""Distrust fades to a third in so many seconds, so that a target that is well again gets work."""

TOLD_SILENT_S = 1.4
"""A peer that says an engine is silent is believed if nobody has had a report of it for so long, in
seconds: longer than the next box in its order needs to ask, 1.3 s, and shorter than two questions
that time out, 1.5 s, so an engine that is silent is found no later. Else one link that is cut
between an engine and its reader makes it suspect at all others for 68% of the time. All of it
measured in virtual time."""

REFUSED_BY = 2
"""An engine that has refused connections of so many boxes counts as silent: its process is dead. By
one box it may be the link that refuses, so the next in its order asks at once. The other boxes
know after 0.9 s at most in place of 1.2 to 1.6 s (nine boxes, in virtual time)."""

REFUSAL_COUNTS_S = 1.0
"""How long a refusal counts, in seconds: two pauses between reports, and a way."""

START_KNOWN_WITHIN_S = 1.0
"""A later start of a target is known here so many seconds after it, in calm times: two pauses
between its reports, and a way. What was sent there within that time may be with the later one."""

UNKNOWN_TOKENS = 24_000
"""Reported memory beyond what is known counts as unknown work from so many tokens on; less is
within what a report that lags, and answers of unknown length, differ by."""

SUSPECT_RUNS_S = 5.0
"""For so long a run of a suspected request is taken to be under way if its end is not told, in
seconds: one that ends its target does so within a second. The word of a placement whose asker never
got it would else hold the request for 40 s, as long as ledgers keep it."""

LONGEST_REST_S = 300.0
"""The longest rest that counts, in seconds: a target that says days is asked again after that."""

_NEVER_CLOSED_S = float("-inf")

_OLDEST_S = 999.0
"""Shown as the age of a report if none has come, in seconds."""

UNREACHABLE_DISTRUST = 0.97
"""Distrust in a target that does not answer."""

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class TargetState:
    """What is known of one target.

    Parameters
    ----------
    ledger : EngineLedger
        Its work.
    report : TargetReport or None
        Its last report, own or told by a peer.
    reported_s : float
        When that was.
    distrust : float
        The chance that it fails a request, as of `judged_s`.
    judged_s : float
        See `distrust`.
    silent : bool
        Whether its last report did not come.
    refused_s : dict of str to float
        The boxes that it has refused a connection since its last report, and when.
    born : int
        Which of its starts this is, as in `TargetEntry`.
    rate : NamedRate or None
        The rate that it takes from all boxes together, None while it names none.
    closed_until_s : float
        Until when it takes no further request, as far as this box knows, by that rate.
    """

    ledger: EngineLedger = field(default_factory=EngineLedger)
    report: TargetReport | None = None
    reported_s: float = float("-inf")
    distrust: float = 0.0
    judged_s: float = float("-inf")
    silent: bool = False
    refused_s: dict[str, float] = field(default_factory=dict)
    born: int = 0
    rate: NamedRate | None = None
    closed_until_s: float = float("-inf")

    def refused_lately(self, now_s: float) -> int:
        """Return how many boxes it has refused a connection of late."""
        return sum(now_s - at_s <= REFUSAL_COUNTS_S for at_s in self.refused_s.values())

    @property
    def is_suspect(self) -> bool:
        """Whether it has failed to answer when it was asked for a report.

        An old report alone may mean that the box which reads it has gone: engines that were well
        were suspect at all boxes for 1.6 of the 6 s after a planned stop (in virtual time).
        """
        return self.silent

    def unknown_tokens(self) -> float:
        """Return the memory that it reports beyond the work that is known here.

        Boxes that are cut off from each other see each other's long prompts only there.
        """
        if self.report is None:
            return 0.0
        beyond = self.report.memory_used - self.ledger.tokens
        return beyond if beyond >= UNKNOWN_TOKENS else 0.0

    def distrust_at(self, now_s: float) -> float:
        """Return the distrust, faded since it was last judged."""
        if not self.distrust and not self.silent:
            return 0.0
        faded = self.distrust * 3 ** (-(now_s - self.judged_s) / FORGIVEN_IN_S)
        return max(faded, UNREACHABLE_DISTRUST) if self.silent else faded


class _Rest(NamedTuple):
    """Until when a start of a target wants nothing from this box.

    Kept apart from its state, which is forgotten when its entry lapses.
    """

    born: int
    until_s: float


class FleetView:
    """All targets' states, from this box's own tries and from peers' notes.

    Parameters
    ----------
    traits_of : callable
        Returns the traits of a target, by its name; the defaults if it is no engine.

    Attributes
    ----------
    long_reads : LongReads
        The long prompts that were placed of late.
    on_reborn : callable
        Called with the name of a target that has started again.
    suspects : SuspectBook
        The requests that may end targets; it is told here which targets end.
    """

    def __init__(
        self, traits_of: Callable[[str], EngineTraits] = lambda _target: EngineTraits()
    ) -> None:
        self._traits_of = traits_of
        self.long_reads = LongReads()
        self.on_reborn: Callable[[str], None] = lambda _target: None
        self.suspects = SuspectBook()
        self._suspect_plans: dict[str, WorkPlan] = {}
        self._states: dict[str, TargetState] = defaultdict(TargetState)
        self._rated: set[str] = set()
        self._rests: dict[str, _Rest] = {}

    def state(self, target: str) -> TargetState:
        """Return what is known of a target."""
        return self._states[target]

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._states.pop(target, None)
        self._rated.discard(target)

    def rates(self) -> list[tuple[str, NamedRate]]:
        """Return the targets that name a rate, sorted, with their rates."""
        return [(name, self._states[name].rate) for name in sorted(self._rated)]

    def closed(self, now_s: float) -> dict[str, float]:
        """Return which targets take no request now by the rates that they name, and how long."""
        left_s = {name: self._states[name].closed_until_s - now_s for name in self._rated}
        return {name: for_s for name, for_s in left_s.items() if for_s > 0}

    def note_gone(self, target: str, born: int, now_s: float) -> None:
        """Note that a target has gone without having said that it leaves."""
        self.suspects.note_ended(TargetStart(target, born), now_s)

    def suspect_plans(self, now_s: float) -> list[WorkPlan]:
        """Return the work of suspected requests that is under way."""
        if self._suspect_plans:
            self._suspect_plans = {
                work_id: plan
                for work_id, plan in self._suspect_plans.items()
                if (row := self._states[plan.targets[0]].ledger.rows.get(work_id)) is not None
                and now_s - row.placed_s < SUSPECT_RUNS_S
            }
        return list(self._suspect_plans.values())

    def forget_work_of(self, box: str) -> None:
        """Drop the work of a box that is gone: nobody will tell its end.

        It would count for 40 s, and after a loss of half a fleet the other half would place by it.
        """
        for state in self._states.values():
            lost = [work_id for work_id in state.ledger.rows if box_of(work_id) == box]
            for work_id in lost:
                state.ledger.remove(work_id)

    def note_placed(self, plan: WorkPlan, now_s: float) -> None:
        """Note work that was placed."""
        parts = len(plan.targets)
        if plan.digest:
            self._suspect_plans[plan.work_id] = plan
        self.long_reads.note(plan.prompt_tokens, parts, now_s)
        for index, target in enumerate(plan.targets):
            main = index == 0
            row = LedgerRow(
                work_id=plan.work_id,
                prompt_tokens=plan.prompt_tokens / parts,
                pair_share=float(parts),
                answer_tokens=plan.answer_tokens if main else 0,
                held_tokens=plan.held_tokens(main),
                writes=main,
                stake=_stake(plan, now_s),
                placed_s=now_s,
            )
            self._states[target].ledger.add(row, self._traits_of(target), now_s)
        rate = self._states[plan.targets[0]].rate
        if rate is not None:
            self.note_closed(plan.targets[0], interval_s(rate.per_s), now_s)

    def note_first_event(self, plan: WorkPlan, now_s: float) -> None:
        """Note that the request writes, so its prompt has been read everywhere."""
        main, *helpers = plan.targets
        self._states[main].ledger.note_first_event(plan.work_id, now_s)
        for target in helpers:
            ledger = self._states[target].ledger
            if plan.reserved:
                ledger.note_first_event(plan.work_id, now_s)
            else:
                ledger.remove(plan.work_id)

    def note_ended(self, plan: WorkPlan) -> None:
        """Note that the work has left its targets."""
        self._suspect_plans.pop(plan.work_id, None)
        for target in plan.targets:
            self._states[target].ledger.remove(plan.work_id)

    def note_verdict(self, target: str, failed: bool, now_s: float, told_by: str = "") -> None:
        """Note whether a target has failed a request; `told_by` is the peer that says so."""
        state = self._states[target]
        before = state.distrust_at(now_s) if not state.silent else state.distrust
        weight = FAILURE_WEIGHT if failed else TRUST_WEIGHT
        state.distrust = before + weight * (float(failed) - before)
        state.judged_s = now_s
        if failed:
            _log.info(
                "target failed a request",
                extra={
                    "target": target,
                    "distrust": round(state.distrust, 3),
                    "told_by": told_by,
                    "report_age_s": shown_age_s(state, now_s),
                },
            )

    def note_report(self, target: str, report: TargetReport | None, now_s: float) -> None:
        """Note a report, None if it did not come; one of an earlier start changes nothing."""
        if report is not None and not self.note_born(target, report.born, now_s):
            return
        state = self._states[target]
        silent = report is None
        if silent != state.silent:
            _log.info("target reports", extra={"target": target, "answers": not silent})
        state.silent = silent
        if report is not None:
            state.report, state.reported_s = report, now_s
            state.refused_s.clear()
            self.suspects.note_alive(TargetStart(target, state.born), now_s)

    def note_rate(
        self, target: str, per_s: float | None, asked_s: float, now_s: float, told_by: str = ""
    ) -> bool:
        """Note the rate that an answer of a target names, None if none; return whether it is new.

        `asked_s` is when the request was sent that it answers; `told_by` the peer that was
        answered.
        """
        state = self._states[target]
        before = state.rate
        state.rate = settle_rate(before, per_s, asked_s, now_s, told_by)
        if _per_s(before) == _per_s(state.rate):
            return False
        if state.rate is None:
            self._rated.discard(target)
        else:
            self._rated.add(target)
        state.closed_until_s = _NEVER_CLOSED_S if state.rate is None else now_s
        if before is None:
            self.note_closed(target, interval_s(state.rate.per_s), now_s)
        extra = {
            "target": target,
            "per_s": _per_s(state.rate),
            "before_per_s": _per_s(before),
            "named_for_s": 0.0 if before is None else round(now_s - before.since_s, 3),
            "told_by": told_by,
        }
        _log.info("target names another rate", extra=extra)
        return True

    def note_rest(self, target: str, for_s: float, now_s: float) -> None:
        """Note that a target wants nothing from this box for a while, longest as it has said."""
        rest_s = max(self.rest_s(target, now_s), min(for_s, LONGEST_REST_S))
        self._rests[target] = _Rest(self._states[target].born, now_s + rest_s)
        extra = {"target": target, "for_s": for_s, "left_s": round(rest_s, 3)}
        _log.info("target wants rest", extra=extra)

    def rest_s(self, target: str, now_s: float) -> float:
        """Return for how long a target wants nothing from this box, in seconds; 0 if it does."""
        rest = self._rests.get(target)
        if rest is None or 0 < rest.born < self._states[target].born:
            return 0.0
        return max(0.0, rest.until_s - now_s)

    def rests(self, now_s: float) -> dict[str, float]:
        """Return which targets want nothing from this box now, and for how long."""
        left_s = {name: self.rest_s(name, now_s) for name in self._rests}
        for name in [name for name, for_s in left_s.items() if not for_s]:
            del self._rests[name]
            _log.info("target's rest is over", extra={"target": name})
        return {name: for_s for name, for_s in left_s.items() if for_s}

    def note_closed(self, target: str, for_s: float, now_s: float) -> None:
        """Note that a target takes no further request for a while."""
        state = self._states[target]
        state.closed_until_s = max(state.closed_until_s, now_s + for_s)

    def note_born(self, target: str, born: int, now_s: float) -> bool:
        """Note which start of a target has been heard of; return whether it is the latest.

        With a later one all ends that was believed of the earlier: its work, memory, pace and the
        distrust in it.
        """
        state = self._states[target]
        if not born or born == state.born:
            return True
        if born < state.born:
            return False
        if not state.born:
            state.born = born
            return True
        _log.info("target has started again", extra={"target": target, "born": born})
        self.suspects.note_ended(TargetStart(target, state.born), now_s)
        self._states[target] = TargetState(state.ledger, born=born)
        self._rated.discard(target)
        placed = [row.work_id for row in state.ledger.rows.values()
                  if now_s - row.placed_s > START_KNOWN_WITHIN_S]  # fmt: skip
        for work_id in placed:
            state.ledger.remove(work_id)
        self.on_reborn(target)
        return True

    def note_refused(self, target: str, box: str, now_s: float) -> None:
        """Note that a target's address has refused a connection of a box."""
        state = self._states[target]
        state.refused_s[box] = now_s
        self.suspects.note_ended(TargetStart(target, state.born), now_s)
        if state.refused_lately(now_s) >= REFUSED_BY:
            self.note_report(target, None, now_s)

    # Notes of peers.

    def take(self, told: Gossip, known: Sequence[str], now_s: float) -> None:
        """Take a peer's notes on targets that this box knows."""
        for note in told.work or ():
            if all(target in known for target in note.targets or ()):
                self._take_work(note, told.box or "", now_s)
        for note in told.reports or ():
            if note.target in known:
                self._take_report(note, told.box or "", now_s)

    def _take_work(self, note: WorkNote, box: str, now_s: float) -> None:
        plan = plan_of(note)
        if not plan.targets:
            return
        match note.change:
            case gossip.PLACED:
                self.note_placed(plan, now_s)
            case gossip.FIRST_EVENT:
                self.note_first_event(plan, now_s)
            case gossip.ENDED | gossip.FAILED:
                self.note_ended(plan)
                failed = note.change == gossip.FAILED
                self.note_verdict(plan.targets[0], failed, now_s, box)
            case gossip.OVERDUE:
                self.note_verdict(plan.targets[0], True, now_s, box)
            case gossip.WITHDRAWN:
                self.note_ended(plan)

    def _take_report(self, note: ReportNote, box: str, now_s: float) -> None:
        if note.born and note.born < self._states[note.target].born:
            return
        if note.refused:
            self.note_refused(note.target, box, now_s)
            return
        if not note.answered:
            if now_s - self._states[note.target].reported_s > TOLD_SILENT_S:
                self.note_report(note.target, None, now_s)
            return
        report = TargetReport(
            note.waiting or 0,
            note.running or 0,
            note.memory_used or 0,
            0,
            note.pace or 1.0,
            (),
            note.born or 0,
        )
        self.note_report(note.target, report, now_s)
        if note.asked_age_s is not None:
            asked_s = now_s - note.asked_age_s
            self.note_rate(note.target, note.rate_per_s, asked_s, now_s, box)


def _per_s(rate: NamedRate | None) -> float | None:
    return None if rate is None else rate.per_s


def shown_age_s(state: TargetState, now_s: float) -> float:
    """Return the age of a target's last report as log lines show it, in seconds."""
    return round(min(now_s - state.reported_s, _OLDEST_S), 3)


def _stake(plan: WorkPlan, now_s: float) -> Stake:
    due_s, lost_s = now_s + plan.first_due_in_s, now_s + plan.lost_in_s
    return Stake(plan.value, due_s, plan.pause_limit_s, lost_s)
