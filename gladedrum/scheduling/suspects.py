"""Detection of requests, and of parts of prompts, that crash targets (queries of death).

A request that crashes every target that starts it returns under a new id, on any box. A *loss* is
the record that a request was in progress on a target when the box lost the target. A target has
*ended* if its process stopped unplanned. The *verdict* on a loss is open until it is known whether
the target ended; a loss is cleared if the target turns out to be alive or the request completes
anywhere. Boxes exchange their losses. A verdict only moves forward, from open to ended to cleared,
so losses can be merged in any order, late and repeatedly. A request's *standing* depends on the
losses alone and is therefore the same on all boxes that have the same losses.

A part of a prompt that many requests share may be the cause as well. Its losses are kept in the
same way, under a digest of its own; the rules by which a part is tested and condemned are in
`part_tests`.

When a target ends, all its requests are lost, most of them innocent. An end is attributed to the
request with the most losses that are not cleared. Suspects are kept apart from each other. From the
second loss on a suspect runs by itself, one at a time in the fleet. From the third on it waits
until it is settled whether the targets ended, and is refused (condemned) if they did.

Examples
--------
>>> tracker = SuspectTracker()
>>> for name in ("a", "b", "c"):
...     _ = tracker.note_lost(b"request", [TargetStart(name, 7)], now_s=0.0)
...     _ = tracker.note_ended(TargetStart(name, 7), now_s=0.5)
>>> tracker.standing(b"request", now_s=1.0).name
'CONDEMNED'
"""

import hashlib
import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from .part_tests import (
    ENDS_TO_TEST,
    PART_LOSS_RETENTION_S,
    PartLoss,
    is_proved,
    patience_s,
    standing_of_part,
)
from .standing import ENDS_TO_CONDEMN, LOSS_RETENTION_S, Standing, TargetStart, count_starts

__all__ = ["ALIVE_AFTER_S", "ENDS_TO_CONDEMN", "LOSS_RETENTION_S", "Condemned", "Loss", "Standing"]
__all__ += ["LossVerdict", "PartCause", "SuspectTracker", "TargetStart"]

SETTLE_TIMEOUT_S = 10.0
"""How long an open loss counts, in seconds. It exceeds the time after which the expired store
entry of an ended target is noticed. That takes up to 5 s."""

ALIVE_AFTER_S = 1.0
"""A report that arrives at least this long after a loss, in seconds, shows that the target outlived
the loss: the time covers the age of the report and the delivery of the loss. Reading a report may
take 0.7 s, and the delivery some hundredths of a second."""

LOST_TOGETHER_S = 2.0
"""How long requests that were lost with the same target are sent again one at a time, in seconds;
several of them may have the same deadly part."""

MAX_SHARED_LOSSES = 96
"""Maximum number of losses that boxes compare and send each other in full; they fit into eight
datagrams. Requests lost only once are not compared, as most of them are innocent. After a loss of
22 engines at once there are some 130 of these, and boxes would compare them for as long as they are
kept."""

MAX_REQUESTS = 512
"""Maximum number of requests kept; those with the fewest losses are evicted first. They take some
0.4 MB. One end of a target adds eight running requests and a few that wait."""

MAX_PARTS = 1024
"""Maximum number of parts of prompts kept; those with the fewest losses are evicted first. One end
of a target adds the parts of eight running requests, most of which they share."""


class LossVerdict(IntEnum):
    """Whether the target of a loss has ended; when boxes disagree, the higher `rank` wins.

    OPEN : It is not known yet.
    ENDED : The target's process stopped unplanned.
    CLEARED : The target is alive, or the request has completed.
    LISTENS : Something accepts connections at the target's address, maybe a relay. Counts as
        cleared unless the target's entry goes while the loss would be open.
    """

    OPEN = 0
    ENDED = 1
    CLEARED = 2
    LISTENS = 3

    @property
    def rank(self) -> int:
        """How strong the evidence for the verdict is; the values are those of notes to peers."""
        ranked = LossVerdict.OPEN, LossVerdict.LISTENS, LossVerdict.ENDED, LossVerdict.CLEARED
        return ranked.index(self)


PARTS_EVICTED = 64
"""Number of parts that are evicted at once, since to compare all of them takes milliseconds."""


class PartCause(NamedTuple):
    """A part of a prompt as a possible cause: its digest, and its name for operators."""

    digest: bytes
    name: str


@dataclass(slots=True)
class Loss:
    """A request, or a part of its prompt, that was lost with one start of a target.

    Not a loss of worth, as in placement.

    Parameters
    ----------
    digest : bytes
        Identifies the request or the part, see `forward.identity`.
    start : TargetStart
        The start of the target.
    at_s : float
        Time of the loss, or of its clearing, by the monotonic clock.
    verdict : LossVerdict
        Whether the target has ended.
    route, organisation : str
        Origin of the request, for operators.
    part : str
        Name of the part; empty if the loss is that of a whole request.
    isolated : bool
        Whether the request ran alone on the target, as a test of the part.
    request : bytes
        Digest of the request that bore the part; empty for a whole request.
    """

    digest: bytes
    start: TargetStart
    at_s: float
    verdict: LossVerdict = LossVerdict.OPEN
    route: str = ""
    organisation: str = ""
    part: str = ""
    isolated: bool = False
    request: bytes = b""


class Condemned(NamedTuple):
    """A condemned request or part of prompts, as shown to operators.

    Parameters
    ----------
    digest : bytes
        Identifies the request or the part.
    route, organisation : str
        Origin of the request.
    starts : tuple of TargetStart
        The starts of targets with which it was lost, and whose loss is attributed to it.
    age_s, left_s : float
        Seconds since its last loss, and until it is tried again.
    part : str
        Name of the part; empty if a whole request is condemned.
    tests : tuple of TargetStart
        Those of `starts` that ended under a request that ran alone.
    beside : tuple of str
        Names of the parts with which the part has always been tested. If there are any, only
        requests with all of them are refused, as any of them may be the cause.
    """

    digest: bytes
    route: str
    organisation: str
    starts: tuple[TargetStart, ...]
    age_s: float
    left_s: float
    part: str = ""
    tests: tuple[TargetStart, ...] = ()
    beside: tuple[str, ...] = ()


class SuspectTracker:
    """The losses known to a box, and the standing of requests that follows from them.

    Attributes
    ----------
    on_condemned : callable
        Called with a `Condemned` when a request or a part becomes condemned.
    watched_until_s : float
        Until when a coordinator wants to know the parts of prompts, as it suspects some of them.
    """

    def __init__(self) -> None:
        self.on_condemned: Callable[[Condemned], None] = lambda _condemned: None
        self.watched_until_s = float("-inf")
        self._losses: dict[bytes, dict[TargetStart, Loss]] = {}
        self._lost_with: dict[TargetStart, set[bytes]] = defaultdict(set)
        self._ended_s: dict[TargetStart, float] = {}
        self._condemned: set[bytes] = set()
        self._part_names: dict[bytes, str] = {}
        self._suspected_parts: int | None = 0
        self._proved: frozenset[bytes] | None = frozenset()
        self._checksum: int | None = 0
        self._watching: bool | None = False
        self._last_expiry_s = float("-inf")

    # Events.

    def note_lost(
        self,
        digest: bytes,
        starts: Iterable[TargetStart],
        now_s: float,
        route: str = "",
        organisation: str = "",
        parts: Sequence[PartCause] = (),
        isolated: bool = False,
    ) -> list[Loss]:
        """Record that a request was lost with targets; return the new losses.

        `parts` are those parts of its prompt that other requests may share, `isolated` tells
        whether it ran alone.
        """
        origin = (now_s, LossVerdict.OPEN, route, organisation)
        losses = [Loss(digest, target, *origin) for target in starts]
        losses += [
            Loss(part.digest, loss.start, *origin, part.name, isolated, digest)
            for loss, part in itertools.product(losses, parts)
        ]
        return [loss for loss in losses if self._merge_loss(loss, now_s)]

    def note_ended(self, start: TargetStart, now_s: float) -> list[Loss]:
        """Record the unplanned end of a target; return the losses that it settles."""
        self._ended_s = {
            s: at_s for s, at_s in self._ended_s.items() if now_s - at_s < SETTLE_TIMEOUT_S
        }
        self._ended_s[start] = now_s
        return self._settle(
            start, now_s, LossVerdict.ENDED, lambda loss: loss.verdict in _UNSETTLED
        )

    def note_listens(self, start: TargetStart, now_s: float) -> list[Loss]:
        """Record that something listens at a target's address; return the losses that it clears."""
        return self._settle(
            start,
            now_s,
            LossVerdict.LISTENS,
            lambda x: x.verdict is LossVerdict.OPEN and now_s - x.at_s >= ALIVE_AFTER_S,
        )

    def note_alive(self, start: TargetStart, now_s: float) -> list[Loss]:
        """Record a report of a target; return the losses that it clears.

        If `start.born` is 0, the report may come from a later start and clears open losses only.
        """
        if now_s - self._ended_s.get(start, now_s) >= ALIVE_AFTER_S:
            del self._ended_s[start]

        def is_refuted(loss: Loss) -> bool:
            refutable = loss.verdict in _UNSETTLED or (
                start.born and loss.verdict is LossVerdict.ENDED
            )
            return bool(refutable) and now_s - loss.at_s >= ALIVE_AFTER_S

        return self._settle(start, now_s, LossVerdict.CLEARED, is_refuted)

    def note_served(self, digest: bytes, now_s: float) -> list[Loss]:
        """Record that a request completed; return the losses that this clears."""
        losses = self._losses.get(digest, {}).values()
        uncleared = [loss for loss in losses if loss.verdict is not LossVerdict.CLEARED]
        for loss in uncleared:
            loss.verdict, loss.at_s = LossVerdict.CLEARED, now_s
        if uncleared:
            self._note_change(uncleared, now_s)
        return uncleared

    def note_part_served(self, digest: bytes, began_s: float, now_s: float) -> list[Loss]:
        """Record that a request with a part ran to its end; return the losses that this clears.

        Only losses before `began_s`, the start of the run: the part may have been harmless until
        then, for example with an earlier version of the targets.
        """
        uncleared = [
            loss
            for loss in self._losses.get(digest, {}).values()
            if loss.verdict is not LossVerdict.CLEARED and loss.at_s < began_s
        ]
        for loss in uncleared:
            loss.verdict, loss.at_s = LossVerdict.CLEARED, now_s
        if uncleared:
            self._note_change(uncleared, now_s)
        return uncleared

    def merge(self, losses: Iterable[Loss], now_s: float) -> None:
        """Merge losses received from another box."""
        for loss in losses:
            self._merge_loss(loss, now_s)

    # Results.

    @property
    def is_watching(self) -> bool:
        """Whether any request is suspected; if not, requests need not be identified."""
        if self._watching is None:
            self._watching = any(map(_is_uncleared, self.losses()))
        return self._watching

    @property
    def suspected_part_count(self) -> int:
        """How many parts have ended enough targets to be tested or condemned."""
        if self._suspected_parts is None:
            self._suspected_parts = sum(map(self._is_suspected_part, self._part_names))
        return self._suspected_parts

    @property
    def suspects_parts(self) -> bool:
        """Whether any part is tested or condemned."""
        return self.suspected_part_count > 0

    def standing(self, digest: bytes, now_s: float) -> Standing:
        """Return the standing of a request, or of a part by itself."""
        self._drop_expired(now_s)
        if digest in self._part_names:
            return self.standing_of_part(digest, (digest,), now_s)
        losses = self._attributed_losses(digest)
        if not losses:
            return Standing.CLEAR
        ended = [loss for loss in losses if loss.verdict is LossVerdict.ENDED]
        if _count_starts(ended) >= ENDS_TO_CONDEMN and any(
            self._is_sole_cause(loss) for loss in ended
        ):
            return Standing.CONDEMNED
        if _count_starts(losses) >= ENDS_TO_CONDEMN and len(ended) < len(losses):
            return Standing.HELD
        return Standing.ALONE if _count_starts(losses) > 1 else Standing.WATCHED

    def standing_of_part(self, digest: bytes, parts: Collection[bytes], now_s: float) -> Standing:
        """Return the standing of a part in a request that bears all of `parts`.

        The standing may depend on the other parts: if two parts were always lost together, only a
        request with both of them is known to end targets.
        """
        self._drop_expired(now_s)
        return standing_of_part(
            [self._part_loss(loss, parts, now_s) for loss in self._uncleared(digest)]
        )

    def may_test_part(self, digest: bytes, parts: Collection[bytes], now_s: float) -> bool:
        """Return whether a request with `parts` has waited long enough to test one of them.

        See `part_tests.patience_s`.
        """
        other_ends = max((self._part_ends(part) for part in parts if part != digest), default=0)
        return now_s - self._last_loss_s(digest) >= patience_s(other_ends)

    def suspected_parts(self, parts: Sequence[bytes], now_s: float) -> list[bytes]:
        """Return those of a request's parts that may only be run alone, or not at all."""
        known = [part for part in parts if part in self._part_names]
        return [p for p in known if self.standing_of_part(p, parts, now_s) > Standing.CLEAR]

    def lost_together(self, digest: bytes, now_s: float) -> set[bytes]:
        """Return the other requests that were lost with the same targets as a request lately."""
        lost = [x for x in self._uncleared(digest) if now_s - x.at_s < LOST_TOGETHER_S]
        others = set().union(*(self._lost_with[loss.start] for loss in lost))
        return others - {digest} - self._part_names.keys()

    def part_name(self, digest: bytes) -> str:
        """Return the name of a part, empty if it is not known."""
        return self._part_names.get(digest, "")

    def left_s(self, digest: bytes, now_s: float) -> float:
        """Return the seconds until a part that ended targets may be tried again."""
        ended_s = [
            loss.at_s for loss in self._uncleared(digest) if loss.verdict is LossVerdict.ENDED
        ]
        return max(0.0, max(ended_s, default=now_s) + LOSS_RETENTION_S - now_s)

    def condemned(self, now_s: float) -> list[Condemned]:
        """Return the condemned requests and parts, latest first."""
        rows = [
            self._condemned_details(digest, now_s)
            for digest in list(self._losses)
            if self._is_refused(digest, now_s)
        ]
        return sorted(rows, key=lambda row: row.age_s)

    def condemned_row(self, digest: bytes, now_s: float) -> Condemned | None:
        """Return the details of a condemned request; None if it is not condemned."""
        if not self._is_refused(digest, now_s):
            return None
        return self._condemned_details(digest, now_s)

    def losses(self) -> list[Loss]:
        """Return all losses, latest first."""
        rows = [loss for by_start in self._losses.values() for loss in by_start.values()]
        return sorted(rows, key=lambda loss: -loss.at_s)

    def shared(self) -> list[Loss]:
        """Return the losses that boxes compare: those of requests lost with several targets.

        Requests with the most losses that are not cleared come first, in an order that depends on
        the losses alone.
        """
        lost = [rows for rows in self._losses.values() if len(rows) > 1]
        lost.sort(
            key=lambda rows: (
                -sum(map(_is_uncleared, rows.values())),
                -len(rows),
                next(iter(rows.values())).digest,
            )
        )
        rows = [rows[start] for rows in lost for start in sorted(rows)]
        return rows[:MAX_SHARED_LOSSES]

    @property
    def checksum(self) -> int:
        """Checksum of `shared`, equal on boxes with the same losses; 0 if there are none."""
        if self._checksum is None:
            rows = [
                (loss.digest, *loss.start, int(loss.verdict), loss.isolated)
                for loss in self.shared()
            ]
            digest = hashlib.sha256(repr(rows).encode()).digest()
            self._checksum = int.from_bytes(digest[:8], signed=True) if rows else 0
        return self._checksum

    # Internals.

    def _merge_loss(self, loss: Loss, now_s: float) -> bool:
        """Merge a loss; return whether it is new or has a higher verdict."""
        if now_s - loss.at_s >= _retention_s(loss):
            return False
        known = self._losses.setdefault(loss.digest, {}).get(loss.start)
        if known is not None:
            if known.verdict.rank >= loss.verdict.rank and known.isolated >= loss.isolated:
                return False
            loss.verdict = _stronger(known.verdict, loss.verdict)
            if known.isolated and not loss.isolated:
                loss.isolated, loss.request = True, known.request
        if now_s - self._ended_s.get(loss.start, float("-inf")) < SETTLE_TIMEOUT_S:
            loss.verdict = _stronger(loss.verdict, LossVerdict.ENDED)
        self._losses[loss.digest][loss.start] = loss
        self._lost_with[loss.start].add(loss.digest)
        if loss.part:
            self._part_names[loss.digest] = loss.part
        self._note_change([loss], now_s)
        if len(self._part_names) > MAX_PARTS:
            self._evict(self._part_names, PARTS_EVICTED)
        elif len(self._losses) - len(self._part_names) > MAX_REQUESTS:
            self._evict(digest for digest in self._losses if digest not in self._part_names)
        return True

    def _settle(
        self,
        start: TargetStart,
        now_s: float,
        verdict: LossVerdict,
        applies: Callable[[Loss], bool],
    ) -> list[Loss]:
        lost = [self._losses[digest][start] for digest in self._lost_with.get(start, ())]
        settled = [loss for loss in lost if applies(loss)]
        for loss in settled:
            loss.verdict = verdict
            if verdict is LossVerdict.CLEARED:
                loss.at_s = now_s
        if settled:
            self._note_change(settled, now_s)
        return settled

    def _attributed_losses(self, digest: bytes) -> list[Loss]:
        """Return the losses of a request that no other request explains better."""
        losses = self._uncleared(digest)
        return [loss for loss in losses if self._max_competing_losses(loss) <= len(losses)]

    def _is_sole_cause(self, loss: Loss) -> bool:
        """Whether no other request is as likely to have ended the target."""
        return self._max_competing_losses(loss) < self._loss_count(loss.digest)

    def _max_competing_losses(self, loss: Loss) -> int:
        """Return the most losses of any other request lost with the same target.

        Parts don't compete with requests: a request that ended several targets is a cause,
        whichever of its parts it is due to.
        """
        others = self._lost_with[loss.start] - {loss.digest} - self._part_names.keys()
        competing = [other for other in others if self._is_lost(other, loss.start)]
        return max(map(self._loss_count, competing), default=0)

    def _is_lost(self, digest: bytes, start: TargetStart) -> bool:
        return _is_uncleared(self._losses[digest][start])

    def _uncleared(self, digest: bytes) -> list[Loss]:
        return [loss for loss in self._losses.get(digest, {}).values() if _is_uncleared(loss)]

    def _is_suspected_part(self, digest: bytes) -> bool:
        # Most parts were lost once; the rest of the check is several times as expensive.
        return len(self._losses[digest]) >= ENDS_TO_TEST and (
            self._part_ends(digest) >= ENDS_TO_TEST
        )

    def _part_ends(self, digest: bytes) -> int:
        """Return the number of targets that have ended under a part since it was last cleared."""
        ended = [loss for loss in self._uncleared(digest) if loss.verdict is LossVerdict.ENDED]
        return _count_starts(ended)

    def _part_loss(self, loss: Loss, parts: Collection[bytes], now_s: float) -> PartLoss:
        """Return a loss of a part as its tests see it, for a request that bears `parts`."""
        lost_parts = self._lost_with[loss.start] & self._part_names.keys()
        proved = self._proved_parts()
        rivals = frozenset(
            other
            for other in (lost_parts.difference(parts) if loss.isolated else ())
            if self._is_lost(other, loss.start) and self._is_suspected_part(other)
        )
        return PartLoss(
            loss.start,
            now_s - loss.at_s,
            loss.verdict is LossVerdict.ENDED,
            loss.isolated,
            loss.request,
            loss.digest not in proved and not proved.isdisjoint(lost_parts),
            rivals,
        )

    def _proved_parts(self) -> frozenset[bytes]:
        """Return the parts that are proved to end targets, whatever else a request bears."""
        if self._proved is None:
            # Empty while the proofs are computed: no proof rests on another one, so that boxes
            # with the same losses agree, in whichever order they came.
            self._proved = frozenset()
            self._proved = frozenset(
                digest
                for digest in self._part_names
                if self._is_suspected_part(digest)
                and is_proved(
                    [self._part_loss(x, (digest,), x.at_s) for x in self._uncleared(digest)]
                )
            )
        return self._proved

    def _loss_count(self, digest: bytes) -> int:
        return sum(map(_is_uncleared, self._losses[digest].values()))

    def _note_change(self, losses: Iterable[Loss], now_s: float) -> None:
        """Update what depends on changed losses: all requests lost with the same targets."""
        self._checksum = self._watching = self._suspected_parts = self._proved = None
        affected = {digest for loss in losses for digest in self._lost_with[loss.start]}
        for digest in affected:
            if self.standing(digest, now_s) is not Standing.CONDEMNED:
                self._condemned.discard(digest)
            elif digest not in self._condemned:
                self._condemned.add(digest)
                self.on_condemned(self._condemned_details(digest, now_s))

    def _condemned_details(self, digest: bytes, now_s: float) -> Condemned:
        if digest in self._part_names:
            return self._condemned_part_details(digest, now_s)
        losses = self._attributed_losses(digest)
        ages_s = sorted(now_s - loss.at_s for loss in losses)
        starts = tuple(sorted(loss.start for loss in losses))
        left_s = max(0.0, LOSS_RETENTION_S - ages_s[ENDS_TO_CONDEMN - 1])
        first = losses[0]
        return Condemned(digest, first.route, first.organisation, starts, ages_s[0], left_s)

    def _is_refused(self, digest: bytes, now_s: float) -> bool:
        """Whether a request is condemned, or a part, by itself or with those tested beside it."""
        if self.standing(digest, now_s) is Standing.CONDEMNED:
            return True
        beside = self._tested_beside(digest)
        return bool(beside) and (
            self.standing_of_part(digest, (digest, *beside), now_s) is Standing.CONDEMNED
        )

    def _tested_beside(self, digest: bytes) -> set[bytes]:
        """Return the suspected parts that were lost in every test of a part."""
        if digest not in self._part_names:
            return set()
        tests = [loss.start for loss in self._uncleared(digest) if loss.isolated]
        lost = [{d for d in self._lost_with[start] if d in self._part_names} for start in tests]
        common = set.intersection(*lost) if lost else set()
        return {
            other
            for other in common - {digest}
            if all(self._is_lost(other, start) for start in tests)
            and self._is_suspected_part(other)
        }

    def _condemned_part_details(self, digest: bytes, now_s: float) -> Condemned:
        is_sole = self.standing(digest, now_s) is Standing.CONDEMNED
        beside = () if is_sole else self._tested_beside(digest)
        losses = [loss for loss in self._uncleared(digest) if loss.verdict is LossVerdict.ENDED]
        first = losses[0]
        return Condemned(
            digest,
            first.route,
            first.organisation,
            tuple(sorted(loss.start for loss in losses)),
            min(now_s - loss.at_s for loss in losses),
            self.left_s(digest, now_s),
            first.part,
            tuple(sorted(loss.start for loss in losses if loss.isolated)),
            tuple(sorted(self._part_names[other] for other in beside)),
        )

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired losses; checks at most once a second."""
        if now_s - self._last_expiry_s < 1.0:
            return
        self._last_expiry_s = now_s
        # What ended targets is kept as long as its last loss, which may be that of a single test.
        last_s = {digest: self._last_loss_s(digest) for digest in self._part_names}
        old = [
            loss
            for loss in self.losses()
            if now_s - last_s.get(loss.digest, loss.at_s) >= _retention_s(loss)
            or (loss.verdict is not LossVerdict.ENDED and now_s - loss.at_s >= _retention_s(loss))
        ]
        for loss in old:
            self._drop(loss)

    def _evict(self, candidates: Iterable[bytes], count: int = 1) -> None:
        """Drop the candidates with the fewest losses, the oldest of these."""
        evicted = heapq.nsmallest(
            count, candidates, key=lambda d: (self._loss_count(d), self._last_loss_s(d))
        )
        for loss in [loss for digest in evicted for loss in self._losses[digest].values()]:
            self._drop(loss)

    def _last_loss_s(self, digest: bytes) -> float:
        return max(loss.at_s for loss in self._losses[digest].values())

    def _drop(self, loss: Loss) -> None:
        self._checksum = self._watching = self._suspected_parts = self._proved = None
        del self._losses[loss.digest][loss.start]
        if not self._losses[loss.digest]:
            del self._losses[loss.digest]
            self._condemned.discard(loss.digest)
            self._part_names.pop(loss.digest, None)
        self._lost_with[loss.start].discard(loss.digest)
        if not self._lost_with[loss.start]:
            del self._lost_with[loss.start]


_UNSETTLED = LossVerdict.OPEN, LossVerdict.LISTENS


def _stronger(*verdicts: LossVerdict) -> LossVerdict:
    return max(verdicts, key=lambda verdict: verdict.rank)


def _is_uncleared(loss: Loss) -> bool:
    return loss.verdict in (LossVerdict.OPEN, LossVerdict.ENDED)


def _retention_s(loss: Loss) -> float:
    match loss.verdict:
        case LossVerdict.OPEN | LossVerdict.LISTENS:
            return SETTLE_TIMEOUT_S
        case LossVerdict.ENDED if loss.part:
            return PART_LOSS_RETENTION_S
        case _:
            return LOSS_RETENTION_S


def _count_starts(losses: Iterable[Loss]) -> int:
    return count_starts(loss.start for loss in losses)
