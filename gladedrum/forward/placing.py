"""Placements: decided by this box, or by a member of the circle that it asks.

A member that does not answer in time is passed over, and at last the box decides by what it knows
itself: the circle makes placements better and is needed for none.
"""

import logging
from collections.abc import Callable, Sequence

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..fleet import TargetEntry
from ..routes import Service
from . import gossip
from .choosing import Choice, Chooser, Demand, Hopeless
from .circle import ASK_S, Circle, rank
from .fleet_view import FleetView, WorkPlan, note_of
from .target_list import TargetKeeper
from .wire.ttypes import AskNote, ChoiceNote, Gossip

__all__ = ["Placer"]

ASKED = 2
"""How many members are asked before a box decides alone."""

LONG_TOKENS = 30_000
"""Prompts from so many tokens on are placed by one box, the arbiter: two that are placed at one
moment by two boxes take the same idle engines, and the later is seconds late. Worth 1.6% of a calm
day (mean of four paired runs without it)."""

HOPELESS = 0.9
"""A request is refused at once if its caller will have left before the first event with this
chance, on the targets that serve it best: served in vain, it would delay the others. On overloaded
days that is worth 2.4% of all that could be earned (mean of five paired runs)."""

LEAST_WAIT_S, LONGEST_WAIT_S = 0.25, 10.0
"""Bounds of when such a caller is told to come back, in seconds: a few passes of an engine; what
callers wait at all."""

COLD_S = 3.0
"""For so long after it has begun to hear of all work, a box lets others decide, in seconds: by then
most requests that it has not heard of have ended."""

SHUNNED_S = 2.0
"""How long a member that did not answer is not asked, in seconds."""

_log = logging.getLogger(__name__)


class Placer:
    """Places requests, by itself or by asking a member of the circle.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    circle : Circle
        Who decides.
    chooser : Chooser
        Decides here.
    targets : TargetKeeper
        The list of targets.
    view : FleetView
        The work that is known here.
    port : GossipPort
        Datagrams to other boxes.
    service_of : callable
        Returns what is known of a service, by its name.
    """

    def __init__(
        self,
        clock: IReactorTime,
        circle: Circle,
        chooser: Chooser,
        targets: TargetKeeper,
        view: FleetView,
        port: gossip.GossipPort,
        service_of: Callable[[str], Service],
    ):
        self._clock = clock
        self._me = circle.me
        self._circle = circle
        self._chooser = chooser
        self._targets = targets
        self._view = view
        self._port = port
        self._service_of = service_of
        self._waiting: dict[str, defer.Deferred[ChoiceNote | None]] = {}
        self._shunned_until_s: dict[str, float] = {}
        self._inside_since_s: float | None = clock.seconds()

    async def place(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[Choice, WorkPlan] | Hopeless | None:
        """Return where a request goes, noted in the ledgers; None if there is no place."""
        answer = await self._ask_in_order(self._deciders(work_id, demand), work_id, demand, tried)
        match answer:
            case Choice():
                return answer, self._chooser.plan(work_id, demand, answer)
            case Hopeless():
                return answer
            case None:
                return self._decide(work_id, demand, tried)

    def take(self, told: Gossip, address: tuple[str, int]) -> None:
        """Answer what a peer asks; take what it has decided."""
        self._note_membership()
        for ask in told.asks or ():
            self._port.answer(address, self._answer_to(ask))
        for note in told.choices or ():
            waiting = self._waiting.pop(note.work_id, None)
            if waiting is not None:
                waiting.callback(note)

    def _decide(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[Choice, WorkPlan] | Hopeless | None:
        choice = self._chooser.choose(demand, tried)
        if choice is None:
            return None
        if choice.lost_chance > HOPELESS and not demand.committed:
            wait_s = choice.first_event_s - (demand.first_due_s - self._clock.seconds())
            return Hopeless(min(LONGEST_WAIT_S, max(LEAST_WAIT_S, wait_s)))
        plan = self._chooser.plan(work_id, demand, choice)
        self._port.tell_work(note_of(plan, gossip.PLACED))
        return choice, plan

    def _deciders(self, work_id: str, demand: Demand) -> list[str]:
        """Return who may decide, the best first; nobody if this box does."""
        if demand.prompt_tokens >= LONG_TOKENS:
            members = self._circle.arbiters()
        elif self._circle.includes_me() and (demand.service.engine is None or not self._is_cold()):
            return []
        else:
            members = sorted(self._circle.members(), key=lambda name: rank(f"{name}|{work_id}"))
        now_s = self._clock.seconds()
        return [m for m in members if self._shunned_until_s.get(m, 0.0) <= now_s]

    async def _ask_in_order(
        self, deciders: Sequence[str], work_id: str, demand: Demand, tried: Sequence[str]
    ) -> Choice | Hopeless | None:
        """Return what one of `deciders` has chosen; None if this box is to decide."""
        note = self._ask_note(work_id, demand, tried)
        cold, asked = [], 0
        for member in deciders:
            if member == self._me:
                if not self._is_cold():
                    return None
                cold.append(member)
                continue
            if asked == ASKED:
                break
            asked += 1
            answer = await self._ask(member, note)
            if answer is not None and not answer.cold:
                return self._choice_of(answer, member)
            if answer is not None:
                cold.append(member)
        if not cold or cold[0] == self._me:
            return None
        return await self._insist(cold[0], note)

    async def _insist(self, member: str, note: AskNote) -> Choice | Hopeless | None:
        """Return what a cold member chooses if nobody knows the fleet's work.

        The first one decides all the same, so that what comes next is placed by one that knows of
        this.
        """
        note.insists = True
        answer = await self._ask(member, note)
        return None if answer is None else self._choice_of(answer, member)

    def _ask_note(self, work_id: str, demand: Demand, tried: Sequence[str]) -> AskNote:
        return AskNote(
            work_id,
            demand.service.name,
            demand.prompt_tokens,
            demand.answer_tokens,
            demand.first_due_s - self._clock.seconds(),
            demand.pause_limit_s,
            list(tried),
            demand.data_hall,
            demand.policy,
            lost_in_s=demand.lost_s - self._clock.seconds(),
            committed=demand.committed,
        )

    def _note_membership(self) -> None:
        if not self._circle.includes_me():
            self._inside_since_s = None
        elif self._inside_since_s is None:
            self._inside_since_s = self._clock.seconds()

    def _is_cold(self) -> bool:
        """Whether this box has begun too lately to hear of all work to know it."""
        self._note_membership()
        since_s = self._inside_since_s
        return since_s is None or self._clock.seconds() - since_s < COLD_S

    async def _ask(self, member: str, note: AskNote) -> ChoiceNote | None:
        address = self._circle.address(member)
        if address is None:
            return None
        waiting: defer.Deferred[ChoiceNote | None] = defer.Deferred()
        self._waiting[note.work_id] = waiting
        self._port.ask(address, note)
        waiting.addTimeout(ASK_S, self._clock, onTimeoutCancel=lambda _result, _timeout_s: None)
        try:
            answer = await waiting
        finally:
            self._waiting.pop(note.work_id, None)
        if answer is None:
            self._shunned_until_s[member] = self._clock.seconds() + SHUNNED_S
            _log.info("no placement from peer", extra={"peer": member})
        return answer

    def _choice_of(self, note: ChoiceNote, member: str) -> Choice | Hopeless | None:
        if note.come_back_s:
            return Hopeless(note.come_back_s)
        entries = [self._entry(name) for name in note.targets or ()]
        if not entries or None in entries:
            return None
        main, *helpers = entries
        return Choice(
            main,
            tuple(helpers),
            note.part_tokens or 0,
            bool(note.reserved),
            note.loss or 0.0,
            note.first_event_s or 0.0,
            note.pause_s or 0.0,
            member,
        )

    def _entry(self, name: str) -> TargetEntry | None:
        return self._targets.entries.get(name) if self._targets.may_get_work(name) else None

    def _answer_to(self, ask: AskNote) -> ChoiceNote:
        if self._is_cold() and not ask.insists:
            return ChoiceNote(ask.work_id, [], cold=True)
        demand = Demand(
            self._service_of(ask.service_name or ""),
            ask.prompt_tokens or 0,
            ask.answer_tokens or 0,
            self._clock.seconds() + (ask.first_due_in_s or 0.0),
            ask.pause_limit_s or 1.0,
            ask.data_hall or "",
            ask.policy or "",
            self._clock.seconds() + (float("inf") if ask.lost_in_s is None else ask.lost_in_s),
            bool(ask.committed),
        )
        placed = self._decide(ask.work_id or "", demand, ask.tried or ())
        if placed is None:
            return ChoiceNote(ask.work_id, [])
        if isinstance(placed, Hopeless):
            return ChoiceNote(ask.work_id, [], come_back_s=placed.come_back_s)
        choice, _plan = placed
        return ChoiceNote(
            ask.work_id,
            list(choice.names),
            choice.part_tokens,
            choice.reserved,
            choice.loss,
            choice.first_event_s,
            choice.pause_s,
        )
