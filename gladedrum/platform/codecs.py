"""Decoders for the operator's configuration and for entries, reports and answers of targets.

All raise `MalformedError` for bytes that do not follow the platform's formats, except
`decode_start_time`. The `msgspec` structs mirror the JSON; callers get this package's own types.
"""

import logging
from typing import Annotated, Literal

import msgspec

from ..errors import GladedrumError
from ..fleet import MAX_COLD_S, TargetEntry, TargetReport
from ..fleet.checks import MAX_BORN, MAX_SLOTS, fault_of
from ..routes import CallerLimits, Configuration, Organisation, Route, Service, ServiceShare
from ..scheduling.engine_model import EngineTraits
from ..utils.validation import MAX_INT32, MAX_INT64, split_address
from .orders import CallKind

__all__ = ["MalformedError", "decode_configuration", "decode_report", "decode_target"]
__all__ += ["answers_call", "decode_start_time"]

_MS_PER_S = 1000.0

_MAX_SHOWN_LENGTH = 40
"""Characters of a malformed value that a message shows."""

_MAX_COLD_PER_S = 1e6
"""Upper limit of the requests per second that a cold target can take; a higher one is a mistake."""

_log = logging.getLogger(__name__)

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_PositiveInt = Annotated[int, msgspec.Meta(gt=0, le=MAX_INT32)]

_MAX_FIGURE = 1e12
_Figure = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
"""A performance figure of an engine; requests divide by sums of these."""

_MAX_TIME_S = 86_400.0
"""Longest time limit or objective, in seconds; a longer one is shortened to it."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT32)]

_MAX_PACE = 1e6
"""Slowest pace of a target that a report can state; one that stands still sends no report."""

_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN)]
"""Milliseconds since 1970."""


class MalformedError(GladedrumError):
    """Bytes from the platform or a target do not follow the protocol."""


class _Share(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str = "unsafe"
    timeout_ms: float = 30_000.0
    latency_target_ms: float = 1_000.0
    priority: int = 5
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    resumable: bool = False
    # The only key of a route that the platform does not write in camel case.
    gap_aim_ms: float = msgspec.field(default=1_000.0, name="gap_aim_ms")


class _Typical(msgspec.Struct):
    answer: _Figure = EngineTraits().usual_answer


class _Engine(msgspec.Struct):
    """Performance figures of a service's engines; `EngineTraits` explains them."""

    slots: _PositiveInt = 8
    kv_capacity_tokens: _PositiveInt = msgspec.field(default=232_000, name="kvCapacityTokens")
    stride: _PositiveInt = 1
    step_ms: _Figure = 1.0
    per_seq_ms: _Figure = 0.0
    context_per_k: _Figure = 0.0
    """Milliseconds per decoding step and 1,000 tokens of context."""
    read_per_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_FIGURE)] = 200_000.0
    pairs_per_m: _Figure = 0.0
    """Prefill: milliseconds per million pairs of a token and an earlier one."""
    chunk: _PositiveInt = 2048
    report_lag_ms: _Figure = 200.0
    hop_ms: _Figure = 0.0
    usual: _Typical = msgspec.field(default_factory=_Typical)


class _Service(msgspec.Struct):
    name: str
    # Of any type, so that a wrong one does not reject the configuration; see `_service`.
    engine: object = None
    cold_start_s: object = msgspec.field(default=0.0, name="coldStartS")
    cold_per_s: object = msgspec.field(default=0.0, name="coldPerS")


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = CallerLimits().header_bytes
    max_body_bytes: int = CallerLimits().body_bytes
    header_timeout_ms: float = CallerLimits().header_time_s * _MS_PER_S
    idle_timeout_ms: float = CallerLimits().idle_time_s * _MS_PER_S


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    # Boxes tell each other the version in a field of 64 bits.
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Entry(msgspec.Struct, rename="camel"):
    """A target's entry in the store.

    Other programs may write under the same prefix. All fields that a target writes are therefore
    validated, including the unused ones.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    seq: _NonNegativeInt
    born: _UnixMs = 0
    """Start time of the target's process, in Unix milliseconds; 0 if unknown."""


class _Ticket(msgspec.Struct):
    id: str
    tokens: int = 0
    state: str = ""


class _Report(msgspec.Struct, rename="camel"):
    """A target's report; boxes tell each other its numbers in fields of 32 bits."""

    waiting: _Count = 0
    running: _Count = 0
    kv_used: _Count = 0
    kv_total: _Count = 0
    pace: Annotated[float, msgspec.Meta(ge=0, le=_MAX_PACE)] = 1.0
    tickets: list[_Ticket] = []
    born: _UnixMs = 0
    """As in `_Entry`."""


class _OrderAnswer(msgspec.Struct):
    """A target's answer to a reserve or release order."""

    born: _UnixMs = 0
    """As in `_Entry`."""


_configuration = msgspec.json.Decoder(_Configuration)
_entry = msgspec.json.Decoder(_Entry)
_report = msgspec.json.Decoder(_Report)
_order_answer = msgspec.json.Decoder(_OrderAnswer)


def decode_configuration(raw: bytes) -> Configuration:
    """Decode the operator's configuration; raises `MalformedError`."""
    cfg = _decode(_configuration, raw)
    return Configuration(
        version=cfg.version,
        routes=tuple(_route(row) for row in cfg.routes),
        services={row.name: _service(row) for row in cfg.services},
        organisations={
            key: Organisation(row.name, row.priority) for row in cfg.tenants for key in row.api_keys
        },
        limits=_limits(cfg.limits),
    )


def decode_target(name: str, raw: bytes) -> TargetEntry:
    """Decode a target's entry in the store; raises `MalformedError`."""
    row = _decode(_entry, raw)
    host, port = _address(row.address)
    leaving = row.state != "ready"
    # An impossible time is ignored: without its entry the target would get no requests at all.
    cold_left_s = row.cold_left_ms / _MS_PER_S
    cold_left_s = cold_left_s if cold_left_s <= MAX_COLD_S else None
    entry = TargetEntry(
        name, row.service, host, port, row.zone, row.slots, leaving, row.born, cold_left_s
    )
    if fault := fault_of(entry):
        raise MalformedError(fault)
    return entry


def decode_report(raw: bytes) -> TargetReport:
    """Decode a target's load report; raises `MalformedError`."""
    row = _decode(_report, raw)
    return TargetReport(
        waiting=row.waiting,
        running=row.running,
        memory_used=row.kv_used,
        memory_tokens=row.kv_total,
        pace=row.pace,
        reservations=tuple(ticket.id for ticket in row.tickets),
        born=row.born,
    )


def answers_call(kind: CallKind, raw: bytes, is_framed: bool = True) -> bool:
    """Whether the body of a success may be a target's answer to a call of this kind.

    Answers to calls name no request, so a late one to another call shows by its fields only. One
    that is not framed, as only the end of its connection ends it, may have been cut: it has to be a
    whole object, which marks its own end.
    """
    try:
        row = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return is_framed
    if not isinstance(row, dict):
        return is_framed
    is_report, is_order = "kvTotal" in row, "free" in row
    return is_report or not is_order if kind is CallKind.REPORT else not is_report


def decode_start_time(raw: bytes) -> int:
    """Return the process start time in a target's answer to an order, 0 if it has none."""
    try:
        return _decode(_order_answer, raw).born
    except MalformedError:
        return 0


def _address(text: str) -> tuple[str, int]:
    """Split IP:PORT into host and port; raises `MalformedError`."""
    try:
        return split_address(text)
    except ValueError as exc:
        raise MalformedError(f"address {text[:_MAX_SHOWN_LENGTH]!r}: {exc}") from exc


def _decode(decoder: msgspec.json.Decoder, raw: bytes):
    try:
        return decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedError(str(exc)) from exc


def _route(row: _Route) -> Route:
    shares = tuple(ServiceShare(share.service, share.weight) for share in row.traffic_split)
    return Route(
        name=row.name,
        host=row.host,
        path_prefix=row.path_prefix,
        services=shares or (ServiceShare(row.service, 1.0),),
        repeatable=row.kind == "safe",
        streaming=row.kind == "streaming",
        resumable=row.resumable,
        time_limit_s=_time_s(row.timeout_ms),
        objective_s=_time_s(row.latency_target_ms),
        pause_objective_s=_time_s(row.gap_aim_ms),
        rank=row.priority,
        max_targets=row.max_attempts,
        anonymous=row.allow_anonymous,
    )


def _limits(row: _Limits) -> CallerLimits:
    """Return the limits on callers; with a limit of zero or less no request could be read."""
    usual = CallerLimits()
    return CallerLimits(
        row.max_header_bytes if row.max_header_bytes > 0 else usual.header_bytes,
        row.max_body_bytes if row.max_body_bytes >= 0 else usual.body_bytes,
        _time_s(row.header_timeout_ms) or usual.header_time_s,
        _time_s(row.idle_timeout_ms) or usual.idle_time_s,
    )


def _time_s(time_ms: float) -> float:
    """Return a time limit or objective in seconds, such that a timer can wait for it."""
    return min(max(0.0, time_ms / _MS_PER_S), _MAX_TIME_S)


def _service(row: _Service) -> Service:
    """Return a service; impossible figures of engines and cold limits are logged and ignored.

    Rejecting the whole configuration for it would take the service of all routes away.
    """
    limits = ((row.cold_start_s, MAX_COLD_S), (row.cold_per_s, _MAX_COLD_PER_S))
    if not all(_is_number_up_to(most, value) for value, most in limits):
        said = {"cold_start_s": str(row.cold_start_s), "cold_per_s": str(row.cold_per_s)}
        _log.warning("cold limit of service ignored", extra={"service": row.name, **said})
        return Service(row.name, _traits(row))
    return Service(row.name, _traits(row), float(row.cold_start_s), float(row.cold_per_s))


def _is_number_up_to(most: float, value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= most


def _traits(service: _Service) -> EngineTraits | None:
    if service.engine is None:
        return None
    try:
        row = msgspec.convert(service.engine, _Engine)
    except msgspec.ValidationError as exc:
        extra = {"service": service.name, "reason": str(exc)}
        _log.warning("figures of engines ignored", extra=extra)
        return EngineTraits()
    return EngineTraits(
        slots=row.slots,
        memory_tokens=row.kv_capacity_tokens,
        step_s=row.step_ms / _MS_PER_S,
        per_writer_s=row.per_seq_ms / _MS_PER_S,
        per_context_token_s=row.context_per_k / _MS_PER_S / 1000,
        read_tokens_per_s=row.read_per_s,
        per_pair_s=row.pairs_per_m / _MS_PER_S / 1e6,
        chunk=row.chunk,
        stride=row.stride,
        hop_s=row.hop_ms / _MS_PER_S,
        report_lag_s=row.report_lag_ms / _MS_PER_S,
        usual_answer=row.usual.answer,
    )
