"""Placement of requests, decided on this box or by a coordinator that it asks.

The members of the `CoordinatorGroup`, the *coordinators*, receive notes on all work in the fleet
(see `work_plan`) and decide for the other boxes. The box that decides on a request is its
*decider*. The group improves placements but is not required: a coordinator that does not answer in
time is skipped, and in the end the box decides from its own state.
"""

import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.coordinators import CoordinatorGroup, rank
from ..beliefs.target_list import TargetListFollower
from ..fleet import TargetEntry
from ..gossip.wire.ttypes import AskNote, ChoiceNote, ColdNote, Gossip
from ..routes import Service
from ..scheduling.arrivals import LONG_PROMPT_TOKENS
from ..scheduling.questions import WaitingQuestions
from ..scheduling.ranked_placement import MAX_RANK_WEIGHT
from ..scheduling.suspects import Standing
from ..scheduling.waiting import MAX_WAIT_S, MIN_WAIT_S
from .choosing import (
    AllTargetsClosed,
    Choice,
    Chooser,
    Demand,
    NoPlacement,
    NoTargetInTime,
    RequestCondemned,
    RequestOnHold,
    WaitForEngine,
)
from .coordinator_client import CoordinatorClient
from .fleet_view import FleetView
from .late_binding import LateBinding
from .work_plan import WorkPlan, note_from_plan

__all__ = ["Placer"]

MAX_MEMBERS_ASKED = 2
"""Number of coordinators that are asked before a box decides alone. If some were cold (see
`WARM_UP_S`), the first of these is asked once more, to decide all the same."""


MAX_ABANDON_CHANCE = 0.9
"""A request is refused at once if the probability that its caller leaves before the first event is
higher than this on the targets that serve it best. Serving it would only delay other requests. On
overloaded days this was worth 2.4% of all that could be earned."""

MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.25, 10.0
"""Bounds of Retry-After for a request that `MAX_ABANDON_CHANCE` refuses, in seconds: a few passes
of an engine (see `engine_model`), and the longest time that callers wait."""

WARM_UP_S = 3.0
"""How long a box is *cold* after it starts to receive notes on all work, in seconds. A cold box
lets others decide. After this time, most requests that it does not know of have ended."""

WATCH_FOR_S = 60.0
"""How long a box names the parts of prompts in its questions after a coordinator has asked for
them, in seconds. Each time costs one request the pause until it is placed again."""

MAX_QUESTION_AGE_S = 0.03
"""A peer's question that has waited longer than this, in seconds, is answered "busy": the peer may
have given up before a decision arrives."""

_log = logging.getLogger(__name__)


class _Question(NamedTuple):
    """A question from a peer, and the address that its answer goes to."""

    note: AskNote
    address: tuple[str, int]


class Placer:
    """Places requests, locally or by asking a coordinator.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    coordinators : CoordinatorGroup
        The coordinator group.
    chooser : Chooser
        Chooses targets on this box.
    targets : TargetListFollower
        The list of targets.
    view : FleetView
        The state of targets as known on this box.
    port : GossipPort
        Sends datagrams to other boxes.
    service_of : callable
        Returns the `Service` with a given name.

    Attributes
    ----------
    cold_note_for : callable
        Returns a `ColdNote` on a target by name, None if it is not cold.
    """

    def __init__(
        self,
        clock: IReactorTime,
        coordinators: CoordinatorGroup,
        chooser: Chooser,
        targets: TargetListFollower,
        view: FleetView,
        port: gossip.GossipPort,
        service_of: Callable[[str], Service],
    ):
        self._clock = clock
        self._me = coordinators.me
        self._coordinators = coordinators
        self._chooser = chooser
        self._late_binding = LateBinding(clock, chooser)
        self._targets = targets
        self._view = view
        self._port = port
        self._service_of = service_of
        self._client = CoordinatorClient(clock, coordinators, port)
        self._questions: WaitingQuestions[_Question] = WaitingQuestions(MAX_QUESTION_AGE_S)
        self._member_since_s: float | None = clock.seconds()
        self.cold_note_for: Callable[[str], ColdNote | None] = lambda _target: None

    async def place(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[Choice, WorkPlan] | NoPlacement | None:
        """Choose where a request runs and record it in the ledgers; None if no target has room.

        A `NoPlacement` says why it is not placed now. Targets in `tried` are used last.
        """
        answer = await self._ask_deciders(self._deciders(work_id, demand), work_id, demand, tried)
        if answer is None:
            return self._decide(work_id, demand, tried)
        asked_id, choice = answer
        if isinstance(choice, NoPlacement):
            return choice
        return choice, self._chooser.record_choice(asked_id, demand, choice)

    def receive(self, message: Gossip, address: tuple[str, int]) -> None:
        """Answer questions from a peer and process its answers to ours."""
        self._note_membership()
        for ask in message.asks or ():
            self._questions.put(_Question(ask, address), self._clock.seconds())
            # One per reactor turn, so that arriving datagrams are read between decisions.
            self._clock.callLater(0, self._answer_next)
        for note in message.choices or ():
            self._client.receive(note)

    def _answer_next(self) -> None:
        """Answer the latest question; reply "busy" at once if it has waited too long."""
        question, in_time = self._questions.take(self._clock.seconds())
        note = question.note
        answer = self._answer_question(note) if in_time else ChoiceNote(note.work_id, [], busy=True)
        cold = self.cold_note_for(answer.targets[0]) if answer.targets else None
        self._port.answer(question.address, answer, cold)

    def _decide(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[Choice, WorkPlan] | NoPlacement | None:
        """Choose on this box; record the placement in the ledgers and send it to the peers."""
        refusal = self._chooser.suspect_refusal(demand)
        if refusal is not None:
            return refusal
        choice = self._late_binding.choose(work_id, demand, tried)
        if isinstance(choice, WaitForEngine):
            return choice
        if choice is None:
            reopens_s = self._chooser.reopens_s(demand)
            return None if reopens_s is None else AllTargetsClosed(reopens_s)
        if choice.abandon_chance > MAX_ABANDON_CHANCE and not demand.committed:
            wait_s = choice.first_event_s - (demand.first_due_s - self._clock.seconds())
            return NoTargetInTime(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
        plan = self._chooser.record_choice(work_id, demand, choice)
        self._port.broadcast_work(note_from_plan(plan, gossip.PLACED))
        return choice, plan

    def _deciders(self, work_id: str, demand: Demand) -> list[str]:
        """Return the boxes that may decide, best first; empty if this box decides.

        A suspected request that must run alone always goes to the same decider, which therefore
        knows all its runs.
        """
        if demand.prompt_tokens >= LONG_PROMPT_TOKENS:
            # A single box: two boxes that place long prompts at the same moment would pick the same
            # idle engines. The later prompt would then be seconds late, which was worth 1.6% of a
            # calm day. The order of waiting prompts relies on it too.
            members = self._coordinators.ranked_members()
        elif self._chooser.standing(demand) >= Standing.ALONE:
            members = self._members_ranked_for(self._chooser.suspected_cause(demand).hex())
        elif self._coordinators.includes_me() and (
            demand.service.engine is None or not self._is_cold()
        ):
            return []
        else:
            members = self._members_ranked_for(work_id)
        return [member for member in members if self._client.is_available(member)]

    def _members_ranked_for(self, text: str) -> list[str]:
        """Return the coordinators in an order given by `text`, which is the same on all boxes."""
        return sorted(self._coordinators.members(), key=lambda name: rank(f"{name}|{text}"))

    async def _ask_deciders(
        self, deciders: Sequence[str], work_id: str, demand: Demand, tried: Sequence[str]
    ) -> tuple[str, Choice | NoPlacement] | None:
        """Return the work id and the choice of one of `deciders`; None to decide on this box.

        Each question has its own work id. A coordinator that answers too late has already recorded
        the work under that id, and the record is withdrawn.
        """
        note = self._ask_note(work_id, demand, tried)
        cold, asked = [], 0
        for member in deciders:
            if member == self._me:
                if not self._is_cold():
                    return None
                cold.append(member)
                continue
            if asked == MAX_MEMBERS_ASKED:
                break
            asked += 1
            note.work_id = f"{work_id}.{asked}"
            answer = await self._client.ask(member, note)
            if answer is not None and not answer.cold and not answer.busy:
                return self._accept(answer, member)
            if answer is not None and answer.cold:
                cold.append(member)
        if not cold or cold[0] == self._me:
            return None
        return await self._ask_cold_member(cold[0], note, work_id)

    async def _ask_cold_member(
        self, member: str, note: AskNote, work_id: str
    ) -> tuple[str, Choice | NoPlacement] | None:
        """Return the choice of a cold coordinator, asked if no other one has decided.

        It records the placement, so that its next decisions take this work into account.
        """
        note.insists = True
        note.work_id = f"{work_id}.0"
        answer = await self._client.ask(member, note)
        return None if answer is None else self._accept(answer, member)

    def _accept(self, note: ChoiceNote, member: str) -> tuple[str, Choice | NoPlacement] | None:
        """Return the work id and choice in an answer; withdraw it and return None if unusable."""
        choice = self._choice_from_note(note, member)
        if choice is not None:
            return note.work_id, choice
        # A chosen target is leaving, in backoff for this box, or unknown here.
        self._client.withdraw(note)
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
            lost_in_s=demand.caller_leaves_s - self._clock.seconds(),
            committed=demand.committed,
            connected=sorted(demand.connected),
            digest=demand.digest or None,
            closed=self._view.closed(self._clock.seconds()) or None,
            # On the asking box, `demand.closed` holds the backoffs only.
            resting=dict(demand.closed) or None,
            rank_weight=None if demand.rank_weight == 1.0 else demand.rank_weight,
            may_wait=demand.may_wait or None,
            parts=list(demand.parts) or None,
            was_writing=demand.was_writing or None,
        )

    def _note_membership(self) -> None:
        """Update since when this box has been a coordinator, for `_is_cold`."""
        if not self._coordinators.includes_me():
            self._member_since_s = None
        elif self._member_since_s is None:
            self._member_since_s = self._clock.seconds()

    def _is_cold(self) -> bool:
        """Whether this box has not yet received notes on all work for `WARM_UP_S`."""
        self._note_membership()
        since_s = self._member_since_s
        return since_s is None or self._clock.seconds() - since_s < WARM_UP_S

    def _choice_from_note(self, note: ChoiceNote, member: str) -> Choice | NoPlacement | None:
        if note.come_back_s:
            return NoTargetInTime(note.come_back_s)
        if note.condemned_s:
            return RequestCondemned(note.condemned_s, note.part or b"")
        if note.wants_parts:
            self._view.suspects.watched_until_s = self._clock.seconds() + WATCH_FOR_S
            return RequestOnHold("the parts of its prompt are to be named")
        if note.held:
            return RequestOnHold(part=note.part) if note.part else RequestOnHold()
        if note.closed_s:
            return AllTargetsClosed(note.closed_s)
        if note.wait_s:
            return WaitForEngine(min(MAX_WAIT_S, max(MIN_WAIT_S, note.wait_s)))
        entries = [self._usable_entry(name) for name in note.targets or ()]
        if not entries or None in entries:
            return None
        main, *helpers = entries
        if note.rate_per_s is not None:
            # Boxes outside the group learn the rates of targets from the deciders' answers.
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
            alone=bool(note.alone),
        )

    def _usable_entry(self, name: str) -> TargetEntry | None:
        in_backoff = self._view.backoff_s(name, self._clock.seconds())
        usable = self._targets.accepts_requests(name) and not in_backoff
        return self._targets.entries.get(name) if usable else None

    def _answer_question(self, ask: AskNote) -> ChoiceNote:
        if self._is_cold() and not ask.insists:
            return ChoiceNote(ask.work_id, [], cold=True)
        now_s = self._clock.seconds()
        # The asker may know that a target has closed before this box does.
        for name, for_s in (ask.closed or {}).items():
            if self._view.limit(name, now_s) is not None:
                self._view.note_closed(name, for_s, now_s)
        if not ask.digest and self._view.suspects.suspects_parts:
            return ChoiceNote(ask.work_id, [], wants_parts=True)
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
            tuple(ask.parts or ()),
            bool(ask.was_writing),
            {**(ask.closed or {}), **(ask.resting or {})},
            _valid_weight(ask.rank_weight),
            bool(ask.may_wait),
        )
        placed = self._decide(ask.work_id or "", demand, ask.tried or ())
        return _note_from_placement(ask.work_id, placed, self._rate_of(placed))

    def _rate_of(self, placed: tuple[Choice, WorkPlan] | NoPlacement | None) -> float | None:
        """Return the rate limit that the chosen target names, None if there is none."""
        if placed is None or isinstance(placed, NoPlacement):
            return None
        rate = self._view.state(placed[0].main.name).rate
        return None if rate is None else rate.per_s


def _valid_weight(weight: float | None) -> float:
    """Return the weight in a question; 1 if it has none or states an invalid one."""
    return weight if weight is not None and 1.0 <= weight <= MAX_RANK_WEIGHT else 1.0


def _note_from_placement(
    work_id: str, placed: tuple[Choice, WorkPlan] | NoPlacement | None, rate_per_s: float | None
) -> ChoiceNote:
    match placed:
        case None:
            return ChoiceNote(work_id, [])
        case NoTargetInTime(retry_after_s=wait_s):
            return ChoiceNote(work_id, [], come_back_s=wait_s)
        case RequestCondemned(retry_after_s=wait_s, part=part):
            return ChoiceNote(work_id, [], condemned_s=wait_s, part=part or None)
        case RequestOnHold(part=part):
            return ChoiceNote(work_id, [], held=True, part=part or None)
        case AllTargetsClosed(retry_after_s=wait_s):
            return ChoiceNote(work_id, [], closed_s=wait_s)
        case WaitForEngine(wait_s=wait_s):
            return ChoiceNote(work_id, [], wait_s=wait_s)
        case choice, plan:
            return ChoiceNote(
                work_id,
                list(choice.names),
                choice.part_tokens,
                choice.reserved,
                choice.loss,
                choice.first_event_s,
                choice.pause_s,
                rate_per_s=rate_per_s,
                alone=plan.alone or None,
            )
