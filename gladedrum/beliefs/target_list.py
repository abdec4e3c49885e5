"""What a box believes of the list of targets, and since when.

As for the configuration, the belief's age counts from the *sending* of the call that vouches for
it. A target that was seen to leave, or to be gone, stays so for this box, until it is heard to have
started again under its name; an entry of an earlier start changes nothing. Targets say themselves
that they leave, too: the store may be silent then, or have an older entry.
"""

import hashlib
import logging
from collections.abc import Callable, Mapping

from twisted.internet.interfaces import IReactorTime

from ..errors import KVUnavailableError
from ..fleet import TargetEntry
from ..platform.feeds import TargetFeed
from ..utils import sleep
from .store_pace import StorePace

__all__ = ["TargetKeeper"]

READ_SHARE = 0.4
"""Pause between two reads of the list, as a share of the time after which a leaving target must
get nothing: two reads fit in."""

FOLLOW_SHARE = 0.75
"""The oldest list that a box takes from its peers before it reads for itself, as a share of the
same time: what a peer has read, and two questions to peers, fit in."""

RETURN_S = 2.2
"""How long entries missing after an outage of the store may take to come back, in seconds: the
users say about two."""

OUTAGE_S = 1.2
"""A list that could not be read for so long, in seconds beyond the usual pause, was cut off by an
outage, in which entries may have lapsed."""

GONE_HELD_S = 6.0
"""How long a store that came back from a copy brings back no target that was gone, in seconds: its
entry there lapses after three heartbeats of 1.2 to 1.5 s; one that lives is listed after that."""

NAMES_LOGGED = 8
"""Names of leaving targets in the line about a box's first list."""

REMEMBERED_GONE = 4096
"""How many targets that are gone, and how many that leave, are remembered, so that no older entry
brings them back."""

_log = logging.getLogger(__name__)


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
    pace : StorePace
        How often the store is called.
    on_listed : callable
        Called with each entry that is new, or of a later start of its target.

    Attributes
    ----------
    entries : dict of str to TargetEntry
        The list, by the targets' names.
    is_certain : bool
        False while it holds entries that the store does not list and that may come back.
    """

    def __init__(
        self,
        clock: IReactorTime,
        feed: TargetFeed,
        leave_bound_s: float,
        on_gone: Callable[[TargetEntry], None],
        pace: StorePace,
        on_listed: Callable[[TargetEntry], None] = lambda _entry: None,
    ):
        self._clock = clock
        self._feed = feed
        self._leave_bound_s = leave_bound_s
        self._on_gone = on_gone
        self._pace = pace
        self._on_listed = on_listed
        self._read_s = float("-inf")
        self._taken_s = float("-inf")
        self._outage_until_s = float("-inf")
        self._gone_held_until_s = float("-inf")
        self._connected = True
        self._gone: dict[str, int] = {}
        self._left: dict[str, int] = {}
        self._digest = ""
        self._digest_of: Mapping[str, TargetEntry] | None = None
        self.entries: dict[str, TargetEntry] = {}
        self.is_certain = True

    @property
    def age_s(self) -> float:
        """Seconds since the call was sent that last vouched for the list."""
        return self._clock.seconds() - self._read_s

    @property
    def digest(self) -> str:
        """What stands for the list as it is now; equal on boxes that know the same."""
        if self._digest_of is not self.entries:
            rows = repr(sorted(self.entries.values())).encode()
            self._digest = hashlib.blake2b(rows, digest_size=12).hexdigest()
            self._digest_of = self.entries
        return self._digest

    def usable(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that may get new requests."""
        return [e for e in self.entries.values() if e.service == service and not e.leaving]

    def may_get_work(self, name: str) -> bool:
        """Whether a target is listed and not leaving."""
        entry = self.entries.get(name)
        return entry is not None and not entry.leaving

    def note_leaving(self, name: str, born: int) -> bool:
        """Note that a start of a target has said that it leaves; return whether that is new here.

        It holds whatever the list says, for as long as this start lives: also if its entry has
        lapsed, or has not been read yet.
        """
        entry = self.entries.get(name)
        if entry is None:
            _remember(self._left, name, max(born, self._left.get(name, 0)))
            return False
        if entry.leaving or 0 < born < entry.born:
            return False
        _remember(self._left, name, max(born, entry.born))
        self.entries = {**self.entries, name: entry._replace(leaving=True)}
        return True

    def note_start(self, name: str, born: int) -> None:
        """Note a later start of a target than the list shows: what the earlier one said is over."""
        entry = self.entries.get(name)
        if entry is not None and entry.born < born:
            leaving = self._left.get(name, 0) >= born
            self.entries = {**self.entries, name: entry._replace(born=born, leaving=leaving)}

    def set_leave_bound(self, leave_bound_s: float) -> None:
        """Take over a changed bound; the next read keeps to it."""
        self._leave_bound_s = leave_bound_s

    def note_era(self) -> None:
        """Note that the store has come back from a copy.

        What it lacks may be written again, as after an outage; what it has may be gone for long.
        """
        if self.entries:
            self._note_outage()
        self._gone_held_until_s = self._clock.seconds() + GONE_HELD_S

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
                await sleep(self._clock, self._pace.list_retry_pause_s())
                continue
            self._take(listed, sent_s)

    def take_peer_vouch(self, digest: str, sent_s: float, age_s: float) -> None:
        """Take what a peer answered to a question sent at `sent_s`; as for the configuration."""
        if digest == self.digest:
            self._note_vouched(sent_s - age_s)

    def take_peer_list(self, listed: Mapping[str, TargetEntry], read_s: float) -> None:
        """Take the whole list of a peer, which was vouched for at `read_s`.

        A target that has gone here is not brought back: the peer may still keep its entry after an
        outage. Only a read of the store brings it back, so a list with such a target is not
        vouched for here: the box reads the store when its own one is old. Who leaves is taken from
        a list of any age: it stays true.
        """
        for entry in listed.values():
            if entry.leaving:
                self.note_leaving(entry.name, entry.born)
        known_s = max(self._read_s, self._taken_s)
        if read_s <= known_s:
            return
        # Peers' lists that follow each other show that the store answers, if not this box.
        if not self._connected and read_s - known_s > self._pause_s + OUTAGE_S:
            self._note_outage()
        # Also where the list does not vouch: an older one would end what only this one has.
        self._taken_s = read_s
        news = {name: entry for name, entry in listed.items() if not self._has_gone(entry)}
        for name in news:
            self._gone.pop(name, None)
        if len(news) == len(listed):
            self._note_vouched(read_s)
        self._replace(news)

    @property
    def _pause_s(self) -> float:
        """How old the list may grow before this box reads it."""
        share = FOLLOW_SHARE if self._pace.follows_list() else READ_SHARE
        return share * self._leave_bound_s

    def _note_vouched(self, read_s: float) -> None:
        self._read_s = max(self._read_s, read_s)
        if not self._connected and self.age_s < self._pause_s:
            _log.info("list of targets vouched for again", extra={"age_s": round(self.age_s, 3)})
            self._connected = True

    def _take(self, listed: dict[str, TargetEntry], sent_s: float) -> None:
        late = sent_s - self._read_s > self._pause_s + OUTAGE_S
        if self.entries and (late or not self._connected):
            self._note_outage()
            _log.info("list of targets read again", extra={"targets": len(listed)})
        self._connected = True
        self._read_s = max(self._read_s, sent_s)
        if self._clock.seconds() < self._gone_held_until_s:
            listed = {n: entry for n, entry in listed.items() if not self._has_gone(entry)}
        for name in listed:
            self._gone.pop(name, None)
        self._replace(listed)

    def _note_outage(self) -> None:
        """Note that an outage has just ended: entries may have lapsed in it."""
        self._outage_until_s = self._clock.seconds() + RETURN_S

    def _replace(self, listed: Mapping[str, TargetEntry]) -> None:
        """Put another list in force; after an outage, what it lacks may yet come back.

        That holds for peers' lists too: a peer that started in the outage knows the rest only.
        """
        missing = self.entries.keys() - listed.keys()
        kept = missing if self._clock.seconds() < self._outage_until_s else set()
        self.is_certain = not kept
        for name in sorted(self.entries.keys() - listed.keys() - kept):
            self._note_gone(self.entries[name])
        if not self.entries:
            # Not a line for each: a fleet that starts would write a line for each box and target.
            leaving = sorted(entry.name for entry in listed.values() if entry.leaving)
            extra = {"targets": len(listed), "leaving": leaving[:NAMES_LOGGED]}
            _log.info("targets listed", extra=extra)
        news = {name: self._note_listed(entry) for name, entry in listed.items()}
        entries = {**{name: self.entries[name] for name in kept}, **news}
        if entries != self.entries:
            self.entries = entries

    def _has_gone(self, entry: TargetEntry) -> bool:
        """Whether this start of a target was seen to be gone."""
        gone_born = self._gone.get(entry.name)
        return gone_born is not None and entry.born <= gone_born

    def _has_left(self, entry: TargetEntry) -> bool:
        """Whether this start of a target has said that it leaves; its entry may be older."""
        left_born = self._left.get(entry.name)
        return left_born is not None and entry.born <= left_born

    def _note_gone(self, entry: TargetEntry) -> None:
        _log.info("target gone", extra={"target": entry.name, "service": entry.service})
        _remember(self._gone, entry.name, entry.born)
        if not self._left.get(entry.name):
            # Without its start a later one can't be told from it.
            self._left.pop(entry.name, None)
        self._on_gone(entry)

    def _note_listed(self, entry: TargetEntry) -> TargetEntry:
        """Return the entry as it counts here: what has been seen to leave goes on leaving."""
        before = self.entries.get(entry.name)
        if before is not None and 0 < entry.born < before.born:
            return before
        if before is None or entry.born > before.born:
            self._on_listed(entry)
        elif before.leaving:
            return entry._replace(leaving=True, born=before.born)
        else:
            entry = entry._replace(born=before.born)
        if self._has_left(entry):
            entry = entry._replace(leaving=True)
        if self.entries and (before is None or entry.leaving):
            state = "leaving" if entry.leaving else "ready"
            _log.info("target listed", extra={"target": entry.name, "state": state})
        return entry


def _remember(starts: dict[str, int], name: str, born: int) -> None:
    """Remember a start of a target, the newest ones of all."""
    starts[name] = born
    if len(starts) > REMEMBERED_GONE:
        del starts[next(iter(starts))]
