"""Replay of a trace against running boxes."""

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
_FILLER = "gladedrum "


async def replay_live(
    rows: Sequence[TraceRow],
    urls: Sequence[str],
    model: str,
    reactor: IReactorTime,
    speed: float = 1.0,
) -> list[ReplayRecord]:
    """Send each request of a trace to a box at its arrival time.

    Parameters
    ----------
    rows : sequence of TraceRow
        Trace to replay, in order of arrival.
    urls : sequence of str
        Base URLs of the boxes' interfaces for callers; requests go to them round-robin.
    model : str
        Model that every request names.
    reactor : IReactorTime
        Source of time.
    speed : float
        Speed-up of the replay: seconds of the trace per second of real time.
        Deadlines are not scaled.

    Returns
    -------
    list of ReplayRecord
        One record per row, in the order of the rows.
    """
    web = WebClient(reactor)
    callers = itertools.cycle([Caller(url, web, reactor) for url in urls])
    start_s = reactor.seconds()
    calls = []
    for number, row in enumerate(rows):
        await sleep(reactor, start_s + row.arrival_s / speed - reactor.seconds())
        calls.append(start(_send(next(callers), row, number, model)))
    return await defer.gatherResults(calls)


async def _send(caller: Caller, row: TraceRow, number: int, model: str) -> ReplayRecord:
    headers = {
        "gladedrum-organisation": row.organisation,
        "gladedrum-class": row.request_class,
        "gladedrum-timeout": str(row.deadline_s),
    }
    # The box ends the request at its deadline; the margin lets its answer arrive.
    timeout_s = row.deadline_s + 10
    record = await caller.complete(
        model, make_prompt(row, number), row.output_tokens, headers, timeout_s
    )
    return _replay_record(row, record)


def _replay_record(row: TraceRow, record: CallRecord) -> ReplayRecord:
    outcome = "failed" if record.outcome == "unknown" else record.outcome
    return ReplayRecord(row, outcome, record.first_token_s, record.total_s, record.reason)


def make_prompt(row: TraceRow, number: int) -> str:
    """Return a prompt of the row's length; rows with the same prefix share its leading part."""
    shared = _pad_to_length(f"shared {row.prefix} ", row.prefix_tokens) if row.prefix else ""
    return shared + _pad_to_length(f"request {number} ", row.prompt_tokens - row.prefix_tokens)


def _pad_to_length(head: str, tokens: int) -> str:
    length = tokens * BYTES_PER_TOKEN
    return (head + _FILLER * (length // len(_FILLER) + 1))[:length]
