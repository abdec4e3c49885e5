"""What each engine has to do, as far as a box knows: its own requests and what peers tell.

The ledger is an estimate for placement. Nothing that must hold depends on it.
"""

from dataclasses import dataclass

from .engine_model import EngineTraits, Work, read_time_s, reading_order

__all__ = ["EngineLedger", "LedgerRow", "Stake"]

_FORGOTTEN_AFTER_S = 40.0
"""A row whose end was never told is dropped after so many seconds: longer than any request."""

_PASS_S = 0.05
"""A usual pass of writers, in seconds, from the figures of the first deployments."""

_LEAST_LEFT = 0.15
"""The least share of an expected answer that is taken to be left while the request is here."""


@dataclass(slots=True)
class Stake:
    """What a request has to lose.

    Parameters
    ----------
    value : float
        Its worth in time, in units of the smallest request's.
    first_due_s : float
        When its first event is due, by the monotonic clock.
    pause_limit_s : float
        The longest pause between events that is aimed at.
    lost_s : float
        When its caller leaves if no event has come, by the monotonic clock.
    """

    value: float
    first_due_s: float
    pause_limit_s: float
    lost_s: float = float("inf")


@dataclass(slots=True)
class LedgerRow:
    """One request, or a helping part of one, on an engine.

    Parameters
    ----------
    work_id : str
        Unique to the try.
    prompt_tokens : float
        Tokens that this engine reads.
    pair_share : float
        See `Work.pair_share`.
    answer_tokens : float
        Expected length of the answer; 0 on helping engines.
    held_tokens : float
        Memory that it takes here: the whole prompt and answer where it is answered, unless the
        helping engines hold their parts.
    writes : bool
        Whether the answer is written here.
    stake : Stake
        What it has to lose here.
    placed_s : float
        When it was placed, by the monotonic clock.
    first_event_s : float or None
        When its first event came, None before.
    read_left : float
        Estimated tokens still to be read.
    """

    work_id: str
    prompt_tokens: float
    pair_share: float
    answer_tokens: float
    held_tokens: float
    writes: bool
    stake: Stake
    placed_s: float
    first_event_s: float | None = None
    read_left: float = -1.0

    def __post_init__(self) -> None:
        if self.read_left < 0:
            self.read_left = self.prompt_tokens

    @property
    def joint(self) -> bool:
        """Whether it is a part of a prompt that several engines read."""
        return self.pair_share > 1 or not self.writes

    def work(self, now_s: float) -> Work:
        """Return what is left of it."""
        answer_left = self.answer_tokens
        if self.first_event_s is not None:
            written = (now_s - self.first_event_s) / _PASS_S * EngineTraits().stride
            answer_left = max(self.answer_tokens * _LEAST_LEFT, self.answer_tokens - written)
        return Work(
            read_left=self.read_left,
            answer_left=max(1.0, answer_left) if self.writes else 0.0,
            depth=self.prompt_tokens - self.read_left,
            pair_share=self.pair_share,
            writes=self.writes,
        )


class EngineLedger:
    """The requests on one engine, in the order in which they were placed."""

    def __init__(self) -> None:
        self.rows: dict[str, LedgerRow] = {}
        self._advanced_s = float("-inf")

    def add(self, row: LedgerRow, traits: EngineTraits, now_s: float) -> None:
        """Note a placed request."""
        self.advance(traits, now_s)
        self.rows.setdefault(row.work_id, row)

    def note_first_event(self, work_id: str, now_s: float) -> None:
        """Note that the request writes."""
        row = self.rows.get(work_id)
        if row is not None and row.first_event_s is None:
            row.first_event_s = now_s
            row.read_left = 0.0

    def remove(self, work_id: str) -> None:
        """Note that the request has left the engine."""
        self.rows.pop(work_id, None)

    def advance(self, traits: EngineTraits, now_s: float) -> None:
        """Estimate how far the prompts have been read by now."""
        left_s = now_s - self._advanced_s
        self._advanced_s = now_s
        overdue = [
            work_id
            for work_id, row in self.rows.items()
            if now_s - row.placed_s > _FORGOTTEN_AFTER_S
        ]
        for work_id in overdue:
            del self.rows[work_id]
        unread = [row for row in self.rows.values() if row.read_left > 0]
        for row in reading_order(unread, lambda row: row.joint):
            if left_s <= 0:
                break
            left_s = min(left_s, now_s - row.placed_s)
            depth = row.prompt_tokens - row.read_left
            whole_s = max(1e-9, read_time_s(traits, row.read_left, depth) * max(1, row.pair_share))
            share = min(1.0, left_s / whole_s)
            row.read_left *= 1 - share
            left_s -= whole_s * share

    @property
    def tokens(self) -> float:
        """Memory that the requests take, in tokens."""
        return sum(row.held_tokens for row in self.rows.values())
