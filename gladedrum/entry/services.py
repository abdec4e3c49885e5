"""Forwarding of calls to plain services."""

import logging
import random
from collections import Counter
from http import HTTPStatus
from typing import NamedTuple

from ..errors import TargetBrokenError, TargetUnreachableError
from ..outcome import Failed, NotRun, Outcome, Unknown, outcome_name
from ..peers import Membership
from ..platform import Target
from ..targets import ServiceClient, ServiceReply
from ..telemetry import Metrics, request_logger
from ..telemetry.traces import Traces, context_from_header, header_of_span

__all__ = ["ServiceCall", "ServiceRouter"]

_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_RETRY_AFTER_S = 2.0
# Stands for the length class of a prompt in the metric of outcomes.
_LENGTH_LABEL = "service"

_log = logging.getLogger(__name__)


class ServiceCall(NamedTuple):
    """A call to a plain service.

    Parameters
    ----------
    request_id : str
        Request id that is returned to the caller.
    service : str
        Name of the service.
    method, path, query : str
        HTTP method, path relative to the service, and query string.
    content_type : str
        Content type of the body.
    body : bytes
        Body, forwarded unchanged.
    timeout_s : float
        Timeout of each attempt, in seconds.
    may_repeat : bool
        Whether the call may be sent again although it may have run.
    traceparent : str
        The caller's W3C trace context; empty for none.
    """

    request_id: str
    service: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    timeout_s: float
    may_repeat: bool
    traceparent: str = ""


class ServiceRouter:
    """Sends each call to the target with the fewest calls in flight from this box.

    Parameters
    ----------
    membership : Membership
        The known targets.
    client : ServiceClient
        Client for the calls.
    metrics : Metrics
        Counter of outcomes.
    traces : Traces
        Source of trace spans.
    """

    def __init__(
        self, membership: Membership, client: ServiceClient, metrics: Metrics, traces: Traces
    ):
        self._membership = membership
        self._client = client
        self._metrics = metrics
        self._traces = traces
        self._in_flight: Counter[str] = Counter()

    def knows(self, service: str) -> bool:
        """Return True if any target provides the service."""
        return bool(self._membership.directory.services(service))

    async def call(self, call: ServiceCall) -> ServiceReply | Outcome:
        """Make a call; return the service's reply, or an outcome if there is no reply."""
        parent = context_from_header(call.traceparent)
        log = request_logger(_log, call.request_id)
        with self._traces.tracer.start_as_current_span("service", context=parent) as span:
            headers = {
                "content-type": call.content_type,
                "gladedrum-request-id": call.request_id,
                "traceparent": header_of_span(span),
            }
            answer = await self._call_targets(call, headers)
        name = "completed" if isinstance(answer, ServiceReply) else outcome_name(answer)
        self._metrics.outcomes.labels(name, _LENGTH_LABEL).inc()
        extra = {"outcome": name, "service": call.service}
        if isinstance(answer, ServiceReply):
            extra["answer_end"] = "marked" if answer.is_marked else "close, the service lives"
        log.info("service call ended", extra=extra)
        return answer

    async def _call_targets(
        self, call: ServiceCall, headers: dict[str, str]
    ) -> ServiceReply | Outcome:
        answer: ServiceReply | Outcome = NotRun("no target provides the service", _RETRY_AFTER_S)
        for target in self._least_loaded_first(call.service):
            self._in_flight[target.name] += 1
            try:
                return await self._client.call(
                    call.method, _url(target, call), headers, call.body, call.timeout_s
                )
            except TargetUnreachableError as exc:
                if not isinstance(answer, Unknown):
                    answer = NotRun(str(exc), _RETRY_AFTER_S)
            except TargetBrokenError as exc:
                answer = Unknown(f"{exc}; the call may have run")
                if not call.may_repeat and call.method not in _SAFE_METHODS:
                    return answer
            finally:
                self._in_flight[target.name] -= 1
        return answer

    def _least_loaded_first(self, service: str) -> list[Target]:
        targets = self._membership.directory.services(service)
        random.shuffle(targets)
        return sorted(targets, key=lambda t: self._in_flight[t.name])


def _url(target: Target, call: ServiceCall) -> str:
    query = f"?{call.query}" if call.query else ""
    return f"{target.url.rstrip('/')}/{call.path}{query}"


def no_such_service(service: str) -> Failed:
    """Return the outcome of a call to a service that no target provides."""
    return Failed(f"there is no service {service!r}", HTTPStatus.NOT_FOUND)
