"""Enforcement of the rate limits of targets, over all boxes.

A target has a rate limit if it names one in its answers, or while it is cold (see
`scheduling.coldness`). The grants for cold targets have a tighter bound, since it holds in any one
second and for all boxes together, whether or not they can communicate.

For each target, one coordinator counts the requests of all boxes and grants each request a *place*,
a permit to send it now. That coordinator also polls the target for reports. A box asks for a place
right before it sends, since the time of arrival counts. If the coordinator does not answer, the
next one, its substitute, grants places at a part of the rate. If that does not answer either, the
box sends at its share of that part. Calls that need no place (polls, and orders that reserve, renew
or release memory) also count; they are reported to the same coordinator.

Without coordination, a target would get its rate once per box. An even split would be too coarse:
with 72 boxes and a rate of 1 request per second, each box could send one in 72 s. A place costs one
question and one answer between boxes, only for targets with a rate limit.
"""

import itertools
import logging
from collections.abc import Callable, Container
from typing import NamedTuple, TypedDict

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..beliefs.coordinators import ANSWER_TIMEOUT_S, CoordinatorGroup
from ..beliefs.target_list import TargetListFollower
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, PlaceAsk, PlaceGrant, RateNote, SpentNote
from ..scheduling.coldness import FALLBACK_BURST, MIN_REACH, Granter, full_burst, granted_share
from ..scheduling.rates import MAX_INTERVAL_S, SUBSTITUTE_SHARE, NamedRate, RateLimiter
from .fleet_view import FleetView
from .reports import responsible_boxes

__all__ = ["ColdBounds", "ShownRate", "TargetRates"]

MAX_MEMBERS_ASKED = 2
"""Number of coordinators that are asked for a place: the one that counts, and its substitute."""

MAX_MISSES = 2
"""Number of consecutive unanswered questions after which a coordinator is skipped: a single
datagram may be lost. With one datagram in ten lost, 30 boxes then used 0.96 of a rate of 10 a
second instead of 0.85."""

MAX_SUBSTITUTE_CLOSED_S = 0.25
"""Longest time for which a substitute's refusal closes a target, in seconds. A substitute's part of
the rate is small, so its own wait would be long, and the counting coordinator may answer again
before. With that wait, 30 boxes used 0.45 of a rate of 10 a second instead of 0.96, if one datagram
in ten was lost."""

AVOIDANCE_S = 2.0
"""How long a coordinator is not asked after `MAX_MISSES` missing answers, in seconds."""

_log = logging.getLogger(__name__)


class ColdBounds(NamedTuple):
    """What the grants for cold targets depend on besides their rate.

    Parameters
    ----------
    overage : float
        How much a cold target may get at most, as a factor on its rate; 0 if cold targets are not
        treated in a special way.
    slack : float
        How many requests beyond that it may get in one second; bounds the bursts.
    reach : callable
        Returns the share of the fleet that this box can communicate with, itself included; 0 if it
        knows no fleet yet.
    is_uninformed : callable
        Returns whether a target may be cold without this box's knowledge, by its name: this box has
        known the targets for a short time only, or has heard nothing of the target lately.
    """

    overage: float = 0.0
    slack: float = 0.0
    reach: Callable[[], float] = lambda: 1.0
    is_uninformed: Callable[[str], bool] = lambda _target: False


NO_COLD_BOUNDS = ColdBounds()


class ShownRate(TypedDict):
    """A rate limit as shown to operators; times in seconds.

    Parameters
    ----------
    target : str
        The target.
    per_s : float
        Requests per second from all boxes together.
    named_for_s : float
        How long the target has named a rate.
    heard_age_s : float
        Age of the latest answer that named this rate.
    told_by : str
        The peer that got that answer, empty if it was this box.
    closed_for_s : float
        For how much longer the target takes no request, as far as this box knows.
    added_up_by : str
        The coordinator that counts the requests of all boxes.
    """

    target: str
    per_s: float
    named_for_s: float
    heard_age_s: float
    told_by: str
    closed_for_s: float
    added_up_by: str


class TargetRates:
    """Keeps requests from this box within the rate limits of targets.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    targets : TargetListFollower
        The list of targets.
    view : FleetView
        Records the rates.
    coordinators : CoordinatorGroup
        The coordinator group, which counts requests.
    port : GossipPort
        Sends datagrams to other boxes.
    boxes : callable
        Returns the number of boxes.
    on_place : callable
        Called with the result of each request for a place, "granted" or "refused", and whether the
        target is cold.
    cold_bounds : ColdBounds
        Bounds the grants for cold targets.
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetListFollower,
        view: FleetView,
        coordinators: CoordinatorGroup,
        port: GossipPort,
        boxes: Callable[[], int],
        on_place: Callable[[str, bool], None] = lambda _result, _is_cold: None,
        cold_bounds: ColdBounds = NO_COLD_BOUNDS,
    ):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._coordinators = coordinators
        self._port = port
        self._boxes = boxes
        self._on_place = on_place
        self._counts = RateLimiter()
        self._own_share = RateLimiter()
        self._cold_bounds = cold_bounds
        self._cold_counts = RateLimiter(full_burst(cold_bounds.slack))
        self._cold_fallback = RateLimiter(FALLBACK_BURST)
        self._uninformed = RateLimiter(FALLBACK_BURST)
        self._ids = itertools.count(1)
        self._waiting: dict[int, defer.Deferred[PlaceGrant | None]] = {}
        self._missed: dict[str, int] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._kept_entries: Container[str] | None = None

    def set_cold_bounds(self, cold_bounds: ColdBounds) -> None:
        """Apply changed bounds."""
        before, self._cold_bounds = self._cold_bounds, cold_bounds
        if full_burst(cold_bounds.slack) != full_burst(before.slack):
            self._cold_counts = RateLimiter(full_burst(cold_bounds.slack))

    # Answers and calls of this box.

    def note_rate(self, target: str, per_s: float | None, sent_s: float) -> None:
        """Process the rate in an answer to this box, None if it names none."""
        self._drop_unlisted()
        now_s = self._clock.seconds()
        changed = self._view.note_rate(target, per_s, sent_s, now_s)
        if changed or per_s is not None:
            born = self._view.state(target).born
            self._port.broadcast_rate(RateNote(target, born, per_s, now_s - sent_s, 0.0))

    def note_call(self, target: str) -> None:
        """Count a call that is sent without a place: a poll for a report, or an order."""
        self._drop_unlisted()
        now_s, born = self._clock.seconds(), self._view.state(target).born
        limit = self._view.limit(target, now_s)
        if limit is None:
            return
        first = self._order(target)[0]
        address = self._coordinators.address(first)
        if first == self._coordinators.me or address is None:
            self._counts_of(target, now_s).charge(target, born, limit.per_s, now_s)
        else:
            self._port.send_spent(address, SpentNote(target, born, limit.per_s))

    # Operators.

    def shown(self) -> list[ShownRate]:
        """Return the known rates for operators."""
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

    # Called by attempts.

    async def take_place(self, target: str) -> float:
        """Request a place at a target; return 0 if the request may be sent, else the wait.

        Returns
        -------
        float
            Seconds until the next place, as far as the granting box knows.
        """
        rate = self._view.limit(target, self._clock.seconds())
        if rate is None:
            return self._uninformed_wait_s(target)
        granted_by, wait_s, next_s = await self._request_place(target, rate)
        now_s = self._clock.seconds()
        is_cold = self._view.is_cold(target, now_s)
        self._on_place("refused" if wait_s else "granted", is_cold)
        self._view.note_closed(target, wait_s or next_s, now_s)
        extra = {
            "target": target,
            "per_s": rate.per_s,
            "rate_age_s": round(now_s - rate.heard_s, 3),
            "told_by": rate.told_by,
            "granted": not wait_s,
            "by": granted_by,
            "next_s": round(wait_s or next_s, 3),
            "cold": is_cold,
        }
        _log.info("place at a rate-limited target", extra=extra)
        return wait_s

    def give_back(self, target: str) -> None:
        """Return a place that was not used; a place granted by a peer can't be returned."""
        now_s = self._clock.seconds()
        limit = self._view.limit(target, now_s)
        if limit is not None and self._order(target)[0] == self._coordinators.me:
            born = self._view.state(target).born
            self._counts_of(target, now_s).refund(target, born, limit.per_s, now_s)

    async def _request_place(self, target: str, rate: NamedRate) -> tuple[str, float, float]:
        """Return the deciding box, the wait (0 if granted), and the time until the next place."""
        born = self._view.state(target).born
        is_cold = self._view.is_cold(target, self._clock.seconds())
        # A cold target may take more at any moment, so no refusal closes it for long.
        max_closed_s = MAX_SUBSTITUTE_CLOSED_S if is_cold else MAX_INTERVAL_S
        for member in self._order(target)[:MAX_MEMBERS_ASKED]:
            if member == self._coordinators.me:
                wait_s, next_s = self._take_locally(target, born, rate.per_s)
                return member, min(max_closed_s, wait_s), min(max_closed_s, next_s)
            answer = await self._ask(member, target, born, rate.per_s)
            if answer is not None:
                next_s = min(max_closed_s, max(0.0, answer.next_s or 0.0))
                return member, 0.0 if answer.granted else (next_s or max_closed_s), next_s
            max_closed_s = MAX_SUBSTITUTE_CLOSED_S
        if is_cold:
            per_s, counts = self._own_cold_share(target) * rate.per_s, self._cold_fallback
        else:
            per_s, counts = SUBSTITUTE_SHARE * rate.per_s / max(1, self._boxes()), self._own_share
        wait_s = counts.acquire(target, born, per_s, self._clock.seconds())
        return self._coordinators.me, min(max_closed_s, wait_s), 0.0

    def _own_cold_share(self, target: str) -> float:
        """Return the share of a cold target's rate that this box uses while it is on its own.

        In a large fleet only coordinators have one: a single box's share would be one request in
        several times the time for which targets are cold, and all boxes could use theirs at once.
        """
        if self._coordinators.is_whole_fleet:
            boxes = self._boxes()
        elif self._coordinators.includes_me():
            boxes = len(self._coordinators.members()) - MAX_MEMBERS_ASKED
        else:
            return 0.0
        bounds = self._cold_bounds
        return granted_share(Granter.ALONE, bounds.overage, bounds.reach(), boxes)

    def _uninformed_wait_s(self, target: str) -> float:
        """Return the wait for a target without a known limit: 0 unless this box is uninformed.

        A target may then be cold without this box's knowledge, so it sends few requests to any one
        target: its share of the rate of cold targets.
        """
        cold_per_s, now_s = self._view.cold_per_s_of(target), self._clock.seconds()
        if not cold_per_s or not self._cold_bounds.is_uninformed(target):
            return 0.0
        per_s, born = cold_per_s / max(1, self._boxes()), self._view.state(target).born
        self._uninformed.begin(target, born, now_s - 1 / per_s)
        return self._uninformed.acquire(target, born, per_s, now_s)

    def _take_locally(self, target: str, born: int, per_s: float) -> tuple[float, float]:
        """Take a place from this box's counts; return the wait and the time until the next one."""
        now_s = self._clock.seconds()
        rate, is_first = self._view.limit(target, now_s), self._is_first(target)
        counts = self._counts_of(target, now_s)
        if counts is not self._counts:
            granter = Granter.FIRST if is_first else Granter.SUBSTITUTE
            bounds = self._cold_bounds
            per_s *= granted_share(granter, bounds.overage, bounds.reach(), self._boxes())
        elif not is_first:
            per_s *= SUBSTITUTE_SHARE
        if is_first and rate is not None:
            counts.begin(target, born, rate.since_s)
        wait_s = counts.acquire(target, born, per_s, now_s)
        return wait_s, counts.next_s(target, born, per_s, now_s)

    def _counts_of(self, target: str, now_s: float) -> RateLimiter:
        """Return the counts for a target; a cold target has some with a small burst.

        A peer may know that a target is cold before this box does. A request for a place at a
        target without a known limit is therefore counted as one at a cold target.
        """
        is_unknown = self._view.limit(target, now_s) is None and self._view.cold_per_s_of(target)
        if not is_unknown and not self._view.is_cold(target, now_s):
            return self._counts
        has_majority = self._cold_bounds.reach() > MIN_REACH
        return self._cold_counts if self._is_first(target) and has_majority else self._cold_fallback

    def _is_first(self, target: str) -> bool:
        return self._order(target)[0] == self._coordinators.me

    async def _ask(self, member: str, target: str, born: int, per_s: float) -> PlaceGrant | None:
        """Return a coordinator's answer, None if it does not arrive in time."""
        address, now_s = self._coordinators.address(member), self._clock.seconds()
        if address is None or self._avoided_until_s.get(member, 0.0) > now_s:
            return None
        ask_id = next(self._ids)
        waiting: defer.Deferred[PlaceGrant | None] = defer.Deferred()
        waiting.addTimeout(
            ANSWER_TIMEOUT_S, self._clock, onTimeoutCancel=lambda _result, _timeout_s: None
        )
        self._waiting[ask_id] = waiting
        self._port.ask_place(address, PlaceAsk(ask_id, target, born, per_s))
        try:
            answer = await waiting
        finally:
            self._waiting.pop(ask_id, None)
        self._missed[member] = self._missed.get(member, 0) + 1 if answer is None else 0
        if self._missed[member] >= MAX_MISSES:
            self._avoided_until_s[member] = self._clock.seconds() + AVOIDANCE_S
        return answer

    # Peers.

    def receive(self, message: Gossip, address: tuple[str, int]) -> None:
        """Process a peer's notes on rates, its questions and its answers."""
        for note in message.rates or ():
            self._apply_rate_note(note, message.box or "")
        for note in message.spent or ():
            if self._is_current(note.target, note.born):
                per_s = self._rate_of(note.target, note.per_s)
                now_s, born = self._clock.seconds(), self._view.state(note.target).born
                self._counts_of(note.target, now_s).charge(note.target, born, per_s, now_s)
        for ask in message.place_asks or ():
            self._port.grant_place(address, self._answer(ask))
        for grant in message.place_grants or ():
            waiting = self._waiting.pop(grant.ask_id, None)
            if waiting is not None:
                waiting.callback(grant)

    def _apply_rate_note(self, note: RateNote, box: str) -> None:
        if not self._is_current(note.target, note.born):
            return
        now_s = self._clock.seconds()
        heard_s = now_s - (note.heard_age_s or 0.0)
        self._view.note_rate(
            note.target, note.per_s, now_s - (note.asked_age_s or 0.0), heard_s, box
        )

    def _answer(self, ask: PlaceAsk) -> PlaceGrant:
        if not self._is_current(ask.target, ask.born):
            return PlaceGrant(ask.ask_id, False, MAX_INTERVAL_S)
        per_s = self._rate_of(ask.target, ask.per_s)
        wait_s, next_s = self._take_locally(ask.target, self._view.state(ask.target).born, per_s)
        return PlaceGrant(ask.ask_id, not wait_s, wait_s or next_s)

    def _is_current(self, target: str | None, born: int | None) -> bool:
        """Whether a note is about a listed target, and not about an earlier start."""
        if target not in self._targets.entries:
            return False
        return self._view.note_start(target, born or 0, self._clock.seconds())

    def _rate_of(self, target: str, told_per_s: float | None) -> float:
        """Return the rate known here, else the one in the peer's note."""
        rate = self._view.limit(target, self._clock.seconds())
        return rate.per_s if rate is not None else max(0.0, told_per_s or 0.0)

    def _order(self, target: str) -> list[str]:
        """Return the coordinators in order of responsibility: the counting one comes first."""
        return responsible_boxes(target, self._coordinators.members())

    def _drop_unlisted(self) -> None:
        """Drop the counts of targets that are no longer listed."""
        if self._kept_entries is not self._targets.entries:
            self._kept_entries = self._targets.entries
            for counts in (
                self._counts,
                self._own_share,
                self._cold_counts,
                self._cold_fallback,
                self._uninformed,
            ):
                counts.keep(self._kept_entries)
