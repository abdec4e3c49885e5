"""The box's copy of the operator's configuration, and its age.

The age counts from the monotonic time at which the call that last confirmed the copy was *sent*:
the copy contains every change that the store acknowledged before then. Wall-clock time is never
used. After a restore of the store from a backup, reads of the store confirm nothing until the
operator has had time to repeat lost writes. The same holds for the first reads of a starting box,
unless the store shows that boxes have trusted its era before (see `EraRecord`).

The same calls return which data halls are evacuated; see `evacuations`.
"""

import logging
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError
from ..platform.codecs import MalformedError
from ..platform.feeds import ConfigurationFeed, ConfigurationUpdate
from ..platform.store import CALL_TIMEOUT_S, HistoryGoneError, Revision
from ..routes import Configuration
from ..utils import Wait, start
from .era_record import EraRecord
from .store_pace import ReadTimeout, StorePace

__all__ = ["Activity", "ConfigurationFollower", "ConfigurationStatus"]

WATCH_S = 1.1
"""Duration of one watch for a newer configuration, in seconds. The store charges per watch. A
watch confirms the configuration when it ends, so its duration is well below the setting
`key_bound_ms`, after which a revoked key must be refused. It is above 1 s, because the store may
take that long to report to a watch that the history since its revision was dropped."""

WATCH_GRACE_S = 0.1
"""How late the answer to a watch may be, in seconds; several times the duration of a call. After
that the answer may have been lost, and a change with it."""

READ_MARGIN_S = 0.15
"""How long before `change_bound_s` a box reads the store itself if no peer has confirmed the
configuration, in seconds; several times the duration of a read."""

MAX_RELIANCE_S = 4.0
"""Age of its copy up to which a box relies on its peers, in seconds, also if `change_bound_s` is
longer: a data hall must get no new work from 5 s after the order on, and a read takes up to a
second when the store is busy."""

FOLLOW_CHECK_INTERVAL_S = 0.5
"""Interval at which a box checks whether it can still rely on its peers, in seconds."""

MAX_SOON_RETRIES = 2
"""How often in a row a failed read of a version that peers have is repeated soon. After that a box
waits as in an outage, until a peer's call that was sent later shows that the store answers."""

SOON_RETRY_SHARE = 0.25
"""Longest pause before such a repetition, as a fraction of `change_bound_s`."""

FIRST_READ_SHARE = 0.25
"""Timeout of a read of a store that has answered last, as a fraction of `change_bound_s`: if the
answer is lost, a repetition still ends within the bound."""

RESTORE_DISTRUST_S = 1.2
"""How long reads of a restored store confirm nothing, in seconds.

The operator repeats lost writes in this time; until then, a key that was revoked could seem valid.
Together with the duration of the watch before it and the interval to the next question to a peer,
it stays below the age of 3 s at which a box reports itself not ready. Boxes that rely on peers
continue to rely on them, since their own reads would not count either.
"""

MAX_LOGGED_NAMES = 8
"""Maximum number of routes and organisations with invalid ranks that a log line names."""

_log = logging.getLogger(__name__)


class Activity(StrEnum):
    """What a box does to have the newest configuration in force."""

    RELYING_ON_PEERS = "relies on peers"
    READING = "reads the store"
    WATCHING = "watches the store"
    PAUSING = "pauses after a failure"


class ConfigurationStatus(NamedTuple):
    """What a box knows of the configuration, for operators.

    Parameters
    ----------
    version, newest_version : int
        The version in force, and the newest one that this box knows of; -1 before the first.
    age_s : float
        Seconds since the last confirming call was sent.
    behind_s : float
        Seconds since a version newer than the one in force is known; 0 if none is.
    activity : Activity
        What the box does now.
    failed_reads : int
        Reads and watches that failed since the last that succeeded.
    last_failure : str
        Why the last of them failed; empty if none has.
    """

    version: int
    newest_version: int
    age_s: float
    behind_s: float
    activity: Activity
    failed_reads: int
    last_failure: str


class _NewerVersion(NamedTuple):
    """The newest version that a peer has and this box lacks.

    This box first knew of it at `noticed_s`, and of any version newer than the one in force at
    `behind_since_s`.
    """

    version: int
    noticed_s: float
    behind_since_s: float


class ConfigurationFollower:
    """Follows the configuration; only a higher version replaces the one in force.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    feed : ConfigurationFeed
        Reads and watches the configuration.
    change_bound_s : float
        Time within which a change must be in force, in seconds.
    pace : StorePace
        Decides how often the store is called.
    note_evacuations : callable
        Called after each read or watch with the data halls that the store shows as evacuated, its
        revision, and when the call was sent.
    era_record : EraRecord, optional
        Shows whether the era in which a starting box finds the store was trusted before; without
        it, any is.

    Attributes
    ----------
    in_force : Configuration or None
        The configuration in force; None before the first read.
    raw : bytes
        The encoded form of `in_force` as the operator wrote it, to send to peers.
    """

    def __init__(
        self,
        clock: IReactorTime,
        feed: ConfigurationFeed,
        change_bound_s: float,
        pace: StorePace,
        note_evacuations: Callable[[frozenset[str], Revision, float], None] = lambda *_read: None,
        era_record: EraRecord | None = None,
    ):
        self._clock = clock
        self._feed = feed
        self._note_evacuations = note_evacuations
        self._listed_halls: frozenset[str] = frozenset()
        self._era_record = era_record
        self._era_is_checked = era_record is None
        self._start_distrust_s = float("-inf")
        self._pace = pace
        self._confirmed_s = float("-inf")
        self._connected = True
        self._revision: Revision | None = None
        self._distrusted_until_s = float("-inf")
        self._store_is_behind = False
        self._watch_sent_s = float("-inf")
        self._wait = Wait(clock)
        self._retries = pace.configuration_retries()
        self._read_timeout = ReadTimeout()
        self._newer: _NewerVersion | None = None
        self._activity = Activity.RELYING_ON_PEERS
        self._failed_reads = 0
        self._last_failure = ""
        self._failed_s = float("-inf")
        self._soon_retries = 0
        self.in_force: Configuration | None = None
        self.raw = b""
        self.set_change_bound(change_bound_s)

    @property
    def age_s(self) -> float:
        """Age of the configuration: seconds since the last confirming call was sent."""
        return self._clock.seconds() - self._confirmed_s

    @property
    def is_current(self) -> bool:
        """Whether every change that must be in force by now is in force.

        An open watch reports changes at once but confirms only when it ends, so the age may reach
        twice its duration. An open watch that is not late therefore counts as current, unless the
        call before it was late: then a change that this watch has lost would be older than that. By
        the age alone, every second request for a route that does not exist was told to retry.
        """
        max_s = WATCH_S + WATCH_GRACE_S
        waiting_s = self._clock.seconds() - self._watch_sent_s
        watches = waiting_s < max_s and self._watch_sent_s - self._confirmed_s < max_s
        return self.age_s < self._change_bound_s or watches

    @property
    def knows_newer_version(self) -> bool:
        """Whether a peer has a version that this box lacks."""
        return self._newer is not None

    @property
    def status(self) -> ConfigurationStatus:
        """What this box knows of the configuration, and what it does to have the newest."""
        version = self._version
        return ConfigurationStatus(
            version=version,
            newest_version=version if self._newer is None else self._newer.version,
            age_s=self.age_s,
            behind_s=self._behind_s,
            activity=self._activity,
            failed_reads=self._failed_reads,
            last_failure=self._last_failure,
        )

    def set_change_bound(self, change_bound_s: float) -> None:
        """Apply a changed bound."""
        self._change_bound_s = change_bound_s
        self._max_age_s = min(change_bound_s, MAX_RELIANCE_S) - READ_MARGIN_S

    def note_store_restored(self) -> None:
        """Read everything again after a restore of the store, and distrust it for a while."""
        if self._era_record is not None:
            self._era_record.note_missing()
        self._revision = None
        self._distrusted_until_s = self._clock.seconds() + RESTORE_DISTRUST_S
        self._store_is_behind = True

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        if self._era_record is not None:
            # Peers that have started at the same time may distrust the store as long.
            self._start_distrust_s = self._clock.seconds() + RESTORE_DISTRUST_S
            self._distrusted_until_s = self._start_distrust_s
        while True:
            if self._may_rely_on_peers():
                self._revision = None
                self._activity = Activity.RELYING_ON_PEERS
                await self._wait_for_newer_version()
                continue
            try:
                await self._call_store()
            except HistoryGoneError:
                _log.info("history of the configuration was dropped; reading it in full")
                self._revision = None
            except (KVUnavailableError, MalformedError) as exc:
                self._revision = None
                self._read_timeout.note_failure(exc)
                await self._pause_after_failure(str(exc))

    def apply_peer_configuration(self, raw: bytes, confirmed_s: float) -> None:
        """Apply a peer's configuration if it is newer; the peer confirmed it at `confirmed_s`."""
        try:
            configuration = self._feed.decode(raw)
        except MalformedError as exc:
            _log.warning("cannot decode a peer's configuration", extra={"reason": str(exc)})
            return
        if configuration.version <= self._version:
            return
        self._apply(configuration, raw)
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def confirm_from_peer(self, version: int, sent_s: float, age_s: float) -> None:
        """Apply a peer's answer to a question sent at `sent_s`.

        The peer's copy was `age_s` old when it answered, which was not before `sent_s`. So the
        named version contains every change acknowledged before `sent_s - age_s`.
        """
        if version == self._version:
            self._confirmed_s = max(self._confirmed_s, sent_s - age_s)
        elif version > self._version:
            self._note_newer_version(version, sent_s - age_s)

    @property
    def _version(self) -> int:
        return -1 if self.in_force is None else self.in_force.version

    @property
    def _behind_s(self) -> float:
        return 0.0 if self._newer is None else self._clock.seconds() - self._newer.behind_since_s

    def _note_newer_version(self, version: int, peer_confirmed_s: float) -> None:
        """Record a version that a peer confirmed by a call to the store sent at a given time."""
        is_higher = self._newer is None or version > self._newer.version
        if is_higher:
            self._record_newer_version(version, peer_confirmed_s)
        if is_higher or peer_confirmed_s > self._failed_s:
            self._soon_retries = 0
        if self._activity == Activity.RELYING_ON_PEERS:
            self._wait.end_within()
        elif self._may_retry_soon():
            self._retries.end_within(self._soon_retry_pause_s())

    def _record_newer_version(self, version: int, peer_confirmed_s: float) -> None:
        now_s = self._clock.seconds()
        behind_since_s = now_s if self._newer is None else self._newer.behind_since_s
        self._newer = _NewerVersion(version, now_s, behind_since_s)
        extra = {
            "version": version,
            "in_force": self._version,
            "peer_age_s": round(now_s - peer_confirmed_s, 3),
            "activity": self._activity,
        }
        _log.info("newer configuration known", extra=extra)

    def _may_rely_on_peers(self) -> bool:
        known = self.in_force is not None and self._newer is None
        # While a restored store is distrusted, this box's own reads would confirm nothing. One more
        # interval lets peers, whose reads count from then on, answer first.
        distrusted = self._clock.seconds() < self._distrusted_until_s + FOLLOW_CHECK_INTERVAL_S
        recent = self.age_s < self._max_age_s or distrusted
        return known and recent and self._pace.follows_peers()

    async def _wait_for_newer_version(self) -> None:
        """Wait until a peer reports a newer version or the next check is due."""
        left_s = max(0.0, min(FOLLOW_CHECK_INTERVAL_S, self._max_age_s - self.age_s))
        if self._clock.seconds() < self._distrusted_until_s + FOLLOW_CHECK_INTERVAL_S:
            left_s = FOLLOW_CHECK_INTERVAL_S
        await self._wait.wait(left_s)

    async def _pause_after_failure(self, reason: str) -> None:
        """Pause before the next read; briefly if peers have a version that this box lacks."""
        self._failed_s = self._clock.seconds()
        soon = self._may_retry_soon()
        pause_s = self._soon_retry_pause_s() if soon else self._retries.duration_s()
        self._soon_retries += 1
        self._note_read_failure(reason, pause_s)
        self._activity = Activity.PAUSING
        await self._retries.wait(pause_s)

    def _may_retry_soon(self) -> bool:
        return self._newer is not None and self._soon_retries < MAX_SOON_RETRIES

    def _soon_retry_pause_s(self) -> float:
        max_s = SOON_RETRY_SHARE * self._change_bound_s
        return self._pace.soon_retry_pause_s(self._soon_retries + 1, max_s)

    async def _call_store(self) -> None:
        sent_s = self._clock.seconds()
        if not self._era_is_checked:
            recorded = start(self._era_record.read())
        halls_before: frozenset[str] = frozenset()
        if self._revision is None:
            self._activity = Activity.READING
            update = await self._feed.read(self._next_read_timeout_s())
        else:
            self._watch_sent_s = sent_s
            self._activity = Activity.WATCHING
            halls_before = self._listed_halls
            try:
                update = await self._feed.watch(self._revision, self._watch_duration_s(sent_s))
            finally:
                self._watch_sent_s = float("-inf")
        self._read_timeout.note_answer()
        # First, since an evacuation must also hold if the configuration cannot be decoded.
        self._listed_halls = (halls_before - update.ended) | update.evacuated
        self._note_evacuations(self._listed_halls, update.revision, sent_s)
        if update.malformed:
            raise MalformedError(update.malformed)
        if not self._era_is_checked:
            self._check_era(update.revision.era, await recorded)
        self._apply_update(update, sent_s)

    def _check_era(self, era: int, recorded: int) -> None:
        """Distrust the store after its first answer unless boxes have trusted this era before."""
        self._era_is_checked = True
        # No box has written a record of an era that has not begun.
        if recorded != era:
            self._distrusted_until_s = self._clock.seconds() + RESTORE_DISTRUST_S
            self._era_record.note_missing()
        elif self._distrusted_until_s == self._start_distrust_s:
            self._distrusted_until_s = float("-inf")

    def _next_read_timeout_s(self) -> float:
        """Return the timeout of the next read; after the first one the bound has room for two."""
        if self.in_force is None:
            return self._read_timeout.next_s()
        first_s = min(CALL_TIMEOUT_S, FIRST_READ_SHARE * self._change_bound_s)
        return self._read_timeout.next_s(first_s, store_answers_peers=self.knows_newer_version)

    def _watch_duration_s(self, now_s: float) -> float:
        """Return how long to watch; a watch ends when the store can be trusted again."""
        distrusted_s = self._distrusted_until_s - now_s
        return min(WATCH_S, distrusted_s) if distrusted_s > 0 else WATCH_S

    def _apply_update(self, update: ConfigurationUpdate, sent_s: float) -> None:
        self._revision = update.revision
        # A read sent after the peer's answer shows that a restored store lacks the peer's version.
        if self._newer is not None and sent_s >= self._newer.noticed_s:
            self._newer = None
        self._failed_reads, self._last_failure = 0, ""
        before = self.in_force
        self._apply(update.configuration, update.raw)
        # A restored store may hold an older version than the one in force, which confirms nothing.
        # A newer one confirms even in the time of distrust: it was written after the one in force.
        # The first one says nothing of the kind.
        if update.configuration is not None:
            self._store_is_behind = update.configuration.version < self.in_force.version
        is_newer = before is not None and self.in_force is not before
        is_distrusted = sent_s < self._distrusted_until_s and not is_newer
        if not is_distrusted and not self._store_is_behind:
            self._confirm(sent_s)
            if self._era_record is not None:
                self._era_record.note_trusted(update.revision.era)
        elif is_distrusted and self._clock.seconds() >= self._distrusted_until_s:
            # A read confirms at once, a watch only when it ends.
            self._revision = None

    def _apply(self, configuration: Configuration | None, raw: bytes = b"") -> None:
        if configuration is None:
            return
        known_version = self._version
        if configuration.version <= known_version:
            return
        behind_s = round(self._behind_s, 3)
        self.in_force, self.raw = configuration, raw
        if self._newer is not None and self._newer.version <= configuration.version:
            self._newer = None
        _log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": known_version,
                "routes": len(configuration.routes),
                "behind_s": behind_s,
            },
        )
        if invalid := configuration.invalid_ranks():
            extra = {"version": configuration.version, "names": invalid[:MAX_LOGGED_NAMES]}
            _log.warning("ranks outside 0 to 9 are not used", extra=extra)

    def _confirm(self, sent_s: float) -> None:
        if not self._connected:
            _log.info("configuration read again", extra={"age_s": round(self.age_s, 3)})
        self._connected = True
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def _note_read_failure(self, reason: str, pause_s: float) -> None:
        self._failed_reads += 1
        self._last_failure = reason
        if self._connected or self._newer is not None:
            extra = {
                "reason": reason,
                "age_s": round(min(self.age_s, 1e6), 3),
                "in_force": self._version,
                "newest": self._version if self._newer is None else self._newer.version,
                "behind_s": round(self._behind_s, 3),
                "failed_reads": self._failed_reads,
                "pause_s": round(pause_s, 3),
            }
            _log.warning("configuration not read", extra=extra)
        self._connected = False
