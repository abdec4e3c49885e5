"""The pages of a box for its operators: whether it is ready, its table, its metrics."""

from collections.abc import Callable
from http import HTTPStatus

from klein import Klein
from prometheus_client import generate_latest
from twisted.web.http import Request

from ..daemon.table_site import TableSite
from ..platform import wire
from .beliefs import ConfigurationKeeper
from .measures import ForwardMetrics

__all__ = ["box_pages"]


def box_pages(
    not_ready: Callable[[], list[str]],
    table_site: TableSite,
    metrics: ForwardMetrics,
    configuration: ConfigurationKeeper,
) -> Klein:
    """Return the pages.

    Parameters
    ----------
    not_ready : callable
        Returns the reasons why callers should not be sent here; none if it is ready.
    table_site : TableSite
        The pages of the table.
    metrics : ForwardMetrics
        Counters and histograms.
    configuration : ConfigurationKeeper
        Whose version and age are measured when the metrics are read.
    """
    app = Klein()

    @app.route(wire.READY_PATH)
    def ready(request: Request) -> bytes:
        reasons = not_ready()
        request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK)
        return "\n".join(reasons).encode()

    @app.route("/table", branch=True)
    def table(_request: Request):
        return table_site.app.resource()

    @app.route("/metrics")
    def count(request: Request) -> bytes:
        known = configuration.table
        metrics.configuration_version.set(known.version if known else -1)
        metrics.configuration_age_s.set(configuration.age_s)
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return generate_latest(metrics.registry)

    return app
