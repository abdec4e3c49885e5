"""State of all targets as known on this box: their work, reports, rate limits and failures.

The target list itself is in `beliefs`. Terms:

- *Work* is a request that was placed, see `work_plan`; the *ledger* of a target holds its work.
- *Distrust* is the estimated probability that a target fails a request.
- A target is *unresponsive* while its load reports are missing, or after it has refused
  connections from several boxes. A *suspected request* is something else: a request that may end
  the targets that run it, see `suspicion`.
- A *backoff* is a period in which this box sends a target nothing but renewals of reservations,
  because the target asked for that.
- A target is *closed* while its rate limit allows no further request.
- A target is *cold* while it is slow after a start, see `scheduling.coldness`.
- `born` identifies one start of a target's process.
"""

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import gossip
from ..fleet import TargetReport
from ..gossip.wire.ttypes import Gossip, ReportNote, WorkNote
from ..scheduling.arrivals import LongPromptArrivals
from ..scheduling.coldness import Coldness, cold_limit, settle_cold
from ..scheduling.engine_model import EngineTraits
from ..scheduling.ledger import EngineLedger, LedgerRow, Stake
from ..scheduling.part_tests import may_start_test
from ..scheduling.rates import NamedRate, interval_s, settle_rate
from ..scheduling.suspects import SuspectTracker, TargetStart
from .work_plan import WorkPlan, box_of, plan_from_note

__all__ = ["FleetView", "TargetState", "shown_age_s"]

FAILURE_WEIGHT = 0.35
"""Weight of a failed request in the moving average of distrust."""

SUCCESS_WEIGHT = 0.2
"""Weight of a successful request in the moving average of distrust."""

DISTRUST_DECAY_S = 4.0
"""Distrust decays to a third in this time, in seconds, so that recovered targets get work again."""

MIN_SILENT_REPORT_AGE_S = 1.4
"""Age of an engine's last report, in seconds, from which a peer's note of missing reports is
believed. This is longer than the next reader (see `reports`) takes to poll it (1.3 s), so that a
broken link between an engine and its reader does not make all boxes suspect it, and shorter than
two polls that time out (1.5 s), so that an unresponsive engine is detected without extra delay."""

MIN_REFUSED_BOXES = 2
"""An engine that has refused connections from this many boxes counts as unresponsive, since its
process has probably ended. A refusal to one box may be a fault of the link, so the second reader
(see `reports`) polls it in its next round. With nine boxes, the others then know after 0.9 s at
most instead of 1.2 to 1.6 s."""

REFUSAL_LIFETIME_S = 1.0
"""How long a refused connection counts, in seconds: two report intervals and a network delay."""

START_KNOWN_WITHIN_S = 1.0
"""Time within which a restart of a target normally becomes known, in seconds: two report intervals
and a network delay. Work sent there within that time may run on the new process."""

MIN_UNKNOWN_TOKENS = 24_000
"""Reported memory beyond the known work counts as unknown work from this many tokens on. Smaller
differences come from the age of reports and from unknown lengths of answers."""

SUSPECT_RUN_TIMEOUT_S = 5.0
"""How long a run of a suspected request counts as under way if no end is reported, in seconds. A
request that ends its target does so within a second. Without this limit, a placement whose
answer never reached the asking box would block the request for the 40 s that ledgers keep it."""

MAX_BACKOFF_S = 300.0
"""Maximum backoff, in seconds; longer ones are cut to this. A target that asks for days is tried
again after this time."""

_NEVER_CLOSED_S = float("-inf")

_MAX_SHOWN_AGE_S = 999.0
"""Upper limit of the report age in log lines, in seconds; also shown if no report has arrived."""

UNREACHABLE_DISTRUST = 0.97
"""Distrust in a target that does not answer."""

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class TargetState:
    """The known state of one target.

    Parameters
    ----------
    ledger : EngineLedger
        Its work.
    report : TargetReport or None
        Its last report, read by this box or by a peer.
    reported_s : float
        When that report arrived.
    distrust : float
        Probability that it fails a request, as of `distrust_updated_s`.
    distrust_updated_s : float
        When `distrust` was last updated.
    reports_missing : bool
        Whether its reports are missing, as found by this box's polls or told by peers, or it has
        refused connections from `MIN_REFUSED_BOXES` boxes.
    refused_s : dict of str to float
        The boxes whose connections it has refused since its last report, and when.
    born : int
        Identifies the start of its process, as in `TargetEntry`; 0 if unknown.
    rate : NamedRate or None
        Rate limit that the target names for all boxes together, None if it names none.
    closed_until_s : float
        Until when it takes no further request by its rate limit, as far as this box knows.
    cold : Coldness or None
        What is known of its being cold, None if nothing is.
    """

    ledger: EngineLedger = field(default_factory=EngineLedger)
    report: TargetReport | None = None
    reported_s: float = float("-inf")
    distrust: float = 0.0
    distrust_updated_s: float = float("-inf")
    reports_missing: bool = False
    refused_s: dict[str, float] = field(default_factory=dict)
    born: int = 0
    rate: NamedRate | None = None
    closed_until_s: float = float("-inf")
    cold: Coldness | None = None

    def recent_refusals(self, now_s: float) -> int:
        """Return the number of boxes whose connections it has recently refused."""
        return sum(now_s - at_s <= REFUSAL_LIFETIME_S for at_s in self.refused_s.values())

    @property
    def is_unresponsive(self) -> bool:
        """Whether its reports are missing, or it refuses connections.

        The age of a report is not evidence: the box that reads the reports may have stopped.
        """
        return self.reports_missing

    def unknown_tokens(self) -> float:
        """Return the memory in its report beyond the work known here, in tokens.

        Boxes that are partitioned from each other see each other's long prompts only in reports.
        """
        if self.report is None:
            return 0.0
        excess = self.report.memory_used - self.ledger.tokens
        return excess if excess >= MIN_UNKNOWN_TOKENS else 0.0

    def distrust_at(self, now_s: float) -> float:
        """Return the distrust at `now_s`, decayed since its last update."""
        if not self.distrust and not self.reports_missing:
            return 0.0
        decayed = self.distrust * 3 ** (-(now_s - self.distrust_updated_s) / DISTRUST_DECAY_S)
        return max(decayed, UNREACHABLE_DISTRUST) if self.reports_missing else decayed


class _Backoff(NamedTuple):
    """The end of a backoff, and the start of the target that asked for it.

    Stored apart from `TargetState`, which is dropped when the target is no longer listed.
    """

    born: int
    until_s: float


class FleetView:
    """Combines what this box's own requests and peers' notes show of the targets.

    Parameters
    ----------
    traits_of : callable
        Returns the traits of a target, by its name; the defaults if it is not an engine.

    Attributes
    ----------
    long_prompt_arrivals : LongPromptArrivals
        The long prompts that were placed recently.
    cold_per_s_of : callable
        Returns the requests per second that a target takes while it is cold, by its name; 0 if
        there is no limit.
    on_restart : callable
        Called with the name of a target that has restarted.
    suspects : SuspectTracker
        The requests that may end targets; this class reports ends of targets to it.
    """

    def __init__(
        self, traits_of: Callable[[str], EngineTraits] = lambda _target: EngineTraits()
    ) -> None:
        self._traits_of = traits_of
        self.long_prompt_arrivals = LongPromptArrivals()
        self.cold_per_s_of: Callable[[str], float] = lambda _target: 0.0
        self.on_restart: Callable[[str], None] = lambda _target: None
        self.suspects = SuspectTracker()
        self._suspect_plans: dict[str, WorkPlan] = {}
        self._suspect_begun_s: dict[str, float] = {}
        self._states: dict[str, TargetState] = defaultdict(TargetState)
        self._rate_limited: set[str] = set()
        self._cold: set[str] = set()
        self._backoffs: dict[str, _Backoff] = {}

    def state(self, target: str) -> TargetState:
        """Return the state of a target; a default state if nothing is known of it."""
        return self._states[target]

    def forget(self, target: str) -> None:
        """Drop the state of a target that is gone."""
        self._states.pop(target, None)
        self._rate_limited.discard(target)
        self._cold.discard(target)

    def rates(self) -> list[tuple[str, NamedRate]]:
        """Return the targets that name a rate limit, sorted by name, with their rates."""
        return [(name, self._states[name].rate) for name in sorted(self._rate_limited)]

    def is_cold(self, target: str, now_s: float) -> bool:
        """Whether a target is cold now and its service limits the requests to cold targets."""
        if target not in self._cold:
            return False
        cold = self._states[target].cold
        return cold is not None and cold.until_s > now_s and self.cold_per_s_of(target) > 0

    def cold(self, now_s: float) -> dict[str, Coldness]:
        """Return the targets that are cold now; those that are not any more are forgotten."""
        known = {name: self._states[name].cold for name in sorted(self._cold)}
        cold = {n: c for n, c in known.items() if c is not None and c.until_s > now_s}
        self._cold = set(cold)
        return cold

    def limit(self, target: str, now_s: float) -> NamedRate | None:
        """Return the rate limit of a target, by the rate that it names and by being cold."""
        state = self._states[target]
        if target not in self._cold:
            return state.rate
        return cold_limit(state.rate, state.cold, self.cold_per_s_of(target), now_s)

    def closed(self, now_s: float) -> dict[str, float]:
        """Return the targets that are closed by their rate limits, and for how many seconds."""
        limited = self._rate_limited
        if self._cold:
            # `cold` also forgets the targets that are not cold any more: this runs for each choice.
            cold = self.cold(now_s)
            limited = limited | {name for name in cold if self.is_cold(name, now_s)}
        left_s = {name: self._states[name].closed_until_s - now_s for name in limited}
        return {name: for_s for name, for_s in left_s.items() if for_s > 0}

    def note_gone(self, target: str, born: int, now_s: float) -> None:
        """Record that a target has gone without announcing that it leaves."""
        self.suspects.note_ended(TargetStart(target, born), now_s)

    def suspect_plans(self, now_s: float) -> list[WorkPlan]:
        """Return the plans of suspected requests that are under way."""
        if self._suspect_plans:
            self._suspect_plans = {
                work_id: plan
                for work_id, plan in self._suspect_plans.items()
                if (row := self._states[plan.targets[0]].ledger.rows.get(work_id)) is not None
                and now_s - row.placed_s < SUSPECT_RUN_TIMEOUT_S
            }
            self._suspect_begun_s = {
                work_id: begun_s
                for work_id, begun_s in self._suspect_begun_s.items()
                if work_id in self._suspect_plans
            }
        return list(self._suspect_plans.values())

    def may_test(self, part: bytes, now_s: float) -> bool:
        """Return whether a further request with a suspected part may run now."""
        return self._may_start([p for p in self.suspect_plans(now_s) if part in p.parts], now_s)

    def may_repeat(self, lost_together: Collection[bytes], now_s: float) -> bool:
        """Return whether a lost request may be sent again beside others lost with its target."""
        repeats = [p for p in self.suspect_plans(now_s) if p.digest in lost_together]
        return self._may_start(repeats, now_s)

    def _may_start(self, tests: Sequence[WorkPlan], now_s: float) -> bool:
        begun_s = [self._suspect_begun_s.get(plan.work_id) for plan in tests]
        placed_s = [self._states[p.targets[0]].ledger.rows[p.work_id].placed_s for p in tests]
        return may_start_test(
            [None if at_s is None else now_s - at_s for at_s in begun_s],
            [now_s - at_s for at_s in placed_s],
        )

    def forget_work_of(self, box: str) -> None:
        """Drop the work of a box that has gone or restarted, since no box will report its end.

        Otherwise the rows would count until they expire (40 s) and distort placements.
        """
        for state in self._states.values():
            lost = [work_id for work_id in state.ledger.rows if box_of(work_id) == box]
            for work_id in lost:
                state.ledger.remove(work_id)

    def note_placed(self, plan: WorkPlan, now_s: float) -> None:
        """Record work that was placed; a rate limit, if any, closes its target for a while."""
        parts = len(plan.targets)
        if plan.digest or plan.parts:
            self._suspect_plans[plan.work_id] = plan
        traits = self._traits_of(plan.targets[0])
        self.long_prompt_arrivals.note(plan.prompt_tokens, parts, now_s, plan.answer_tokens, traits)
        for index, target in enumerate(plan.targets):
            main = index == 0
            row = LedgerRow(
                work_id=plan.work_id,
                prompt_tokens=plan.prompt_tokens / parts,
                pair_factor=float(parts),
                answer_tokens=plan.answer_tokens if main else 0,
                held_tokens=plan.held_tokens(main),
                writes=main,
                stake=_stake(plan, now_s),
                placed_s=now_s,
            )
            self._states[target].ledger.add(row, self._traits_of(target), now_s)
        rate = self.limit(plan.targets[0], now_s)
        if rate is not None:
            self.note_closed(plan.targets[0], interval_s(rate.per_s), now_s)

    def note_first_event(self, plan: WorkPlan, now_s: float) -> None:
        """Record that the answer has begun, so all parts of the prompt have been read."""
        main, *helpers = plan.targets
        self._states[main].ledger.note_first_event(plan.work_id, now_s)
        if plan.work_id in self._suspect_plans:
            self._suspect_begun_s.setdefault(plan.work_id, now_s)
        for target in helpers:
            ledger = self._states[target].ledger
            if plan.reserved:
                ledger.note_first_event(plan.work_id, now_s)
            else:
                ledger.remove(plan.work_id)

    def note_ended(self, plan: WorkPlan) -> None:
        """Record that the work has left its targets."""
        self._suspect_plans.pop(plan.work_id, None)
        for target in plan.targets:
            self._states[target].ledger.remove(plan.work_id)

    def note_outcome(self, target: str, failed: bool, now_s: float, told_by: str = "") -> None:
        """Update a target's distrust after a request; `told_by` is the reporting peer, if any."""
        state = self._states[target]
        before = state.distrust_at(now_s) if not state.reports_missing else state.distrust
        weight = FAILURE_WEIGHT if failed else SUCCESS_WEIGHT
        state.distrust = before + weight * (float(failed) - before)
        state.distrust_updated_s = now_s
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
        """Record a report, None if it is missing; a report of an earlier start is ignored."""
        if report is not None and not self.note_start(target, report.born, now_s):
            return
        state = self._states[target]
        reports_missing = report is None
        if reports_missing != state.reports_missing:
            _log.info("target reports", extra={"target": target, "answers": not reports_missing})
        state.reports_missing = reports_missing
        if report is not None:
            state.report, state.reported_s = report, now_s
            state.refused_s.clear()
            self.suspects.note_alive(TargetStart(target, state.born), now_s)

    def note_rate(
        self, target: str, per_s: float | None, asked_s: float, now_s: float, told_by: str = ""
    ) -> bool:
        """Record the rate limit in a target's answer, None if none; return whether it has changed.

        `asked_s` is when the answered request was sent, `now_s` when the answer arrived; `told_by`
        is the peer that got the answer, if any.
        """
        state = self._states[target]
        before = state.rate
        state.rate = settle_rate(before, per_s, asked_s, now_s, told_by)
        if _per_s(before) == _per_s(state.rate):
            return False
        if state.rate is None:
            self._rate_limited.discard(target)
        else:
            self._rate_limited.add(target)
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
        _log.info("target changed its rate limit", extra=extra)
        return True

    def note_cold(
        self,
        target: str,
        left_s: float,
        heard_s: float,
        told_by: str = "",
        is_stated: bool = True,
    ) -> bool:
        """Record for how long a target is cold; return whether this is what applies now.

        The parameters are those of `settle_cold`.
        """
        state = self._states[target]
        before = state.cold
        state.cold = settle_cold(before, left_s, heard_s, told_by, is_stated)
        if state.cold.until_s > heard_s:
            self._cold.add(target)
        return state.cold is not before

    def note_backoff(self, target: str, for_s: float, now_s: float) -> None:
        """Record that a target takes nothing from this box for `for_s` seconds.

        The backoff is cut to `MAX_BACKOFF_S`; of overlapping backoffs, the later end counts.
        """
        left_s = max(self.backoff_s(target, now_s), min(for_s, MAX_BACKOFF_S))
        self._backoffs[target] = _Backoff(self._states[target].born, now_s + left_s)
        extra = {"target": target, "for_s": for_s, "left_s": round(left_s, 3)}
        _log.info("target asked for backoff", extra=extra)

    def backoff_s(self, target: str, now_s: float) -> float:
        """Return the remaining backoff of a target in seconds, 0 if there is none."""
        backoff = self._backoffs.get(target)
        if backoff is None or 0 < backoff.born < self._states[target].born:
            return 0.0
        return max(0.0, backoff.until_s - now_s)

    def backoffs(self, now_s: float) -> dict[str, float]:
        """Return the targets that are in backoff now, and for how many more seconds."""
        left_s = {name: self.backoff_s(name, now_s) for name in self._backoffs}
        for name in [name for name, for_s in left_s.items() if not for_s]:
            del self._backoffs[name]
            _log.info("backoff of target ended", extra={"target": name})
        return {name: for_s for name, for_s in left_s.items() if for_s}

    def note_closed(self, target: str, for_s: float, now_s: float) -> None:
        """Record that a target takes no further request for `for_s` seconds."""
        state = self._states[target]
        state.closed_until_s = max(state.closed_until_s, now_s + for_s)

    def note_start(self, target: str, born: int, now_s: float) -> bool:
        """Record that a start of a target was seen; return whether it is the latest known.

        A later start discards the state of the earlier one: report, distrust, rate limit, cold
        time, and the work placed longer ago than `START_KNOWN_WITHIN_S`.
        """
        state = self._states[target]
        if not born or born == state.born:
            return True
        if born < state.born:
            return False
        if not state.born:
            state.born = born
            return True
        _log.info("target restarted", extra={"target": target, "born": born})
        self.suspects.note_ended(TargetStart(target, state.born), now_s)
        self._states[target] = TargetState(state.ledger, born=born)
        self._rate_limited.discard(target)
        self._cold.discard(target)
        lost = [row.work_id for row in state.ledger.rows.values()
                if now_s - row.placed_s > START_KNOWN_WITHIN_S]  # fmt: skip
        for work_id in lost:
            state.ledger.remove(work_id)
        self.on_restart(target)
        return True

    def note_refused(self, target: str, box: str, now_s: float) -> None:
        """Record that a target has refused a connection from a box."""
        state = self._states[target]
        state.refused_s[box] = now_s
        self.suspects.note_ended(TargetStart(target, state.born), now_s)
        if state.recent_refusals(now_s) >= MIN_REFUSED_BOXES:
            self.note_report(target, None, now_s)

    # Notes from peers.

    def receive(self, message: Gossip, known: Sequence[str], now_s: float) -> None:
        """Process a peer's notes on targets that this box knows."""
        for note in message.work or ():
            if all(target in known for target in note.targets or ()):
                self._apply_work_note(note, message.box or "", now_s)
        for note in message.reports or ():
            if note.target in known:
                self._apply_report_note(note, message.box or "", now_s)

    def _apply_work_note(self, note: WorkNote, box: str, now_s: float) -> None:
        plan = plan_from_note(note)
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
                self.note_outcome(plan.targets[0], failed, now_s, box)
            case gossip.OVERDUE:
                self.note_outcome(plan.targets[0], True, now_s, box)
            case gossip.WITHDRAWN:
                self.note_ended(plan)

    def _apply_report_note(self, note: ReportNote, box: str, now_s: float) -> None:
        if note.born and note.born < self._states[note.target].born:
            return
        if note.refused:
            self.note_refused(note.target, box, now_s)
            return
        if not note.answered:
            if now_s - self._states[note.target].reported_s > MIN_SILENT_REPORT_AGE_S:
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
    """Return the age of a target's last report for log lines, in seconds."""
    return round(min(now_s - state.reported_s, _MAX_SHOWN_AGE_S), 3)


def _stake(plan: WorkPlan, now_s: float) -> Stake:
    due_s, caller_leaves_s = now_s + plan.first_due_in_s, now_s + plan.caller_leaves_in_s
    return Stake(plan.worth, due_s, plan.pause_limit_s, caller_leaves_s)
