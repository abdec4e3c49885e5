"""Waiting of long prompts for engines on which they delay nobody (late binding).

The load that it is made for: bursts of prompts that are due in seconds and need 0.1 to 3.4 s of
several engines, beside short streams that must not pause for longer than 0.25 s. A long prompt that
is placed at once, on engines that write short answers, makes all of these late. It therefore waits
while its placement would cost the requests there too much. When its slack ends, it is placed unless
that is worse for all requests together than a late answer. Prompts with the least slack come first.

The box that received a prompt keeps it and asks a coordinator again and again. The coordinator
remembers only for a moment which prompts wait (`WaitingPrompts`), so nothing is lost with it.

Examples
--------
>>> waiting = WaitingPrompts()
>>> waiting.note("a", latest_start_s=5.0, until_s=1.0)
>>> waiting.ahead_of("b", latest_start_s=6.0, now_s=0.5)
1
>>> waiting.ahead_of("b", latest_start_s=6.0, now_s=1.5)
0
"""

from collections.abc import Iterable
from typing import NamedTuple

from .arrivals import LONG_PROMPT_TOKENS
from .engine_model import EngineTraits, read_time_s
from .ledger import EngineLedger

__all__ = [
    "TRIED_AT_ONCE",
    "WaitingPrompts",
    "free_in_s",
    "has_slack",
    "is_cheap",
    "is_long",
    "is_ruinous",
    "latest_start_s",
    "wait_s",
]

MAX_OTHERS_LOSS_SHARE = 0.1
"""A prompt is placed if this costs the requests on its engines no more than this share of its own
worth. In virtual time 0.05 served all kinds a little worse. From 0.15 on, long prompts are
served better on overloaded engines, but a prompt may then make an urgent stream late while it could
still wait."""

RUINOUS_LOSS_SHARE = 0.5
"""A prompt whose slack has ended waits on, until its first event is due, while its placement would
cost the requests on its engines more than this share of its own worth. Less than a late answer
loses, since it may still be in time. In virtual time with overloaded engines, most urgent requests
were served worse than long prompts without this limit."""

SLACK_SHARE = 0.8
"""The slack of a prompt ends when its predicted first event takes this share of the time left until
it is due: the model and the reports are inexact."""

MIN_WAIT_S, MAX_WAIT_S = 0.05, 0.25
"""Bounds of the time after which a box asks again, in seconds: a few passes of an engine, and a
fraction of the slack of the prompts that wait. They bound the questions to 20 and 4 a second for
each waiting prompt."""

TRIED_AT_ONCE = 3
"""Number of waiting prompts, those with the least slack, that are tried. Prompts behind them could
only take engines that these need, and each trial costs a decision."""

REMEMBERED_AFTER_S = 0.15
"""How long a waiting prompt is remembered beyond the time at which its box asks again, in seconds:
a network delay and a busy box's reaction."""

MAX_REMEMBERED = 1024
"""Maximum number of waiting prompts that are remembered."""


def is_long(prompt_tokens: float) -> bool:
    """Whether a prompt is long enough to wait."""
    return prompt_tokens >= LONG_PROMPT_TOKENS


def latest_start_s(traits: EngineTraits, prompt_tokens: float, first_due_s: float) -> float:
    """Return the time by which prompts are ordered: when reading in two parts must begin."""
    return first_due_s - read_time_s(traits, prompt_tokens) / 2


def is_cheap(others_loss: float, worth: float) -> bool:
    """Whether a placement costs other requests little compared to the request's own worth."""
    return others_loss <= MAX_OTHERS_LOSS_SHARE * worth


def is_ruinous(others_loss: float, worth: float) -> bool:
    """Whether a placement costs other requests too much even if the prompt may then be late."""
    return others_loss > RUINOUS_LOSS_SHARE * worth


def has_slack(first_event_in_s: float, due_in_s: float) -> bool:
    """Whether a prompt is still in time if it is placed after the shortest wait."""
    return SLACK_SHARE * due_in_s - first_event_in_s > MIN_WAIT_S


def wait_s(free_s: float, slack_s: float) -> float:
    """Return when to ask again, given when an engine is free and until when there is slack."""
    return max(MIN_WAIT_S, min(MAX_WAIT_S, free_s, slack_s))


def free_in_s(traits: EngineTraits, ledgers: Iterable[EngineLedger], now_s: float) -> float:
    """Return when the first of the busy engines has no work left, in seconds."""
    return min((_busy_s(traits, ledger, now_s) for ledger in ledgers), default=MAX_WAIT_S)


def _busy_s(traits: EngineTraits, ledger: EngineLedger, now_s: float) -> float:
    works = [row.work(now_s, traits) for row in ledger.rows.values()]
    reading_s = sum(
        read_time_s(traits, work.read_left, work.depth) * work.pair_factor for work in works
    )
    return reading_s + max((work.answer_left for work in works), default=0.0) * traits.step_s


class _Waiting(NamedTuple):
    """A prompt that waits: its place in the order, and until when it is remembered."""

    latest_start_s: float
    until_s: float


class WaitingPrompts:
    """The prompts that this box has told to wait, by request id."""

    def __init__(self) -> None:
        self._prompts: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._prompts)

    def __contains__(self, request: str) -> bool:
        return request in self._prompts

    def note(self, request: str, latest_start_s: float, until_s: float) -> None:
        """Record that a prompt waits; its box asks again at about `until_s`."""
        self._prompts.pop(request, None)
        if len(self._prompts) >= MAX_REMEMBERED:
            del self._prompts[next(iter(self._prompts))]
        self._prompts[request] = _Waiting(latest_start_s, until_s + REMEMBERED_AFTER_S)

    def remove(self, request: str) -> None:
        """Forget a prompt, which does not wait any more."""
        self._prompts.pop(request, None)

    def ahead_of(self, request: str, latest_start_s: float, now_s: float) -> int:
        """Return how many other prompts wait that have less slack."""
        self._prompts = {name: row for name, row in self._prompts.items() if row.until_s >= now_s}
        return sum(
            row.latest_start_s < latest_start_s
            for name, row in self._prompts.items()
            if name != request
        )
