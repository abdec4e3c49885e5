"""HTTP interface for operators: health, readiness, metrics, status and the table."""

import json
from collections.abc import Callable
from typing import TypedDict

from klein import Klein
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from twisted.web.resource import IResource
from twisted.web.server import Request

from ..config import Item
from ..telemetry import Metrics

__all__ = [
    "OPERATOR_HOST",
    "OPERATOR_PORT",
    "BoxStatus",
    "ListedTarget",
    "OperatorSite",
    "TargetStatus",
]

OPERATOR_HOST = Item(
    "operators", "host", "127.0.0.1", "The IP number on which operators are served."
)
OPERATOR_PORT = Item(
    "operators", "port", 8081, "The TCP port for operators; 0 lets the system choose.",
    minimum=0, maximum=65_535,
)  # fmt: skip


class TargetStatus(TypedDict):
    """The state of a target that the box owns.

    ``running`` and ``waiting`` count requests. ``reserved_tokens`` of its ``memory_tokens`` are
    reserved. ``sessions_known`` is False until the target has listed its sessions; no request
    starts there before. ``distrusted`` is True if it did not answer the last polls.
    """

    target: str
    running: int
    waiting: int
    reserved_tokens: int
    memory_tokens: int
    sessions_known: bool
    distrusted: bool


class ListedTarget(TypedDict):
    """A target in the platform's list, and the box that owns it.

    ``kind`` is ``engine`` or ``service``; only engines have an owner, that of a service is empty.
    ``leaving`` is True if the target is about to stop.
    """

    name: str
    kind: str
    owner: str
    leaving: bool


class BoxStatus(TypedDict):
    """The state of a box, as ``/status`` returns it.

    ``state`` is ``serving`` or ``draining``. ``peers`` are the other listed boxes, ``suspected``
    those that did not answer. ``listed_targets`` are all targets of the fleet, ``targets`` those
    that this box owns.
    """

    box: str
    data_hall: str
    version: str
    state: str
    table_revision: int
    table_age_s: float
    peers: list[str]
    suspected: list[str]
    listed_targets: list[ListedTarget]
    targets: list[TargetStatus]


class OperatorSite:
    """HTTP routes for operators.

    Parameters
    ----------
    metrics : Metrics
        Metrics that ``/metrics`` returns.
    not_ready : callable
        Returns the reasons why the box is not ready; empty if it is.
    status : callable
        Returns the box's status.
    table : IResource
        The resource served below ``/table``.
    """

    app = Klein()

    def __init__(
        self,
        metrics: Metrics,
        not_ready: Callable[[], list[str]],
        status: Callable[[], BoxStatus],
        table: IResource,
    ):
        self._metrics = metrics
        self._not_ready = not_ready
        self._status = status
        self._table = table

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request: Request) -> bytes:
        """Answer that the process is alive."""
        return _json(request, {"status": "ok"})

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: Request) -> bytes:
        """Answer whether the box is ready for callers; if not, with the reasons."""
        reasons = self._not_ready()
        if reasons:
            request.setResponseCode(503)
        return _json(request, {"ready": not reasons, "reasons": reasons})

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Request) -> bytes:
        """Return all metrics in the Prometheus text format."""
        request.setHeader(b"content-type", CONTENT_TYPE_LATEST.encode())
        return _with_length(request, generate_latest(self._metrics.registry))

    @app.route("/table", branch=True)
    def table(self, request: Request) -> IResource:
        """Delegate to the routes of the table."""
        return self._table

    @app.route("/status", methods=["GET"])
    def status(self, request: Request) -> bytes:
        """Return the state of the box, its peers and its targets."""
        return _json(request, self._status())


def _json(request: Request, body: object) -> bytes:
    request.setHeader(b"content-type", b"application/json")
    return _with_length(request, json.dumps(body).encode())


def _with_length(request: Request, body: bytes) -> bytes:
    """Set the length: for clients of HTTP/1.0, who know no chunks, a close shows no end."""
    request.setHeader(b"content-length", b"%d" % len(body))
    return body
