"""``python -m soak``: run seeds and report the promises that were violated."""

import argparse
import random
import shutil
import sys
import time
import traceback
from collections.abc import Sequence
from pathlib import Path

from twisted.internet import reactor

from gladedrum.utils import sleep, start, use_elapsed_clock

from .boxes import ANSWER_BUFFER_MB, FREE_BOUND_S
from .callers import (
    Caller,
    DeadlyCaller,
    DeadlyPartCaller,
    PiecesCaller,
    SlowCaller,
    StreamCaller,
    UnmarkedCaller,
)
from .editor import TableEditor
from .faults import FaultInjector
from .fleet import Fleet
from .history import History, read_target_notes
from .plan import FleetSize, TargetsPaused, has_ends_of_carriers, make_plan
from .promises import RECOVERY_BOUND_S, Violation, check_all
from .regressions import REGRESSIONS

LENGTH_S = 20.0
"""Default duration of the fault injection, in seconds."""

MEMORY_SLACK_S = 1.0
"""Time beyond `FREE_BOUND_S` before reserved memory is checked, in seconds."""

STREAM_CALLERS = 12
"""Number of extra callers that send only streams, used when all targets pause: each box then has
several streams in flight, and the targets have enough slots for all of them."""

PIECES_CALLERS = 10
"""Number of extra callers of answers without a length, used when boxes end that carry them."""

UNMARKED_CALLERS = 8
"""Number of extra callers of answers without a length or chunks, used with ``--early-ends``."""

DEADLY_SHARE = 0.5
"""Share of the seeds in which one caller sends a request that crashes targets, and share of those
in which one sends requests with a part that does."""

SLOW_SHARE, SLOW_CALLERS = 0.5, 12
"""Share of the seeds in which callers read slowly and boxes have a memory budget, and the number of
these callers."""

MAX_SHOWN = 20
"""Maximum number of violations printed for each seed."""

OUTPUTS = Path("build/soak")


def main(argv: Sequence[str] | None = None) -> int:
    """Run the seeds and return the exit code: 0 if no promise was violated."""
    args = _parser().parse_args(argv)
    use_elapsed_clock(reactor)
    seeds = [*REGRESSIONS] if args.regressions else _seeds(args)
    status: list[int] = []
    reactor.callWhenRunning(lambda: start(_run_all(args, seeds, status)))
    reactor.run()
    return status[0] if status else 1


def _seeds(args: argparse.Namespace) -> list[int]:
    first = args.seed if args.seed is not None else int(time.time())
    return list(range(first, first + args.seeds))


async def _run_all(args: argparse.Namespace, seeds: list[int], status: list[int]) -> None:
    failed = 0
    try:
        for seed in seeds:
            failed += await _has_violations(args, seed)
    finally:
        print(f"{len(seeds)} seeds, {failed} with a broken promise", flush=True)
        status.append(int(failed > 0))
        reactor.stop()


async def _has_violations(args: argparse.Namespace, seed: int) -> bool:
    """Run a seed; an exception in the soak itself is printed and counts as a failure."""
    try:
        return bool(await _run_seed(args, seed))
    except Exception:
        print(f"seed {seed}: the soak itself failed", flush=True)
        traceback.print_exc(file=sys.stdout)
        return True


async def _run_seed(args: argparse.Namespace, seed: int) -> list[Violation]:
    directory = _directory(args, seed)
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    size = FleetSize(args.boxes, args.targets)
    history = History()
    rng = random.Random(seed)
    buffer_mb = ANSWER_BUFFER_MB if _has_slow_callers(seed) else 0.0
    runs = directory / "runs" if args.early_ends else None
    if runs is not None:
        runs.mkdir()
    fleet = Fleet(size, directory, history, rng, args.without or "", buffer_mb, runs)
    faults = FaultInjector(fleet, history, rng)
    try:
        await _run(fleet, faults, history, args, seed, size)
    finally:
        await fleet.stop()
    history.notes = read_target_notes(fleet.target_outputs())
    history.record_crashes()
    violations = check_all(history)
    _report(args, seed, history, violations)
    return violations


async def _run(
    fleet: Fleet,
    faults: FaultInjector,
    history: History,
    args: argparse.Namespace,
    seed: int,
    size: FleetSize,
) -> None:
    await fleet.start()
    plan = make_plan(seed, args.length, size, args.early_ends)
    callers = _make_callers(fleet, history, args.callers, seed, size)
    if any(isinstance(scheduled.fault, TargetsPaused) for scheduled in plan):
        callers += _make_callers(fleet, history, STREAM_CALLERS, seed, size, StreamCaller)
    if has_ends_of_carriers(seed):
        callers += _make_callers(fleet, history, PIECES_CALLERS, seed, size, PiecesCaller)
    if args.early_ends:
        callers += _make_callers(fleet, history, UNMARKED_CALLERS, seed, size, UnmarkedCaller)
    if random.Random(f"deadly of {seed}").random() < DEADLY_SHARE:
        callers += _make_callers(fleet, history, 1, seed, size, DeadlyCaller)
    if random.Random(f"deadly part of {seed}").random() < DEADLY_SHARE:
        callers += _make_callers(fleet, history, 1, seed, size, DeadlyPartCaller)
    slow = []
    if _has_slow_callers(seed):
        slow = _make_slow_callers(fleet, history, seed, size)
        fleet.sample_memory()
    editor = TableEditor(fleet.web, fleet.boxes, history, random.Random(f"edits of {seed}"))
    running = [start(part.run()) for part in (*callers, *slow, editor)]
    for scheduled in plan:
        reactor.callLater(scheduled.at_s, faults.apply, scheduled.fault)
    await sleep(reactor, args.length)
    editor.stopping = True
    for caller in slow:
        # They use much of the machine; the recovery of the others is checked without them.
        caller.stopping = True
    await fleet.heal()
    await sleep(reactor, RECOVERY_BOUND_S + args.rest)
    for caller in callers:
        caller.stopping = True
    for deferred in running:
        await deferred
    await sleep(reactor, FREE_BOUND_S + MEMORY_SLACK_S)
    history.ended_s = time.monotonic()
    await editor.record_rows()
    await fleet.record_reserved_memory()


def _has_slow_callers(seed: int) -> bool:
    return random.Random(f"slow of {seed}").random() < SLOW_SHARE


def _make_slow_callers(
    fleet: Fleet, history: History, seed: int, size: FleetSize
) -> list[SlowCaller]:
    """Return callers that read slowly; they connect to the boxes directly."""
    return [
        SlowCaller(
            f"SlowCaller-{i}", seed * 1000 + 500 + i, history,
            lambda box: fleet.boxes[box].callers_port, fleet.start_of_box, size.boxes,
            fleet.all_keys,
        )
        for i in range(SLOW_CALLERS)
    ]  # fmt: skip


def _make_callers(
    fleet: Fleet,
    history: History,
    count: int,
    seed: int,
    size: FleetSize,
    kind: type[Caller] = Caller,
) -> list[Caller]:
    return [
        kind(
            f"{kind.__name__}-{i}", seed * 1000 + i, history,
            lambda box: fleet.boxes[box].caller_link.port, fleet.start_of_box, size.boxes,
            fleet.all_keys,
        )
        for i in range(count)
    ]  # fmt: skip


def _report(
    args: argparse.Namespace, seed: int, history: History, violations: Sequence[Violation]
) -> None:
    served = sum(row.status == 200 for row in history.requests)
    print(
        f"seed {seed}: {len(history.requests)} requests, {served} served, "
        f"{len(history.incidents)} faults, {len(violations)} violations",
        flush=True,
    )
    if history.box_memory:
        largest = max(sample.resident_mb for sample in history.box_memory)
        print(f"  slow callers; the largest box had {largest:.0f} MB", flush=True)
    for violation in violations[:MAX_SHOWN]:
        print(f"  {violation.promise}: {violation.text}", flush=True)
    if violations:
        print(f"  again: {_command(args, seed)}; outputs in {_directory(args, seed)}", flush=True)


def _directory(args: argparse.Namespace, seed: int) -> Path:
    return OUTPUTS / (f"{seed}-without-{args.without}" if args.without else str(seed))


def _command(args: argparse.Namespace, seed: int) -> str:
    options = f"--seed {seed} --length {args.length:g} --boxes {args.boxes}"
    without = f" --without {args.without}" if args.without else ""
    early_ends = " --early-ends" if args.early_ends else ""
    return (
        f"python -m soak {options} --targets {args.targets} --callers {args.callers}"
        f"{early_ends}{without}"
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed (default: the current time)")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--length", type=float, default=LENGTH_S, help="seconds of fault injection")
    parser.add_argument("--rest", type=float, default=4.0, help="seconds of traffic after recovery")
    parser.add_argument("--boxes", type=int, default=FleetSize.boxes)
    parser.add_argument("--targets", type=int, default=FleetSize.targets)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--without", metavar="GUARD", help="disable a guard; see soak/guards.py")
    parser.add_argument(
        "--early-ends", action="store_true", help="targets end runs early beside the other faults"
    )
    parser.add_argument("--regressions", action="store_true", help="run the seeds that once failed")
    return parser


if __name__ == "__main__":
    sys.exit(main())
