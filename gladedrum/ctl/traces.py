"""``gladedrumctl trace``, ``replay``, ``compare``: replays workloads and compares policies.

A trace is a file of requests and their times here; it has nothing to do with OpenTelemetry.
"""

import argparse
import sys

from ..replay import (
    LocalFleet,
    Workload,
    compare_locally,
    comparison_rows,
    draw_comparison,
    make_trace,
    read_trace,
    replay_live,
    replay_metrics,
    write_trace,
)
from ..replay.compare import COMPARISON_HEADING, SUMMARY_HEADING, summary_rows
from ..scheduling import QueueEngineTraits, policy, policy_names
from ..standins.engine_core import EngineSpec
from .command import Command, ExitCode, print_json, print_table

__all__ = ["COMMANDS"]


def _add_make(parser: argparse.ArgumentParser) -> None:
    default = Workload()
    add = parser.add_argument
    add("file", metavar="TRACE", help="file to write")
    add("--seed", type=int, default=default.seed, help="seed of the random generator")
    add("--seconds", type=float, default=default.duration_s, help="length of the trace")
    add(
        "--engines",
        type=int,
        default=default.engines,
        help="number of engines that the load is scaled to",
    )
    add(
        "--load",
        type=float,
        default=default.load,
        help="share of the engines' time that the load takes",
    )
    add("--organisations", type=int, default=default.organisations, help="number of organisations")
    add("--longest", type=int, default=default.longest_tokens, help="longest prompt in tokens")


async def _make(args: argparse.Namespace, reactor) -> ExitCode:
    workload = Workload(
        seed=args.seed,
        duration_s=args.seconds,
        engines=args.engines,
        load=args.load,
        traits=QueueEngineTraits(EngineSpec().memory_tokens),
        organisations=args.organisations,
        longest_tokens=args.longest,
    )
    rows = make_trace(workload)
    write_trace(args.file, rows)
    print(f"{args.file}: {len(rows)} requests")
    return ExitCode.OK


def _add_compare(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add(
        "policies",
        nargs="+",
        metavar="POLICY",
        help=f"policies to compare, of {', '.join(policy_names())}",
    )
    add("--trace", metavar="TRACE", help="the trace; default: a trace of the default workload")
    add("--engines", type=int, default=18, help="number of engines in the fleet")
    add("--lose", type=int, default=0, metavar="ENGINES", help="number of engines that fail")
    add("--lose-at", type=float, default=60.0, metavar="SECONDS", help="time of their failure")
    add("--picture", metavar="FILE.png", help="also draw the comparison to a file")


async def _compare(args: argparse.Namespace, reactor) -> ExitCode:
    for name in args.policies:
        # Fail on an unknown name before the first replay.
        policy(name)
    rows = read_trace(args.trace) if args.trace else make_trace(Workload(engines=args.engines))
    fleet = LocalFleet(args.engines, lost_engines=args.lose, lost_at_s=args.lose_at)
    results = compare_locally(
        rows, args.policies, fleet, lambda name: print(f"replaying {name}", file=sys.stderr)
    )
    if args.picture:
        draw_comparison(results, args.picture)
    _show(args, results)
    return ExitCode.OK


def _add_replay(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("trace", metavar="TRACE", help="the trace")
    add(
        "--callers",
        action="append",
        metavar="URL",
        help="callers' address of a box; may be repeated; default http://127.0.0.1:8080",
    )
    add("--model", default="standin", help="model that the requests name")
    add("--speed", type=float, default=1.0, help="seconds of the trace replayed per second")


async def _replay(args: argparse.Namespace, reactor) -> ExitCode:
    rows = read_trace(args.trace)
    urls = args.callers or ["http://127.0.0.1:8080"]
    records = await replay_live(rows, urls, args.model, reactor, args.speed)
    results = [replay_metrics("live", records, [])]
    _show(args, results)
    failed = any(record.outcome == "failed" for record in records)
    return ExitCode.FAILED if failed else ExitCode.OK


def _show(args: argparse.Namespace, results: list) -> None:
    if args.json:
        print_json(results)
        return
    print_table(COMPARISON_HEADING, comparison_rows(results))
    print()
    print_table(SUMMARY_HEADING, summary_rows(results))


COMMANDS = [
    Command("trace make", "Generate a trace of the default workload.", _add_make, _make),
    Command("replay", "Replay a trace against running boxes.", _add_replay, _replay),
    Command(
        "compare", "Compare policies on a trace, with simulated engines.", _add_compare, _compare
    ),
]
"""The commands of this module."""
