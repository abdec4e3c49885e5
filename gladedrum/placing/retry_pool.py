"""The fleet-wide retry budget: retries from this box's share, or granted from another box's share.

A *retry* is any further attempt of a request, hedges included; messages, log lines and metrics call
it a repeat. The budget is a ratio of requests plus a slack. In a large fleet, an even split of the
slack would leave each box one or two retries: too few where many requests fail at once, and unused
elsewhere. There, the coordinators hold the slack, and other boxes ask up to two of them for each
retry beyond their own ratio. In a small fleet each box has a share, and asks others once it is
empty. A retry is taken from the share of the box that grants it, so the total stays within the
budget whichever box sends it.
"""

import itertools
import logging
import random
from collections.abc import Iterator
from enum import Enum

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..beliefs.coordinators import ANSWER_TIMEOUT_S, GROUP_SIZE, CoordinatorGroup
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import Gossip, RepeatAsk, RepeatGrant
from .retry_shares import RetryShares

__all__ = ["RetryGrant", "RetryPool", "sharers_of"]

MAX_MEMBERS_ASKED = 2
"""Number of coordinators that are asked for a retry: the first may be slow, or have spent its part
of the slack, and a stream whose engine has died is lost without a retry."""

MAX_MEMBERS_ASKED_SMALL_FLEET = 4
"""Same for a small fleet, where shares are smaller, and those of recently started boxes smaller
still. The search ends after `MAX_MEMBERS_ASKED` missing answers, so it takes no longer than in a
large fleet."""

_log = logging.getLogger(__name__)


def sharers_of(coordinators: CoordinatorGroup, boxes: int) -> int:
    """Return the number of boxes that share the slack; 0 if this box has no share."""
    if coordinators.is_whole_fleet:
        return boxes
    return GROUP_SIZE if coordinators.includes_me() else 0


class RetryGrant(Enum):
    """Which box's share a retry was taken from."""

    OWN = "own"
    PEER = "a peer's"


class RetryPool:
    """Takes retries from this box's share or from that of a coordinator.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    coordinators : CoordinatorGroup
        The coordinator group, which holds the slack.
    port : GossipPort
        Sends datagrams to other boxes.
    shares : RetryShares
        This box's share.
    rng : random.Random
        Selects the coordinators to ask.
    """

    def __init__(
        self,
        clock: IReactorTime,
        coordinators: CoordinatorGroup,
        port: GossipPort,
        shares: RetryShares,
        rng: random.Random,
    ):
        self._clock = clock
        self._coordinators = coordinators
        self._port = port
        self._shares = shares
        self._rng = rng
        self._ids = itertools.count(1)
        self._waiting: dict[int, defer.Deferred[bool | None]] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._shares.note_request(service, self._clock.seconds())

    async def take(self, service: str) -> RetryGrant | None:
        """Take one retry; return whose share it is from, None if there is none left."""
        if self._shares.take(service, self._clock.seconds()):
            return RetryGrant.OWN
        if await self._ask(service):
            return RetryGrant.PEER
        left = round(self._shares.left(service, self._clock.seconds()), 2)
        _log.info("no repeat granted", extra={"service": service, "left": left})
        return None

    def give_back(self, service: str, grant: RetryGrant) -> None:
        """Return a retry that was not sent.

        One granted by a peer is lost: the peer's share has been refilled since, and returning the
        retry would exceed the fleet's budget.
        """
        if grant is not RetryGrant.PEER:
            self._shares.give_back(service, self._clock.seconds())

    def receive(self, message: Gossip, address: tuple[str, int]) -> None:
        """Answer a peer's questions and process its answers."""
        for ask in message.repeat_asks or ():
            granted = self._shares.take(ask.service_name or "", self._clock.seconds())
            self._port.grant_repeat(address, RepeatGrant(ask.ask_id, granted))
        for grant in message.repeat_grants or ():
            waiting = self._waiting.pop(grant.ask_id, None)
            if waiting is not None:
                waiting.callback(bool(grant.granted))

    async def _ask(self, service: str) -> bool:
        """Ask coordinators until one grants a retry or `MAX_MEMBERS_ASKED` do not answer."""
        silent = 0
        for address in self._addresses_to_ask():
            granted = await self._ask_member(address, service)
            if granted:
                return True
            silent += granted is None
            if silent == MAX_MEMBERS_ASKED:
                break
        return False

    def _addresses_to_ask(self) -> Iterator[tuple[str, int]]:
        others = [name for name in self._coordinators.members() if name != self._coordinators.me]
        limit = (
            MAX_MEMBERS_ASKED_SMALL_FLEET
            if self._coordinators.is_whole_fleet
            else MAX_MEMBERS_ASKED
        )
        for member in self._rng.sample(others, min(limit, len(others))):
            address = self._coordinators.address(member)
            if address is not None:
                yield address

    async def _ask_member(self, address: tuple[str, int], service: str) -> bool | None:
        """Return whether a coordinator grants a retry, None if it does not answer in time."""
        ask_id = next(self._ids)
        waiting: defer.Deferred[bool | None] = defer.Deferred()
        waiting.addTimeout(
            ANSWER_TIMEOUT_S, self._clock, onTimeoutCancel=lambda _result, _timeout_s: None
        )
        self._waiting[ask_id] = waiting
        self._port.ask_repeat(address, RepeatAsk(ask_id, service))
        try:
            return await waiting
        finally:
            self._waiting.pop(ask_id, None)
