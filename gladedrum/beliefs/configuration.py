"""What a box believes of the operator's configuration, and since when.

The belief carries the monotonic time at which the call that vouches for it was *sent*: everything
that was acknowledged before that time is in it. Time of day plays no part. A store that has come
back from a copy vouches for nothing until the operator has had the time to write again.
"""

import logging

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError
from ..platform.codecs import MalformedError
from ..platform.feeds import ConfigurationFeed, ConfigurationNews
from ..platform.store import HistoryGoneError, Revision
from ..routes import RouteTable
from ..utils import sleep
from .store_pace import StorePace

__all__ = ["ConfigurationKeeper"]

WATCH_S = 1.1
"""How long one watch for a new configuration waits, in seconds. Each is paid for and vouches for
the configuration when it ends; well below the bound on keys, above the second in which a watch
may hear nothing while the store forgets its history."""

WATCH_LATE_S = 0.1
"""How much later than it was to end a watch may be answered, in seconds: some times what a call
takes. One that has not ended by then may have been lost with what it would have told."""

BOUND_MARGIN_S = 0.15
"""How long before the bound on changes a box reads the store itself if no peer has vouched, in
seconds: some times what a read takes."""

FOLLOW_CHECK_S = 0.5
"""How often a box that relies on its peers looks whether it still does, in seconds."""

WRITTEN_AGAIN_S = 1.2
"""How long a store that came back from a copy vouches for nothing, in seconds: the operator writes
again what was lost, and a key that was taken away must not count as looked after meanwhile. With
the end of a watch before, and a question to a peer after, that is less than the age from which a
box calls itself not ready, 3 s. Boxes that rely on their peers go on doing so meanwhile: what they
read themselves would be doubted, too."""

_log = logging.getLogger(__name__)


class ConfigurationKeeper:
    """Keeps the configuration in force; versions only rise.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    feed : ConfigurationFeed
        Where it is read.
    change_bound_s : float
        After so many seconds a change must be in force.
    pace : StorePace
        How often the store is called.

    Attributes
    ----------
    table : RouteTable or None
        What is in force, None before the first.
    raw : bytes
        The same as the operator wrote it, for peers.
    """

    def __init__(
        self,
        clock: IReactorTime,
        feed: ConfigurationFeed,
        change_bound_s: float,
        pace: StorePace,
    ):
        self._clock = clock
        self._feed = feed
        self._pace = pace
        self._vouched_s = float("-inf")
        self._connected = True
        self._revision: Revision | None = None
        self._doubted_until_s = float("-inf")
        self._is_behind = False
        self._watch_sent_s = float("-inf")
        self._news: defer.Deferred[None] | None = None
        self._newer_known = False
        self.table: RouteTable | None = None
        self.raw = b""
        self.set_change_bound(change_bound_s)

    @property
    def age_s(self) -> float:
        """Seconds since the call was sent that last vouched for the configuration."""
        return self._clock.seconds() - self._vouched_s

    @property
    def is_current(self) -> bool:
        """Whether a change that had to be in force by now would be.

        A watch that waits tells a change at once, but vouches only when it ends: between two of
        them the age goes up to twice what one waits. On a calm day every second request for a route
        that does not exist was told to come back for that, and came back.
        """
        waiting_s = self._clock.seconds() - self._watch_sent_s
        return self.age_s < self._change_bound_s or waiting_s < WATCH_S + WATCH_LATE_S

    def set_change_bound(self, change_bound_s: float) -> None:
        """Take over a changed bound."""
        self._change_bound_s = change_bound_s
        self._most_age_s = change_bound_s - BOUND_MARGIN_S

    def note_era(self) -> None:
        """Note that the store has come back from a copy: it is read whole, and doubted."""
        self._revision = None
        self._doubted_until_s = self._clock.seconds() + WRITTEN_AGAIN_S
        self._is_behind = True

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            if self._may_rely_on_peers():
                self._revision = None
                await self._await_news()
                continue
            try:
                await self._call_store()
            except HistoryGoneError:
                _log.info("history of the configuration is gone; reading it whole")
                self._revision = None
            except (KVUnavailableError, MalformedError) as exc:
                self._note_lost(str(exc))
                self._revision = None
                await sleep(self._clock, self._pace.retry_pause_s())

    def take_peer_configuration(self, raw: bytes, vouched_s: float) -> None:
        """Take a newer configuration that a peer has handed on, which it vouches for so."""
        try:
            table = self._feed.decode(raw)
        except MalformedError as exc:
            _log.warning("configuration of a peer not read", extra={"reason": str(exc)})
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self._apply(table, raw)
        self._newer_known = False
        self._vouched_s = max(self._vouched_s, vouched_s)

    def take_peer_vouch(self, version: int, sent_s: float, age_s: float) -> None:
        """Take what a peer answered to a question sent at `sent_s`.

        The peer's age adds to the time since then: whatever was acknowledged before was in the
        version that it names.
        """
        if self.table is None:
            return
        if version == self.table.version:
            self._vouched_s = max(self._vouched_s, sent_s - age_s)
        elif version > self.table.version:
            self._newer_known = True
            if self._news is not None:
                self._news.callback(None)

    def _may_rely_on_peers(self) -> bool:
        known = self.table is not None and not self._newer_known
        doubted = self._clock.seconds() < self._doubted_until_s + FOLLOW_CHECK_S
        young = self.age_s < self._most_age_s or doubted
        return known and young and self._pace.follows_peers()

    async def _await_news(self) -> None:
        """Wait until peers know a newer version, or it is time to look again."""
        left_s = max(0.0, min(FOLLOW_CHECK_S, self._most_age_s - self.age_s))
        if self._clock.seconds() < self._doubted_until_s + FOLLOW_CHECK_S:
            left_s = FOLLOW_CHECK_S
        self._news = defer.Deferred()
        self._news.addTimeout(left_s, self._clock, onTimeoutCancel=lambda _result, _s: None)
        try:
            await self._news
        finally:
            self._news = None

    async def _call_store(self) -> None:
        sent_s = self._clock.seconds()
        if self._revision is None:
            news = await self._feed.read(probe=not self._connected)
        else:
            self._watch_sent_s = sent_s
            try:
                news = await self._feed.watch(self._revision, self._watch_s(sent_s))
            finally:
                self._watch_sent_s = float("-inf")
        self._take(news, sent_s)

    def _watch_s(self, now_s: float) -> float:
        """Return how long to watch: until what the store says counts again, if it is doubted."""
        doubted_s = self._doubted_until_s - now_s
        return min(WATCH_S, doubted_s) if doubted_s > 0 else WATCH_S

    def _take(self, news: ConfigurationNews, sent_s: float) -> None:
        self._revision = news.revision
        self._newer_known = False
        before = self.table
        self._apply(news.table, news.raw)
        if news.table is not None:
            self._is_behind = news.table.version < self.table.version
        is_doubted = sent_s < self._doubted_until_s and self.table is before
        if not is_doubted and not self._is_behind:
            self._vouch(sent_s)

    def _apply(self, table: RouteTable | None, raw: bytes = b"") -> None:
        if table is None:
            return
        in_force = self.table.version if self.table is not None else -1
        if table.version <= in_force:
            return
        self.table, self.raw = table, raw
        _log.info(
            "configuration in force",
            extra={"version": table.version, "before": in_force, "routes": len(table.routes)},
        )

    def _vouch(self, sent_s: float) -> None:
        if not self._connected:
            _log.info("configuration read again", extra={"age_s": round(self.age_s, 3)})
        self._connected = True
        self._vouched_s = max(self._vouched_s, sent_s)

    def _note_lost(self, reason: str) -> None:
        if self._connected:
            age_s = round(min(self.age_s, 1e6), 3)
            _log.warning("configuration not read", extra={"reason": reason, "age_s": age_s})
        self._connected = False
