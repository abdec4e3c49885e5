"""Finding a target for a request and holding its reservation."""

import logging
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..config import Settings
from ..peers import Membership, OwnerGateway, PeerLostError
from ..platform import Box, Target
from ..scheduling import Grant, Job, Quote, Refused, TargetView, policy
from ..scheduling.policies import UnknownPolicyError
from ..targets.owner import DEFAULT_POLICY, RENEWAL
from ..utils import repeat

__all__ = ["Placed", "Placer"]

_ROUNDS = 4
_RENEWALS_PER_LAPSE = 4
_NO_TARGET_RETRY_S = 2.0
_DISTRUST_S = 3.0

_log = logging.getLogger(__name__)


class Placed(NamedTuple):
    """A reservation on a target.

    Parameters
    ----------
    job : Job
        The request.
    policy : str
        The policy that it came under.
    target : Target
        Where it may run.
    owner : Box
        Who granted it.
    priority : int
        What the engine is to be told.
    """

    job: Job
    policy: str
    target: Target
    owner: Box
    priority: int


class Placer:
    """Asks owners for quotes and reservations, and renews what is held.

    Parameters
    ----------
    clock : IReactorTime
        Where the timers live.
    cfg : Settings
        Read for the ``[targets]`` section.
    membership : Membership
        Knows boxes and targets.
    gateway : OwnerGateway
        Reaches the owners.
    """

    def __init__(
        self,
        clock: IReactorTime,
        cfg: Settings,
        membership: Membership,
        gateway: OwnerGateway,
    ):
        self._clock = clock
        self._cfg = cfg
        self._membership = membership
        self._gateway = gateway
        self._held: dict[str, Placed] = {}
        self._outstanding: Counter[str] = Counter()
        self._distrusted_until: dict[str, float] = {}

    def largest_memory_tokens(self, model: str) -> int:
        """Return the memory of the largest engine that serves a model; 0 if none does."""
        engines = self._membership.directory.engines(model)
        return max((t.memory_tokens for t in engines), default=0)

    def distrust(self, target: str) -> None:
        """Leave a target out for a while, because a request on it has just gone wrong."""
        self._distrusted_until[target] = self._clock.seconds() + _DISTRUST_S

    async def place(
        self, job: Job, model: str, policy_name: str, exclude: frozenset[str] = frozenset()
    ) -> Placed | Refused:
        """Find a target and wait for a reservation on it.

        Parameters
        ----------
        job : Job
            The request.
        model : str
            The model that the target must serve.
        policy_name : str
            The policy that decides.
        exclude : frozenset of str
            Targets that are out of the question.

        Returns
        -------
        Placed or Refused
            Whoever gets a `Placed` must call `release` in the end.
        """
        policy_name = self._known_policy(policy_name)
        refusal = Refused("no target answers for this model", _NO_TARGET_RETRY_S)
        asked: set[str] = set(exclude)
        for _ in range(_ROUNDS):
            targets = self._candidates(job, model, policy_name, frozenset(asked))
            if not targets:
                break
            quotes = await self._gateway.quotes(targets, job, policy_name)
            answer = await self._reserve_best(job, policy_name, targets, quotes)
            if isinstance(answer, Placed):
                return answer
            if answer is not None:
                refusal = answer
            # An owner that gave no answer has been replaced by now; its targets stay in play.
            asked |= {name for name, quote in quotes.items() if quote.refused is not None}
            if quotes and len(asked) == len(exclude):
                break
        return refusal

    def release(self, placed: Placed) -> None:
        """Give a reservation back."""
        if self._held.pop(placed.job.job_id, None) is None:
            return
        self._outstanding[placed.target.name] -= placed.job.memory_tokens
        self._gateway.release(placed.owner, placed.target, placed.job.job_id)

    def first_token(self, placed: Placed) -> None:
        """Tell the owner that the first token has come."""
        self._gateway.first_token(placed.owner, placed.target.name, placed.job.job_id)

    async def run(self) -> None:
        """Renew all reservations from time to time, until cancelled."""
        interval_s = self._cfg.get(RENEWAL) / _RENEWALS_PER_LAPSE
        await repeat(self._clock, interval_s, self._renew)

    def _renew(self) -> None:
        by_target: defaultdict[str, list[Placed]] = defaultdict(list)
        for placed in self._held.values():
            by_target[placed.target.name].append(placed)
        for held in by_target.values():
            self._gateway.renew(held[0].target, [(p.job, p.policy) for p in held])

    def _candidates(
        self, job: Job, model: str, policy_name: str, exclude: frozenset[str]
    ) -> list[Target]:
        now_s = self._clock.seconds()
        engines = {
            t.name: t
            for t in self._membership.directory.engines(model)
            if t.name not in exclude and self._distrusted_until.get(t.name, 0.0) <= now_s
        }
        views = [
            TargetView(t.name, t.memory_tokens, self._outstanding[t.name]) for t in engines.values()
        ]
        names = policy(policy_name).candidates(job, views, job.arrival_s)
        return [engines[name] for name in names]

    async def _reserve_best(
        self, job: Job, policy_name: str, targets: Iterable[Target], quotes: dict[str, Quote]
    ) -> Placed | Refused | None:
        """Try the targets in order of cost; None if no owner gave an answer."""
        accepted = [t for t in targets if t.name in quotes and quotes[t.name].refused is None]
        refusals = [q.refused for q in quotes.values() if q.refused is not None]
        for target in sorted(accepted, key=lambda t: quotes[t.name].cost):
            try:
                owner, answer = await self._gateway.reserve(target, job, policy_name)
            except PeerLostError as exc:
                _log.warning(
                    "owner lost while waiting",
                    extra={"session_id": job.job_id, "reason": str(exc)},
                )
                return None
            if isinstance(answer, Grant):
                return self._hold(Placed(job, policy_name, target, owner, answer.priority))
            refusals.append(answer)
        return min(refusals, key=lambda r: r.retry_after_s, default=None)

    def _hold(self, placed: Placed) -> Placed:
        self._held[placed.job.job_id] = placed
        self._outstanding[placed.target.name] += placed.job.memory_tokens
        return placed

    def _known_policy(self, name: str) -> str:
        try:
            return policy(name).name
        except UnknownPolicyError:
            return self._cfg.get(DEFAULT_POLICY)
