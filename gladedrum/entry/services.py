"""Forwarding of calls to plain services."""

import hashlib
import logging
import random
from collections import Counter
from http import HTTPStatus
from typing import NamedTuple

from ..errors import TargetAnswerCutError, TargetBrokenError, TargetUnreachableError
from ..outcome import Failed, NotRun, Outcome, Unknown, outcome_name
from ..peers import Membership
from ..platform import Target
from ..targets import EndShownBy, ServiceClient, ServiceReply
from ..telemetry import Metrics, request_logger
from ..telemetry.traces import Traces, context_from_header, header_of_span

__all__ = ["ServiceCall", "ServiceRouter"]

_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_RETRY_AFTER_S = 2.0
_MAX_RUNS_TO_SHOW_AN_END = 3
"""The most runs of one call whose answers show no end. Two that agree show it; a third one decides
between a part of an answer and the whole of it."""
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

    A call that may be repeated runs again, at another target if there is one, while nothing shows
    the end of its answer. What can't be told: parts that are cut twice at the same byte, and at no
    later one.

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
            extra["answer_end"] = answer.end.value
        log.info("service call ended", extra=extra)
        return answer

    async def _call_targets(
        self, call: ServiceCall, headers: dict[str, str]
    ) -> ServiceReply | Outcome:
        answer: ServiceReply | Outcome = NotRun("no target provides the service", _RETRY_AFTER_S)
        may_repeat = call.may_repeat or call.method in _SAFE_METHODS
        unshown = _UnshownAnswers()
        targets = self._least_loaded_first(call.service)
        while unshown.count < _MAX_RUNS_TO_SHOW_AN_END:
            target = targets.pop(0) if targets else unshown.take_target()
            if target is None:
                break
            self._in_flight[target.name] += 1
            try:
                reply = await self._client.call(
                    call.method, _url(target, call), headers, call.body, call.timeout_s, may_repeat
                )
            except TargetUnreachableError as exc:
                if not isinstance(answer, Unknown):
                    answer = NotRun(str(exc), _RETRY_AFTER_S)
            except TargetBrokenError as exc:
                answer = Unknown(f"{exc}; the call may have run")
                if not may_repeat:
                    return answer
                if isinstance(exc, TargetAnswerCutError):
                    unshown.add_cut(target)
            else:
                if reply.is_shown_whole or not may_repeat:
                    return reply
                if unshown.add(target, reply):
                    return reply._replace(end=EndShownBy.SECOND_RUN)
                text = "nothing shows the end of a service's answer"
                answer = Unknown(f"{text}, in {unshown.count} runs of the call")
                extra = {"target": target.name, "run": unshown.count, "bytes": len(reply.body)}
                request_logger(_log, call.request_id).info(text, extra=extra)
            finally:
                self._in_flight[target.name] -= 1
        return answer

    def _least_loaded_first(self, service: str) -> list[Target]:
        targets = self._membership.directory.services(service)
        random.shuffle(targets)
        return sorted(targets, key=lambda t: self._in_flight[t.name])


class _UnshownAnswers:
    """The answers of the runs of one call whose end nothing in them shows.

    Two runs with the same answer show its end, unless a longer answer has come: a target or a relay
    before it may cut all answers at the same byte. Bodies are not held, as they may be long.

    Attributes
    ----------
    count : int
        The number of answers.
    """

    def __init__(self) -> None:
        self.count = 0
        self._digests: set[tuple[int, bytes]] = set()
        self._longest_bytes = -1
        self._target_of_longest: Target | None = None
        self._next_target: Target | None = None
        self._asked_again = 0

    def add(self, target: Target, reply: ServiceReply) -> bool:
        """Add an answer; return whether an earlier one shows that it is whole."""
        self.count += 1
        digest = reply.status, hashlib.sha256(reply.body).digest()
        size = len(reply.body)
        if size >= self._longest_bytes:
            if digest in self._digests:
                return True
            self._longest_bytes, self._target_of_longest = size, target
        self._digests.add(digest)
        self._next_target = self._target_of_longest
        return False

    def add_cut(self, target: Target) -> None:
        """Add an answer that shows that it is cut."""
        self._next_target = self._target_of_longest or target

    def take_target(self) -> Target | None:
        """Return the target to ask again: that of the longest answer, once for each answer."""
        if self._asked_again == _MAX_RUNS_TO_SHOW_AN_END - 1:
            return None
        target, self._next_target = self._next_target, None
        self._asked_again += 1
        return target


def _url(target: Target, call: ServiceCall) -> str:
    query = f"?{call.query}" if call.query else ""
    return f"{target.url.rstrip('/')}/{call.path}{query}"


def no_such_service(service: str) -> Failed:
    """Return the outcome of a call to a service that no target provides."""
    return Failed(f"there is no service {service!r}", HTTPStatus.NOT_FOUND)
