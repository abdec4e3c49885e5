"""What a box does about targets that name the rate of requests that they take.

One member of the circle adds up what a target gets from all boxes and grants each request its
place there: the one that reads the target's reports. A box asks it right before it sends, since it
is the arrival that counts. If it does not answer, the next one grants a part of the rate, and at
last the box itself a part of that. What goes to the target beside requests (reports, orders about
memory) is told to the same member.

With each box keeping the rate by itself a target would get it as often as there are boxes; with
each keeping an even share, 72 boxes and a rate of 1 a second leave each box one request in 72 s. A
place costs one question and its answer between boxes, only for targets that name a rate.
"""

import itertools
import logging
from collections.abc import Callable, Container
from typing import TypedDict

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..beliefs.circle import ASK_S, Circle
from ..beliefs.target_list import TargetKeeper
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, PlaceAsk, PlaceGrant, RateNote, SpentNote
from ..scheduling.rates import LONGEST_CLOSED_S, SUBSTITUTE_SHARE, NamedRate, RateBook
from .fleet_view import FleetView
from .reports import order_of

__all__ = ["ShownRate", "TargetRates"]

ASKED = 2
"""How many members are asked for a place: the one that adds up, and its substitute."""

MISSES = 2
"""Questions in a row that a member must leave unanswered before it is passed over: one may be lost.
With one datagram in ten lost 30 boxes then use 0.96 of a rate of 10 a second, else 0.85 (in virtual
time)."""

ASK_AGAIN_S = 0.25
"""A substitute's refusal closes a target for so long at the most, in seconds: its part of a rate is
small, and the one that adds up may answer again. Closed for as long as that part lasts, 0.45 of a
rate of 10 a second is used by 30 boxes with one datagram in ten lost, in place of 0.96."""

SHUNNED_S = 2.0
"""How long a member that did not answer is not asked, in seconds."""

_log = logging.getLogger(__name__)


class ShownRate(TypedDict):
    """A rate as operators see it; times in seconds."""

    target: str
    per_s: float
    named_for_s: float
    heard_age_s: float
    told_by: str
    closed_for_s: float
    added_up_by: str


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
    circle : Circle
        Whose members add up.
    port : GossipPort
        Datagrams to other boxes.
    boxes : callable
        Returns how many boxes there are.
    on_place : callable
        Called with what came of a place that was sought: "granted" or "refused".
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetKeeper,
        view: FleetView,
        circle: Circle,
        port: GossipPort,
        boxes: Callable[[], int],
        on_place: Callable[[str], None] = lambda _result: None,
    ):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._circle = circle
        self._port = port
        self._boxes = boxes
        self._on_place = on_place
        self._book = RateBook()
        self._own_part = RateBook()
        self._ids = itertools.count(1)
        self._waiting: dict[int, defer.Deferred[PlaceGrant | None]] = {}
        self._missed: dict[str, int] = {}
        self._shunned_until_s: dict[str, float] = {}
        self._kept_of: Container[str] | None = None

    # What the statements of targets and the gate call.

    def note_rate(self, target: str, per_s: float | None, sent_s: float) -> None:
        """Take the rate that an answer to this box names, None if none."""
        self._keep_listed()
        now_s = self._clock.seconds()
        is_new = self._view.note_rate(target, per_s, sent_s, now_s)
        if is_new or per_s is not None:
            born = self._view.state(target).born
            self._port.tell_rate(RateNote(target, born, per_s, now_s - sent_s, 0.0))

    def note_call(self, target: str) -> None:
        """Count what goes to a target without a place there: a report's question, an order."""
        self._keep_listed()
        state = self._view.state(target)
        if state.rate is None:
            return
        first = self._order(target)[0]
        address = self._circle.address(first)
        if first == self._circle.me or address is None:
            self._book.spend(target, state.born, state.rate.per_s, self._clock.seconds())
        else:
            self._port.tell_spent(address, SpentNote(target, state.born, state.rate.per_s))

    def shown(self) -> list[ShownRate]:
        """Return the rates that are known, for operators."""
        now_s = self._clock.seconds()
        closed = self._view.closed(now_s)
        return [
            ShownRate(
                target=name,
                per_s=rate.per_s,
                named_for_s=round(now_s - rate.since_s, 1),
                heard_age_s=round(now_s - rate.heard_s, 1),
                told_by=rate.told_by,
                closed_for_s=round(closed.get(name, 0.0), 2),
                added_up_by=self._order(name)[0],
            )
            for name, rate in self._view.rates()
        ]

    # What tries call.

    async def take_place(self, target: str) -> float:
        """Take a request's place at a target; return 0 if it may be sent, else when to come back.

        Returns
        -------
        float
            Seconds until the next place there, by what the asked box knows.
        """
        rate = self._view.state(target).rate
        if rate is None:
            return 0.0
        granted_by, wait_s, next_s = await self._seek(target, rate)
        self._on_place("refused" if wait_s else "granted")
        now_s = self._clock.seconds()
        self._view.note_closed(target, wait_s or next_s, now_s)
        extra = {
            "target": target,
            "per_s": rate.per_s,
            "rate_age_s": round(now_s - rate.heard_s, 3),
            "told_by": rate.told_by,
            "granted": not wait_s,
            "by": granted_by,
            "next_s": round(wait_s or next_s, 3),
        }
        _log.info("place at a target that names a rate", extra=extra)
        return wait_s

    def give_back(self, target: str) -> None:
        """Put back a place that was not used; one that a peer has granted is lost."""
        state = self._view.state(target)
        if state.rate is not None and self._order(target)[0] == self._circle.me:
            now_s = self._clock.seconds()
            self._book.give_back(target, state.born, state.rate.per_s, now_s)

    async def _seek(self, target: str, rate: NamedRate) -> tuple[str, float, float]:
        """Return who has decided on a place, how long to wait (0: granted), and until the next."""
        born = self._view.state(target).born
        most_s = LONGEST_CLOSED_S
        for member in self._order(target)[:ASKED]:
            if member == self._circle.me:
                wait_s, next_s = self._take_here(target, born, rate.per_s)
                return member, min(most_s, wait_s), min(most_s, next_s)
            answer = await self._ask(member, target, born, rate.per_s)
            if answer is not None:
                next_s = min(most_s, max(0.0, answer.next_s or 0.0))
                return member, 0.0 if answer.granted else (next_s or most_s), next_s
            most_s = ASK_AGAIN_S
        per_s = SUBSTITUTE_SHARE * rate.per_s / max(1, self._boxes())
        wait_s = self._own_part.take(target, born, per_s, self._clock.seconds())
        return self._circle.me, min(most_s, wait_s), 0.0

    def _take_here(self, target: str, born: int, per_s: float) -> tuple[float, float]:
        """Take a place out of what this box adds up; return the wait, and until the next place."""
        now_s, rate = self._clock.seconds(), self._view.state(target).rate
        if self._order(target)[0] != self._circle.me:
            per_s *= SUBSTITUTE_SHARE
        elif rate is not None:
            self._book.begin(target, born, rate.since_s)
        wait_s = self._book.take(target, born, per_s, now_s)
        return wait_s, self._book.next_s(target, born, per_s, now_s)

    async def _ask(self, member: str, target: str, born: int, per_s: float) -> PlaceGrant | None:
        """Return a member's answer, None if it does not come in time."""
        address, now_s = self._circle.address(member), self._clock.seconds()
        if address is None or self._shunned_until_s.get(member, 0.0) > now_s:
            return None
        ask_id = next(self._ids)
        waiting: defer.Deferred[PlaceGrant | None] = defer.Deferred()
        waiting.addTimeout(ASK_S, self._clock, onTimeoutCancel=lambda _result, _timeout_s: None)
        self._waiting[ask_id] = waiting
        self._port.ask_place(address, PlaceAsk(ask_id, target, born, per_s))
        try:
            answer = await waiting
        finally:
            self._waiting.pop(ask_id, None)
        self._missed[member] = self._missed.get(member, 0) + 1 if answer is None else 0
        if self._missed[member] >= MISSES:
            self._shunned_until_s[member] = self._clock.seconds() + SHUNNED_S
        return answer

    # Peers.

    def take(self, told: Gossip, address: tuple[str, int]) -> None:
        """Take what a peer tells of rates, and what it asks or answers."""
        for note in told.rates or ():
            self._take_rate(note, told.box or "")
        for note in told.spent or ():
            if self._knows(note.target, note.born):
                per_s = self._rate_of(note.target, note.per_s)
                now_s = self._clock.seconds()
                self._book.spend(note.target, self._view.state(note.target).born, per_s, now_s)
        for ask in told.place_asks or ():
            self._port.grant_place(address, self._answer(ask))
        for grant in told.place_grants or ():
            waiting = self._waiting.pop(grant.ask_id, None)
            if waiting is not None:
                waiting.callback(grant)

    def _take_rate(self, note: RateNote, box: str) -> None:
        if not self._knows(note.target, note.born):
            return
        now_s = self._clock.seconds()
        heard_s = now_s - (note.heard_age_s or 0.0)
        self._view.note_rate(
            note.target, note.per_s, now_s - (note.asked_age_s or 0.0), heard_s, box
        )

    def _answer(self, ask: PlaceAsk) -> PlaceGrant:
        if not self._knows(ask.target, ask.born):
            return PlaceGrant(ask.ask_id, False, LONGEST_CLOSED_S)
        per_s = self._rate_of(ask.target, ask.per_s)
        wait_s, next_s = self._take_here(ask.target, self._view.state(ask.target).born, per_s)
        return PlaceGrant(ask.ask_id, not wait_s, wait_s or next_s)

    def _knows(self, target: str | None, born: int | None) -> bool:
        """Whether a note speaks of a target that is listed here, in no earlier start."""
        if target not in self._targets.entries:
            return False
        return self._view.note_born(target, born or 0, self._clock.seconds())

    def _rate_of(self, target: str, told_per_s: float | None) -> float:
        """Return the rate that is known here, else the one that a peer tells."""
        rate = self._view.state(target).rate
        return rate.per_s if rate is not None else max(0.0, told_per_s or 0.0)

    def _order(self, target: str) -> list[str]:
        return order_of(target, self._circle.members())

    def _keep_listed(self) -> None:
        """Forget what was added up for targets that are listed no more."""
        if self._kept_of is not self._targets.entries:
            self._kept_of = self._targets.entries
            self._book.keep(self._kept_of)
            self._own_part.keep(self._kept_of)
