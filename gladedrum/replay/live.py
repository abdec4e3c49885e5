"""Replay of a trace against live boxes."""

import itertools
from collections.abc import Sequence

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..utils import WebClient, sleep, start
from .caller import Caller, CallRecord
from .local import ReplayRecord
from .trace import TraceRow

__all__ = ["replay_live"]

BYTES_PER_TOKEN = 4
_WORD = "gladedrum "


async def replay_live(
    rows: Sequence[TraceRow],
    urls: Sequence[str],
    model: str,
    reactor: IReactorTime,
    speed: float = 1.0,
) -> list[ReplayRecord]:
    """Send the requests of a trace to boxes, each at its time.

    Parameters
    ----------
    rows : sequence of TraceRow
        The trace, in order of arrival.
    urls : sequence of str
        The callers' addresses of the boxes; requests go to them in turn.
    model : str
        The model to ask.
    reactor : IReactorTime
        Measures times.
    speed : float
        How many seconds of the trace pass in one second.

    Returns
    -------
    list of ReplayRecord
        One for each row, in order.
    """
    web = WebClient(reactor)
    callers = itertools.cycle([Caller(url, web, reactor) for url in urls])
    began_s = reactor.seconds()
    calls = []
    for number, row in enumerate(rows):
        await sleep(reactor, began_s + row.arrival_s / speed - reactor.seconds())
        calls.append(start(_send(next(callers), row, number, model)))
    return await defer.gatherResults(calls)


async def _send(caller: Caller, row: TraceRow, number: int, model: str) -> ReplayRecord:
    headers = {
        "gladedrum-organisation": row.organisation,
        "gladedrum-class": row.request_class,
        "gladedrum-timeout": str(row.deadline_s),
    }
    # The box ends the request at its deadline; the caller waits a little longer.
    timeout_s = row.deadline_s + 10
    record = await caller.complete(
        model, prompt_of(row, number), row.output_tokens, headers, timeout_s
    )
    return _replay_record(row, record)


def _replay_record(row: TraceRow, record: CallRecord) -> ReplayRecord:
    outcome = "failed" if record.outcome == "unknown" else record.outcome
    return ReplayRecord(row, outcome, record.first_token_s, record.total_s, record.reason)


def prompt_of(row: TraceRow, number: int) -> str:
    """Return a prompt of the row's length, whose leading part is shared as the row says."""
    shared = _filled(f"shared {row.prefix} ", row.prefix_tokens) if row.prefix else ""
    return shared + _filled(f"request {number} ", row.prompt_tokens - row.prefix_tokens)


def _filled(head: str, tokens: int) -> str:
    length = tokens * BYTES_PER_TOKEN
    return (head + _WORD * (length // len(_WORD) + 1))[:length]
