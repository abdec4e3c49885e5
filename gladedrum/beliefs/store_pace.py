"""Frequency and timeouts of a box's calls to the store, and when it relies on peers."""

import random
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from ..errors import KVSilentError
from ..platform.store import CALL_TIMEOUT_S, PROBE_TIMEOUT_S
from ..utils import Wait, retry_delay_s

__all__ = ["ReadTimeout", "RetryPause", "StorePace"]

RETRY_PAUSE_S = (0.1, 0.3)
"""Range of the pause after a failed call, in seconds. Short, because requests with keys may be
refused until the box reaches the store again; not shorter, because the store charges per call."""

RETRY_PAUSE_WITH_PEERS_S = (1.2, 2.0)
"""As `RETRY_PAUSE_S` while peers answer: they report when the store is back."""

LARGE_FLEET_RETRY_PAUSE_S = (2.5, 4.0)
"""As `RETRY_PAUSE_WITH_PEERS_S` outside the coordinator group of a large fleet, whose members
detect the store's return. Shorter than the minimum time without contact after which the bounds
apply. 195 boxes that all looked for it made 1,700 calls in an outage of 8 s."""

REGAINED_CONTACT_PAUSE_S = (0.5, 1.0)
"""As `RETRY_PAUSE_S` if peers have begun to answer only since the failed call was sent, which then
shows nothing of the present. Time for a peer to confirm the list before this box reads it."""

PEER_SILENCE_S = 1.5
"""Peers count as unreachable once their last answer is older than this, in seconds."""

PROBES_PER_LONG_CALL = 3
"""Calls with the short timeout between two with the usual one, to a store that gives no answer. It
may be slower than the short timeout allows."""

PEER_CHECK_INTERVAL_S = 0.25
"""Interval at which a pause that relies on peers checks whether they still answer, in seconds."""


class StorePace:
    """Decides how often the followers of configuration and targets call the store.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    rng : random.Random
        Adds jitter to retries.
    follows_peers : callable
        Returns whether this box relies on peers that read the store, as it does outside the
        coordinator group of a large fleet.
    follows_list : callable
        As `follows_peers`, for the list of targets alone.

    Attributes
    ----------
    in_contact_since_s : float
        Since when peers have answered without a silence of `PEER_SILENCE_S`.
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
        self._peer_answered_s = float("-inf")
        self.in_contact_since_s = float("-inf")

    def note_peer_answer(self, sent_s: float) -> None:
        """Record that a peer answered a question sent at `sent_s`."""
        if sent_s - self._peer_answered_s > PEER_SILENCE_S:
            self.in_contact_since_s = sent_s
        self._peer_answered_s = max(self._peer_answered_s, sent_s)

    def configuration_retries(self) -> "RetryPause":
        """Return the pauses after failed reads of the configuration."""
        return RetryPause(self._clock, self, self.follows_peers)

    def list_retries(self) -> "RetryPause":
        """Return the pauses after failed reads of the list of targets."""
        return RetryPause(self._clock, self, self.follows_list)

    def peers_detect_return(self, follows: Callable[[], bool]) -> bool:
        """Whether peers that still answer will tell a box that relies on them of the store."""
        silent_s = self._clock.seconds() - self._peer_answered_s
        return follows() and silent_s <= PEER_SILENCE_S

    def retry_pause_s(self, follows: Callable[[], bool], sent_s: float = float("inf")) -> float:
        """Return the pause after a failed call that was sent at `sent_s`, in seconds."""
        if not self.peers_detect_return(follows):
            return self._rng.uniform(*RETRY_PAUSE_S)
        if self.in_contact_since_s > sent_s:
            return self._rng.uniform(*REGAINED_CONTACT_PAUSE_S)
        return self._rng.uniform(
            *(LARGE_FLEET_RETRY_PAUSE_S if self.follows_peers() else RETRY_PAUSE_WITH_PEERS_S)
        )

    def soon_retry_pause_s(self, failures: int, max_s: float) -> float:
        """Return the pause after a number of failed reads of what peers are known to have."""
        return retry_delay_s(failures, RETRY_PAUSE_S[0], max_s, self._rng)


class RetryPause:
    """The pauses of one follower after failed calls.

    A long pause relies on peers to detect the store's return, so it ends soon after they fall
    silent, or after this box has become one that others rely on.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    pace : StorePace
        Knows whether peers answer.
    follows : callable
        Returns whether this box relies on peers for what the follower reads.
    """

    def __init__(self, clock: IReactorTime, pace: StorePace, follows: Callable[[], bool]):
        self._clock = clock
        self._pace = pace
        self._follows = follows
        self._wait = Wait(clock)
        self._until_s = float("-inf")

    def duration_s(self, sent_s: float = float("inf")) -> float:
        """Return the duration of the pause after a failed call sent at `sent_s`, in seconds."""
        return self._pace.retry_pause_s(self._follows, sent_s)

    async def wait(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds, or less if its reason ends or `end_within` is called."""
        self._until_s = self._clock.seconds() + delay_s
        while (left_s := self._until_s - self._clock.seconds()) > 0:
            await self._wait.wait(min(left_s, PEER_CHECK_INTERVAL_S))
            if not self._pace.peers_detect_return(self._follows):
                self._shorten(self.duration_s())

    def end_within(self, delay_s: float) -> None:
        """End the present pause, if there is one, after at most `delay_s` seconds."""
        self._shorten(delay_s)
        self._wait.end_within(delay_s)

    def _shorten(self, delay_s: float) -> None:
        self._until_s = min(self._until_s, self._clock.seconds() + delay_s)


class ReadTimeout:
    """The timeout of one follower's next read."""

    def __init__(self) -> None:
        self._silent_calls = 0

    def note_answer(self) -> None:
        """Record that the store has answered."""
        self._silent_calls = 0

    def note_failure(self, exc: Exception) -> None:
        """Record a failed call; a store that refuses one does answer."""
        self._silent_calls = self._silent_calls + 1 if isinstance(exc, KVSilentError) else 0

    def next_s(self, first_s: float = CALL_TIMEOUT_S, store_answers_peers: bool = False) -> float:
        """Return the timeout of the next read, in seconds.

        Parameters
        ----------
        first_s : float
            The timeout if the store has answered last, in seconds.
        store_answers_peers : bool
            Whether it answers other boxes, so that it is rather slow than away.
        """
        if not self._silent_calls:
            return first_s
        is_long_call = self._silent_calls % (PROBES_PER_LONG_CALL + 1) == 0
        return CALL_TIMEOUT_S if store_answers_peers or is_long_call else PROBE_TIMEOUT_S
