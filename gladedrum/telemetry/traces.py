"""OpenTelemetry traces: a span for each hop, propagated in the ``traceparent`` header."""

import threading
from collections.abc import Sequence

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import NoOpTracer, Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..config import Item, Settings

__all__ = [
    "TRACE_ENDPOINT",
    "TRACE_EXPORTER",
    "TRACE_PATH",
    "TRACE_RATIO",
    "Traces",
    "context_from_header",
    "header_of_span",
]

TRACE_EXPORTER = Item(
    "traces", "exporter", "none", "Where spans go.", choices=("none", "file", "otlp")
)
TRACE_PATH = Item(
    "traces", "path", "/dev/stderr", "The file that spans are appended to, as JSON lines."
)
TRACE_ENDPOINT = Item(
    "traces", "endpoint", "http://127.0.0.1:4318/v1/traces", "The collector's URL, OTLP over HTTP."
)
TRACE_RATIO = Item(
    "traces", "ratio", 1.0, "The share of requests that is traced when the caller does not decide.",
    minimum=0, maximum=1,
)  # fmt: skip

_EXPORT_DELAY_MS = 1_000
_propagator = TraceContextTextMapPropagator()


class _FileExporter(SpanExporter):
    """Appends spans to a file as JSON lines."""

    def __init__(self, path: str):
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115 - closed in shutdown
        self._lock = threading.Lock()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        with self._lock:
            self._file.writelines(span.to_json(indent=None) + "\n" for span in spans)
            self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._file.close()


class Traces:
    """The tracer of a process and its exporter.

    Parameters
    ----------
    cfg : Settings
        Read for the ``[traces]`` section.
    service : str
        The ``service.name`` of the spans.
    box : str
        The ``service.instance.id`` of the spans.
    """

    def __init__(self, cfg: Settings, service: str, box: str):
        self._provider: TracerProvider | None = None
        self.tracer: Tracer = NoOpTracer()
        exporter = _make_exporter(cfg)
        if exporter is None:
            return
        resource = Resource({"service.name": service, "service.instance.id": box})
        sampler = ParentBased(TraceIdRatioBased(cfg.get(TRACE_RATIO)))
        self._provider = TracerProvider(resource=resource, sampler=sampler, shutdown_on_exit=False)
        self._provider.add_span_processor(
            BatchSpanProcessor(exporter, schedule_delay_millis=_EXPORT_DELAY_MS)
        )
        self.tracer = self._provider.get_tracer("gladedrum")

    def shutdown(self) -> None:
        """Export buffered spans and stop."""
        if self._provider is not None:
            self._provider.shutdown()


def _make_exporter(cfg: Settings) -> SpanExporter | None:
    match cfg.get(TRACE_EXPORTER):
        case "file":
            return _FileExporter(cfg.get(TRACE_PATH))
        case "otlp":
            # Imported here because it is the only user of another HTTP library.
            from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

            return OTLPSpanExporter(endpoint=cfg.get(TRACE_ENDPOINT))
        case _:
            return None


def context_from_header(traceparent: str | None) -> Context:
    """Return the context of a ``traceparent`` header; an empty one without a header."""
    return _propagator.extract({"traceparent": traceparent} if traceparent else {}, Context())


def header_of_span(span: Span) -> str:
    """Return the ``traceparent`` header that propagates `span`; empty if its context is invalid."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, set_span_in_context(span, Context()))
    return carrier.get("traceparent", "")
