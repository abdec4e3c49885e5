"""Whether a target lives on after an answer that ended with its connection.

The kernel of a process that dies closes its connections in order, as a target does that has sent
all of such an answer. An accepted connection shows only that somebody listens at the address; an
engine's own process writes its load report.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from http import HTTPStatus

from twisted.internet import defer
from twisted.python.failure import Failure

from ..errors import TargetBackoffError, TargetBrokenError, TargetNotListeningError
from ..fleet import TargetEntry, TargetReport
from ..platform.codecs import MalformedError, decode_report
from ..platform.orders import report_call
from ..utils import start
from ..utils.server_check import CHECK_S, SETTLE_S, LifeCheck
from .calls import CallAnswer, call_target
from .messages import TargetLife
from .target_conn import TargetConnection
from .target_pool import ConnectFailedError, TargetPool

__all__ = ["CHECK_REPORTS_S", "Reports", "check_targets"]

CHECK_REPORTS_S = 1.5
"""How long a check goes on for a report, in seconds. Sound targets may fall silent for a second or
so, and callers leave a silent stream after two."""

POSSIBLE_REPORT_S = 0.5
"""How long a report is waited for that may not come, in seconds: engines normally answer in
milliseconds, and no sound answer may be lost."""

_MAX_UNANSWERED = 3
"""The most calls for a report that one check leaves unanswered: one may be lost on the way, or with
a kept connection that is dead."""

_CALL_S = 60.0
"""The timeout of a call, in seconds; the check ends before."""


class Reports(Enum):
    """What a target's load report can show of its life."""

    NONE = "not asked for"
    """It is no engine, or a call would count against a rate limit that it has named."""

    POSSIBLE = "may come"
    """It may be none of those that report: that no report comes shows nothing."""

    EXPECTED = "comes"
    """It has reported before: if no report comes, nothing shows that it lives."""


def check_targets(
    pool: TargetPool,
    entries: Iterable[TargetEntry],
    reports_of: Callable[[TargetEntry], Reports] = lambda _entry: Reports.NONE,
    note_report: Callable[[TargetEntry, TargetReport], None] = lambda _entry, _report: None,
) -> defer.Deferred[TargetLife]:
    """Find out whether the processes of targets live.

    A connection that shows it is kept for the next request, in place of the one that has closed.

    Parameters
    ----------
    pool : TargetPool
        Opens and keeps connections.
    entries : iterable of TargetEntry
        The targets that the answer needed until its end.
    reports_of : callable
        Returns what a target's report can show.
    note_report : callable
        Called with each report, and with its target; a report tells the start of its process.

    Returns
    -------
    Deferred
        Fires with a `TargetLife`: `LIVES` if all do, else what was found out about the first that
        does not. `UNKNOWN` after `CHECK_S` seconds in which connections were neither refused nor
        stayed open, such as those through a relay that has lost the target, or after
        `CHECK_REPORTS_S` without an expected report.
    """
    checking = defer.gatherResults(
        [_check(pool, entry, reports_of(entry), note_report) for entry in entries]
    )
    return checking.addCallback(
        lambda found: next((life for life in found if life is not TargetLife.LIVES), found[0])
    )


def _check(
    pool: TargetPool,
    entry: TargetEntry,
    reports: Reports,
    note_report: Callable[[TargetEntry, TargetReport], None],
) -> defer.Deferred[TargetLife]:
    if reports is Reports.NONE:
        checking = _ConnectionCheck(pool, entry).begin(CHECK_S)
    else:
        checking = _ReportCheck(pool, entry, reports, note_report).begin(CHECK_REPORTS_S)
    lives = {True: TargetLife.LIVES, False: TargetLife.GONE, None: TargetLife.UNKNOWN}
    return checking.addCallback(lives.__getitem__)


class _ConnectionCheck(LifeCheck[TargetConnection]):
    """A check of a target that lives if it accepts a connection and keeps it open."""

    def __init__(self, pool: TargetPool, entry: TargetEntry):
        super().__init__(pool.clock)
        self._pool = pool
        self._entry = entry

    def _open(self) -> defer.Deferred[TargetConnection]:
        self._pool.opened += 1
        return self._pool.paths.open(self._entry, "", self._pool.make_connection)

    def _is_refused(self, failure: Failure) -> bool:
        failure.trap(ConnectFailedError)
        return failure.value.refused

    def _release(self, conn: TargetConnection) -> None:
        self._pool.keep(conn.address, conn)


class _ReportCheck(_ConnectionCheck):
    """A check of a target that lives if it answers a call for its report.

    The call names the target, so that another process at its address answers 421. Its connection
    has to stay open like one that only shows that somebody listens.
    """

    def __init__(
        self,
        pool: TargetPool,
        entry: TargetEntry,
        reports: Reports,
        note_report: Callable[[TargetEntry, TargetReport], None],
    ):
        super().__init__(pool, entry)
        self._reports = reports
        self._note_report = note_report
        self._began_s = pool.clock.seconds()
        self._calls: list[defer.Deferred[None]] = []
        if reports is Reports.POSSIBLE:
            self._call_later(POSSIBLE_REPORT_S, self._do_without_report)

    def _connect(self) -> None:
        if self._reports is Reports.NONE:
            super()._connect()
        elif sum(not call.called for call in self._calls) < _MAX_UNANSWERED:
            # The callbacks end the check, which cancels the calls that have not ended.
            call = report_call()
            calling = start(call_target(self._clock, self._pool, self._entry, call, _CALL_S))
            self._calls.append(calling.addCallbacks(self._answered, self._call_failed))

    def _call_failed(self, failure: Failure) -> None:
        match failure.value:
            case TargetBackoffError():
                self._do_without_report()
            case TargetNotListeningError():
                self._end(False)
            case TargetBrokenError() if len(self._calls) == 1:
                # A kept connection may have been dead; a process that has ended refuses the next.
                self._call_later(SETTLE_S, self._connect)
            case _:
                failure.trap(TargetBrokenError, defer.CancelledError)

    def _answered(self, answer: CallAnswer) -> None:
        """Handle the answer to a call for a report.

        What is no report shows nothing: relays answer 5xx for a target that they have lost, and a
        body may be cut. The next call shows more.
        """
        report = _report_in(answer)
        if report is not None:
            self._reports = Reports.NONE
            self._pool.reporting_services.add(self._entry.service)
            self._note_report(self._entry, report)
            watched_s = self._clock.seconds() - self._began_s
            self._call_later(max(0.0, SETTLE_S - watched_s), lambda: self._report_settled(answer))
        elif HTTPStatus.BAD_REQUEST <= answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            # A target that gives no reports, or none now.
            self._do_without_report()

    def _report_settled(self, answer: CallAnswer) -> None:
        if answer.is_conn_open():
            self._end(True)
        else:
            # A target that leaves closes each connection after its answer.
            self._connect()

    def _do_without_report(self) -> None:
        if self._reports is not Reports.NONE:
            self._reports = Reports.NONE
            self._connect()

    def _stop(self) -> None:
        super()._stop()
        for call in self._calls:
            call.cancel()


def _report_in(answer: CallAnswer) -> TargetReport | None:
    try:
        return decode_report(answer.body) if answer.ok else None
    except MalformedError:
        return None
