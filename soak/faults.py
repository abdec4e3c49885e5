"""How each fault of a soak's plan is brought about, and ended."""

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
from .history import STORE_RETURNED, Happened, History
from .plan import (
    AllBoxesKilled,
    BoxKilled,
    BoxPaused,
    BoxStopped,
    Fault,
    KeyTaken,
    LinkHarmed,
    SettingsChanged,
    StoreFromCopy,
    StoreHarmed,
    TargetFails,
    TargetKilled,
    TargetLeaves,
    TargetSays,
    TargetsPaused,
    VersionPut,
)
from .processes import Process
from .proxy import Passing
from .waiting import READY_S, until

__all__ = ["FaultPlayer"]

RETRY_SLACKS = (8, 120)
"""Least and most slack of retries that a changed settings file names, in retries."""

SETTINGS_S = 0.5
"""How long a change of settings is noted as going on, in seconds."""

LEAVE_S = 30.0
"""How long a leaving target is waited for, in seconds: it serves on for some."""

ENDED_CHECK_S, READY_CHECK_S = 0.05, 0.1
"""How often it is looked whether a process has ended, and whether a box is ready, in seconds."""


class FaultPlayer:
    """Brings faults about.

    Parameters
    ----------
    fleet : Fleet
        What they strike.
    history : History
        Where they are noted.
    rng : random.Random
        Decides the settings that change.
    """

    def __init__(self, fleet: Fleet, history: History, rng: random.Random):
        self._fleet = fleet
        self._history = history
        self._rng = rng

    def apply(self, fault: Fault) -> None:
        """Bring a fault about; it ends by itself."""
        start(self._apply(fault)).addErrback(self._note_failure, fault)

    def _note_failure(self, failure: Failure, fault: Fault) -> None:
        """A fault that was not played fails its seed: what it was meant for was not tried."""
        self._history.not_played.append(f"{fault}: {failure.getErrorMessage()}")

    async def _apply(self, fault: Fault) -> None:
        match fault:
            case BoxPaused():
                await self._pause_box(fault)
            case BoxKilled(box=box, for_s=for_s):
                with self._noted("killed", box):
                    await self._kill_box(self._fleet.boxes[box], for_s)
            case AllBoxesKilled(for_s=for_s):
                await self._kill_all_boxes(for_s)
            case BoxStopped(box=box):
                with self._noted("stopped", box, planned=True):
                    await self._stop_box(self._fleet.boxes[box])
            case SettingsChanged(box=box):
                await self._change_settings(box)
            case LinkHarmed():
                await self._harm_link(fault)
            case StoreFromCopy():
                await self._bring_back_store(fault)
            case StoreHarmed():
                await self._harm_store(fault)
            case TargetKilled():
                await self._kill_target(fault)
            case TargetLeaves(target=target):
                await self._make_target_leave(target)
            case TargetFails(target=target, switch=switch, count=count):
                with self._noted(f"target {switch}", None):
                    failing = self._fleet.targets[target]
                    await failing.set_switches(self._fleet.web, {switch: count})
            case TargetSays():
                await self._have_said(fault)
            case TargetsPaused(for_s=for_s):
                await self._pause_targets(for_s)
            case VersionPut():
                await until("a version is written", self._fleet.operator.put_version)
            case KeyTaken():
                await self._fleet.operator.take_key()

    @contextmanager
    def _noted(self, what: str, box: int | None, planned: bool = False) -> Iterator[None]:
        rows = self._history.happened
        rows.append(Happened(time.monotonic(), float("inf"), what, box, planned))
        index = len(rows) - 1
        try:
            yield
        finally:
            rows[index] = rows[index]._replace(to_s=time.monotonic())

    # Boxes.

    async def _pause_box(self, fault: BoxPaused) -> None:
        process = self._fleet.boxes[fault.box].process
        with self._noted("paused", fault.box):
            process.send(signal.SIGSTOP)
            await sleep(reactor, fault.for_s)
            process.send(signal.SIGCONT)

    async def _kill_all_boxes(self, for_s: float) -> None:
        with self._noted("all killed", None):
            killing = [start(self._kill_box(box, for_s)) for box in self._fleet.boxes]
            await defer.gatherResults(killing)

    async def _kill_box(self, box: SoakBox, for_s: float) -> None:
        box.kill(for_s)
        await sleep(reactor, for_s)
        await self._until_ready(box)

    async def _stop_box(self, box: SoakBox) -> None:
        started = len(box.process.starts_s)
        box.process.send(signal.SIGTERM)
        await _until_ended(box.process, STOP_S)
        if len(box.process.starts_s) == started:
            box.process.kill()
        await self._until_ready(box)

    async def _change_settings(self, index: int) -> None:
        box = self._fleet.boxes[index]
        with self._noted("settings", index, planned=True):
            box.write_settings(self._rng.randint(*RETRY_SLACKS))
            box.process.send(signal.SIGHUP)
            await sleep(reactor, SETTINGS_S)

    async def _until_ready(self, box: SoakBox) -> None:
        """Wait for a box; one that is not ready in time stays so without a complaint."""
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s and not await box.is_ready(self._fleet.web):
            await sleep(reactor, READY_CHECK_S)

    # Links and the store.

    async def _harm_link(self, fault: LinkHarmed) -> None:
        kind, _, index = fault.link.partition(" ")
        box = int(index) if kind in ("store", "caller") else None
        link = self._fleet.link(fault.link)
        with self._noted(f"{fault.link} {fault.mode}", box):
            link.set_mode(fault.mode)
            await sleep(reactor, fault.for_s)
            link.set_mode(Passing())

    async def _harm_store(self, fault: StoreHarmed) -> None:
        sound = type(fault.value)(0)
        with self._noted(f"store {fault.switch}", None):
            await self._fleet.switch_store({fault.switch: fault.value})
            await sleep(reactor, fault.for_s)
            await self._fleet.switch_store({fault.switch: sound})

    async def _bring_back_store(self, fault: StoreFromCopy) -> None:
        await self._fleet.switch_store({"keeps_copy": True})
        await sleep(reactor, fault.copy_age_s)
        with self._noted(STORE_RETURNED, None):
            await self._fleet.switch_store({"goes_back": True})
            await sleep(reactor, SETTINGS_S)

    # Targets.

    async def _kill_target(self, fault: TargetKilled) -> None:
        with self._noted("target killed", None):
            self._fleet.targets[fault.target].kill(fault.for_s)
            await sleep(reactor, fault.for_s)

    async def _make_target_leave(self, index: int) -> None:
        process = self._fleet.targets[index].process
        with self._noted("target leaves", None, planned=True):
            process.send(signal.SIGTERM)
            await _until_ended(process, LEAVE_S)

    async def _have_said(self, fault: TargetSays) -> None:
        # Not noted as trouble: what boxes do about it excuses nothing.
        target, web = self._fleet.targets[fault.target], self._fleet.web
        with self._noted(f"target says {fault.switch}", None, planned=True):
            await target.set_switches(web, {fault.switch: fault.value})
            await sleep(reactor, fault.for_s)
            await target.set_switches(web, {fault.switch: None})

    async def _pause_targets(self, for_s: float) -> None:
        # Not noted as trouble: it excuses nothing.
        with self._noted("targets paused", None, planned=True):
            held = {"held_until_s": time.monotonic() + for_s}
            web = self._fleet.web
            await defer.gatherResults(
                [start(target.set_switches(web, held)) for target in self._fleet.targets]
            )
            await sleep(reactor, for_s)


async def _until_ended(process: Process, limit_s: float) -> None:
    started = len(process.starts_s)
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s and process.is_alive and len(process.starts_s) == started:
        await sleep(reactor, ENDED_CHECK_S)
