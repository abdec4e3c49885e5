"""The wait of one request for engines on which it delays nobody, see `scheduling.waiting`.

The request stays in its task: nothing has been sent, no other box holds it, and its place in the
order is only remembered by the coordinator that was asked last.
"""

import logging

from twisted.internet import defer

from ..placing.choosing import Demand
from ..scheduling.ranked_placement import RANKED_POLICY
from ..scheduling.waiting import is_long
from .context import ForwardContext

__all__ = ["EngineWait"]

_log = logging.getLogger(__name__)


class EngineWait:
    """Decides whether a request may wait, lets it wait, and counts for how long.

    Parameters
    ----------
    ctx : ForwardContext
        State shared by all requests.
    request_id : str
        The request's id, for the log.

    Attributes
    ----------
    waited_s : float
        Time that it has waited so far, in seconds.
    """

    def __init__(self, ctx: ForwardContext, request_id: str):
        self._ctx = ctx
        self._request_id = request_id
        self._asks = 0
        self._pause: defer.Deferred[None] | None = None
        self._is_counted = False
        self.waited_s = 0.0

    def may_wait(self, demand: Demand, attempt_count: int) -> bool:
        """Whether a coordinator may tell the request to wait.

        Only before the first attempt: a further one holds a retry grant, and its first target has
        used up some of the time. The wait ends when the first event is due, whatever a coordinator
        says.
        """
        end_s = min(demand.first_due_s, demand.caller_leaves_s)
        return (
            demand.policy == RANKED_POLICY
            and is_long(demand.prompt_tokens)
            and not demand.committed
            and not attempt_count
            and not self._ctx.is_draining
            and self._ctx.clock.seconds() < end_s
        )

    async def pause(self, wait_s: float) -> None:
        """Wait before the next question; `end` ends this early."""
        if not self._is_counted:
            self._is_counted = True
            self._ctx.metrics.waiting.inc()
        self._asks += 1
        began_s = self._ctx.clock.seconds()
        self._pause = pause = defer.Deferred()
        timer = self._ctx.clock.callLater(wait_s, self.end)
        try:
            await pause
        finally:
            self._pause = None
            if timer.active():
                timer.cancel()
            self.waited_s += self._ctx.clock.seconds() - began_s

    def end(self) -> None:
        """End the current pause, if any, for example since the caller has left."""
        pause, self._pause = self._pause, None
        if pause is not None:
            pause.callback(None)

    def note_end(self, result: str, demand: Demand) -> None:
        """Count and log the end of the wait, if the request has waited; later calls do nothing.

        `result` is ``placed`` or ``not placed``.
        """
        if not self._is_counted:
            return
        self._is_counted = False
        metrics = self._ctx.metrics
        metrics.waiting.dec()
        metrics.waits.labels(result).inc()
        metrics.wait_s.observe(self.waited_s)
        _log.info(
            "waited for engines",
            extra={
                "request_id": self._request_id,
                "result": result,
                "waited_s": round(self.waited_s, 3),
                "questions": self._asks + 1,
                "due_in_s": round(demand.first_due_s - self._ctx.clock.seconds(), 3),
                "prompt_tokens": demand.prompt_tokens,
                "rank_weight": demand.rank_weight,
                "draining": self._ctx.is_draining,
            },
        )
