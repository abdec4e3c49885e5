"""Questions of a box to the members of the circle: how long it waits, whom it passes over."""

import logging
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.circle import Circle
from ..gossip.wire.ttypes import AskNote, ChoiceNote
from ..scheduling.questions import AnswerTimes
from .work_plan import WorkPlan, note_of

__all__ = ["Members"]

SHUNNED_S = 2.0
"""How long a member that did not answer is not asked, in seconds, unless its answer comes late:
then it lives, and is waited for longer."""

MOST_GIVEN_UP = 1024
"""Questions without an answer in time that are remembered, so that a late answer is withdrawn."""

_log = logging.getLogger(__name__)


class _Asked(NamedTuple):
    """A question to a member: whom, and when it was sent."""

    member: str
    sent_s: float


class Members:
    """Asks members, and takes back what they have placed in vain.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    circle : Circle
        Where they are.
    port : GossipPort
        Datagrams to them.
    """

    def __init__(self, clock: IReactorTime, circle: Circle, port: gossip.GossipPort):
        self._clock = clock
        self._circle = circle
        self._port = port
        self._waiting: dict[str, defer.Deferred[ChoiceNote | None]] = {}
        self._given_up: dict[str, _Asked] = {}
        self._times = AnswerTimes()
        self._shunned_until_s: dict[str, float] = {}

    def may_be_asked(self, member: str) -> bool:
        """Whether a member has not failed to answer of late."""
        return self._shunned_until_s.get(member, 0.0) <= self._clock.seconds()

    async def ask(self, member: str, note: AskNote) -> ChoiceNote | None:
        """Return a member's answer, None if it does not come in time or the member has gone."""
        address = self._circle.address(member)
        if address is None:
            return None
        waiting: defer.Deferred[ChoiceNote | None] = defer.Deferred()
        self._waiting[note.work_id] = waiting
        self._port.ask(address, note)
        asked = _Asked(member, self._clock.seconds())
        wait_s = self._times.wait_s(member)
        waiting.addTimeout(wait_s, self._clock, onTimeoutCancel=lambda _result, _timeout_s: None)
        try:
            answer = await waiting
        finally:
            self._waiting.pop(note.work_id, None)
        if answer is None:
            self._give_up(note.work_id, asked, wait_s)
        else:
            self._times.note(member, self._clock.seconds() - asked.sent_s)
        return answer

    def take(self, note: ChoiceNote) -> None:
        """Take a member's answer, in time or late."""
        waiting = self._waiting.pop(note.work_id, None)
        if waiting is not None:
            waiting.callback(note)
        elif note.work_id in self._given_up:
            asked = self._given_up.pop(note.work_id)
            self._times.note(asked.member, self._clock.seconds() - asked.sent_s)
            self._shunned_until_s.pop(asked.member, None)
            self.withdraw(note)

    def withdraw(self, note: ChoiceNote) -> None:
        """Take back what a member has noted for an answer that nobody takes.

        Else the ledgers would hold work that runs elsewhere until it is forgotten, and place all
        other work by it.
        """
        if note.targets:
            plan = WorkPlan(note.work_id, tuple(note.targets))
            self._port.tell_work(note_of(plan, gossip.WITHDRAWN))

    def _give_up(self, work_id: str, asked: _Asked, waited_s: float) -> None:
        self._shunned_until_s[asked.member] = self._clock.seconds() + SHUNNED_S
        self._given_up[work_id] = asked
        if len(self._given_up) > MOST_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]
        extra = {"peer": asked.member, "work_id": work_id, "waited_s": round(waited_s, 3)}
        _log.info("no placement from peer", extra=extra)
