"""Detection of requests, and of parts of prompts, that end targets.

A *loss* is a request, or a part of its prompt, that was lost together with a target. The rules that
turn losses into verdicts are in `scheduling.suspects`, those for parts in `scheduling.part_tests`.
This module collects losses from the box's own attempts and from peers. It sends each loss to the
coordinators at once and a few times more, in case a datagram is lost, and sends all losses to a box
whose checksum differs (`beliefs.peer_sync`), such as one that has just started.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable, Sequence

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.target_list import TargetListFollower
from ..gossip.wire.ttypes import Gossip, LossNote
from ..scheduling.suspects import (
    ALIVE_AFTER_S,
    Condemned,
    Loss,
    LossVerdict,
    PartCause,
    Standing,
    TargetStart,
)
from ..utils import sleep
from .fleet_view import FleetView

__all__ = ["Suspicion", "loss_from_note", "note_from_loss"]

RESEND_DELAYS_S = (0.03, 0.1, 0.3, 0.9)
"""When a loss is sent again, in seconds after the first time. If three datagrams in ten are lost, a
box misses one loss in forty for 0.3 s, in which a deadly part would end another target, and one in
four hundred for longer; the comparison of checksums then recovers it."""

CHECK_DELAY_S = ALIVE_AFTER_S + 0.05
"""Delay between a loss and the connection check of a target without reports, in seconds. A target
that has ended takes longer to restart, so if it listens itself, it did not end; but it may be a
relay that listens."""

CHECK_INTERVAL_S = 0.5
"""Shortest time between two connections that ask the same start of an engine whether it has ended,
in seconds. If all connections of a box are reset, many requests are lost at once."""

IsListening = Callable[[], Awaitable[bool | None]]
"""Returns whether a process accepts connections at the target's address; None if unknown."""

_log = logging.getLogger(__name__)


class Suspicion:
    """Tracks requests that are suspected of ending targets.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    view : FleetView
        Holds the losses and detects targets that end.
    targets : TargetListFollower
        The list of targets.
    port : GossipPort
        Sends datagrams to other boxes.

    Attributes
    ----------
    is_informed : bool
        Whether this box knows the requests that were condemned before it started.
    on_condemned : callable
        Called with each `Condemned` request when it becomes known.
    on_lifted : callable
        Called with the digest of a condemned request that an operator has lifted on this box.
    """

    def __init__(
        self,
        clock: IReactorTime,
        view: FleetView,
        targets: TargetListFollower,
        port: gossip.GossipPort,
    ):
        self._clock = clock
        self._view = view
        self._tracker = view.suspects
        self._targets = targets
        self._port = port
        self._tracker.on_condemned = self._note_condemned
        self._checked_s: dict[TargetStart, float] = {}
        self.is_informed = False
        self.on_condemned: Callable[[Condemned], None] = lambda _row: None
        self.on_lifted: Callable[[bytes], None] = lambda _digest: None

    # This box's own requests.

    @property
    def is_watching(self) -> bool:
        """Whether any request is suspected, so that digests of requests must be computed."""
        tracker = self._tracker
        return tracker.is_watching or self._clock.seconds() < tracker.watched_until_s

    @property
    def suspected_part_count(self) -> int:
        """How many parts of prompts are tested or condemned, as far as this box knows."""
        return self._tracker.suspected_part_count

    def part_name(self, digest: bytes) -> str:
        """Return the name of a suspected part; its digest in hex if the name is not known here."""
        return self._tracker.part_name(digest) or digest.hex()

    def standing(self, digest: bytes) -> Standing:
        """Return the standing of a request: clear, or how it is restricted (see `Standing`)."""
        return self._tracker.standing(digest, self._clock.seconds())

    def condemned_for_s(self, digest: bytes) -> float | None:
        """Return the seconds until a condemned request may be tried again, else None."""
        row = self._tracker.condemned_row(digest, self._clock.seconds())
        return None if row is None else row.left_s

    def note_lost(
        self,
        digest: bytes,
        names: Iterable[str],
        route: str,
        organisation: str,
        parts: Sequence[PartCause] = (),
        isolated: bool = False,
    ) -> None:
        """Record that a request was lost with targets.

        Targets that are leaving are skipped, since they end as planned. `parts` and `isolated` are
        those of `SuspectTracker.note_lost`.
        """
        starts = [self._start(name) for name in names if self._targets.accepts_requests(name)]
        now_s = self._clock.seconds()
        self._send_repeatedly(
            self._tracker.note_lost(digest, starts, now_s, route, organisation, parts, isolated)
        )

    async def check(self, target: str, is_listening: IsListening) -> None:
        """Find out, after a loss, whether a target without reports has ended.

        Otherwise only the expiry of its entry in the target list would show the end, 4 to 5 s
        later, and nothing would show that the target may be alive.
        """
        start = self._start(target)
        await sleep(self._clock, CHECK_DELAY_S)
        listening, now_s = await is_listening(), self._clock.seconds()
        if listening is not None:
            note = self._tracker.note_listens if listening else self._tracker.note_ended
            self._send_repeatedly(note(start, now_s))

    async def check_ended(self, target: str, is_listening: IsListening) -> None:
        """Find out at once, after a loss, whether an engine has ended.

        Its missing reports would show that up to a second later, in which a deadly part would end
        several more. An engine that listens may have ended all the same and is judged by its
        reports, as are requests that were lost soon after others.
        """
        start, now_s = self._start(target), self._clock.seconds()
        if now_s - self._checked_s.get(start, float("-inf")) < CHECK_INTERVAL_S:
            return
        recent = {s: at_s for s, at_s in self._checked_s.items() if now_s - at_s < CHECK_INTERVAL_S}
        self._checked_s = {**recent, start: now_s}
        if await is_listening() is False:
            self._send_repeatedly(self._tracker.note_ended(start, self._clock.seconds()))

    def note_served(
        self, digest: bytes, parts: Sequence[PartCause] = (), began_s: float = float("inf")
    ) -> None:
        """Record that a request has completed, which clears it and its parts of suspicion.

        The parts are cleared of losses before `began_s`, the start of the run that completed.
        """
        now_s = self._clock.seconds()
        cleared = self._tracker.note_served(digest, now_s)
        for part in parts:
            cleared += self._tracker.note_part_served(part.digest, began_s, now_s)
        self._send_repeatedly(cleared)

    def _start(self, name: str) -> TargetStart:
        return TargetStart(name, self._view.state(name).born)

    # Operators.

    def condemned(self) -> list[Condemned]:
        """Return the condemned requests, latest first."""
        return self._tracker.condemned(self._clock.seconds())

    def lift(self, digest: bytes) -> bool:
        """Allow a condemned request or part again; return whether it was condemned."""
        row = self._tracker.condemned_row(digest, self._clock.seconds())
        is_condemned = row is not None
        if is_condemned:
            extra = {"request_digest": digest.hex(), "part": self._tracker.part_name(digest)}
            _log.warning("condemned request lifted", extra=extra)
            self.note_served(digest)
            self.on_lifted(digest)
        return is_condemned

    def _note_condemned(self, row: Condemned) -> None:
        _log_condemned(row)
        self.on_condemned(row)

    # Peers.

    @property
    def checksum(self) -> int:
        """Checksum of the losses known here."""
        return self._tracker.checksum

    def note_compared(self) -> None:
        """Record that an informed peer has sent its losses or has the same ones."""
        self.is_informed = True

    def add_recorded(self, losses: Iterable[Loss]) -> None:
        """Add the losses that are recorded in the store."""
        self.is_informed = True
        self._tracker.merge(losses, self._clock.seconds())

    def send_all(self, address: tuple[str, int]) -> None:
        """Send all known losses to a box."""
        now_s = self._clock.seconds()
        notes = [note_from_loss(loss, now_s) for loss in self._tracker.shared()]
        self._port.send_losses(notes, address)

    def receive(self, message: Gossip) -> None:
        """Add the losses in a peer's message."""
        if message.losses:
            now_s = self._clock.seconds()
            losses = (loss_from_note(note, now_s) for note in message.losses)
            self._tracker.merge([loss for loss in losses if loss is not None], now_s)

    def _send_repeatedly(self, losses: list[Loss]) -> None:
        if not losses:
            return
        self._send(losses)
        for after_s in RESEND_DELAYS_S:
            self._clock.callLater(after_s, self._send, losses)

    def _send(self, losses: list[Loss]) -> None:
        now_s = self._clock.seconds()
        self._port.send_losses([note_from_loss(loss, now_s) for loss in losses])


def note_from_loss(loss: Loss, now_s: float) -> LossNote:
    """Return the note that sends a loss to peers."""
    age_s = now_s - loss.at_s
    return LossNote(
        loss.digest,
        *loss.start,
        int(loss.verdict),
        age_s,
        loss.route,
        loss.organisation,
        loss.part or None,
        loss.isolated or None,
        loss.request or None,
    )


def loss_from_note(note: LossNote, now_s: float) -> Loss | None:
    """Return the loss in a peer's note; None if the note is invalid."""
    known = {int(verdict) for verdict in LossVerdict}
    if not note.digest or not note.target or note.verdict not in known:
        return None
    at_s = now_s - max(0.0, note.age_s or 0.0)
    start = TargetStart(note.target, note.born or 0)
    verdict, route = LossVerdict(note.verdict), note.route or ""
    return Loss(
        note.digest,
        start,
        at_s,
        verdict,
        route,
        note.organisation or "",
        note.part or "",
        bool(note.isolated),
        note.request or b"",
    )


def _log_condemned(row: Condemned) -> None:
    _log.warning(
        "part of prompts condemned" if row.part else "request condemned",
        extra={
            "request_digest": row.digest.hex(),
            "part": row.part,
            "tests": [start.name for start in row.tests],
            "route": row.route,
            "organisation": row.organisation,
            "targets": [start.name for start in row.starts],
            "age_s": round(row.age_s, 3),
            "left_s": round(row.left_s, 1),
        },
    )
