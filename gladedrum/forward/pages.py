"""The operators' pages of a box: readiness, metrics, configuration, evacuations, and others.

The table is that of weights and limits, see `gladedrum.table`. The library behind its pages is slow
to load, so they are created on first request.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from twisted.web.http import Request
from twisted.web.resource import IResource, Resource

from ..beliefs.configuration import ConfigurationFollower
from ..connections.memory_budget import MemoryBudget
from ..placing.statements import TargetStatements
from ..placing.suspicion import Suspicion
from ..platform import wire
from .box_paths import ShownPaths
from .condemned_page import CondemnedPage
from .evacuations_page import ShownHalls
from .json_page import JsonPage
from .metrics import ForwardMetrics

if TYPE_CHECKING:
    from ..table.site import TableSite

__all__ = ["box_pages"]


class _ReadyPage(Resource):
    """Answers 200 if callers may be sent here, else 503 with the reasons."""

    isLeaf = True

    def __init__(self, not_ready: Callable[[], list[str]]):
        super().__init__()
        self._not_ready = not_ready

    def render_GET(self, request: Request) -> bytes:
        reasons = self._not_ready()
        request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK)
        return "\n".join(reasons).encode()


class _MetricsPage(Resource):
    """Serves the metrics in the text format of Prometheus."""

    isLeaf = True

    def __init__(
        self,
        metrics: ForwardMetrics,
        configuration: ConfigurationFollower,
        suspicion: Suspicion,
        statements: TargetStatements,
        evacuations: Callable[[], ShownHalls],
        memory: Callable[[], MemoryBudget | None],
        paths: Callable[[], ShownPaths | None],
    ):
        super().__init__()
        self._metrics = metrics
        self._configuration = configuration
        self._suspicion = suspicion
        self._statements = statements
        self._evacuations = evacuations
        self._memory = memory
        self._paths = paths

    def render_GET(self, request: Request) -> bytes:
        status = self._configuration.status
        self._metrics.configuration_version.set(status.version)
        self._metrics.configuration_age_s.set(status.age_s)
        self._metrics.configuration_newest.set(status.newest_version)
        self._metrics.configuration_behind_s.set(status.behind_s)
        self._metrics.configuration_failed_reads.set(status.failed_reads)
        self._metrics.condemned.set(len(self._suspicion.condemned()))
        shown = self._statements.shown()
        self._metrics.rated.set(len(shown["rates"]))
        self._metrics.leaving.set(len(shown["leaving"]))
        self._metrics.cold.set(len(shown["cold"]))
        self._metrics.backing_off.set(len(shown["rests"]))
        evacuated = self._evacuations()["data_halls"]
        self._metrics.evacuated_halls.set(len(evacuated))
        self._metrics.evacuated_targets.set(sum(row["targets"] for row in evacuated))
        self._metrics.evacuated_running.set(sum(row["running"] for row in evacuated))
        self._set_memory()
        self._set_paths()
        request.setHeader("Content-Type", CONTENT_TYPE_LATEST)
        return generate_latest(self._metrics.registry)

    def _set_memory(self) -> None:
        memory = self._memory()
        self._metrics.buffer_limit.set(memory.limit if memory else 0)
        self._metrics.buffered_bytes.labels("requests").set(memory.request_bytes if memory else 0)
        self._metrics.buffered_bytes.labels("answers").set(memory.answer_bytes if memory else 0)
        self._metrics.paused_answers.set(memory.paused_count if memory else 0)

    def _set_paths(self) -> None:
        shown = self._paths()
        if shown is None:
            return
        metrics = self._metrics
        for result, count in shown["connections"].items():
            metrics.connections.labels(*result.split()).set(count)
        metrics.impaired_groups.set(len(shown["impaired"]))
        metrics.impaired_targets.set(len(shown["impaired_targets"]))
        metrics.impaired_s.set(max((row["for_s"] for row in shown["impaired"]), default=0.0))
        metrics.unconfirmed.set(shown["unconfirmed"])
        metrics.tunnels.labels("used").set(shown["tunnels_open"])
        metrics.tunnels.labels("carried").set(shown["carried"])
        metrics.tunnels_refused.set(shown["carried_refused"])
        metrics.tunnel_bytes.set(shown["carried_bytes"])


class _Pages(Resource):
    """The root page; creates the pages of the table on their first request."""

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
    configuration: ConfigurationFollower,
    suspicion: Suspicion,
    statements: TargetStatements,
    evacuations: Callable[[], ShownHalls],
    operator_token: str,
    memory: Callable[[], MemoryBudget | None] = lambda: None,
    paths: Callable[[], ShownPaths | None] = lambda: None,
) -> IResource:
    """Return the root of the operators' pages.

    Parameters
    ----------
    not_ready : callable
        Returns the reasons why callers should not be sent here, empty if the box is ready.
    make_table_site : callable
        Creates the pages of the table.
    metrics : ForwardMetrics
        The metrics to export.
    configuration : ConfigurationFollower
        Provides the version and age of the configuration.
    suspicion : Suspicion
        Provides the condemned requests.
    statements : TargetStatements
        Provides what targets state about themselves: rates, leaving, backoff, cold time.
    evacuations : callable
        Returns the evacuated data halls.
    operator_token : str
        Token required to lift a condemned request; empty forbids it.
    memory : callable
        Returns the memory budget of the callers' connections, None if it is off.
    paths : callable
        Returns the state of the paths to targets, None if there is none.
    """
    root = _Pages(make_table_site)
    _put_at_path(root, wire.READY_PATH, _ReadyPage(not_ready))
    root.putChild(
        b"metrics",
        _MetricsPage(metrics, configuration, suspicion, statements, evacuations, memory, paths),
    )
    root.putChild(b"condemned", CondemnedPage(suspicion, operator_token))
    root.putChild(b"rates", JsonPage(lambda: {"rates": statements.shown()["rates"]}))
    root.putChild(b"statements", JsonPage(statements.shown))
    root.putChild(b"evacuations", JsonPage(evacuations))
    root.putChild(b"memory", JsonPage(lambda: _shown_memory(memory())))
    root.putChild(b"paths", JsonPage(paths))
    root.putChild(b"configuration", JsonPage(lambda: _json_status(configuration)))
    return root


def _shown_memory(memory: MemoryBudget | None) -> dict[str, object]:
    """Return the state of the memory budget; only its limit, 0, if it is off."""
    return {"limit_bytes": 0} if memory is None else memory.shown()


def _json_status(configuration: ConfigurationFollower) -> dict[str, object]:
    """Return the status of the configuration; the age is null before the first one."""
    status = configuration.status._asdict()
    return status | {"age_s": status["age_s"] if configuration.in_force is not None else None}


def _put_at_path(root: Resource, path: str, page: Resource) -> None:
    """Add a page at a path of one or more segments."""
    *segments, name = path.strip("/").encode().split(b"/")
    for segment in segments:
        inner = Resource()
        root.putChild(segment, inner)
        root = inner
    root.putChild(name, page)
