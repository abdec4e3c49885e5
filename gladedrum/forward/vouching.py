"""In a large fleet a few boxes read the store often, and vouch to the others for what it says.

A box asks a member of the circle what it has in force. The answer holds versions and ages, no
content: if they agree with the box's own, its belief is as young as the member's plus the time
since the question was sent, whatever happened on the way. If not, the box reads the store itself,
as it does when no member answers.
"""

import itertools
import random

from twisted.internet.interfaces import IReactorTime

from ..utils import sleep
from .beliefs import ConfigurationKeeper, TargetKeeper
from .gossip import GossipPort
from .placing import Circle
from .wire.ttypes import Gossip, VouchAsk, VouchNote

__all__ = ["PeerVouching"]

ASK_EVERY_S = 0.5
"""How often a box outside the circle asks, in seconds: several times within the least bound."""

OPEN_ASKS = 16
"""Questions whose answers are still taken."""


class PeerVouching:
    """Asks and answers.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    circle : Circle
        Who reads the store often.
    port : GossipPort
        Datagrams to other boxes.
    configuration, targets : ConfigurationKeeper, TargetKeeper
        The beliefs.
    """

    def __init__(
        self,
        clock: IReactorTime,
        circle: Circle,
        port: GossipPort,
        configuration: ConfigurationKeeper,
        targets: TargetKeeper,
    ):
        self._clock = clock
        self._circle = circle
        self._port = port
        self._configuration = configuration
        self._targets = targets
        self._ids = itertools.count(1)
        self._sent_s: dict[int, float] = {}
        self._rng = random.Random()

    async def run(self) -> None:
        """Ask until cancelled, while this box is not in the circle."""
        while True:
            if not self._circle.includes_me():
                self._ask()
            await sleep(self._clock, ASK_EVERY_S)

    def take(self, told: Gossip, address: tuple[str, int]) -> None:
        """Answer a peer's question; take a peer's answer."""
        for ask in told.vouch_asks or ():
            self._answer(ask, address)
        for note in told.vouches or ():
            self._take_answer(note)

    def _ask(self) -> None:
        ask_id = next(self._ids)
        self._sent_s[ask_id] = self._clock.seconds()
        self._sent_s.pop(ask_id - OPEN_ASKS, None)
        member = self._rng.choice(self._circle.members())
        self._port.ask_vouch(self._circle.address(member), VouchAsk(ask_id))

    def _answer(self, ask: VouchAsk, address: tuple[str, int]) -> None:
        table = self._configuration.table
        if table is None or not self._circle.includes_me():
            return
        note = VouchNote(
            ask.ask_id,
            table.version,
            self._configuration.age_s,
            self._targets.digest,
            self._targets.age_s,
        )
        self._port.vouch(address, note)

    def _take_answer(self, note: VouchNote) -> None:
        sent_s = self._sent_s.pop(note.ask_id, None)
        if sent_s is None:
            return
        self._configuration.take_peer_vouch(note.version or 0, sent_s, note.configuration_age_s)
        self._targets.take_peer_vouch(note.targets_digest or "", sent_s, note.targets_age_s)
