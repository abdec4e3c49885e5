"""The processes and links of a soak, and how each fault is brought about."""

import json
import random
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from twisted.internet import defer, reactor, task

from gladedrum.errors import KVConflictError, KVUnavailableError, KVUnknownError
from gladedrum.platform import StoreClient
from gladedrum.routes import Organisation, Route, RouteTable, Service, ServiceShare
from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.standins.operator import CONFIGURATION_KEY, configuration_bytes
from gladedrum.standins.wire_heads import CALLER_HOST
from gladedrum.utils import WebClient, sleep, start

from .history import Happened, History, Kind
from .plan import (
    AllBoxesKilled,
    BoxKilled,
    BoxPaused,
    BoxStopped,
    Fault,
    KeyTaken,
    LinkHarmed,
    SettingsChanged,
    Shape,
    StoreHarmed,
    TargetFails,
    TargetKilled,
    TargetLeaves,
    VersionPut,
)
from .processes import Process, free_port
from .proxy import LOOPBACK, LinkProxy, Passing

__all__ = ["CHANGE_BOUND_S", "FREE_BOUND_S", "KEY_BOUND_S", "LEAVE_BOUND_S", "STOP_S", "Fleet"]

LEAVE_BOUND_S, CHANGE_BOUND_S, KEY_BOUND_S, FREE_BOUND_S = 2.0, 2.0, 5.0, 4.0
"""The bounds in the boxes' settings, in seconds."""

STOP_S = 6.0
"""How long a planned stop may take before the box is killed, in seconds."""

ENGINE = EngineTraits(slots=8, memory_tokens=232_000)
KEYS = ("main", "k1", "k2", "k3", "k4")
"""The operator's keys; the first is never taken away."""

READY_S = 30.0
"""How long the fleet may take to become ready, in seconds."""

_SETTINGS = """\
[box]
name = {name}
data_hall = hall-{hall}
[forward]
enabled = yes
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers = 127.0.0.1:{peers}
leave_bound_ms = {leave_ms:.0f}
change_bound_ms = {change_ms:.0f}
key_bound_ms = {key_ms:.0f}
free_bound_ms = {free_ms:.0f}
stop_s = {stop_s}
keep_callers = {keep}
retry_slack = {retry_slack}
[platform]
store = 127.0.0.1:{store}
"""


class _Box:
    """One box: its process, its links and its settings file."""

    def __init__(self, index: int, directory: Path, store_port: int, program: list[str]):
        self.index = index
        self.callers_port = free_port()
        self.ready_port = free_port()
        self.peers_port = free_port(socket.SOCK_DGRAM)
        self.store_link = LinkProxy(store_port)
        self.caller_link = LinkProxy(self.callers_port)
        self.path = directory / f"box-{index}.ini"
        self.write_settings(retry_slack=100)
        self.process = Process(f"box-{index}", [*program, "--config", str(self.path)], directory)
        self.may_start_s = 0.0
        self.killed_at_s = float("inf")

    def write_settings(self, retry_slack: int) -> None:
        """Write the settings file."""
        text = _SETTINGS.format(
            name=f"box-{self.index}", hall=self.index % 3, callers=self.callers_port,
            ready=self.ready_port, peers=self.peers_port, leave_ms=LEAVE_BOUND_S * 1000,
            change_ms=CHANGE_BOUND_S * 1000, key_ms=KEY_BOUND_S * 1000,
            free_ms=FREE_BOUND_S * 1000, stop_s=STOP_S, store=self.store_link.port,
            keep="yes" if self.index % 2 else "no", retry_slack=retry_slack,
        )  # fmt: skip
        self.path.write_text(text)


class _Target:
    """One target: its process and its link."""

    def __init__(self, index: int, directory: Path, store_port: int, service: str):
        self.port = free_port()
        self.link = LinkProxy(self.port)
        arguments = [
            "gladedrum.standins.target", "--port", str(self.port), "--service", service,
            "--hall", f"hall-{index % 3}", "--address", f"{LOOPBACK}:{self.link.port}",
            "--store", f"{LOOPBACK}:{store_port}", "--memory-tokens", str(ENGINE.memory_tokens),
        ]  # fmt: skip
        self.process = Process(f"target-{index}", arguments, directory)
        self.may_start_s = 0.0


class Fleet:
    """All of it.

    Parameters
    ----------
    shape : Shape
        How many boxes and targets.
    directory : Path
        Where settings and outputs go.
    history : History
        Where changes are noted.
    seed : int
        Decides the versions that the operator writes.
    box_program : list of str
        What runs a box, after ``python -m``.
    """

    def __init__(
        self, shape: Shape, directory: Path, history: History, seed: int, box_program: list[str]
    ):
        self._history = history
        self._rng = random.Random(seed)
        self._web = WebClient(reactor)
        self._store_port = free_port()
        arguments = ["gladedrum.standins.store", "--port", str(self._store_port)]
        self._store = Process("store", arguments, directory)
        self._client = StoreClient(f"{LOOPBACK}:{self._store_port}", self._web)
        self._version = 0
        self._keys = list(KEYS)
        self.boxes = [_Box(i, directory, self._store_port, box_program) for i in range(shape.boxes)]
        plain = max(1, shape.targets // 2)
        self.targets = [
            _Target(i, directory, self._store_port, "plain" if i < plain else "pool")
            for i in range(shape.targets)
        ]
        self._keeping = task.LoopingCall(self._keep_running)
        # If the soak itself is stopped in the middle.
        reactor.addSystemEventTrigger("before", "shutdown", self.kill)

    # Start and end.

    async def start(self) -> None:
        """Start everything; returns when all boxes are ready, or raises `TimeoutError`."""
        self._store.start()
        await self._until("the store answers", self._put_version)
        for target in self.targets:
            target.process.start()
        for box in self.boxes:
            box.process.start()
        await self._until("all boxes are ready", self._all_ready)
        self._keeping.start(0.1)

    async def heal(self) -> None:
        """Make all links and the store sound, and let paused processes go on."""
        for link in self._links():
            link.set_mode(Passing())
        await self._switch_store(
            {"outage": False, "silent": False, "delay_s": 0.0, "lose_answers": 0}
        )
        for box in self.boxes:
            box.process.send(signal.SIGCONT)

    async def note_memory(self) -> None:
        """Note the memory that is still set aside on each target."""
        for target in self.targets:
            url = f"http://{LOOPBACK}:{target.port}/api/report"
            reply = await self._web.call_json("GET", url, None, 2.0)
            held = sum(row["tokens"] for row in reply.body["tickets"])
            self._history.memory_left[target.process.name] = held

    def kill(self) -> None:
        """End all processes."""
        if self._keeping.running:
            self._keeping.stop()
        for process in self._processes():
            process.end()

    async def stop(self) -> None:
        """End all processes and close all links."""
        self.kill()
        await self._web.close()
        await defer.gatherResults([defer.maybeDeferred(link.close) for link in self._links()])

    def target_outputs(self) -> list[Path]:
        """Return the files with the targets' notes."""
        return [path for target in self.targets for path in target.process.outputs()]

    def start_of_box(self, index: int) -> int:
        """Return which start of a box runs."""
        return len(self.boxes[index].process.starts_s)

    def all_keys(self) -> list[str]:
        """Return the keys that callers use, those taken away included."""
        return [KEYS[0], *KEYS]

    # Faults.

    def apply(self, fault: Fault) -> None:
        """Bring a fault about; it ends by itself."""
        start(self._apply(fault)).addErrback(_raise_later)

    async def _apply(self, fault: Fault) -> None:
        match fault:
            case BoxPaused(box=box, for_s=for_s):
                with self._noted("paused", box):
                    self.boxes[box].process.send(signal.SIGSTOP)
                    await sleep(reactor, for_s)
                    self.boxes[box].process.send(signal.SIGCONT)
            case BoxKilled(box=box, for_s=for_s):
                with self._noted("killed", box):
                    await self._kill_box(box, for_s)
            case AllBoxesKilled(for_s=for_s):
                with self._noted("all killed", None):
                    killing = [start(self._kill_box(b.index, for_s)) for b in self.boxes]
                    await defer.gatherResults(killing)
            case BoxStopped(box=box):
                with self._noted("stopped", box, planned=True):
                    await self._stop_box(box)
            case SettingsChanged(box=box):
                with self._noted("settings", box, planned=True):
                    self.boxes[box].write_settings(self._rng.randint(80, 120))
                    self.boxes[box].process.send(signal.SIGHUP)
                    await sleep(reactor, 0.5)
            case LinkHarmed(link=link, mode=mode, for_s=for_s):
                kind, _, index = link.partition(" ")
                box = int(index) if kind in ("store", "caller") else None
                with self._noted(f"{link} {mode}", box):
                    self._link(link).set_mode(mode)
                    await sleep(reactor, for_s)
                    self._link(link).set_mode(Passing())
            case StoreHarmed(switch=switch, value=value, for_s=for_s):
                with self._noted(f"store {switch}", None):
                    await self._switch_store({switch: value})
                    await sleep(reactor, for_s)
                    await self._switch_store({switch: type(value)(0)})
            case TargetKilled(target=target, for_s=for_s):
                with self._noted("target killed", None):
                    self.targets[target].may_start_s = time.monotonic() + for_s
                    self.targets[target].process.kill()
                    await sleep(reactor, for_s)
            case TargetLeaves(target=target):
                with self._noted("target leaves", None, planned=True):
                    self.targets[target].process.send(signal.SIGTERM)
                    await self._until_ended(self.targets[target].process, 30.0)
            case TargetFails(target=target, switch=switch, count=count):
                with self._noted(f"target {switch}", None):
                    await self._switch_target(target, {switch: count})
            case VersionPut():
                await self._until("a version is written", self._put_version)
            case KeyTaken():
                if len(self._keys) > 1:
                    key = self._keys.pop()
                    await self._until("a key is taken away", self._put_version)
                    self._history.keys_taken[key] = time.monotonic()

    @contextmanager
    def _noted(self, what: str, box: int | None, planned: bool = False) -> Iterator[None]:
        rows = self._history.happened
        rows.append(Happened(time.monotonic(), float("inf"), what, box, planned))
        index = len(rows) - 1
        try:
            yield
        finally:
            rows[index] = rows[index]._replace(to_s=time.monotonic())

    async def _kill_box(self, index: int, for_s: float) -> None:
        box = self.boxes[index]
        box.may_start_s = time.monotonic() + for_s
        box.process.kill()
        await sleep(reactor, for_s)
        await self._until_listening(box)

    async def _stop_box(self, index: int) -> None:
        box = self.boxes[index]
        started = len(box.process.starts_s)
        box.process.send(signal.SIGTERM)
        await self._until_ended(box.process, STOP_S)
        if len(box.process.starts_s) == started:
            box.process.kill()
        await self._until_listening(box)

    async def _until_listening(self, box: _Box) -> None:
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s and not await self._is_ready(box):
            await sleep(reactor, 0.1)

    async def _until_ended(self, process: Process, limit_s: float) -> None:
        started = len(process.starts_s)
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s and process.is_alive and len(process.starts_s) == started:
            await sleep(reactor, 0.05)

    def _keep_running(self) -> None:
        """Start again what has ended, as the platform does."""
        now_s = time.monotonic()
        for unit in (*self.boxes, *self.targets):
            if not unit.process.is_alive and now_s >= unit.may_start_s:
                unit.process.start()

    # The operator, and the switches of the stand-ins.

    async def _put_version(self) -> bool:
        self._version += self._rng.randint(1, 3)
        raw = configuration_bytes(_table(self._version, self._keys))
        try:
            await self._client.transact({}, {CONFIGURATION_KEY: raw})
        except (KVUnavailableError, KVUnknownError, KVConflictError):
            return False
        self._history.versions.append((time.monotonic(), self._version))
        return True

    async def _switch_store(self, switches: dict[str, object]) -> None:
        url = f"http://{LOOPBACK}:{self._store_port}/switches"
        await self._web.call_json("POST", url, switches, 5.0)

    async def _switch_target(self, index: int, switches: dict[str, object]) -> None:
        url = f"http://{LOOPBACK}:{self.targets[index].port}/switches"
        try:
            await self._web.call_json("POST", url, switches, 2.0)
        except Exception as exc:  # the target is being restarted: the fault does not strike
            print(json.dumps({"what": "switch not set", "reason": repr(exc)}))

    async def _until(self, what: str, condition) -> None:
        end_s = time.monotonic() + READY_S
        while not await condition():
            if time.monotonic() > end_s:
                raise TimeoutError(f"waited {READY_S:g} s in vain until {what}")
            await sleep(reactor, 0.1)

    async def _all_ready(self) -> bool:
        return all([await self._is_ready(box) for box in self.boxes])

    async def _is_ready(self, box: _Box) -> bool:
        url = f"http://{LOOPBACK}:{box.ready_port}/api/ready"
        try:
            response = await self._web.send("GET", url, None, None, 1.0)
            await self._web.read(response, 1.0)
        except Exception:  # not listening yet
            return False
        return response.code == 200

    def _links(self) -> list[LinkProxy]:
        links = [(box.store_link, box.caller_link) for box in self.boxes]
        return [link for pair in links for link in pair] + [t.link for t in self.targets]

    def _link(self, name: str) -> LinkProxy:
        kind, _, index = name.partition(" ")
        if kind == "target":
            return self.targets[int(index)].link
        box = self.boxes[int(index)]
        return box.store_link if kind == "store" else box.caller_link

    def _processes(self) -> list[Process]:
        return [unit.process for unit in (*self.boxes, *self.targets)] + [self._store]


def _table(version: int, keys: list[str]) -> RouteTable:
    """Return a version: all keys belong to an organisation whose name tells the version."""
    routes = (
        _route(Kind.ONCE, "plain"),
        _route(Kind.REPEATABLE, "plain", repeatable=True, max_targets=2),
        _route(Kind.STREAM, "pool", streaming=True, resumable=True, max_targets=3),
    )
    services = {"plain": Service("plain"), "pool": Service("pool", ENGINE)}
    organisations = {key: Organisation(f"org-{version}", None) for key in keys}
    return RouteTable(version, routes, services, organisations)


def _route(kind: Kind, service: str, **fields: object) -> Route:
    return Route(
        name=kind.value,
        host=CALLER_HOST,
        path_prefix=f"/{kind.value}/",
        services=(ServiceShare(service, 1.0),),
        time_limit_s=4.0,
        objective_s=0.5,
        pause_objective_s=0.5,
        anonymous=False,
        **fields,
    )


def _raise_later(failure) -> None:
    reactor.callLater(0, failure.raiseException)
