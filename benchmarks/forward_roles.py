"""Processor time of a forwarding box for each of its tasks, in one process.

``python -m benchmarks.forward_roles`` benchmarks a gossip datagram about placed requests, a
placement decision by the number of engines, a query to a member of the coordinator group about the
state of the store, and the transfer of a changed target list by its length.
"""

import itertools
import random
import time
from collections.abc import Callable, Sequence

from twisted.internet.task import Clock

from benchmarks.measure import fit, save
from gladedrum import gossip
from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.coordinators import CoordinatorGroup
from gladedrum.beliefs.membership import BoxRegistry
from gladedrum.beliefs.peer_sync import PeerSync
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import TargetListFollower
from gladedrum.fleet import TargetEntry
from gladedrum.gossip.wire.ttypes import Gossip
from gladedrum.placing.choosing import Chooser, Demand
from gladedrum.placing.fleet_view import FleetView
from gladedrum.placing.work_plan import WorkPlan, note_from_plan
from gladedrum.routes import Configuration, Service
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.table import TableFollower, TableInForce

ENGINES = (18, 60, 200, 600)
"""Numbers of engines, or of targets in a list."""

SIZES = {"short": 5_000, "middle": 45_000, "long": 190_000}
"""Sizes of prompts, in tokens."""

REQUESTS_PER_ENGINE = 1.5
"""Requests on each engine in the placement benchmark: a busy fleet."""

MICROSECONDS = 1e6

TOGGLED = "i-0000000000"
"""Name of the target that is added and removed to change the list."""

PORTS = itertools.count(10_000)
"""Ports of that target: a new one for each start, so that no list occurs twice."""


def cpu_us(action: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call, in microseconds."""
    action()
    began_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - began_s) / repeats * MICROSECONDS


def target_entries(count: int) -> dict[str, TargetEntry]:
    """Return a list of targets, by name."""
    rows = (
        TargetEntry(f"i-{i:010x}", "pool", f"10.2.{i // 250}.{i % 250}", 8000, "hall", 6, False)
        for i in range(count)
    )
    return {row.name: row for row in rows}


def _plan(number: int, targets: Sequence[str], prompt: int = 5_000) -> WorkPlan:
    return WorkPlan(f"box-1.0123abcd.{number}", tuple(targets), prompt, 900, 1.5, 0.3, 0.25)


class _DirectPort:
    """Stand-in for a `GossipPort` that encodes each datagram and delivers it to `peer` directly."""

    def __init__(self, box: str):
        self._box = box
        self.peer: PeerSync | None = None

    def _deliver(self, message: Gossip) -> None:
        self.peer.receive(gossip.decode(gossip.encode(message)), ("10.0.0.1", 1))

    def ask_vouch(self, _address, ask) -> None:
        self._deliver(Gossip(self._box, vouch_asks=[ask]))

    def vouch(self, _address, note) -> None:
        self._deliver(Gossip(self._box, vouches=[note]))

    def send_list_part(self, _address, part) -> None:
        self._deliver(Gossip(self._box, list_parts=[part]))


class _SingleMemberGroup(CoordinatorGroup):
    """A coordinator group with one member."""

    def __init__(self, box: str):
        super().__init__(box, lambda: {"member": ("10.0.0.1", 1)})

    def members(self) -> list[str]:
        return ["member"]


def _peer_sync(name: str, clock: Clock, entries: dict[str, TargetEntry]) -> PeerSync:
    pace = StorePace(clock, random.Random(1), lambda: name != "member")
    configuration = ConfigurationFollower(clock, None, 3.0, pace)
    configuration._apply(Configuration(7))
    configuration._confirm(clock.seconds())
    targets = TargetListFollower(clock, None, 3.0, lambda _entry: None, pace)
    targets.entries = entries
    targets._confirmed_s = clock.seconds()
    table = TableInForce(clock)
    follower = TableFollower(clock, None, table, lambda: True)
    coordinators = _SingleMemberGroup(name)
    registry = BoxRegistry(clock, None, name, ("10.0.0.9", 9), random.Random(1))
    return PeerSync(
        clock,
        coordinators,
        registry,
        _DirectPort(name),
        configuration,
        targets,
        table,
        follower,
        pace,
    )


def measure_datagram() -> dict:
    """Benchmark encoding, decoding and applying the notes of a placed and an ended request."""
    known = target_entries(60)
    names = list(known)
    view = FleetView()
    numbers = iter(range(10**9))

    def exchange() -> None:
        number = next(numbers)
        plan = _plan(number, [names[number % 60]])
        for change in (gossip.PLACED, gossip.ENDED):
            data = gossip.encode(Gossip("box-1", [note_from_plan(plan, change)]))
            view.receive(gossip.decode(data), known.keys(), number * 0.01)

    return {"us_a_datagram_both_sides": cpu_us(exchange, 2000) / 2}


def measure_placement() -> list[dict]:
    """Benchmark a decision by the number of engines and the prompt size."""
    traits = EngineTraits()
    rows = []
    for count in ENGINES:
        clock = Clock()
        clock.advance(100.0)
        entries = target_entries(count)
        view = FleetView()
        rng = random.Random(1)
        for number in range(int(count * REQUESTS_PER_ENGINE)):
            plan = _plan(number, [rng.choice(list(entries))], rng.choice([3_000, 8_000, 45_000]))
            view.note_placed(plan, clock.seconds())
        targets = TargetListFollower(clock, None, 3.0, lambda _entry: None, StorePace(clock, rng))
        targets.entries = entries
        chooser = Chooser("box-1", clock, targets, view)
        for size, prompt in SIZES.items():
            demand = Demand(
                Service("pool", traits), prompt, 900, clock.seconds() + 1, 0.25, "hall", ""
            )
            us = cpu_us(lambda d=demand, c=chooser: c.choose(d, ()), 40)
            rows.append({"engines": count, "size": size, "us": us})
    return rows


def measure_peer_sync() -> list[dict]:
    """Benchmark a query and its reply by list length, for an equal and for a changed list."""
    rows = []
    for count in ENGINES:
        clock = Clock()
        clock.advance(100.0)
        member = _peer_sync("member", clock, target_entries(count))
        requester = _peer_sync("asker", clock, target_entries(count))
        member._port.peer, requester._port.peer = requester, member
        same_us = cpu_us(requester._ask, 300)

        def query_with_changed_list(requester=requester, member=member, clock=clock) -> None:
            clock.advance(0.001)
            _toggle(member._targets, clock.seconds())
            requester._targets._gone_starts.clear()
            requester._ask()

        rows.append(
            {"targets": count, "same_us": same_us, "other_us": cpu_us(query_with_changed_list, 30)}
        )
    return rows


def _toggle(targets: TargetListFollower, read_s: float) -> None:
    """Remove a target from a list, or add it again."""
    entries = dict(targets.entries)
    if TOGGLED in entries:
        del entries[TOGGLED]
    else:
        entries[TOGGLED] = target_entries(1)[TOGGLED]._replace(port=next(PORTS))
    targets.entries = entries
    targets._confirmed_s = read_s


def main() -> None:
    """Run all benchmarks and save the results."""
    peer_sync = measure_peer_sync()
    placement = measure_placement()
    other = fit([(row["targets"], row["other_us"]) for row in peer_sync])
    shorts = [row for row in placement if row["size"] == "short"]
    by_engines = fit([(row["engines"], row["us"]) for row in shorts])
    save(
        "forward_roles",
        {
            "datagram": measure_datagram(),
            "placement": placement,
            "placement_short_us_an_engine": by_engines._asdict(),
            "vouching": peer_sync,
            "list_us_a_target": other._asdict(),
        },
    )


if __name__ == "__main__":
    main()
