"""How often a box calls the store: who leaves that to its peers, when a failed call is repeated."""

import random
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

__all__ = ["StorePace"]

RETRY_S = (0.1, 0.3)
"""Pause after a failed call, in seconds: the sooner the store's return is noticed, the fewer
requests with keys are refused; each call is paid for."""

RETRY_WITH_PEERS_S = (1.2, 2.0)
"""As `RETRY_S` for a box whose peers answer, in seconds: they tell of the store's return."""

RETRY_IN_LARGE_S = (2.5, 4.0)
"""As `RETRY_WITH_PEERS_S` for a box outside the circle of a large fleet: four members look for the
store's return, and 195 boxes that all do made 1,700 calls in an outage of 8 s. Below the least time
for which a box must have reached the store before it is held to its bounds."""

PEERS_SILENT_S = 1.5
"""Peers whose last answer is older than this, in seconds, do not answer any more."""


class StorePace:
    """What the beliefs of a box share about their calls to the store.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    rng : random.Random
        Spreads the repeats of several boxes.
    follows_peers : callable
        Whether this box leaves the reading to peers that vouch for what they read.
    follows_list : callable
        The same for the list of targets alone.
    """

    def __init__(
        self,
        clock: IReactorTime,
        rng: random.Random,
        follows_peers: Callable[[], bool] = lambda: False,
        follows_list: Callable[[], bool] = lambda: False,
    ):
        self.follows_peers = follows_peers
        self.follows_list = follows_list
        self._clock = clock
        self._rng = rng
        self._peer_heard_s = float("-inf")

    def note_peer(self, sent_s: float) -> None:
        """Note that a peer has answered a question sent at `sent_s`."""
        self._peer_heard_s = max(self._peer_heard_s, sent_s)

    def retry_pause_s(self) -> float:
        """Return how long to wait after a failed call, in seconds."""
        return self._retry_pause_s(self.follows_peers())

    def list_retry_pause_s(self) -> float:
        """Return how long to wait after a failed read of the list of targets, in seconds."""
        return self._retry_pause_s(self.follows_list())

    def _retry_pause_s(self, follows: bool) -> float:
        silent_s = self._clock.seconds() - self._peer_heard_s
        alone = silent_s > PEERS_SILENT_S or not follows
        if alone:
            return self._rng.uniform(*RETRY_S)
        return self._rng.uniform(
            *(RETRY_IN_LARGE_S if self.follows_peers() else RETRY_WITH_PEERS_S)
        )
