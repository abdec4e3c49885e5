"""The fleet's repeats, where its boxes are too many to split the slack.

In a large fleet a share of the slack would be a repeat or two a box: too few where many requests
break at once, and unused elsewhere. There the members of the circle hold the slack, and the other
boxes ask one of them for each repeat beyond their own ratio.
"""

import itertools
import logging
import random

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..beliefs.circle import ASK_S, CIRCLE_SIZE, Circle
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, RepeatAsk, RepeatGrant
from .repeats import RepeatShares

__all__ = ["RepeatPool", "sharers_of"]

ASKED = 2
"""How many members are asked for a repeat: each holds a part of the slack, and one may be slow. A
stream whose engine has died is lost without one."""

_log = logging.getLogger(__name__)


def sharers_of(circle: Circle, boxes: int) -> int:
    """Return among how many boxes the slack is split; 0 if this box has no part of it."""
    if circle.is_whole_fleet:
        return boxes
    return CIRCLE_SIZE if circle.includes_me() else 0


class RepeatPool:
    """Takes repeats from this box's share, or from a member's.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    circle : Circle
        Who holds the slack.
    port : GossipPort
        Datagrams to other boxes.
    shares : RepeatShares
        This box's share.
    rng : random.Random
        Chooses whom to ask.
    """

    def __init__(
        self,
        clock: IReactorTime,
        circle: Circle,
        port: GossipPort,
        shares: RepeatShares,
        rng: random.Random,
    ):
        self._clock = clock
        self._circle = circle
        self._port = port
        self._shares = shares
        self._rng = rng
        self._ids = itertools.count(1)
        self._waiting: dict[int, defer.Deferred[bool]] = {}

    def note_request(self, service: str) -> None:
        """Count a request of a caller for a service."""
        self._shares.note_request(service, self._clock.seconds())

    async def take(self, service: str) -> bool:
        """Take one repeat; False if there is none."""
        if self._shares.take(service, self._clock.seconds()):
            return True
        granted = await self._ask(service) if self._circle.excludes_me() else False
        if not granted:
            left = round(self._shares.left(service, self._clock.seconds()), 2)
            _log.info("no repeat granted", extra={"service": service, "left": left})
        return granted

    def take_told(self, told: Gossip, address: tuple[str, int]) -> None:
        """Answer a peer's question; take a peer's answer."""
        for ask in told.repeat_asks or ():
            granted = self._shares.take(ask.service_name or "", self._clock.seconds())
            self._port.grant_repeat(address, RepeatGrant(ask.ask_id, granted))
        for grant in told.repeat_grants or ():
            waiting = self._waiting.pop(grant.ask_id, None)
            if waiting is not None:
                waiting.callback(bool(grant.granted))

    async def _ask(self, service: str) -> bool:
        """Ask members for a repeat; one that is silent or has none left is not the last word."""
        members = self._circle.members()
        for member in self._rng.sample(members, min(ASKED, len(members))):
            address = self._circle.address(member)
            if address is not None and await self._ask_member(address, service):
                return True
        return False

    async def _ask_member(self, address: tuple[str, int], service: str) -> bool:
        ask_id = next(self._ids)
        waiting: defer.Deferred[bool] = defer.Deferred()
        waiting.addTimeout(ASK_S, self._clock, onTimeoutCancel=lambda _result, _timeout_s: False)
        self._waiting[ask_id] = waiting
        self._port.ask_repeat(address, RepeatAsk(ask_id, service))
        try:
            return await waiting
        finally:
            self._waiting.pop(ask_id, None)
