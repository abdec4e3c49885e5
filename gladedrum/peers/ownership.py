"""Calls to the owner of a target, which may be this box or another one."""

import itertools
import logging
from collections import defaultdict
from collections.abc import Iterable, Sequence

from twisted.internet import defer

from ..platform import Box, Target
from ..scheduling import Grant, Job, Quote, Refused
from ..targets.owner import LEAVING_REASON
from ..telemetry import Metrics
from ..utils import start
from .link import PeerLostError, Peers
from .membership import Membership
from .records import quote_from_record, record_of_job, reserve_from_record
from .server import OwnerCalls

__all__ = ["QUOTE_TIMEOUT_S", "OwnerGateway"]

QUOTE_TIMEOUT_S = 0.5
"""Maximum time for the answer to a `quote` or `live_sessions` call, in seconds."""

_log = logging.getLogger(__name__)


class OwnerGateway:
    """Routes calls to the owners of targets.

    Parameters
    ----------
    membership : Membership
        Knows the owner of each target.
    peers : Peers
        Links to other boxes.
    owners : OwnerCalls
        The queues that this box keeps as the owner of targets; called directly.
    metrics : Metrics
        Counts calls.
    """

    def __init__(self, membership: Membership, peers: Peers, owners: OwnerCalls, metrics: Metrics):
        self._membership = membership
        self._peers = peers
        self._owners = owners
        self._metrics = metrics

    async def quotes(self, targets: Sequence[Target], job: Job, policy: str) -> dict[str, Quote]:
        """Return the quotes of the targets whose owners answered, by target."""
        ranked = sorted(targets, key=lambda t: self._membership.owner_of(t).name)
        groups = [
            (owner, [t.name for t in group])
            for owner, group in itertools.groupby(ranked, key=self._membership.owner_of)
        ]
        asked = [start(self._quotes_of(owner, names, job, policy)) for owner, names in groups]
        answers = await defer.gatherResults(asked)
        return dict(itertools.chain.from_iterable(answer.items() for answer in answers))

    async def reserve(
        self, target: Target, job: Job, policy: str, traceparent: str
    ) -> tuple[Box, Grant | Refused]:
        """Wait for a reservation; return the owner that answered, and its answer.

        Parameters
        ----------
        target : Target
            Where to reserve.
        job : Job
            The request, or a segment of it.
        policy : str
            The scheduling policy.
        traceparent : str
            The trace that the owner's span belongs to; empty for none.

        Raises
        ------
        PeerLostError
            If the owner was lost, or started to stop, while the request waited.
        """
        owner = self._membership.owner_of(target)
        if owner.name == self._membership.me.name:
            answer = await self._owners.reserve(target.name, job, policy)
        else:
            answer = await self._reserve_at(owner, target, job, policy, traceparent)
        if isinstance(answer, Refused) and answer.reason == LEAVING_REASON:
            self._membership.note_leaving(owner.name)
            raise PeerLostError(f"{owner.name}: {answer.reason}")
        return owner, answer

    async def _reserve_at(
        self, owner: Box, target: Target, job: Job, policy: str, traceparent: str
    ) -> Grant | Refused:
        record = record_of_job(job, policy, self._owners.now_s())
        try:
            answer = await self._peers.link(owner).call("reserve", target.name, record, traceparent)
        except PeerLostError:
            self._metrics.peer_calls.labels("reserve", "lost").inc()
            raise
        except defer.CancelledError:
            # Otherwise the owner could still grant the request and reserve memory for nothing.
            self.release(owner, target, job.job_id)
            raise
        self._metrics.peer_calls.labels("reserve", "answered").inc()
        return reserve_from_record(answer, job)

    def first_token(self, owner: Box, target: str, job_id: str) -> None:
        """Tell an owner that the first token of a request has arrived."""
        if owner.name == self._membership.me.name:
            self._owners.first_token(target, job_id)
        else:
            self._peers.link(owner).send("first_token", target, job_id)

    def release(self, owner: Box, target: Target, job_id: str) -> None:
        """Tell the owner that granted a request, and the current owner, that it has ended."""
        for box in {owner, self._membership.owner_of(target)}:
            if box.name == self._membership.me.name:
                self._owners.release(target.name, job_id)
            elif box.name not in self._membership.suspected:
                self._peers.link(box).send("release", target.name, job_id)

    def hand_over(self, target: Target, jobs: Iterable[tuple[Job, str]]) -> None:
        """Send a target's new owner the full records of this box's requests that run there."""
        owner = self._membership.owner_of(target)
        if owner.name == self._membership.me.name:
            for job, policy in jobs:
                self._owners.renew(target.name, job, policy)
            return
        now_s = self._owners.now_s()
        records = [record_of_job(job, policy, now_s) for job, policy in jobs]
        self._peers.link(owner).send("renew", target.name, records)

    def renew(self, held: Iterable[tuple[Target, str]]) -> None:
        """Renew the reservations of this box's requests, in one message per owner."""
        by_owner: defaultdict[Box, list[tuple[str, str]]] = defaultdict(list)
        for target, job_id in held:
            by_owner[self._membership.owner_of(target)].append((target.name, job_id))
        for owner, pairs in by_owner.items():
            if owner.name == self._membership.me.name:
                for target, job_id in pairs:
                    self._owners.renew_known(target, job_id)
            else:
                targets, job_ids = map(list, zip(*pairs, strict=True))
                self._peers.link(owner).send("renew_known", targets, job_ids)

    async def live_sessions(self, box: str, session_ids: list[str]) -> list[str] | None:
        """Return which of the sessions a box still waits for; None if that is unknown.

        A session is an attempt that runs on an engine; the box that relays its answer waits for it.

        A box that the platform no longer lists is asked too, since it may be stopping and still
        be relaying answers; if it does not answer, it waits for none. A listed box that does not
        answer may be frozen or unreachable, so its sessions are unknown.
        """
        if box == self._membership.me.name:
            return self._owners.live_sessions(session_ids)
        if_lost = None
        if self._membership.directory_read and self._membership.box(box) is None:
            if_lost = []
        entry = self._membership.last_known_box(box)
        if entry is None:
            return if_lost
        try:
            link = self._peers.link(entry)
            return await link.call("live_sessions", session_ids, timeout_s=QUOTE_TIMEOUT_S)
        except PeerLostError:
            return if_lost

    async def _quotes_of(
        self, owner: Box, names: list[str], job: Job, policy: str
    ) -> dict[str, Quote]:
        if owner.name == self._membership.me.name:
            return {name: self._owners.quote(name, job, policy) for name in names}
        record = record_of_job(job, policy, self._owners.now_s())
        try:
            link = self._peers.link(owner)
            answers = await link.call("quote", names, record, timeout_s=QUOTE_TIMEOUT_S)
        except PeerLostError as exc:
            self._metrics.peer_calls.labels("quote", "lost").inc()
            _log.warning("owner lost", extra={"box_lost": owner.name, "reason": str(exc)})
            return {}
        self._metrics.peer_calls.labels("quote", "answered").inc()
        if any(a.reason == LEAVING_REASON for a in answers):
            self._membership.note_leaving(owner.name)
            return {}
        return {a.target: quote_from_record(a) for a in answers}
