"""The pages of a box for its operators: readiness, metrics, condemned requests, rates, its table.

Readiness and metrics are plain resources of Twisted, so that a box is ready before the library of
the table's pages has been loaded; that happens when somebody first asks for the table.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from twisted.web.http import Request
from twisted.web.resource import IResource, Resource

from ..beliefs.configuration import ConfigurationKeeper
from ..placing.statements import TargetStatements
from ..placing.suspicion import Suspicion
from ..platform import wire
from .condemned_page import CondemnedPage
from .measures import ForwardMetrics
from .said_page import SaidPage

if TYPE_CHECKING:
    from ..table.site import TableSite

__all__ = ["box_pages"]


class _ReadyPage(Resource):
    """200 if callers may be sent here, else 503 with the reasons."""

    isLeaf = True

    def __init__(self, not_ready: Callable[[], list[str]]):
        super().__init__()
        self._not_ready = not_ready

    def render_GET(self, request: Request) -> bytes:
        reasons = self._not_ready()
        request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK)
        return "\n".join(reasons).encode()


class _MetricsPage(Resource):
    """Counters and histograms."""

    isLeaf = True

    def __init__(
        self,
        metrics: ForwardMetrics,
        configuration: ConfigurationKeeper,
        suspicion: Suspicion,
        statements: TargetStatements,
    ):
        super().__init__()
        self._metrics = metrics
        self._configuration = configuration
        self._suspicion = suspicion
        self._statements = statements

    def render_GET(self, request: Request) -> bytes:
        known = self._configuration.table
        self._metrics.configuration_version.set(known.version if known else -1)
        self._metrics.configuration_age_s.set(self._configuration.age_s)
        self._metrics.condemned.set(len(self._suspicion.condemned()))
        said = self._statements.shown()
        self._metrics.rated.set(len(said["rates"]))
        self._metrics.leaving.set(len(said["leaving"]))
        self._metrics.resting.set(len(said["rests"]))
        request.setHeader("Content-Type", CONTENT_TYPE_LATEST)
        return generate_latest(self._metrics.registry)


class _Pages(Resource):
    """The root; makes the table's pages when they are first asked for."""

    def __init__(self, make_table_site: Callable[[], "TableSite"]):
        super().__init__()
        self._make_table_site = make_table_site

    def getChild(self, path: bytes, request: Request) -> IResource:
        if path != b"table":
            return super().getChild(path, request)
        table = self._make_table_site().app.resource()
        self.putChild(b"table", table)
        return table


def box_pages(
    not_ready: Callable[[], list[str]],
    make_table_site: Callable[[], "TableSite"],
    metrics: ForwardMetrics,
    configuration: ConfigurationKeeper,
    suspicion: Suspicion,
    statements: TargetStatements,
    operator_token: str,
) -> IResource:
    """Return the pages.

    Parameters
    ----------
    not_ready : callable
        Returns the reasons why callers should not be sent here; none if it is ready.
    make_table_site : callable
        Makes the pages of the table.
    metrics : ForwardMetrics
        Counters and histograms.
    configuration : ConfigurationKeeper
        Whose version and age are measured when the metrics are read.
    suspicion : Suspicion
        Knows which requests are condemned.
    statements : TargetStatements
        Knows what targets say of themselves.
    operator_token : str
        What lifting one must carry; empty allows none.
    """
    root = _Pages(make_table_site)
    _put(root, wire.READY_PATH, _ReadyPage(not_ready))
    root.putChild(b"metrics", _MetricsPage(metrics, configuration, suspicion, statements))
    root.putChild(b"condemned", CondemnedPage(suspicion, operator_token))
    root.putChild(b"rates", SaidPage(lambda: {"rates": statements.shown()["rates"]}))
    root.putChild(b"statements", SaidPage(statements.shown))
    return root


def _put(root: Resource, path: str, page: Resource) -> None:
    """Put a page at a path of several segments."""
    *folders, name = path.strip("/").encode().split(b"/")
    for folder in folders:
        inner = Resource()
        root.putChild(folder, inner)
        root = inner
    root.putChild(name, page)
