"""``python -m soak``: play seeds and report what broke."""

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

from .boxes import FREE_BOUND_S
from .callers import Caller, DeadlyCaller, StreamCaller
from .editor import TableEditor
from .faults import FaultPlayer
from .fleet import Fleet
from .history import History, read_target_notes
from .plan import Shape, TargetsPaused, make_plan
from .promises import RECOVERED_S, Violation, check_all
from .regressions import REGRESSIONS

LENGTH_S = 20.0
"""How long faults go on by default, in seconds."""

FREE_SLACK_S = 1.0
"""How long beyond its bound memory may stay set aside before it is looked at, in seconds."""

STREAM_CALLERS = 12
"""How many callers of streams alone there are beside the others where all targets pause: several
streams are under way at each box then, and the targets have slots for all."""

DEADLY_SEEDS = 0.5
"""Share of the seeds in which a caller has a request that ends targets."""

MOST_SHOWN = 20
"""How many violations of a seed are printed."""

OUTPUTS = Path("build/soak")


def main(argv: Sequence[str] | None = None) -> int:
    """Return 0 if no promise was broken."""
    args = _parser().parse_args(argv)
    use_elapsed_clock(reactor)
    seeds = [*REGRESSIONS] if args.regressions else _seeds(args)
    status: list[int] = []
    reactor.callWhenRunning(lambda: start(_play_all(args, seeds, status)))
    reactor.run()
    return status[0] if status else 1


def _seeds(args: argparse.Namespace) -> list[int]:
    first = args.seed if args.seed is not None else int(time.time())
    return list(range(first, first + args.seeds))


async def _play_all(args: argparse.Namespace, seeds: list[int], status: list[int]) -> None:
    broken = 0
    try:
        for seed in seeds:
            broken += await _is_broken(args, seed)
    finally:
        print(f"{len(seeds)} seeds, {broken} with a broken promise", flush=True)
        status.append(int(broken > 0))
        reactor.stop()


async def _is_broken(args: argparse.Namespace, seed: int) -> bool:
    """Play a seed; a soak that fails itself counts as broken, with its reason."""
    try:
        return bool(await _play(args, seed))
    except Exception:
        print(f"seed {seed}: the soak itself failed", flush=True)
        traceback.print_exc(file=sys.stdout)
        return True


async def _play(args: argparse.Namespace, seed: int) -> list[Violation]:
    directory = _directory(args, seed)
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    shape = Shape(args.boxes, args.targets)
    history = History()
    program = ["soak.guards", args.without] if args.without else ["gladedrum.daemon.start"]
    rng = random.Random(seed)
    fleet = Fleet(shape, directory, history, rng, program)
    faults = FaultPlayer(fleet, history, rng)
    try:
        await _run(fleet, faults, history, args, seed, shape)
    finally:
        await fleet.stop()
    history.notes = read_target_notes(fleet.target_outputs())
    history.note_ends()
    violations = check_all(history)
    _report(args, seed, history, violations)
    return violations


async def _run(
    fleet: Fleet,
    faults: FaultPlayer,
    history: History,
    args: argparse.Namespace,
    seed: int,
    shape: Shape,
) -> None:
    await fleet.start()
    plan = make_plan(seed, args.length, shape)
    callers = _make_callers(fleet, history, args.callers, seed, shape)
    if any(isinstance(planned.fault, TargetsPaused) for planned in plan):
        callers += _make_callers(fleet, history, STREAM_CALLERS, seed, shape, StreamCaller)
    if random.Random(f"deadly of {seed}").random() < DEADLY_SEEDS:
        callers += _make_callers(fleet, history, 1, seed, shape, DeadlyCaller)
    editor = TableEditor(fleet.web, fleet.boxes, history, random.Random(f"edits of {seed}"))
    running = [start(part.run()) for part in (*callers, editor)]
    for planned in plan:
        reactor.callLater(planned.at_s, faults.apply, planned.fault)
    await sleep(reactor, args.length)
    editor.stopping = True
    await fleet.heal()
    await sleep(reactor, RECOVERED_S + args.rest)
    for caller in callers:
        caller.stopping = True
    for ended in running:
        await ended
    await sleep(reactor, FREE_BOUND_S + FREE_SLACK_S)
    history.ended_s = time.monotonic()
    await editor.note_rows()
    await fleet.note_memory()


def _make_callers(
    fleet: Fleet,
    history: History,
    count: int,
    seed: int,
    shape: Shape,
    kind: type[Caller] = Caller,
) -> list[Caller]:
    return [
        kind(
            f"{kind.__name__}-{i}", seed * 1000 + i, history,
            lambda box: fleet.boxes[box].caller_link.port, fleet.start_of_box, shape.boxes,
            fleet.all_keys,
        )
        for i in range(count)
    ]  # fmt: skip


def _report(
    args: argparse.Namespace, seed: int, history: History, violations: Sequence[Violation]
) -> None:
    served = sum(row.status == 200 for row in history.asked)
    print(
        f"seed {seed}: {len(history.asked)} requests, {served} served, "
        f"{len(history.happened)} faults, {len(violations)} violations",
        flush=True,
    )
    for violation in violations[:MOST_SHOWN]:
        print(f"  {violation.promise}: {violation.text}", flush=True)
    if violations:
        print(f"  again: {_command(args, seed)}; outputs in {_directory(args, seed)}", flush=True)


def _directory(args: argparse.Namespace, seed: int) -> Path:
    return OUTPUTS / (f"{seed}-without-{args.without}" if args.without else str(seed))


def _command(args: argparse.Namespace, seed: int) -> str:
    options = f"--seed {seed} --length {args.length:g} --boxes {args.boxes}"
    without = f" --without {args.without}" if args.without else ""
    return f"python -m soak {options} --targets {args.targets} --callers {args.callers}{without}"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="the first seed; without it, one from the clock")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--length", type=float, default=LENGTH_S, help="seconds with faults")
    parser.add_argument("--rest", type=float, default=4.0, help="seconds of traffic at the end")
    parser.add_argument("--boxes", type=int, default=Shape.boxes)
    parser.add_argument("--targets", type=int, default=Shape.targets)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--without", metavar="GUARD", help="run boxes without a guard; see guards")
    parser.add_argument("--regressions", action="store_true", help="all seeds that ever failed")
    return parser


if __name__ == "__main__":
    sys.exit(main())
