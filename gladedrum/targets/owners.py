"""All targets that a box owns or is asked about."""

import logging
from collections.abc import Callable, Iterable

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from ..config import Item, Settings
from ..platform import Target
from ..scheduling import Grant, Job, Quote, Refused, policy
from ..scheduling.policies import Policy, UnknownPolicyError
from ..telemetry import Metrics
from ..utils import WebClient, repeat, start
from .engine import EngineClient
from .owner import DEFAULT_POLICY, LEAVING_REASON, DecisionClock, LiveSessions, TargetOwner

__all__ = ["POLL_INTERVAL", "Owners"]

POLL_INTERVAL = Item(
    "targets", "poll_interval_s", 1.0, "How often an owner asks a target for its load.",
    unit="s", minimum=0.05, maximum=60,
)  # fmt: skip

_TICK_S = 0.05

_log = logging.getLogger(__name__)


class Owners:
    """All targets that this box owns or is asked about.

    Parameters
    ----------
    reactor : IReactorTime
        Where the timers live.
    cfg : Settings
        Read for the ``[targets]`` section.
    web : WebClient
        Speaks to the targets.
    metrics : Metrics
        Told the queue lengths and reservations.
    find_target : callable
        Returns the row of a target by name, or None.
    ask_sessions : callable
        See `LiveSessions`; how other boxes are asked.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        cfg: Settings,
        web: WebClient,
        metrics: Metrics,
        find_target: Callable[[str], Target | None],
        ask_sessions: LiveSessions,
    ):
        self.clock = DecisionClock(reactor)
        self.own_sessions: set[str] = set()
        self.leaving = False
        self._reactor = reactor
        self._cfg = cfg
        self._web = web
        self._metrics = metrics
        self._find_target = find_target
        self._ask_sessions = ask_sessions
        self._owners: dict[str, TargetOwner] = {}

    def now_s(self) -> float:
        """Return the decision clock, in seconds."""
        return self.clock.now_s()

    def quote(self, target: str, job: Job, policy_name: str) -> Quote:
        """Return what is expected of a request on a target."""
        owner = self._owner(target)
        if owner is None or self.leaving:
            return Quote(0.0, float("inf"), self._refusal(target))
        return owner.quote(job, self._policy(policy_name))

    def reserve(self, target: str, job: Job, policy_name: str) -> defer.Deferred[Grant | Refused]:
        """Queue a request; fires when it is granted or refused."""
        owner = self._owner(target)
        if owner is None or self.leaving:
            return defer.succeed(self._refusal(target))
        return owner.reserve(job, self._policy(policy_name))

    def first_token(self, target: str, job_id: str) -> None:
        """Note that a request's first token has come."""
        if target in self._owners:
            self._owners[target].first_token(job_id)

    def release(self, target: str, job_id: str) -> None:
        """Give back what a request holds."""
        if target in self._owners:
            self._owners[target].release(job_id)

    def renew(self, target: str, job: Job, policy_name: str) -> None:
        """Renew a request's reservation."""
        owner = self._owner(target)
        if owner is not None:
            owner.renew(job, self._policy(policy_name))

    def renew_known(self, target: str, job_id: str) -> None:
        """Renew a reservation that the target's owner here has granted or taken over."""
        if target in self._owners:
            self._owners[target].queue.renew(job_id, self.now_s())

    def live_sessions(self, session_ids: list[str]) -> list[str]:
        """Return those of the sessions that this box still waits for."""
        return [s for s in session_ids if s in self.own_sessions]

    def leave(self) -> None:
        """Take no new requests and hand on those that wait."""
        self.leaving = True
        for owner in self._owners.values():
            owner.give_up(LEAVING_REASON)

    def owned(self) -> Iterable[TargetOwner]:
        """Return all owners, for display."""
        return self._owners.values()

    async def tick(self) -> None:
        """Let all owners do what time calls for, again and again, until cancelled."""
        await repeat(self._reactor, _TICK_S, self._tick)

    async def poll(self, owned_targets: Callable[[], list[Target]]) -> None:
        """Poll the targets again and again, until cancelled.

        Parameters
        ----------
        owned_targets : callable
            Returns the engines that this box owns now.
        """
        interval_s = self._cfg.get(POLL_INTERVAL)
        await repeat(self._reactor, interval_s, lambda: self._poll(owned_targets))

    def _tick(self) -> None:
        for owner in self._owners.values():
            owner.tick()

    def _poll(self, owned_targets: Callable[[], list[Target]]) -> None:
        for target in owned_targets():
            self._owner(target.name)
        for name, owner in list(self._owners.items()):
            if self._find_target(name) is None or owner.idle:
                owner.give_up("the target is gone")
                del self._owners[name]
                continue
            self._metrics.queue_length.labels(name).set(len(owner.queue.waiting))
            self._metrics.reserved_tokens.labels(name).set(owner.queue.reserved_tokens)
            start(owner.poll()).addErrback(_log_poll_failure, name)

    def _owner(self, name: str) -> TargetOwner | None:
        owner = self._owners.get(name)
        if owner is not None:
            return owner
        target = self._find_target(name)
        if target is None:
            return None
        engine = EngineClient(target.url, self._web)
        owner = TargetOwner(target, engine, self._cfg, self.clock, self._ask_sessions)
        self._owners[name] = owner
        start(owner.poll()).addErrback(_log_poll_failure, name)
        return owner

    def _policy(self, name: str) -> Policy:
        try:
            return policy(name)
        except UnknownPolicyError:
            # Another box may run a newer release that has more policies.
            return policy(self._cfg.get(DEFAULT_POLICY))

    def _refusal(self, target: str) -> Refused:
        if self.leaving:
            return Refused(LEAVING_REASON, 1.0)
        return Refused(f"there is no target {target}", 1.0)


def _log_poll_failure(failure, target: str) -> None:
    _log.error("poll failed", extra={"target": target, "reason": failure.getErrorMessage()})
