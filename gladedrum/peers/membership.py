"""Which boxes are alive, and which box owns which target.

The platform's directory of boxes and targets lags behind reality, so a box corrects it by its own
observations: a peer that did not answer is suspected until it answers a heartbeat again. Two boxes
may therefore disagree for a while on who owns a target. Each then keeps a queue for the target,
which costs efficiency but violates no guarantee.
"""

from collections.abc import Callable, Iterable

from ..config import BOX_NAME, DATA_HALL, Item, Settings
from ..platform import Box, Directory, Target
from ..scheduling.policies.rendezvous import rendezvous_score
from ..utils import elapsed_s

__all__ = ["PEER_HOST", "PEER_PORT", "Membership", "own_box"]

PEER_HOST = Item("peers", "host", "127.0.0.1", "The IP number on which other boxes reach this one.")
PEER_PORT = Item("peers", "port", 7070, "The TCP port for other boxes.", minimum=0, maximum=65_535)

_LEAVING_MARK_TTL_S = 30.0
"""How long a box that said it is leaving owns no targets, in seconds; it may restart by then."""

_MAX_UNLISTED_BOXES = 1_000
"""How many boxes that have left the list are remembered; more than a large fleet has."""


def own_box(cfg: Settings, port: int) -> Box:
    """Return this box's own entry; `port` is the port that it actually listens on."""
    return Box(cfg.get(BOX_NAME), cfg.get(PEER_HOST), port, cfg.get(DATA_HALL))


class Membership:
    """This box's view of which boxes are alive and which targets they own.

    Parameters
    ----------
    me : Box
        This box; it counts as alive until it leaves.
    elapsed : callable
        Returns the time of a monotonic clock, in seconds.

    Attributes
    ----------
    directory : Directory
        The newest list from the platform.
    directory_read : bool
        Whether a list has been read since the start.
    on_change : callable
        Called whenever owners may have changed.
    """

    def __init__(self, me: Box, elapsed: Callable[[], float] = elapsed_s):
        self.me = me
        self.directory = Directory()
        self.directory_read = False
        self.on_change: Callable[[], None] = lambda: None
        self._suspected: set[str] = set()
        self._unlisted: dict[str, Box] = {}
        self._leaving_until_s: dict[str, float] = {}
        self._elapsed = elapsed
        self._owners: dict[str, Box] = {}
        self._live_cache: tuple[dict[str, Box], dict[str, list[str]]] | None = None

    def update(self, directory: Directory) -> None:
        """Replace the directory by a newer list from the platform."""
        listed = {box.name for box in directory.boxes}
        self._suspected &= listed
        self.directory_read = True
        if directory != self.directory:
            seen = {**self._unlisted, **{box.name: box for box in self.directory.boxes}}
            unlisted = [(name, box) for name, box in seen.items() if name not in listed]
            self._unlisted = dict(unlisted[-_MAX_UNLISTED_BOXES:])
            self.directory = directory
            self._owners_changed()

    def suspect(self, box: str) -> None:
        """Mark a box as suspected, since it did not answer."""
        if box not in self._suspected and box != self.me.name:
            self._suspected.add(box)
            self._owners_changed()

    def trust(self, box: str) -> None:
        """Clear the suspicion of a box, since it has answered."""
        if box in self._suspected:
            self._suspected.discard(box)
            self._owners_changed()

    def note_leaving(self, box: str) -> None:
        """Mark a box as leaving: it accepts no new requests and owns no targets.

        The mark expires, since the box may restart under the same name. This box's own mark does
        not expire: its running requests may take minutes, and it must renew their reservations
        with the owners that the other boxes see.
        """
        is_new = box not in self._leaving_until_s
        until_s = self._elapsed() + _LEAVING_MARK_TTL_S
        self._leaving_until_s[box] = float("inf") if box == self.me.name else until_s
        if is_new:
            self._owners_changed()

    def _live_by_hall(self) -> tuple[dict[str, Box], dict[str, list[str]]]:
        """Return the live boxes by name, and their names by data hall."""
        if self._live_cache is None:
            live = {b.name: b for b in self.live_boxes()}
            by_hall: dict[str, list[str]] = {}
            for box in live.values():
                by_hall.setdefault(box.data_hall, []).append(box.name)
            self._live_cache = (live, by_hall)
        return self._live_cache

    def _expire_leaving_marks(self) -> None:
        now_s = self._elapsed()
        expired = [name for name, until_s in self._leaving_until_s.items() if until_s <= now_s]
        for name in expired:
            del self._leaving_until_s[name]
        if expired:
            self._owners_changed()

    def _owners_changed(self) -> None:
        self._owners.clear()
        self._live_cache = None
        self.on_change()

    @property
    def suspected(self) -> frozenset[str]:
        """The names of the boxes that are suspected now."""
        return frozenset(self._suspected)

    def box(self, name: str) -> Box | None:
        """Return the entry of a listed box, or None."""
        if name == self.me.name:
            return self.me
        return next((b for b in self.directory.boxes if b.name == name), None)

    def last_known_box(self, name: str) -> Box | None:
        """Return the entry of a box; for a box that has left the list, its last entry."""
        return self.box(name) or self._unlisted.get(name)

    def live_boxes(self) -> list[Box]:
        """Return the boxes that can own targets, including this one unless it is leaving."""
        others = (b for b in self.directory.boxes if b.name != self.me.name)
        everyone: Iterable[Box] = (self.me, *others)
        return [
            b
            for b in everyone
            if not b.leaving
            and b.name not in self._suspected
            and b.name not in self._leaving_until_s
        ]

    def owner_of(self, target: Target) -> Box:
        """Return the box that owns a target: a live box, if possible in the target's data hall.

        If no box is live, as when the only box is leaving, this box owns the target.
        """
        self._expire_leaving_marks()
        owner = self._owners.get(target.name)
        if owner is None:
            live, by_hall = self._live_by_hall()
            candidates = by_hall.get(target.data_hall) or live
            name = max(candidates, key=lambda n: rendezvous_score(target.name, n), default=None)
            owner = live.get(name, self.me)
            self._owners[target.name] = owner
        return owner
