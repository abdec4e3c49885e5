"""The owners of targets on one box, created on demand."""

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
from .owner import DEFAULT_POLICY, LEAVING_REASON, AskLiveSessions, DecisionClock, TargetOwner

__all__ = ["POLL_INTERVAL", "TargetOwners"]

POLL_INTERVAL = Item(
    "targets", "poll_interval_s", 1.0, "How often an owner asks a target for its load.",
    unit="s", minimum=0.05, maximum=60,
)  # fmt: skip

_TICK_INTERVAL_S = 0.05

_log = logging.getLogger(__name__)


class TargetOwners:
    """The owners of all targets that this box owns or receives requests for.

    Parameters
    ----------
    reactor : IReactorTime
        Clock for the timers.
    cfg : Settings
        Source of the ``[targets]`` settings.
    web : WebClient
        HTTP client for calls to the targets.
    metrics : Metrics
        Receives queue lengths and reserved tokens.
    find_target : callable
        Returns a target of the directory by name, or None.
    ask_live_sessions : callable
        Asks a box which sessions it waits for; see `AskLiveSessions`.

    Attributes
    ----------
    clock : DecisionClock
        The clock of all owners on this box.
    own_sessions : set of str
        Ids of the sessions that this box waits for, and of its running requests that hold an
        idempotency key.
    leaving : bool
        True once `leave` has been called.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        cfg: Settings,
        web: WebClient,
        metrics: Metrics,
        find_target: Callable[[str], Target | None],
        ask_live_sessions: AskLiveSessions,
    ):
        self.clock = DecisionClock(reactor)
        self.own_sessions: set[str] = set()
        self.leaving = False
        self._reactor = reactor
        self._cfg = cfg
        self._web = web
        self._metrics = metrics
        self._find_target = find_target
        self._ask_live_sessions = ask_live_sessions
        self._owners: dict[str, TargetOwner] = {}

    def now_s(self) -> float:
        """Return the time of the decision clock, in seconds."""
        return self.clock.now_s()

    def quote(self, target: str, job: Job, policy_name: str) -> Quote:
        """Return the quote of a target for a request."""
        owner = self._owner(target)
        if owner is None or self.leaving:
            return Quote(0.0, float("inf"), self._refusal(target))
        return owner.quote(job, self._policy(policy_name))

    def reserve(self, target: str, job: Job, policy_name: str) -> defer.Deferred[Grant | Refused]:
        """Queue a request; the deferred fires when it is granted or refused."""
        owner = self._owner(target)
        if owner is None or self.leaving:
            return defer.succeed(self._refusal(target))
        return owner.reserve(job, self._policy(policy_name))

    def first_token(self, target: str, job_id: str) -> None:
        """Record that a request has produced its first token."""
        if target in self._owners:
            self._owners[target].first_token(job_id)

    def release(self, target: str, job_id: str) -> None:
        """Release a request's reservation, or remove it from the queue."""
        if target in self._owners:
            self._owners[target].release(job_id)

    def renew(self, target: str, job: Job, policy_name: str) -> None:
        """Renew a request's reservation, or take it over from another owner."""
        owner = self._owner(target)
        if owner is not None:
            owner.renew(job, self._policy(policy_name))

    def renew_known(self, target: str, job_id: str) -> None:
        """Renew a reservation that this box has granted or taken over."""
        if target in self._owners:
            self._owners[target].queue.renew(job_id, self.now_s())

    def live_sessions(self, session_ids: list[str]) -> list[str]:
        """Return the sessions among these that this box still waits for."""
        return [s for s in session_ids if s in self.own_sessions]

    def leave(self) -> None:
        """Accept no new requests, and refuse the queued ones so that they go to other owners."""
        self.leaving = True
        for owner in self._owners.values():
            owner.refuse_waiting(LEAVING_REASON)

    def all_owners(self) -> Iterable[TargetOwner]:
        """Return all owners, for status output."""
        return self._owners.values()

    async def tick(self) -> None:
        """Call `TargetOwner.tick` of all owners periodically until cancelled."""
        await repeat(self._reactor, _TICK_INTERVAL_S, self._tick)

    async def poll(self, owned_targets: Callable[[], list[Target]]) -> None:
        """Poll the targets periodically until cancelled.

        Parameters
        ----------
        owned_targets : callable
            Returns the engines that this box currently owns.
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
                owner.refuse_waiting("the target is gone")
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
        owner = TargetOwner(target, engine, self._cfg, self.clock, self._ask_live_sessions)
        self._owners[name] = owner
        start(owner.poll()).addErrback(_log_poll_failure, name)
        return owner

    def _policy(self, name: str) -> Policy:
        try:
            return policy(name)
        except UnknownPolicyError:
            # Another box may run a newer release with policies that this one lacks.
            return policy(self._cfg.get(DEFAULT_POLICY))

    def _refusal(self, target: str) -> Refused:
        if self.leaving:
            return Refused(LEAVING_REASON, 1.0)
        return Refused(f"there is no target {target}", 1.0)


def _log_poll_failure(failure, target: str) -> None:
    _log.error(
        "polling a target failed with an internal error",
        extra={"target": target, "reason": failure.getErrorMessage()},
    )
