"""What targets state about being cold: kept per start of a target, and passed on to other boxes.

A target is cold when it has just started, or again at any later moment. It states its remaining
cold time in its answers and in its entry in the store. `FleetView` keeps the last statement with
its age, `scheduling.coldness` decides which one applies and what may be sent, and `TargetRates`
enforces it over all boxes.

A box that learns of a change from a target or the store tells all boxes that it knows. In a large
fleet a box knows few others, so the first coordinator in the target's order passes a change on to
all. The answer to a question for a placement names the cold time of the chosen target. A lost note
is replaced by the next of these, or by the target's own next answer.
"""

import logging
import math
from collections.abc import Callable, Iterable
from typing import TypedDict

from twisted.internet.interfaces import IReactorTime

from ..beliefs.coordinators import CoordinatorGroup
from ..beliefs.target_list import TargetListFollower
from ..fleet import MAX_COLD_S, TargetEntry
from ..gossip.port import GossipPort
from ..gossip.wire.ttypes import ColdNote, Gossip
from ..routes import Service
from ..scheduling.coldness import Coldness, is_change
from .fleet_view import FleetView
from .reports import responsible_boxes

__all__ = ["ColdTargets", "ShownCold"]

ENTRY_MAX_AGE_S = 1.5
"""Time since a target wrote its entry, in seconds, at most: the interval of its heartbeats. An
entry that may be older than an answer counts only if the target is cold for longer than the answer
states however old the entry is."""

NEWS_MAX_AGE_S = 1.0
"""Age of an engine's last report from which a coordinator may not know that the engine has become
cold, in seconds. Reports are passed on every 0.4 s; if they stop, the second reader polls at 0.9 s,
and boxes that hear neither at 2 s."""

RETELL_S = 1.0
"""Interval at which boxes are told again of a target that is still cold, in seconds, since notes
may be lost; several times within the seconds for which a target is cold."""

LOG_INTERVAL_S = 1.0
"""Interval between two log lines on one target, in seconds; a line that a target has become cold,
or is not cold any more, is always written."""

NOTES_PER_DATAGRAM = 12
"""At some 50 bytes each, they fit into one IP packet on any link, without fragmentation."""

BATCH_DELAY_S = 0.004
"""How long notes are collected, in seconds: a box polls the engines of a data hall at once."""

MAX_BOXES_LOGGED = 64
"""Number of boxes whose malformed notes are logged, once each."""

_log = logging.getLogger(__name__)


class ShownCold(TypedDict):
    """A cold target as shown to operators; times in seconds.

    `per_s` is the requests per second that it takes from all boxes, null if its service sets no
    limit. `stated` is false if it counts as cold only because it has started during traffic.
    `told_by` is the peer that told this box, empty if the target or its entry did.
    """

    target: str
    left_s: float
    cold_for_s: float
    heard_age_s: float
    stated: bool
    told_by: str
    per_s: float | None
    closed_for_s: float
    added_up_by: str


class ColdTargets:
    """Keeps and passes on how long targets are cold.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    targets : TargetListFollower
        The list of targets.
    view : FleetView
        Keeps the statements.
    coordinators : CoordinatorGroup
        The coordinator group, which passes changes on.
    port : GossipPort
        Sends datagrams to other boxes.
    peers : callable
        Returns the addresses of all other boxes that this box knows.
    service_of : callable
        Returns a service by name.
    """

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetListFollower,
        view: FleetView,
        coordinators: CoordinatorGroup,
        port: GossipPort,
        peers: Callable[[], Iterable[tuple[str, int]]],
        service_of: Callable[[str], Service],
    ):
        self._clock = clock
        self._targets = targets
        self._view = view
        self._coordinators = coordinators
        self._port = port
        self._peers = peers
        self._service_of = service_of
        self._entry_said: dict[str, tuple[int, float]] = {}
        self._told_s: dict[str, float] = {}
        self._logged_s: dict[str, float] = {}
        self._boxes_logged: set[str] = set()
        self._untold: set[str] = set()

    # What targets state.

    def note_answer(self, target: str, left_s: float, sent_s: float) -> None:
        """Process the remaining cold time in an answer to a request sent at `sent_s`.

        Answers on several connections can overtake each other: one to a request that was sent
        before the last statement does not shorten the cold time.
        """
        now_s, known = self._clock.seconds(), self._view.state(target).cold
        may_be_older = known is not None and known.is_stated and sent_s <= known.heard_s
        if not may_be_older or now_s + left_s > known.until_s:
            self._note(target, left_s, now_s, tells=True)

    def note_listed(
        self, entry: TargetEntry, as_of_s: float, is_new: bool, told_by: str = ""
    ) -> None:
        """Process an entry of the target list.

        Parameters
        ----------
        entry : TargetEntry
            The entry.
        as_of_s : float
            The time of the list.
        is_new : bool
            Whether the entry is that of a start that became known while other targets were known.
        told_by : str
            The source of the list if it is not the store.
        """
        left_s = entry.cold_left_s
        if left_s is None:
            if is_new:
                self.note_started(entry.name)
            return
        # An entry that has not been written again says nothing new.
        said = entry.born, left_s
        if not told_by and self._entry_said.get(entry.name) == said:
            return
        if not told_by:
            self._entry_said[entry.name] = said
        known = self._view.state(entry.name).cold
        written_s = as_of_s - ENTRY_MAX_AGE_S
        may_be_older = known is not None and known.is_stated and known.heard_s > written_s
        if not may_be_older or written_s + left_s > known.until_s:
            self._note(entry.name, left_s, as_of_s, told_by, tells=not told_by)

    def note_started(self, target: str) -> None:
        """Assume that a target is cold that has started during traffic and has stated nothing."""
        entry = self._targets.entries.get(target)
        cold_start_s = self._service_of(entry.service).cold_start_s if entry is not None else 0.0
        if cold_start_s and self._view.state(target).cold is None:
            self._note(target, cold_start_s, self._clock.seconds(), is_stated=False)

    def forget(self, target: str) -> None:
        """Drop what is kept of a target that is not listed any more."""
        for kept in (self._entry_said, self._told_s, self._logged_s):
            kept.pop(target, None)

    # Peers.

    def receive(self, message: Gossip) -> None:
        """Process a peer's notes on cold targets."""
        for note in message.cold_targets or ():
            if not _is_valid(note):
                self._log_malformed(note, message.box or "")
                continue
            now_s = self._clock.seconds()
            if note.target not in self._targets.entries:
                continue
            if not self._view.note_start(note.target, note.born or 0, now_s):
                continue
            age_s = note.heard_age_s or 0.0
            left_s = note.left_s + age_s if note.left_s else 0.0
            is_relay = not self._coordinators.is_whole_fleet and self._first(note.target) == (
                self._coordinators.me
            )
            self._note(note.target, left_s, now_s - age_s, message.box or "", tells=is_relay)

    def note_for(self, target: str) -> ColdNote | None:
        """Return a note on a target that has stated to be cold, None if it is not cold."""
        now_s = self._clock.seconds()
        cold = self._view.state(target).cold
        if cold is None or not cold.is_stated or not self._view.is_cold(target, now_s):
            return None
        return self._make_note(target, cold, now_s)

    def may_have_missed(self, target: str) -> bool:
        """Whether a target may have become cold without this box's knowledge.

        Only coordinators get the reports of engines; what other boxes miss, the deciders tell them.
        """
        if self._targets.is_newcomer:
            return True
        entry = self._targets.entries.get(target)
        if entry is None or self._service_of(entry.service).engine is None:
            return False
        report_age_s = self._clock.seconds() - self._view.state(target).reported_s
        return self._coordinators.includes_me() and report_age_s > NEWS_MAX_AGE_S

    def left_s(self, target: str, as_of_s: float) -> float | None:
        """Return the remaining cold time of a target as of a time, for a list sent to a peer.

        None if the target has stated nothing that holds for that time: the peer takes the value for
        a statement as old as the list, so an assumption or an old "not cold" would replace a newer
        statement there.
        """
        cold = self._view.state(target).cold
        if cold is None or not cold.is_stated:
            return None
        left_s = min(MAX_COLD_S, max(0.0, cold.until_s - as_of_s))
        return left_s if left_s or cold.heard_s >= as_of_s - ENTRY_MAX_AGE_S else None

    def _note(
        self,
        target: str,
        left_s: float,
        heard_s: float,
        told_by: str = "",
        is_stated: bool = True,
        tells: bool = False,
    ) -> None:
        """Record a statement; log it and tell the other boxes if it is a change."""
        now_s, before = self._clock.seconds(), self._view.state(target).cold
        if not self._view.note_cold(target, left_s, heard_s, told_by, is_stated):
            return
        if not self._view.cold_per_s_of(target):
            # Kept in case a configuration with a limit arrives; without one nobody is told.
            return
        after = self._view.state(target).cold
        changed = is_change(before, after, now_s)
        if changed:
            self._log_change(target, before, after, now_s)
        retells = after.until_s > now_s and now_s - self._told_s.get(target, -math.inf) >= RETELL_S
        if tells and (changed or (retells and not told_by)):
            self._tell(target)
        elif told_by:
            # A peer has told the others.
            self._told_s[target] = now_s

    def _tell(self, target: str) -> None:
        self._told_s[target] = self._clock.seconds()
        if not self._untold:
            self._clock.callLater(BATCH_DELAY_S, self._send_untold)
        self._untold.add(target)

    def _send_untold(self) -> None:
        now_s, untold = self._clock.seconds(), sorted(self._untold)
        self._untold.clear()
        known = [(name, self._view.state(name).cold) for name in untold]
        notes = [self._make_note(name, cold, now_s) for name, cold in known if cold is not None]
        addresses = list(self._peers())
        for first in range(0, len(notes), NOTES_PER_DATAGRAM):
            self._port.send_cold(addresses, notes[first : first + NOTES_PER_DATAGRAM])

    def _make_note(self, target: str, cold: Coldness, now_s: float) -> ColdNote:
        born = self._view.state(target).born
        return ColdNote(target, born, max(0.0, cold.until_s - now_s), now_s - cold.heard_s)

    def _first(self, target: str) -> str:
        """Return the coordinator that counts what a target gets."""
        return responsible_boxes(target, self._coordinators.members())[0]

    # Operators.

    def shown(self) -> list[ShownCold]:
        """Return the cold targets for operators."""
        now_s = self._clock.seconds()
        closed = self._view.closed(now_s)
        return [
            ShownCold(
                target=name,
                left_s=round(cold.until_s - now_s, 2),
                cold_for_s=round(now_s - cold.since_s, 2),
                heard_age_s=round(now_s - cold.heard_s, 2),
                stated=cold.is_stated,
                told_by=cold.told_by,
                per_s=self._view.cold_per_s_of(name) or None,
                closed_for_s=round(closed.get(name, 0.0), 2),
                added_up_by=self._first(name),
            )
            for name, cold in self._view.cold(now_s).items()
        ]

    def _log_change(
        self, target: str, before: Coldness | None, after: Coldness, now_s: float
    ) -> None:
        was_cold, is_cold = before is not None and before.until_s > now_s, after.until_s > now_s
        recently = now_s - self._logged_s.get(target, -math.inf) < LOG_INTERVAL_S
        if was_cold == is_cold and recently:
            return
        self._logged_s[target] = now_s
        extra = {
            "target": target,
            "left_s": round(max(0.0, after.until_s - now_s), 3),
            "before_left_s": round(before.until_s - now_s, 3) if was_cold else 0.0,
            "heard_age_s": round(now_s - after.heard_s, 3),
            "stated": after.is_stated,
            "told_by": after.told_by,
            "per_s": self._view.cold_per_s_of(target) or None,
        }
        _log.info("target is cold" if is_cold else "target is not cold any more", extra=extra)

    def _log_malformed(self, note: ColdNote, box: str) -> None:
        """Log a peer's malformed note, once for each peer."""
        if box in self._boxes_logged or len(self._boxes_logged) >= MAX_BOXES_LOGGED:
            return
        self._boxes_logged.add(box)
        extra = {
            "peer": box,
            "target": str(note.target),
            "left_s": str(note.left_s),
            "heard_age_s": str(note.heard_age_s),
        }
        _log.warning("malformed note on a cold target", extra=extra)


def _is_valid(note: ColdNote) -> bool:
    """Whether the times of a peer's note are possible; comparisons with NaN are false."""
    left_s = -1.0 if note.left_s is None else note.left_s
    return 0 <= left_s <= MAX_COLD_S and 0 <= (note.heard_age_s or 0.0) <= MAX_COLD_S
