"""The fleet's repeats: a box's own share, and what members of the circle have left of theirs.

In a large fleet a share of the slack would be a repeat or two a box: too few where many requests
break at once, and unused elsewhere. There the members of the circle hold the slack, and the other
boxes ask one of them for each repeat beyond their own ratio. In a small fleet each box has a share,
and asks others once it is empty. A repeat that is granted is taken out of the share of the box that
grants it, so the fleet's bound holds whoever sends it.
"""

import itertools
import logging
import random
from collections.abc import Iterator
from enum import Enum

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..beliefs.circle import ASK_S, CIRCLE_SIZE, Circle
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, RepeatAsk, RepeatGrant
from .repeats import RepeatShares

__all__ = ["Grant", "RepeatPool", "sharers_of"]

ASKED = 2
"""How many members are asked for a repeat: each holds a part of the slack, and one may be slow. A
stream whose engine has died is lost without one."""

ASKED_IN_SMALL = 4
"""As `ASKED` in a small fleet, where shares are smaller, and those of boxes that started within the
window smaller still: all of 11 refusals in two runs of planned stops met such a box. Of these
`ASKED` may be silent, so the wait is no longer than in a large one."""

_log = logging.getLogger(__name__)


def sharers_of(circle: Circle, boxes: int) -> int:
    """Return among how many boxes the slack is split; 0 if this box has no part of it."""
    if circle.is_whole_fleet:
        return boxes
    return CIRCLE_SIZE if circle.includes_me() else 0


class Grant(Enum):
    """Out of whose share a repeat was taken."""

    OWN = "own"
    PEER = "a peer's"


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
        self._waiting: dict[int, defer.Deferred[bool | None]] = {}

    def note_request(self, service: str) -> None:
        """Count a request of a caller for a service."""
        self._shares.note_request(service, self._clock.seconds())

    async def take(self, service: str) -> Grant | None:
        """Take one repeat; None if there is none."""
        if self._shares.take(service, self._clock.seconds()):
            return Grant.OWN
        if await self._ask(service):
            return Grant.PEER
        left = round(self._shares.left(service, self._clock.seconds()), 2)
        _log.info("no repeat granted", extra={"service": service, "left": left})
        return None

    def give_back(self, service: str, grant: Grant) -> None:
        """Put a repeat back that was not sent.

        One of a peer's is lost: that share has filled up again, and the fleet would have it twice.
        """
        if grant is not Grant.PEER:
            self._shares.give_back(service, self._clock.seconds())

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
        silent = 0
        for address in self._addresses_to_ask():
            granted = await self._ask_member(address, service)
            if granted:
                return True
            silent += granted is None
            if silent == ASKED:
                break
        return False

    def _addresses_to_ask(self) -> Iterator[tuple[str, int]]:
        others = [name for name in self._circle.members() if name != self._circle.me]
        most = ASKED_IN_SMALL if self._circle.is_whole_fleet else ASKED
        for member in self._rng.sample(others, min(most, len(others))):
            address = self._circle.address(member)
            if address is not None:
                yield address

    async def _ask_member(self, address: tuple[str, int], service: str) -> bool | None:
        """Return whether a member grants a repeat, None if it does not answer in time."""
        ask_id = next(self._ids)
        waiting: defer.Deferred[bool | None] = defer.Deferred()
        waiting.addTimeout(ASK_S, self._clock, onTimeoutCancel=lambda _result, _timeout_s: None)
        self._waiting[ask_id] = waiting
        self._port.ask_repeat(address, RepeatAsk(ask_id, service))
        try:
            return await waiting
        finally:
            self._waiting.pop(ask_id, None)
