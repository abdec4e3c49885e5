"""Which requests may be the reason that targets end.

A request that ends each target that begins it (a query of death) comes again under a new id, at any
box. Boxes note with which starts of targets a request was lost, and merge what they know: a loss
only ever goes from open to ended to cleared, so notes may come in any order, late, and more than
once. What a request's standing is follows from the losses alone, and so is the same on all boxes.

A target takes all its requests along, so most of what is lost with it is innocent. Of these the one
with the most losses explains an end; a request that has run to its end anywhere is cleared. Until
then suspects are kept apart from each other, from the second loss on each runs by itself, one at a
time in the fleet, and from the third on none runs before it is settled whether the targets ended.

Examples
--------
>>> book = SuspectBook()
>>> for name in ("a", "b", "c"):
...     _ = book.note_lost(b"request", [TargetStart(name, 7)], now_s=0.0)
...     _ = book.note_ended(TargetStart(name, 7), now_s=0.5)
>>> book.standing(b"request", now_s=1.0).name
'CONDEMNED'
"""

import hashlib
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ["ALIVE_AFTER_S", "ENDS_CONDEMN", "KEPT_S", "Condemned", "Loss", "Standing"]
__all__ += ["SuspectBook", "TargetStart", "Verdict"]

ENDS_CONDEMN = 3
"""A request is condemned that has ended so many targets: the users' figure."""

KEPT_S = 600.0
"""How long a loss counts, in seconds. A condemned request is then tried again: targets may have got
another version meanwhile. If it still ends them, that costs one target in ten minutes."""

OPEN_S = 10.0
"""How long it may take to settle whether a target has ended, in seconds: a lapsed entry is noticed
after 5 s."""

ALIVE_AFTER_S = 1.0
"""A report that comes so many seconds after a loss was given after it: a report may take 0.7 s, and
the word of it a few hundredths."""

MOST_SHARED = 96
"""Losses that boxes compare and tell each other whole, in eight datagrams. Of requests that were
lost once each box is told at once, and most are innocent: after a loss of 22 engines at once in a
large fleet there are some 130, and boxes would compare these for as long as they are kept."""

MOST_REQUESTS = 512
"""Requests that are remembered, of which those with the fewest ends go first: some 0.4 MB. One end
of a target brings eight running requests and a few that wait."""


class TargetStart(NamedTuple):
    """One start of a target: its name, and what tells its starts apart (see `TargetEntry`)."""

    name: str
    born: int


class Verdict(IntEnum):
    """What is known of the target of a loss; of two boxes' verdicts the higher one holds."""

    OPEN = 0
    ENDED = 1
    CLEARED = 2


class Standing(IntEnum):
    """What may be done with a request.

    CLEAR : it is not suspected. WATCHED : it is kept apart from other suspects. ALONE : it runs by
    itself, one at a time in the fleet. HELD : it waits until it is settled whether targets ended.
    CONDEMNED : it is refused.
    """

    CLEAR = 0
    WATCHED = 1
    ALONE = 2
    HELD = 3
    CONDEMNED = 4


@dataclass(slots=True)
class Loss:
    """A request that was lost with one start of a target.

    Parameters
    ----------
    digest : bytes
        Stands for the request, see `forward.identity`.
    start : TargetStart
        The target.
    at_s : float
        When it was lost, or cleared, by the monotonic clock.
    verdict : Verdict
        Whether the target has ended.
    route, organisation : str
        Whose request it was, for the operators.
    """

    digest: bytes
    start: TargetStart
    at_s: float
    verdict: Verdict = Verdict.OPEN
    route: str = ""
    organisation: str = ""


class Condemned(NamedTuple):
    """A condemned request, as operators see it.

    Parameters
    ----------
    digest : bytes
        Stands for the request.
    route, organisation : str
        Whose it is.
    starts : tuple of TargetStart
        The targets that ended under it.
    age_s, left_s : float
        Since its last loss, and until it is tried again, in seconds.
    """

    digest: bytes
    route: str
    organisation: str
    starts: tuple[TargetStart, ...]
    age_s: float
    left_s: float


class SuspectBook:
    """The losses that are known to a box.

    Attributes
    ----------
    on_condemned : callable
        Called with each `Condemned` when it becomes known.
    """

    def __init__(self) -> None:
        self.on_condemned: Callable[[Condemned], None] = lambda _condemned: None
        self._losses: dict[bytes, dict[TargetStart, Loss]] = {}
        self._lost_with: dict[TargetStart, set[bytes]] = defaultdict(set)
        self._ended_s: dict[TargetStart, float] = {}
        self._condemned: set[bytes] = set()
        self._checksum: int | None = 0
        self._watching: bool | None = False
        self._looked_s = float("-inf")

    # What happens.

    def note_lost(
        self,
        digest: bytes,
        starts: Iterable[TargetStart],
        now_s: float,
        route: str = "",
        organisation: str = "",
    ) -> list[Loss]:
        """Note that a request was lost with targets; return what is new."""
        losses = [Loss(digest, s, now_s, Verdict.OPEN, route, organisation) for s in starts]
        return [loss for loss in losses if self._merge_one(loss, now_s)]

    def note_ended(self, start: TargetStart, now_s: float) -> list[Loss]:
        """Note that a target has ended, other than as planned; return the losses it settles."""
        self._ended_s = {s: at_s for s, at_s in self._ended_s.items() if now_s - at_s < OPEN_S}
        self._ended_s[start] = now_s
        return self._settle(start, now_s, Verdict.ENDED, lambda loss: loss.verdict is Verdict.OPEN)

    def note_alive(self, start: TargetStart, now_s: float) -> list[Loss]:
        """Note that a target gives reports: it had not ended; return the losses it clears.

        A start that does not say which it is may be a later one.
        """
        if now_s - self._ended_s.get(start, now_s) >= ALIVE_AFTER_S:
            del self._ended_s[start]

        def lives_on(loss: Loss) -> bool:
            told = loss.verdict is Verdict.OPEN or (start.born and loss.verdict is Verdict.ENDED)
            return bool(told) and now_s - loss.at_s >= ALIVE_AFTER_S

        return self._settle(start, now_s, Verdict.CLEARED, lives_on)

    def note_served(self, digest: bytes, now_s: float) -> list[Loss]:
        """Note that a request has run to its end; return the losses that are cleared by it."""
        open_ = [loss for loss in self._losses.get(digest, {}).values() if _counts(loss)]
        for loss in open_:
            loss.verdict, loss.at_s = Verdict.CLEARED, now_s
        if open_:
            self._changed(open_, now_s)
        return open_

    def merge(self, losses: Iterable[Loss], now_s: float) -> None:
        """Take losses that another box knows."""
        for loss in losses:
            self._merge_one(loss, now_s)

    # What follows.

    @property
    def is_watching(self) -> bool:
        """Whether any request is suspected, so that it matters which one comes."""
        if self._watching is None:
            self._watching = any(map(_counts, self.losses()))
        return self._watching

    def standing(self, digest: bytes, now_s: float) -> Standing:
        """Return what may be done with a request."""
        self._forget(now_s)
        losses = self._blamed(digest)
        if not losses:
            return Standing.CLEAR
        ended = [loss for loss in losses if loss.verdict is Verdict.ENDED]
        if _ends(ended) >= ENDS_CONDEMN and any(self._is_singled_out(loss) for loss in ended):
            return Standing.CONDEMNED
        if _ends(losses) >= ENDS_CONDEMN and len(ended) < len(losses):
            return Standing.HELD
        return Standing.ALONE if _ends(losses) > 1 else Standing.WATCHED

    def condemned(self, now_s: float) -> list[Condemned]:
        """Return the condemned requests, the latest first."""
        rows = [
            self._row(digest, now_s)
            for digest in list(self._losses)
            if self.standing(digest, now_s) is Standing.CONDEMNED
        ]
        return sorted(rows, key=lambda row: row.age_s)

    def condemned_row(self, digest: bytes, now_s: float) -> Condemned | None:
        """Return what is known of a condemned request, None if it is not condemned."""
        if self.standing(digest, now_s) is not Standing.CONDEMNED:
            return None
        return self._row(digest, now_s)

    def losses(self) -> list[Loss]:
        """Return all that is known, the latest first."""
        rows = [loss for by_start in self._losses.values() for loss in by_start.values()]
        return sorted(rows, key=lambda loss: -loss.at_s)

    def shared(self) -> list[Loss]:
        """Return what boxes compare: the losses of requests that were lost with several targets.

        Those with the most losses come first, in an order that depends on the losses alone.
        """
        lost = [rows for rows in self._losses.values() if len(rows) > 1]
        lost.sort(key=lambda rows: (-len(rows), next(iter(rows.values())).digest))
        rows = [rows[start] for rows in lost for start in sorted(rows)]
        return rows[:MOST_SHARED]

    @property
    def checksum(self) -> int:
        """What stands for `shared`; equal on boxes that know the same, 0 if there is nothing."""
        if self._checksum is None:
            rows = [(loss.digest, *loss.start, int(loss.verdict)) for loss in self.shared()]
            digest = hashlib.sha256(repr(rows).encode()).digest()
            self._checksum = int.from_bytes(digest[:8], signed=True) if rows else 0
        return self._checksum

    # How.

    def _merge_one(self, loss: Loss, now_s: float) -> bool:
        """Take a loss; return whether it says more than was known."""
        if now_s - loss.at_s >= _kept_s(loss):
            return False
        known = self._losses.setdefault(loss.digest, {}).get(loss.start)
        if known is not None and known.verdict >= loss.verdict:
            return False
        if now_s - self._ended_s.get(loss.start, float("-inf")) < OPEN_S:
            loss.verdict = max(loss.verdict, Verdict.ENDED)
        self._losses[loss.digest][loss.start] = loss
        self._lost_with[loss.start].add(loss.digest)
        self._changed([loss], now_s)
        if len(self._losses) > MOST_REQUESTS:
            self._evict()
        return True

    def _settle(
        self, start: TargetStart, now_s: float, verdict: Verdict, applies: Callable[[Loss], bool]
    ) -> list[Loss]:
        lost = [self._losses[digest][start] for digest in self._lost_with.get(start, ())]
        settled = [loss for loss in lost if applies(loss)]
        for loss in settled:
            loss.verdict = verdict
            if verdict is Verdict.CLEARED:
                loss.at_s = now_s
        if settled:
            self._changed(settled, now_s)
        return settled

    def _blamed(self, digest: bytes) -> list[Loss]:
        """Return the losses of a request that no other one explains better."""
        losses = [loss for loss in self._losses.get(digest, {}).values() if _counts(loss)]
        return [loss for loss in losses if self._most_beside(loss) <= len(losses)]

    def _is_singled_out(self, loss: Loss) -> bool:
        """Whether no other request is as likely to have ended the target."""
        return self._most_beside(loss) < self._weight(loss.digest)

    def _most_beside(self, loss: Loss) -> int:
        """Return the most losses that another request has which was lost with the same target."""
        others = self._lost_with[loss.start] - {loss.digest}
        alike = [o for o in others if _counts(self._losses[o][loss.start])]
        return max(map(self._weight, alike), default=0)

    def _weight(self, digest: bytes) -> int:
        return sum(map(_counts, self._losses[digest].values()))

    def _changed(self, losses: Iterable[Loss], now_s: float) -> None:
        """Note a change; whoever was lost with the same targets may stand differently now."""
        self._checksum = self._watching = None
        touched = {digest for loss in losses for digest in self._lost_with[loss.start]}
        for digest in touched:
            if self.standing(digest, now_s) is not Standing.CONDEMNED:
                self._condemned.discard(digest)
            elif digest not in self._condemned:
                self._condemned.add(digest)
                self.on_condemned(self._row(digest, now_s))

    def _row(self, digest: bytes, now_s: float) -> Condemned:
        losses = self._blamed(digest)
        ages_s = sorted(now_s - loss.at_s for loss in losses)
        starts = tuple(sorted(loss.start for loss in losses))
        left_s = max(0.0, KEPT_S - ages_s[ENDS_CONDEMN - 1])
        first = losses[0]
        return Condemned(digest, first.route, first.organisation, starts, ages_s[0], left_s)

    def _forget(self, now_s: float) -> None:
        """Drop what counts no more; looked for once a second."""
        if now_s - self._looked_s < 1.0:
            return
        self._looked_s = now_s
        old = [loss for loss in self.losses() if now_s - loss.at_s >= _kept_s(loss)]
        for loss in old:
            self._drop(loss)

    def _evict(self) -> None:
        """Drop the request of which least is known."""
        worst = min(self._losses, key=lambda d: (self._weight(d), self._last_s(d)))
        for loss in list(self._losses[worst].values()):
            self._drop(loss)

    def _last_s(self, digest: bytes) -> float:
        return max(loss.at_s for loss in self._losses[digest].values())

    def _drop(self, loss: Loss) -> None:
        self._checksum = self._watching = None
        del self._losses[loss.digest][loss.start]
        if not self._losses[loss.digest]:
            del self._losses[loss.digest]
            self._condemned.discard(loss.digest)
        self._lost_with[loss.start].discard(loss.digest)
        if not self._lost_with[loss.start]:
            del self._lost_with[loss.start]


def _counts(loss: Loss) -> bool:
    return loss.verdict is not Verdict.CLEARED


def _kept_s(loss: Loss) -> float:
    return OPEN_S if loss.verdict is Verdict.OPEN else KEPT_S


def _ends(losses: Iterable[Loss]) -> int:
    """Return how many targets ended; starts that can't be told apart count once."""
    borns: dict[str, set[int]] = defaultdict(set)
    for loss in losses:
        borns[loss.start.name].add(loss.start.born)
    return sum(max(1, len(known - {0})) for known in borns.values())
