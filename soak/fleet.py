"""The fleet of a soak: the processes of store, boxes and targets, and the links between them."""

import random
import signal
import time
from pathlib import Path

from twisted.internet import defer, reactor, task

from gladedrum.platform import StoreClient
from gladedrum.utils import WebClient

from .boxes import SoakBox
from .history import History, MemorySample
from .links import LinkCut
from .operator import KEYS, Operator
from .plan import FleetSize
from .processes import Process, free_port
from .proxy import LOOPBACK, LinkProxy, Passing
from .targets import SoakTarget
from .waiting import until

__all__ = ["Fleet"]

RESTART_CHECK_S = 0.1
"""Interval at which exited processes are looked for, in seconds."""

MEMORY_SAMPLE_S = 0.25
"""Interval at which the memory of the boxes is recorded, in seconds."""

SWITCH_TIMEOUT_S = 5.0
"""Timeout of a call that sets switches of the store's stand-in, in seconds."""

_NORMAL_STORE = {"outage": False, "silent": False, "delay_s": 0.0, "lose_answers": 0}


class Fleet:
    """All processes and links of a run.

    Parameters
    ----------
    size : FleetSize
        Number of boxes and targets.
    directory : Path
        Directory for settings and output files.
    history : History
        Receives the operator's changes and the final state of the targets.
    rng : random.Random
        Source of the version numbers that the operator writes.
    guard : str
        The guard that is disabled in all boxes, empty for none.
    answer_buffer_mb : float
        Memory budget of each box, in MB; 0 for none.
    runs : Path or None
        Directory in which the targets count the runs of requests; None if each counts its own.

    Attributes
    ----------
    boxes, targets : list
        Boxes and targets by index.
    operator : Operator
        Writes the configuration.
    web : WebClient
        Calls boxes and stand-ins directly, without the links.
    """

    def __init__(
        self,
        size: FleetSize,
        directory: Path,
        history: History,
        rng: random.Random,
        guard: str = "",
        answer_buffer_mb: float = 0.0,
        runs: Path | None = None,
    ):
        self._history = history
        self.web = WebClient(reactor)
        self._store_port = free_port()
        arguments = ["gladedrum.standins.store", "--port", str(self._store_port)]
        self._store = Process("store", arguments, directory)
        client = StoreClient(f"{LOOPBACK}:{self._store_port}", self.web)
        self.operator = Operator(client, history, rng)
        self.boxes = [
            SoakBox(i, directory, self._store_port, guard, answer_buffer_mb)
            for i in range(size.boxes)
        ]
        plain = max(1, size.targets // 2)
        self.targets = [
            SoakTarget(i, directory, self._store_port, "plain" if i < plain else "pool", runs)
            for i in range(size.targets)
        ]
        self._supervision = task.LoopingCall(self._restart_exited)
        self._sampling = task.LoopingCall(self._sample_memory)
        # Leaves no processes behind if the soak is interrupted.
        reactor.addSystemEventTrigger("before", "shutdown", self.kill)

    # Start and end.

    async def start(self) -> None:
        """Start all processes and wait until all boxes are ready.

        Raises
        ------
        TimeoutError
            If the store or a box is not ready in time.
        """
        self._store.start()
        await until("the store answers", self.operator.write_version)
        for target in self.targets:
            target.process.start()
        for box in self.boxes:
            box.process.start()
        await until("all boxes are ready", self._all_ready)
        self._supervision.start(RESTART_CHECK_S)

    def sample_memory(self) -> None:
        """Start to record the memory of the boxes."""
        self._sampling.start(MEMORY_SAMPLE_S)

    def _sample_memory(self) -> None:
        for box in self.boxes:
            resident_mb = box.process.resident_mb
            if resident_mb is not None:
                sample = MemorySample(time.monotonic(), box.index, resident_mb)
                self._history.box_memory.append(sample)

    async def heal(self) -> None:
        """End all faults of links, store and paused boxes, and all evacuations."""
        for box in self.boxes:
            box.cut_links(LinkCut.NONE)
        for link in self._links():
            link.set_mode(Passing())
        await self.switch_store(_NORMAL_STORE)
        for box in self.boxes:
            box.process.send(signal.SIGCONT)
        await self.operator.end_evacuations()

    def kill(self) -> None:
        """Kill all processes."""
        for call in (self._supervision, self._sampling):
            if call.running:
                call.stop()
        for process in self._processes():
            process.end()

    async def stop(self) -> None:
        """Kill all processes and close all links."""
        self.kill()
        await self.web.close()
        await defer.gatherResults([defer.maybeDeferred(link.close) for link in self._links()])

    def _restart_exited(self) -> None:
        """Restart processes that have exited, as the platform does in production."""
        now_s = time.monotonic()
        for unit in (*self.boxes, *self.targets):
            if not unit.process.is_alive and now_s >= unit.may_start_s:
                unit.process.start()

    async def _all_ready(self) -> bool:
        return all([await box.is_ready(self.web) for box in self.boxes])

    # State that callers and checks read.

    def start_of_box(self, index: int) -> int:
        """Return how often a box has been started, which identifies its current process."""
        return len(self.boxes[index].process.starts_s)

    def all_keys(self) -> list[str]:
        """Return the keys that callers use, also revoked ones; the first has double weight."""
        return [KEYS[0], *KEYS]

    async def record_reserved_memory(self) -> None:
        """Record the memory that is still reserved on each target."""
        for target in self.targets:

            async def is_recorded(target: SoakTarget = target) -> bool:
                tokens = await target.reserved_tokens(self.web)
                if tokens is not None:
                    self._history.final_reserved_tokens[target.process.name] = tokens
                return tokens is not None

            await until(f"{target.process.name} reports its memory", is_recorded)

    def target_outputs(self) -> list[Path]:
        """Return the output files that contain the targets' notes."""
        return [path for target in self.targets for path in target.process.outputs()]

    # Access for the fault injection.

    async def switch_store(self, switches: dict[str, object]) -> None:
        """Set switches of the store's stand-in."""
        url = f"http://{LOOPBACK}:{self._store_port}/switches"
        await self.web.call_json("POST", url, switches, SWITCH_TIMEOUT_S)

    def link(self, name: str) -> LinkProxy:
        """Return the link with a name; see `plan.LinkFault`."""
        kind, _, index = name.partition(" ")
        if kind == "target":
            return self.targets[int(index)].link
        box = self.boxes[int(index)]
        return box.store_link if kind == "store" else box.caller_link

    def _links(self) -> list[LinkProxy]:
        links = [(box.store_link, box.caller_link) for box in self.boxes]
        return [link for pair in links for link in pair] + [t.link for t in self.targets]

    def _processes(self) -> list[Process]:
        return [unit.process for unit in (*self.boxes, *self.targets)] + [self._store]
