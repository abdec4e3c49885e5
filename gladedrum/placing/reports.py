"""Polling of engines for their load reports.

Each engine is polled by one coordinator, its reader, which passes the reports on to the other
boxes. Each engine has its own order of readers; the next box in it takes over if no report has been
passed on in time. Engines of evacuated data halls are polled only while they have work. (Readers
of reports are not the `CoordinatorGroup.readers`, which read the target list.)
"""

import hashlib
import logging
from collections.abc import Callable, Iterable

from twisted.internet.interfaces import IReactorTime

from ..connections.calls import call_target
from ..connections.target_pool import TargetPool
from ..errors import TargetBackoffError, TargetBrokenError, TargetNotListeningError
from ..fleet import TargetEntry, TargetReport
from ..gossip.wire.ttypes import ReportNote
from ..platform.codecs import MalformedError, decode_report
from ..platform.orders import report_call
from ..scheduling.rates import report_interval_s
from ..utils import sleep, start
from .fleet_view import FleetView, TargetState

__all__ = ["ReportReader", "read_report", "responsible_boxes"]

INTERVAL_S = 0.4
"""Pause between two rounds of polls, in seconds; bounds the load that polls put on engines."""

TIMEOUT_S = 0.7
"""Timeout of a report, in seconds; engines normally answer in milliseconds."""

MAX_MISSES = 2
"""Number of consecutive missing reports after which an engine counts as unresponsive: a single one
may be lost. Refused connections are reported to the coordinators at once, see
`fleet_view.MIN_REFUSED_BOXES`."""

SECOND_READER_AGE_S = 0.9
"""Report age at which the second box in an engine's order polls it, in seconds. This is more than
two intervals, so that a lost datagram does not cause a poll. An engine that is lost together with
its reader is detected as unresponsive after 2.5 s at most."""

OTHER_READERS_AGE_S = 2.0
"""Report age at which all further boxes in an engine's order poll it, in seconds."""

_NEVER_S = float("-inf")

_CLOCK_TOLERANCE_S = 1e-6
"""Tolerance for rounding errors of summed pauses, in seconds."""

ConfirmFailure = Callable[[TargetEntry, bool, Callable[[], None]], None]
"""Calls a function if a failure at a target is not that of the box's own link."""

_log = logging.getLogger(__name__)


class ReportReader:
    """Polls the engines that are assigned to this box.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    pool : TargetPool
        Connections to targets.
    view : FleetView
        Records the reports.
    engines : callable
        Returns the engines to poll.
    me : str
        Name of this box.
    readers : callable
        Returns the names of the boxes that read reports; empty while they are not known.
    broadcast : callable
        Sends a `ReportNote` to the coordinators.
    is_evacuated : callable
        Returns whether the data hall of an engine, by its name, is evacuated.
    confirm_failure : callable
        As `TargetPaths.confirm_failure`: a reader whose own link has failed must not report that
        engines have.
    is_cut_off : callable
        Returns whether no box is known to reach an engine; it is not polled then.
    """

    def __init__(
        self,
        clock: IReactorTime,
        pool: TargetPool,
        view: FleetView,
        engines: Callable[[], Iterable[TargetEntry]],
        me: str,
        readers: Callable[[], list[str]],
        broadcast: Callable[[ReportNote], None],
        is_evacuated: Callable[[str], bool] = lambda _name: False,
        confirm_failure: ConfirmFailure = lambda _entry, _by_connection, act: act(),
        is_cut_off: Callable[[TargetEntry], bool] = lambda _entry: False,
    ):
        self._clock = clock
        self._pool = pool
        self._view = view
        self._engines = engines
        self._me = me
        self._readers = readers
        self._broadcast = broadcast
        self._is_evacuated = is_evacuated
        self._confirm_failure = confirm_failure
        self._is_cut_off = is_cut_off
        self._unpolled_s: dict[str, float] = {}
        self._misses: dict[str, int] = {}
        self._polled_s: dict[str, float] = {}

    async def run(self) -> None:
        """Poll engines until cancelled."""
        while True:
            readers = self._readers()
            listed = list(self._engines())
            self._misses = {e.name: self._misses.get(e.name, 0) for e in listed}
            self._polled_s = {e.name: self._polled_s.get(e.name, _NEVER_S) for e in listed}
            self._unpolled_s = {e.name: self._unpolled_s.get(e.name, _NEVER_S) for e in listed}
            cut_off = {entry.name for entry in listed if self._is_cut_off(entry)}
            self._note_cut_off(cut_off, are_all=len(cut_off) == len(listed))
            for entry in listed:
                if entry.name not in cut_off and self._is_due(entry, readers):
                    self._polled_s[entry.name] = self._clock.seconds()
                    start(self._poll(entry)).addErrback(_log_failure)
                else:
                    # A peer has reported on it meanwhile, so earlier misses are not consecutive.
                    self._misses[entry.name] = 0
            await sleep(self._clock, INTERVAL_S)

    def _note_cut_off(self, cut_off: set[str], are_all: bool) -> None:
        """Record engines that no box reaches, so that requests go to others, if there are any.

        After their return no box has a report, which must not make all boxes poll at once.
        """
        now_s = self._clock.seconds()
        for name in cut_off:
            self._unpolled_s[name] = now_s
            if not are_all and not self._view.state(name).reports_missing:
                self._note_report(name, None, now_s)

    def _is_due(self, entry: TargetEntry, readers: list[str]) -> bool:
        """Whether this box polls an engine in this round."""
        if self._me not in readers:
            return False
        now_s = self._clock.seconds()
        state = self._view.state(entry.name)
        if self._is_evacuated(entry.name) and not _has_known_work(state, now_s):
            self._unpolled_s[entry.name] = now_s
            return False
        if self._view.backoff_s(entry.name, now_s):
            # The next box in its order takes over at `SECOND_READER_AGE_S`.
            return False
        rate_delay_s = self._rate_delay_s(entry.name, now_s)
        if rate_delay_s is None:
            return False
        # After an evacuation no box has a report, which must not make all boxes poll at once.
        age_s = now_s - max(state.reported_s, self._unpolled_s[entry.name]) - rate_delay_s
        match responsible_boxes(entry.name, readers).index(self._me):
            case 0:
                return True
            case 1:
                return age_s > SECOND_READER_AGE_S or state.recent_refusals(now_s)
            case _:
                return age_s > OTHER_READERS_AGE_S

    def _rate_delay_s(self, target: str, now_s: float) -> float | None:
        """Return the extra report age allowed for a target, in seconds; None if no poll is due.

        Polls count against a target's rate limit, so a target with a low rate is polled less often.
        After a failed poll, the next one follows at the normal interval.
        """
        rate = self._view.limit(target, now_s)
        if rate is None:
            return 0.0
        pause_s = report_interval_s(rate, INTERVAL_S)
        if self._misses[target]:
            return pause_s
        # All answers of the target carry its rate, so any of them postpones the poll.
        last_s = max(rate.heard_s, self._polled_s[target])
        return pause_s if now_s - last_s >= pause_s - _CLOCK_TOLERANCE_S else None

    async def _poll(self, entry: TargetEntry) -> None:
        polled_s = self._clock.seconds()
        try:
            report = await read_report(self._clock, self._pool, entry)
        except TargetBackoffError:
            return
        except TargetNotListeningError:
            report = None
            self._confirm_failure(entry, True, lambda: self._note_refused(entry.name))
        if entry.name not in self._misses:
            return
        self._misses[entry.name] = 0 if report is not None else self._misses[entry.name] + 1
        if report is None and self._misses[entry.name] < MAX_MISSES:
            return
        if report is None:
            self._confirm_failure(
                entry, False, lambda: self._note_report(entry.name, None, polled_s)
            )
        else:
            self._note_report(entry.name, report, polled_s)

    def _note_report(self, target: str, report: TargetReport | None, polled_s: float) -> None:
        now_s = self._clock.seconds()
        self._view.note_report(target, report, now_s)
        self._broadcast(_note(target, report, self._view.state(target), now_s - polled_s))

    def _note_refused(self, target: str) -> None:
        if target in self._misses:
            self._view.note_refused(target, self._me, self._clock.seconds())
            born = self._view.state(target).born
            self._broadcast(ReportNote(target, False, refused=True, born=born))


async def read_report(
    clock: IReactorTime, pool: TargetPool, entry: TargetEntry
) -> TargetReport | None:
    """Return a target's report, None if there is none.

    Raises
    ------
    TargetBackoffError
        If the target has asked this box for a backoff.
    TargetNotListeningError
        If its address refuses connections, or another target answers there.
    """
    try:
        answer = await call_target(clock, pool, entry, report_call(), TIMEOUT_S)
        return decode_report(answer.body) if answer.ok else None
    except (TargetBackoffError, TargetNotListeningError):
        raise
    except (TargetBrokenError, MalformedError) as exc:
        _log.debug("no report", extra={"target": entry.name, "reason": str(exc)})
        return None


def _has_known_work(state: TargetState, now_s: float) -> bool:
    """Whether an engine has work that this box knows of, or reported some last."""
    # Nothing is placed on an evacuated engine, which would drop rows whose end was never announced.
    state.ledger.drop_expired(now_s)
    report = state.report
    return bool(state.ledger.rows) or (report is not None and bool(report.running + report.waiting))


def responsible_boxes(target: str, boxes: list[str]) -> list[str]:
    """Return the boxes in order of responsibility for a target, by rendezvous hashing."""

    def weight(box: str) -> bytes:
        return hashlib.blake2b(f"{box}|{target}".encode()).digest()

    return sorted(boxes, key=weight, reverse=True)


def _note(
    target: str, report: TargetReport | None, state: TargetState, asked_age_s: float
) -> ReportNote:
    if report is None:
        return ReportNote(target, False, born=state.born)
    return ReportNote(
        target,
        True,
        report.waiting,
        report.running,
        report.pace,
        report.memory_used,
        born=report.born,
        rate_per_s=None if state.rate is None else state.rate.per_s,
        asked_age_s=asked_age_s,
    )


def _log_failure(failure) -> None:
    _log.error("reading a report failed", extra={"reason": failure.getTraceback()})
