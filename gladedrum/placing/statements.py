"""What targets say of themselves in their answers: heard here, told to others, and heeded.

An answer that nobody waits for any more counts, too: one to a hedge that was overtaken, to a report
or an order, or a refusal. What is said is kept where it is asked for, each kind with a life and a
scope of its own: the rate (while answers name it, all boxes) in `TargetRates`, leaving (as long as
that start lives, all boxes) in the list of targets, rest (until a time, the box that was answered)
in `FleetView`. Nothing goes to a target past `TargetStatements.let_out`, which heeds them.
"""

import logging
from typing import NamedTuple, TypedDict

from twisted.internet.interfaces import IReactorTime

from ..beliefs.target_list import TargetKeeper
from ..connections.target_pool import NotNowError
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, LeavingNote
from ..platform.orders import CallKind
from ..platform.statements import OddStatement, Statements
from .fleet_view import FleetView
from .target_rates import ShownRate, TargetRates

__all__ = ["ShownStatements", "TargetStatements"]

_NEW_WORK = (CallKind.REQUEST, CallKind.SET_ASIDE)

_log = logging.getLogger(__name__)


class _Heard(NamedTuple):
    """When this box was told that a target leaves, and by which peer; empty: by the target."""

    at_s: float
    told_by: str


class ShownLeaving(TypedDict):
    """A target that has said that it leaves, as operators see it."""

    target: str
    heard_age_s: float
    told_by: str


class ShownRest(TypedDict):
    """A target that wants nothing from this box, and for how many seconds."""

    target: str
    left_s: float


class ShownStatements(TypedDict):
    """What targets say of themselves, as operators see it."""

    rates: list[ShownRate]
    leaving: list[ShownLeaving]
    rests: list[ShownRest]


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
    port : GossipPort
        Datagrams to other boxes.
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetKeeper,
        view: FleetView,
        rates: TargetRates,
        port: GossipPort,
    ):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._rates = rates
        self._port = port
        self._odd: dict[tuple[str, str], str] = {}
        self._leaving: dict[str, _Heard] = {}

    # What the pool of connections calls.

    def let_out(self, target: str, kind: CallKind) -> int:
        """Return the start of a target that is known, right before something is sent to it.

        Raises `NotNowError` if it is not to get that. Work that has begun at a target that leaves
        goes on there: its memory is renewed and freed, and its load is asked for. One that wants
        rest gets renewals alone: without them it would cut a stream that runs; memory that is not
        needed any more lapses there by itself.
        """
        if kind in _NEW_WORK and not self._targets.may_get_work(target):
            raise NotNowError("the target is leaving")
        if kind is not CallKind.RENEW and self.rest_s(target):
            raise NotNowError("the target wants rest")
        if target not in self._targets.entries:
            return 0
        if kind is not CallKind.REQUEST:
            self._rates.note_call(target)
        return self._view.state(target).born

    def rest_s(self, target: str) -> float:
        """Return for how long a target wants nothing from this box, in seconds; 0 if it does."""
        return self._view.rest_s(target, self._clock.seconds())

    def note_answer(self, target: str, born: int, said: Statements, sent_s: float) -> None:
        """Take what an answer to this box says of its target.

        Of one that is not listed only that it leaves, which holds if it is listed again; nothing of
        an earlier start: `born` is the one that was known when the request went out, at `sent_s`.
        """
        if target not in self._targets.entries:
            if said.leaves:
                self._note_leaving(target, born, "")
            return
        if 0 < born < self._view.state(target).born:
            return
        self._note_odd(target, said.odd)
        self._rates.note_rate(target, said.rate_per_s, sent_s)
        if said.leaves:
            self._note_leaving(target, self._view.state(target).born, "")
        if said.rest_s:
            self._view.note_rest(target, said.rest_s, self._clock.seconds())

    # Peers.

    def take(self, told: Gossip) -> None:
        """Take what a peer tells."""
        for note in told.leaving_targets or ():
            if note.target:
                self._note_leaving(note.target, note.born or 0, told.box or "")

    def _note_leaving(self, target: str, born: int, told_by: str) -> None:
        """Note that a target leaves; the first box that is told by the target tells all others.

        They would else each send there until they are told, or until the store says so.
        """
        if not self._targets.note_leaving(target, born):
            return
        self._leaving = {**self._leaving_listed(), target: _Heard(self._clock.seconds(), told_by)}
        extra = {"target": target, "told_by": told_by, "list_age_s": round(self._targets.age_s, 3)}
        _log.info("target says that it leaves", extra=extra)
        if not told_by:
            self._port.tell_leaving(LeavingNote(target, born))

    def _leaving_listed(self) -> dict[str, _Heard]:
        """Return which of the targets that have said so are listed, and leave still."""
        listed = self._targets.entries
        return {
            name: heard
            for name, heard in self._leaving.items()
            if name in listed and listed[name].leaving
        }

    # Operators.

    def shown(self) -> ShownStatements:
        """Return what targets say of themselves, for operators."""
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
                ShownRest(target=name, left_s=round(for_s, 2))
                for name, for_s in sorted(self._view.rests(now_s).items())
            ],
        )

    def _note_odd(self, target: str, odd: tuple[OddStatement, ...]) -> None:
        """Log what stands in the place of a statement and is none, once until it changes."""
        for kind, text in odd:
            if self._odd.get((target, kind)) != text:
                listed = self._targets.entries
                self._odd = {key: said for key, said in self._odd.items() if key[0] in listed}
                self._odd[target, kind] = text
                extra = {"target": target, "statement": kind, "said": text}
                _log.warning("target says what can't be read", extra=extra)
