"""What a box believes of the operator's configuration and the targets, and since when.

A belief carries the monotonic time at which the call that vouches for it was *sent*: everything
that was acknowledged before that time is in it. Time of day plays no part.
"""

import hashlib
import logging
import random
from collections.abc import Callable

from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError
from ..fleet import TargetEntry
from ..platform.codecs import MalformedError
from ..platform.feeds import ConfigurationFeed, ConfigurationNews, TargetFeed
from ..platform.store import HistoryGoneError
from ..routes import RouteTable
from ..utils import sleep, start

__all__ = ["ConfigurationKeeper", "TargetKeeper"]

WATCH_S = 1.4
"""How long one watch for a new configuration waits, in seconds. Each is paid for and vouches for
the configuration when it ends; well below the bound on keys, above the second in which a watch
may hear nothing while the store forgets its history."""

PEER_VOUCH_S = 1.5
"""A peer that has vouched for the configuration within so many seconds is taken to go on so."""

PEER_CHECK_S = 0.5
"""How often it is looked whether peers still vouch, in seconds."""

PEER_WATCH_S = 20.0
"""How long a watch waits while peers vouch, in seconds: it only brings changes at once then."""

LIST_SHARE = 0.4
"""Pause between two reads of the list of targets, as a share of the time after which a leaving
target must get nothing: two reads fit in."""

RETURN_S = 2.2
"""How long entries missing after an outage of the store may take to come back, in seconds: the
users say about two."""

OUTAGE_S = 1.2
"""A list that could not be read for so long, in seconds beyond the usual pause, was cut off by an
outage, in which entries may have lapsed."""

_RETRY_S = (0.05, 0.2)
"""Pause after a failed call, in seconds: the sooner the store's return is noticed, the fewer
requests with keys are refused."""

_log = logging.getLogger(__name__)


class ConfigurationKeeper:
    """Keeps the configuration in force; versions only rise.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    feed : ConfigurationFeed
        Where it is read.
    rng : random.Random
        Spreads the repeats of failed calls.
    """

    def __init__(self, clock: IReactorTime, feed: ConfigurationFeed, rng: random.Random):
        self._clock = clock
        self._feed = feed
        self._rng = rng
        self._vouched_s = float("-inf")
        self._connected = True
        self._peer_vouched_s = float("-inf")
        self._watch: defer.Deferred[ConfigurationNews] | None = None
        self._outrun = False
        self.table: RouteTable | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the call was sent that last vouched for the configuration."""
        return self._clock.seconds() - self._vouched_s

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        revision = None
        while True:
            sent_s = self._clock.seconds()
            try:
                if revision is None:
                    news = await self._feed.read(probe=not self._connected)
                else:
                    news = await self._watch_changes(revision)
            except defer.CancelledError:
                if not self._outrun:
                    raise
                self._outrun = False
                revision = None
                continue
            except HistoryGoneError:
                _log.info("history of the configuration is gone; reading it whole")
                revision = None
                continue
            except (KVUnavailableError, MalformedError) as exc:
                self._note_lost(str(exc))
                revision = None
                await sleep(self._clock, self._rng.uniform(*_RETRY_S))
                continue
            revision = news.revision
            self._apply(news.table)
            self._vouch(sent_s)

    def take_peer_vouch(self, version: int, sent_s: float, age_s: float) -> None:
        """Take what a peer answered to a question sent at `sent_s`.

        The peer's age adds to the time since then: whatever was acknowledged before was in the
        version that it names.
        """
        if self.table is None:
            return
        if version == self.table.version:
            self._peer_vouched_s = max(self._peer_vouched_s, sent_s)
            self._vouched_s = max(self._vouched_s, sent_s - age_s)
        elif version > self.table.version and self._watch is not None:
            # The watch has missed a change; read it whole.
            self._outrun = True
            self._watch.cancel()

    async def _watch_changes(self, revision: int) -> ConfigurationNews:
        wait_s = PEER_WATCH_S if self._peers_vouch() else WATCH_S
        self._watch = start(self._feed.watch(revision, wait_s))
        checking = task.LoopingCall(self._end_watch_without_peers)
        checking.clock = self._clock
        if self._peers_vouch():
            checking.start(PEER_CHECK_S, now=False)
        try:
            return await self._watch
        finally:
            self._watch = None
            if checking.running:
                checking.stop()

    def _peers_vouch(self) -> bool:
        return self._clock.seconds() - self._peer_vouched_s < PEER_VOUCH_S

    def _end_watch_without_peers(self) -> None:
        """A long watch vouches for nothing while it waits, so it needs peers that do."""
        if not self._peers_vouch() and self._watch is not None:
            self._outrun = True
            self._watch.cancel()

    def _apply(self, table: RouteTable | None) -> None:
        if table is None:
            return
        in_force = self.table.version if self.table is not None else -1
        if table.version <= in_force:
            return
        self.table = table
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


class TargetKeeper:
    """Keeps the list of targets.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    feed : TargetFeed
        Where it is read.
    leave_bound_s : float
        After so many seconds a leaving target must get nothing.
    on_gone : callable
        Called with each entry that has gone for good.
    rng : random.Random
        Spreads the reads of several boxes.
    """

    def __init__(
        self,
        clock: IReactorTime,
        feed: TargetFeed,
        leave_bound_s: float,
        on_gone: Callable[[TargetEntry], None],
        rng: random.Random,
    ):
        self._clock = clock
        self._feed = feed
        self._pause_s = LIST_SHARE * leave_bound_s
        self._on_gone = on_gone
        self._rng = rng
        self._read_s = float("-inf")
        self._outage_until_s = float("-inf")
        self._connected = True
        self.entries: dict[str, TargetEntry] = {}

    @property
    def age_s(self) -> float:
        """Seconds since the call was sent that last vouched for the list."""
        return self._clock.seconds() - self._read_s

    def usable(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that may get new requests."""
        return [e for e in self.entries.values() if e.service == service and not e.leaving]

    def may_get_work(self, name: str) -> bool:
        """Whether a target is listed and not leaving."""
        entry = self.entries.get(name)
        return entry is not None and not entry.leaving

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            sent_s = self._clock.seconds()
            left_s = self._read_s + self._pause_s - sent_s
            if left_s > 0:
                await sleep(self._clock, left_s)
                continue
            try:
                listed = await self._feed.read(probe=not self._connected)
            except KVUnavailableError as exc:
                if self._connected:
                    _log.warning("list of targets not read", extra={"reason": str(exc)})
                self._connected = False
                await sleep(self._clock, self._rng.uniform(*_RETRY_S))
                continue
            self._take(listed, sent_s)

    def set_leave_bound(self, leave_bound_s: float) -> None:
        """Take over a changed bound; the next read keeps to it."""
        self._pause_s = LIST_SHARE * leave_bound_s

    @property
    def digest(self) -> str:
        """What stands for the list as it is now; equal on boxes that know the same."""
        rows = repr(sorted(self.entries.values())).encode()
        return hashlib.blake2b(rows, digest_size=12).hexdigest()

    def take_peer_vouch(self, digest: str, sent_s: float, age_s: float) -> None:
        """Take what a peer answered to a question sent at `sent_s`; as for the configuration."""
        if self._connected and digest == self.digest:
            self._read_s = max(self._read_s, sent_s - age_s)

    def _take(self, listed: dict[str, TargetEntry], sent_s: float) -> None:
        late = sent_s - self._read_s > self._pause_s + OUTAGE_S
        if self.entries and (late or not self._connected):
            self._outage_until_s = sent_s + RETURN_S
            _log.info("list of targets read again", extra={"targets": len(listed)})
        self._connected = True
        self._read_s = sent_s
        gone = self.entries.keys() - listed.keys()
        kept = gone if sent_s < self._outage_until_s else set()
        for name in sorted(gone - kept):
            entry = self.entries[name]
            _log.info("target gone", extra={"target": name, "service": entry.service})
            self._on_gone(entry)
        for name, entry in listed.items():
            self._note_change(self.entries.get(name), entry)
        self.entries = {**{name: self.entries[name] for name in kept}, **listed}

    def _note_change(self, before: TargetEntry | None, entry: TargetEntry) -> None:
        if before is not None and before.leaving == entry.leaving:
            return
        state = "leaving" if entry.leaving else "ready"
        _log.info("target listed", extra={"target": entry.name, "state": state})
