"""Late binding: decides whether a long prompt is placed now or waits, see `scheduling.waiting`.

It holds no requests. The box that received a request keeps it and asks again; this class remembers
for a moment whom it told to wait, so that a later prompt with more slack does not overtake.
"""

from collections.abc import Sequence
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..scheduling import waiting
from ..scheduling.waiting import WaitingPrompts
from .choosing import Choice, Chooser, Demand, WaitForEngine
from .work_plan import request_of

__all__ = ["LateBinding"]


MAX_ABANDON_CHANCE = 0.5
"""A prompt whose slack has ended does not wait any longer if its caller is more likely than this to
leave before the first event."""


class _FreeTime(NamedTuple):
    """When an engine of a service is likely to be free, and when that was computed."""

    computed_s: float
    free_s: float


class LateBinding:
    """Chooses targets as `Chooser` does, or tells a long prompt to wait.

    Parameters
    ----------
    clock : IReactorTime
        A monotonic clock.
    chooser : Chooser
        Chooses the targets.
    """

    def __init__(self, clock: IReactorTime, chooser: Chooser):
        self._clock = clock
        self._chooser = chooser
        self._waiting = WaitingPrompts()
        self._free_at: dict[str, _FreeTime] = {}

    def choose(
        self, work_id: str, demand: Demand, tried: Sequence[str]
    ) -> Choice | WaitForEngine | None:
        """Return the best choice now, or how long to wait for a better one.

        None if no target has room. `work_id` tells the prompts that wait from each other.
        """
        if not demand.may_wait or demand.service.engine is None:
            return self._chooser.choose(demand, tried)
        request, now_s = request_of(work_id), self._clock.seconds()
        latest_s = waiting.latest_start_s(
            demand.service.engine, demand.prompt_tokens, demand.first_due_s
        )
        is_behind = (
            self._waiting.ahead_of(request, latest_s, now_s) >= waiting.TRIED_AT_ONCE
            and latest_s - now_s > waiting.MAX_WAIT_S
        )
        if is_behind and request in self._waiting:
            return self._wait(request, demand, latest_s)
        # Tried at least once, so that a prompt that can't be in time is refused at once.
        choice = self._chooser.choose(demand, tried)
        if not self._may_be_later(demand, choice, latest_s) or (
            not is_behind
            and choice is not None
            and waiting.is_cheap(choice.others_loss, demand.worth)
        ):
            self._waiting.remove(request)
            return choice
        return self._wait(request, demand, latest_s)

    def _may_be_later(self, demand: Demand, choice: Choice | None, latest_s: float) -> bool:
        """Whether a later placement can be better for all requests together."""
        now_s = self._clock.seconds()
        if choice is None:
            return self._has_room_before(demand, latest_s)
        due_in_s = min(demand.first_due_s, demand.caller_leaves_s) - now_s
        if waiting.has_slack(choice.first_event_s, due_in_s):
            return True
        is_hopeless = choice.abandon_chance > MAX_ABANDON_CHANCE or due_in_s <= waiting.MIN_WAIT_S
        return not is_hopeless and waiting.is_ruinous(choice.others_loss, demand.worth)

    def _has_room_before(self, demand: Demand, latest_s: float) -> bool:
        """Whether a prompt for which no target has room now may find some while it has slack.

        Otherwise it would wait in vain, and be refused seconds later than necessary.
        """
        now_s = self._clock.seconds()
        if not self._chooser.ledgers(demand):
            return False
        room_s = max(self._chooser.reopens_s(demand) or 0.0, self._free_in_s(demand, now_s))
        return latest_s - now_s > max(room_s, waiting.MIN_WAIT_S)

    def _wait(self, request: str, demand: Demand, latest_s: float) -> WaitForEngine:
        now_s = self._clock.seconds()
        wait_s = waiting.wait_s(self._free_in_s(demand, now_s), latest_s - now_s)
        self._waiting.note(request, latest_s, now_s + wait_s)
        return WaitForEngine(wait_s)

    def _free_in_s(self, demand: Demand, now_s: float) -> float:
        """Return when an engine is likely to be free, in seconds.

        Computed at most once per `MIN_WAIT_S` and service: it takes 16 ms for 600 engines, and one
        coordinator answers the questions of all long prompts.
        """
        name = demand.service.name
        known = self._free_at.get(name)
        if known is None or now_s - known.computed_s >= waiting.MIN_WAIT_S:
            busy = [ledger for ledger in self._chooser.ledgers(demand) if ledger.rows]
            free_s = now_s + waiting.free_in_s(demand.service.engine, busy, now_s)
            known = self._free_at[name] = _FreeTime(now_s, free_s)
        return max(0.0, known.free_s - now_s)
