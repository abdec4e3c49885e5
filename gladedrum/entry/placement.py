"""Placement: choosing targets for a request and reserving memory on them.

The box that received the request asks the owners of candidate targets for quotes, reserves on the
best of them, and renews the reservations until the request ends. Boxes that forward requests place
them by the package `placing` instead, whose `Placer` makes no reservations.
"""

import logging
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..config import Settings
from ..peers import Membership, OwnerGateway, PeerLostError
from ..platform import Box, Target
from ..scheduling import (
    Job,
    Quote,
    Refused,
    TargetView,
    best_refusal,
    order_by_cost,
    plan_segments,
    policy,
    reservation_order,
    segment_jobs,
)
from ..scheduling.policies import UnknownPolicyError
from ..targets.owner import DEFAULT_POLICY, RENEWAL
from ..utils import repeat

__all__ = ["Placer", "Reservation"]

_MAX_QUOTE_ROUNDS = 4
_RENEWALS_PER_LIFETIME = 4
_NO_TARGET_RETRY_AFTER_S = 2.0
_AVOID_AFTER_FAILURE_S = 3.0

_log = logging.getLogger(__name__)


class Reservation(NamedTuple):
    """A reservation on a target, as kept by the box that received the request.

    The record that the owner keeps is `gladedrum.scheduling.Reservation`.

    Parameters
    ----------
    job : Job
        The request, or its segment.
    policy : str
        Name of the placement policy that was applied.
    target : Target
        The reserved target.
    owner : Box
        The box that granted the reservation.
    priority : int
        Scheduling priority to send to the engine.
    """

    job: Job
    policy: str
    target: Target
    owner: Box
    priority: int


class _ReservationOptions(NamedTuple):
    """Parameters common to all reservations of one request."""

    policy: str
    traceparent: str


class Placer:
    """Asks owners for quotes and reservations, and renews the reservations.

    Parameters
    ----------
    clock : IReactorTime
        Clock for the timers.
    cfg : Settings
        Source of the ``[targets]`` settings.
    membership : Membership
        The known boxes and targets.
    gateway : OwnerGateway
        Sends calls to the owners.
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
        self._held: dict[str, Reservation] = {}
        # The owner that last received the job's record, by job id.
        self._informed_owner_by_job: dict[str, str] = {}
        self._hand_over_call: IDelayedCall | None = None
        self._avoided_until_s: dict[str, float] = {}

    def can_ever_fit(
        self, model: str, policy_name: str, prompt_tokens: int, output_tokens: int
    ) -> bool:
        """Return False if a policy can never place a request on the engines of its model."""
        memories = [t.memory_tokens for t in self._membership.directory.engines(model)]
        if not memories:
            return True
        rule = policy(self._policy_or_default(policy_name)).segments
        count = len(memories)
        return bool(plan_segments(prompt_tokens, output_tokens, min(memories), count, rule))

    def avoid(self, target: str) -> None:
        """Exclude a target from placement for a few seconds after a failed request."""
        self._avoided_until_s[target] = self._clock.seconds() + _AVOID_AFTER_FAILURE_S

    async def place(
        self,
        job: Job,
        model: str,
        policy_name: str,
        exclude: frozenset[str] = frozenset(),
        traceparent: str = "",
    ) -> tuple[Reservation, ...] | Refused:
        """Find targets for a request and wait for reservations on them.

        Parameters
        ----------
        job : Job
            The request.
        model : str
            Model that the targets must serve.
        policy_name : str
            Name of the placement policy.
        exclude : frozenset of str
            Names of targets to exclude.
        traceparent : str
            W3C trace context for the owners' spans; empty for none.

        Returns
        -------
        tuple of Reservation, or Refused
            One reservation, or one for each segment of a long prompt. The caller must
            `release` each of them.
        """
        policy_name = self._policy_or_default(policy_name)
        options = _ReservationOptions(policy_name, traceparent)
        jobs = self._jobs_of(job, model, policy_name)
        refusal = Refused("no target answers for this model", _NO_TARGET_RETRY_AFTER_S)
        excluded: frozenset[str] = exclude
        for _ in range(_MAX_QUOTE_ROUNDS):
            targets = self._candidates(jobs, model, policy_name, excluded)
            if len(targets) < max(1, len(jobs)):
                break
            quotes = await self._gateway.quotes(targets, jobs[0], policy_name)
            answer = await self._reserve(jobs, options, targets, quotes)
            if isinstance(answer, tuple):
                return answer
            if answer is None:
                # An owner was lost and has been replaced. Its targets remain candidates.
                continue
            refusal = answer
            refusing = {name for name, quote in quotes.items() if quote.refused is not None}
            if not refusing:
                break
            excluded |= refusing
        return refusal

    def release(self, reservation: Reservation) -> None:
        """Release a reservation; does nothing if it was released before."""
        if self._held.pop(reservation.job.job_id, None) is None:
            return
        del self._informed_owner_by_job[reservation.job.job_id]
        self._gateway.release(reservation.owner, reservation.target, reservation.job.job_id)

    def first_token(self, reservation: Reservation) -> None:
        """Report to the owner that the first token has arrived."""
        self._gateway.first_token(
            reservation.owner, reservation.target.name, reservation.job.job_id
        )

    def schedule_hand_over(self) -> None:
        """Schedule the hand-over of running requests to new owners; call when owners change."""
        if self._hand_over_call is None:
            self._hand_over_call = self._clock.callLater(0, self._hand_over)

    async def run(self) -> None:
        """Renew all reservations periodically until cancelled."""
        interval_s = self._cfg.get(RENEWAL) / _RENEWALS_PER_LIFETIME
        await repeat(self._clock, interval_s, self._renew)

    def _renew(self) -> None:
        self._gateway.renew((r.target, r.job.job_id) for r in self._held.values())

    def _hand_over(self) -> None:
        """Send each reservation to its target's owner, unless that owner already has it."""
        self._hand_over_call = None
        by_target: defaultdict[str, list[Reservation]] = defaultdict(list)
        for reservation in self._held.values():
            owner = self._membership.owner_of(reservation.target)
            if self._informed_owner_by_job.get(reservation.job.job_id) != owner.name:
                self._informed_owner_by_job[reservation.job.job_id] = owner.name
                by_target[reservation.target.name].append(reservation)
        for held in by_target.values():
            self._gateway.hand_over(held[0].target, [(r.job, r.policy) for r in held])

    def _jobs_of(self, job: Job, model: str, policy_name: str) -> list[Job]:
        memories = [t.memory_tokens for t in self._membership.directory.engines(model)]
        rule = policy(policy_name).segments
        return segment_jobs(job, min(memories, default=0), len(memories), rule)

    def _candidates(
        self, jobs: list[Job], model: str, policy_name: str, exclude: frozenset[str]
    ) -> list[Target]:
        if not jobs:
            return []
        now_s = self._clock.seconds()
        engines = {
            t.name: t
            for t in self._membership.directory.engines(model)
            if t.name not in exclude and self._avoided_until_s.get(t.name, 0.0) <= now_s
        }
        views = [TargetView(t.name, t.memory_tokens) for t in engines.values()]
        names = policy(policy_name).candidates(jobs[0], views, len(jobs))
        return [engines[name] for name in names]

    async def _reserve(
        self,
        jobs: list[Job],
        options: _ReservationOptions,
        targets: Iterable[Target],
        quotes: dict[str, Quote],
    ) -> tuple[Reservation, ...] | Refused | None:
        """Reserve on the targets with the best quotes; None if an owner was lost."""
        by_name = {t.name: t for t in targets}
        accepted = [by_name[name] for name in order_by_cost(quotes)]
        if len(accepted) < len(jobs):
            return best_refusal(quotes)
        try:
            if len(jobs) > 1:
                names = reservation_order([t.name for t in accepted[: len(jobs)]])
                return await self._reserve_all(jobs, options, [by_name[n] for n in names])
            return await self._reserve_first(jobs[0], options, accepted)
        except PeerLostError as exc:
            _log.warning(
                "owner lost during reservation",
                extra={"session_id": jobs[0].job_id, "reason": str(exc)},
            )
            return None

    async def _reserve_first(
        self, job: Job, options: _ReservationOptions, targets: Iterable[Target]
    ) -> tuple[Reservation, ...] | Refused | None:
        """Reserve on the first target that grants the request."""
        refusals = []
        for target in targets:
            answer = await self._reserve_one(job, options, target)
            if isinstance(answer, Reservation):
                return (answer,)
            refusals.append(answer)
        return min(refusals, key=lambda r: r.retry_after_s, default=None)

    async def _reserve_all(
        self, jobs: list[Job], options: _ReservationOptions, targets: list[Target]
    ) -> tuple[Reservation, ...] | Refused:
        """Reserve on all targets, in this order, or on none."""
        reservations: list[Reservation] = []
        complete = False
        try:
            for job, target in zip(jobs, targets, strict=True):
                answer = await self._reserve_one(job, options, target)
                if isinstance(answer, Refused):
                    return answer
                reservations.append(answer)
            complete = True
            return tuple(reservations)
        finally:
            if not complete:
                for reservation in reservations:
                    self.release(reservation)

    async def _reserve_one(
        self, job: Job, options: _ReservationOptions, target: Target
    ) -> Reservation | Refused:
        owner, answer = await self._gateway.reserve(
            target, job, options.policy, options.traceparent
        )
        if isinstance(answer, Refused):
            return answer
        return self._hold(Reservation(job, options.policy, target, owner, answer.priority))

    def _hold(self, reservation: Reservation) -> Reservation:
        self._held[reservation.job.job_id] = reservation
        self._informed_owner_by_job[reservation.job.job_id] = reservation.owner.name
        return reservation

    def _policy_or_default(self, name: str) -> str:
        try:
            return policy(name).name
        except UnknownPolicyError:
            return self._cfg.get(DEFAULT_POLICY)
