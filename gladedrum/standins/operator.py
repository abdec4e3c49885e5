"""The configuration in the form in which the operator writes it to the platform's store."""

import json

from ..platform import wire
from ..routes import Configuration, Route, Service
from ..scheduling.engine_model import EngineTraits

__all__ = ["CONFIGURATION_KEY", "configuration_bytes"]

CONFIGURATION_KEY = wire.CONFIGURATION_KEY
"""Store key of the current configuration."""

_MS_PER_S = 1000
"""For the configuration's time fields, which are in milliseconds."""


def configuration_bytes(table: Configuration) -> bytes:
    """Return `table` encoded as the operator's JSON configuration."""
    keys_by_organisation: dict[str, list[str]] = {}
    for key, organisation in table.organisations.items():
        keys_by_organisation.setdefault(organisation.name, []).append(key)
    return json.dumps(
        {
            "version": table.version,
            "routes": [_route(route) for route in table.routes],
            "services": [_service(service) for service in table.services.values()],
            "tenants": [
                {"name": name, "apiKeys": api_keys}
                for name, api_keys in keys_by_organisation.items()
            ],
            "limits": {
                "maxHeaderBytes": table.limits.header_bytes,
                "maxBodyBytes": table.limits.body_bytes,
                "headerTimeoutMs": table.limits.header_time_s * _MS_PER_S,
                "idleTimeoutMs": table.limits.idle_time_s * _MS_PER_S,
            },
        }
    ).encode()


def _route(route: Route) -> dict[str, object]:
    kind = "streaming" if route.streaming else "safe" if route.repeatable else "unsafe"
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": kind,
        "resumable": route.resumable,
        "timeoutMs": route.time_limit_s * _MS_PER_S,
        "latencyTargetMs": route.objective_s * _MS_PER_S,
        "gap_aim_ms": route.pause_objective_s * _MS_PER_S,
        "priority": route.rank,
        "maxAttempts": route.max_targets,
        "allowAnonymous": route.anonymous,
        "trafficSplit": [
            {"service": share.service, "weight": share.weight} for share in route.services
        ],
    }


def _service(service: Service) -> dict[str, object]:
    cold = {"coldStartS": service.cold_start_s, "coldPerS": service.cold_per_s}
    return {"name": service.name, **_engine(service.engine), **cold}


def _engine(traits: EngineTraits | None) -> dict[str, object]:
    if traits is None:
        return {}
    engine = {
        "slots": traits.slots,
        "kvCapacityTokens": traits.memory_tokens,
        "stride": traits.stride,
        "step_ms": traits.step_s * _MS_PER_S,
        "per_seq_ms": traits.per_writer_s * _MS_PER_S,
        "context_per_k": traits.per_context_token_s * _MS_PER_S * 1000,
        "read_per_s": traits.read_tokens_per_s,
        "pairs_per_m": traits.per_pair_s * _MS_PER_S * 1e6,
        "chunk": traits.chunk,
        "report_lag_ms": traits.report_lag_s * _MS_PER_S,
        "hop_ms": traits.hop_s * _MS_PER_S,
        "usual": {"answer": traits.usual_answer},
    }
    return {"engine": engine}
