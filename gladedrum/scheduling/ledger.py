"""The work on each engine as far as a box knows it.

A ledger holds this box's own requests and those that peers announced. It is an estimate for
placement only; no guarantee depends on it. Terms (reading, writing, event, pause) are those of
`engine_model`.
"""

from dataclasses import dataclass

from .engine_model import EngineTraits, Work, read_time_s, reading_order

__all__ = ["EngineLedger", "LedgerRow", "Stake"]

_ROW_EXPIRY_S = 40.0
"""A row is dropped after this time, in seconds, in case the announcement of its end was lost. It
exceeds the duration of any request."""

MIN_CALLER_WAIT_S, CALLER_WAIT_OBJECTIVE_FACTOR, CALLER_WAIT_PAUSE_FACTOR = 2.0, 4, 8
"""A caller is assumed to leave when a pause exceeds the longest of three times: a minimum in
seconds, a multiple of its objective for the first event, and one of its objective for pauses. The
rule is published."""

_WRITING_TIME_SHARE = 0.88
"""Share of an engine's time that goes into steps while requests write; the rest is reading. The
first deployments showed passes of 50 ms, of which 44 ms were steps."""

_MIN_ANSWER_LEFT_SHARE = 0.15
"""Minimum share of the expected answer that counts as unwritten while the request is still
present."""


@dataclass(slots=True)
class Stake:
    """The worth of a request (see `expected_loss`) and the times by which it loses that worth.

    Parameters
    ----------
    worth : float
        Its worth if it is on time, in units of the smallest request's.
    first_due_s : float
        When its first event is due, by the monotonic clock.
    pause_limit_s : float
        Objective for the longest pause between events, in seconds.
    caller_leaves_s : float
        When its caller leaves if there has been no event, by the monotonic clock.
    """

    worth: float
    first_due_s: float
    pause_limit_s: float
    caller_leaves_s: float = float("inf")


@dataclass(slots=True)
class LedgerRow:
    """One request, or a helper's part of one, on an engine.

    Parameters
    ----------
    work_id : str
        Unique to the attempt.
    prompt_tokens : float
        Tokens that this engine reads.
    pair_factor : float
        See `Work.pair_factor`.
    answer_tokens : float
        Expected length of the answer; 0 on helpers.
    held_tokens : float
        Memory held here, in tokens. The answering engine holds the whole prompt and answer, unless
        the helpers hold their parts.
    writes : bool
        Whether the answer is written here.
    stake : Stake
        Its worth and time limits.
    placed_s : float
        When it was placed, by the monotonic clock.
    first_event_s : float or None
        When its first event arrived, None before.
    read_left : float
        Estimated tokens still to be read; a negative value stands for the whole prompt.
    """

    work_id: str
    prompt_tokens: float
    pair_factor: float
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
    def is_joint(self) -> bool:
        """Whether it is a part of a prompt that several engines read."""
        return self.pair_factor > 1 or not self.writes

    @property
    def caller_wait_s(self) -> float:
        """How long its caller waits for the next event, in seconds.

        The objective is the time that was left until its first event was due when it was placed.
        """
        objective_s = self.stake.first_due_s - self.placed_s
        pauses_s = CALLER_WAIT_PAUSE_FACTOR * self.stake.pause_limit_s
        return max(MIN_CALLER_WAIT_S, CALLER_WAIT_OBJECTIVE_FACTOR * objective_s, pauses_s)

    def work(self, now_s: float, traits: EngineTraits) -> Work:
        """Return its remaining work on an engine with these traits."""
        answer_left = self.answer_tokens
        if self.first_event_s is not None:
            written = (now_s - self.first_event_s) * _WRITING_TIME_SHARE / traits.step_s
            answer_left = max(
                self.answer_tokens * _MIN_ANSWER_LEFT_SHARE, self.answer_tokens - written
            )
        return Work(
            read_left=self.read_left,
            answer_left=max(1.0, answer_left) if self.writes else 0.0,
            depth=self.prompt_tokens - self.read_left,
            pair_factor=self.pair_factor,
            writes=self.writes,
        )


class EngineLedger:
    """The requests on one engine, in order of placement.

    Sums are maintained incrementally, since a coordinator of a large fleet reads them on every
    engine for each request.

    Attributes
    ----------
    rows : dict of str to LedgerRow
        The requests, by work id.
    tokens : float
        Memory that they hold, in tokens.
    total_worth : float
        Sum of their worth if on time.
    """

    def __init__(self) -> None:
        self.rows: dict[str, LedgerRow] = {}
        self.tokens = 0.0
        self.total_worth = 0.0
        self._unread: dict[str, LedgerRow] = {}
        self._advanced_s = float("-inf")

    def add(self, row: LedgerRow, traits: EngineTraits, now_s: float) -> None:
        """Add a placed request."""
        self.advance(traits, now_s)
        if row.work_id in self.rows:
            return
        self.rows[row.work_id] = row
        self.tokens += row.held_tokens
        self.total_worth += row.stake.worth
        if row.read_left > 0:
            self._unread[row.work_id] = row

    def note_first_event(self, work_id: str, now_s: float) -> None:
        """Record that a request was read and now writes."""
        row = self.rows.get(work_id)
        if row is not None and row.first_event_s is None:
            row.first_event_s = now_s
            row.read_left = 0.0
            self._unread.pop(work_id, None)

    def remove(self, work_id: str) -> None:
        """Remove a request that has left the engine."""
        row = self.rows.pop(work_id, None)
        if row is None:
            return
        self._unread.pop(work_id, None)
        # Resetting to zero keeps rounding errors from accumulating.
        self.tokens = self.tokens - row.held_tokens if self.rows else 0.0
        self.total_worth = self.total_worth - row.stake.worth if self.rows else 0.0

    def advance(self, traits: EngineTraits, now_s: float) -> None:
        """Update how far the prompts have been read by now."""
        left_s = now_s - self._advanced_s
        self._advanced_s = now_s
        self.drop_expired(now_s)
        if not self._unread:
            return
        for row in reading_order(list(self._unread.values()), lambda row: row.is_joint):
            if left_s <= 0:
                break
            left_s = min(left_s, now_s - row.placed_s)
            depth = row.prompt_tokens - row.read_left
            reading_s = max(
                1e-9, read_time_s(traits, row.read_left, depth) * max(1, row.pair_factor)
            )
            share = min(1.0, left_s / reading_s)
            row.read_left *= 1 - share
            left_s -= reading_s * share
            if row.read_left <= 0:
                del self._unread[row.work_id]

    @property
    def unread(self) -> float:
        """Prompt tokens still to be read, weighted by `pair_factor`."""
        return sum([row.read_left * row.pair_factor for row in self._unread.values()])

    def reads_until_s(self, traits: EngineTraits) -> float | None:
        """Return when all prompts being read here will have been read; None if there are none.

        Streams on the engine may pause until then. A part counts by its own tokens and its share
        of the whole prompt's pairs.
        """
        unread = self._unread.values()
        if not unread:
            return None
        work_s = [
            row.prompt_tokens / traits.read_tokens_per_s
            + row.pair_factor * row.prompt_tokens**2 / 2 * traits.per_pair_s
            for row in unread
        ]
        return min(row.placed_s for row in unread) + sum(work_s)

    def drop_expired(self, now_s: float) -> None:
        """Drop requests whose end was never announced; rows are in order of placement."""
        while self.rows:
            oldest = next(iter(self.rows.values()))
            if now_s - oldest.placed_s <= _ROW_EXPIRY_S:
                return
            self.remove(oldest.work_id)
