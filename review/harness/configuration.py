"""The operator's configuration, with the figures of the small deployment `hoeven-config`."""

__all__ = ["HOST", "KEY", "configuration", "engine_service", "plain_service", "route"]

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def configuration(routes, services):
    """Return a configuration with one tenant."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    tenants = [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def route(name, path_prefix, kind, service, timeout_ms, latency_ms, attempts, **more):
    """Return a route; `more` holds further fields."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": path_prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "latencyTargetMs": latency_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "allowAnonymous": False,
        **more,
    }


def plain_service(name):
    """Return a service without model engines."""
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def engine_service(name):
    """Return a service of model engines."""
    engine = {
        "slots": 8,
        "kvCapacityTokens": 232000,
        "kvTokenBytes": 327680,
        "linkMbps": 400000.0,
        "stride": 43,
        "models": [{"name": "m"}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00452,
        "context_per_k": 0.00431,
        "read_per_s": 206000.0,
        "pairs_per_m": 0.138,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 12331, "answer": 1303},
        "hop_ms": 0.075,
    }
    return {**plain_service(name), "maxConns": 274, "engine": engine}
