"""The box's copy of the list of targets, and its age.

As for the configuration, the age counts from the *sending* of the call that last confirmed the
list. A start of a target is one run of its process; `TargetEntry.born` tells the starts apart. A
target that is leaving stays so until a later start of it is seen under the same name; entries of
earlier starts are ignored. A gone target is brought back by a later start, or by a read of the
store except soon after a restore (see `RESTORE_HOLD_S`). Targets also announce to boxes that they
are leaving, since the store may be unavailable or hold an older entry.

Entries of live targets expire while targets cannot reach the store, and are written again soon
after its return. So after a time without a list a box keeps missing entries for a while. It cannot
tell an outage of the store from one of its own link, after which missing targets have left. The
while is therefore counted from the last sign of the fault (see `MAX_KEPT_S`), and ends at once if
a peer has read the store meanwhile.

Targets of evacuated data halls (see `evacuations`) stay in the list and accept no requests.
"""

import hashlib
import logging
from collections import namedtuple
from collections.abc import Callable, Mapping

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..errors import KVUnavailableError
from ..fleet import TargetEntry
from ..platform.feeds import TargetFeed
from ..platform.store import CALL_TIMEOUT_S
from ..utils import Wait
from .evacuations import Evacuations
from .store_pace import ReadTimeout, StorePace

__all__ = ["TargetListFollower"]

READ_INTERVAL_FRACTION = 0.4
"""Interval between reads of the list, as a fraction of `leave_bound_s`, in which two reads fit."""

PEER_LIST_AGE_FRACTION = 0.75
"""Age up to which a box relies on its peers' list, as a fraction of `leave_bound_s`. It allows for
the age of a reader's list and two questions to readers."""

REAPPEAR_GRACE_S = 2.2
"""How long entries missing after an outage of the store may take to reappear, in seconds. Targets
write theirs again within about two seconds."""

MAX_KEPT_S = 2.75
"""How long missing entries are kept after the last sign of the fault, in seconds. The fault has
ended later than that sign, by up to a second, so this leaves live targets about two seconds to
reappear. A box that was itself cut off must follow departures three seconds after its return."""

PEER_LIST_DELAY_S = 0.15
"""How much longer a box that relies on peers keeps missing entries, in seconds: the time for the
list of a peer that has read the store to the end of `MAX_KEPT_S`."""

MIN_EXPIRY_S = 2.4
"""The least time without a list in which entries may have expired, in seconds: three heartbeats of
at least 1.2 s, less the one that may have passed before."""

LAST_READ_LEAD_S = 0.1
"""How long before missing entries are dropped the list is read once more, in seconds; the store
answers within milliseconds."""

SYN_RETRY_S = 1.0
"""Time after which TCP repeats an unanswered opening packet, in seconds. A call that was answered
later was sent during the fault, and one that was never answered was also sent again during it."""

RESTORE_HOLD_S = 6.0
"""How long reads of a restored store do not bring back a gone target, in seconds. The entry of a
target that has ended expires after three heartbeats of 1.2 to 1.5 s, so an entry that is listed
after this time belongs to a live target."""

MAX_NAMES_LOGGED = 8
"""Names of leaving targets in the log line about a box's first list."""

NEWCOMER_S = 1.5
"""How long after its first list a box is a newcomer, in seconds: the age that an entry may have, so
that a target may have become cold meanwhile. After this time a peer or a target has told it."""

MAX_REMEMBERED_STARTS = 4096
"""Number of gone targets, and of leaving ones, that are remembered to ignore their old entries."""

_DigestRow = namedtuple("TargetEntry", TargetEntry._fields[: TargetEntry._fields.index("born") + 1])
"""The fields of an entry that the digest of a list covers. The digest is that of their text, so the
name is part of it. The remaining cold time changes all the time and is left out."""

_log = logging.getLogger(__name__)


class TargetListFollower:
    """Follows the list of targets.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    feed : TargetFeed
        Reads the list.
    leave_bound_s : float
        Time after which a leaving target must get no requests, in seconds.
    on_gone : callable
        Called with each entry that was removed from the list.
    pace : StorePace
        Decides how often the store is called.
    on_listed : callable
        Called with each entry of a new target or of a later start of a known one.
    evacuations : Evacuations, optional
        The evacuated data halls; by default there are none.

    Attributes
    ----------
    entries : dict of str to TargetEntry
        The list, by name of target.
    evacuations : Evacuations
        The evacuated data halls.
    on_cold : callable
        Called with the remaining cold time of each listed entry: the entry, the time of the list,
        whether its start became known while other targets were known, and the source of the list,
        empty if it is the store. Entries in `entries` have no remaining cold time.
    is_certain : bool
        False while `entries` holds targets that the store does not list and that may reappear.
    """

    def __init__(
        self,
        clock: IReactorTime,
        feed: TargetFeed,
        leave_bound_s: float,
        on_gone: Callable[[TargetEntry], None],
        pace: StorePace,
        on_listed: Callable[[TargetEntry], None] = lambda _entry: None,
        evacuations: Evacuations | None = None,
    ):
        self.evacuations = evacuations or Evacuations(clock)
        self.evacuations.on_changed.append(self._note_halls)
        self._clock = clock
        self._feed = feed
        self._leave_bound_s = leave_bound_s
        self._on_gone = on_gone
        self._pace = pace
        self._retries = pace.list_retries()
        self._wait = Wait(clock)
        self._read_timeout = ReadTimeout()
        self._on_listed = on_listed
        self._confirmed_s = float("-inf")
        self._peer_list_s = float("-inf")
        self._followed_since_s = float("-inf")
        self._failed_sent_s = float("-inf")
        self._fault_s = float("-inf")
        self._gap_ended_s = float("-inf")
        self._regained_s = float("-inf")
        self._keep_until_s = float("-inf")
        self._kept: frozenset[str] = frozenset()
        self._expiry: IDelayedCall | None = None
        self._hold_until_s = float("-inf")
        self._connected = True
        self._gone_starts: dict[str, int] = {}
        self._leaving_starts: dict[str, int] = {}
        self._digest = ""
        self._digest_of: Mapping[str, TargetEntry] | None = None
        self.entries: dict[str, TargetEntry] = {}
        self.on_cold: Callable[[TargetEntry, float, bool, str], None] = lambda *_entry: None
        self._first_listed_s = float("inf")
        self.is_certain = True

    @property
    def age_s(self) -> float:
        """Age of the list: seconds since the last confirming call was sent."""
        return self._clock.seconds() - self._confirmed_s

    @property
    def confirmed_s(self) -> float:
        """When the last confirming call was sent."""
        return self._confirmed_s

    @property
    def is_newcomer(self) -> bool:
        """Whether this box has known the list for less than `NEWCOMER_S`."""
        return self._clock.seconds() - self._first_listed_s < NEWCOMER_S

    @property
    def digest(self) -> str:
        """Digest of the list; equal on boxes with equal lists."""
        if self._digest_of is not self.entries:
            rows = repr(
                [_DigestRow(*e[: len(_DigestRow._fields)]) for e in self._sorted()]
            ).encode()
            self._digest = hashlib.blake2b(rows, digest_size=12).hexdigest()
            self._digest_of = self.entries
        return self._digest

    def _sorted(self) -> list[TargetEntry]:
        return [entry for _name, entry in sorted(self.entries.items())]

    def usable(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that accept new requests."""
        halls = self.evacuations.halls
        return [
            entry
            for entry in self.entries.values()
            if entry.service == service and not entry.leaving and entry.data_hall not in halls
        ]

    def accepts_requests(self, name: str) -> bool:
        """Whether a target is listed, not leaving and not in an evacuated data hall."""
        entry = self.entries.get(name)
        return entry is not None and not entry.leaving and not self.is_evacuated(name)

    def is_evacuated(self, name: str) -> bool:
        """Whether a target is listed and its data hall is evacuated."""
        entry = self.entries.get(name)
        return entry is not None and self.evacuations.includes(entry.data_hall)

    def evacuated(self) -> list[TargetEntry]:
        """Return the listed targets of evacuated data halls."""
        includes = self.evacuations.includes
        return [entry for entry in self.entries.values() if includes(entry.data_hall)]

    def note_leaving(self, name: str, born: int) -> bool:
        """Record that a start of a target has announced that it is leaving.

        This overrides the list for the lifetime of this start, even if its entry has expired or
        was not read yet. Returns whether the target is listed and was not yet known to be leaving.
        """
        entry = self.entries.get(name)
        if entry is None:
            _remember(self._leaving_starts, name, max(born, self._leaving_starts.get(name, 0)))
            return False
        if entry.leaving or 0 < born < entry.born:
            return False
        _remember(self._leaving_starts, name, max(born, entry.born))
        self.entries = {**self.entries, name: entry._replace(leaving=True)}
        return True

    def note_start(self, name: str, born: int) -> None:
        """Record a start that a target has reported; it supersedes an earlier listed one."""
        entry = self.entries.get(name)
        if entry is not None and entry.born < born:
            leaving = self._leaving_starts.get(name, 0) >= born
            self.entries = {**self.entries, name: entry._replace(born=born, leaving=leaving)}

    def set_leave_bound(self, leave_bound_s: float) -> None:
        """Apply a changed bound from the next read on."""
        self._leave_bound_s = leave_bound_s

    def note_store_restored(self) -> None:
        """Expect missing and outdated entries after a restore of the store.

        Entries that it lacks may be written again, as after an outage; entries that it has may
        belong to targets that are gone.
        """
        now_s = self._clock.seconds()
        self._followed_since_s = now_s
        if self._connected and now_s - self._regained_s > MAX_KEPT_S:
            self._fault_s = now_s
        # Otherwise it may have been restored at any time since the fault began, which this box's
        # first call after it shows only now.
        if self.entries:
            self._keep_missing()
        self._hold_until_s = now_s + RESTORE_HOLD_S

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            sent_s = self._clock.seconds()
            if (left_s := self._read_due_s - sent_s) > 0:
                await self._wait.wait(left_s)
                continue
            try:
                listed = await self._feed.read(self._read_timeout.next_s())
            except KVUnavailableError as exc:
                self._read_timeout.note_failure(exc)
                self._note_read_failure(str(exc), sent_s)
                await self._retries.wait(self._retries.duration_s(sent_s))
                continue
            self._read_timeout.note_answer()
            self._apply_read(listed, sent_s)

    def confirm_from_peer(self, digest: str, sent_s: float, age_s: float) -> None:
        """Confirm the list if a peer, asked at `sent_s`, has an equal one that is `age_s` old."""
        if digest != self.digest:
            return
        if sent_s - age_s > self._confirmed_s:
            # The digest covers kept targets, so they are listed again.
            self._set_kept(frozenset())
        self._note_confirmed(sent_s - age_s)

    def note_peer_failure(self, failed_s: float) -> None:
        """Record a peer's latest failed read, sent at `failed_s`, while this box can't read either.

        For boxes that were in contact with that peer all the while, so that both had the same
        fault; peers that read the store see its end sooner than boxes that rely on them.
        """
        if self._connected and not self._kept:
            return
        self._fault_s = max(self._fault_s, failed_s)
        if self._kept:
            self._set_keep_limit()

    def apply_peer_list(
        self, listed: Mapping[str, TargetEntry], read_s: float, followed_s: float = 0.0
    ) -> None:
        """Apply a peer's whole list, which was confirmed at `read_s`.

        At that time the peer had followed the list for `followed_s` seconds without a gap. After
        `REAPPEAR_GRACE_S`, what it lacks has not expired but left.

        A gone start of a target is not brought back, since the peer may still keep its entry after
        an outage; only a read of the store does that. A later start is accepted. A list with a gone
        start does not confirm this box's list, so the box reads the store once its own is too old.
        Leaving targets are taken from a list of any age, because leaving is final for a start.
        """
        for entry in listed.values():
            if entry.leaving:
                self.note_leaving(entry.name, entry.born)
        known_s = max(self._confirmed_s, self._peer_list_s)
        if followed_s >= REAPPEAR_GRACE_S:
            self._end_grace(read_s)
        if read_s <= known_s:
            return
        if followed_s < REAPPEAR_GRACE_S and not self._connected:
            self._note_gap(read_s - known_s)
        # Set even if the list confirms nothing: an older list must not remove its new targets.
        self._peer_list_s = read_s
        accepted = {name: entry for name, entry in listed.items() if not self._is_known_gone(entry)}
        for name in accepted:
            self._gone_starts.pop(name, None)
        if len(accepted) == len(listed):
            self._note_confirmed(read_s)
        self._replace(accepted, read_s, "a peer's list")

    @property
    def _read_due_s(self) -> float:
        """When this box has to read the list itself, unless a peer confirms it before."""
        due_s = self._confirmed_s + self._max_age_s
        last_s = self._keep_until_s - LAST_READ_LEAD_S
        # Boxes that rely on peers get the list of one that has made this last read.
        if self._kept and self._confirmed_s < last_s and not self._pace.follows_list():
            return min(due_s, last_s)
        return due_s

    @property
    def _max_age_s(self) -> float:
        """Age at which this box reads the list itself, in seconds."""
        fraction = PEER_LIST_AGE_FRACTION if self._pace.follows_list() else READ_INTERVAL_FRACTION
        return fraction * self._leave_bound_s

    @property
    def followed_s(self) -> float:
        """How long the list had been followed without a gap when it was last confirmed."""
        return self._confirmed_s - self._followed_since_s

    @property
    def failed_s(self) -> float | None:
        """Seconds since the latest failed read, None unless the list is incomplete or unread."""
        if self._connected and not self._kept:
            return None
        return self._clock.seconds() - self._fault_s

    @property
    def kept(self) -> frozenset[str]:
        """The targets that are kept although the latest list lacks them."""
        return self._kept

    def _note_read_failure(self, reason: str, sent_s: float) -> None:
        """Record a failed read that was sent at `sent_s`."""
        if sent_s <= self._confirmed_s:
            # A peer has read the store since then; the failure shows nothing of the present.
            return
        if self._connected:
            _log.warning("list of targets not read", extra={"reason": reason})
            # An open connection may have died in an earlier fault; further calls open new ones.
            sign_s = self._confirmed_s
        elif round(self._clock.seconds() - sent_s, 3) >= CALL_TIMEOUT_S:
            sign_s = sent_s + SYN_RETRY_S
        else:
            sign_s = sent_s
        self._connected = False
        self._failed_sent_s = sent_s
        self._fault_s = max(self._fault_s, sign_s)

    def _note_list(self, read_s: float) -> None:
        """Record that a list read at `read_s` confirms this one."""
        if read_s - self._confirmed_s > MIN_EXPIRY_S:
            self._followed_since_s = read_s
        self._confirmed_s = max(self._confirmed_s, read_s)

    def _note_confirmed(self, read_s: float) -> None:
        self._note_list(read_s)
        is_later = self._confirmed_s >= self._failed_sent_s
        if not self._connected and is_later and self.age_s < self._max_age_s:
            _log.info("list of targets confirmed again", extra={"age_s": round(self.age_s, 3)})
            self._connected, self._regained_s = True, self._clock.seconds()

    def _apply_read(self, listed: dict[str, TargetEntry], sent_s: float) -> None:
        if self.entries and not self._connected:
            if self._clock.seconds() - sent_s >= SYN_RETRY_S:
                self._fault_s = max(self._fault_s, sent_s)
            self._note_gap(sent_s - self._confirmed_s)
            _log.info("list of targets read again", extra={"targets": len(listed)})
            self._regained_s = self._clock.seconds()
        self._connected = True
        self._note_list(sent_s)
        if self._clock.seconds() < self._hold_until_s:
            listed = {n: entry for n, entry in listed.items() if not self._is_known_gone(entry)}
        for name in listed:
            self._gone_starts.pop(name, None)
        self._replace(listed, sent_s)

    def _note_gap(self, gap_s: float) -> None:
        """Keep missing entries for a while if they may have expired in a gap between lists."""
        failed_again = self._failed_sent_s > self._gap_ended_s
        if gap_s > MIN_EXPIRY_S or (self._kept and failed_again):
            self._keep_missing()

    def _keep_missing(self) -> None:
        """Keep missing entries for a while; the first list after a fault has just come."""
        self._gap_ended_s = self._clock.seconds()
        self._set_keep_limit()

    def _set_keep_limit(self) -> None:
        """Set the time until which missing entries are kept."""
        until_s = self._fault_s + MAX_KEPT_S
        if self._pace.follows_list():
            until_s += PEER_LIST_DELAY_S
        else:
            until_s = min(until_s, self._gap_ended_s + REAPPEAR_GRACE_S)
        self._keep_until_s = until_s
        if self._kept:
            self._schedule_expiry()

    def _set_kept(self, kept: frozenset[str]) -> None:
        """Record which targets are kept, and drop them in time if no list comes before."""
        if kept - self._kept:
            now_s = self._clock.seconds()
            extra = {
                "targets": sorted(kept)[:MAX_NAMES_LOGGED],
                "count": len(kept),
                "reason": "not listed; their entries may have expired in an outage",
                "fault_age_s": round(min(now_s - self._fault_s, 1e6), 3),
                "kept_for_s": round(self._keep_until_s - now_s, 3),
            }
            _log.info("unlisted targets kept", extra=extra)
        self._kept = kept
        self.is_certain = not kept
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if self._expiry is not None and self._expiry.active():
            self._expiry.cancel()
        self._expiry = None
        if self._kept:
            left_s = max(0.0, self._keep_until_s - self._clock.seconds())
            self._expiry = self._clock.callLater(left_s, self._drop_kept)
            self._wait.end_within(max(0.0, left_s - LAST_READ_LEAD_S))

    def _end_grace(self, read_s: float) -> None:
        """Drop missing entries: a peer was able to read the list for long enough until `read_s`."""
        if self._gap_ended_s - read_s > MIN_EXPIRY_S:
            return
        self._keep_until_s = float("-inf")
        if self._kept:
            self._drop_kept()

    def _drop_kept(self) -> None:
        """Drop what is still missing, unless the store is away again."""
        self._expiry = None
        if self._connected:
            entries = {n: entry for n, entry in self.entries.items() if n not in self._kept}
            self._replace(entries, self._confirmed_s)

    def _replace(
        self,
        listed: Mapping[str, TargetEntry],
        as_of_s: float | None = None,
        source: str = "",
    ) -> None:
        """Replace the list; for a while after an outage, keep entries that are missing from it.

        This applies to peers' lists too: a peer that started in the outage lacks expired entries.
        """
        missing = frozenset(self.entries.keys() - listed.keys())
        kept = missing if self._clock.seconds() < self._keep_until_s else frozenset()
        self._set_kept(kept)
        for name in sorted(self.entries.keys() - listed.keys() - kept):
            self._note_gone(self.entries[name])
        if not self.entries:
            # One line for the whole list, since every box of a starting fleet logs it.
            leaving = sorted(entry.name for entry in listed.values() if entry.leaving)
            extra = {"targets": len(listed), "leaving": leaving[:MAX_NAMES_LOGGED]}
            _log.info("targets listed", extra=extra)
        if listed:
            self._first_listed_s = min(self._first_listed_s, self._clock.seconds())
        before = self.entries
        merged = {
            name: self._merge_entry(entry)._replace(cold_left_s=None)
            for name, entry in listed.items()
        }
        entries = {**{name: before[name] for name in kept}, **merged}
        if entries != self.entries:
            self.entries = entries
            self._note_halls()
        if as_of_s is None:
            as_of_s = self._clock.seconds()
        self._report_cold(before, listed, as_of_s, source)

    def _note_halls(self) -> None:
        """Compare the evacuated data halls with those of the targets, once there is a list."""
        if self.entries:
            self.evacuations.note_known_halls(e.data_hall for e in self.entries.values())

    def _report_cold(
        self,
        before: Mapping[str, TargetEntry],
        listed: Mapping[str, TargetEntry],
        as_of_s: float,
        source: str,
    ) -> None:
        """Pass on the remaining cold time of the entries of the latest known starts."""
        for name, entry in listed.items():
            known = before.get(name)
            if 0 < entry.born < self.entries[name].born:
                continue
            is_new = bool(before) and (known is None or known.born < entry.born)
            if is_new or entry.cold_left_s is not None:
                self.on_cold(entry, as_of_s, is_new, source)

    def _is_known_gone(self, entry: TargetEntry) -> bool:
        """Whether this start of a target is known to be gone."""
        gone_born = self._gone_starts.get(entry.name)
        return gone_born is not None and entry.born <= gone_born

    def _is_known_leaving(self, entry: TargetEntry) -> bool:
        """Whether this start of a target has announced that it is leaving."""
        leaving_born = self._leaving_starts.get(entry.name)
        return leaving_born is not None and entry.born <= leaving_born

    def _note_gone(self, entry: TargetEntry) -> None:
        _log.info("target gone", extra={"target": entry.name, "service": entry.service})
        _remember(self._gone_starts, entry.name, entry.born)
        if not self._leaving_starts.get(entry.name):
            # Without a start time, a later start cannot be told apart from this one.
            self._leaving_starts.pop(entry.name, None)
        self._on_gone(entry)

    def _merge_entry(self, entry: TargetEntry) -> TargetEntry:
        """Return a listed entry, corrected by what this box knows of the target's starts.

        A start that is known to be leaving stays leaving. An entry that names no start (`born` is
        0) counts as one of the known start.
        """
        before = self.entries.get(entry.name)
        if before is not None and 0 < entry.born < before.born:
            return before
        if before is None or entry.born > before.born:
            self._on_listed(entry)
        elif before.leaving:
            return entry._replace(leaving=True, born=before.born)
        else:
            entry = entry._replace(born=before.born)
        if self._is_known_leaving(entry):
            entry = entry._replace(leaving=True)
        if self.entries and (before is None or entry.leaving):
            state = "leaving" if entry.leaving else "ready"
            _log.info("target listed", extra={"target": entry.name, "state": state})
        return entry


def _remember(starts: dict[str, int], name: str, born: int) -> None:
    """Record a start of a target and drop the oldest record beyond the limit."""
    starts[name] = born
    if len(starts) > MAX_REMEMBERED_STARTS:
        del starts[next(iter(starts))]
