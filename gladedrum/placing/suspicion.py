"""What a box does about requests that may end targets: notes losses, tells peers, judges.

The judging itself is in `scheduling.suspects`. Here the losses come from this box's own tries and
from peers, and go out to them: at once when a request is lost, twice more in case a datagram is
lost, and whole to a box whose checksum differs (`beliefs.vouching`), such as one that has started.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable

from twisted.internet.interfaces import IReactorTime

from .. import gossip
from ..beliefs.target_list import TargetKeeper
from ..gossip.wire.ttypes import Gossip, LossNote
from ..scheduling.suspects import (
    ALIVE_AFTER_S,
    Condemned,
    Loss,
    Standing,
    TargetStart,
    Verdict,
)
from ..utils import sleep
from .fleet_view import FleetView

__all__ = ["Suspicion", "loss_of", "note_of_loss"]

TOLD_AGAIN_S = (0.3, 0.9)
"""When a loss is told again, in seconds after it: with one datagram in ten lost, one loss in a
thousand does not reach a box; of requests that were lost twice, the comparison of checksums
brings it."""

CHECKED_AFTER_S = ALIVE_AFTER_S + 0.05
"""When a target that gives no reports is asked for a connection, in seconds after a loss: one that
has ended is away for longer, and what is there then was there before."""

Listening = Callable[[], Awaitable[bool | None]]
"""Returns whether a process takes connections there; None if that can't be told."""

_log = logging.getLogger(__name__)


class Suspicion:
    """This box's part in finding the requests that end targets.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    view : FleetView
        Holds the losses, and learns which targets have ended.
    targets : TargetKeeper
        The list of targets.
    port : GossipPort
        Datagrams to other boxes.

    Attributes
    ----------
    is_informed : bool
        Whether it is known what was condemned before this box started.
    on_condemned, on_lifted : callable
        Called with each `Condemned` when it becomes known; with the digest of one that an operator
        has lifted here.
    """

    def __init__(
        self,
        clock: IReactorTime,
        view: FleetView,
        targets: TargetKeeper,
        port: gossip.GossipPort,
    ):
        self._clock = clock
        self._view = view
        self._book = view.suspects
        self._targets = targets
        self._port = port
        self._book.on_condemned = self._note_condemned
        self.is_informed = False
        self.on_condemned: Callable[[Condemned], None] = lambda _row: None
        self.on_lifted: Callable[[bytes], None] = lambda _digest: None

    # This box's own requests.

    @property
    def is_watching(self) -> bool:
        """Whether any request is suspected, so that it matters which one comes."""
        return self._book.is_watching

    def standing(self, digest: bytes) -> Standing:
        """Return what may be done with a request."""
        return self._book.standing(digest, self._clock.seconds())

    def barred_s(self, digest: bytes) -> float | None:
        """Return after how many seconds a condemned request may be tried again, else None."""
        row = self._book.condemned_row(digest, self._clock.seconds())
        return None if row is None else row.left_s

    def note_lost(self, digest: bytes, names: Iterable[str], route: str, organisation: str) -> None:
        """Note that a request was lost with targets; those that are leaving end as planned."""
        starts = [self._start(name) for name in names if self._targets.may_get_work(name)]
        now_s = self._clock.seconds()
        self._tell_thrice(self._book.note_lost(digest, starts, now_s, route, organisation))

    async def check(self, target: str, is_listening: Listening) -> None:
        """Find out whether a target that gives no reports has ended, after a loss.

        Its entry would tell that after 4 to 5 s only, and never that it lives on.
        """
        start = self._start(target)
        await sleep(self._clock, CHECKED_AFTER_S)
        listening, now_s = await is_listening(), self._clock.seconds()
        if listening is not None:
            note = self._book.note_alive if listening else self._book.note_ended
            self._tell_thrice(note(start, now_s))

    def note_served(self, digest: bytes) -> None:
        """Note that a request has run to its end, so that it can't be what ends targets."""
        self._tell_thrice(self._book.note_served(digest, self._clock.seconds()))

    def _start(self, name: str) -> TargetStart:
        return TargetStart(name, self._view.state(name).born)

    # Operators.

    def condemned(self) -> list[Condemned]:
        """Return the condemned requests, the latest first."""
        return self._book.condemned(self._clock.seconds())

    def lift(self, digest: bytes) -> bool:
        """Let a condemned request be tried again; return whether it was one."""
        is_condemned = self.standing(digest) is Standing.CONDEMNED
        if is_condemned:
            _log.warning("condemned request lifted", extra={"request_digest": digest.hex()})
            self.note_served(digest)
            self.on_lifted(digest)
        return is_condemned

    def _note_condemned(self, row: Condemned) -> None:
        _log_condemned(row)
        self.on_condemned(row)

    # Peers.

    @property
    def checksum(self) -> int:
        """What stands for the losses that are known here."""
        return self._book.checksum

    def note_compared(self) -> None:
        """Note that a peer that is informed has told what it knows, or that it knows the same."""
        self.is_informed = True

    def take_recorded(self, losses: Iterable[Loss]) -> None:
        """Take what the store has recorded."""
        self.is_informed = True
        self._book.merge(losses, self._clock.seconds())

    def tell_all(self, address: tuple[str, int]) -> None:
        """Tell a box the losses that are known here."""
        now_s = self._clock.seconds()
        notes = [note_of_loss(loss, now_s) for loss in self._book.shared()]
        self._port.tell_losses(notes, address)

    def take(self, told: Gossip) -> None:
        """Take the losses that a peer tells."""
        if told.losses:
            now_s = self._clock.seconds()
            losses = (loss_of(note, now_s) for note in told.losses)
            self._book.merge([loss for loss in losses if loss is not None], now_s)

    def _tell_thrice(self, losses: list[Loss]) -> None:
        if not losses:
            return
        self._tell(losses)
        for after_s in TOLD_AGAIN_S:
            self._clock.callLater(after_s, self._tell, losses)

    def _tell(self, losses: list[Loss]) -> None:
        now_s = self._clock.seconds()
        self._port.tell_losses([note_of_loss(loss, now_s) for loss in losses])


def note_of_loss(loss: Loss, now_s: float) -> LossNote:
    """Return the note that tells peers of a loss."""
    age_s = now_s - loss.at_s
    return LossNote(
        loss.digest, *loss.start, int(loss.verdict), age_s, loss.route, loss.organisation
    )


def loss_of(note: LossNote, now_s: float) -> Loss | None:
    """Return the loss that a peer's note tells; None if it makes no sense."""
    known = {int(verdict) for verdict in Verdict}
    if not note.digest or not note.target or note.verdict not in known:
        return None
    at_s = now_s - max(0.0, note.age_s or 0.0)
    start = TargetStart(note.target, note.born or 0)
    verdict, route = Verdict(note.verdict), note.route or ""
    return Loss(note.digest, start, at_s, verdict, route, note.organisation or "")


def _log_condemned(row: Condemned) -> None:
    _log.warning(
        "request condemned",
        extra={
            "request_digest": row.digest.hex(),
            "route": row.route,
            "organisation": row.organisation,
            "targets": [start.name for start in row.starts],
            "age_s": round(row.age_s, 3),
            "left_s": round(row.left_s, 1),
        },
    )
