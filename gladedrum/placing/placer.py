"""Placements: decided by this box, or by a member of the circle that it asks.

A member that does not answer in time is passed over, and at last the box decides by what it knows
itself: the circle makes placements better and is needed for none.
"""

import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.circle import Circle, rank
from ..beliefs.target_list import TargetKeeper
from ..fleet import TargetEntry
from ..gossip.wire.ttypes import AskNote, ChoiceNote, Gossip
from ..routes import Service
from ..scheduling.questions import WaitingQuestions
from ..scheduling.suspects import Standing
from .choosing import AllClosed, Barred, Choice, Chooser, Demand, Held, Hopeless, NoPlace
from .fleet_view import FleetView
from .members import Members
from .work_plan import WorkPlan, note_of

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

ANSWER_WITHIN_S = 0.03
"""A question that has waited longer here is not decided any more, in seconds: its asker may have
gone elsewhere by the time the answer arrives."""

_log = logging.getLogger(__name__)


class _Question(NamedTuple):
    """A peer's question, and where its answer goes."""

    note: AskNote
    address: tuple[str, int]


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
        self._members = Members(clock, circle, port)
        self._questions: WaitingQuestions[_Question] = WaitingQuestions(ANSWER_WITHIN_S)
        self._inside_since_s: float | None = clock.seconds()

    async def place(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[Choice, WorkPlan] | NoPlace | None:
        """Return where a request goes, noted in the ledgers; None if there is no place."""
        answer = await self._ask_in_order(self._deciders(work_id, demand), work_id, demand, tried)
        if answer is None:
            return self._decide(work_id, demand, tried)
        asked_id, choice = answer
        if isinstance(choice, NoPlace):
            return choice
        return choice, self._chooser.plan(asked_id, demand, choice)

    def take(self, told: Gossip, address: tuple[str, int]) -> None:
        """Answer what a peer asks; take what it has decided."""
        self._note_membership()
        for ask in told.asks or ():
            self._questions.put(_Question(ask, address), self._clock.seconds())
            # One in each turn, so that what arrives meanwhile is read before the next is decided.
            self._clock.callLater(0, self._answer_next)
        for note in told.choices or ():
            self._members.take(note)

    def _answer_next(self) -> None:
        """Answer the question that came last; say so at once if it has waited too long."""
        question, in_time = self._questions.take(self._clock.seconds())
        note = question.note
        answer = self._answer_to(note) if in_time else ChoiceNote(note.work_id, [], busy=True)
        self._port.answer(question.address, answer)

    def _decide(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[Choice, WorkPlan] | NoPlace | None:
        objection = self._chooser.objection(demand)
        if objection is not None:
            return objection
        choice = self._chooser.choose(demand, tried)
        if choice is None:
            reopens_s = self._chooser.reopens_s(demand)
            return None if reopens_s is None else AllClosed(reopens_s)
        if choice.lost_chance > HOPELESS and not demand.committed:
            wait_s = choice.first_event_s - (demand.first_due_s - self._clock.seconds())
            return Hopeless(min(LONGEST_WAIT_S, max(LEAST_WAIT_S, wait_s)))
        plan = self._chooser.plan(work_id, demand, choice)
        self._port.tell_work(note_of(plan, gossip.PLACED))
        return choice, plan

    def _deciders(self, work_id: str, demand: Demand) -> list[str]:
        """Return who may decide, the best first; nobody if this box does.

        Of a request that is to run one at a time, one box knows all runs.
        """
        if demand.prompt_tokens >= LONG_TOKENS:
            members = self._circle.arbiters()
        elif self._chooser.standing(demand) >= Standing.ALONE:
            members = self._in_order_of(demand.digest.hex())
        elif self._circle.includes_me() and (demand.service.engine is None or not self._is_cold()):
            return []
        else:
            members = self._in_order_of(work_id)
        return [member for member in members if self._members.may_be_asked(member)]

    def _in_order_of(self, text: str) -> list[str]:
        """Return the members in an order that boxes know alike for a text."""
        return sorted(self._circle.members(), key=lambda name: rank(f"{name}|{text}"))

    async def _ask_in_order(
        self, deciders: Sequence[str], work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[str, Choice | NoPlace] | None:
        """Return what one of `deciders` has chosen, and under which id; None to decide here.

        Each question has an id of its own: a member that answers too late has noted the work under
        it, which is withdrawn then.
        """
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
            note.work_id = f"{work_id}.{asked}"
            answer = await self._members.ask(member, note)
            if answer is not None and not answer.cold and not answer.busy:
                return self._answered(answer, member)
            if answer is not None and answer.cold:
                cold.append(member)
        if not cold or cold[0] == self._me:
            return None
        return await self._insist(cold[0], note, work_id)

    async def _insist(
        self, member: str, note: AskNote, work_id: str
    ) -> tuple[str, Choice | NoPlace] | None:
        """Return what a cold member chooses if nobody knows the fleet's work.

        The first one decides all the same, so that what comes next is placed by one that knows of
        this.
        """
        note.insists = True
        note.work_id = f"{work_id}.0"
        answer = await self._members.ask(member, note)
        return None if answer is None else self._answered(answer, member)

    def _answered(self, note: ChoiceNote, member: str) -> tuple[str, Choice | NoPlace] | None:
        choice = self._choice_of(note, member)
        if choice is not None:
            return note.work_id, choice
        # A target that it has chosen is leaving, wants rest from this box, or is unknown here.
        self._members.withdraw(note)
        return None

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
            connected=sorted(demand.connected),
            digest=demand.digest or None,
            closed=self._view.closed(self._clock.seconds()) or None,
            resting=dict(demand.closed) or None,
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

    def _choice_of(self, note: ChoiceNote, member: str) -> Choice | NoPlace | None:
        if note.come_back_s:
            return Hopeless(note.come_back_s)
        if note.condemned_s:
            return Barred(note.condemned_s)
        if note.held:
            return Held()
        if note.closed_s:
            return AllClosed(note.closed_s)
        entries = [self._entry(name) for name in note.targets or ()]
        if not entries or None in entries:
            return None
        main, *helpers = entries
        if note.rate_per_s is not None:
            # Boxes that don't hear of all work know rates from those that decide for them.
            now_s = self._clock.seconds()
            self._view.note_rate(main.name, note.rate_per_s, float("-inf"), now_s, member)
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
        rests = self._view.rest_s(name, self._clock.seconds())
        usable = self._targets.may_get_work(name) and not rests
        return self._targets.entries.get(name) if usable else None

    def _answer_to(self, ask: AskNote) -> ChoiceNote:
        if self._is_cold() and not ask.insists:
            return ChoiceNote(ask.work_id, [], cold=True)
        now_s = self._clock.seconds()
        for name, for_s in (ask.closed or {}).items():
            if self._view.state(name).rate is not None:
                self._view.note_closed(name, for_s, now_s)
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
            frozenset(ask.connected or ()),
            ask.digest or b"",
            {**(ask.closed or {}), **(ask.resting or {})},
        )
        placed = self._decide(ask.work_id or "", demand, ask.tried or ())
        return _answer_of(ask.work_id, placed, self._rate_of(placed))

    def _rate_of(self, placed: tuple[Choice, WorkPlan] | NoPlace | None) -> float | None:
        """Return the rate that the target of a placement names, None if none."""
        if placed is None or isinstance(placed, NoPlace):
            return None
        rate = self._view.state(placed[0].main.name).rate
        return None if rate is None else rate.per_s


def _answer_of(
    work_id: str, placed: tuple[Choice, WorkPlan] | NoPlace | None, rate_per_s: float | None
) -> ChoiceNote:
    match placed:
        case None:
            return ChoiceNote(work_id, [])
        case Hopeless(come_back_s=come_back_s):
            return ChoiceNote(work_id, [], come_back_s=come_back_s)
        case Barred(come_back_s=come_back_s):
            return ChoiceNote(work_id, [], condemned_s=come_back_s)
        case Held():
            return ChoiceNote(work_id, [], held=True)
        case AllClosed(come_back_s=come_back_s):
            return ChoiceNote(work_id, [], closed_s=come_back_s)
        case choice, _plan:
            return ChoiceNote(
                work_id,
                list(choice.names),
                choice.part_tokens,
                choice.reserved,
                choice.loss,
                choice.first_event_s,
                choice.pause_s,
                rate_per_s=rate_per_s,
            )
