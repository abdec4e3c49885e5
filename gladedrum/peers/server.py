"""The Thrift server that answers calls of other boxes."""

from typing import NamedTuple, Protocol

from twisted.internet import defer, endpoints
from twisted.internet.interfaces import IListeningPort, IReactorTCP
from zope.interface import implementer

from ..scheduling import Grant, Job, Quote, Refused
from ..table import Table
from ..telemetry.traces import Traces, context_from_header
from ..utils.connection_limit import LimitedConnections
from ..utils.request_memory import RequestMemory
from .framing import PeerServerFactory
from .link import _PROTOCOL
from .records import job_from_record, record_of_quote, record_of_reserve
from .wire import Peer
from .wire.ttypes import JobRecord, QuoteRecord, ReserveRecord, TableRecord

__all__ = ["OwnerCalls", "PeerHandler", "PeerLimits", "TableCalls", "listen_for_peers"]


class PeerLimits(NamedTuple):
    """What all connections of other boxes together may use.

    Parameters
    ----------
    memory : RequestMemory
        The memory for frames that have not come whole.
    connections : int
        The most connections.
    """

    memory: RequestMemory
    connections: int


class TableCalls(Protocol):
    """The part of this box's table that other boxes can call."""

    @property
    def table(self) -> Table:
        """The table in force."""

    @property
    def age_s(self) -> float:
        """The time since the table was last confirmed, in seconds."""

    def message_for(self, revision: int) -> bytes:
        """Return the message that brings a peer at `revision` up to date."""


class OwnerCalls(Protocol):
    """Calls to the queues of the targets that this box owns, made by all boxes."""

    def now_s(self) -> float:
        """Return the time of the decision clock, in seconds."""

    def quote(self, target: str, job: Job, policy: str) -> Quote:
        """Return the expected time and cost of a request on a target."""

    def reserve(self, target: str, job: Job, policy: str) -> defer.Deferred[Grant | Refused]:
        """Queue a request; the deferred fires when it is granted or refused."""

    def first_token(self, target: str, job_id: str) -> None:
        """Record that a request's first token has arrived."""

    def release(self, target: str, job_id: str) -> None:
        """Release a request's reservation, or remove it from the queue."""

    def renew(self, target: str, job: Job, policy: str) -> None:
        """Renew a request's reservation."""

    def renew_known(self, target: str, job_id: str) -> None:
        """Renew a reservation that the owner has granted or taken over."""

    def live_sessions(self, session_ids: list[str]) -> list[str]:
        """Return the sessions that this box still waits for."""


@implementer(Peer.Iface)
class PeerHandler:
    """Serves the calls of other boxes from the queues and the table of this box.

    Parameters
    ----------
    name : str
        The name of this box.
    owners : OwnerCalls
        The queues of the targets that this box owns.
    table : TableCalls
        The table in force on this box.
    traces : Traces
        Records a span for each reservation.
    """

    def __init__(self, name: str, owners: OwnerCalls, table: TableCalls, traces: Traces):
        self._name = name
        self._traces = traces
        self._table = table
        self._owners = owners

    def quote(self, targets: list[str], job: JobRecord) -> list[QuoteRecord]:
        """Answer with quotes for the named targets."""
        local_job = job_from_record(job, self._owners.now_s())
        return [record_of_quote(t, self._owners.quote(t, local_job, job.policy)) for t in targets]

    def reserve(
        self, target: str, job: JobRecord, traceparent: str
    ) -> defer.Deferred[ReserveRecord]:
        """Answer once the request is granted or refused."""
        local_job = job_from_record(job, self._owners.now_s())
        context = context_from_header(traceparent)
        span = self._traces.tracer.start_span("owner", context=context)
        span.set_attribute("gladedrum.target", target)

        def end(answer: object) -> object:
            span.end()
            return answer

        waiting = self._owners.reserve(target, local_job, job.policy)
        return waiting.addBoth(end).addCallback(record_of_reserve)

    def first_token(self, target: str, job_id: str) -> None:
        """Record that a request's first token has arrived."""
        self._owners.first_token(target, job_id)

    def release(self, target: str, job_id: str) -> None:
        """Release a request's reservation, or remove it from the queue."""
        self._owners.release(target, job_id)

    def renew(self, target: str, jobs: list[JobRecord]) -> None:
        """Renew the reservations of requests that still run, from their full records."""
        now_s = self._owners.now_s()
        for job in jobs:
            self._owners.renew(target, job_from_record(job, now_s), job.policy)

    def renew_known(self, targets: list[str], job_ids: list[str]) -> None:
        """Renew the reservations of requests that still run, by their ids."""
        for target, job_id in zip(targets, job_ids, strict=True):
            self._owners.renew_known(target, job_id)

    def heartbeat(self, box: str) -> str:
        """Answer with this box's name."""
        return self._name

    def live_sessions(self, session_ids: list[str]) -> list[str]:
        """Answer with the sessions that this box still waits for."""
        return self._owners.live_sessions(session_ids)

    def table_since(self, revision: int) -> bytes:
        """Answer with the message that brings a box at `revision` up to date."""
        return self._table.message_for(revision)

    def table_state(self) -> TableRecord:
        """Answer with the revision in force and the time since it was confirmed."""
        return TableRecord(self._table.table.revision, self._table.age_s)


def listen_for_peers(
    reactor: IReactorTCP, host: str, port: int, handler: PeerHandler, limits: PeerLimits
) -> defer.Deferred[IListeningPort]:
    """Listen for other boxes."""
    factory = PeerServerFactory(Peer.Processor(handler), _PROTOCOL)
    factory.use_memory(limits.memory, reactor)
    limited = LimitedConnections(factory, reactor, limits.connections)
    return endpoints.TCP4ServerEndpoint(reactor, port, interface=host).listen(limited)
