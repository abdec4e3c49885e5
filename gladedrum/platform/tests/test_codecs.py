"""Input from the operator and the targets is decoded completely or rejected with a reason."""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladedrum.platform.codecs import (
    MalformedError,
    decode_configuration,
    decode_report,
    decode_target,
)
from gladedrum.platform.headers import (
    ForwardMetadata,
    answer_headers,
    forward_headers,
    parse_answer_headers,
    parse_caller_headers,
)
from gladedrum.scheduling.engine_model import EngineTraits

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1", "host": "a.example", "pathPrefix": "/x/", "kind": "streaming",
            "timeoutMs": 10000, "latencyTargetMs": 300, "priority": 1, "maxAttempts": 2,
            "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "allowAnonymous": False, "sticky": True, "resumable": True, "gap_aim_ms": 250,
        },
        {
            "name": "r2", "host": "a.example", "pathPrefix": "/x/y/", "kind": "safe",
            "service": "s2", "maxAttempts": 1,
        },
    ],
    "services": [
        {
            "name": "s1", "healthPath": "/health", "maxConns": 264,
            "engine": {
                "slots": 8, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02,
                "per_seq_ms": 0.004, "context_per_k": 0.004, "read_per_s": 206000.0,
                "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.075,
                "usual": {"prompt": 12331, "answer": 1303}, "not_known": [1, 2],
            },
        },
        {"name": "s2"},
    ],
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "headerTimeoutMs": 300,
               "idleTimeoutMs": 400},
    "tenants": [{"name": "org", "apiKeys": ["k1", "k2"], "priority": 0}, {"name": "free"}],
}  # fmt: skip


def test_configuration_is_decoded():
    table = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert table.version == 7
    route = table.find("A.example:80", "/x/2f?q=/x/y/")
    assert (route.name, route.time_limit_s, route.objective_s) == ("r1", 10.0, 0.3)
    assert (route.pause_objective_s, route.resumable, route.idempotent) == (0.25, True, True)
    assert [tuple(share) for share in route.services] == [("s1", 90), ("s2", 10)]
    assert table.find("a.example", "/x/y/z").name == "r2"
    assert table.find("a.example", "/x") is None
    assert table.find("b.example", "/x/") is None
    engine = table.services["s1"].engine
    assert engine.memory_tokens == 232000
    assert engine.step_s == pytest.approx(0.00102)
    assert engine.per_context_token_s == pytest.approx(4e-9)
    assert engine.per_pair_s == pytest.approx(1.38e-10)
    assert table.services["s2"].engine is None
    assert tuple(table.organisations["k2"]) == ("org", 0)
    assert table.limits.idle_time_s == 0.4


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_malformed_error(raw):
    for decode in (decode_configuration, decode_report, lambda raw: decode_target("t", raw)):
        with contextlib.suppress(MalformedError):
            decode(raw)


@given(st.recursive(st.none() | st.integers() | st.text(), lambda c: st.dictionaries(
    st.sampled_from(["version", "routes", "services", "limits", "service", "address", "slots"]), c
) | st.lists(c), max_leaves=8))  # fmt: skip
def test_json_of_wrong_shape_raises_only_malformed_error(value):
    raw = json.dumps(value).encode()
    for decode in (decode_configuration, decode_report, lambda raw: decode_target("t", raw)):
        with contextlib.suppress(MalformedError):
            decode(raw)


@given(
    address=st.ip_addresses(v=4),
    port=st.integers(1, 65_535),
    slots=st.integers(1, 64),
    state=st.sampled_from(["ready", "draining"]),
)
def test_target_entry_keeps_its_values_unless_its_address_is_of_no_machine(
    address, port, slots, state
):
    host = str(address)
    row = {"service": "s", "address": f"{host}:{port}", "zone": "z", "slots": slots}
    row |= {"state": state, "seq": 4, "version": "v1", "coldLeftMs": 0}
    raw = json.dumps(row).encode()
    if address.is_unspecified or address.is_multicast or host == "255.255.255.255":
        with pytest.raises(MalformedError):
            decode_target("t", raw)
        return
    entry = decode_target("t", raw)
    assert (entry.host, entry.port, entry.slots) == (host, port, slots)
    assert entry.leaving == (state == "draining")


_TOKEN = st.from_regex(rb"[a-z][a-z0-9-]{0,12}", fullmatch=True)
_VALUE = st.from_regex(rb"[!-~]{1,20}", fullmatch=True)


@given(st.lists(st.tuples(_TOKEN, _VALUE), max_size=8))
def test_end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_not(headers):
    from_caller = [
        *headers,
        (b"connection", b"x-hop, close"),
        (b"x-hop", b"1"),
        (b"helpers", b"evil"),
    ]
    sent = forward_headers(from_caller, None, ForwardMetadata("t1"))
    names = [name for name, _ in sent]
    assert b"x-hop" not in names
    assert b"helpers" not in names
    assert b"connection" not in names
    kept = [row for row in headers if row[0].startswith(b"x-") and row[0] != b"x-hop"]
    assert all(row in sent for row in kept)


@given(st.lists(st.tuples(_TOKEN | st.sampled_from([
    b"x-gladedrum-deadline-ms", b"x-gladedrum-token-usage", b"authorization", b"keep-alive",
    b"length-hint",
]), st.binary(max_size=30)), max_size=8))  # fmt: skip
def test_malformed_metadata_is_ignored(headers):
    metadata = parse_caller_headers(headers)
    assert metadata.prompt_tokens >= 0
    assert metadata.time_left_s is None or metadata.time_left_s >= 0
    parse_answer_headers(503, headers)
    answer_headers(headers)


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"x-gladedrum-not-executed", b"1")], True),
        (503, [], False),
        (500, [(b"x-gladedrum-not-executed", b"1")], False),
        (421, [], True),
        (400, [(b"x-gladedrum-not-executed", b"1")], True),
    ],
)
def test_not_run_requires_the_targets_explicit_statement(status, headers, not_run):
    assert parse_answer_headers(status, headers).not_run is not_run


@pytest.mark.parametrize(
    ("said", "cold", "lines"),
    [
        ({"coldStartS": 3.0, "coldPerS": 26.0}, (3.0, 26.0), 0),
        ({}, (0.0, 0.0), 0),
        ({"coldStartS": -1, "coldPerS": 26.0}, (0.0, 0.0), 1),
        ({"coldStartS": 3.0, "coldPerS": -26.0}, (0.0, 0.0), 1),
        ({"coldStartS": 1e9, "coldPerS": 26.0}, (0.0, 0.0), 1),
        ({"coldStartS": 3.0, "coldPerS": 1e300}, (0.0, 0.0), 1),
        ({"coldStartS": 3.0, "coldPerS": None}, (0.0, 0.0), 1),
        ({"coldStartS": "3", "coldPerS": 26.0}, (0.0, 0.0), 1),
        ({"coldStartS": 3.0, "coldPerS": True}, (0.0, 0.0), 1),
    ],
)
def test_an_impossible_cold_limit_is_ignored_and_the_configuration_kept(said, cold, lines, caplog):
    raw = json.dumps({"version": 1, "services": [{"name": "s", **said}]}).encode()
    service = decode_configuration(raw).services["s"]
    assert (service.cold_start_s, service.cold_per_s) == cold
    assert sum("cold limit" in line for line in caplog.messages) == lines


# Guards against a report that one box can read and can't tell the others.
@pytest.mark.parametrize(
    "fields",
    [{"waiting": -1}, {"waiting": 10**10}, {"running": 10**30}, {"kvUsed": 2**31},
     {"kvTotal": -5}, {"pace": -1}, {"pace": 1e300}, {"born": 10**18}],
    ids=str,
)  # fmt: skip
def test_report_with_an_impossible_number_is_rejected(fields):
    with pytest.raises(MalformedError):
        decode_report(json.dumps(fields).encode())


# Guards against figures with which each request of the service ends in a division by zero.
@pytest.mark.parametrize(
    "figures",
    [{"slots": 0}, {"stride": 0}, {"chunk": 0}, {"kvCapacityTokens": -1}, {"read_per_s": 0},
     {"step_ms": -1}, {"step_ms": 1e300}, {"slots": "8"}, {"usual": {"answer": -1}}, [], 7],
    ids=str,
)  # fmt: skip
def test_impossible_figures_of_engines_are_ignored_and_the_configuration_kept(figures, caplog):
    raw = json.dumps({"version": 1, "services": [{"name": "s", "engine": figures}]}).encode()
    assert decode_configuration(raw).services["s"].engine == EngineTraits()
    assert "figures of engines ignored" in caplog.messages


# Guards against a limit for which no timer can be set: each connection of a caller would end.
def test_times_are_such_that_timers_can_wait_for_them():
    limits = {"headerTimeoutMs": -1, "idleTimeoutMs": 1e300, "maxHeaderBytes": -1}
    route = {"name": "r", "host": "h", "pathPrefix": "/", "timeoutMs": -5, "latencyTargetMs": 1e300}
    raw = json.dumps({"version": 1, "routes": [route], "limits": limits}).encode()
    cfg = decode_configuration(raw)
    assert (cfg.limits.header_time_s, cfg.limits.idle_time_s) == (3.0, 86_400.0)
    assert (cfg.routes[0].time_limit_s, cfg.routes[0].objective_s) == (0.0, 86_400.0)
    assert cfg.limits.header_bytes == 16_384


@pytest.mark.parametrize("version", [-1, 2**63, 10**400])
def test_version_that_boxes_cannot_name_is_rejected(version):
    with pytest.raises(MalformedError):
        decode_configuration(json.dumps({"version": version}).encode())
