"""Injection of the faults of a plan into the running fleet."""

import random
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager

from twisted.internet import defer, reactor
from twisted.python.failure import Failure

from gladedrum.utils import sleep, start

from .boxes import STOP_S, SoakBox
from .fleet import Fleet
from .history import CUT_FROM_TARGETS, ISOLATED, STORE_RESTORED, History, Incident
from .links import LinkCut
from .plan import (
    COLD_SWITCH,
    AllBoxesKilled,
    BoxCut,
    BoxIsolated,
    BoxKilled,
    BoxPaused,
    BoxStopped,
    Fault,
    HallEvacuated,
    KeyRevoked,
    LargeVersionWritten,
    LinkFault,
    SettingsChanged,
    StoreFault,
    StoreRestored,
    TargetAdvertises,
    TargetDeparts,
    TargetEndsRuns,
    TargetFails,
    TargetKilled,
    TargetKilledBehindRelay,
    TargetLeaves,
    TargetsPaused,
    VersionWritten,
)
from .processes import Process
from .proxy import Losing, Passing, ResettingReads, Throttled
from .waiting import WAIT_TIMEOUT_S, until

__all__ = ["FaultInjector"]

RETRY_SLACKS = (8, 120)
"""Range of `retry_slack` in a changed settings file, in retries."""

INSTANT_CHANGE_S = 0.5
"""Recorded duration of a change that takes effect at once, in seconds."""

LEAVE_TIMEOUT_S = 30.0
"""Maximum wait for a leaving target to exit, in seconds; it keeps serving for a while."""

EXIT_CHECK_S, READY_CHECK_S = 0.05, 0.1
"""Poll intervals for the exit of a process and the readiness of a box, in seconds."""


class FaultInjector:
    """Injects faults and records them as incidents.

    Parameters
    ----------
    fleet : Fleet
        The fleet that the faults affect.
    history : History
        Receives the incidents.
    rng : random.Random
        Source of the changed settings.
    """

    def __init__(self, fleet: Fleet, history: History, rng: random.Random):
        self._fleet = fleet
        self._history = history
        self._rng = rng

    def apply(self, fault: Fault) -> None:
        """Start a fault; it ends by itself."""
        start(self._apply(fault)).addErrback(self._record_failure, fault)

    def _record_failure(self, failure: Failure, fault: Fault) -> None:
        """Record a fault that could not be injected; it fails the seed."""
        self._history.not_injected.append(f"{fault}: {failure.getErrorMessage()}")

    async def _apply(self, fault: Fault) -> None:
        match fault:
            case BoxPaused():
                await self._pause_box(fault)
            case BoxKilled(box=box, for_s=for_s):
                with self._recorded("killed", box):
                    await self._kill_box(self._fleet.boxes[box], for_s)
            case AllBoxesKilled(for_s=for_s):
                await self._kill_all_boxes(for_s)
            case BoxStopped(box=box):
                with self._recorded("stopped", box, planned=True):
                    await self._stop_box(self._fleet.boxes[box])
            case BoxCut():
                await self._cut_box(fault)
            case BoxIsolated():
                await self._isolate_box(fault)
            case SettingsChanged(box=box):
                await self._change_settings(box)
            case LinkFault():
                await self._disturb_link(fault)
            case StoreRestored():
                await self._restore_store(fault)
            case StoreFault():
                await self._disturb_store(fault)
            case TargetKilled():
                await self._kill_target(fault)
            case TargetLeaves(target=target):
                await self._make_target_leave(target)
            case TargetDeparts(target=target):
                departing = self._fleet.targets[target]
                await departing.set_switches(self._fleet.web, {"leaves_untold": True})
                await self._make_target_leave(target)
            case TargetFails(target=target, switch=switch, count=count):
                with self._recorded(f"target {switch}", None):
                    failing = self._fleet.targets[target]
                    await failing.set_switches(self._fleet.web, {switch: count})
            case TargetEndsRuns():
                await self._end_runs(fault)
            case TargetKilledBehindRelay():
                await self._kill_behind_relay(fault)
            case TargetAdvertises():
                await self._advertise(fault)
            case TargetsPaused(for_s=for_s):
                await self._pause_targets(for_s)
            case VersionWritten():
                await until("a version is written", self._fleet.operator.write_version)
            case LargeVersionWritten():
                await until("a version is written", self._fleet.operator.write_large_version)
            case KeyRevoked():
                await self._fleet.operator.revoke_key()
            case HallEvacuated():
                await self._evacuate(fault)

    @contextmanager
    def _recorded(self, what: str, box: int | None, planned: bool = False) -> Iterator[None]:
        """Record an incident that lasts as long as the context is entered."""
        rows = self._history.incidents
        rows.append(Incident(time.monotonic(), float("inf"), what, box, planned))
        index = len(rows) - 1
        try:
            yield
        finally:
            rows[index] = rows[index]._replace(to_s=time.monotonic())

    # Boxes.

    async def _pause_box(self, fault: BoxPaused) -> None:
        process = self._fleet.boxes[fault.box].process
        with self._recorded("paused", fault.box):
            process.send(signal.SIGSTOP)
            await sleep(reactor, fault.for_s)
            process.send(signal.SIGCONT)

    async def _cut_box(self, fault: BoxCut) -> None:
        box = self._fleet.boxes[fault.box]
        with self._recorded(CUT_FROM_TARGETS, fault.box):
            box.cut_links(fault.cut)
            await sleep(reactor, fault.for_s)
            box.cut_links(LinkCut.NONE)

    async def _isolate_box(self, fault: BoxIsolated) -> None:
        box = self._fleet.boxes[fault.box]
        with self._recorded(ISOLATED, fault.box):
            box.cut_links(LinkCut.ALL)
            box.store_link.set_mode(Losing())
            await sleep(reactor, fault.for_s)
            box.store_link.set_mode(Passing())
            box.cut_links(LinkCut.NONE)

    async def _kill_all_boxes(self, for_s: float) -> None:
        with self._recorded("all killed", None):
            killing = [start(self._kill_box(box, for_s)) for box in self._fleet.boxes]
            await defer.gatherResults(killing)

    async def _kill_box(self, box: SoakBox, for_s: float) -> None:
        box.kill(for_s)
        await sleep(reactor, for_s)
        await self._until_ready(box)

    async def _stop_box(self, box: SoakBox) -> None:
        started = len(box.process.starts_s)
        box.process.send(signal.SIGTERM)
        await _until_exit(box.process, STOP_S)
        if len(box.process.starts_s) == started:
            box.process.kill()
        await self._until_ready(box)

    async def _change_settings(self, index: int) -> None:
        box = self._fleet.boxes[index]
        with self._recorded("settings", index, planned=True):
            box.write_settings(self._rng.randint(*RETRY_SLACKS))
            box.process.send(signal.SIGHUP)
            await sleep(reactor, INSTANT_CHANGE_S)

    async def _until_ready(self, box: SoakBox) -> None:
        """Wait until a box is ready; a timeout is not an error."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end_s and not await box.is_ready(self._fleet.web):
            await sleep(reactor, READY_CHECK_S)

    # Links and the store.

    async def _disturb_link(self, fault: LinkFault) -> None:
        kind, _, index = fault.link.partition(" ")
        box = int(index) if kind in ("store", "caller") else None
        link = self._fleet.link(fault.link)
        # All promises hold while single reads fail or are slow.
        planned = isinstance(fault.mode, ResettingReads | Throttled)
        with self._recorded(f"{fault.link} {fault.mode}", box, planned):
            link.set_mode(fault.mode)
            await sleep(reactor, fault.for_s)
            link.set_mode(Passing())

    async def _disturb_store(self, fault: StoreFault) -> None:
        normal = type(fault.value)(0)
        with self._recorded(f"store {fault.switch}", None):
            await self._fleet.switch_store({fault.switch: fault.value})
            await sleep(reactor, fault.for_s)
            await self._fleet.switch_store({fault.switch: normal})

    async def _restore_store(self, fault: StoreRestored) -> None:
        await self._fleet.switch_store({"keeps_copy": True})
        await sleep(reactor, fault.copy_age_s)
        with self._recorded(STORE_RESTORED, None):
            await self._fleet.switch_store({"goes_back": True})
            await sleep(reactor, INSTANT_CHANGE_S)

    # Targets.

    async def _evacuate(self, fault: HallEvacuated) -> None:
        # Recorded as planned: all promises hold meanwhile.
        with self._recorded(f"evacuated {fault.data_hall}", None, planned=True):
            await self._fleet.operator.evacuate(fault.data_hall)
            await sleep(reactor, fault.for_s)
            await self._fleet.operator.end_evacuation(fault.data_hall)

    async def _kill_target(self, fault: TargetKilled) -> None:
        with self._recorded("target killed", None):
            self._fleet.targets[fault.target].kill(fault.for_s)
            await sleep(reactor, fault.for_s)

    async def _end_runs(self, fault: TargetEndsRuns) -> None:
        # Each end is an incident by the target's own note of it; see `History.record_crashes`.
        target, web = self._fleet.targets[fault.target], self._fleet.web
        switches = {
            "early_ends": fault.count,
            "early_kind": fault.kind.value,
            "early_after": fault.after,
            "early_port_s": fault.port_s,
        }
        await target.set_switches(web, switches)
        await sleep(reactor, fault.for_s)
        await target.set_switches(web, {"early_ends": 0})

    async def _kill_behind_relay(self, fault: TargetKilledBehindRelay) -> None:
        target = self._fleet.targets[fault.target]
        with self._recorded("target killed behind a relay", None):
            target.link.outlives_s = fault.outlives_s
            target.kill(fault.for_s)
            await sleep(reactor, fault.for_s)
            target.link.outlives_s = None

    async def _make_target_leave(self, index: int) -> None:
        process = self._fleet.targets[index].process
        with self._recorded("target leaves", None, planned=True):
            process.send(signal.SIGTERM)
            await _until_exit(process, LEAVE_TIMEOUT_S)

    async def _advertise(self, fault: TargetAdvertises) -> None:
        # Recorded as planned: all promises hold while boxes react to it.
        target, web = self._fleet.targets[fault.target], self._fleet.web
        with self._recorded(f"target advertises {fault.switch}", None, planned=True):
            value = fault.value
            if fault.switch == COLD_SWITCH:
                value += time.monotonic()
            await target.set_switches(web, {fault.switch: value})
            await sleep(reactor, fault.for_s)
            await target.set_switches(web, {fault.switch: None})

    async def _pause_targets(self, for_s: float) -> None:
        # Recorded as planned: all promises hold during a pause.
        with self._recorded("targets paused", None, planned=True):
            switches = {"held_until_s": time.monotonic() + for_s}
            web = self._fleet.web
            await defer.gatherResults(
                [start(target.set_switches(web, switches)) for target in self._fleet.targets]
            )
            await sleep(reactor, for_s)


async def _until_exit(process: Process, limit_s: float) -> None:
    started = len(process.starts_s)
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s and process.is_alive and len(process.starts_s) == started:
        await sleep(reactor, EXIT_CHECK_S)
