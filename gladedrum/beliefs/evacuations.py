"""The data halls that the operator has evacuated: their targets must get no new requests.

The store holds the order (a key for each evacuated data hall) and a box holds a copy: the set of
evacuated data halls as of a revision of the store. The copy comes from the box's own calls, which
also read the configuration, or from other boxes. A later revision replaces it as a whole.

A restored store may lack a key until the operator has written it again. After a restore, keys that
are missing therefore end an evacuation only if a call shows them as missing that was sent
`RESTORE_DISTRUST_S` after this box learned of the restore. The same holds after a start, since the
store may have been restored right before it.
"""

import logging
from collections.abc import Callable, Iterable
from typing import TypedDict

from twisted.internet.interfaces import IReactorTime

from ..gossip.wire.ttypes import EvacuationsNote
from ..platform.store import NEVER, Revision
from .configuration import FOLLOW_CHECK_INTERVAL_S, RESTORE_DISTRUST_S, WATCH_S

__all__ = ["Evacuations", "ShownEvacuations"]

PEER_COPY_DELAY_S = WATCH_S + FOLLOW_CHECK_INTERVAL_S
"""How much longer than this box's own calls peers' copies end no evacuation after a restore, in
seconds: a copy does not tell when its call was sent, which is up to a watch and an interval between
questions ago."""

_log = logging.getLogger(__name__)


class ShownEvacuations(TypedDict):
    """The evacuated data halls, as shown to operators.

    `halls` is None and the other values are meaningless before the first copy. `told_by` names the
    box that has sent the copy, empty if this box has read it from the store; `changed_age_s` is the
    time since `halls` changed, None if it never has.
    """

    halls: list[str] | None
    era: int
    revision: int
    told_by: str
    age_s: float | None
    changed_age_s: float | None
    unknown_halls: list[str]


class Evacuations:
    """This box's copy of the evacuated data halls.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.

    Attributes
    ----------
    halls : frozenset of str
        The evacuated data halls; the same object until they change.
    on_changed : list of callable
        Called without arguments after `halls` has changed.
    broadcast : callable
        Sends an `EvacuationsNote` to all boxes; called for changes that this box read from the
        store.
    """

    def __init__(self, clock: IReactorTime):
        self._clock = clock
        self._revision = NEVER
        self._told_by = ""
        self._sent_s: float | None = None
        self._changed_s: float | None = None
        self._distrusted_until_s = clock.seconds() + RESTORE_DISTRUST_S
        self._malformed_logged = False
        self._unknown_halls: frozenset[str] = frozenset()
        self.halls: frozenset[str] = frozenset()
        self.on_changed: list[Callable[[], None]] = []
        self.broadcast: Callable[[EvacuationsNote], None] = lambda _note: None

    def includes(self, data_hall: str) -> bool:
        """Whether a data hall is evacuated."""
        return data_hall in self.halls

    @property
    def is_known(self) -> bool:
        """Whether this box has a copy."""
        return self._revision != NEVER

    def note_read(self, halls: Iterable[str], revision: Revision, sent_s: float) -> None:
        """Apply the result of this box's own call to the store, which was sent at `sent_s`."""
        if revision < self._revision:
            return
        self._note_era(revision)
        self._sent_s = sent_s
        may_end = sent_s >= self._distrusted_until_s
        if self._replace(frozenset(halls), revision, may_end, ""):
            self.broadcast(self.note())

    def receive(self, note: EvacuationsNote | None, told_by: str = "") -> None:
        """Apply a peer's copy if it is of a later revision; `told_by` is the peer's name."""
        if note is None:
            return
        if note.halls is None or note.era is None or note.revision is None:
            self._log_malformed(told_by)
            return
        revision = Revision(note.era, note.revision)
        if revision <= self._revision:
            return
        self._note_era(revision)
        self._sent_s = None
        may_end = self._clock.seconds() >= self._distrusted_until_s + PEER_COPY_DELAY_S
        self._replace(frozenset(note.halls), revision, may_end, told_by)

    def note(self) -> EvacuationsNote | None:
        """Return the copy for other boxes, None before the first."""
        if not self.is_known:
            return None
        return EvacuationsNote(sorted(self.halls), self._revision.era, self._revision.number)

    def note_store_restored(self) -> None:
        """End no evacuation for a while, since the restored store may lack keys."""
        self._distrusted_until_s = self._clock.seconds() + RESTORE_DISTRUST_S

    def note_known_halls(self, known: Iterable[str]) -> None:
        """Warn once of each evacuated data hall that is not among those with targets."""
        unknown = self.halls - frozenset(known)
        for hall in sorted(unknown - self._unknown_halls):
            _log.warning("evacuated data hall has no target", extra={"data_hall": hall})
        self._unknown_halls = unknown

    def shown(self) -> ShownEvacuations:
        """Return the copy for operators."""
        now_s = self._clock.seconds()
        return ShownEvacuations(
            halls=sorted(self.halls) if self.is_known else None,
            era=self._revision.era,
            revision=self._revision.number,
            told_by=self._told_by,
            age_s=None if self._sent_s is None else round(now_s - self._sent_s, 3),
            changed_age_s=None if self._changed_s is None else round(now_s - self._changed_s, 1),
            unknown_halls=sorted(self._unknown_halls),
        )

    def _note_era(self, revision: Revision) -> None:
        """Note a restore that shows in a copy of a later era, also one that a peer has sent."""
        if self.is_known and revision.era > self._revision.era:
            self.note_store_restored()

    def _replace(
        self, listed: frozenset[str], revision: Revision, may_end: bool, told_by: str
    ) -> bool:
        """Replace the copy; return whether `halls` has changed.

        Halls that are no longer listed stay evacuated unless `may_end`.
        """
        before = self.halls
        self._revision, self._told_by = revision, told_by
        halls = listed if may_end else listed | before
        if halls == before:
            return False
        self.halls, self._changed_s = halls, self._clock.seconds()
        self._log_change(before, listed)
        for callback in self.on_changed:
            callback()
        return True

    def _log_change(self, before: frozenset[str], listed: frozenset[str]) -> None:
        sent_s = self._sent_s
        extra = {
            "evacuated": sorted(self.halls - before),
            "ended": sorted(before - self.halls),
            "kept_after_restore": sorted(self.halls - listed),
            "all": sorted(self.halls),
            "era": self._revision.era,
            "revision": self._revision.number,
            "told_by": self._told_by,
            "call_age_s": None if sent_s is None else round(self._clock.seconds() - sent_s, 3),
        }
        _log.info("evacuated data halls changed", extra=extra)

    def _log_malformed(self, told_by: str) -> None:
        if not self._malformed_logged:
            self._malformed_logged = True
            _log.warning("a peer's evacuations are incomplete", extra={"told_by": told_by})
