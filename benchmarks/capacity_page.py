"""Generates the figures of docs/CAPACITY.md from the benchmark results.

``python -m benchmarks.capacity_page`` writes them between two markers in the page; ``--check``
fails if the page and the results disagree.
"""

import argparse
import sys
from pathlib import Path
from typing import NamedTuple

from benchmarks.measure import load

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_BEGIN, _END = "<!-- figures: begin -->", "<!-- figures: end -->"

CPU_LIMIT_S, MEMORY_LIMIT_MB, BYTES_LIMIT = 0.027, 32.0, 11_000.0
"""Limits for the control work of a box: processor time per second, memory, and bytes per second."""

_QUOTES = 3
"""Number of quotes that a box requests to place a request."""

_KEYED_SHARE = 0.1
"""Share of the requests that have an idempotency key."""

_QUEUE_LENGTH = 8
"""Number of requests that wait at an owner."""

_RENEWALS_PER_S = 4 / 30
"""Renewals per second for each running request."""

_RUNNING_S = 20.0
"""Mean duration of a request, in seconds."""

_CLAIM_SHARDS, _COMMITS_PER_S = 16, 10
"""Number of claim shards, and of group commits of a shard per second."""

_DAY_S = 86_400.0


class Size(NamedTuple):
    """The size and load of a fleet, for which the figures are extrapolated."""

    name: str
    boxes: int
    targets: int
    requests_per_s: float
    tokens_per_s: float
    rows: int
    models: int
    halls: int
    changes_per_day: float
    list_changes_per_day: float


TWO_YEARS = Size("two years", 400, 600, 2_700, 1.1e6, 1_300, 7, 5, 3_000, 200)
TODAY = Size("today", 8, 18, 5, 2_000, 20, 2, 3, 20, 10)


class Row(NamedTuple):
    """Cost of one role for one box, per second; `carried_by` names what limits the cost."""

    role: str
    cpu_s: float
    bytes_per_s: float
    carried_by: str


def _at(line: dict, x: float) -> float:
    return line["intercept"] + line["slope"] * x


def control_rows(size: Size) -> list[Row]:
    """Return the control cost of one box for each role."""
    roles, idle = load("capacity_roles"), load("capacity_idle")
    per_box = size.requests_per_s / size.boxes
    calls, owner = roles["calls"], roles["owner"]
    call_s = calls["quote_call_s"]["slope"]
    owned = size.targets / size.boxes
    engines = size.targets / size.models
    remote = 1 - 1 / size.boxes
    # Each box makes calls for its own requests and answers as many calls of other boxes.
    rpc_s = per_box * remote * (_QUOTES + 1 + 2 * 0.5) * call_s
    sent_bytes = (_QUOTES + 1) * calls["call_bytes"] + 2 * calls["one_way_bytes"]
    rpc_bytes = 2 * per_box * remote * sent_bytes
    quote_s, pump_s = _at(owner["quote_s"], _QUEUE_LENGTH), _at(owner["pump_s"], _QUEUE_LENGTH)
    decisions_s = per_box * ((_QUOTES + 1) * quote_s + 3 * pump_s)
    choose_s = per_box * _at(roles["candidates"]["short_s"], engines)
    renewed = per_box * _RUNNING_S * _RENEWALS_PER_S
    change = roles["membership"]["change_s_per_box_and_target"]
    change_s = _at(change, size.boxes * size.targets)
    list_bytes = _at(roles["membership"]["bytes_per_target"], size.targets)
    list_changes = size.list_changes_per_day / _DAY_S
    edits = size.changes_per_day / _DAY_S
    edit = roles["table"]["rows"][-1]
    claim_s = roles["claims"]["rows"][1]["cpu_s_per_claim"]
    idle_cpu = idle["cpu_share_without_engines_by_boxes"]
    idle_bytes = idle["bytes_per_s_without_engines_by_boxes"]
    return [
        Row("entry: choice of candidates", choose_s, 0.0, "rendezvous hashing, a few asked"),
        Row("peers: quotes and reservations", rpc_s, rpc_bytes, "one owner a target"),
        Row("owner: decisions", decisions_s, 0.0, "pure functions, bounded queues"),
        Row(
            "owner: polls of its targets",
            idle["cpu_share_per_engine"]["slope"] * owned,
            idle["bytes_per_s_per_engine"]["slope"] * owned,
            "one owner polls, nobody else",
        ),
        Row(
            "entry: renewals",
            renewed * call_s / 2,
            renewed * calls["one_way_bytes"] * 2,
            "names only, one message a box",
        ),
        Row(
            "table, list, ticks, heartbeats (idle)",
            idle_cpu["intercept"],
            idle_bytes["intercept"],
            "a few watchers a data hall, pulls; list sent only when changed",
        ),
        Row("table: edits", edits * edit["edit_s"], edits * edit["edit_bytes"], "edits travel"),
        Row(
            "peers: changes of the list",
            list_changes * change_s,
            list_changes * list_bytes,
            "owners found anew only on a change",
        ),
        Row(
            "claims", per_box * _KEYED_SHARE * 2 * claim_s, per_box * _KEYED_SHARE * 2 * 400,
            "group commit by shard",
        ),
    ]  # fmt: skip


def _size_table(size: Size) -> list[str]:
    rows = control_rows(size)
    cpu_s, traffic = sum(r.cpu_s for r in rows), sum(r.bytes_per_s for r in rows)
    memory_mb = _control_memory_mb()
    lines = [f"### Control per box, {size.name}", ""]
    lines += [
        "| role | ms of a core a second | bytes/s | carried by |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r.role} | {r.cpu_s * 1e3:.2f} | {r.bytes_per_s:.0f} | {r.carried_by} |" for r in rows
    ]
    lines += [
        f"| **sum** | **{cpu_s * 1e3:.1f}** of {CPU_LIMIT_S * 1e3:.0f} |"
        f" **{traffic:.0f}** of {BYTES_LIMIT:.0f} | memory: **{memory_mb:.1f} MB**"
        f" of {MEMORY_LIMIT_MB:.0f} |",
        "",
    ]
    return lines


def _control_memory_mb() -> float:
    """Return the memory of a box under load without that of its libraries, in MB."""
    overhead, roles = load("box_overhead"), load("capacity_roles")
    table = roles["table"]["rows"][-1]["resident_bytes"]
    state = overhead["resident_bytes_after"] - roles["resident_bytes_at_start"]
    return (max(0, state) + max(0, table)) / 1e6


def _serving(size: Size) -> list[str]:
    overhead = load("box_overhead")
    requests, tokens = size.requests_per_s / size.boxes, size.tokens_per_s / size.boxes
    request_s = requests * overhead["cpu_s_per_request"]
    token_s = tokens * overhead["cpu_s_per_token"]
    return [
        f"| {size.name} | {requests:.2f} | {tokens:.0f} | {request_s * 1e3:.0f} |"
        f" {token_s * 1e3:.0f} | {(request_s + token_s) * 100:.0f}% |"
    ]


def _kv(size: Size) -> list[str]:
    idle = load("capacity_idle")
    watchers = 2 * size.halls
    rereads = watchers / 30
    keyed = size.requests_per_s * _KEYED_SHARE * 2
    alone = min(keyed, size.boxes * (size.requests_per_s / size.boxes) * _KEYED_SHARE * 2)
    gathered = min(keyed, _CLAIM_SHARDS * _COMMITS_PER_S)
    slope = idle["kv_reads_per_s_by_boxes"]["slope"]
    return [
        f"| {size.name} | {watchers} | {rereads:.2f} | {size.changes_per_day / _DAY_S:.3f} |"
        f" {alone:.0f} | {gathered:.0f} |",
        f"<!-- measured slope of KV reads: {slope:.4f} a second for each box -->",
    ]


def _bad_days(size: Size) -> list[str]:
    roles = load("capacity_roles")
    owned = size.targets / size.boxes
    running = size.requests_per_s * _RUNNING_S
    change = roles["membership"]["change_s_per_box_and_target"]
    change_s = _at(change, size.boxes * size.targets)
    hall_boxes, hall_targets = size.boxes / size.halls, size.targets / size.halls
    rack = 10
    per_target = running / size.targets

    def moved(boxes: float) -> str:
        """Describe what the loss of a number of boxes causes."""
        targets = boxes * owned
        return (
            f"{targets:.0f} targets get new owners; {targets * per_target:.0f} renewals in all, "
            f"{targets * per_target / size.boxes:.1f} a box; each box finds owners anew in "
            f"{change_s * 1e3:.0f} ms"
        )

    return [
        f"| a rack of {rack} boxes | {moved(rack)} |",
        f"| a data hall | {moved(hall_boxes)}; {hall_targets:.0f} targets are gone |",
        f"| 75 restarts a day | each as a rack of one box: {moved(1)} |",
        "| regions parted | each side takes the other's boxes for lost; owners stand in the "
        "target's own data hall, so owners that still run keep their targets |",
        "| the KV down for an hour | no messages more: edits and keyed requests are refused at "
        f"once, {size.requests_per_s * _KEYED_SHARE * 3_600:.0f} of the latter at 10% keyed; "
        "watchers try again about once a second |",
    ]


def figures() -> str:
    """Return the generated part of the page."""
    lines = [_BEGIN, ""]
    lines += [*_size_table(TWO_YEARS), *_size_table(TODAY)]
    lines += ["### Serving per box (callers' and targets' HTTP, tokens relayed)", ""]
    lines += ["| size | requests/s | tokens/s | ms/s for requests | ms/s for tokens | of a core |"]
    lines += ["| --- | --- | --- | --- | --- | --- |"]
    lines += [*_serving(TWO_YEARS), *_serving(TODAY), ""]
    lines += ["### Calls to the key-value service, a second, all boxes", ""]
    lines += ["| size | waiting watches | table reads | edits | claim writes, each box alone |"
              " claim writes, gathered by shard, not built |"]  # fmt: skip
    lines += ["| --- | --- | --- | --- | --- | --- |", *_kv(TWO_YEARS), *_kv(TODAY), ""]
    lines += ["### Bad days, two years", "", "| what | cost |", "| --- | --- |"]
    lines += [*_bad_days(TWO_YEARS), "", "### The slopes", ""]
    lines += [*_slopes(), "", _END]
    return "\n".join(lines)


def _slopes() -> list[str]:
    roles, idle, overhead = load("capacity_roles"), load("capacity_idle"), load("box_overhead")

    def row(what: str, line: dict, unit: str, scale: float = 1e6) -> str:
        return (
            f"| {what} | {line['intercept'] * scale:.2f} | {line['slope'] * scale:.4f} |"
            f" {unit} | {line['spread'] * 100:.0f}% |"
        )

    request = {
        "intercept": overhead["cpu_s_per_request"],
        "slope": overhead["cpu_s_per_token"],
        "spread": overhead["spread"],
    }
    return [
        "| what | intercept | slope | unit | spread |",
        "| --- | --- | --- | --- | --- |",
        row("a request, by answer tokens", request, "us, us/token"),
        row("a quote, by waiting requests", roles["owner"]["quote_s"], "us, us/waiting"),
        row("a pump, by waiting requests", roles["owner"]["pump_s"], "us, us/waiting"),
        row("candidates, by engines", roles["candidates"]["short_s"], "us, us/engine"),
        row("calls between boxes, both sides", roles["calls"]["quote_call_s"], "us, us/call"),
        row(
            "a change of the list, by boxes x targets",
            roles["membership"]["change_s_per_box_and_target"],
            "us, us/pair",
        ),
        row("a table edit, by rows", roles["table"]["edit_s"], "us, us/row"),
        row("the table's bytes, by rows", roles["table"]["snapshot_bytes"], "bytes, /row", 1),
        row("idle core share, by engines", idle["cpu_share_per_engine"], "us/s, /engine"),
        row("idle bytes, by engines", idle["bytes_per_s_per_engine"], "bytes/s, /engine", 1),
        row(
            "idle core share without engines, by boxes",
            idle["cpu_share_without_engines_by_boxes"],
            "us/s, /box",
        ),
        row(
            "idle bytes without engines, by boxes",
            idle["bytes_per_s_without_engines_by_boxes"],
            "bytes/s, /box",
            1,
        ),
        row("KV reads, by boxes", idle["kv_reads_per_s_by_boxes"], "reads/s, /box", 1),
    ]


def main() -> int:
    """Update the page, or check that it is up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare without writing")
    args = parser.parse_args()
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(_BEGIN)
    _, _, after = rest.partition(_END)
    updated = before + figures() + after
    if args.check:
        if updated != text:
            print(f"{PAGE} and benchmarks/results disagree: run python -m benchmarks.capacity_page")
            return 1
        print(f"{PAGE.name} agrees with the results")
        return 0
    PAGE.write_text(updated, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
