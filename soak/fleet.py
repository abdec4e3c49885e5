"""The fleet of a soak: the store, boxes and targets as processes, and the links between them."""

import random
import signal
import time
from pathlib import Path

from twisted.internet import defer, reactor, task

from gladedrum.platform import StoreClient
from gladedrum.utils import WebClient

from .boxes import SoakBox
from .history import History
from .operator import KEYS, Operator
from .plan import Shape
from .processes import Process, free_port
from .proxy import LOOPBACK, LinkProxy, Passing
from .targets import SoakTarget
from .waiting import until

__all__ = ["Fleet"]

RESTART_CHECK_S = 0.1
"""How often it is looked for processes that have ended, in seconds."""

SWITCH_S = 5.0
"""How long the store's stand-in may take to change its switches, in seconds."""

_SOUND_STORE = {"outage": False, "silent": False, "delay_s": 0.0, "lose_answers": 0}


class Fleet:
    """All processes and links.

    Parameters
    ----------
    shape : Shape
        How many boxes and targets.
    directory : Path
        Where settings and outputs go.
    history : History
        Where changes are noted.
    rng : random.Random
        Decides the versions that the operator writes.
    box_program : list of str
        What runs a box, after ``python -m``.

    Attributes
    ----------
    boxes, targets : list
        By their numbers.
    operator : Operator
        Writes the configuration.
    web : WebClient
        Calls boxes and stand-ins directly, past the links.
    """

    def __init__(
        self,
        shape: Shape,
        directory: Path,
        history: History,
        rng: random.Random,
        box_program: list[str],
    ):
        self._history = history
        self.web = WebClient(reactor)
        self._store_port = free_port()
        arguments = ["gladedrum.standins.store", "--port", str(self._store_port)]
        self._store = Process("store", arguments, directory)
        client = StoreClient(f"{LOOPBACK}:{self._store_port}", self.web)
        self.operator = Operator(client, history, rng)
        self.boxes = [
            SoakBox(i, directory, self._store_port, box_program) for i in range(shape.boxes)
        ]
        plain = max(1, shape.targets // 2)
        self.targets = [
            SoakTarget(i, directory, self._store_port, "plain" if i < plain else "pool")
            for i in range(shape.targets)
        ]
        self._keeping = task.LoopingCall(self._keep_running)
        # If the soak itself is stopped in the middle.
        reactor.addSystemEventTrigger("before", "shutdown", self.kill)

    # Start and end.

    async def start(self) -> None:
        """Start everything; returns when all boxes are ready, or raises `TimeoutError`."""
        self._store.start()
        await until("the store answers", self.operator.put_version)
        for target in self.targets:
            target.process.start()
        for box in self.boxes:
            box.process.start()
        await until("all boxes are ready", self._all_ready)
        self._keeping.start(RESTART_CHECK_S)

    async def heal(self) -> None:
        """Make all links and the store sound, and let paused processes go on."""
        for link in self._links():
            link.set_mode(Passing())
        await self.switch_store(_SOUND_STORE)
        for box in self.boxes:
            box.process.send(signal.SIGCONT)

    def kill(self) -> None:
        """End all processes."""
        if self._keeping.running:
            self._keeping.stop()
        for process in self._processes():
            process.end()

    async def stop(self) -> None:
        """End all processes and close all links."""
        self.kill()
        await self.web.close()
        await defer.gatherResults([defer.maybeDeferred(link.close) for link in self._links()])

    def _keep_running(self) -> None:
        """Start again what has ended, as the platform does."""
        now_s = time.monotonic()
        for unit in (*self.boxes, *self.targets):
            if not unit.process.is_alive and now_s >= unit.may_start_s:
                unit.process.start()

    async def _all_ready(self) -> bool:
        return all([await box.is_ready(self.web) for box in self.boxes])

    # What callers and checks need to know.

    def start_of_box(self, index: int) -> int:
        """Return which start of a box runs."""
        return len(self.boxes[index].process.starts_s)

    def all_keys(self) -> list[str]:
        """Return the keys that callers use, those taken away included; the first comes twice."""
        return [KEYS[0], *KEYS]

    async def note_memory(self) -> None:
        """Note the memory that is still set aside on each target."""
        for target in self.targets:

            async def is_noted(target: SoakTarget = target) -> bool:
                held = await target.reserved_tokens(self.web)
                if held is not None:
                    self._history.memory_left[target.process.name] = held
                return held is not None

            await until(f"{target.process.name} tells its memory", is_noted)

    def target_outputs(self) -> list[Path]:
        """Return the files with the targets' notes."""
        return [path for target in self.targets for path in target.process.outputs()]

    # What faults need.

    async def switch_store(self, switches: dict[str, object]) -> None:
        """Set switches of the store's stand-in."""
        url = f"http://{LOOPBACK}:{self._store_port}/switches"
        await self.web.call_json("POST", url, switches, SWITCH_S)

    def link(self, name: str) -> LinkProxy:
        """Return a link: ``store N`` of box N, ``target N``, or ``caller N`` to box N."""
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
