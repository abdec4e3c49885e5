"""A client that asks coordinators for placements, and skips those that did not answer."""

import logging
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.coordinators import CoordinatorGroup
from ..gossip.wire.ttypes import AskNote, ChoiceNote
from ..scheduling.questions import AnswerTimes
from .work_plan import WorkPlan, note_from_plan

__all__ = ["CoordinatorClient"]

AVOIDANCE_S = 2.0
"""How long a coordinator that did not answer is not asked, in seconds. A late answer ends this
early, and its sender gets a longer timeout."""

MAX_ABANDONED = 1024
"""Maximum number of timed-out questions that are remembered, so that late answers can be
withdrawn."""

_log = logging.getLogger(__name__)


class _Asked(NamedTuple):
    """The coordinator that a question was sent to, and when."""

    member: str
    sent_s: float


class CoordinatorClient:
    """Asks coordinators for placements, and withdraws placements that this box does not use.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    coordinators : CoordinatorGroup
        Provides the coordinators' addresses.
    port : GossipPort
        Sends datagrams to them.
    """

    def __init__(
        self, clock: IReactorTime, coordinators: CoordinatorGroup, port: gossip.GossipPort
    ):
        self._clock = clock
        self._coordinators = coordinators
        self._port = port
        self._waiting: dict[str, defer.Deferred[ChoiceNote | None]] = {}
        self._abandoned: dict[str, _Asked] = {}
        self._times = AnswerTimes()
        self._avoided_until_s: dict[str, float] = {}

    def is_available(self, member: str) -> bool:
        """Whether a coordinator may be asked; not for `AVOIDANCE_S` after a missing answer."""
        return self._avoided_until_s.get(member, 0.0) <= self._clock.seconds()

    async def ask(self, member: str, note: AskNote) -> ChoiceNote | None:
        """Return a coordinator's answer, None if it is late or the coordinator has gone."""
        address = self._coordinators.address(member)
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
            self._abandon(note.work_id, asked, wait_s)
        else:
            self._times.note(member, self._clock.seconds() - asked.sent_s)
        return answer

    def receive(self, note: ChoiceNote) -> None:
        """Process a coordinator's answer, in time or late."""
        waiting = self._waiting.pop(note.work_id, None)
        if waiting is not None:
            waiting.callback(note)
        elif note.work_id in self._abandoned:
            asked = self._abandoned.pop(note.work_id)
            self._times.note(asked.member, self._clock.seconds() - asked.sent_s)
            self._avoided_until_s.pop(asked.member, None)
            self.withdraw(note)

    def withdraw(self, note: ChoiceNote) -> None:
        """Withdraw the placement in an answer that is not used.

        Otherwise the ledgers would count work that runs elsewhere, until it expires, and distort
        all other placements.
        """
        if note.targets:
            plan = WorkPlan(note.work_id, tuple(note.targets))
            self._port.broadcast_work(note_from_plan(plan, gossip.WITHDRAWN))

    def _abandon(self, work_id: str, asked: _Asked, waited_s: float) -> None:
        self._avoided_until_s[asked.member] = self._clock.seconds() + AVOIDANCE_S
        self._abandoned[work_id] = asked
        if len(self._abandoned) > MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]
        extra = {"peer": asked.member, "work_id": work_id, "waited_s": round(waited_s, 3)}
        _log.info("no placement from peer", extra=extra)
