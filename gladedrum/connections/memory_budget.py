"""Decides how the callers' connections of a box share its memory for requests and answers.

Contains no network or clock access; `answer_buffer` and `caller_conn` carry out the decisions.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Protocol as Interface

__all__ = ["Account", "AccountHolder", "Decision", "DropReason", "MemoryBudget"]

REQUEST_COPIES = 2
"""Number of copies of a request's body that a box may hold: its own, kept for a repeat, and the one
being written to the target."""

REQUEST_SHARE = 0.3
"""Share of the limit for requests, the rest is for answers. Neither can take the other's part: new
requests don't cause finished answers to be dropped, and answers that nobody reads don't cause new
requests to be refused. On a box of 200 MB, seven requests of a million bytes each fit, or ten of
190,000 tokens at four bytes."""

RESERVE_SHARE = 0.1
"""Share of the answers' part that is free when no answer may grow: for the first reads of new
answers, and for reads that are under way when their answer is paused."""

GREED = 3.0
"""An answer may hold this many times what is free. One answer alone then uses three quarters of the
part before it is paused, ten equal ones use 0.97 of it, and there is always something free for a
new one. A larger factor uses more, and leaves less to answers that come after large ones."""

READ_BYTES = 65_536
"""The most that one read from a target adds to an answer. Each answer may always have one read."""

RESUME_FACTOR = 0.75
"""An answer is read again below this share of the bytes from which on it is paused; the gap avoids
a pause and a resumption per read."""

MAX_SHOWN = 20
"""Number of accounts that the operators' page lists, those with the most bytes first."""


class AccountHolder(Interface):
    """The connection whose memory an `Account` counts."""

    @property
    def request_id(self) -> str:
        """The id of the last request."""

    @property
    def loss_cost(self) -> float:
        """What its caller loses, in units of worth, if the answer is dropped now."""

    @property
    def can_pause(self) -> bool:
        """Whether its answer has not ended at its target, so that reading can be paused."""

    @property
    def is_abandoned(self) -> bool:
        """Whether its caller has most likely given up the answer."""

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading the answer from its target."""

    def drop(self, reason: "DropReason") -> None:
        """Drop the answer and break the connection."""


class DropReason(StrEnum):
    """Why an answer was dropped; the texts go into logs."""

    MEMORY = "the box is short of memory"
    ABANDONED = "its time is up and its caller does not read"
    STALLED = "its caller has stopped reading"
    STOP = "the box stops"


class Decision(StrEnum):
    """What was decided for a connection; the names go into metrics."""

    PAUSED = "paused"
    RESUMED = "resumed"
    REFUSED = "refused"
    DROPPED = "dropped"


class Account:
    """The bytes that one caller's connection holds.

    Parameters
    ----------
    budget : MemoryBudget
        The budget of the box.
    holder : AccountHolder
        The connection.

    Attributes
    ----------
    request : int
        Bytes received from the caller or announced by it, times `REQUEST_COPIES`.
    partial : int
        Bytes of an answer that are held back until a part of it is whole.
    unsent : int
        Bytes of answers that the caller has not taken yet.
    paused : bool
        Whether reading its answer is paused.
    closed : bool
        Whether the connection has ended; nothing is counted then.
    """

    __slots__ = ("budget", "closed", "holder", "partial", "paused", "request", "unsent")

    def __init__(self, budget: "MemoryBudget", holder: AccountHolder):
        self.budget = budget
        self.holder = holder
        self.request = self.partial = self.unsent = 0
        self.paused = self.closed = False

    @property
    def answer(self) -> int:
        """Bytes of answers."""
        return self.partial + self.unsent

    def set_request(self, size: int) -> bool:
        """Count a request of `size` bytes; returns False, and counts nothing, if it has no room."""
        return self.closed or self.budget.set_request(self, size * REQUEST_COPIES)

    def set_partial(self, size: int) -> None:
        """Count the bytes that are held back."""
        if not self.closed:
            self.budget.set_answer(self, size, self.unsent)

    def set_unsent(self, size: int) -> None:
        """Count the bytes that the caller has not taken yet."""
        if not self.closed:
            self.budget.set_answer(self, self.partial, size)

    def note_answer_ended(self) -> None:
        """Handle that nothing more is read from the target: only `unsent` is left."""
        self.budget.forget_pause(self)
        self.set_partial(0)

    def close(self) -> None:
        """Return all bytes to the budget."""
        self.budget.close(self)


class MemoryBudget:
    """The memory for all requests and answers of a box, shared between its callers' connections.

    Made for a box of 200 MB (a limit of 50 MB here) with a few hundred callers, of which any number
    read slowly or not at all, and targets that answer faster than the box's link.

    - A request is refused if requests would use more than `REQUEST_SHARE` of the limit.
    - The rest is the answers' room. Reading is paused for the answers that hold most: more than
      `GREED` times what is free. So equal answers get equal shares, and all can always go on.
    - Once any is paused, answers are dropped whose time is up and whose callers don't read.
    - If the answers outgrow their room nevertheless (hundreds of new ones, with one read each),
      those are dropped whose loss costs callers least per byte that it frees.

    Parameters
    ----------
    limit : int
        The limit in bytes.
    on_decision : callable
        Called with each decision.

    Attributes
    ----------
    request_bytes, answer_bytes : int
        Bytes in use.
    counts : Counter of Decision
        What was decided so far.
    """

    def __init__(
        self, limit: int, on_decision: Callable[[Decision], None] = lambda _decision: None
    ):
        self.limit = limit
        self.request_bytes = self.answer_bytes = 0
        self.counts: Counter[Decision] = Counter()
        self._on_decision = on_decision
        self._holding: set[Account] = set()
        self._paused: set[Account] = set()
        self._balancing = False

    # Called by accounts.

    def set_request(self, account: Account, size: int) -> bool:
        """Change the bytes of a request; returns False if it has no room."""
        after = self.request_bytes - account.request + size
        if size > account.request and after > REQUEST_SHARE * self.limit:
            return False
        self.request_bytes, account.request = after, size
        return True

    def set_answer(self, account: Account, partial: int, unsent: int) -> None:
        """Change the bytes of an answer, and pause, resume or drop answers accordingly."""
        grown = partial + unsent - account.answer
        account.partial, account.unsent = partial, unsent
        self.answer_bytes += grown
        if account.answer:
            self._holding.add(account)
        else:
            self._holding.discard(account)
        if account.paused and grown > 0:
            # It grows by another attempt at its request, which began to be read after the pause.
            account.holder.set_reading(False)
        self._balance()

    def forget_pause(self, account: Account) -> None:
        """Handle that an answer has ended at its target, so that there is nothing to resume."""
        account.paused = False
        self._paused.discard(account)

    def close(self, account: Account) -> None:
        """Forget an account."""
        self.request_bytes -= account.request
        self.answer_bytes -= account.answer
        account.request = account.partial = account.unsent = 0
        account.closed = True
        self.forget_pause(account)
        self._holding.discard(account)
        self._balance()

    # Decisions.

    @property
    def answer_room(self) -> int:
        """The part of the limit for answers, in bytes."""
        return round((1 - REQUEST_SHARE) * self.limit)

    @property
    def pause_level(self) -> float:
        """The bytes from which on an answer is paused: equal for all, and more if more is free."""
        free = (1 - RESERVE_SHARE) * self.answer_room - self.answer_bytes
        return max(GREED * free, READ_BYTES)

    @property
    def _is_contended(self) -> bool:
        """Whether any answer can have reached the level from which on it is paused."""
        usable = (1 - RESERVE_SHARE) * self.answer_room
        return self.answer_bytes >= GREED / (GREED + 1) * usable

    def _balance(self) -> None:
        if self._balancing:
            # Called by a holder that is being paused or dropped; the call in progress goes on.
            return
        self._balancing = True
        try:
            if self._is_contended:
                self._drop_abandoned()
                self._drop_cheapest()
                self._pause_largest()
            if self._paused:
                self._resume_smallest()
        finally:
            self._balancing = False

    def _drop_abandoned(self) -> None:
        """Drop answers that their callers have most likely given up, for those of other callers."""
        for account in [account for account in self._holding if account.holder.is_abandoned]:
            self._drop(account, DropReason.ABANDONED)

    def _drop_cheapest(self) -> None:
        while self._holding and self.answer_bytes > self.answer_room:
            self._drop(min(self._holding, key=_cost_per_byte), DropReason.MEMORY)

    def _drop(self, account: Account, reason: DropReason) -> None:
        account.holder.drop(reason)
        self.close(account)

    def _pause_largest(self) -> None:
        level = self.pause_level
        large = [
            account
            for account in self._holding
            if account.unsent >= level and not account.paused and account.holder.can_pause
        ]
        for account in large:
            self._set_paused(account, True)

    def _resume_smallest(self) -> None:
        """Resume answers that are well below the level, as far as their next reads fit."""
        level = RESUME_FACTOR * self.pause_level
        expected = self.answer_bytes
        for account in sorted(self._paused, key=lambda account: account.unsent):
            expected += READ_BYTES
            may_always = account.unsent < RESUME_FACTOR * READ_BYTES
            fits = expected < (1 - RESERVE_SHARE) * self.answer_room
            if not may_always and not (fits and account.unsent < level):
                return
            self._set_paused(account, False)

    def _set_paused(self, account: Account, paused: bool) -> None:
        account.paused = paused
        if paused:
            self._paused.add(account)
        else:
            self._paused.discard(account)
        self._count(Decision.PAUSED if paused else Decision.RESUMED)
        account.holder.set_reading(not paused)

    # For operators.

    def note(self, decision: Decision) -> None:
        """Count a dropped answer or refused request, which its connection has carried out."""
        self._count(decision)

    def _count(self, decision: Decision) -> None:
        self.counts[decision] += 1
        self._on_decision(decision)

    @property
    def paused_count(self) -> int:
        """Number of answers that are not read."""
        return len(self._paused)

    @property
    def answer_count(self) -> int:
        """Number of connections with bytes of answers."""
        return len(self._holding)

    def shown(self) -> dict[str, object]:
        """Return what the operators' page shows."""
        return {
            "limit_bytes": self.limit,
            "request_bytes": self.request_bytes,
            "answer_bytes": self.answer_bytes,
            "answers": self.answer_count,
            "paused": self.paused_count,
            "pause_level_bytes": round(self.pause_level),
            "counts": {decision: self.counts[decision] for decision in Decision},
            "largest": list(self._largest_rows()),
        }

    def _largest_rows(self) -> Iterator[dict[str, object]]:
        largest = sorted(self._holding, key=lambda account: -account.answer)[:MAX_SHOWN]
        for account in largest:
            yield {
                "request_id": account.holder.request_id,
                "unsent_bytes": account.unsent,
                "partial_bytes": account.partial,
                "paused": account.paused,
                "loss_cost": round(account.holder.loss_cost, 3),
            }


def _cost_per_byte(account: Account) -> float:
    return account.holder.loss_cost / account.answer
